//! Stand-in for the platform's store with revisions, paged lists, watches and injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use super::lock;
use crate::message::{Connection, Request};

/// Maximum number of objects on a page of a list
const PAGE_SIZE: usize = 50;

/// How often a waiting watch checks for changes
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum size of a request body
const MAX_BODY_BYTES: usize = 2 << 20;

/// Outage of the whole store
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// No outage
    #[default]
    None,
    /// All calls fail with status 503
    Unavailable,
    /// Calls get no response
    Unresponsive,
    /// Connections are closed instead of a response
    Reset,
}

/// Injected faults
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Outage for all callers
    pub outage: Outage,
    /// Delay of each response
    pub delay: Duration,
    /// Ratio of writes that take effect, but get no response
    pub lost_response_ratio: f64,
}

/// Objects by kind and name
type Objects = BTreeMap<String, BTreeMap<String, Value>>;

/// Copy of a store's content at one moment
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    objects: Objects,
}

#[derive(Debug, Default)]
struct State {
    /// Number of times that the content was replaced by an older copy, from 1; 0 if the store does
    /// not report it
    era: u64,
    revision: u64,
    objects: Objects,
    /// Retained changes as kind, revision and event
    history: VecDeque<(String, u64, Value)>,
    /// Watches from an older revision fail
    compacted_revision: u64,
    faults: Faults,
    call_count: u64,
    /// Contents that are sent as these bytes, each by the text that stands for it in its object
    raw_contents: BTreeMap<String, Vec<u8>>,
}

