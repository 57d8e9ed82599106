//! Endpoints that write a refusal once more on its connection, also while its request is under way
//! there again, behind real `pier-gate` processes.

mod site;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, Request, timeout};

use site::raw::{self, RawEndpoint};
use site::{HOST_NAME, Site};

/// Callers of each case; each sends one request after the other
const CALLERS: usize = 8;

/// Requests of each caller
const REQUESTS: usize = 40;

/// Tries of one request, all with the same attempt id
const MAX_TRIES: usize = 6;

/// Time that a request takes at an endpoint
const SERVICE_TIME: Duration = Duration::from_millis(8);

/// Longest time after which a copy comes at a random moment
const MAX_DELAY: Duration = Duration::from_millis(120);

/// Part of the requests that must be served where refusals cost no health check
const MIN_SERVED_RATIO: f64 = 0.9;

/// Endpoint that has ended, and whose address another one has
const FORMER_ENDPOINT: &str = "i-former";

/// Requests to endpoints one of which has the address of another entry
const SHARED_ADDRESS_REQUESTS: usize = 300;

/// When the copy of a refusal is written on its connection
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copy {
    Never,
    /// Before the answer to the same request, once it is under way again
    BeforeSame,
    /// The same, twice
    TwiceBeforeSame,
    /// Before the answer to the next request
    BeforeNext,
    /// At a random moment
    AtRandom,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    copy: Copy,
    status: u16,
    endpoints: usize,
}

/// What the endpoints of a case did
#[derive(Debug, Default)]
struct Past {
    /// Number of runs by attempt id
    runs: BTreeMap<String, usize>,
    /// Refusals that are to be written once more, by connection
    refused: BTreeMap<SocketAddr, Vec<String>>,
}

type SharedPast = Arc<Mutex<Past>>;

fn refusal(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} -\r\nContent-Length: 2\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\r\nno"
    )
}

/// Writes the bytes after a random time, as far as the connection is open
fn write_later(connection: &Connection, bytes: String) {
    let stream = connection.writer();
    let write = async move {
        Timer::after(MAX_DELAY.mul_f64(fastrand::f64())).await;
        if let Ok(mut connection) = Connection::new(stream) {
            let deadline = Instant::now() + Duration::from_secs(1);
            // An error means that the host has closed the connection.
            let _ = connection.write(bytes.as_bytes(), deadline).await;
        }
    };
    smol::spawn(write).detach();
}

impl Past {
    /// Returns the copies that come before the answer to a request, and whether it is refused
    fn decide(&mut self, case: Case, peer: SocketAddr, id: &str) -> (String, bool) {
        let refused = self.refused.entry(peer).or_default();
        let due = match case.copy {
            Copy::Never | Copy::AtRandom => false,
            Copy::BeforeSame | Copy::TwiceBeforeSame => refused.iter().any(|earlier| earlier == id),
            Copy::BeforeNext => !refused.is_empty(),
        };
        let count = if case.copy == Copy::TwiceBeforeSame {
            2
        } else {
            1
        };
        let mut copies = String::new();
        if due {
            let copied = match case.copy {
                Copy::BeforeNext => refused.last().cloned().unwrap_or_default(),
                _ => id.to_owned(),
            };
            copies = refusal(case.status, &copied).repeat(count);
            refused.clear();
        }
        let is_refused = fastrand::u8(0..10) < 4;
        match is_refused {
            true => refused.push(id.to_owned()),
            false => *self.runs.entry(id.to_owned()).or_default() += 1,
        }
        (copies, is_refused)
    }
}

async fn answer(
    case: Case,
    past: SharedPast,
    request: Request,
    mut connection: Connection,
) -> Option<Connection> {
    let deadline = Instant::now() + Duration::from_secs(2);
    let mut length = request.length;
    while let Ok(Some(_)) = connection.read_body_part(&mut length).await {}
    if request.target.starts_with("/health") {
        let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        connection.write(healthy, deadline).await.ok()?;
        return Some(connection);
    }
    let id = raw::attempt_id(&request).to_owned();
    let peer = connection.writer().peer_addr().ok()?;
    let (copies, is_refused) = past.lock().expect("no panic").decide(case, peer, &id);
    connection.write(copies.as_bytes(), deadline).await.ok()?;
    if is_refused {
        let text = refusal(case.status, &id);
        connection.write(text.as_bytes(), deadline).await.ok()?;
        if case.copy == Copy::AtRandom {
            write_later(&connection, text);
        }
        return Some(connection);
    }
    Timer::after(SERVICE_TIME).await;
    raw::succeed(request, connection).await
}

