//! Endpoints whose answers a test writes itself.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::lock::Mutex as Gate;
use smol::net::TcpListener;
use socket2::{Domain, Socket, Type};
use tanagerpier::message::{Connection, Request};

use super::{REGIONS, SERVICE, Site};

/// Endpoint that a test plays
#[derive(Clone, Debug)]
pub struct RawEndpoint {
    pub id: String,
    pub address: SocketAddr,
    /// Attempt ids of the requests that arrived, and when
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Locked while the endpoint accepts no connections, but for one that it may be waiting for
    pub gate: Arc<Gate<()>>,
}

impl RawEndpoint {
    /// Starts an endpoint in the first region; `answer` writes the answer to a request and returns the
    /// connection if it stays open
    pub async fn start<A, F>(site: &Site, id: &str, answer: A) -> Self
    where
        A: Fn(Request, Connection) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Connection>> + Send,
    {
        Self::start_with_backlog(site, id, 128, answer).await
    }

    /// Starts an endpoint as [`RawEndpoint::start`] does, with the number of connections that wait to be
    /// accepted
    pub async fn start_with_backlog<A, F>(site: &Site, id: &str, backlog: i32, answer: A) -> Self
    where
        A: Fn(Request, Connection) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Connection>> + Send,
    {
        let ip = site.servers[0].address.ip();
        let listener = listen(SocketAddr::new(ip, 0), backlog).expect("the endpoint listens");
        let endpoint = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("it has an address"),
            arrivals: Arc::default(),
            gate: Arc::default(),
        };
        let serving = endpoint.clone();
        let accept_loop = async move {
            loop {
                drop(serving.gate.lock().await);
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (endpoint, answer) = (serving.clone(), answer.clone());
                let served = async move {
                    let mut open = Connection::new(stream).ok();
                    while let Some(mut connection) = open.take() {
                        let Ok(request) = connection.read_request(32 << 10).await else {
                            return;
                        };
                        endpoint.record(&request);
                        open = answer(request, connection).await;
                    }
                };
                smol::spawn(served).detach();
            }
        };
        smol::spawn(accept_loop).detach();
        endpoint
    }

    fn record(&self, request: &Request) {
        let id = attempt_id(request).to_owned();
        let mut arrivals = self.arrivals.lock().expect("no panic");
        arrivals.push((id, Instant::now()));
    }

    /// Returns how often a request arrived
    pub fn arrivals(&self, attempt_id: &str) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.iter().filter(|(id, _)| id == attempt_id).count()
    }

    /// Returns the attempt ids of all requests that arrived, and when
    pub fn all_arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().expect("no panic").clone()
    }

    /// Returns the content of the endpoint's entry
    pub fn spec(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": SERVICE, "zone": REGIONS[0], "address": self.address.to_string(),
            "state": state, "version": "v1", "max_concurrency": 8, "warmup_left_ms": 0,
            "sequence": sequence, "born": 1,
        })
    }

    /// Writes the endpoint's entry
    pub fn register(&self, site: &Site, state: &str, sequence: u64) {
        let spec = self.spec(state, sequence);
        site.store.write("servers", &self.id, spec);
    }
}

fn listen(address: SocketAddr, backlog: i32) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}

/// Returns the attempt id of a request, empty without one
pub fn attempt_id(request: &Request) -> &str {
    request.headers.get("Attempt-Id").unwrap_or_default()
}

/// Returns the head of a success with a body of `length` bytes
pub fn success_head(request: &Request, length: usize) -> String {
    let id = attempt_id(request);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nAttempt-Id: {id}\r\n\
         Server-Signature: raw.{id}\r\n\r\n"
    )
}

/// Writes a short success
pub async fn succeed(request: Request, mut connection: Connection) -> Option<Connection> {
    let answer = format!("{}ok", success_head(&request, 2));
    let deadline = Instant::now() + Duration::from_secs(1);
    connection.write(answer.as_bytes(), deadline).await.ok()?;
    Some(connection)
}

/// Removes the endpoints that a deployment started itself
pub fn remove_others(site: &Site) {
    for server in &site.servers {
        site.store.remove("servers", server.endpoint.id());
    }
}
