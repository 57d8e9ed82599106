//! Answers to callers: those of endpoints as they came, and this system's own.

use std::io;
use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::exchange::Relay;
use super::upload::{LAST_CHUNK, frame};
use crate::message::{Headers, timeout};
use crate::platform::header;

/// Longest time that one write to a caller may wait
const STALL: Duration = Duration::from_secs(10);

/// Shortest time after which a refused caller is asked back; below it callers would return before
/// anything changed
const SHORTEST_BACK: Duration = Duration::from_millis(100);

/// Longest such time
const LONGEST_BACK: Duration = Duration::from_secs(2);

/// What a caller is told
#[derive(Debug)]
pub enum Reply {
    /// An answer of this system
    Own(Refusal),
    /// An answer of an endpoint
    Relayed(Box<Relay>),
}

/// Answer of this system
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status
    pub status: u16,
    /// Why
    pub reason: &'static str,
    /// When the caller may come back, where the request has not run
    pub back: Option<Duration>,
}

impl Refusal {
    /// Answer without a time to come back
    pub fn new(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            back: None,
        }
    }

    /// The request has not run; callers return spread over `wait` to twice that
    pub fn not_run(reason: &'static str, wait: Duration) -> Self {
        let wait = wait.clamp(SHORTEST_BACK, LONGEST_BACK);
        Self {
            status: 503,
            reason,
            back: Some(wait.mul_f64(1.0 + fastrand::f64())),
        }
    }

    /// The request brought endpoints down
    pub fn quarantined(left: Duration) -> Self {
        Self {
            status: 429,
            reason: "request is in quarantine",
            back: Some(left),
        }
    }
}

/// Write an answer; an error means that the connection has to be closed
pub async fn write(
    out: &mut TcpStream,
    reply: Reply,
    attempt: Option<&str>,
    close: bool,
) -> io::Result<()> {
    match reply {
        Reply::Own(refusal) => own(out, &refusal, attempt, close).await,
        Reply::Relayed(relay) => relayed(out, *relay, close).await,
    }
}

async fn own(
    out: &mut TcpStream,
    refusal: &Refusal,
    attempt: Option<&str>,
    close: bool,
) -> io::Result<()> {
    let mut headers = Headers::new();
    header::own_answer(&mut headers, attempt, refusal.back);
    headers.push("Content-Type", "text/plain");
    let body = format!("{}\n", refusal.reason);
    headers.push("Content-Length", body.len().to_string());
    let mut bytes = head(refusal.status, &headers, close);
    bytes.extend_from_slice(body.as_bytes());
    send(out, &bytes).await
}

async fn relayed(out: &mut TcpStream, relay: Relay, close: bool) -> io::Result<()> {
    let status = relay.head.status;
    let mut headers = relay.head.headers;
    let stated = headers.get("content-length").map(str::to_owned);
    headers.remove_hop_by_hop();
    let Some(mut rest) = relay.rest else {
        // An answer to HEAD states a length without having a body.
        let length = match (relay.body.is_empty(), stated) {
            (true, Some(stated)) => stated,
            _ => relay.body.len().to_string(),
        };
        if status != 204 && status != 304 {
            headers.push("Content-Length", length);
        }
        let mut bytes = head(status, &headers, close);
        bytes.extend_from_slice(&relay.body);
        return send(out, &bytes).await;
    };
    let length = rest.length(relay.body.len());
    match length {
        Some(length) => headers.push("Content-Length", length.to_string()),
        None => headers.push("Transfer-Encoding", "chunked"),
    }
    let chunked = length.is_none();
    let shape = |piece: Vec<u8>| if chunked { frame(&piece) } else { piece };
    let mut bytes = head(status, &headers, close);
    bytes.extend_from_slice(&shape(relay.body));
    send(out, &bytes).await?;
    loop {
        let piece = rest.next().await;
        match piece.map_err(|failure| io::Error::other(failure.to_string()))? {
            Some(piece) => send(out, &shape(piece)).await?,
            None if chunked => return send(out, LAST_CHUNK).await,
            None => return Ok(()),
        }
    }
}

fn head(status: u16, headers: &Headers, close: bool) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} {}\r\n", phrase(status)).into_bytes();
    headers.write(&mut bytes);
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

async fn send(out: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let sent = timeout(Instant::now() + STALL, out.write_all(bytes)).await;
    sent.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

fn phrase(status: u16) -> &'static str {
    let known = http_types::StatusCode::try_from(status);
    known.map_or("Status", |known| known.canonical_reason())
}
