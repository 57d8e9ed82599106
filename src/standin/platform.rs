//! Stand-in for the platform's object API and host list, with fault injection.
//!
//! In addition to the calls that the `platform` module documents, it serves `PUT /hosts`,
//! `PUT /upstreams`, `PUT /control` and `GET /calls`, which returns call counters. Each listener
//! serves one viewer. Faults and translated peer addresses can differ between viewers, so that a
//! relay can be placed between two zones.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use super::store::{Condition, Store};
use super::{control, json_response, query_parameter, read_body, text_response};
use crate::error::Error;
use crate::http;
use crate::member::HostInfo;

/// Maximum duration of one watch
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// Time after which a hanging call is closed
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of writes by which a stale read lags
const STALE_READ_WRITES: usize = 1;

/// Poll interval of waiting calls
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Name of a viewer; each listener serves one
pub type Viewer = String;

/// Failure of all calls
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No failure
    #[default]
    None,
    /// Connections close without a response
    Close,
    /// Connections hang
    Hang,
    /// Responses are errors
    Error,
}

/// Active faults; ratios are between 0 and 1
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage for all viewers
    pub outage: Outage,
    /// Outage per viewer
    pub outages: BTreeMap<Viewer, Outage>,
    /// Delay of each response, in milliseconds
    pub delay_ms: u64,
    /// Ratio of writes that take effect without a response
    pub lose_answers: f64,
    /// Number of next writes that take effect without a response
    pub lose_next: u32,
    /// Ratio of reads that return the version before the newest
    pub old_reads: f64,
    /// Delay of changes to the host list, in milliseconds
    pub hosts_lag_ms: u64,
    /// Replacement peer addresses per viewer
    pub translate: BTreeMap<Viewer, BTreeMap<SocketAddr, SocketAddr>>,
}

/// Call counters since the start
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Object reads
    pub reads: u64,
    /// Object watches
    pub watches: u64,
    /// Watches currently waiting
    pub waiting: u64,
    /// Maximum number of concurrently waiting watches
    pub max_waiting: u64,
    /// Attempted object writes
    pub writes: u64,
    /// Reads of the host and upstream lists
    pub lists: u64,
    /// Calls that failed because of an outage
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: Faults,
    calls: Calls,
    host_lists: VecDeque<(Instant, Vec<HostInfo>)>,
    upstreams: Vec<SocketAddr>,
}

