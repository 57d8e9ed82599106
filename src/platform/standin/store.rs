//! Stand-in for the platform's store: objects with revisions, pages, watches, and its faults.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use super::lock;
use crate::message::{Connection, Request};

/// Objects on one page of a list
const PAGE: usize = 50;

/// Time between two looks of a waiting watch
const POLL: Duration = Duration::from_millis(5);

/// Longest body of a call, in bytes
const MAX_BODY: usize = 2 << 20;

/// How the store fails as a whole
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It works
    #[default]
    None,
    /// Calls are answered 503
    Unavailable,
    /// Calls are not answered
    Unresponsive,
    /// Connections are closed
    Reset,
}

/// Faults in force
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Outage towards all callers
    pub outage: Outage,
    /// Delay of each answer
    pub delay: Duration,
    /// Part of the writes that take effect and are not answered
    pub lost_response_ratio: f64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Value>>,
    /// Kind, revision and event of each change that is kept
    history: VecDeque<(String, u64, Value)>,
    forgotten: u64,
    faults: Faults,
    calls: u64,
}

/// Shared handle of a stand-in store
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Empty store
    pub fn new() -> Self {
        let store = Self::default();
        lock(&store.0).revision = 1;
        store
    }

    /// Listen on an address and serve for ever
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let store = self.clone();
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                smol::spawn(async move { store.serve(stream).await }).detach();
            }
        };
        smol::spawn(accepting).detach();
        Ok(bound)
    }

    /// Write an object as its own writer would; returns its revision
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        lock(&self.0).write(kind, name, spec)
    }

    /// Remove an object
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.0).remove(kind, name);
    }

    /// Names of the objects of a kind
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.0);
        let names = state.kinds.get(kind).map(|objects| objects.keys().cloned());
        names.into_iter().flatten().collect()
    }

    /// Set the faults in force
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.0).faults = faults;
    }

    /// Drop the history, so that watches from older revisions fail
    pub fn compact(&self) {
        let mut state = lock(&self.0);
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Calls since the start
    pub fn call_count(&self) -> u64 {
        lock(&self.0).calls
    }

    async fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(request) = connection.read_request(8 << 10).await {
            let Ok(body) = connection.read_body(request.length, MAX_BODY).await else {
                return;
            };
            let faults = {
                let mut state = lock(&self.0);
                state.calls += 1;
                state.faults
            };
            Timer::after(faults.delay).await;
            let answer = match faults.outage {
                Outage::None => self.answer(&request, &body).await,
                Outage::Unavailable => Some((503, Value::Null)),
                Outage::Unresponsive => std::future::pending().await,
                Outage::Reset => return,
            };
            let Some((status, body)) = answer else {
                // The answer is lost, and nothing more comes on this connection.
                return std::future::pending().await;
            };
            let body = if body.is_null() {
                String::new()
            } else {
                body.to_string()
            };
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let deadline = Instant::now() + Duration::from_secs(5);
            if connection.write(text.as_bytes(), deadline).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Request, body: &[u8]) -> Option<(u16, Value)> {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        let answer = match (request.method.as_str(), name) {
            ("GET", None) => match number(query, "watch") {
                Some(revision) => self.watch(&kind, revision, query).await,
                None => lock(&self.0).list(&kind, query),
            },
            ("GET", Some(name)) => lock(&self.0).get(&kind, &name),
            ("POST", None) => lock(&self.0).create(&kind, &value),
            ("PUT", Some(name)) => lock(&self.0).replace(&kind, &name, &value),
            ("DELETE", Some(name)) => lock(&self.0).delete(&kind, &name, number(query, "revision")),
            _ => (404, Value::Null),
        };
        let writes = request.method != "GET";
        let lose = lock(&self.0).faults.lost_response_ratio;
        let lost = writes && answer.0 < 300 && fastrand::f64() < lose;
        (!lost).then_some(answer)
    }

    async fn watch(&self, kind: &str, revision: u64, query: &str) -> (u16, Value) {
        let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            {
                let state = lock(&self.0);
                if revision < state.forgotten {
                    return (410, Value::Null);
                }
                let newer = state.history.iter();
                let newer = newer.filter(|(of, at, _)| of == kind && *at > revision);
                let events: Vec<Value> = newer.map(|(.., event)| event.clone()).collect();
                if !events.is_empty() || Instant::now() >= until {
                    let told = json!({ "events": events, "store_revision": state.revision });
                    return (200, told);
                }
            }
            Timer::after(POLL).await;
        }
    }
}

impl State {
    fn note(&mut self, kind: &str, removed: bool, object: Value) {
        let event = json!({ "removed": removed, "object": object });
        self.history
            .push_back((kind.to_owned(), self.revision, event));
    }

    fn write(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        if let Some(same) = objects.get(name).filter(|object| object["spec"] == spec) {
            return same["metadata"]["revision"].as_u64().unwrap_or(0);
        }
        self.revision += 1;
        let metadata = json!({ "name": name, "revision": self.revision, "finalizers": [] });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        objects.insert(name.to_owned(), object.clone());
        self.note(kind, false, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let removed = self
            .kinds
            .get_mut(kind)
            .and_then(|objects| objects.remove(name));
        let Some(object) = removed else {
            return false;
        };
        self.revision += 1;
        self.note(kind, true, object);
        true
    }

    fn list(&self, kind: &str, query: &str) -> (u16, Value) {
        let after = text(query, "after").unwrap_or_default();
        let objects = self.kinds.get(kind);
        let items = objects.into_iter().flatten();
        let mut items = items
            .filter(|(name, _)| name.as_str() > after)
            .map(|(_, object)| object);
        let page: Vec<&Value> = items.by_ref().take(PAGE).collect();
        let more = items.next().is_some();
        (
            200,
            json!({ "items": page, "has_more": more, "store_revision": self.revision }),
        )
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let object = self.kinds.get(kind).and_then(|objects| objects.get(name));
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

fn text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Option<u64> {
    text(query, name)?.parse().ok()
}
