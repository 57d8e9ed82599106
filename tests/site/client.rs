//! Callers with open connections that check every answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::endpoint;

use super::HOST;

/// Time that a caller waits for an answer
pub const DEADLINE: Duration = Duration::from_millis(3000);

/// Longest answer that is read, in bytes
const MAX_BODY: usize = 8 << 20;

/// What came of one attempt
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the attempt
    pub id: String,
    /// Whether it may run at most once
    pub once: bool,
    /// Host that was asked
    pub gate: SocketAddr,
    /// When it was sent
    pub sent: Instant,
    /// Status, or why there is none
    pub end: Result<u16, &'static str>,
}

/// Attempts of all callers
pub type Log = Arc<Mutex<Vec<Attempt>>>;

/// Send requests to one host for a time over a connection that is kept while it lasts
pub async fn run(gate: SocketAddr, seed: u64, until: Instant, pause: Duration, log: Log) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kept = None;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let once = rng.f64() < 0.3;
        let attempt = Attempt {
            id: format!("{seed:x}-{number}"),
            once,
            gate,
            sent: Instant::now(),
            end: Err("no connection"),
        };
        let object = rng.u32(..20);
        let end = exchange(&mut kept, &attempt, object).await;
        if end.is_err() {
            kept = None;
        }
        log.lock()
            .expect("no panic")
            .push(Attempt { end, ..attempt });
        Timer::after(pause.mul_f64(0.5 + rng.f64())).await;
    }
}

async fn exchange(
    kept: &mut Option<Connection>,
    attempt: &Attempt,
    object: u32,
) -> Result<u16, &'static str> {
    let mut connection = match kept.take() {
        Some(connection) if connection.is_idle().await => connection,
        _ => Connection::connect(attempt.gate, Duration::from_secs(1))
            .await
            .map_err(|_| "no connection")?,
    };
    let (method, path, body) = match attempt.once {
        true => ("POST", "/once/", "renew"),
        false => ("GET", "/safe/", ""),
    };
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let text = format!(
        "{method} {path}{object} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\n\
         Cookie: Affinity-Key={object}\r\nRequest-Deadline: {}\r\n{length}\r\n{body}",
        attempt.id,
        DEADLINE.as_millis(),
    );
    let deadline = Instant::now() + DEADLINE + Duration::from_secs(1);
    connection
        .write(text.as_bytes(), deadline)
        .await
        .map_err(|_| "not written")?;
    let answered = async {
        let answer = connection.read_response(method).await.map_err(|_| "cut")?;
        let body = connection
            .read_body(answer.length, MAX_BODY)
            .await
            .map_err(|_| "cut in the body")?;
        Ok((answer, body))
    };
    let (answer, body) = timeout(deadline, answered)
        .await
        .unwrap_or(Err("no answer"))?;
    if (200..300).contains(&answer.status) {
        let signature = answer.headers.get("Server-Signature").unwrap_or_default();
        let (server, signed) = signature.split_once('.').unwrap_or_default();
        assert_eq!(signed, attempt.id, "an answer to another attempt");
        let whole = endpoint::response_body(server, &attempt.id, 2000);
        assert!(
            body == whole,
            "{}: the body is not the endpoint's",
            attempt.id
        );
    }
    if answer.keep_alive {
        *kept = Some(connection);
    }
    Ok(answer.status)
}
