//! Callers that keep their connections open and check every response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::endpoint;

use super::HOST_NAME;

/// Time within which a caller needs a response
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// Largest response body that a caller reads
const MAX_BODY_BYTES: usize = 8 << 20;

/// An attempt of a caller and its result
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the attempt
    pub id: String,
    /// Whether an endpoint may execute it at most once
    pub at_most_once: bool,
    /// Object that the attempt concerns, which determines its target
    pub object: u32,
    /// Address of the gateway that received the attempt
    pub gateway: SocketAddr,
    /// Time at which the attempt was sent
    pub sent_at: Instant,
    /// Status of the response, or the reason why there is none
    pub result: Result<u16, &'static str>,
}

/// Attempts of all callers
pub type AttemptLog = Arc<Mutex<Vec<Attempt>>>;

/// Sends requests to one gateway until `end`, over one connection for as long as it stays open
pub async fn send_requests(
    gateway: SocketAddr,
    seed: u64,
    end: Instant,
    pause: Duration,
    log: AttemptLog,
) {
    send_with_tries(1, gateway, seed, end, pause, log).await;
}

/// Sends requests as [`send_requests`] does; after a refusal it waits as told and tries again under the
/// same id, `tries` times in all
pub async fn send_with_tries(
    tries: usize,
    gateway: SocketAddr,
    seed: u64,
    end: Instant,
    pause: Duration,
    log: AttemptLog,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut idle_connection = None;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let at_most_once = rng.f64() < 0.3;
        let object = rng.u32(..20);
        let id = format!("{seed:x}-{number}");
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        for left in (0..tries).rev() {
            let attempt = Attempt {
                id: id.clone(),
                at_most_once,
                object,
                gateway,
                sent_at: Instant::now(),
                result: Err("no connection"),
            };
            let answer = exchange(&mut idle_connection, &attempt, deadline).await;
            if answer.is_err() {
                idle_connection = None;
            }
            let result = answer.map(|answer| answer.status);
            log.lock()
                .expect("no panic")
                .push(Attempt { result, ..attempt });
            let Ok(Answer {
                status: 408 | 421 | 429 | 503,
                retry_after,
            }) = answer
            else {
                break;
            };
            let time_left = deadline.saturating_duration_since(Instant::now());
            if left == 0 || time_left.is_zero() {
                break;
            }
            Timer::after(retry_after.min(time_left / 3)).await;
            // Callers try again on a new connection.
            idle_connection = None;
        }
        Timer::after(pause.mul_f64(0.5 + rng.f64())).await;
    }
}

/// What a caller heeds of an answer
#[derive(Clone, Copy, Debug)]
struct Answer {
    status: u16,
    /// Time after which the request may be sent again
    retry_after: Duration,
}

async fn exchange(
    idle_connection: &mut Option<Connection>,
    attempt: &Attempt,
    deadline: Instant,
) -> Result<Answer, &'static str> {
    let mut connection = match idle_connection.take() {
        Some(connection) if connection.is_idle().await => connection,
        _ => Connection::connect(attempt.gateway, Duration::from_secs(1))
            .await
            .map_err(|_| "no connection")?,
    };
    let (method, path, body) = match attempt.at_most_once {
        true => ("POST", "/once/", "renew"),
        false => ("GET", "/safe/", ""),
    };
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let object = attempt.object;
    let request = format!(
        "{method} {path}{object} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {}\r\n\
         Cookie: Affinity-Key={object}\r\nRequest-Deadline: {}\r\n{length}\r\n{body}",
        attempt.id,
        deadline
            .saturating_duration_since(Instant::now())
            .as_millis(),
    );
    let deadline = deadline + Duration::from_secs(1);
    connection
        .write(request.as_bytes(), deadline)
        .await
        .map_err(|_| "request not written")?;
    let read = async {
        let response = connection
            .read_response(method)
            .await
            .map_err(|_| "connection lost before the response")?;
        let body = connection
            .read_body(response.length, MAX_BODY_BYTES)
            .await
            .map_err(|_| "connection lost in the response body")?;
        Ok((response, body))
    };
    let (response, body) = timeout(deadline, read)
        .await
        .unwrap_or(Err("no response in time"))?;
    if (200..300).contains(&response.status) {
        let signature = response.headers.get("Server-Signature").unwrap_or_default();
        let (server, signed_id) = signature.split_once('.').unwrap_or_default();
        assert_eq!(signed_id, attempt.id, "a response to another attempt");
        let expected_body = endpoint::response_body(server, &attempt.id, 2000);
        assert!(
            body == expected_body,
            "{}: the body differs from the endpoint's",
            attempt.id
        );
    }
    if response.keep_alive {
        *idle_connection = Some(connection);
    }
    let retry_after = response.headers.get("Retry-After");
    let retry_after = retry_after.and_then(|text| text.parse().ok());
    let retry_after = retry_after.and_then(|secs| Duration::try_from_secs_f64(secs).ok());
    Ok(Answer {
        status: response.status,
        retry_after: retry_after.unwrap_or_default(),
    })
}