/// Shared handle of a stand-in store
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Creates an empty store
    pub fn new() -> Self {
        let store = Self::default();
        lock(&store.0).revision = 1;
        store
    }

    /// Creates an empty store that reports its era, starting with 1
    pub fn with_era() -> Self {
        let store = Self::new();
        lock(&store.0).era = 1;
        store
    }

    /// Returns a copy of the content
    pub fn copy(&self) -> Copy {
        let state = lock(&self.0);
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Replaces the content by an older copy and begins a new era; all else is lost
    pub fn restore(&self, copy: &Copy) {
        let mut state = lock(&self.0);
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects.clone();
        state.history.clear();
        state.compacted_revision = copy.revision;
    }

    /// Listens on `address` and serves until the process ends
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let local_address = listener.local_addr()?;
        let store = self.clone();
        let accept_loop = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                smol::spawn(async move { store.serve(stream).await }).detach();
            }
        };
        smol::spawn(accept_loop).detach();
        Ok(local_address)
    }

    /// Creates or replaces an object; returns its revision
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        lock(&self.0).write(kind, name, spec)
    }

    /// Creates or replaces an object whose content is sent as these bytes, which may be no JSON
    pub fn write_raw(&self, kind: &str, name: &str, content: &[u8]) -> u64 {
        let mut state = lock(&self.0);
        let stand_in = format!("raw-content-{}", state.raw_contents.len());
        let text = Value::from(stand_in.clone()).to_string();
        state.raw_contents.insert(text, content.to_vec());
        state.write(kind, name, stand_in.into())
    }

    /// Deletes an object
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.0).remove(kind, name);
    }

    /// Returns the names of all objects of a kind
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.0);
        let names = state
            .objects
            .get(kind)
            .map(|objects| objects.keys().cloned());
        names.into_iter().flatten().collect()
    }

    /// Replaces the injected faults
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.0).faults = faults;
    }

    /// Discards the history, so that watches from older revisions fail
    pub fn compact(&self) {
        let mut state = lock(&self.0);
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Returns the number of calls since the start
    pub fn call_count(&self) -> u64 {
        lock(&self.0).call_count
    }

    async fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(request) = connection.read_request(8 << 10).await {
            let Ok(body) = connection.read_body(request.length, MAX_BODY_BYTES).await else {
                return;
            };
            let faults = {
                let mut state = lock(&self.0);
                state.call_count += 1;
                state.faults
            };
            Timer::after(faults.delay).await;
            let response = match faults.outage {
                Outage::None => self.respond(&request, &body).await,
                Outage::Unavailable => Some((503, Value::Null)),
                Outage::Unresponsive => std::future::pending().await,
                Outage::Reset => return,
            };
            let Some((status, body)) = response else {
                // The response is lost, and the connection stays open without further responses.
                return std::future::pending().await;
            };
            let body = if body.is_null() {
                String::new()
            } else {
                body.to_string()
            };
            let era = match lock(&self.0).era {
                0 => String::new(),
                era => format!("Store-Era: {era}\r\n"),
            };
            let body = lock(&self.0).with_raw_contents(body);
            let head = format!(
                "HTTP/1.1 {status} -\r\n{era}Content-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [head.as_bytes(), &body].concat();
            let deadline = Instant::now() + Duration::from_secs(5);
            if connection.write(&bytes, deadline).await.is_err() {
                return;
            }
        }
    }

    async fn respond(&self, request: &Request, body: &[u8]) -> Option<(u16, Value)> {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let mut segments = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = segments.next().unwrap_or_default().to_owned();
        let name = segments.next().map(str::to_owned);
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let response = match (request.method.as_str(), name) {
            ("GET", None) => match number_parameter(query, "watch") {
                Some(revision) => self.watch(&kind, revision, query).await,
                None => lock(&self.0).list(&kind, query),
            },
            ("GET", Some(name)) => lock(&self.0).get(&kind, &name),
            ("POST", None) => lock(&self.0).create(&kind, &value),
            ("PUT", Some(name)) => lock(&self.0).replace(&kind, &name, &value),
            ("DELETE", Some(name)) => {
                lock(&self.0).delete(&kind, &name, number_parameter(query, "revision"))
            }
            _ => (404, Value::Null),
        };
        let is_write = request.method != "GET";
        let lost_ratio = lock(&self.0).faults.lost_response_ratio;
        let is_lost = is_write && response.0 < 300 && fastrand::f64() < lost_ratio;
        (!is_lost).then_some(response)
    }

    async fn watch(&self, kind: &str, revision: u64, query: &str) -> (u16, Value) {
        let wait = Duration::from_millis(number_parameter(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            {
                let state = lock(&self.0);
                if revision < state.compacted_revision || revision > state.revision {
                    return (410, Value::Null);
                }
                let changes = state.history.iter();
                let changes = changes.filter(|(changed_kind, changed_at, _)| {
                    changed_kind == kind && *changed_at > revision
                });
                let events: Vec<Value> = changes.map(|(.., event)| event.clone()).collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let body = json!({ "events": events, "store_revision": state.revision });
                    return (200, body);
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

impl State {
    /// Returns a body in which the raw contents are in their places
    fn with_raw_contents(&self, body: String) -> Vec<u8> {
        let mut bytes = body.into_bytes();
        for (stand_in, content) in &self.raw_contents {
            let stand_in = stand_in.as_bytes();
            let mut start = 0;
            let find = |bytes: &[u8]| {
                let mut parts = bytes.windows(stand_in.len());
                parts.position(|part| part == stand_in)
            };
            while let Some(offset) = find(&bytes[start..]) {
                let found = start + offset;
                bytes.splice(found..found + stand_in.len(), content.iter().copied());
                start = found + content.len();
            }
        }
        bytes
    }

    fn record_change(&mut self, kind: &str, removed: bool, object: Value) {
        let event = json!({ "removed": removed, "object": object });
        self.history
            .push_back((kind.to_owned(), self.revision, event));
    }

    fn write(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let objects = self.objects.entry(kind.to_owned()).or_default();
        if let Some(unchanged) = objects.get(name).filter(|object| object["spec"] == spec) {
            return unchanged["metadata"]["revision"].as_u64().unwrap_or(0);
        }
        self.revision += 1;
        let metadata = json!({ "name": name, "revision": self.revision, "finalizers": [] });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        objects.insert(name.to_owned(), object.clone());
        self.record_change(kind, false, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let removed = self
            .objects
            .get_mut(kind)
            .and_then(|objects| objects.remove(name));
        let Some(object) = removed else {
            return false;
        };
        self.revision += 1;
        self.record_change(kind, true, object);
        true
    }

    fn list(&self, kind: &str, query: &str) -> (u16, Value) {
        let after = text_parameter(query, "after").unwrap_or_default();
        let objects = self.objects.get(kind);
        let items = objects.into_iter().flatten();
        let mut items = items
            .filter(|(name, _)| name.as_str() > after)
            .map(|(_, object)| object);
        let page: Vec<&Value> = items.by_ref().take(PAGE_SIZE).collect();
        let has_more = items.next().is_some();
        (
            200,
            json!({ "items": page, "has_more": has_more, "store_revision": self.revision }),
        )
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let object = self.objects.get(kind).and_then(|objects| objects.get(name));
        object.map_or((404, Value::Null), |object| (200, object.clone()))
    }

    fn create(&mut self, kind: &str, value: &Value) -> (u16, Value) {
        let name = value["metadata"]["name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        if let (200, object) = self.get(kind, &name) {
            return (409, object);
        }
        self.write(kind, &name, value["spec"].clone());
        self.get(kind, &name)
    }

    fn replace(&mut self, kind: &str, name: &str, value: &Value) -> (u16, Value) {
        let (200, object) = self.get(kind, name) else {
            return (404, Value::Null);
        };
        let expected = value["metadata"]["revision"].as_u64();
        if expected.is_some_and(|revision| object["metadata"]["revision"] != revision) {
            return (409, object);
        }
        self.write(kind, name, value["spec"].clone());
        self.get(kind, name)
    }

    fn delete(&mut self, kind: &str, name: &str, revision: Option<u64>) -> (u16, Value) {
        let (200, object) = self.get(kind, name) else {
            return (404, Value::Null);
        };
        if revision.is_some_and(|revision| object["metadata"]["revision"] != revision) {
            return (409, object);
        }
        self.remove(kind, name);
        (200, object)
    }
}

fn text_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn number_parameter(query: &str, name: &str) -> Option<u64> {
    text_parameter(query, name)?.parse().ok()
}
