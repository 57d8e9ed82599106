//! Callers that repeat one request again and again, each repeat on a connection of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};

use super::{HOST_NAME, client};

/// How the body of a request is sent
#[derive(Clone, Copy, Debug)]
pub enum Body {
    Empty,
    WithLength,
    Chunked,
    /// One of the two, from one repeat to the next
    Alternating,
}

/// Affinity key that a request bears
#[derive(Clone, Copy, Debug)]
pub enum Affinity {
    /// The same key in each repeat
    Same,
    /// Another key in each repeat
    Changing,
    /// No key
    None,
}

/// When and where a request is repeated
#[derive(Clone, Copy, Debug)]
pub enum Schedule {
    /// At random hosts, with a pause between two repeats
    AtRandomHosts(Duration),
    /// At the first host, a few times at once and again after a long pause
    AtFirstHost {
        pause: Duration,
        burst: Duration,
        rest: Duration,
    },
}

/// A request and its repeats
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub path: &'static str,
    pub body: Body,
    pub affinity: Affinity,
    pub schedule: Schedule,
}

/// Sends one request; returns the status of the answer
async fn send(host: SocketAddr, target: &str, id: &str, number: usize, load: Load) -> Option<u16> {
    let (method, framing, body) = match load.body {
        Body::Empty => ("GET", "", ""),
        Body::Alternating if number.is_multiple_of(2) => ("POST", "Content-Length: 5\r\n", "renew"),
        Body::WithLength => ("POST", "Content-Length: 5\r\n", "renew"),
        Body::Chunked | Body::Alternating => (
            "POST",
            "Transfer-Encoding: chunked\r\n",
            "5\r\nrenew\r\n0\r\n\r\n",
        ),
    };
    let cookie = match load.affinity {
        Affinity::Same => "; Affinity-Key=7".to_owned(),
        Affinity::Changing => format!("; Affinity-Key={number}"),
        Affinity::None => String::new(),
    };
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Cookie: visits={number}{cookie}\r\nRequest-Deadline: 2000\r\nConnection: close\r\n\
         {framing}\r\n{body}"
    );
    let deadline = Instant::now() + client::REQUEST_TIMEOUT;
    let exchange = async {
        let mut connection = Connection::connect(host, Duration::from_secs(1))
            .await
            .ok()?;
        connection.write(request.as_bytes(), deadline).await.ok()?;
        let response = connection.read_response(method).await.ok()?;
        Some(response.status)
    };
    timeout(deadline, exchange).await.flatten()
}

/// Repeats a request until `end`; the ids of its attempts are `NAME-COUNT`
pub async fn repeat(hosts: Vec<SocketAddr>, load: Load, name: String, seed: u64, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let target = format!("{}{name}", load.path);
    let started = Instant::now();
    let mut sent = 0;
    while Instant::now() < end {
        sent += 1;
        let id = format!("{name}-{sent}");
        let target = match load.body {
            // A query may change from one repeat to the next.
            Body::Empty => format!("{target}?page={sent}"),
            _ => target.clone(),
        };
        let (host, wait) = match load.schedule {
            Schedule::AtRandomHosts(pause) => (hosts[rng.usize(..hosts.len())], pause),
            Schedule::AtFirstHost { pause, burst, rest } => {
                let in_burst = started.elapsed() < burst || started.elapsed() > rest;
                let wait = match in_burst {
                    true => pause,
                    false => rest.saturating_sub(started.elapsed()),
                };
                (hosts[0], wait)
            }
        };
        // Callers do not wait for each other's answers.
        smol::spawn(async move { send(host, &target, &id, sent, load).await }).detach();
        Timer::after(wait).await;
    }
}
