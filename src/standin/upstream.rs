//! Stand-in for one upstream, with limited slots, a service time and fault injection.
//!
//! A request takes effect after half of its service time and is then recorded as run. A request
//! whose deadline passes or whose connection closes before that is recorded as cancelled. The
//! response body is a line of JSON with the request's key and ID, padded with
//! [`super::response::padding_byte`] to the size in the query parameter `size`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use async_h1::server::{Encoder, decode};
use http_types::{Body, Method, Request, Response};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::{self, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use super::fault::{Faults, Health, Leaving};
use super::record::{Entry, Outcome, Record, Report};
use super::response::{self, PaddedBody};
use super::{control, json_response, query_parameter, read_body, text_response};
use crate::error::{EXIT_REFUSED, Error};
use crate::util;

/// Idle timeout of a connection
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// How long a request waits for a slot, so that a connection close in transit can free one before
/// the request counts as exceeding the slots
const CLOSE_GRACE: Duration = Duration::from_millis(2);

/// Maximum number of past running counts, used for delayed health responses
const MAX_HISTORY: usize = 10_000;

/// Settings of an upstream
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the endpoint
    pub name: String,
    /// Maximum number of concurrent requests
    pub slots: u32,
    /// Service time of one request
    pub service_time: Duration,
    /// File that preserves the record across a crash
    pub record_path: Option<PathBuf>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    record: Record,
    running: u32,
    max_running: u32,
    over_slots: u64,
    connections: u64,
    copied_refusals: u64,
    started_requests: u64,
    last_started: u64,
    running_history: VecDeque<(Instant, u32)>,
    previous_line: Option<response::FirstLine>,
}

/// Running upstream stand-in
#[derive(Clone, Debug)]
pub struct Upstream {
    options: Arc<Options>,
    started_at: Instant,
    state: Arc<Mutex<State>>,
}

/// Refusals that were sent on a connection, as bytes by the id of the request
type Refusals = BTreeMap<String, Vec<u8>>;

/// Acquired slot, released on drop
#[derive(Debug)]
pub struct Slot {
    upstream: Upstream,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        state.running -= 1;
        state.record_running();
    }
}

impl State {
    fn record_running(&mut self) {
        if self.running_history.len() == MAX_HISTORY {
            self.running_history.pop_front();
        }
        self.running_history
            .push_back((Instant::now(), self.running));
    }
}

/// Result of admission control
enum Admission {
    Granted(Slot),
    Shed,
    Leaving,
}

