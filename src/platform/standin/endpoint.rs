//! Stand-in for an upstream endpoint with slots, a queue, signed responses and injected faults.
//!
//! A request whose target contains [`CRASH_MARKER`] crashes the endpoint when it starts to run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;
use smol::channel::{Sender, bounded};
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};

pub use super::copies::{LateCopies, RefusalCopies};

use super::copies::Pending;
use super::lock;
use crate::message::{Connection, Request};

/// Maximum number of queued requests
const MAX_QUEUED_REQUESTS: usize = 9;

/// Maximum size of a request body
const MAX_BODY_BYTES: usize = 80 << 20;

/// Longest time that is recorded of those that the endpoint states
const MAX_WISH: Duration = Duration::from_secs(3600);

/// Part of a target that crashes the endpoint
pub const CRASH_MARKER: &str = "crash";

/// Injected faults; a ratio is the probability per request
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Ratio of requests that are executed, but get a closed connection instead of a response
    pub lost_response_ratio: f64,
    /// Ratio of responses that are cut off halfway
    pub truncated_ratio: f64,
    /// Ratio of responses that are followed by an unrequested one
    pub extra_response_ratio: f64,
    /// Ratio of requests that fail with status 500
    pub error_ratio: f64,
    /// Factor on the service time; 0 counts as 1
    pub slowdown_factor: u32,
    /// Whether a crash leaves connections open without answers instead of closing them
    pub silent_crash: bool,
    /// Whether all answers state that the endpoint leaves
    pub leaving: bool,
    /// Text of the `Retry-After` header with which all requests are turned away
    pub retry_after: Option<&'static str>,
    /// Text of the `Server-Limit` header of all answers
    pub server_limit: Option<&'static str>,
    /// Header line of all answers, without its end
    pub extra_header: Option<&'static str>,
    /// Second copies of answers, sent when the next request on the connection has arrived
    pub late_copies: LateCopies,
    /// Ratio of requests that are refused and not executed
    pub refusal_ratio: f64,
    /// Second copies of all refusals: answers that say "not executed", and 421
    pub refusal_copies: RefusalCopies,
}

/// Fixed properties of an endpoint
#[derive(Clone, Debug)]
pub struct Options {
    /// Id under which the endpoint is registered
    pub id: String,
    /// Maximum number of concurrent requests
    pub slots: usize,
    /// Processing time of each request
    pub service_time: Duration,
    /// Size of each response body
    pub response_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    faults: Faults,
    /// Number of starts, which serves as the start time in the endpoint's store object
    starts: u64,
    /// Number of store objects returned, which serves as their sequence number
    entries: u64,
    /// Stops the endpoint; `None` while it does not run
    crash: Option<Sender<()>>,
    /// Arrival times of accepted requests by attempt id
    arrivals: BTreeMap<String, Vec<Instant>>,
    /// Start times of executed requests by attempt id
    run_starts: BTreeMap<String, Vec<Instant>>,
    /// Attempts that crashed the endpoint, and when
    crashes: Vec<(String, Instant)>,
    /// Attempts that were turned away with a valid `Retry-After`, when, and that time
    wishes: Vec<(String, Instant, Duration)>,
    /// Attempts whose answers had `Server-Limit`, and when these were sent
    limit_answers: Vec<(String, Instant)>,
    body_bytes: BTreeMap<String, usize>,
}

/// Shared handle of a stand-in endpoint
#[derive(Clone, Debug)]
pub struct Endpoint {
    options: Arc<Options>,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Creates an endpoint that does not listen yet
    pub fn new(options: Options) -> Self {
        Self {
            options: Arc::new(options),
            state: Arc::default(),
        }
    }

