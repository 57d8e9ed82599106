//! HTTP ports besides the one for requests: directory, readiness, metrics, and the mirror for other
//! hosts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use super::mirror::Update;
use super::{Gateway, era};
use crate::message::{Connection, timeout};
use crate::platform::front::{self, Request};
use crate::platform::{header, store};

/// How long callers may cache a directory answer; the platform counts at least one second, and a
/// stopping host stays listed that much longer
const DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// Maximum number of hosts in a directory answer; leaves a choice when two of them have failed
const MAX_DIRECTORY_HOSTS: usize = 8;

/// Timeout for a request, and idle timeout of a connection
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time that a follower waits for a change
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Maximum length of a request head, in bytes
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Delay after a failed accept
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Status, content type and body
pub type Response = (u16, &'static str, String);

/// Returns the header that states the era of the store to followers; empty for other responses
fn era_line(gateway: &Gateway, port: Port, target: &str) -> String {
    match (port, store::parse_request("GET", target)) {
        (Port::Control, Some(store::Request::List(kind) | store::Request::Watch(kind, ..))) => {
            header::store_era_line(gateway.mirror.borrow().position(kind).era)
        }
        _ => String::new(),
    }
}

/// Answers requests of callers and of the platform
fn respond_public(gateway: &Gateway, method: &str, target: &str) -> Response {
    match front::parse_request(method, target) {
        Request::Readiness if gateway.is_ready() => (200, "text/plain", "ready\n".to_owned()),
        Request::Readiness => (503, "text/plain", "not ready\n".to_owned()),
        Request::Directory { region } => respond_directory(gateway, &region),
        Request::Unknown => (404, "text/plain", "unknown path\n".to_owned()),
    }
}

fn respond_directory(gateway: &Gateway, region: &str) -> Response {
    let limit = MAX_DIRECTORY_HOSTS.min(front::MAX_ADDRESSES);
    let mut rng = fastrand::Rng::new();
    let mut addresses = gateway
        .fleet
        .borrow()
        .sample_addresses(region, limit, &mut rng);
    if addresses.is_empty() && gateway.is_ready() {
        // The list of hosts is not read yet, but this host can serve.
        addresses.push(gateway.settings.borrow().caller_address);
    }
    if addresses.is_empty() {
        return (503, "text/plain", "no host is known\n".to_owned());
    }
    let ttl = DIRECTORY_TTL.min(gateway.settings.borrow().max_directory_ttl);
    (
        200,
        "application/json",
        front::directory_body(&addresses, ttl),
    )
}

/// Answers requests of hosts that start or follow this one
async fn respond_control(gateway: &Gateway, method: &str, target: &str) -> Response {
    if let Some(request) = store::parse_request(method, target) {
        return respond_objects(gateway, request).await;
    }
    if let Some(era) = era::parse_request(method, target) {
        return encode(&era::report(gateway, era));
    }
    if (method, target) != ("GET", "/mirror") {
        return (
            404,
            "text/plain",
            "paths are /mirror, /holdover?era=N and /objects/KIND\n".to_owned(),
        );
    }
    if gateway.configuration().is_none() {
        return (503, "text/plain", "nothing is known yet\n".to_owned());
    }
    encode(&*gateway.mirror.borrow())
}

fn encode(document: &impl Serialize) -> Response {
    match serde_json::to_string(document) {
        Ok(text) => (200, "application/json", text),
        Err(error) => {
            log::error!("cannot encode a response for another host: {error}");
            (500, "text/plain", "response cannot be encoded\n".to_owned())
        }
    }
}

async fn respond_objects(gateway: &Gateway, request: store::Request) -> Response {
    let json = |value: serde_json::Value| (200, "application/json", value.to_string());
    let (kind, position, wait) = match request {
        store::Request::Watch(kind, position, wait) => (kind, position, wait),
        store::Request::List(kind) => {
            let mirror = gateway.mirror.borrow();
            let now = Instant::now();
            if !mirror.is_followable(now, kind) {
                return (503, "text/plain", "not followed here\n".to_owned());
            }
            let revision = mirror.position(kind).revision;
            let copy = mirror.copy_age(now, kind);
            return json(store::list_response(mirror.objects(kind), revision, copy));
        }
    };
    let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
    loop {
        let now = Instant::now();
        let update = gateway.mirror.borrow().changes_after(now, kind, position);
        match update {
            Update::Changes(events, next) => {
                let copy = gateway.mirror.borrow().copy_age(now, kind);
                return json(store::watch_response(events.iter(), next, copy));
            }
            Update::Compacted => return (410, "text/plain", "history is gone\n".to_owned()),
            Update::Unavailable => return (503, "text/plain", "not followed here\n".to_owned()),
            Update::Unchanged => {}
        }
        let (changed, fresh_until) = {
            let mut mirror = gateway.mirror.borrow_mut();
            (mirror.subscribe(kind), mirror.fresh_until(kind))
        };
        let wait_end = fresh_until.map_or(deadline, |until| until.min(deadline));
        // The sender is dropped at a change, which ends the wait with an error.
        if timeout(wait_end, changed.recv()).await.is_none() && wait_end == deadline {
            let latest = gateway.mirror.borrow().position(kind);
            let next = latest.max(position).revision;
            let copy = gateway.mirror.borrow().copy_age(Instant::now(), kind);
            return json(store::watch_response([].iter(), next, copy));
        }
    }
}

/// Answers requests of operators
fn respond_operator(gateway: &Gateway, method: &str, target: &str) -> Response {
    match (method, target) {
        ("GET", "/metrics") => (
            200,
            "text/plain; version=0.0.4",
            gateway.metrics.prometheus_text(gateway),
        ),
        ("GET", "/status") => (
            200,
            "application/json",
            gateway.metrics.status_json(gateway),
        ),
        _ => (
            404,
            "text/plain",
            "paths are /metrics and /status\n".to_owned(),
        ),
    }
}

/// Kind of clients that a port serves
#[derive(Clone, Copy, Debug)]
pub enum Port {
    /// Callers and the platform
    Public,
    /// Other entry hosts
    Control,
    /// Operators
    Operator,
}

impl Port {
    async fn respond(self, gateway: &Gateway, method: &str, target: &str) -> Response {
        match self {
            Self::Public => respond_public(gateway, method, target),
            Self::Control => respond_control(gateway, method, target).await,
            Self::Operator => respond_operator(gateway, method, target),
        }
    }
}

/// Serves requests on a listener until the task is dropped
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = serve_connection(gateway.clone(), stream, port);
                gateway.spawn(served).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, port: Port) {
    let Ok(mut connection) = Connection::new(stream) else {
        return;
    };
    loop {
        let head = connection.read_request(MAX_HEAD_BYTES);
        let Some(Ok(request)) = timeout(Instant::now() + REQUEST_TIMEOUT, head).await else {
            return;
        };
        let (status, content_type, body) = port
            .respond(&gateway, &request.method, &request.target)
            .await;
        let era_line = era_line(&gateway, port, &request.target);
        let connection_header = if request.keep_alive {
            ""
        } else {
            "Connection: close\r\n"
        };
        let response = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n{era_line}{connection_header}\r\n{body}",
            body.len()
        );
        let written = connection
            .write(response.as_bytes(), Instant::now() + REQUEST_TIMEOUT)
            .await;
        if written.is_err() || !request.keep_alive {
            return;
        }
    }
}
