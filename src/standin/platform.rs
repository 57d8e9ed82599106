//! Stand-in for the platform's object API and host list, with its faults.
//!
//! Beside the calls that `platform` documents it takes `PUT /hosts`, `PUT /upstreams` and
//! `PUT /control`, and `GET /calls` counts what it was asked. One listener stands for one viewer:
//! faults and translated peer addresses can differ between them, so that a relay can sit between
//! two zones.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use super::store::{On, Store};
use super::{body, control, json, plain, query};
use crate::error::Error;
use crate::http;
use crate::member::HostInfo;

/// Longest wait of one watch
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Time after which a hung call is closed
const HANG: Duration = Duration::from_secs(60);

/// Writes by which an old read lags
const OLD_BY: usize = 1;

/// Time between two looks at what a call waits for
const POLL: Duration = Duration::from_millis(5);

/// Name of a viewer, one for each listener
pub type View = String;

/// How the platform fails as a whole
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// It works
    #[default]
    None,
    /// Connections close without an answer
    Close,
    /// Connections hang
    Hang,
    /// Answers are errors
    Error,
}

/// Faults in force
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage towards all viewers
    pub outage: Outage,
    /// Outage towards one viewer
    pub outages: BTreeMap<View, Outage>,
    /// Delay of each answer, in milliseconds
    pub delay_ms: u64,
    /// Part of writes whose answers are lost after they took effect
    pub lose_answers: f64,
    /// Number of coming writes whose answers are lost after they took effect
    pub lose_next: u32,
    /// Part of reads that answer the version before the newest
    pub old_reads: f64,
    /// Age of the host list that is answered, in milliseconds
    pub hosts_lag_ms: u64,
    /// Peer addresses as a viewer sees them
    pub translate: BTreeMap<View, BTreeMap<SocketAddr, SocketAddr>>,
}

/// Calls counted since the start
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of objects
    pub reads: u64,
    /// Watches of objects
    pub watches: u64,
    /// Watches waiting now
    pub waiting: u64,
    /// Most watches that waited at once
    pub max_waiting: u64,
    /// Writes that were tried
    pub writes: u64,
    /// Reads of the lists
    pub lists: u64,
    /// Calls that met an outage
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: Faults,
    calls: Calls,
    hosts: VecDeque<(Instant, Vec<HostInfo>)>,
    upstreams: Vec<SocketAddr>,
}

