//! Small ports beside the one for requests: directory, readiness, metrics, and the mirror for
//! hosts that start.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use super::Gateway;
use super::mirror::Told;
use crate::message::{Connection, timeout};
use crate::platform::front::{self, Question};
use crate::platform::store;

/// Time for which callers may keep an answer of the directory; the platform counts at least one
/// second, and a host that stops is named that much longer
const LIFETIME: Duration = Duration::from_secs(2);

/// Hosts named to a caller where a region has many; enough that two failed ones leave a choice
const NAMED: usize = 8;

/// Time that a question may take, and that a connection may be idle
const LIMIT: Duration = Duration::from_secs(10);

/// Longest time that a host that follows this one waits for a change
const MOST_WAIT: Duration = Duration::from_secs(30);

/// Longest head of a question, in bytes
const MAX_HEAD: usize = 8 << 10;

/// Pause after a failed accept
const PAUSE: Duration = Duration::from_millis(50);

/// Status, content type and body of an answer
pub type Answer = (u16, &'static str, String);

/// Answer the questions of callers and of the platform
fn front(gateway: &Gateway, method: &str, target: &str) -> Answer {
    match front::question(method, target) {
        Question::Readiness if gateway.is_ready() => (200, "text/plain", "ready\n".to_owned()),
        Question::Readiness => (503, "text/plain", "not ready\n".to_owned()),
        Question::Directory { region } => directory(gateway, &region),
        Question::Unknown => (404, "text/plain", "unknown path\n".to_owned()),
    }
}

fn directory(gateway: &Gateway, region: &str) -> Answer {
    let most = NAMED.min(front::MOST_ADDRESSES);
    let mut rng = fastrand::Rng::new();
    let mut named = gateway.fleet.borrow().directory(region, most, &mut rng);
    if named.is_empty() && gateway.is_ready() {
        // The list of hosts is not there yet; this one can serve.
        named.push(gateway.settings.borrow().caller_address);
    }
    if named.is_empty() {
        return (503, "text/plain", "no host is known\n".to_owned());
    }
    let lifetime = LIFETIME.min(gateway.settings.borrow().max_directory_ttl);
    (200, "application/json", front::directory(&named, lifetime))
}

/// Answer hosts that start or follow this one
async fn control(gateway: &Gateway, method: &str, target: &str) -> Answer {
    if let Some(question) = store::question(method, target) {
        return objects(gateway, question).await;
    }
    if (method, target) != ("GET", "/mirror") {
        return (
            404,
            "text/plain",
            "paths are /mirror and /objects/KIND\n".to_owned(),
        );
    }
    if gateway.document().is_none() {
        return (503, "text/plain", "nothing is known yet\n".to_owned());
    }
    match serde_json::to_string(&*gateway.mirror.borrow()) {
        Ok(text) => (200, "application/json", text),
        Err(error) => {
            log::error!("the mirror cannot be encoded: {error}");
            (500, "text/plain", "mirror cannot be encoded\n".to_owned())
        }
    }
}

async fn objects(gateway: &Gateway, question: store::Question) -> Answer {
    let json = |value: serde_json::Value| (200, "application/json", value.to_string());
    let (kind, revision, wait) = match question {
        store::Question::Watch(kind, revision, wait) => (kind, revision, wait),
        store::Question::List(kind) => {
            let mirror = gateway.mirror.borrow();
            let Told::Nothing = mirror.after(kind, u64::MAX) else {
                return (503, "text/plain", "not followed here\n".to_owned());
            };
            let revision = mirror.newest().get(&kind).copied().unwrap_or(0);
            return json(store::list_answer(mirror.objects(kind), revision));
        }
    };
    let until = Instant::now() + wait.min(MOST_WAIT);
    loop {
        let told = gateway.mirror.borrow().after(kind, revision);
        match told {
            Told::Changes(events, next) => return json(store::watch_answer(events.iter(), next)),
            Told::Compacted => return (410, "text/plain", "history is gone\n".to_owned()),
            Told::Stale => return (503, "text/plain", "not followed here\n".to_owned()),
            Told::Nothing => {}
        }
        let changed = gateway.mirror.borrow_mut().wait(kind);
        // The sender is dropped at a change, which ends the wait with an error.
        if timeout(until, changed.recv()).await.is_none() {
            let newest = gateway.mirror.borrow().newest().get(&kind).copied();
            let next = newest.unwrap_or(revision).max(revision);
            return json(store::watch_answer([].iter(), next));
        }
    }
}

/// Answer operators
fn operator(gateway: &Gateway, method: &str, target: &str) -> Answer {
    match (method, target) {
        ("GET", "/metrics") => (
            200,
            "text/plain; version=0.0.4",
            gateway.metrics.text(gateway),
        ),
        ("GET", "/status") => (200, "application/json", gateway.metrics.status(gateway)),
        _ => (
            404,
            "text/plain",
            "paths are /metrics and /status\n".to_owned(),
        ),
    }
}

/// Who answers on a port
#[derive(Clone, Copy, Debug)]
pub enum Port {
    /// Callers and the platform
    Front,
    /// Other entry hosts
    Control,
    /// Operators
    Operator,
}

impl Port {
    async fn answer(self, gateway: &Gateway, method: &str, target: &str) -> Answer {
        match self {
            Self::Front => front(gateway, method, target),
            Self::Control => control(gateway, method, target).await,
            Self::Operator => operator(gateway, method, target),
        }
    }
}

/// Answer small questions on a listener until it is dropped
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, port: Port) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = serve_one(gateway.clone(), stream, port);
                gateway.spawn(served).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a question: {error}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn serve_one(gateway: Rc<Gateway>, stream: TcpStream, port: Port) {
    let Ok(mut connection) = Connection::new(stream) else {
        return;
    };
    loop {
        let head = connection.request(MAX_HEAD);
        let Some(Ok(request)) = timeout(Instant::now() + LIMIT, head).await else {
            return;
        };
        let (status, kind, body) = port
            .answer(&gateway, &request.method, &request.target)
            .await;
        let close = if request.keep {
            ""
        } else {
            "Connection: close\r\n"
        };
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n{close}\r\n{body}",
            body.len()
        );
        let written = connection
            .write(text.as_bytes(), Instant::now() + LIMIT)
            .await;
        if written.is_err() || !request.keep {
            return;
        }
    }
}
