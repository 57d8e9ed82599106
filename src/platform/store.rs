//! Client of the platform's store: lists, watches and conditional writes over HTTP/1.1.
//!
//! A call without an answer may have taken effect, or may do so later. Callers of [`Session`]
//! therefore repeat only writes that are the same when they happen twice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::message::{self, Connection, timeout};

/// Longest time for opening a connection; the store is one region away at most
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time of a call that does not wait; it answers in milliseconds when it is well
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest answer; a list page holds about a megabyte
const MAX_BODY: usize = 8 << 20;

/// Kinds of objects that this system reads
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The operator's configuration
    Configuration,
    /// Upstream endpoints, which register themselves
    Endpoints,
    /// Zones whose endpoints are to get nothing
    Evacuations,
    /// Entry hosts; a kind of our own
    Hosts,
}

impl Kind {
    /// All kinds
    pub const ALL: [Self; 4] = [
        Self::Configuration,
        Self::Endpoints,
        Self::Evacuations,
        Self::Hosts,
    ];

    /// Name in paths of the store
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "config",
            Self::Endpoints => "servers",
            Self::Evacuations => "evacuations",
            Self::Hosts => "entry-hosts",
        }
    }
}

/// Why a call failed
#[derive(Debug, Display)]
pub enum Error {
    /// the store is not reached: {0}
    Unreachable(String),
    /// the store does not answer: {0}
    Unresponsive(String),
    /// the store turned the call away with status {0}
    Rejected(u16),
    /// the history asked for is gone
    Compacted,
    /// the object does not exist
    NotFound,
    /// the object is not as the call expects
    Conflict,
    /// answer of the store cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for Error {}

/// One object
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique within its kind
    pub name: CompactString,
    /// Revision of its last change
    pub revision: u64,
    /// What its writer states
    pub spec: Value,
}

/// One change that a watch tells
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The object was written
    Put(Object),
    /// The object is gone
    Removed(CompactString),
}

/// Connection to the store, opened again when it broke
#[derive(Debug)]
pub struct Session {
    address: SocketAddr,
    connection: Option<Connection>,
    calls: u64,
}

