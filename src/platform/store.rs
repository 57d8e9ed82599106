//! Client of the platform's store: lists, watches and conditional writes over HTTP/1.1.
//!
//! A call without a response may have taken effect or may still do so later. Users of [`Session`]
//! therefore retry only idempotent writes.
//!
//! The store may come back from an older copy of its content. It then begins a new era, in which
//! revisions are given out again, so a revision is compared only together with its era.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::header;
use super::page;
pub use super::page::Unreadable;
pub use super::replication::{CopyAge, Request, list_response, parse_request, watch_response};
use super::response_time::{self, ResponseTime};
use crate::message::{self, Connection, timeout};

/// Timeout for opening a connection; the store is at most one region away
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a write; a healthy store responds in milliseconds
const CALL_TIMEOUT: Duration = response_time::MAX_TIMEOUT;

/// Maximum number of objects in a list; a list without end would fill the memory
const MAX_LISTED_OBJECTS: usize = 100_000;

/// Maximum number of calls for one page of a list
const MAX_CALLS_PER_PAGE: usize = 3;

/// Maximum size of a response body; a page of a list has about one megabyte
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Kind of objects in the store
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Configuration of the operator
    Configuration,
    /// Upstream endpoints; they register themselves
    Endpoints,
    /// Evacuated zones, whose endpoints receive no requests
    Evacuations,
    /// Entry hosts; this system defines and writes this kind
    Hosts,
    /// Requests that crashed endpoints; this system defines and writes this kind
    Quarantine,
}

impl Kind {
    /// All kinds, in the order of their declaration
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Endpoints,
        Self::Evacuations,
        Self::Hosts,
        Self::Quarantine,
    ];

    /// Returns the name of the kind in store paths
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "config",
            Self::Endpoints => "servers",
            Self::Evacuations => "evacuations",
            Self::Hosts => "entry-hosts",
            Self::Quarantine => "quarantined-requests",
        }
    }
}

/// How current the response to a read must be
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Contains every change that was acknowledged before
    Linearizable,
    /// May be seconds old, at a tenth of the cost; a watch from the returned position tells the rest
    Serializable,
}

/// Number of times that the store came back from an older copy; 0 if it does not say
pub type Era = u64;

/// Position in the history of the store; a later one is greater
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store
    pub era: Era,
    /// Revision within the era
    pub revision: u64,
}

/// Reason why a call failed
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to the store: {0}
    Unreachable(String),
    /// no response from the store: {0}
    Unresponsive(String),
    /// no response from the store after {0:?}
    TimedOut(Duration),
    /// the store rejected the call with status {0}
    Rejected(u16),
    /// the requested history was compacted
    Compacted,
    /// the store began era {0}
    NewEra(Era),
    /// the response is of an earlier era, {0}
    OldEra(Era),
    /// the copy is older than what is known, at revision {0}
    Behind(u64),
    /// the object does not exist
    NotFound,
    /// the object exists already or has another revision
    Conflict,
    /// malformed response from the store: {0}
    Malformed(String),
}

impl std::error::Error for Error {}

/// Object in the store
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique within its kind
    pub name: CompactString,
    /// Revision of the last change
    pub revision: u64,
    /// Content as set by its writer
    pub spec: Value,
}

/// Change that a watch returns
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The object was created or replaced
    Put(Object),
    /// The object was deleted
    Removed(CompactString),
}

/// Connection to the store that is reopened on demand
#[derive(Debug)]
pub struct Session {
    address: SocketAddr,
    connection: Option<Connection>,
    calls: u64,
    response_time: ResponseTime,
    /// Whether requests for changes state the era; only hosts of this system read it
    states_era: bool,
    /// Age of the copy that the last response came from, `None` at the store itself
    copy_age: Option<CopyAge>,
    /// Objects that the last lists and watches contained and that cannot be read
    unreadable: Vec<Unreadable>,
}

/// Response to a call
#[derive(Debug)]
struct Response {
    status: u16,
    body: Vec<u8>,
    era: Era,
}