    /// Listens on `address` and serves until the returned task is dropped
    pub async fn start(
        &self,
        address: SocketAddr,
    ) -> std::io::Result<(SocketAddr, smol::Task<()>)> {
        let listener = TcpListener::bind(address).await?;
        let local_address = listener.local_addr()?;
        let endpoint = self.clone();
        let (crash, crashed) = bounded(1);
        {
            let mut state = lock(&self.state);
            state.starts += 1;
            state.entries = 0;
            state.crash = Some(crash);
        }
        let state = self.state.clone();
        let server = async move {
            // Dropping the task closes all connections, like killing a process.
            let executor = smol::Executor::new();
            let accept_loop = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let endpoint = endpoint.clone();
                    let session = async move { endpoint.serve(stream).await };
                    executor.spawn(session).detach();
                }
            };
            let crash = async {
                // The sender is dropped only with the endpoint.
                let _ = crashed.recv().await;
            };
            executor.run(accept_loop.or(crash)).await;
            if lock(&state).faults.silent_crash {
                std::future::pending::<()>().await;
            }
        };
        Ok((local_address, smol::spawn(server)))
    }

    /// Returns the content of the endpoint's store object
    pub fn store_spec(&self, service: &str, zone: &str, address: SocketAddr, state: &str) -> Value {
        let mut own = lock(&self.state);
        own.entries += 1;
        json!({
            "service": service, "zone": zone, "address": address.to_string(), "state": state,
            "version": "v1", "max_concurrency": self.options.slots, "warmup_left_ms": 0,
            "sequence": own.entries, "born": own.starts,
        })
    }

    /// Returns the id under which the endpoint is registered
    pub fn id(&self) -> &str {
        &self.options.id
    }

    /// Returns whether a request crashed the endpoint since its last start
    pub fn is_crashed(&self) -> bool {
        lock(&self.state).crash.is_none()
    }

    /// Replaces the injected faults
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the injected faults
    pub fn faults(&self) -> Faults {
        lock(&self.state).faults
    }

    /// Returns the start times of executed requests by attempt id
    pub fn run_starts(&self) -> BTreeMap<String, Vec<Instant>> {
        lock(&self.state).run_starts.clone()
    }

    /// Returns the arrival times of requests for this endpoint by attempt id, also of those that only
    /// waited
    pub fn arrivals(&self) -> BTreeMap<String, Vec<Instant>> {
        lock(&self.state).arrivals.clone()
    }

    /// Returns the attempts that crashed the endpoint, and when
    pub fn crashes(&self) -> Vec<(String, Instant)> {
        lock(&self.state).crashes.clone()
    }

    /// Returns the attempts that were turned away for a stated time, when, and that time
    pub fn wishes(&self) -> Vec<(String, Instant, Duration)> {
        lock(&self.state).wishes.clone()
    }

    /// Returns the attempts whose answers had `Server-Limit`, and when these were sent
    pub fn limit_answers(&self) -> Vec<(String, Instant)> {
        lock(&self.state).limit_answers.clone()
    }

    /// Returns the body size of an executed request
    pub fn request_body_bytes(&self, attempt_id: &str) -> Option<usize> {
        lock(&self.state).body_bytes.get(attempt_id).copied()
    }

    async fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        let mut copies = Pending::default();
        while let Ok(request) = connection.read_request(32 << 10).await {
            let Ok(body) = connection.read_body(request.length, MAX_BODY_BYTES).await else {
                return;
            };
            let attempt_id = request.headers.get("Attempt-Id").unwrap_or_default();
            let copy = copies.take(attempt_id);
            if !copy.is_empty() {
                let deadline = Instant::now() + Duration::from_secs(1);
                if connection.write(&copy, deadline).await.is_err() {
                    return;
                }
            }
            let response = async { Some(self.execute(&request, body.len()).await) };
            let mut watched_connection = Connection::new(connection.writer()).ok();
            let closed = async {
                if let Some(watched_connection) = &mut watched_connection {
                    watched_connection.wait_until_closed(1).await;
                }
                None
            };
            // Endpoints cancel a request when its connection closes.
            let Some(Some(mut bytes)) = response.or(closed).await else {
                return;
            };
            if lock(&self.state).faults.leaving {
                insert_header(&mut bytes, "Server-Leaving: 1\r\n");
            }
            let extra_header = lock(&self.state).faults.extra_header;
            if let Some(line) = extra_header {
                insert_header(&mut bytes, &format!("{line}\r\n"));
            }
            let server_limit = lock(&self.state).faults.server_limit;
            if let Some(limit) = server_limit {
                insert_header(&mut bytes, &format!("Server-Limit: {limit}\r\n"));
                let answer = (attempt_id.to_owned(), Instant::now());
                lock(&self.state).limit_answers.push(answer);
            }
            let deadline = Instant::now() + Duration::from_secs(10);
            let is_complete = bytes.ends_with(BODY_END);
            let faults = lock(&self.state).faults;
            copies.add(&faults, attempt_id, &bytes);
            if connection.write(&bytes, deadline).await.is_err() || !is_complete {
                return;
            }
        }
    }

    /// Executes a request and returns the response; `None` closes the connection instead
    async fn execute(&self, request: &Request, body_bytes: usize) -> Option<Vec<u8>> {
        let id = &self.options.id;
        if request.target.starts_with("/health") {
            return Some(encode_response(200, &format!("Instance-Id: {id}\r\n"), b""));
        }
        let attempt_id = request
            .headers
            .get("Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        if request
            .headers
            .get("Target-Instance")
            .is_some_and(|target| target != id)
        {
            let headers = format!("Attempt-Id: {attempt_id}\r\nInstance-Id: {id}\r\n");
            return Some(encode_response(421, &headers, b""));
        }
        lock(&self.state)
            .arrivals
            .entry(attempt_id.clone())
            .or_default()
            .push(Instant::now());
        let retry_after = lock(&self.state).faults.retry_after;
        if let Some(text) = retry_after {
            let pause = text
                .parse()
                .ok()
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            if let Some(pause) = pause {
                let wish = (attempt_id.clone(), Instant::now(), pause.min(MAX_WISH));
                lock(&self.state).wishes.push(wish);
            }
            let headers =
                format!("Attempt-Id: {attempt_id}\r\nNot-Executed: 1\r\nRetry-After: {text}\r\n");
            return Some(encode_response(503, &headers, b""));
        }
        let refusal_ratio = lock(&self.state).faults.refusal_ratio;
        if fastrand::f64() < refusal_ratio || !self.acquire_slot().await {
            let headers = format!("Attempt-Id: {attempt_id}\r\nNot-Executed: 1\r\n");
            return Some(encode_response(503, &headers, b""));
        }
        let slot = SlotGuard(self.clone());
        let faults = {
            let mut state = lock(&self.state);
            state
                .run_starts
                .entry(attempt_id.clone())
                .or_default()
                .push(Instant::now());
            state.body_bytes.insert(attempt_id.clone(), body_bytes);
            if request.target.contains(CRASH_MARKER)
                && let Some(crash) = state.crash.take()
            {
                // The channel has room, as only this sender uses it, once.
                let _ = crash.try_send(());
                state.crashes.push((attempt_id.clone(), Instant::now()));
            }
            state.faults
        };
        Timer::after(self.options.service_time * faults.slowdown_factor.max(1)).await;
        drop(slot);
        if fastrand::f64() < faults.lost_response_ratio {
            return None;
        }
        let headers =
            format!("Attempt-Id: {attempt_id}\r\nServer-Signature: {id}.{attempt_id}\r\n");
        if fastrand::f64() < faults.error_ratio {
            return Some(encode_response(500, &headers, b""));
        }
        let mut bytes = encode_response(
            200,
            &headers,
            &response_body(id, &attempt_id, self.options.response_bytes),
        );
        if fastrand::f64() < faults.truncated_ratio {
            bytes.truncate(bytes.len() / 2);
        } else if fastrand::f64() < faults.extra_response_ratio {
            bytes.extend(encode_response(200, "Attempt-Id: stray\r\n", b"stray"));
        }
        Some(bytes)
    }

    /// Waits for a free slot; returns `false` if the queue is full
    async fn acquire_slot(&self) -> bool {
        {
            let mut state = lock(&self.state);
            if state.running < self.options.slots {
                state.running += 1;
                return true;
            }
            if state.waiting >= MAX_QUEUED_REQUESTS {
                return false;
            }
            state.waiting += 1;
        }
        let queued = QueueGuard(self.clone());
        loop {
            Timer::after(Duration::from_millis(2)).await;
            let mut state = lock(&self.state);
            if state.running < self.options.slots {
                state.running += 1;
                drop(state);
                drop(queued);
                return true;
            }
        }
    }
}

/// Occupied slot; freed on drop
struct SlotGuard(Endpoint);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        lock(&self.0.state).running -= 1;
    }
}

/// Queued request; removed from the queue on drop
struct QueueGuard(Endpoint);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        lock(&self.0.state).waiting -= 1;
    }
}

/// Last byte of each complete response, which truncated responses lack
const BODY_END: &[u8] = b"\n";

/// Returns the body of the response to an attempt, so that callers can verify it
pub fn response_body(endpoint: &str, attempt_id: &str, min_bytes: usize) -> Vec<u8> {
    let line = format!("{endpoint} {attempt_id} ");
    let mut body: Vec<u8> = line
        .bytes()
        .cycle()
        .take(min_bytes.max(line.len()))
        .collect();
    body.extend_from_slice(BODY_END);
    body
}

/// Inserts a header line after the status line of a response
fn insert_header(bytes: &mut Vec<u8>, line: &str) {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n");
    if let Some(end) = end {
        bytes.splice(end + 2..end + 2, line.bytes());
    }
}

fn encode_response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let body = if body.is_empty() { BODY_END } else { body };
    let head = format!(
        "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
