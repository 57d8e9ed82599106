//! Stand-in for an upstream endpoint: slots, a queue, answers with proofs, and its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};

use super::lock;
use crate::message::{Connection, Request};

/// Requests that wait at most
const QUEUE: usize = 9;

/// Longest body of a request, in bytes
const MAX_BODY: usize = 80 << 20;

/// Faults in force
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Part of the requests that are run and whose answers are lost by a reset
    pub lost_response_ratio: f64,
    /// Part of the answers that break off
    pub truncated_ratio: f64,
    /// Part of the answers after which a second one is sent
    pub extra_response_ratio: f64,
    /// Part of the requests that are answered 500
    pub error_ratio: f64,
    /// Times that work takes longer, 0 for the usual time
    pub slowdown_factor: u32,
}

/// What is fixed about an endpoint
#[derive(Clone, Debug)]
pub struct Options {
    /// Id under which it is registered
    pub id: String,
    /// Requests that run at once
    pub slots: usize,
    /// Time of each request
    pub service_time: Duration,
    /// Bytes of each answer
    pub response_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    faults: Faults,
    /// When each request began to run, by id of the caller's attempt
    runs: BTreeMap<String, Vec<Instant>>,
    bodies: BTreeMap<String, usize>,
}

/// Shared handle of a stand-in endpoint
#[derive(Clone, Debug)]
pub struct Endpoint {
    plan: Arc<Options>,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Endpoint that does not listen yet
    pub fn new(plan: Options) -> Self {
        Self {
            plan: Arc::new(plan),
            state: Arc::default(),
        }
    }

    /// Listen and serve until the task is dropped
    pub async fn start(
        &self,
        address: SocketAddr,
    ) -> std::io::Result<(SocketAddr, smol::Task<()>)> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let endpoint = self.clone();
        let accepting = async move {
            // Connections end with the task, as those of a process that is killed.
            let executor = smol::Executor::new();
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let endpoint = endpoint.clone();
                    let serving = async move { endpoint.serve(stream).await };
                    executor.spawn(serving).detach();
                }
            };
            executor.run(accepting).await;
        };
        Ok((bound, smol::spawn(accepting)))
    }

    /// Entry in the store
    pub fn store_spec(&self, service: &str, zone: &str, address: SocketAddr, state: &str) -> Value {
        json!({
            "service": service, "zone": zone, "address": address.to_string(), "state": state,
            "version": "v1", "max_concurrency": self.plan.slots, "warmup_left_ms": 0,
            "sequence": 1, "born": 1,
        })
    }

    /// Id under which it is registered
    pub fn id(&self) -> &str {
        &self.plan.id
    }

    /// Set the faults in force
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// When each request began to run here, by id of the caller's attempt
    pub fn run_starts(&self) -> BTreeMap<String, Vec<Instant>> {
        lock(&self.state).runs.clone()
    }

    /// Bytes of the body of a request that ran here
    pub fn request_body_bytes(&self, attempt: &str) -> Option<usize> {
        lock(&self.state).bodies.get(attempt).copied()
    }

    async fn serve(&self, stream: TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(request) = connection.read_request(32 << 10).await {
            let Ok(body) = connection.read_body(request.length, MAX_BODY).await else {
                return;
            };
            let answered = async { Some(self.exchange(&request, body.len()).await) };
            let mut watched = Connection::new(connection.writer()).ok();
            let gone = async {
                if let Some(watched) = &mut watched {
                    watched.wait_until_closed(1).await;
                }
                None
            };
            // An endpoint drops a request when its connection closes.
            let Some(Some(bytes)) = answered.or(gone).await else {
                return;
            };
            let deadline = Instant::now() + Duration::from_secs(10);
            let whole = bytes.ends_with(END);
            if connection.write(&bytes, deadline).await.is_err() || !whole {
                return;
            }
        }
    }

    /// Bytes of the answer; `None` if the connection is reset instead
    async fn exchange(&self, request: &Request, body: usize) -> Option<Vec<u8>> {
        let id = &self.plan.id;
        if request.target.starts_with("/health") {
            return Some(answer(200, &format!("Instance-Id: {id}\r\n"), b""));
        }
        if request
            .headers
            .get("Target-Instance")
            .is_some_and(|target| target != id)
        {
            return Some(answer(421, &format!("Instance-Id: {id}\r\n"), b""));
        }
        if !self.enter().await {
            return Some(answer(503, "Not-Executed: 1\r\n", b""));
        }
        let place = Place(self.clone());
        let attempt = request
            .headers
            .get("Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let faults = {
            let mut state = lock(&self.state);
            state
                .runs
                .entry(attempt.clone())
                .or_default()
                .push(Instant::now());
            state.bodies.insert(attempt.clone(), body);
            state.faults
        };
        Timer::after(self.plan.service_time * faults.slowdown_factor.max(1)).await;
        drop(place);
        if fastrand::f64() < faults.lost_response_ratio {
            return None;
        }
        let headers = format!("Attempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\n");
        if fastrand::f64() < faults.error_ratio {
            return Some(answer(500, &headers, b""));
        }
        let mut bytes = answer(
            200,
            &headers,
            &response_body(id, &attempt, self.plan.response_bytes),
        );
        if fastrand::f64() < faults.truncated_ratio {
            bytes.truncate(bytes.len() / 2);
        } else if fastrand::f64() < faults.extra_response_ratio {
            bytes.extend(answer(200, "Attempt-Id: stray\r\n", b"stray"));
        }
        Some(bytes)
    }

    async fn enter(&self) -> bool {
        {
            let mut state = lock(&self.state);
            if state.running < self.plan.slots {
                state.running += 1;
                return true;
            }
            if state.waiting >= QUEUE {
                return false;
            }
            state.waiting += 1;
        }
        let waiting = Waiting(self.clone());
        loop {
            Timer::after(Duration::from_millis(2)).await;
            let mut state = lock(&self.state);
            if state.running < self.plan.slots {
                state.running += 1;
                drop(state);
                drop(waiting);
                return true;
            }
        }
    }
}

/// A slot in use
struct Place(Endpoint);

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.0.state).running -= 1;
    }
}

/// A request in the queue
struct Waiting(Endpoint);

impl Drop for Waiting {
    fn drop(&mut self) {
        lock(&self.0.state).waiting -= 1;
    }
}

/// Last bytes of each whole answer, by which one that breaks off is known
const END: &[u8] = b"\n";

/// Body of the answer to an attempt, as a caller can check it
pub fn response_body(endpoint: &str, attempt: &str, size: usize) -> Vec<u8> {
    let line = format!("{endpoint} {attempt} ");
    let mut body: Vec<u8> = line.bytes().cycle().take(size.max(line.len())).collect();
    body.extend_from_slice(END);
    body
}

fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let body = if body.is_empty() { END } else { body };
    let head = format!(
        "HTTP/1.1 {status} -\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
