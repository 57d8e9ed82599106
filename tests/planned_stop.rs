//! Requests that reach a real `pier-gate` process during its planned stop, in calm.

mod site;

use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, Request, timeout};
use tanagerpier::util::stable_hash;

use site::options::Options;
use site::raw::{self, RawEndpoint};
use site::{HOST_NAME, Site};

/// Number of endpoints
const ENDPOINTS: usize = 8;

/// Number of requests before the stop; their connections stay open
const EARLIER_REQUESTS: usize = 32;

/// Time after SIGTERM within which a request may be sent that is cut in the end
const EXCUSED_SENDING: Duration = Duration::from_secs(3);

/// Time within which the requests before the stop end
const MAX_EARLIER_TIME: Duration = Duration::from_secs(10);

/// Part of the grace period at whose end a cut request must still run to be excused
const EXCUSED_RATIO: f64 = 1.0 / 6.0;

/// Length of the part of a large answer that comes at once, more than what a host buffers
const EARLY_BYTES: usize = 256 << 10;

/// Part of the requests that must be served while all of them would end in time
const MIN_SERVED_RATIO: f64 = 0.9;

#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    grace_secs: u64,
    prefix: &'static str,
    /// Milliseconds that a request takes
    work: Range<u64>,
    /// Time limit that callers state, in milliseconds
    limit: u64,
    /// Milliseconds after SIGTERM until which requests must be served
    served_until: u64,
    /// Milliseconds between two requests during the stop
    interval: u64,
    /// Milliseconds before SIGTERM since which requests come, `None` if all earlier ones have ended
    since: Option<u64>,
    /// Whether the endpoint sends most of a large answer at once and the rest when its work is done
    is_download: bool,
}

/// Returns how long a request takes
fn work(case: &Case, id: &str) -> Duration {
    let span = case.work.end - case.work.start;
    Duration::from_millis(case.work.start + stable_hash(&id) % span)
}

/// Request of a caller, and how it ended
#[derive(Debug)]
struct Ended {
    id: String,
    /// Time since SIGTERM, zero before it
    sent: Duration,
    /// `None` if the connection ended without a whole answer
    status: Option<u16>,
}

async fn send(
    case: Case,
    connection: Option<Connection>,
    host: SocketAddr,
    id: String,
    stopped_at: Instant,
) -> (Ended, Option<Connection>) {
    let sent_at = Instant::now();
    let deadline = sent_at + Duration::from_millis(case.limit) + Duration::from_secs(1);
    let request = format!(
        "POST {}x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: {}\r\nContent-Length: 2\r\n\r\nhi",
        case.prefix, case.limit
    );
    let exchange = async {
        let mut connection = match connection {
            Some(connection) => connection,
            None => Connection::connect(host, Duration::from_secs(1))
                .await
                .ok()?,
        };
        connection.write(request.as_bytes(), deadline).await.ok()?;
        let answer = connection.read_response("POST").await.ok()?;
        connection.read_body(answer.length, 1 << 20).await.ok()?;
        Some((answer.status, connection))
    };
    let answer = timeout(deadline, exchange).await.flatten();
    let (status, connection) = answer.unzip();
    let sent = sent_at.saturating_duration_since(stopped_at);
    (Ended { id, sent, status }, connection)
}

/// Returns what is wrong with the end of a request, if anything is
fn judge(case: &Case, ended: &Ended, arrivals: usize) -> Option<String> {
    let grace = Duration::from_secs(case.grace_secs);
    if arrivals == 0 {
        return None;
    }
    if let Some(status) = ended.status {
        return matches!(status, 408 | 421 | 429 | 503)
            .then(|| format!("{}: {ended:?} ran", case.name));
    }
    let work_ends = ended.sent + work(case, &ended.id);
    let is_excused =
        ended.sent <= EXCUSED_SENDING && work_ends >= grace.mul_f64(1.0 - EXCUSED_RATIO);
    (!is_excused).then(|| {
        format!(
            "{}: {ended:?} was cut, its work ends at {work_ends:?}",
            case.name
        )
    })
}

/// Writes a large answer whose last byte comes after `work`
async fn download(
    request: Request,
    mut connection: Connection,
    work: Duration,
) -> Option<Connection> {
    let deadline = Instant::now() + work + Duration::from_secs(1);
    let head = raw::success_head(&request, EARLY_BYTES + 1);
    connection.write(head.as_bytes(), deadline).await.ok()?;
    let early = vec![b'x'; EARLY_BYTES];
    connection.write(&early, deadline).await.ok()?;
    Timer::after(work).await;
    connection.write(b"x", deadline).await.ok()?;
    Some(connection)
}