impl Session {
    /// Creates a session without opening a connection
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            calls: 0,
            response_time: ResponseTime::default(),
            states_era: false,
            copy_age: None,
            unreadable: Vec::new(),
        }
    }

    /// Returns the number of calls since the last time and resets it
    pub fn take_call_count(&mut self) -> u64 {
        std::mem::take(&mut self.calls)
    }

    /// Returns the age of the copy that the last list or watch came from, `None` for the store itself
    pub fn copy_age(&self) -> Option<CopyAge> {
        self.copy_age
    }

    /// Returns and forgets the objects of lists and watches that cannot be read
    pub fn take_unreadable(&mut self) -> Vec<Unreadable> {
        std::mem::take(&mut self.unreadable)
    }

    /// Sets the address of the store; closes the connection if it changes
    pub fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.connection = None;
            self.response_time = ResponseTime::default();
        }
    }

    /// Sets whether requests for changes state the era, as hosts of this system expect
    pub fn set_states_era(&mut self, states_era: bool) {
        self.states_era = states_era;
    }

    /// Closes the connection, for example after a timeout
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Returns all objects of a kind and the position to watch from
    ///
    /// Fails with [`Error::NewEra`] if the store begins an era between two pages.
    pub async fn list(
        &mut self,
        kind: Kind,
        consistency: Consistency,
    ) -> Result<(Vec<Object>, Position), Error> {
        let mut objects = Vec::new();
        let mut position: Option<Position> = None;
        let mut last_name = String::new();
        loop {
            let path = list_path(kind, consistency, &last_name);
            let response = self.read_page(&path).await?;
            let era = response.era;
            let page = page::decode_list(expect_body(&response)?)?;
            self.copy_age = page.copy_age;
            self.unreadable.extend(page.unreadable);
            if position.is_some_and(|position| position.era != era) {
                return Err(Error::NewEra(era));
            }
            // A watch from the lowest revision also returns changes made between two pages, and
            // those that a page of a serializable list does not contain yet.
            let page_position = page.revision.map(|revision| Position { era, revision });
            position = match (position, page_position) {
                (Some(position), Some(page_position)) => Some(position.min(page_position)),
                (position, page_position) => position.or(page_position),
            };
            // The next page begins after the last name that can be read.
            let last = page.objects.last();
            let last = last.map(|object| percent_encode(&object.name));
            objects.extend(page.objects);
            if objects.len() > MAX_LISTED_OBJECTS {
                return Err(Error::Malformed("the list is too long".to_owned()));
            }
            match last {
                _ if !page.has_more => break,
                Some(last) if last != last_name => last_name = last,
                _ => return Err(Error::Malformed("a page of the list repeats".to_owned())),
            }
        }
        let position =
            position.ok_or_else(|| Error::Malformed("store_revision is missing".to_owned()))?;
        Ok((objects, position))
    }

    /// Reads a page of a list; a page whose response is lost is read again on a new connection
    async fn read_page(&mut self, path: &str) -> Result<Response, Error> {
        let mut calls = 1;
        loop {
            match self.read(path, Duration::ZERO).await {
                Err(Error::TimedOut(_)) if calls < MAX_CALLS_PER_PAGE => calls += 1,
                result => return result,
            }
        }
    }

    /// Reads from the store, which may wait for `wait` before it responds
    async fn read(&mut self, path: &str, wait: Duration) -> Result<Response, Error> {
        let started_at = Instant::now();
        let timeout_after = wait + self.response_time.timeout();
        let result = self.call("GET", path, None, timeout_after).await;
        match &result {
            Ok(_) => {
                let elapsed = started_at.elapsed().saturating_sub(wait);
                self.response_time.record(elapsed);
            }
            Err(Error::TimedOut(_)) => self.response_time.record_timeout(),
            Err(_) => {}
        }
        result
    }

    /// Waits for changes after a position; returns them and the position to continue from
    ///
    /// Returns no changes if none were made within `wait`. Fails with [`Error::NewEra`] or
    /// [`Error::OldEra`] if the response is of another era than the position.
    pub async fn watch(
        &mut self,
        kind: Kind,
        position: Position,
        wait: Duration,
    ) -> Result<(Vec<Event>, Position), Error> {
        let Position { era, revision } = position;
        let mut path = format!(
            "/objects/{}?watch={revision}&wait_ms={}",
            kind.name(),
            wait.as_millis()
        );
        if self.states_era {
            path.push_str(&format!("&era={era}"));
        }
        let response = self.read(&path, wait).await?;
        let answered_era = response.era;
        let changes = page::decode_changes(expect_body(&response)?)?;
        self.copy_age = changes.copy_age;
        match answered_era.cmp(&era) {
            Ordering::Less => return Err(Error::OldEra(answered_era)),
            Ordering::Greater => return Err(Error::NewEra(answered_era)),
            Ordering::Equal => {}
        }
        self.unreadable.extend(changes.unreadable);
        let revision = changes.revision.unwrap_or(revision).max(revision);
        Ok((changes.events, Position { era, revision }))
    }

    /// Reads one object, which may be seconds old or not exist, to see whether the store serves calls
    pub async fn ping(
        &mut self,
        kind: Kind,
        name: &str,
        timeout_after: Duration,
    ) -> Result<(), Error> {
        let path = format!(
            "/objects/{}/{}?serializable=1",
            kind.name(),
            percent_encode(name)
        );
        let response = self.call("GET", &path, None, timeout_after).await?;
        match expect_body(&response) {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Creates an object; fails with [`Error::Conflict`] if it exists
    pub async fn create(&mut self, kind: Kind, name: &str, spec: &Value) -> Result<(), Error> {
        let path = format!("/objects/{}", kind.name());
        let response = self
            .call("POST", &path, Some(&object_body(name, spec)), CALL_TIMEOUT)
            .await?;
        expect_body(&response).map(|_| ())
    }

    /// Replaces an object; fails with [`Error::NotFound`] if it does not exist
    pub async fn replace(&mut self, kind: Kind, name: &str, spec: &Value) -> Result<(), Error> {
        let path = format!("/objects/{}/{}", kind.name(), percent_encode(name));
        let response = self
            .call("PUT", &path, Some(&object_body(name, spec)), CALL_TIMEOUT)
            .await?;
        expect_body(&response).map(|_| ())
    }

    /// Deletes an object; if `revision` is set, only if the object still has that revision
    ///
    /// Succeeds if the object does not exist.
    pub async fn delete(
        &mut self,
        kind: Kind,
        name: &str,
        revision: Option<u64>,
    ) -> Result<(), Error> {
        let mut path = format!("/objects/{}/{}", kind.name(), percent_encode(name));
        if let Some(revision) = revision {
            path.push_str(&format!("?revision={revision}"));
        }
        let response = self.call("DELETE", &path, None, CALL_TIMEOUT).await?;
        match expect_body(&response) {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout_after: Duration,
    ) -> Result<Response, Error> {
        self.calls += 1;
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_idle().await => connection,
            _ => Connection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| Error::Unreachable(error.to_string()))?,
        };
        let body = body.map(ToString::to_string).unwrap_or_default();
        let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if !body.is_empty() {
            request.push_str("Content-Type: application/json\r\n");
        }
        if method != "GET" {
            request.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        request.push_str("\r\n");
        request.push_str(&body);
        let deadline = Instant::now() + timeout_after;
        let unresponsive = |error: message::Error| Error::Unresponsive(error.to_string());
        let written = connection.write(request.as_bytes(), deadline).await;
        written.map_err(|error| Error::Unresponsive(error.to_string()))?;
        let exchange = async {
            let head = connection.read_response(method).await?;
            let body = connection
                .read_body(head.length, MAX_RESPONSE_BYTES)
                .await?;
            Ok((head, body))
        };
        let result = timeout(deadline, exchange).await;
        let result = result.ok_or(Error::TimedOut(timeout_after))?;
        let (head, body) = result.map_err(unresponsive)?;
        if head.keep_alive {
            self.connection = Some(connection);
        }
        Ok(Response {
            status: head.status,
            era: header::store_era(&head.headers).unwrap_or(0),
            body,
        })
    }
}

fn list_path(kind: Kind, consistency: Consistency, after: &str) -> String {
    let mut parameters = Vec::new();
    if consistency == Consistency::Serializable {
        parameters.push("serializable=1".to_owned());
    }
    if !after.is_empty() {
        parameters.push(format!("after={after}"));
    }
    let path = format!("/objects/{}", kind.name());
    match parameters.is_empty() {
        true => path,
        false => format!("{path}?{}", parameters.join("&")),
    }
}

fn object_body(name: &str, spec: &Value) -> Value {
    json!({ "metadata": { "name": name, "finalizers": [] }, "spec": spec })
}

/// Returns the body of a success; other statuses are errors
fn expect_body(response: &Response) -> Result<&[u8], Error> {
    match response.status {
        200..=299 => Ok(&response.body),
        404 => Err(Error::NotFound),
        409 => Err(Error::Conflict),
        410 => Err(Error::Compacted),
        status => Err(Error::Rejected(status)),
    }
}

/// Percent-encodes a name for a path or query
fn percent_encode(name: &str) -> String {
    let mut encoded = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