impl Session {
    /// Session that is not connected yet
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            calls: 0,
        }
    }

    /// Calls sent since the last question
    pub fn take_call_count(&mut self) -> u64 {
        std::mem::take(&mut self.calls)
    }

    /// Use another address from now on
    pub fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.connection = None;
        }
    }

    /// Give up the connection, as when it is silent
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// All objects of a kind, and the store's revision from which to watch
    pub async fn list(&mut self, kind: Kind) -> Result<(Vec<Object>, u64), Error> {
        let mut objects = Vec::new();
        let mut first = None;
        let mut after = String::new();
        loop {
            let path = match after.is_empty() {
                true => format!("/objects/{}", kind.name()),
                false => format!("/objects/{}?after={after}", kind.name()),
            };
            let (status, body) = self.call("GET", &path, None, CALL_TIMEOUT).await?;
            let page = expect(status, &body)?;
            let revision = page["store_revision"].as_u64();
            // Changes made between two pages are told again by a watch from the first revision.
            first = first.or(revision);
            let items = page["items"].as_array();
            let items = items.ok_or_else(|| Error::Malformed("no items".to_owned()))?;
            objects.extend(items.iter().filter_map(object));
            let last = items
                .last()
                .and_then(|item| item["metadata"]["name"].as_str());
            match (page["has_more"].as_bool(), last) {
                (Some(true), Some(last)) => after = escape(last),
                _ => break,
            }
        }
        let revision = first.ok_or_else(|| Error::Malformed("no store_revision".to_owned()))?;
        Ok((objects, revision))
    }

    /// Changes after a revision, and the revision to go on from; empty if none came in `wait`
    pub async fn watch(
        &mut self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> Result<(Vec<Event>, u64), Error> {
        let path = format!(
            "/objects/{}?watch={revision}&wait_ms={}",
            kind.name(),
            wait.as_millis()
        );
        let (status, body) = self.call("GET", &path, None, wait + CALL_TIMEOUT).await?;
        let told = expect(status, &body)?;
        let events = told["events"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let events = events.iter().filter_map(|event| {
            let found = &event["object"];
            match event["removed"].as_bool() {
                Some(true) => Some(Event::Removed(found["metadata"]["name"].as_str()?.into())),
                _ => object(found).map(Event::Put),
            }
        });
        let next = told["store_revision"].as_u64().unwrap_or(revision);
        Ok((events.collect(), next.max(revision)))
    }

    /// Create an object; [`Error::Conflict`] if it exists
    pub async fn create(&mut self, kind: Kind, name: &str, spec: &Value) -> Result<(), Error> {
        let path = format!("/objects/{}", kind.name());
        let (status, answer) = self
            .call("POST", &path, Some(&body(name, spec)), CALL_TIMEOUT)
            .await?;
        expect(status, &answer).map(|_| ())
    }

    /// Replace an object; [`Error::NotFound`] if it does not exist
    pub async fn replace(&mut self, kind: Kind, name: &str, spec: &Value) -> Result<(), Error> {
        let path = format!("/objects/{}/{}", kind.name(), escape(name));
        let (status, answer) = self
            .call("PUT", &path, Some(&body(name, spec)), CALL_TIMEOUT)
            .await?;
        expect(status, &answer).map(|_| ())
    }

    /// Delete an object; with a revision, only if it is still the object's
    pub async fn delete(
        &mut self,
        kind: Kind,
        name: &str,
        revision: Option<u64>,
    ) -> Result<(), Error> {
        let mut path = format!("/objects/{}/{}", kind.name(), escape(name));
        if let Some(revision) = revision {
            path.push_str(&format!("?revision={revision}"));
        }
        let (status, answer) = self.call("DELETE", &path, None, CALL_TIMEOUT).await?;
        match expect(status, &answer) {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), Error> {
        self.calls += 1;
        let mut connection = match self.connection.take() {
            Some(kept) if kept.is_idle().await => kept,
            _ => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| Error::Unreachable(error.to_string()))?,
        };
        let body = body.map(ToString::to_string).unwrap_or_default();
        let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if !body.is_empty() {
            out.push_str("Content-Type: application/json\r\n");
        }
        if method != "GET" {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        out.push_str(&body);
        let deadline = Instant::now() + limit;
        let silent = |error: message::Error| Error::Unresponsive(error.to_string());
        let written = connection.write(out.as_bytes(), deadline).await;
        written.map_err(|error| Error::Unresponsive(error.to_string()))?;
        let exchange = async {
            let answer = connection.read_response(method).await?;
            let body = connection.read_body(answer.length, MAX_BODY).await?;
            Ok((answer, body))
        };
        let done = timeout(deadline, exchange).await;
        let done = done.ok_or_else(|| Error::Unresponsive(format!("no answer in {limit:?}")))?;
        let (answer, body) = done.map_err(silent)?;
        if answer.keep_alive {
            self.connection = Some(connection);
        }
        Ok((answer.status, body))
    }
}

fn body(name: &str, spec: &Value) -> Value {
    json!({ "metadata": { "name": name, "finalizers": [] }, "spec": spec })
}

fn expect(status: u16, body: &[u8]) -> Result<Value, Error> {
    match status {
        200..=299 if body.is_empty() => Ok(Value::Null),
        200..=299 => {
            serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
        }
        404 => Err(Error::NotFound),
        409 => Err(Error::Conflict),
        410 => Err(Error::Compacted),
        _ => Err(Error::Rejected(status)),
    }
}

fn object(item: &Value) -> Option<Object> {
    let found = Object {
        name: item["metadata"]["name"].as_str()?.into(),
        revision: item["metadata"]["revision"].as_u64().unwrap_or(0),
        spec: item["spec"].clone(),
    };
    Some(found)
}

/// A question about objects, as this system's hosts ask it of each other
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// All objects of a kind
    List(Kind),
    /// Changes of a kind after a revision, waited for at most so long
    Watch(Kind, u64, Duration),
}

/// Understand a question; the inverse of what [`Session`] sends
pub fn parse_request(method: &str, target: &str) -> Option<Request> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let name = path.strip_prefix("/objects/").filter(|_| method == "GET")?;
    let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name)?;
    let number = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(name, _)| *name == key)?;
        value.parse::<u64>().ok()
    };
    Some(match number("watch") {
        Some(revision) => {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            Request::Watch(kind, revision, wait)
        }
        None => Request::List(kind),
    })
}

/// Answer to a list, on one page
pub fn list_response<'a>(objects: impl Iterator<Item = &'a Object>, revision: u64) -> Value {
    let items: Vec<Value> = objects.map(item).collect();
    json!({ "items": items, "has_more": false, "store_revision": revision })
}

/// Answer to a watch
pub fn watch_response<'a>(events: impl Iterator<Item = &'a Event>, revision: u64) -> Value {
    let events = events.map(|event| match event {
        Event::Put(object) => json!({ "removed": false, "object": item(object) }),
        Event::Removed(name) => {
            json!({ "removed": true, "object": { "metadata": { "name": name } } })
        }
    });
    let events: Vec<Value> = events.collect();
    json!({ "events": events, "store_revision": revision })
}

fn item(object: &Object) -> Value {
    json!({
        "metadata": { "name": object.name, "revision": object.revision },
        "spec": object.spec,
    })
}

/// Percent-encode a name for a path or query
fn escape(name: &str) -> String {
    let mut escaped = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}
