//! Client of the platform's object API and host list.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /objects/NAME` | 200, the body and its version in `ETag: "N"`; 404 |
//! | `GET /objects/NAME?after=N&wait=SECONDS` | the same once the version is above `N`, else 304 |
//! | `PUT /objects/NAME` with `If-Match: "N"` or `If-None-Match: *` | 200 and `ETag`; 412 |
//! | `GET /hosts` | 200, a JSON list of `member::HostInfo` |
//! | `GET /upstreams` | 200, a JSON list of leaving upstream addresses |
//!
//! Reads try every address. A write is sent once: only an address that no connection reached is
//! passed over, because a repeated conditional write would report its own success as a conflict.

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

/// Longest time that one call may take, waiting time of a watch apart
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest value that the platform holds, in bytes
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Why a call failed
#[derive(Debug, Display)]
pub enum Error {
    /// object {0} changed since it was read; read it again
    Conflict(String),
    /// the platform does not answer: {0}; a write may have taken effect, so read before repeating
    Unavailable(String),
    /// the platform was not reached: {0}; nothing was sent, so check the address and repeat
    Unreachable(String),
    /// the platform refused {0} with status {1}; check the name and the size of the value
    Refused(String, u16),
}

impl std::error::Error for Error {}

/// An object and its version at the platform
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version that conditional writes name
    pub version: u64,
    /// Whole body
    pub body: Vec<u8>,
}

/// Client of the platform
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    preferred: Arc<AtomicUsize>,
    count: Arc<Counters>,
    deadline: Duration,
}

impl Client {
    /// Client that tries the addresses in turn
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            preferred: Arc::default(),
            count: Arc::default(),
            deadline: CALL_TIMEOUT,
        }
    }

    /// Client whose calls may take this long, waiting time of a watch apart
    #[must_use]
    pub fn with_timeout(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Calls made so far by all clones of this client
    pub fn counters(&self) -> &Counters {
        &self.count
    }

    /// Read an object; `None` when it does not exist
    pub async fn read(&self, name: &str) -> Result<Option<Object>, Error> {
        let target = format!("/objects/{name}");
        let answer = self.get(Kind::Read, &target, self.deadline).await?;
        match answer.status() {
            404 => Ok(None),
            _ => object(name, answer).map(Some),
        }
    }

    /// Wait until an object's version is above `after`; `None` when the wait ends first
    pub async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, Error> {
        let target = format!("/objects/{name}?after={after}&wait={}", wait.as_secs());
        let limit = self.deadline + wait;
        let answer = self.get(Kind::Watch, &target, limit).await?;
        match answer.status() {
            304 | 404 => Ok(None),
            _ => object(name, answer).map(Some),
        }
    }

    /// Write an object if its version is still `on` (`None`: if it does not exist)
    pub async fn write(&self, name: &str, body: Vec<u8>, on: Option<u64>) -> Result<u64, Error> {
        let target = format!("/objects/{name}");
        let build = |address| {
            let mut request = http::request(Method::Put, address, &target);
            match on {
                Some(version) => request.insert_header("if-match", format!("\"{version}\"")),
                None => request.insert_header("if-none-match", "*"),
            };
            request.set_body(body.clone());
            request
        };
        let answer = self.send(Kind::Write, build, self.deadline).await?;
        match answer.status() {
            200 | 201 => version(name, &answer),
            409 | 412 => Err(Error::Conflict(name.to_owned())),
            status if status >= 500 => Err(Error::Unavailable(format!("{name}: status {status}"))),
            status => Err(Error::Refused(name.to_owned(), status)),
        }
    }

    /// The list of entry hosts
    pub async fn hosts(&self) -> Result<Vec<HostInfo>, Error> {
        self.list(Kind::Hosts, "/hosts").await
    }

    /// Addresses of upstreams that are leaving
    pub async fn leaving_upstreams(&self) -> Result<Vec<SocketAddr>, Error> {
        self.list(Kind::Upstreams, "/upstreams").await
    }

    async fn list<T: DeserializeOwned>(&self, kind: Kind, target: &str) -> Result<Vec<T>, Error> {
        let answer = self.get(kind, target, self.deadline).await?;
        if answer.status() != 200 {
            return Err(Error::Refused(target.to_owned(), answer.status()));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unavailable(format!("{target}: {error}")))
    }

    async fn get(&self, kind: Kind, target: &str, limit: Duration) -> Result<http::Answer, Error> {
        let build = |address| http::request(Method::Get, address, target);
        self.send(kind, build, limit).await
    }

    /// Send to the preferred address first, then to the others as far as that is safe
    async fn send(
        &self,
        kind: Kind,
        build: impl Fn(SocketAddr) -> Request,
        limit: Duration,
    ) -> Result<http::Answer, Error> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = Error::Unreachable("no address is given".to_owned());
        for turn in 0..self.addresses.len() {
            let index = (first + turn) % self.addresses.len();
            let address = self.addresses[index];
            self.count.record_call(kind);
            match http::call(address, build(address), limit).await {
                Ok(answer) if answer.status() < 500 => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Ok(answer) => {
                    last = Error::Unavailable(format!("{address}: status {}", answer.status()));
                }
                Err(error @ http::Error::Connect(..)) => {
                    last = Error::Unreachable(error.to_string());
                    continue;
                }
                Err(error) => last = Error::Unavailable(error.to_string()),
            }
            if kind == Kind::Write {
                break;
            }
        }
        self.preferred
            .store(first.wrapping_add(1), Ordering::Relaxed);
        self.count.record_failure(kind);
        Err(last)
    }
}

fn object(name: &str, answer: http::Answer) -> Result<Object, Error> {
    match answer.status() {
        200 => Ok(Object {
            version: version(name, &answer)?,
            body: answer.body,
        }),
        status => Err(Error::Refused(name.to_owned(), status)),
    }
}

fn version(name: &str, answer: &http::Answer) -> Result<u64, Error> {
    let tag = answer.header("etag").unwrap_or_default();
    tag.trim_matches('"')
        .parse()
        .map_err(|_| Error::Unavailable(format!("{name}: no version in ETag {tag:?}")))
}
