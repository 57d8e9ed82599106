//! Small ports beside the one for requests: directory, readiness, metrics, and the mirror for
//! hosts that start.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use super::Gateway;
use crate::message::{Connection, timeout};
use crate::platform::front::{self, Question};

/// Time for which callers may keep an answer of the directory; the platform counts at least one
/// second, and a host that stops is named that much longer
const LIFETIME: Duration = Duration::from_secs(2);

/// Hosts named to a caller where a region has many; enough that two failed ones leave a choice
const NAMED: usize = 8;

/// Time that a question may take, and that a connection may be idle
const LIMIT: Duration = Duration::from_secs(10);

/// Longest head of a question, in bytes
const MAX_HEAD: usize = 8 << 10;

/// Pause after a failed accept
const PAUSE: Duration = Duration::from_millis(50);

/// Status, content type and body of an answer
pub type Answer = (u16, &'static str, String);

/// Answer the questions of callers and of the platform
pub fn front(gateway: &Gateway, method: &str, target: &str) -> Answer {
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
        named.push(gateway.settings.borrow().caller);
    }
    if named.is_empty() {
        return (503, "text/plain", "no host is known\n".to_owned());
    }
    let lifetime = LIFETIME.min(gateway.settings.borrow().lookup_most);
    (200, "application/json", front::directory(&named, lifetime))
}

/// Answer starting hosts
pub fn control(gateway: &Gateway, method: &str, target: &str) -> Answer {
    if (method, target) != ("GET", "/mirror") {
        return (404, "text/plain", "path is /mirror\n".to_owned());
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

/// Answer operators
pub fn operator(gateway: &Gateway, method: &str, target: &str) -> Answer {
    match (method, target) {
        ("GET", "/metrics") => (200, "text/plain; version=0.0.4", gateway.metrics.text(gateway)),
        ("GET", "/status") => (200, "application/json", gateway.metrics.status(gateway)),
        _ => (404, "text/plain", "paths are /metrics and /status\n".to_owned()),
    }
}

/// Answer small questions on a listener until it is dropped
pub async fn serve(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    answer: fn(&Gateway, &str, &str) -> Answer,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = serve_one(gateway.clone(), stream, answer);
                gateway.spawn(served).detach();
            }
            Err(error) => {
                log::warn!("cannot accept a question: {error}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

fn serve_one(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    answer: fn(&Gateway, &str, &str) -> Answer,
) -> impl Future<Output = ()> {
    async move {
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        loop {
            let head = connection.request(MAX_HEAD);
            let Some(Ok(request)) = timeout(Instant::now() + LIMIT, head).await else {
                return;
            };
            let (status, kind, body) = answer(&gateway, &request.method, &request.target);
            let close = if request.keep { "" } else { "Connection: close\r\n" };
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n{close}\r\n{body}",
                body.len()
            );
            let written = connection.write(text.as_bytes(), Instant::now() + LIMIT).await;
            if written.is_err() || !request.keep {
                return;
            }
        }
    }
}
