//! Requests to upstreams over kept HTTP/1.1 connections, with streamed answers.
//!
//! A connection is used again only after an answer that was read whole, with nothing after it. A
//! dropped future or [`Body`] closes its connection, which cancels the request at the upstream. An
//! answer has to state its length or be chunked: one that ends with its connection could not be
//! told from one that broke off.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_h1::client;
use displaydoc::Display;
use http_types::{Method, Response};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::http;
use crate::slot::Load;
use crate::wire::{Header, Request, ResponseHead};

use self::idle::Idle;
use self::tap::Tap;

mod idle;
mod tap;

#[cfg(test)]
mod tests;

/// Bytes of a body read at once
const PIECE: usize = 16 * 1024;

/// Longest body read from a refusal to keep its connection, in bytes
const MAX_REFUSAL: u64 = 4 * 1024;

/// Age of a kept connection that a request may use which must not run twice
const FRESH: Duration = Duration::from_secs(1);

/// Headers between two hosts, never passed on
const HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "load",
    "date",
];

/// Why a request has no whole answer
#[derive(Debug, Display)]
pub enum Error {
    /// no connection to {0}: {1}; nothing was sent, so another endpoint can be tried
    NotSent(SocketAddr, String),
    /// {0} shed the request without running it; try another endpoint
    Shed(SocketAddr, Option<Duration>),
    /// {0} is leaving and did not run the request; try another endpoint
    Leaving(SocketAddr),
    /// connection to {0} broke: {1}; the request may have run
    InvalidResponse(SocketAddr, String),
    /// {0} closed the connection without answering; the request may have run
    Closed(SocketAddr),
    /// no answer from {0} in time; the request may have run
    TimedOut(SocketAddr),
}

impl std::error::Error for Error {}

/// Kept connections to all upstreams of this host
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
}

/// An answer whose body is still to be read
#[derive(Debug)]
pub struct Reply {
    /// Head of the answer
    pub head: ResponseHead,
    /// Load that the upstream reported with it
    pub load: Option<Load>,
    /// Whether the upstream said that it is leaving
    pub is_leaving: bool,
    /// Rest of the answer
    pub body: Body,
}

/// Body of an answer, read in pieces
#[derive(Debug)]
pub struct Body {
    reader: http_types::Body,
    left: Option<u64>,
    tap: Tap,
    address: SocketAddr,
    deadline: Instant,
    client: Client,
    ended: bool,
}

impl Client {
    /// Client without connections
    pub fn new() -> Self {
        Self::default()
    }

