//! The store carries out a write of an endpoint seconds late, after the endpoint has crashed and started
//! again under its id.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::endpoint::{BORN, Endpoint, Options};
use crate::http::Client;
use crate::record::Record;
use crate::site::{HOST_NAME, Site};

/// Time for which callers send requests
const PLAYED: Duration = Duration::from_secs(14);

/// Number of callers, and the pause of each between two requests
const CALLERS: usize = 12;
const CALLER_PAUSE: Duration = Duration::from_millis(140);

/// When the endpoint sends the write that gets no answer, after the callers began
const WRITE_SENT_AT: Duration = Duration::from_millis(5000);

/// How long after that the endpoint crashes, and how long it is down
const CRASH_AFTER: Duration = Duration::from_millis(100);
const DOWN_FOR: Duration = Duration::from_millis(600);

/// How long after it was sent the store carries the write out; the pages say seconds, the bench 1 to 6
const CARRIED_OUT_AFTER: Duration = Duration::from_millis(2300);

/// How long an endpoint is cold, and the requests a second that it bears then; as configured
const WARMUP: Duration = Duration::from_secs(3);
const WARMUP_PER_SECOND: f64 = 3.5;

/// Number of requests in one second above which a cold endpoint crashes: five times what it bears
const COLD_CRASH_ABOVE: usize = 17;

/// `warmup_factor` and `warmup_slack`
const BOUND: f64 = WARMUP_PER_SECOND * 1.5 + 5.0;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let to_text = |error: std::io::Error| error.to_string();
    let mut site = Site::new(record).map_err(to_text)?;
    site.configure(1, &[("/renew/", "unsafe", "portal")]);
    let mut endpoints = Vec::new();
    for number in 0..2 {
        let options = Options {
            id: format!("i-portal-{number}"),
            service: "portal",
            zone: "bne-a",
            address: site.endpoint_address(number).map_err(to_text)?,
            slots: 3,
            work: Duration::from_millis(100),
            long_work: Duration::from_millis(100),
            born: BORN,
            warmup: Duration::ZERO,
            cold_crash_above: COLD_CRASH_ABOVE,
        };
        endpoints.push(Endpoint::start(options, &site.store, record).map_err(to_text)?);
    }
    site.start_gates(&["bne", "bne", "bne"])?;
    let ended = AtomicBool::new(false);
    let number = AtomicU64::new(0);
    let lost = AtomicU64::new(0);
    let hosts: Vec<_> = site.gates.iter().map(|gate| gate.address(8161)).collect();
    let second = std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (ended, number, lost, hosts) = (&ended, &number, &lost, &hosts);
            scope.spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    let host = hosts[(caller + number as usize) % hosts.len()];
                    if matches!(send(record, host, number), None | Some(502 | 504)) {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    std::thread::sleep(CALLER_PAUSE);
                }
            });
        }
        let began_at = Instant::now();
        let second = disturb(&site, &endpoints[0], record, has_trouble);
        std::thread::sleep(PLAYED.saturating_sub(began_at.elapsed()));
        ended.store(true, Ordering::SeqCst);
        second
    });
    let second = second.map_err(to_text)?;
    record.line(&format!(
        "{} renewals were answered with a status that tells nothing",
        lost.load(Ordering::SeqCst)
    ));
    let (most, at) = busiest_second(&second);
    record.line(&format!(
        "while cold, {} got at most {most} requests in one second, from {:.3} s after its start on; \
         allowed {BOUND}",
        second.id(),
        at.as_secs_f64()
    ));
    Ok(most as f64 <= BOUND)
}

/// Crashes the endpoint and starts it again, with the late write if there is to be one; returns its
/// second lifetime
fn disturb(
    site: &Site,
    first: &Endpoint,
    record: &Record,
    has_trouble: bool,
) -> std::io::Result<Endpoint> {
    std::thread::sleep(WRITE_SENT_AT);
    let sent_at = Instant::now();
    let entry = first.next_entry();
    record.line(&format!(
        "{} sends an entry, which gets no answer: {entry}",
        first.id()
    ));
    std::thread::sleep(CRASH_AFTER);
    first.crash();
    record.line(&format!("{} crashes", first.id()));
    std::thread::sleep(DOWN_FOR);
    let options = Options {
        born: BORN + 60_000,
        warmup: WARMUP,
        ..first.options().clone()
    };
    let second = Endpoint::start(options, &site.store, record)?;
    record.line(&format!(
        "{} is back, cold, and its entry is acknowledged",
        second.id()
    ));
    if has_trouble {
        std::thread::sleep(CARRIED_OUT_AFTER.saturating_sub(sent_at.elapsed()));
        site.store.write("servers", second.id(), entry);
        record.line("the store carries out the write that got no answer");
    }
    Ok(second)
}

fn send(record: &Record, host: SocketAddr, number: u64) -> Option<u16> {
    let request = format!(
        "POST /renew/{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {number:016x}\r\n\
         Request-Deadline: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    record.line(&format!("sent: attempt {number:016x} to {host}"));
    let answer = Client::connect(host, Duration::from_secs(3))
        .and_then(|mut client| client.exchange(request.as_bytes()));
    record.line(&match &answer {
        Ok(answer) => format!("answered: attempt {number:016x} {}", answer.status()),
        Err(error) => format!("answered: attempt {number:016x} {error}"),
    });
    answer.ok().map(|answer| answer.status())
}

/// Returns the most requests in one second of the time for which an endpoint was cold, and when it
/// began
fn busiest_second(endpoint: &Endpoint) -> (usize, Duration) {
    let warm_at = endpoint.warm_at();
    let started_at = warm_at - WARMUP;
    let arrivals: Vec<Instant> = endpoint.arrivals();
    let cold: Vec<Instant> = arrivals.into_iter().filter(|at| *at < warm_at).collect();
    let counts = cold.iter().map(|from| {
        let within = cold
            .iter()
            .filter(|at| **at >= *from && **at < *from + Duration::from_secs(1));
        (within.count(), from.saturating_duration_since(started_at))
    });
    counts.max_by_key(|(count, _)| *count).unwrap_or_default()
}