/// Sends one try of a request; returns its status and the time after which it may be sent again
async fn send(host: SocketAddr, target: &str, id: &str) -> Option<(u16, Duration)> {
    let deadline = Instant::now() + Duration::from_secs(3);
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: 2000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    let exchange = async {
        let connection = Connection::connect(host, Duration::from_secs(1)).await;
        let mut connection = connection.ok()?;
        connection.write(request.as_bytes(), deadline).await.ok()?;
        let answer = connection.read_response("POST").await.ok()?;
        connection.read_body(answer.length, 1 << 20).await.ok()?;
        let retry_after = answer.headers.get("Retry-After");
        let retry_after = retry_after.and_then(|text| text.parse().ok());
        let retry_after = Duration::from_secs_f64(retry_after.unwrap_or_default());
        Some((answer.status, retry_after.min(Duration::from_millis(500))))
    };
    timeout(deadline, exchange).await.flatten()
}

/// What the callers of a case saw
#[derive(Debug, Default)]
struct Seen {
    statuses: BTreeMap<Option<u16>, usize>,
    broken: Vec<String>,
}

/// Sends requests one after the other; each is sent again with its id while it was not run
async fn call(host: SocketAddr, case: Case, past: SharedPast, number: usize) -> Seen {
    let mut seen = Seen::default();
    for count in 0..REQUESTS {
        // Idempotent requests share the connections.
        let (target, is_once_only) = match count % 3 {
            0 => ("/safe/x", false),
            _ => ("/once/x", true),
        };
        let id = format!("try-{number}-{count}");
        let mut status = None;
        for _ in 0..MAX_TRIES {
            let result = send(host, target, &id).await;
            status = result.map(|(status, _)| status);
            let Some((408 | 421 | 429 | 503, retry_after)) = result else {
                break;
            };
            let runs = past.lock().expect("no panic").runs.get(&id).copied();
            if is_once_only && runs.is_some() {
                let text = format!("{case:?}: {id}: told {status:?} after {runs:?} runs");
                seen.broken.push(text);
                break;
            }
            Timer::after(retry_after).await;
        }
        let runs = past.lock().expect("no panic").runs.get(&id).copied();
        if is_once_only && runs > Some(1) {
            seen.broken
                .push(format!("{case:?}: {id}: {runs:?} runs, {status:?}"));
        }
        *seen.statuses.entry(status).or_default() += 1;
    }
    seen
}

async fn play(case: Case) -> Vec<String> {
    let site = Site::start_with_retry_slack(1, 1, 10_000).await;
    raw::remove_others(&site);
    let past = SharedPast::default();
    for number in 0..case.endpoints {
        let past = past.clone();
        let answer = move |request, connection| answer(case, past.clone(), request, connection);
        let endpoint = RawEndpoint::start(&site, &format!("i-copies-{number}"), answer).await;
        endpoint.register(&site, "ready", 1);
    }
    Timer::after(Duration::from_millis(1000)).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let callers = (0..CALLERS).map(|number| smol::spawn(call(host, case, past.clone(), number)));
    let callers: Vec<_> = callers.collect();
    let mut all = Seen::default();
    for caller in callers {
        let seen = caller.await;
        all.broken.extend(seen.broken);
        for (status, count) in seen.statuses {
            *all.statuses.entry(status).or_default() += count;
        }
    }
    println!("{case:?}: {:?}, {} broken", all.statuses, all.broken.len());
    let served = all.statuses.get(&Some(200)).copied().unwrap_or_default();
    // A 421 keeps an endpoint out of use until its health check.
    if case.status != 421 && (served as f64) < MIN_SERVED_RATIO * (CALLERS * REQUESTS) as f64 {
        all.broken.push(format!("{case:?}: {:?}", all.statuses));
    }
    all.broken
}