/// Shared state of all listeners
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Creates a platform without objects, hosts or faults
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves one viewer's calls until the listener fails
    pub async fn serve(&self, listener: TcpListener, viewer: Viewer) -> std::io::Result<()> {
        let platform = self.clone();
        let handler = move |request| {
            let platform = platform.clone();
            let viewer = viewer.clone();
            async move { platform.handle(request, &viewer).await }
        };
        http::serve(listener, handler).await
    }

    async fn handle(&self, mut request: Request, viewer: &str) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        let path: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            (Method::Put, ["control"]) => self.patch_faults(&read_body(&mut request).await?),
            (Method::Get, ["control"]) => json_response(&self.lock().faults),
            (Method::Get, ["calls"]) => json_response(&self.lock().calls),
            (Method::Get, ["names"]) => json_response(&self.lock().store.names()),
            (Method::Put, ["hosts"]) => self.set_hosts(&read_body(&mut request).await?),
            (Method::Put, ["upstreams"]) => self.set_upstreams(&read_body(&mut request).await?),
            (_, path) => self.handle_with_faults(request, path, viewer).await,
        }
    }

    async fn handle_with_faults(
        &self,
        mut request: Request,
        path: &[&str],
        viewer: &str,
    ) -> http_types::Result<Response> {
        if let Some(failure) = self.fail_on_outage(viewer).await {
            return failure;
        }
        let response = match (request.method(), path) {
            (Method::Get, ["hosts"]) => self.list_hosts(&request, viewer),
            (Method::Get, ["upstreams"]) => {
                let mut state = self.lock();
                state.calls.lists += 1;
                json_response(&state.upstreams)
            }
            (Method::Get, ["objects", name]) => self.read(&request, name, viewer).await,
            (Method::Put, ["objects", name]) => {
                let body = read_body(&mut request).await?;
                self.write(&request, name, body)
            }
            _ => text_response(404, "no such call"),
        };
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        response
    }

    async fn fail_on_outage(&self, viewer: &str) -> Option<http_types::Result<Response>> {
        let outage = self.current_outage(viewer);
        if outage == Outage::None {
            return None;
        }
        self.lock().calls.refused += 1;
        if outage == Outage::Error {
            return Some(text_response(503, "outage"));
        }
        if outage == Outage::Hang {
            let outage_end = async {
                while self.current_outage(viewer) == Outage::Hang {
                    Timer::after(POLL_INTERVAL).await;
                }
            };
            let timeout = async {
                Timer::after(HANG_TIMEOUT).await;
            };
            outage_end.or(timeout).await;
        }
        Some(Err(response_lost()))
    }

    fn current_outage(&self, viewer: &str) -> Outage {
        let state = self.lock();
        let viewer_outage = state.faults.outages.get(viewer).copied();
        match viewer_outage.unwrap_or_default() {
            Outage::None => state.faults.outage,
            viewer_outage => viewer_outage,
        }
    }

    fn patch_faults(&self, patch: &[u8]) -> http_types::Result<Response> {
        let mut state = self.lock();
        match control::apply_merge_patch(&state.faults, patch) {
            Ok(faults) => state.faults = faults,
            Err(error) => return text_response(400, &error.to_string()),
        }
        json_response(&state.faults)
    }

    fn set_hosts(&self, body: &[u8]) -> http_types::Result<Response> {
        let hosts = match serde_json::from_slice(body) {
            Ok(hosts) => hosts,
            Err(error) => return text_response(400, &error.to_string()),
        };
        self.lock().host_lists.push_back((Instant::now(), hosts));
        text_response(200, "set")
    }

    fn set_upstreams(&self, body: &[u8]) -> http_types::Result<Response> {
        let upstreams = match serde_json::from_slice(body) {
            Ok(upstreams) => upstreams,
            Err(error) => return text_response(400, &error.to_string()),
        };
        self.lock().upstreams = upstreams;
        text_response(200, "set")
    }

    fn list_hosts(&self, request: &Request, viewer: &str) -> http_types::Result<Response> {
        let mut state = self.lock();
        state.calls.lists += 1;
        let lag = Duration::from_millis(state.faults.hosts_lag_ms);
        let now = Instant::now();
        let is_visible = |(at, _): &&(Instant, Vec<HostInfo>)| *at + lag <= now;
        let visible = state.host_lists.iter().rev().find(is_visible);
        let mut hosts = visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        let viewer = query_parameter(request, "zone").unwrap_or_else(|| viewer.to_owned());
        if let Some(translations) = state.faults.translate.get(&viewer) {
            for host in &mut hosts {
                host.peer = *translations.get(&host.peer).unwrap_or(&host.peer);
            }
        }
        json_response(&hosts)
    }

    async fn read(
        &self,
        request: &Request,
        name: &str,
        viewer: &str,
    ) -> http_types::Result<Response> {
        let parameter =
            |name| query_parameter(request, name).and_then(|text| text.parse::<u64>().ok());
        let Some(known_version) = parameter("after") else {
            let mut state = self.lock();
            state.calls.reads += 1;
            let is_stale = fastrand::f64() < state.faults.old_reads;
            let age = if is_stale { STALE_READ_WRITES } else { 0 };
            let Some((version, body)) = state.store.read_stale(name, age) else {
                return text_response(404, "no such object");
            };
            return object_response(*version, body.clone());
        };
        let wait = Duration::from_secs(parameter("wait").unwrap_or(0)).min(MAX_WATCH_TIME);
        let deadline = Instant::now() + wait;
        self.count_watch();
        let found = loop {
            if self.current_outage(viewer) != Outage::None {
                break Err(response_lost());
            }
            let newest = self.lock().store.read(name).cloned();
            match newest {
                Some((version, body)) if version > known_version => {
                    break Ok(Some((version, body)));
                }
                _ if Instant::now() >= deadline => break Ok(None),
                _ => Timer::after(POLL_INTERVAL).await,
            };
        };
        self.lock().calls.waiting -= 1;
        match found? {
            Some((version, body)) => object_response(version, body),
            None => Ok(Response::new(StatusCode::NotModified)),
        }
    }

    fn count_watch(&self) {
        let mut state = self.lock();
        state.calls.watches += 1;
        state.calls.waiting += 1;
        state.calls.max_waiting = state.calls.max_waiting.max(state.calls.waiting);
    }

    fn write(&self, request: &Request, name: &str, body: Vec<u8>) -> http_types::Result<Response> {
        let header = |name: &str| request.header(name).map(|values| values.last().as_str());
        let version = header("if-match").and_then(|text| text.trim_matches('"').parse().ok());
        let condition = match (version, header("if-none-match")) {
            (Some(version), _) => Condition::Version(version),
            (None, Some("*")) => Condition::Absent,
            _ => return text_response(400, "a write needs If-Match or If-None-Match"),
        };
        let mut state = self.lock();
        state.calls.writes += 1;
        let Some(version) = state.store.write(name, body, condition) else {
            return text_response(412, "another version");
        };
        let is_lost = fastrand::f64() < state.faults.lose_answers;
        if is_lost || state.faults.lose_next > 0 {
            state.faults.lose_next = state.faults.lose_next.saturating_sub(1);
            return Err(response_lost());
        }
        object_response(version, Vec::new())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Returns a response with the object's version as its ETag
fn object_response(version: u64, body: Vec<u8>) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("etag", format!("\"{version}\""));
    response.set_body(body);
    Ok(response)
}

/// Returns an error that closes the connection without a response
fn response_lost() -> http_types::Error {
    http_types::Error::from_str(StatusCode::ServiceUnavailable, "response lost")
}

/// Binds the listeners and serves until the main listener fails
pub async fn run(address: SocketAddr, viewers: Vec<(Viewer, SocketAddr)>) -> Result<(), Error> {
    let platform = Platform::new();
    let main_listener = super::bind_and_announce(address).await?;
    for (viewer, address) in viewers {
        let listener = super::bind_and_announce(address).await?;
        let platform = platform.clone();
        let serve_viewer = async move {
            if let Err(error) = platform.serve(listener, viewer).await {
                log::error!("listener {address} failed: {error}");
            }
        };
        smol::spawn(serve_viewer).detach();
    }
    let result = platform.serve(main_listener, Viewer::new()).await;
    result.map_err(|error| {
        Error::Unavailable(format!(
            "listener {address} failed: {error}; restart the stand-in"
        ))
    })
}
