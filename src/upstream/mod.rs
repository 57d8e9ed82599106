//! HTTP/1.1 client for upstreams with persistent connections and streamed responses.
//!
//! A connection is reused only after a response that was read completely and was followed by no
//! further bytes. Dropping the future or the [`Body`] closes the connection, which cancels the
//! request at the upstream. A response must have a length or be chunked: if the end of the
//! connection ended the body, a truncated response would pass as complete.
//!
//! A response that states the id of another request is not accepted; nor is one without an id on a
//! connection that has carried another request: it may be a late copy of an earlier one. A connection
//! carries an id once, and nothing after a refusal or a response that states no id.

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

use crate::answer::{self, Evidence, History, Verdict};
use crate::bound;
use crate::http;
use crate::slot::Load;
use crate::wire::{Header, Request, ResponseHead};

use self::idle::Connections;
use self::tap::Connection;

mod idle;
mod tap;

#[cfg(test)]
mod tests;

/// Maximum length of one chunk of a response body
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum idle time of a connection for a request that must not run twice
const MAX_IDLE_UNSAFE: Duration = Duration::from_secs(1);

/// Headers that are not forwarded: hop-by-hop headers and those that each hop sets itself
const UNFORWARDED_HEADERS: [&str; 10] = [
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

/// Reason why a request has no complete response
#[derive(Debug, Display)]
pub enum Error {
    /// request was not sent to {0}: {1}; retry at another endpoint
    NotSent(SocketAddr, String),
    /// {0} shed the request without running it; retry at another endpoint
    Shed(SocketAddr, Option<Duration>),
    /// {0} is leaving and did not run the request; retry at another endpoint
    Leaving(SocketAddr),
    /// no valid response from {0}: {1}; the request may have run
    InvalidResponse(SocketAddr, String),
    /// {0} closed the connection without a response; the request may have run
    Closed(SocketAddr),
    /// no complete response from {0} before the deadline; the request may have run
    TimedOut(SocketAddr),
}

impl std::error::Error for Error {}

/// HTTP client with the idle connections to all upstreams
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<Connections>>,
}

/// Response whose body is not read yet
#[derive(Debug)]
pub struct Reply {
    /// Head of the response
    pub head: ResponseHead,
    /// Load that the upstream reported in the response
    pub load: Option<Load>,
    /// Whether the response has a `pier-leaving` header
    pub is_leaving: bool,
    /// Body of the response
    pub body: Body,
}

/// Response body, read in chunks
#[derive(Debug)]
pub struct Body {
    reader: http_types::Body,
    remaining: Option<u64>,
    connection: Connection,
    address: SocketAddr,
    deadline: Instant,
    client: Client,
    /// What the connection has carried; `None` if it cannot be reused
    history: Option<History>,
    is_complete: bool,
}