impl Upstream {
    /// Creates an idle upstream; fails if its record file cannot be read
    pub fn new(options: Options) -> Result<Self, Error> {
        let record = match &options.record_path {
            Some(path) => Record::with_file(path).map_err(|error| {
                let path = path.display();
                Error::Unavailable(format!(
                    "cannot open record file {path}: {error}; use another file"
                ))
            })?,
            None => Record::new(),
        };
        let state = State {
            faults: Faults::default(),
            record,
            running: 0,
            max_running: 0,
            over_slots: 0,
            connections: 0,
            copied_refusals: 0,
            started_requests: 0,
            last_started: 0,
            running_history: VecDeque::new(),
            previous_line: None,
        };
        Ok(Self {
            options: Arc::new(options),
            started_at: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// Serves requests until the listener fails
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            let upstream = self.clone();
            let serve_connection = async move {
                if let Err(error) = upstream.serve_connection(stream).await {
                    log::debug!("connection failed: {error}");
                }
            };
            smol::spawn(serve_connection).detach();
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> http_types::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().connections += 1;
        let mut refusals = Refusals::new();
        loop {
            let idle_timeout = async {
                Timer::after(IDLE_TIMEOUT).await;
                Ok(None)
            };
            let Some((mut request, _)) = decode(stream.clone()).or(idle_timeout).await? else {
                return Ok(());
            };
            let body = read_body(&mut request).await?;
            let keep_alive = match request.url().path() {
                "/health" | "/record" | "/control" => {
                    let response = self.handle_management(&request, &body)?;
                    send(&mut stream, response, request.method()).await?;
                    true
                }
                _ => {
                    self.handle_request(&mut stream, request, &body, &mut refusals)
                        .await?
                }
            };
            if !keep_alive {
                return Ok(());
            }
        }
    }

    fn handle_management(&self, request: &Request, body: &[u8]) -> http_types::Result<Response> {
        match (request.method(), request.url().path()) {
            (Method::Get, "/health") => json_response(&self.health()),
            (Method::Get, "/record") => json_response(&self.report()),
            (Method::Put, "/control") => {
                let mut state = self.lock();
                match control::apply_merge_patch(&state.faults, body) {
                    Ok(faults) => state.faults = faults,
                    Err(error) => return text_response(400, &error.to_string()),
                }
                json_response(&state.faults)
            }
            _ => text_response(405, "no such call"),
        }
    }

    /// Handles one request and returns whether the connection stays open
    async fn handle_request(
        &self,
        stream: &mut TcpStream,
        request: Request,
        body: &[u8],
        refusals: &mut Refusals,
    ) -> http_types::Result<bool> {
        let mut entry = new_entry(&request, body);
        let slot = match self.admit().await {
            Admission::Granted(slot) => slot,
            Admission::Shed => {
                self.record_outcome(&mut entry, Outcome::Shed);
                return self.refuse(stream, &entry, "pier-shed", refusals).await;
            }
            Admission::Leaving => {
                self.record_outcome(&mut entry, Outcome::Shed);
                return self.refuse(stream, &entry, "pier-leaving", refusals).await;
            }
        };
        let deadline = header_value(&request, "pier-deadline").parse().ok();
        let deadline = deadline.map(|millis| Instant::now() + Duration::from_millis(millis));
        let service_time = self.service_time();
        let has_crash_marker = self.has_crash_marker(&entry.target, body);
        let peer_close = wait_for_close(stream.clone());
        let effect = async {
            Timer::after(service_time / 2).await;
            true
        };
        let deadline_passed = async {
            match deadline {
                Some(deadline) => Timer::at(deadline).await,
                None => std::future::pending().await,
            };
            false
        };
        let connection_closed = async {
            peer_close.await;
            false
        };
        if !effect.or(deadline_passed).or(connection_closed).await {
            self.record_outcome(&mut entry, Outcome::Cancelled);
            drop(slot);
            return self.refuse(stream, &entry, "pier-shed", refusals).await;
        }
        if has_crash_marker {
            self.record_outcome(&mut entry, Outcome::Crashed);
            std::process::exit(i32::from(EXIT_REFUSED));
        }
        self.record_outcome(&mut entry, Outcome::Ran);
        if let Some(refusal) = refusals.get(&entry.request)
            && fastrand::f64() < self.lock().faults.copied_refusals
        {
            self.lock().copied_refusals += 1;
            stream.write_all(refusal).await?;
        }
        Timer::after(service_time - service_time / 2).await;
        self.send_response(stream, &request, &entry, slot).await
    }

    async fn send_response(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        entry: &Entry,
        slot: Slot,
    ) -> http_types::Result<bool> {
        let own_line = response::FirstLine {
            endpoint: self.options.name.clone(),
            request: entry.request.clone(),
            key: entry.key.clone(),
            body_hash: entry.body_hash,
        };
        let faults = self.lock().faults.clone();
        let previous_line = self.lock().previous_line.replace(own_line.clone());
        let should_inject = |ratio: f64| ratio > 0.0 && fastrand::f64() < ratio;
        let line = match previous_line {
            Some(other_line) if should_inject(faults.crossed) => other_line,
            _ => own_line,
        };
        if should_inject(faults.late) {
            Timer::after(Duration::from_millis(faults.late_ms)).await;
        }
        let size = query_parameter(request, "size").and_then(|size| size.parse().ok());
        let text = response::encode(&line);
        let size = size.unwrap_or(0).max(text.len());
        let mut head = Response::new(200);
        head.insert_header("pier-request", line.request.as_str());
        head.insert_header("load", self.load_header(&slot));
        if faults.leaving != Leaving::No {
            head.insert_header("pier-leaving", "1");
        }
        let padded_body =
            PaddedBody::new(text, size, slot).with_truncation(should_inject(faults.truncate));
        head.set_body(Body::from_reader(
            io::BufReader::new(padded_body),
            Some(size),
        ));
        let encoder = Encoder::new(head, request.method());
        io::copy(encoder, &mut *stream).await?;
        if should_inject(faults.surplus) {
            stream.write_all(b"HTTP/1.1 200 OK\r\n").await?;
        }
        stream.flush().await?;
        Ok(!should_inject(faults.close))
    }

    async fn admit(&self) -> Admission {
        if self.lock().running >= self.options.slots {
            Timer::after(CLOSE_GRACE).await;
        }
        let mut state = self.lock();
        if state.faults.leaving == Leaving::Refuse {
            return Admission::Leaving;
        }
        state.max_running = state.max_running.max(state.running + 1);
        if state.running >= self.options.slots {
            state.over_slots += 1;
            return Admission::Shed;
        }
        if state.faults.shed > 0.0 && fastrand::f64() < state.faults.shed {
            return Admission::Shed;
        }
        state.running += 1;
        state.started_requests += 1;
        state.last_started = util::unix_millis(SystemTime::now());
        state.record_running();
        Admission::Granted(Slot {
            upstream: self.clone(),
        })
    }

    fn service_time(&self) -> Duration {
        let state = self.lock();
        let faults = &state.faults;
        let override_time = faults.service_ms.map(Duration::from_millis);
        let service_time = override_time.unwrap_or(self.options.service_time);
        let is_cold = self.started_at.elapsed() < Duration::from_millis(faults.cold_ms);
        match is_cold || state.started_requests <= faults.cold_requests {
            true => service_time * faults.cold_factor,
            false => service_time,
        }
    }

    fn has_crash_marker(&self, target: &str, body: &[u8]) -> bool {
        let state = self.lock();
        let marker = state.faults.crash_marker.as_str();
        if marker.is_empty() {
            return false;
        }
        let in_body = body
            .windows(marker.len())
            .any(|window| window == marker.as_bytes());
        in_body || target.contains(marker)
    }

    /// Sends a refusal and returns whether the connection stays open
    async fn refuse(
        &self,
        stream: &mut TcpStream,
        entry: &Entry,
        reason_header: &str,
        refusals: &mut Refusals,
    ) -> http_types::Result<bool> {
        let mut response = text_response(503, "not run")?;
        response.insert_header(reason_header, "1");
        response.insert_header("pier-request", entry.request.as_str());
        let health = self.health();
        response.insert_header("load", format!("{}/{}", health.running, health.slots));
        let method = entry.method.parse()?;
        let mut bytes = Vec::new();
        io::copy(Encoder::new(response, method), &mut bytes).await?;
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        refusals.insert(entry.request.clone(), bytes);
        Ok(true)
    }

    fn load_header(&self, _slot: &Slot) -> String {
        let state = self.lock();
        let other_requests = state.running.saturating_sub(1);
        let override_value = state.faults.load.clone();
        override_value.unwrap_or_else(|| format!("{other_requests}/{}", self.options.slots))
    }

    fn health(&self) -> Health {
        let state = self.lock();
        if let Some(health) = state.faults.health {
            return health;
        }
        let lag = Duration::from_millis(state.faults.health_lag_ms);
        let now = Instant::now();
        let mut newest_first = state.running_history.iter().rev();
        let visible = newest_first.find(|(at, _)| *at + lag <= now);
        Health {
            running: visible.map_or(0, |(_, running)| *running),
            slots: self.options.slots,
            leaving: state.faults.leaving != Leaving::No,
        }
    }

    fn report(&self) -> Report {
        let state = self.lock();
        Report {
            name: self.options.name.clone(),
            counts: state.record.counts().clone(),
            entries: state.record.entries().to_vec(),
            running: state.running,
            max_running: state.max_running,
            over_slots: state.over_slots,
            connections: state.connections,
            copied_refusals: state.copied_refusals,
            last_begun: state.last_started,
        }
    }

    fn record_outcome(&self, entry: &mut Entry, outcome: Outcome) {
        entry.outcome = outcome;
        entry.at = util::unix_millis(SystemTime::now());
        self.lock().record.add(entry.clone());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Binds the listener and serves until it fails
pub async fn run(address: SocketAddr, options: Options) -> Result<(), Error> {
    let upstream = Upstream::new(options)?;
    let listener = super::bind_and_announce(address).await?;
    let result = upstream.serve(listener).await;
    result.map_err(|error| {
        Error::Unavailable(format!(
            "listener {address} failed: {error}; restart the stand-in"
        ))
    })
}

fn new_entry(request: &Request, body: &[u8]) -> Entry {
    let url = request.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let key = match header_value(request, "idempotency-key") {
        "" => query_parameter(request, "key").unwrap_or_default(),
        key => key.to_owned(),
    };
    let now = util::unix_millis(SystemTime::now());
    Entry {
        request: header_value(request, "pier-request").to_owned(),
        key,
        ticket: header_value(request, "pier-ticket").to_owned(),
        method: request.method().to_string(),
        target,
        body_hash: util::stable_hash(&body),
        outcome: Outcome::Cancelled,
        arrived: now,
        at: now,
    }
}

fn header_value<'a>(request: &'a Request, name: &str) -> &'a str {
    let value = request.header(name);
    value.map_or("", |values| values.last().as_str())
}

/// Waits until the peer closes the connection
async fn wait_for_close(stream: TcpStream) {
    let mut byte = [0];
    if matches!(stream.peek(&mut byte).await, Ok(1)) {
        std::future::pending::<()>().await;
    }
}

async fn send(
    stream: &mut TcpStream,
    response: Response,
    method: Method,
) -> http_types::Result<()> {
    io::copy(Encoder::new(response, method), &mut *stream).await?;
    stream.flush().await?;
    Ok(())
}
