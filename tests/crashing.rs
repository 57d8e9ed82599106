//! Requests that crash every endpoint that runs them, sent again and again to any `pier-gate`
//! process while ordinary requests run on the same endpoints.

mod site;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::store::{Faults, Outage};

use site::client::{self, AttemptLog};
use site::proxy::Mode;
use site::{HOST_NAME, Site};

/// Number of crashes after which a request counts as one that crashes endpoints
const CRASHES: usize = 3;

/// Time after that crash until all hosts are to know of it
const STABLE: Duration = Duration::from_secs(3);

/// Number of times that it may be sent to an endpoint from then on
const MAX_LATE_SENDS: usize = 3;

/// Time until a crashed endpoint runs again
const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// Longest time for which an ordinary request may be refused after a crash beside it
const MAX_REFUSAL: Duration = Duration::from_secs(12);

/// Most ordinary requests that may fail: those that run beside a crashing one
const MAX_FAILED_RATIO: f64 = 0.05;

/// How the body of a crashing request is sent
#[derive(Clone, Copy, Debug)]
enum Body {
    Empty,
    WithLength,
    Chunked,
    /// One of the two, from one repeat to the next
    Alternating,
}

/// What happens to the deployment meanwhile
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// Each host in turn is killed and started again, from the third second on
    Restarts,
    /// The store answers nobody from the first second to the tenth
    StoreAway,
    /// The store answers nobody, and each host in turn is killed and started again
    StoreAwayAndRestarts,
    /// The first host is cut off from the store from the first second to the tenth
    Cut,
    /// The first two hosts stand still for the first five seconds
    Pause,
    /// A proxy before each endpoint accepts connections also while the endpoint does not run
    Proxies,
}