impl Client {
    /// Creates a client without connections
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and reads the head of the response
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        let is_safe = matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let max_idle = if is_safe {
            Duration::MAX
        } else {
            MAX_IDLE_UNSAFE
        };
        let own_id = wire_id(request);
        let idle = self.lock().take(Instant::now(), address, max_idle, &own_id);
        let Some(idle) = idle else {
            let stream = connect(address, deadline).await?;
            let connection = idle::Connection::new(stream);
            return self.exchange(address, connection, request, deadline).await;
        };
        let result = self.exchange(address, idle, request, deadline).await;
        // An upstream may close an idle connection while a request is being sent on it.
        if is_safe && matches!(result, Err(Error::Closed(_))) {
            let Ok(stream) = connect(address, deadline).await else {
                return result;
            };
            let connection = idle::Connection::new(stream);
            return match self.exchange(address, connection, request, deadline).await {
                Err(Error::NotSent(..)) => result,
                again => again,
            };
        }
        result
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        idle: idle::Connection,
        request: &Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        // A ready connection is written to before a timer is looked at, also if this process stood still.
        if Instant::now() >= deadline {
            let reason = "deadline has passed".to_owned();
            return Err(Error::NotSent(address, reason));
        }
        let own_id = wire_id(request);
        let mut history = idle.history;
        let distinction = history.distinction(Some(&own_id));
        history.record(Some(&own_id));
        let connection = Connection::new(idle.stream);
        let invalid =
            |error: &dyn std::fmt::Display| Error::InvalidResponse(address, error.to_string());
        let http_request = build_request(address, request, deadline)?;
        let response =
            with_deadline(deadline, client::connect(connection.clone(), http_request)).await;
        let response = response.ok_or(Error::TimedOut(address))?;
        let mut response = response.map_err(|error| match connection.has_response_bytes() {
            true => invalid(&error),
            false => Error::Closed(address),
        })?;
        let status: u16 = response.status().into();
        let is_leaving = response.header("pier-leaving").is_some();
        let is_shed = response.header("pier-shed").is_some();
        let stated_ids = header_values(&response, "pier-request");
        let verdict = answer::judge(&Evidence {
            sent_id: Some(&own_id),
            stated_ids: &stated_ids,
            distinction,
            skipped: 0,
            status,
            refusals: usize::from(status == 503 && (is_leaving || is_shed)),
        });
        match verdict {
            Verdict::Foreign => return Err(invalid(&"response to another request")),
            Verdict::Unclear(reason) => return Err(invalid(&reason)),
            Verdict::Own | Verdict::NotRun => {}
        }
        // Copies of a refusal, or of a response without an id, may still come on its connection.
        let is_kept = verdict == Verdict::Own && !stated_ids.is_empty() && !history.is_full();
        let history = is_kept.then_some(history);
        let length = body_length(&request.method, &response).map_err(|text| invalid(&text))?;
        connection.set_body_length(length);
        let load = response
            .header("load")
            .and_then(|values| parse_load(values.last().as_str()));
        let head = ResponseHead {
            status,
            headers: forwarded_headers(&response),
            length,
        };
        let retry_after = response
            .header("retry-after")
            .and_then(|values| values.last().as_str().parse().ok());
        let reader = response.take_body();
        let client = self.clone();
        let mut body = Body {
            reader,
            remaining: length,
            connection,
            address,
            deadline,
            client,
            history,
            is_complete: false,
        };
        if length == Some(0) {
            body.finish();
        }
        if verdict == Verdict::NotRun {
            return Err(match is_leaving {
                true => Error::Leaving(address),
                false => Error::Shed(address, retry_after.map(bounded_seconds)),
            });
        }
        Ok(Reply {
            head,
            load,
            is_leaving,
            body,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Body {
    /// Returns the next chunk, `None` once the body is complete; a truncated body is an error
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        if self.is_complete {
            return Ok(None);
        }
        // Nothing else ends a body whose next bytes are always there.
        if Instant::now() >= self.deadline {
            return Err(Error::TimedOut(self.address));
        }
        let mut chunk = vec![0; CHUNK_BYTES];
        let read = with_deadline(self.deadline, self.reader.read(&mut chunk)).await;
        let read = read.ok_or(Error::TimedOut(self.address))?;
        let count =
            read.map_err(|error| Error::InvalidResponse(self.address, error.to_string()))?;
        if let Some(remaining) = &mut self.remaining {
            *remaining -= count as u64;
        }
        match (count, self.remaining) {
            (0, Some(remaining)) if remaining > 0 => {
                let message = format!("body ends {remaining} bytes early");
                return Err(Error::InvalidResponse(self.address, message));
            }
            (0, _) | (_, Some(0)) => self.finish(),
            _ => {}
        }
        chunk.truncate(count);
        Ok(if count == 0 { None } else { Some(chunk) })
    }

    fn finish(&mut self) {
        self.is_complete = true;
        if let Some(history) = self.history.take()
            && let Some(stream) = self.connection.reusable_stream()
        {
            let idle = idle::Connection { stream, history };
            self.client.lock().put(Instant::now(), self.address, idle);
        }
    }
}

/// Returns a request's id as it is sent to upstreams
fn wire_id(request: &Request) -> String {
    format!("{:016x}", request.id)
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, Error> {
    let not_sent = |message: String| Error::NotSent(address, message);
    let stream = with_deadline(deadline, http::connect(address)).await;
    let stream = stream.ok_or_else(|| not_sent("connecting timed out".to_owned()))?;
    stream.map_err(|error| not_sent(error.to_string()))
}

/// Returns the output of `work`, `None` if the deadline passes first
async fn with_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}

fn build_request(
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<http_types::Request, Error> {
    let not_sent = |message: &str| Error::NotSent(address, message.to_owned());
    let method: Method = request
        .method
        .parse()
        .map_err(|_| not_sent("unknown method"))?;
    let mut http_request = http::request(method, address, &request.target);
    for (name, value) in &request.headers {
        let is_valid = value.is_ascii() && !value.contains(['\r', '\n']);
        if is_valid
            && name.is_ascii()
            && !UNFORWARDED_HEADERS.contains(&name.to_ascii_lowercase().as_str())
        {
            http_request.append_header(name.as_str(), value.as_str());
        }
    }
    let remaining = deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    http_request.insert_header("pier-request", wire_id(request));
    http_request.insert_header("pier-deadline", remaining.to_string());
    if !request.body.is_empty() {
        let content_type = request
            .headers
            .iter()
            .find(|(name, _)| name == "content-type");
        http_request.set_body(request.body.clone());
        if let Some((_, content_type)) = content_type.filter(|(_, value)| value.is_ascii()) {
            http_request.insert_header("content-type", content_type.as_str());
        }
    }
    Ok(http_request)
}

/// Returns the length of a response's body, `None` if it is chunked
fn body_length(method: &str, response: &Response) -> Result<Option<u64>, &'static str> {
    let status: u16 = response.status().into();
    if method == "HEAD" || status == 204 || status == 304 {
        return Ok(Some(0));
    }
    if let Some(values) = response.header("content-length") {
        let first = values.last().as_str();
        if values.iter().any(|value| value.as_str() != first) {
            return Err("response has different Content-Length values");
        }
        return first
            .parse()
            .map(Some)
            .map_err(|_| "response has a malformed Content-Length");
    }
    match response.header("transfer-encoding") {
        Some(_) => Ok(None),
        None => Err("response has no length and is not chunked"),
    }
}

/// Returns the headers of a response that are forwarded to the caller
fn forwarded_headers(response: &Response) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, values) in response.iter() {
        let name = name.as_str();
        if UNFORWARDED_HEADERS.contains(&name) || name.starts_with("pier-") {
            continue;
        }
        for value in values.iter() {
            headers.push((name.into(), value.as_str().into()));
        }
    }
    headers
}

/// Returns the values of all lines of a header
fn header_values<'a>(response: &'a Response, name: &str) -> Vec<&'a str> {
    let values = response.header(name);
    let values = values.into_iter().flat_map(|values| values.iter());
    values.map(|value| value.as_str()).collect()
}

fn bounded_seconds(seconds: u64) -> Duration {
    bound::duration(Duration::from_secs(seconds))
}

/// Parses a `load` header of the form `running/slots`
fn parse_load(value: &str) -> Option<Load> {
    let (running, slots) = value.split_once('/')?;
    Some(Load {
        running: bound::count(running.trim().parse().ok()?),
        slots: bound::count(slots.trim().parse().ok()?),
    })
}