/// Shared state of all listeners
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Platform without objects, hosts or faults
    pub fn new() -> Self {
        Self::default()
    }

    /// Answer one viewer's calls until the listener fails
    pub async fn serve(&self, listener: TcpListener, view: View) -> std::io::Result<()> {
        let platform = self.clone();
        let handler = move |request| {
            let platform = platform.clone();
            let view = view.clone();
            async move { platform.answer(request, &view).await }
        };
        http::serve(listener, handler).await
    }

    async fn answer(&self, mut request: Request, view: &str) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        let path: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            (Method::Put, ["control"]) => self.control(&body(&mut request).await?),
            (Method::Get, ["control"]) => json(&self.lock().faults),
            (Method::Get, ["calls"]) => json(&self.lock().calls),
            (Method::Get, ["names"]) => json(&self.lock().store.names()),
            (Method::Put, ["hosts"]) => self.set_hosts(&body(&mut request).await?),
            (Method::Put, ["upstreams"]) => self.set_upstreams(&body(&mut request).await?),
            (_, path) => self.call(request, path, view).await,
        }
    }

    async fn call(
        &self,
        mut request: Request,
        path: &[&str],
        view: &str,
    ) -> http_types::Result<Response> {
        if let Some(answer) = self.outage(view).await {
            return answer;
        }
        let answer = match (request.method(), path) {
            (Method::Get, ["hosts"]) => self.hosts(&request, view),
            (Method::Get, ["upstreams"]) => {
                let mut state = self.lock();
                state.calls.lists += 1;
                json(&state.upstreams)
            }
            (Method::Get, ["objects", name]) => self.read(&request, name, view).await,
            (Method::Put, ["objects", name]) => {
                let body = body(&mut request).await?;
                self.write(&request, name, body)
            }
            _ => plain(404, "no such call"),
        };
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        answer
    }

    async fn outage(&self, view: &str) -> Option<http_types::Result<Response>> {
        let outage = self.outage_now(view);
        if outage == Outage::None {
            return None;
        }
        self.lock().calls.refused += 1;
        if outage == Outage::Error {
            return Some(plain(503, "outage"));
        }
        if outage == Outage::Hang {
            let over = async {
                while self.outage_now(view) == Outage::Hang {
                    Timer::after(POLL).await;
                }
            };
            let closed = async {
                Timer::after(HANG).await;
            };
            over.or(closed).await;
        }
        Some(Err(lost()))
    }

    fn outage_now(&self, view: &str) -> Outage {
        let state = self.lock();
        let own = state.faults.outages.get(view).copied();
        match own.unwrap_or_default() {
            Outage::None => state.faults.outage,
            own => own,
        }
    }

    fn control(&self, patch: &[u8]) -> http_types::Result<Response> {
        let mut state = self.lock();
        match control::patched(&state.faults, patch) {
            Ok(faults) => state.faults = faults,
            Err(error) => return plain(400, &error.to_string()),
        }
        json(&state.faults)
    }

    fn set_hosts(&self, body: &[u8]) -> http_types::Result<Response> {
        let hosts = match serde_json::from_slice(body) {
            Ok(hosts) => hosts,
            Err(error) => return plain(400, &error.to_string()),
        };
        self.lock().hosts.push_back((Instant::now(), hosts));
        plain(200, "set")
    }

    fn set_upstreams(&self, body: &[u8]) -> http_types::Result<Response> {
        let upstreams = match serde_json::from_slice(body) {
            Ok(upstreams) => upstreams,
            Err(error) => return plain(400, &error.to_string()),
        };
        self.lock().upstreams = upstreams;
        plain(200, "set")
    }

    fn hosts(&self, request: &Request, view: &str) -> http_types::Result<Response> {
        let mut state = self.lock();
        state.calls.lists += 1;
        let lag = Duration::from_millis(state.faults.hosts_lag_ms);
        let now = Instant::now();
        let old = |(at, _): &&(Instant, Vec<HostInfo>)| *at + lag <= now;
        let listed = state.hosts.iter().rev().find(old);
        let mut listed = listed.map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        let view = query(request, "zone").unwrap_or_else(|| view.to_owned());
        if let Some(seen) = state.faults.translate.get(&view) {
            for host in &mut listed {
                host.peer = *seen.get(&host.peer).unwrap_or(&host.peer);
            }
        }
        json(&listed)
    }

    async fn read(
        &self,
        request: &Request,
        name: &str,
        view: &str,
    ) -> http_types::Result<Response> {
        let number = |name| query(request, name).and_then(|text| text.parse::<u64>().ok());
        let Some(after) = number("after") else {
            let mut state = self.lock();
            state.calls.reads += 1;
            let old = fastrand::f64() < state.faults.old_reads;
            let back = if old { OLD_BY } else { 0 };
            let Some((version, body)) = state.store.read_old(name, back) else {
                return plain(404, "no such object");
            };
            return object(*version, body.clone());
        };
        let wait = Duration::from_secs(number("wait").unwrap_or(0)).min(MAX_WAIT);
        let until = Instant::now() + wait;
        self.begin_wait();
        let found = loop {
            if self.outage_now(view) != Outage::None {
                break Err(lost());
            }
            let newest = self.lock().store.read(name).cloned();
            match newest {
                Some((version, body)) if version > after => break Ok(Some((version, body))),
                _ if Instant::now() >= until => break Ok(None),
                _ => Timer::after(POLL).await,
            };
        };
        self.lock().calls.waiting -= 1;
        match found? {
            Some((version, body)) => object(version, body),
            None => Ok(Response::new(StatusCode::NotModified)),
        }
    }

    fn begin_wait(&self) {
        let mut state = self.lock();
        state.calls.watches += 1;
        state.calls.waiting += 1;
        state.calls.max_waiting = state.calls.max_waiting.max(state.calls.waiting);
    }

    fn write(&self, request: &Request, name: &str, body: Vec<u8>) -> http_types::Result<Response> {
        let header = |name: &str| request.header(name).map(|values| values.last().as_str());
        let version = header("if-match").and_then(|text| text.trim_matches('"').parse().ok());
        let on = match (version, header("if-none-match")) {
            (Some(version), _) => On::Version(version),
            (None, Some("*")) => On::Absent,
            _ => return plain(400, "a write needs If-Match or If-None-Match"),
        };
        let mut state = self.lock();
        state.calls.writes += 1;
        let Some(version) = state.store.write(name, body, on) else {
            return plain(412, "another version");
        };
        let drawn = fastrand::f64() < state.faults.lose_answers;
        if drawn || state.faults.lose_next > 0 {
            state.faults.lose_next = state.faults.lose_next.saturating_sub(1);
            return Err(lost());
        }
        object(version, Vec::new())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// An answer with a version
fn object(version: u64, body: Vec<u8>) -> http_types::Result<Response> {
    let mut answer = Response::new(StatusCode::Ok);
    answer.insert_header("etag", format!("\"{version}\""));
    answer.set_body(body);
    Ok(answer)
}

/// Error that closes the connection without an answer
fn lost() -> http_types::Error {
    http_types::Error::from_str(StatusCode::ServiceUnavailable, "answer lost")
}

/// Bind and serve until a listener fails
pub async fn run(address: SocketAddr, views: Vec<(View, SocketAddr)>) -> Result<(), Error> {
    let platform = Platform::new();
    let main = super::listen(address).await?;
    for (view, address) in views {
        let listener = super::listen(address).await?;
        let platform = platform.clone();
        let served = async move {
            if let Err(error) = platform.serve(listener, view).await {
                log::error!("{address}: {error}");
            }
        };
        smol::spawn(served).detach();
    }
    let served = platform.serve(main, View::new()).await;
    served.map_err(|error| Error::Unavailable(format!("{address}: {error}; start it again")))
}