/// Answers at one address for two entries: those of requests for the first one are refused, as its
/// endpoint has ended, and the refusal comes once more before the answer of the second one
async fn answer_for_two(
    past: SharedPast,
    request: Request,
    mut connection: Connection,
) -> Option<Connection> {
    let deadline = Instant::now() + Duration::from_secs(2);
    let mut length = request.length;
    while let Ok(Some(_)) = connection.read_body_part(&mut length).await {}
    if request.target.starts_with("/health") {
        let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        connection.write(healthy, deadline).await.ok()?;
        return Some(connection);
    }
    let id = raw::attempt_id(&request).to_owned();
    let peer = connection.writer().peer_addr().ok()?;
    let text = refusal(421, &id);
    let is_refused = request.headers.get("Target-Instance") == Some(FORMER_ENDPOINT);
    let is_copied = {
        let mut past = past.lock().expect("no panic");
        let refused = past.refused.entry(peer).or_default();
        let is_copied = refused.contains(&id);
        match is_refused {
            true => refused.push(id.clone()),
            false => *past.runs.entry(id).or_default() += 1,
        }
        is_copied
    };
    if is_refused || is_copied {
        connection.write(text.as_bytes(), deadline).await.ok()?;
    }
    if is_refused {
        return Some(connection);
    }
    Timer::after(SERVICE_TIME).await;
    raw::succeed(request, connection).await
}

/// Plays endpoints that have the address of one that ended, whose entry still stands; each request is
/// sent once
async fn play_shared_address(endpoints: usize) -> Vec<String> {
    let site = Site::start_with_retry_slack(1, 1, 10_000).await;
    raw::remove_others(&site);
    let past = SharedPast::default();
    for number in 0..endpoints {
        let past = past.clone();
        let answer = move |request, connection| answer_for_two(past.clone(), request, connection);
        let endpoint = RawEndpoint::start(&site, &format!("i-present-{number}"), answer).await;
        endpoint.register(&site, "ready", 1);
        if number == 0 {
            let former = endpoint.spec("ready", 1);
            site.store.write("servers", FORMER_ENDPOINT, former);
        }
    }
    Timer::after(Duration::from_millis(1000)).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let mut broken = Vec::new();
    let mut statuses = BTreeMap::new();
    for number in 0..SHARED_ADDRESS_REQUESTS {
        let id = format!("shared-{number}");
        let status = send(host, "/once/x", &id).await.map(|(status, _)| status);
        let runs = past.lock().expect("no panic").runs.get(&id).copied();
        let says_not_run = matches!(status, Some(408 | 421 | 429 | 503));
        if runs > Some(1) || (says_not_run && runs.is_some()) {
            broken.push(format!(
                "{endpoints} endpoints: {id}: {runs:?} runs, {status:?}"
            ));
        }
        *statuses.entry(status).or_insert(0) += 1;
        // The entry without an endpoint is used again after its health check.
        Timer::after(Duration::from_millis(20)).await;
    }
    println!(
        "{endpoints} endpoints, a shared address: {statuses:?}, {} broken",
        broken.len()
    );
    broken
}

fn cases(copies: &[Copy], statuses: &[u16]) -> Vec<Case> {
    let mut cases = Vec::new();
    for copy in copies {
        for status in statuses {
            for endpoints in [1, 3] {
                cases.push(Case {
                    copy: *copy,
                    status: *status,
                    endpoints,
                });
            }
        }
    }
    cases
}

// A refusal of an earlier try must not count as the answer to the present one.
#[test]
fn copy_of_a_refusal_says_that_the_next_try_did_not_run() {
    let cases = cases(&[Copy::BeforeSame, Copy::TwiceBeforeSame], &[503, 429, 421]);
    site::play_all(cases.into_iter().map(play));
}

// A copy of a refusal must not count as the answer to another request.
#[test]
fn copy_of_a_refusal_says_that_another_request_did_not_run() {
    let copies = [Copy::Never, Copy::BeforeNext, Copy::AtRandom];
    let cases = cases(&copies, &[503]);
    site::play_all(cases.into_iter().map(play));
}

// The refusal for an endpoint that ended must not count as the answer of the one at its address.
#[test]
fn copy_of_a_refusal_says_that_the_next_endpoint_at_its_address_did_not_run() {
    site::play_all([1, 2].into_iter().map(play_shared_address));
}
