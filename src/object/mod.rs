//! Client for the platform's object store and host list.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /objects/NAME` | 200 with the body, version in `ETag: "N"`; or 404 |
//! | `GET /objects/NAME?after=N&wait=SECONDS` | the same once the version exceeds `N`, else 304 |
//! | `PUT /objects/NAME` with `If-Match: "N"` or `If-None-Match: *` | 200 with `ETag`; or 412 |
//! | `GET /hosts` | 200 with a JSON list of `member::HostInfo` |
//! | `GET /upstreams` | 200 with a JSON list of leaving upstream addresses |
//!
//! Reads are retried on every address. A write is sent at most once: the client only moves on to
//! the next address if it could not connect, because a repeated conditional write would report its
//! own earlier success as a conflict.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use displaydoc::Display;
use http_types::{Method, Request};
use serde::de::DeserializeOwned;

use crate::http;
use crate::member::HostInfo;

mod backoff;
mod count;

#[cfg(test)]
mod tests;

pub use backoff::Backoff;
pub use count::{Counters, Kind, Total};

/// Default timeout of a call, excluding the wait time of a watch
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of an object
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Reason why a call failed
#[derive(Debug, Display)]
pub enum Error {
    /// object {0} has changed since it was read; read it again before writing
    Conflict(String),
    /// no response from the platform: {0}; a write may have taken effect, so read before retrying
    Unavailable(String),
    /// platform is unreachable: {0}; nothing was sent, so check the address and retry
    Unreachable(String),
    /// the platform rejected {0} with status {1}; check the name and size of the object
    Refused(String, u16),
}

impl std::error::Error for Error {}

/// Object read from the platform
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version, used as the condition of the next write
    pub version: u64,
    /// Object body
    pub body: Vec<u8>,
}

/// Platform client; clones share the preferred address and the counters
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    preferred: Arc<AtomicUsize>,
    counters: Arc<Counters>,
    timeout: Duration,
}

impl Client {
    /// Creates a client that tries the addresses in turn
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            preferred: Arc::default(),
            counters: Arc::default(),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the timeout of a call, excluding the wait time of a watch
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Call counters shared by all clones of this client
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Reads an object; returns `None` if it does not exist
    pub async fn read(&self, name: &str) -> Result<Option<Object>, Error> {
        let target = format!("/objects/{name}");
        let answer = self.get(Kind::Read, &target, self.timeout).await?;
        match answer.status() {
            404 => Ok(None),
            _ => to_object(name, answer).map(Some),
        }
    }

    /// Waits until an object's version exceeds `after`; returns `None` if it does not within `wait`
    pub async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, Error> {
        let target = format!("/objects/{name}?after={after}&wait={}", wait.as_secs());
        let timeout = self.timeout + wait;
        let answer = self.get(Kind::Watch, &target, timeout).await?;
        match answer.status() {
            304 | 404 => Ok(None),
            _ => to_object(name, answer).map(Some),
        }
    }

    /// Writes an object if its version is still `expected` (`None`: if it does not exist yet)
    pub async fn write(
        &self,
        name: &str,
        body: Vec<u8>,
        expected: Option<u64>,
    ) -> Result<u64, Error> {
        let target = format!("/objects/{name}");
        let build = |address| {
            let mut request = http::request(Method::Put, address, &target);
            match expected {
                Some(version) => request.insert_header("if-match", format!("\"{version}\"")),
                None => request.insert_header("if-none-match", "*"),
            };
            request.set_body(body.clone());
            request
        };
        let answer = self.send(Kind::Write, build, self.timeout).await?;
        match answer.status() {
            200 | 201 => parse_version(name, &answer),
            409 | 412 => Err(Error::Conflict(name.to_owned())),
            status if status >= 500 => Err(Error::Unavailable(format!("{name}: status {status}"))),
            status => Err(Error::Refused(name.to_owned(), status)),
        }
    }

    /// Lists the entry hosts
    pub async fn hosts(&self) -> Result<Vec<HostInfo>, Error> {
        self.list(Kind::Hosts, "/hosts").await
    }

    /// Lists the addresses of upstreams that are leaving
    pub async fn leaving_upstreams(&self) -> Result<Vec<SocketAddr>, Error> {
        self.list(Kind::Upstreams, "/upstreams").await
    }

    async fn list<T: DeserializeOwned>(&self, kind: Kind, target: &str) -> Result<Vec<T>, Error> {
        let answer = self.get(kind, target, self.timeout).await?;
        if answer.status() != 200 {
            return Err(Error::Refused(target.to_owned(), answer.status()));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unavailable(format!("{target}: {error}")))
    }

    async fn get(
        &self,
        kind: Kind,
        target: &str,
        timeout: Duration,
    ) -> Result<http::BufferedResponse, Error> {
        let build = |address| http::request(Method::Get, address, target);
        self.send(kind, build, timeout).await
    }

    /// Sends to the preferred address, then to the others while a retry is safe
    async fn send(
        &self,
        kind: Kind,
        build: impl Fn(SocketAddr) -> Request,
        timeout: Duration,
    ) -> Result<http::BufferedResponse, Error> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_error = Error::Unreachable("no address is configured".to_owned());
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            let address = self.addresses[index];
            self.counters.record_call(kind);
            match http::call(address, build(address), timeout).await {
                Ok(answer) if answer.status() < 500 => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Ok(answer) => {
                    last_error =
                        Error::Unavailable(format!("{address}: status {}", answer.status()));
                }
                Err(error @ http::Error::Connect(..)) => {
                    last_error = Error::Unreachable(error.to_string());
                    continue;
                }
                Err(error) => last_error = Error::Unavailable(error.to_string()),
            }
            if kind == Kind::Write {
                break;
            }
        }
        self.preferred
            .store(first.wrapping_add(1), Ordering::Relaxed);
        self.counters.record_failure(kind);
        Err(last_error)
    }
}

fn to_object(name: &str, answer: http::BufferedResponse) -> Result<Object, Error> {
    match answer.status() {
        200 => Ok(Object {
            version: parse_version(name, &answer)?,
            body: answer.body,
        }),
        status => Err(Error::Refused(name.to_owned(), status)),
    }
}

fn parse_version(name: &str, answer: &http::BufferedResponse) -> Result<u64, Error> {
    let tag = answer.header("etag").unwrap_or_default();
    tag.trim_matches('"')
        .parse()
        .map_err(|_| Error::Unavailable(format!("{name}: invalid version in ETag {tag:?}")))
}
