//! Stand-in for the platform's store: lists, watches, single objects and writes.
//!
//! What an object holds is kept as the text that its writer sent, and handed out unchanged.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and content by kind and name
    objects: BTreeMap<(String, String), (u64, Vec<u8>)>,
    /// Kind, revision and event
    history: Vec<(String, u64, Vec<u8>)>,
}

/// Shared handle of the store
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn encode(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":1,\
         \"finalizers\":[],\"pending_delete\":false}},\"status\":null,\"spec\":"
    )
    .into_bytes();
    text.extend_from_slice(spec);
    text.push(b'}');
    text
}

/// Returns the text of the member `key` of a JSON object, on its first level
fn member(json: &[u8], key: &str) -> Option<Vec<u8>> {
    let pattern = format!("\"{key}\":").into_bytes();
    let (mut depth, mut in_string, mut index) = (0, false, 0);
    let mut start = None;
    while index < json.len() {
        let byte = json[index];
        if start.is_none() && depth == 1 && !in_string && json[index..].starts_with(&pattern) {
            index += pattern.len();
            start = Some(index);
            continue;
        }
        match byte {
            b'\\' if in_string => index += 1,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth -= 1,
            _ => {}
        }
        let ends = !in_string && ((byte == b',' && depth == 1) || depth == 0);
        if let (Some(start), true) = (start, ends) {
            return Some(json[start..index].to_vec());
        }
        index += 1;
    }
    None
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self(Arc::default());
        store.0.0.lock().unwrap().revision = 100;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object; an unchanged one causes no event
    pub fn put(&self, kind: &str, name: &str, spec: impl AsRef<[u8]>) {
        let spec = spec.as_ref();
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state
            .objects
            .get(&key)
            .is_some_and(|(_, known)| known == spec)
        {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_vec()));
        let mut event = b"{\"removed\":false,\"object\":".to_vec();
        event.extend(encode(name, revision, spec));
        event.push(b'}');
        state.history.push((kind.to_owned(), revision, event));
        self.0.1.notify_all();
    }

    /// Removes an object; returns whether it existed
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let mut event = b"{\"removed\":true,\"object\":".to_vec();
        event.extend(encode(name, revision, &spec));
        event.push(b'}');
        state.history.push((kind.to_owned(), revision, event));
        self.0.1.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        reader.set_timeout(Duration::from_secs(120));
        while let Ok(Some(request)) = reader.read() {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&request);
            let mut response = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            response.extend(body);
            if reader.stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let (method, target) = request.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
        };
        let mut parts = path.split('/').skip(2);
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        match (method, name) {
            ("GET", None) => match parameter("watch") {
                Some(revision) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0));
                    (200, self.watch(&kind, revision.parse().unwrap_or(0), wait))
                }
                None => (200, self.list(&kind)),
            },
            ("GET", Some(name)) => {
                let state = self.0.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => (200, encode(&name, *revision, spec)),
                    None => (404, b"{}".to_vec()),
                }
            }
            ("POST", None) => {
                let metadata = member(&request.body, "metadata").unwrap_or_default();
                let name = member(&metadata, "name").unwrap_or_default();
                let name = String::from_utf8_lossy(&name).trim_matches('"').to_owned();
                let key = (kind.clone(), name.clone());
                if self.0.0.lock().unwrap().objects.contains_key(&key) {
                    return (409, b"{}".to_vec());
                }
                self.put(
                    &kind,
                    &name,
                    member(&request.body, "spec").unwrap_or_default(),
                );
                (200, b"{}".to_vec())
            }
            ("PUT", Some(name)) => {
                let key = (kind.clone(), name.clone());
                if !self.0.0.lock().unwrap().objects.contains_key(&key) {
                    return (404, b"{}".to_vec());
                }
                self.put(
                    &kind,
                    &name,
                    member(&request.body, "spec").unwrap_or_default(),
                );
                (200, b"{}".to_vec())
            }
            ("DELETE", Some(name)) => match self.remove(&kind, &name) {
                true => (200, b"{}".to_vec()),
                false => (404, b"{}".to_vec()),
            },
            _ => (404, b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.0.0.lock().unwrap();
        let items = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items = items.map(|((_, name), (revision, spec))| encode(name, *revision, spec));
        let items: Vec<Vec<u8>> = items.collect();
        let mut body = b"{\"items\":[".to_vec();
        body.extend(items.join(&b","[..]));
        let revision = state.revision;
        body.extend(format!("],\"has_more\":false,\"store_revision\":{revision}}}").into_bytes());
        body
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Vec<u8> {
        let end = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let new = state
                .history
                .iter()
                .filter(|(of, at, _)| of == kind && *at > after);
            let events: Vec<Vec<u8>> = new.map(|(_, _, event)| event.clone()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b","[..]));
                body.extend(format!("],\"store_revision\":{}}}", state.revision).into_bytes());
                return body;
            }
            state = self.0.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}
