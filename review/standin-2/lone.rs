//! All hosts but one are lost for good; the directory of the last one is asked afterwards.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::endpoint::{BORN, Endpoint, Options};
use crate::http::Client;
use crate::record::Record;
use crate::site::{HOST_NAME, Site};

/// Regions of the hosts; the first host stays
const HOSTS: [&str; 12] = [
    "bne", "bne", "bne", "bne", "tsv", "tsv", "tsv", "tsv", "cns", "cns", "cns", "cns",
];

/// `stable_ms` + 3 s: until then the directory may name a machine that is lost
const BOUND: Duration = Duration::from_secs(6);

/// Time between two rounds of questions; callers of all regions ask, each at least every 5 s
const QUESTION_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the directory is asked after the bound
const WATCHED: Duration = Duration::from_secs(12);

/// Number of answers that may name a lost machine beside a running one
const ALLOWED: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let to_text = |error: std::io::Error| error.to_string();
    let mut site = Site::new(record).map_err(to_text)?;
    site.configure(1, &[("/lookup/", "safe", "portal")]);
    let mut endpoints = Vec::new();
    for (number, zone) in [(0, "bne-a"), (1, "tsv-a"), (2, "cns-a")] {
        let options = Options {
            id: format!("i-portal-{number}"),
            service: "portal",
            zone,
            address: site.endpoint_address(number).map_err(to_text)?,
            slots: 3,
            work: Duration::from_millis(50),
            long_work: Duration::from_millis(50),
            born: BORN,
            warmup: Duration::ZERO,
            cold_crash_above: usize::MAX,
        };
        endpoints.push(Endpoint::start(options, &site.store, record).map_err(to_text)?);
    }
    site.start_gates(&HOSTS)?;
    // The last reports and pings of the start are over.
    std::thread::sleep(Duration::from_secs(4));
    let mut lost: BTreeSet<SocketAddr> = BTreeSet::new();
    if has_trouble {
        for index in 1..HOSTS.len() {
            site.kill(index);
            lost.insert(site.gates[index].address(8161));
            record.line(&format!("killed for good: {}", site.gates[index].name));
        }
    }
    let killed_at = Instant::now();
    std::thread::sleep(BOUND);
    let running: BTreeSet<SocketAddr> = site
        .gates
        .iter()
        .map(|gate| gate.address(8161))
        .filter(|address| !lost.contains(address))
        .collect();
    let mut broken = 0;
    let mut questions = 0;
    while killed_at.elapsed() < BOUND + WATCHED {
        for region in ["bne", "tsv", "cns"] {
            questions += 1;
            let Some(named) = site.resolve(0, region) else {
                record.line(&format!("callers of {region}: no answer of the directory"));
                continue;
            };
            let lost_named = named
                .iter()
                .filter(|address| lost.contains(address))
                .count();
            let running_named = named
                .iter()
                .filter(|address| running.contains(address))
                .count();
            let is_broken = lost_named > 0 && running_named > 0;
            broken += usize::from(is_broken);
            let served = served_by(&named, questions);
            record.line(&format!(
                "callers of {region}: {running_named} running and {lost_named} lost hosts named; \
                 request {}",
                served.map_or(
                    "gets no answer at any of them".to_owned(),
                    |status| format!("answered {status}")
                )
            ));
        }
        std::thread::sleep(QUESTION_INTERVAL);
    }
    if !site.is_running(0) {
        return Err("the last host has ended".to_owned());
    }
    record.line(&format!("{broken} of {questions} answers named a lost machine beside a running one; {ALLOWED} are allowed"));
    Ok(broken <= ALLOWED)
}

/// Sends a request to the named hosts in turn, as a caller does; returns the first status
fn served_by(named: &[SocketAddr], number: usize) -> Option<u16> {
    let request = format!(
        "GET /lookup/{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {number:016x}\r\n\
         Request-Deadline: 2000\r\nConnection: close\r\n\r\n"
    );
    named.iter().find_map(|address| {
        let mut client = Client::connect(*address, Duration::from_secs(2)).ok()?;
        client
            .exchange(request.as_bytes())
            .ok()
            .map(|answer| answer.status())
    })
}