    /// Send a request and read the head of its answer
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        let safe = matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let age = if safe { Duration::MAX } else { FRESH };
        let kept = self.lock().take(Instant::now(), address, age);
        let Some(stream) = kept else {
            let stream = connect(address, deadline).await?;
            return self
                .exchange(address, Tap::new(stream), request, deadline)
                .await;
        };
        let tap = Tap::new(stream);
        let first = self.exchange(address, tap.clone(), request, deadline).await;
        // An upstream may close a kept connection just as a request is sent on it.
        if safe && matches!(first, Err(Error::Closed(_))) {
            let Ok(stream) = connect(address, deadline).await else {
                return first;
            };
            return self
                .exchange(address, Tap::new(stream), request, deadline)
                .await;
        }
        first
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        tap: Tap,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        let broken =
            |error: &dyn std::fmt::Display| Error::InvalidResponse(address, error.to_string());
        let sent = head(address, request, deadline)?;
        let answer = before(deadline, client::connect(tap.clone(), sent)).await;
        let answer = answer.ok_or(Error::TimedOut(address))?;
        let mut answer = answer.map_err(|error| match tap.answered() {
            true => broken(&error),
            false => Error::Closed(address),
        })?;
        let own = format!("{:016x}", request.id);
        if answer
            .header("pier-request")
            .is_some_and(|id| id.last().as_str() != own)
        {
            return Err(broken(&"answer to another request"));
        }
        let length = length(&request.method, &answer).map_err(|text| broken(&text))?;
        tap.expect(length);
        let status: u16 = answer.status().into();
        let leaving = answer.header("pier-leaving").is_some();
        let shed = answer.header("pier-shed").is_some();
        let load = answer
            .header("load")
            .and_then(|load| parse_load(load.last().as_str()));
        let head = ResponseHead {
            status,
            headers: passed(&answer),
            length,
        };
        let retry_after = answer
            .header("retry-after")
            .and_then(|v| v.last().as_str().parse().ok());
        let reader = answer.take_body();
        let client = self.clone();
        let mut body = Body {
            reader,
            left: length,
            tap,
            address,
            deadline,
            client,
            ended: false,
        };
        if length == Some(0) {
            body.end();
        }
        if status == 503 && (leaving || shed) {
            body.discard().await;
            return Err(match leaving {
                true => Error::Leaving(address),
                false => Error::Shed(address, retry_after.map(Duration::from_secs)),
            });
        }
        Ok(Reply {
            head,
            load,
            is_leaving: leaving,
            body,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Body {
    /// Next piece, `None` once the body is whole; a body that breaks off is an error
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        if self.ended {
            return Ok(None);
        }
        let mut piece = vec![0; PIECE];
        let read = before(self.deadline, self.reader.read(&mut piece)).await;
        let read = read.ok_or(Error::TimedOut(self.address))?;
        let count =
            read.map_err(|error| Error::InvalidResponse(self.address, error.to_string()))?;
        if let Some(left) = &mut self.left {
            *left -= count as u64;
        }
        match (count, self.left) {
            (0, Some(left)) if left > 0 => {
                let text = format!("body ends {left} bytes early");
                return Err(Error::InvalidResponse(self.address, text));
            }
            (0, _) | (_, Some(0)) => self.end(),
            _ => {}
        }
        piece.truncate(count);
        Ok(if count == 0 { None } else { Some(piece) })
    }

    fn end(&mut self) {
        self.ended = true;
        if let Some(stream) = self.tap.release() {
            self.client.lock().put(Instant::now(), self.address, stream);
        }
    }

    async fn discard(&mut self) {
        if self.left.is_some_and(|left| left <= MAX_REFUSAL) {
            while let Ok(Some(_)) = self.next().await {}
        }
    }
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, Error> {
    let not_sent = |text: String| Error::NotSent(address, text);
    let stream = before(deadline, http::connect(address)).await;
    let stream = stream.ok_or_else(|| not_sent("connecting timed out".to_owned()))?;
    stream.map_err(|error| not_sent(error.to_string()))
}

async fn before<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(late).await
}

fn head(
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<http_types::Request, Error> {
    let not_sent = |text: &str| Error::NotSent(address, text.to_owned());
    let method: Method = request
        .method
        .parse()
        .map_err(|_| not_sent("unknown method"))?;
    let mut sent = http::request(method, address, &request.target);
    for (name, value) in &request.headers {
        let plain = value.is_ascii() && !value.contains(['\r', '\n']);
        if plain && name.is_ascii() && !HOP.contains(&name.to_ascii_lowercase().as_str()) {
            sent.append_header(name.as_str(), value.as_str());
        }
    }
    let left = deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    sent.insert_header("pier-request", format!("{:016x}", request.id));
    sent.insert_header("pier-deadline", left.to_string());
    if !request.body.is_empty() {
        let kind = request
            .headers
            .iter()
            .find(|(name, _)| name == "content-type");
        sent.set_body(request.body.clone());
        if let Some((_, kind)) = kind.filter(|(_, kind)| kind.is_ascii()) {
            sent.insert_header("content-type", kind.as_str());
        }
    }
    Ok(sent)
}

fn length(method: &str, answer: &Response) -> Result<Option<u64>, &'static str> {
    let status: u16 = answer.status().into();
    if method == "HEAD" || status == 204 || status == 304 {
        return Ok(Some(0));
    }
    if let Some(values) = answer.header("content-length") {
        let first = values.last().as_str();
        if values.iter().any(|value| value.as_str() != first) {
            return Err("answer with two lengths");
        }
        return first
            .parse()
            .map(Some)
            .map_err(|_| "answer with a malformed length");
    }
    match answer.header("transfer-encoding") {
        Some(_) => Ok(None),
        None => Err("answer without a length"),
    }
}

fn passed(answer: &Response) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, values) in answer.iter() {
        let name = name.as_str();
        if HOP.contains(&name) || name.starts_with("pier-") {
            continue;
        }
        for value in values.iter() {
            headers.push((name.into(), value.as_str().into()));
        }
    }
    headers
}

fn parse_load(text: &str) -> Option<Load> {
    let (running, slots) = text.split_once('/')?;
    Some(Load {
        running: running.trim().parse().ok()?,
        slots: slots.trim().parse().ok()?,
    })
}
