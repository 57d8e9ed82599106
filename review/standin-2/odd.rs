//! Another writer writes an entry with missing fields under the id of an endpoint.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::endpoint::{BORN, Endpoint, Options};
use crate::http::Client;
use crate::json::table;
use crate::record::Record;
use crate::site::{HOST_NAME, Site};

/// Time for which callers send requests
const PLAYED: Duration = Duration::from_secs(16);

/// Times at which the other writer writes, after the callers began
const WRITTEN_AT: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(12),
];

/// Pause of a caller between two requests
const CALLER_PAUSE: Duration = Duration::from_millis(5);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let to_text = |error: std::io::Error| error.to_string();
    let mut site = Site::new(record).map_err(to_text)?;
    site.configure(
        1,
        &[
            ("/renew/", "unsafe", "portal"),
            ("/pack/", "download", "library"),
        ],
    );
    let mut endpoints = Vec::new();
    for (number, service) in ["portal", "portal", "library", "library"]
        .into_iter()
        .enumerate()
    {
        let options = Options {
            id: format!("i-{service}-{number}"),
            service,
            zone: "bne-a",
            address: site.endpoint_address(number as u8).map_err(to_text)?,
            slots: 3,
            work: Duration::from_millis(20),
            long_work: Duration::from_millis(20),
            born: BORN,
            warmup: Duration::ZERO,
            cold_crash_above: usize::MAX,
        };
        endpoints.push(Endpoint::start(options, &site.store, record).map_err(to_text)?);
    }
    site.start_gates(&["bne", "bne"])?;
    let started_at = Instant::now();
    let mut writes = WRITTEN_AT.iter().filter(|_| has_trouble).peekable();
    let mut number = 0_u64;
    while started_at.elapsed() < PLAYED {
        if let Some(at) = writes.peek()
            && started_at.elapsed() >= **at
        {
            writes.next();
            let library = &endpoints[2];
            // Without `warmup_left_ms` and `born`; `version` and `sequence` have other types.
            let entry = table([
                ("service", "portal".into()),
                ("address", library.options().address.to_string().into()),
                ("zone", "bne-a".into()),
                ("version", 7.into()),
                ("max_concurrency", 3.into()),
                ("state", "ready".into()),
                ("sequence", "many".into()),
            ]);
            record.line(&format!(
                "another writer: servers/{} is {entry}",
                library.id()
            ));
            site.store.write("servers", library.id(), entry);
        }
        number += 1;
        let (target, method) = match number % 4 {
            0 => ("/pack/", "GET"),
            _ => ("/renew/", "POST"),
        };
        let host = site.gates[(number % 2) as usize].address(8161);
        let request = format!(
            "{method} {target}{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\n\
             Attempt-Id: {number:016x}\r\nRequest-Deadline: 3000\r\nContent-Length: 0\r\n\r\n"
        );
        record.line(&format!(
            "sent: {method} {target}{number} attempt {number:016x} to {host}"
        ));
        let answer = Client::connect(host, Duration::from_secs(3))
            .and_then(|mut client| client.exchange(request.as_bytes()));
        record.line(&match answer {
            Ok(answer) => format!(
                "answered: attempt {number:016x} {} {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body).trim_end()
            ),
            Err(error) => format!("answered: attempt {number:016x} {error}"),
        });
        std::thread::sleep(CALLER_PAUSE);
    }
    let mut foreign = 0;
    for run in endpoints.iter().flat_map(Endpoint::runs) {
        let allowed = if run.target.starts_with("/renew/") {
            "portal"
        } else {
            "library"
        };
        if run.service != allowed {
            foreign += 1;
            record.line(&format!(
                "ROUTE: {} (attempt {}) was run by {} of service {}; only {allowed} is allowed",
                run.target, run.attempt, run.endpoint, run.service
            ));
        }
    }
    record.line(&format!(
        "{foreign} requests were run by a service to which no configuration leads"
    ));
    Ok(foreign == 0)
}
