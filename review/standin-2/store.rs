//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Value, table};

/// Largest number of objects on a page of a list
const PAGE_OBJECTS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name
    objects: BTreeMap<(String, String), Value>,
    /// Changes by revision, each with its kind
    history: Vec<(u64, String, Value)>,
}

/// Store that never fails and forgets nothing
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Listens and serves until the process ends
    pub fn start(address: SocketAddr) -> std::io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 1;
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes an object as the operator, an endpoint or another writer
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        state.put(kind, name, spec);
        self.0.1.notify_all();
        state.revision
    }

    /// Returns the content of an object
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let (_, object) = self.0.0.lock().unwrap().get(kind, name);
        object.get("spec").cloned()
    }

    /// Returns the names of all objects of a kind
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.0.0.lock().unwrap();
        let keys = state.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.respond(&request);
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status} -\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Value) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/objects/") else {
            return (404, Value::Null);
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(percent_decode(name))),
            None => (rest, None),
        };
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
        let spec = body.get("spec").cloned().unwrap_or(Value::Null);
        let stated = body
            .get("metadata")
            .and_then(|metadata| metadata.get("revision"));
        let stated = stated.and_then(Value::number);
        if let ("GET", None, Some(revision)) = (request.word(0), &name, number(query, "watch")) {
            let wait = number(query, "wait_ms").unwrap_or(0).min(30_000);
            return self.watch(kind, revision, Duration::from_millis(wait));
        }
        let mut state = self.0.0.lock().unwrap();
        let answer = match (request.word(0), name) {
            ("GET", None) => state.list(kind, &parameter(query, "after").unwrap_or_default()),
            ("GET", Some(name)) => state.get(kind, &name),
            ("POST", None) => {
                let name = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("name"));
                let name = name.and_then(Value::text).unwrap_or_default().to_owned();
                match state.get(kind, &name) {
                    (200, object) => (409, object),
                    _ => state.put(kind, &name, spec),
                }
            }
            ("PUT", Some(name)) => match state.get(kind, &name) {
                (200, object) if stated.is_some_and(|stated| revision_of(&object) != stated) => {
                    (409, object)
                }
                (200, _) => state.put(kind, &name, spec),
                missing => missing,
            },
            ("DELETE", Some(name)) => match (state.get(kind, &name), number(query, "revision")) {
                ((200, object), Some(stated)) if revision_of(&object) != stated => (409, object),
                ((200, object), _) => {
                    state.remove(kind, &name);
                    (200, object)
                }
                (missing, _) => missing,
            },
            _ => (404, Value::Null),
        };
        self.0.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            if revision > state.revision {
                return (410, Value::Null);
            }
            let changes = state.history.iter();
            let changes = changes.filter(|(at, other, _)| *at > revision && other == kind);
            let events: Vec<Value> = changes.map(|(.., event)| event.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let fields = [
                    ("events", Value::List(events)),
                    ("store_revision", state.revision.into()),
                ];
                return (200, table(fields));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or((404, Value::Null), |object| (200, object.clone()))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let objects = self.objects.iter();
        let listed = objects.filter(|((other, name), _)| other == kind && name.as_str() > after);
        let mut listed = listed.map(|(_, object)| object.clone());
        let items: Vec<Value> = listed.by_ref().take(PAGE_OBJECTS).collect();
        let fields = [
            ("items", Value::List(items)),
            ("has_more", listed.next().is_some().into()),
            ("store_revision", self.revision.into()),
        ];
        (200, table(fields))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value) -> (u16, Value) {
        if let (200, object) = self.get(kind, name)
            && object.get("spec") == Some(&spec)
        {
            return (200, object);
        }
        self.revision += 1;
        let metadata = [
            ("name", name.into()),
            ("revision", self.revision.into()),
            ("finalizers", Value::List(Vec::new())),
        ];
        let fields = [
            ("metadata", table(metadata)),
            ("spec", spec),
            ("status", Value::Null),
        ];
        let object = table(fields);
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.record(kind, false, object.clone());
        (200, object)
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record(kind, true, object);
        }
    }

    fn record(&mut self, kind: &str, removed: bool, object: Value) {
        let event = table([("object", object), ("removed", removed.into())]);
        self.history.push((self.revision, kind.to_owned(), event));
    }
}

fn revision_of(object: &Value) -> u64 {
    let metadata = object.get("metadata");
    let revision = metadata.and_then(|metadata| metadata.get("revision"));
    revision.and_then(Value::number).unwrap_or(0)
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map(|(_, value)| percent_decode(value))
}

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let digits = (byte == b'%').then(|| [rest.next(), rest.next()]);
        let digits = digits.map(|digits| digits.into_iter().flatten().collect::<Vec<u8>>());
        let decoded = digits.and_then(|digits| String::from_utf8(digits).ok());
        let decoded = decoded.and_then(|digits| u8::from_str_radix(&digits, 16).ok());
        bytes.push(decoded.unwrap_or(byte));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
