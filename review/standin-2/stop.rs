//! A host gets SIGTERM; renewals that are sent to it in the first half of the grace period take long, but
//! less than their route allows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::endpoint::{BORN, Endpoint, LONG, Options};
use crate::http::Client;
use crate::record::Record;
use crate::site::{HOST_NAME, Site};

/// `grace_s`, the renewals' `timeout_ms` and their time limit on qgsla-pier-large
const GRACE: Duration = Duration::from_secs(10);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(5000);
const TIME_LIMIT: Duration = Duration::from_millis(8000);

/// Work of most renewals, and of the long ones; up to 5,184 ms there
const WORK: Duration = Duration::from_millis(1000);
const LONG_WORK: Duration = Duration::from_millis(4980);

/// Number of renewals before SIGTERM, so that the host knows how long they take
const USUAL_RENEWALS: usize = 40;
const SIDE_BY_SIDE: usize = 10;

/// When long renewals are sent after SIGTERM, two at a time; over 3 s, and within the first half of the
/// grace period
const SENT_AFTER_MS: [u64; 4] = [4800, 4840, 4880, 4920];
const SENT_AT_A_TIME: usize = 2;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let to_text = |error: std::io::Error| error.to_string();
    let mut site = Site::new(record).map_err(to_text)?;
    site.grace = GRACE;
    site.route_timeout = ROUTE_TIMEOUT;
    site.configure(1, &[("/renew/", "unsafe", "portal")]);
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let options = Options {
            id: format!("i-portal-{number}"),
            service: "portal",
            zone: "bne-a",
            address: site.endpoint_address(number).map_err(to_text)?,
            slots: 3,
            work: WORK,
            long_work: LONG_WORK,
            born: BORN,
            warmup: Duration::ZERO,
            cold_crash_above: usize::MAX,
        };
        endpoints.push(Endpoint::start(options, &site.store, record).map_err(to_text)?);
    }
    site.start_gates(&["bne", "bne"])?;
    let host = site.gates[0].address(8161);
    send_usual(record, host);
    let stopped_at = Instant::now();
    if has_trouble {
        site.terminate(0);
        record.line(&format!("SIGTERM to {}", site.gates[0].name));
    }
    let cut = send_long(record, host, stopped_at);
    let runs: Vec<_> = endpoints.iter().flat_map(Endpoint::runs).collect();
    let is_run = |attempt: &String| runs.iter().any(|run| run.attempt == *attempt);
    let lost: Vec<&String> = cut.iter().filter(|attempt| is_run(attempt)).collect();
    for attempt in &lost {
        record.line(&format!(
            "LOST: attempt {attempt} was run, and its connection ended without an answer before its \
             route's timeout"
        ));
    }
    record.line(&format!(
        "{} of {} long renewals were cut",
        lost.len(),
        SENT_AFTER_MS.len() * SENT_AT_A_TIME
    ));
    Ok(lost.is_empty())
}

/// Sends renewals that take as long as most
fn send_usual(record: &Record, host: SocketAddr) {
    for first in (0..USUAL_RENEWALS).step_by(SIDE_BY_SIDE) {
        std::thread::scope(|scope| {
            for number in first..first + SIDE_BY_SIDE {
                scope.spawn(move || send(record, host, "usual", number));
            }
        });
    }
}

/// Sends long renewals; returns those whose connection ended without a complete answer before their
/// route's timeout
fn send_long(record: &Record, host: SocketAddr, stopped_at: Instant) -> Vec<String> {
    std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for (index, after_ms) in SENT_AFTER_MS.into_iter().enumerate() {
            let sent_at = stopped_at + Duration::from_millis(after_ms);
            std::thread::sleep(sent_at.saturating_duration_since(Instant::now()));
            for number in 0..SENT_AT_A_TIME {
                let number = index * SENT_AT_A_TIME + number;
                threads.push(scope.spawn(move || send(record, host, LONG, number)));
            }
        }
        let ended = threads.into_iter().filter_map(|thread| thread.join().ok());
        ended.flatten().collect()
    })
}

/// Sends a renewal on a connection of its own; returns its attempt if the connection ended without a
/// complete answer before the route's timeout
fn send(record: &Record, host: SocketAddr, kind: &str, number: usize) -> Option<String> {
    let attempt = format!("{kind}-{number:012x}");
    let request = format!(
        "POST /renew/{kind}/{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {attempt}\r\n\
         Request-Deadline: {}\r\nContent-Length: 0\r\n\r\n",
        TIME_LIMIT.as_millis()
    );
    let mut client = match Client::connect(host, TIME_LIMIT) {
        Ok(client) => client,
        Err(error) => {
            record.line(&format!("not sent: attempt {attempt}, {error}"));
            return None;
        }
    };
    let sent_at = Instant::now();
    record.line(&format!("sent: attempt {attempt} to {host}"));
    let answer = client.exchange(request.as_bytes());
    let took = sent_at.elapsed();
    match answer {
        Ok(answer) => {
            record.line(&format!(
                "answered: attempt {attempt} {} after {:.3} s",
                answer.status(),
                took.as_secs_f64()
            ));
            None
        }
        Err(error) => {
            record.line(&format!(
                "ended without an answer: attempt {attempt} after {:.3} s, {error}",
                took.as_secs_f64()
            ));
            (took < ROUTE_TIMEOUT).then_some(attempt)
        }
    }
}