impl Disturbance {
    fn register(self, site: &mut Site, server: usize) {
        match self {
            Self::Proxies => site.register(server, "ready"),
            _ => site.register_without_proxy(server),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    path: &'static str,
    body: Body,
    /// Number of different requests of this kind at once
    requests: usize,
    /// Time between two repeats of one of them, at a random host each
    pause: Duration,
    disturbance: Disturbance,
}

const SLOW: Duration = Duration::from_millis(900);
const FAST: Duration = Duration::from_millis(150);

/// Time for which the requests are repeated
const DURATION: Duration = Duration::from_secs(18);

/// Sends one request on a connection of its own; returns the status of the answer
async fn send(host: SocketAddr, target: &str, id: &str, number: usize, body: Body) -> Option<u16> {
    let (method, framing, body) = match body {
        Body::Empty => ("GET", "", ""),
        Body::Alternating if number.is_multiple_of(2) => ("POST", "Content-Length: 5\r\n", "renew"),
        Body::WithLength => ("POST", "Content-Length: 5\r\n", "renew"),
        Body::Chunked | Body::Alternating => (
            "POST",
            "Transfer-Encoding: chunked\r\n",
            "5\r\nrenew\r\n0\r\n\r\n",
        ),
    };
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Cookie: visits={number}; Affinity-Key=7\r\nRequest-Deadline: 2000\r\nConnection: close\r\n\
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

/// Repeats a crashing request at random hosts until `end`
async fn repeat(hosts: Vec<SocketAddr>, case: Case, number: usize, end: Instant) {
    let mut rng = fastrand::Rng::with_seed(number as u64);
    let target = format!("{}crash-{number}", case.path);
    let mut sent = 0;
    while Instant::now() < end {
        sent += 1;
        let id = format!("crash-{number}-{sent}");
        let host = hosts[rng.usize(..hosts.len())];
        let target = match case.body {
            // A query may change from one repeat to the next.
            Body::Empty => format!("{target}?page={sent}"),
            _ => target.clone(),
        };
        // Callers do not wait for each other's answers.
        smol::spawn(async move { send(host, &target, &id, sent, case.body).await }).detach();
        Timer::after(case.pause).await;
    }
}

/// Applies the part of a disturbance that is due; `step` counts the parts already applied
async fn disturb(site: &mut Site, disturbance: Disturbance, elapsed: Duration, step: &mut usize) {
    let second = elapsed.as_secs();
    let outage = |outage| Faults {
        outage,
        ..Faults::default()
    };
    let store_away = matches!(
        disturbance,
        Disturbance::StoreAway | Disturbance::StoreAwayAndRestarts
    );
    if store_away && (1..10).contains(&second) {
        site.store.set_faults(outage(Outage::Unavailable));
    } else if store_away {
        site.store.set_faults(outage(Outage::None));
    }
    match disturbance {
        Disturbance::Cut => {
            let mode = match (1..10).contains(&second) {
                true => Mode::Silent,
                false => Mode::Pass,
            };
            site.gateways[0].store_proxy.set_mode(mode);
        }
        Disturbance::Pause if *step == 0 || (*step == 1 && second >= 5) => {
            let signal = ["STOP", "CONT"][*step];
            *step += 1;
            for gateway in &site.gateways[..2] {
                let process = gateway.process.as_ref().expect("the gateway runs");
                process.signal(signal);
            }
        }
        Disturbance::Restarts | Disturbance::StoreAwayAndRestarts
            if second >= 3 + 2 * *step as u64 && *step < site.gateways.len() =>
        {
            let index = *step;
            *step += 1;
            site.gateways[index].process = None;
            site.start_gateway(index);
        }
        _ => {}
    }
}

/// Arrivals of each crashing request at endpoints, in order
fn arrivals(site: &Site) -> BTreeMap<String, Vec<Instant>> {
    let mut arrivals: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for server in &site.servers {
        for (id, starts) in server.endpoint.run_starts() {
            if let Some((request, _)) = id.rsplit_once('-').filter(|_| id.starts_with("crash-")) {
                arrivals
                    .entry(request.to_owned())
                    .or_default()
                    .extend(starts);
            }
        }
    }
    arrivals.values_mut().for_each(|times| times.sort());
    arrivals
}

/// Returns the longest time for which requests with one target got 429 and nothing else
fn longest_refusal(log: &AttemptLog) -> Duration {
    let attempts = log.lock().expect("no client panicked").clone();
    let mut refused_since: BTreeMap<(bool, u32), Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for attempt in &attempts {
        let key = (attempt.at_most_once, attempt.object);
        match attempt.result {
            Ok(429) => {
                let since = *refused_since.entry(key).or_insert(attempt.sent_at);
                longest = longest.max(attempt.sent_at.saturating_duration_since(since));
            }
            Ok(200) => {
                refused_since.remove(&key);
            }
            _ => {}
        }
    }
    longest
}

/// Plays a case; returns what broke
async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start(3, 5).await;
    for index in 0..site.servers.len() {
        case.disturbance.register(&mut site, index);
    }
    let log = AttemptLog::default();
    let started = Instant::now();
    let end = started + DURATION;
    let hosts: Vec<SocketAddr> = site
        .gateways
        .iter()
        .map(|gateway| SocketAddr::new(gateway.ip, 8161))
        .collect();
    let pause = Duration::from_millis(60);
    let ordinary: Vec<smol::Task<()>> = (0..12)
        .map(|number| {
            let host = hosts[number % hosts.len()];
            smol::spawn(client::send_requests(
                host,
                number as u64,
                end,
                pause,
                log.clone(),
            ))
        })
        .collect();
    // Hosts then have open connections to the endpoints.
    Timer::after(Duration::from_millis(500)).await;
    let repeats: Vec<smol::Task<()>> = (0..case.requests)
        .map(|number| smol::spawn(repeat(hosts.clone(), case, number, end)))
        .collect();
    let mut crashed: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut step = 0;
    while Instant::now() < end {
        disturb(&mut site, case.disturbance, started.elapsed(), &mut step).await;
        for index in 0..site.servers.len() {
            if !site.servers[index].endpoint.is_crashed() {
                continue;
            }
            let crashed_at = *crashed.entry(index).or_insert_with(Instant::now);
            if crashed_at.elapsed() > RESTART_DELAY {
                crashed.remove(&index);
                site.restart_server(index).await;
                case.disturbance.register(&mut site, index);
            }
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    for task in repeats.into_iter().chain(ordinary) {
        task.await;
    }
    check(&site, &log, case)
}

fn check(site: &Site, log: &AttemptLog, case: Case) -> Vec<String> {
    let mut broken = Vec::new();
    let arrivals = arrivals(site);
    let mut summary = Vec::new();
    for (request, times) in &arrivals {
        let late = match times.get(CRASHES - 1) {
            Some(third) => times.iter().filter(|time| **time > *third + STABLE).count(),
            None => 0,
        };
        summary.push(format!("{} ({late} late)", times.len()));
        if late > MAX_LATE_SENDS {
            broken.push(format!(
                "{}: {request} reached endpoints {} times, {late} of them later than {STABLE:?} \
                 after the third",
                case.name,
                times.len()
            ));
        }
    }
    let attempts = log.lock().expect("no client panicked").clone();
    let failed = attempts
        .iter()
        .filter(|attempt| attempt.result != Ok(200))
        .count();
    let refusal = longest_refusal(log);
    println!(
        "{}: endpoints reached {summary:?}; {failed} of {} ordinary requests failed; refused for \
         at most {refusal:?}",
        case.name,
        attempts.len()
    );
    // Clients of a host that is killed or stands still cannot be served.
    let is_calm = matches!(case.disturbance, Disturbance::None);
    if is_calm && failed as f64 > MAX_FAILED_RATIO * attempts.len() as f64 {
        broken.push(format!(
            "{}: {failed} of {} ordinary requests failed",
            case.name,
            attempts.len()
        ));
    }
    if refusal > MAX_REFUSAL {
        broken.push(format!(
            "{}: an ordinary request was refused for {refusal:?}",
            case.name
        ));
    }
    broken
}

#[test]
fn request_that_crashed_three_endpoints_is_sent_again() {
    let case = |name, path, body, requests, pause, disturbance| Case {
        name,
        path,
        body,
        requests,
        pause,
        disturbance,
    };
    use Disturbance::{Cut, None, Pause, Proxies, Restarts, StoreAway, StoreAwayAndRestarts};
    let cases = [
        case("idempotent", "/safe/", Body::Empty, 1, SLOW, None),
        case("at most once", "/once/", Body::WithLength, 1, SLOW, None),
        case("chunked body", "/once/", Body::Chunked, 1, SLOW, None),
        case("other framing", "/once/", Body::Alternating, 1, SLOW, None),
        case("two kinds", "/once/", Body::Alternating, 4, FAST, Restarts),
        case("several at once", "/safe/", Body::Empty, 3, SLOW, None),
        case("at a high rate", "/once/", Body::WithLength, 1, FAST, None),
        case("restarts", "/once/", Body::WithLength, 1, SLOW, Restarts),
        case("store away", "/once/", Body::WithLength, 1, SLOW, StoreAway),
        case(
            "store away and restarts",
            "/safe/",
            Body::Empty,
            1,
            SLOW,
            StoreAwayAndRestarts,
        ),
        case("cut off host", "/once/", Body::WithLength, 1, SLOW, Cut),
        case("hosts that pause", "/safe/", Body::Empty, 1, FAST, Pause),
        case(
            "endpoints behind proxies",
            "/once/",
            Body::WithLength,
            1,
            SLOW,
            Proxies,
        ),
    ];
    let only = std::env::var("CASE").ok();
    let cases: Vec<Case> = cases
        .into_iter()
        .filter(|case| only.as_ref().is_none_or(|only| case.name == only))
        .collect();
    let names: BTreeSet<&str> = cases.iter().map(|case| case.name).collect();
    assert_eq!(names.len(), cases.len(), "each case has a name of its own");
    let mut broken = Vec::new();
    // A few deployments at a time, so that none of them waits for the processor.
    for batch in cases.chunks(4) {
        let plays: Vec<_> = batch
            .iter()
            .map(|case| {
                let case = *case;
                std::thread::spawn(move || smol::block_on(play(case)))
            })
            .collect();
        for play in plays {
            broken.extend(play.join().expect("the deployment runs"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