async fn play(case: Case) -> Vec<String> {
    let options = Options {
        grace_secs: case.grace_secs,
        timeout_ms: 9000,
        ..Options::default()
    };
    let site = Site::start_with(1, 1, options).await;
    raw::remove_others(&site);
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let working = case.clone();
        let answer = move |request: Request, connection| {
            let working = working.clone();
            let work = work(&working, raw::attempt_id(&request));
            async move {
                if working.is_download {
                    return download(request, connection, work).await;
                }
                Timer::after(work).await;
                raw::succeed(request, connection).await
            }
        };
        let endpoint = RawEndpoint::start(&site, &format!("i-stop-{number}"), answer).await;
        endpoint.register(&site, "ready", 1);
        endpoints.push(endpoint);
    }
    Timer::after(Duration::from_millis(1000)).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let mut connections = Vec::new();
    if case.since.is_none() {
        let earlier = (0..EARLIER_REQUESTS).map(|number| {
            let id = format!("before-{number}");
            smol::spawn(send(
                case.clone(),
                None,
                host,
                id,
                Instant::now() + MAX_EARLIER_TIME,
            ))
        });
        let earlier: Vec<_> = earlier.collect();
        for task in earlier {
            connections.extend(task.await.1);
        }
    }
    let stopped_at = Instant::now() + Duration::from_millis(case.since.unwrap_or(0));
    let end = stopped_at + Duration::from_secs(case.grace_secs);
    let mut is_signalled = false;
    let mut running = Vec::new();
    while Instant::now() < end {
        if !is_signalled && Instant::now() >= stopped_at {
            is_signalled = true;
            let process = site.gateways[0].process.as_ref().expect("it runs");
            process.signal("TERM");
        }
        let id = format!("during-{}", running.len());
        let connection = match running.len() % 2 {
            0 => connections.pop(),
            _ => None,
        };
        let sending = send(case.clone(), connection, host, id, stopped_at);
        running.push(smol::spawn(sending));
        Timer::after(Duration::from_millis(case.interval)).await;
    }
    let mut all_ended = Vec::new();
    for task in running {
        all_ended.push(task.await.0);
    }
    let arrivals = |id: &str| endpoints.iter().map(|endpoint| endpoint.arrivals(id)).sum();
    let mut broken: Vec<String> = all_ended
        .iter()
        .filter_map(|ended| judge(&case, ended, arrivals(&ended.id)))
        .collect();
    let owed = all_ended
        .iter()
        .filter(|ended| ended.sent < Duration::from_millis(case.served_until));
    let (owed, served) = owed.fold((0, 0), |(owed, served), ended| {
        (owed + 1, served + usize::from(ended.status == Some(200)))
    });
    let last_served = all_ended.iter().filter(|ended| ended.status == Some(200));
    let last_served = last_served.map(|ended| ended.sent).max();
    println!(
        "{}: {served} of {owed} served, the last one sent {last_served:?}",
        case.name
    );
    if (served as f64) < MIN_SERVED_RATIO * f64::from(owed) {
        broken.push(format!("{}: {served} of {owed} served", case.name));
    }
    broken
}

// A request that a stopping host takes must not be cut at the end of the grace period.
#[test]
fn request_late_in_a_planned_stop_is_cut() {
    let cases = [
        Case {
            name: "long once-only requests",
            grace_secs: 10,
            prefix: "/once/",
            work: 2500..7500,
            limit: 8900,
            served_until: 0,
            interval: 100,
            since: None,
            is_download: false,
        },
        Case {
            name: "short requests with a long limit",
            grace_secs: 10,
            prefix: "/once/",
            work: 100..300,
            limit: 8900,
            served_until: 4900,
            interval: 100,
            since: None,
            is_download: false,
        },
        Case {
            name: "requests with a short limit",
            grace_secs: 6,
            prefix: "/safe/",
            work: 100..300,
            limit: 1000,
            served_until: 4400,
            interval: 100,
            since: None,
            is_download: false,
        },
        Case {
            name: "requests as long as the grace period",
            grace_secs: 8,
            prefix: "/safe/",
            work: 4000..8500,
            limit: 8900,
            served_until: 0,
            interval: 100,
            since: None,
            is_download: false,
        },
        Case {
            name: "long once-only requests, of which only short ones have ended",
            grace_secs: 10,
            prefix: "/once/",
            work: 2500..7500,
            limit: 8900,
            served_until: 0,
            interval: 10,
            since: Some(800),
            is_download: false,
        },
        Case {
            name: "long downloads, of which only short ones have ended",
            grace_secs: 10,
            prefix: "/once/",
            work: 2500..7500,
            limit: 8900,
            served_until: 0,
            interval: 10,
            since: Some(800),
            is_download: true,
        },
    ];
    site::play_all(cases.into_iter().map(play));
}
