//! Another writer puts an entry of kind `servers` whose text can't be read; then an endpoint leaves.
//!
//! Rule DRAIN: no request reaches an endpoint later than `drain_ms` after the store acknowledged that
//! it is draining. Requests come in groups, so the leaving endpoint has nothing to do in between.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const DRAIN: Duration = Duration::from_millis(2500);

/// How long the leaving endpoint serves after the store has accepted that it leaves
const SERVES: Duration = Duration::from_millis(3400);

const WORK: Duration = Duration::from_millis(800);
const TIME_LIMIT: Duration = Duration::from_millis(6000);

/// Requests that are sent together, and the time from one group to the next
const GROUP: usize = 12;
const GROUP_INTERVAL: Duration = Duration::from_millis(4000);

/// Lone surrogates: the JSON grammar allows the escapes, and they stand for no text
const ESCAPES: &[u8] = br#"{"service":"\udcff\udcfe","state":"ready"}"#;

/// The same as bytes that are no UTF-8
const RAW: &[u8] = b"{\"service\":\"\xff\xfe\",\"state\":\"ready\"}";

pub fn play(record: &Record) -> Verdict {
    let leaves = Arc::new(AtomicBool::new(false));
    let is_leaving = leaves.clone();
    let site = Site::start(
        record,
        gate::HARROWGATE,
        4,
        3,
        Duration::from_millis(2000),
        move |index, request, _| {
            let says = match index == 0 && is_leaving.load(Ordering::SeqCst) {
                true => "Server-Leaving: 1\r\nConnection: close\r\n",
                false => "",
            };
            vec![
                Step::Pause(WORK),
                Step::Bytes(answer(request, 200, says, b"done")),
            ]
        },
    )?;
    let address = site.caller_address();
    let send_group = |group: usize| {
        let clients: Vec<_> = (0..GROUP)
            .map(|number| {
                std::thread::spawn(move || {
                    let id = format!("{group}-{number}");
                    let target = format!("/lodge/{id}");
                    let at = Instant::now();
                    let answer = client::connect(address, TIME_LIMIT)
                        .map_err(|error| error.to_string())
                        .and_then(|mut connection| {
                            client::exchange(&mut connection, "POST", &target, &id, TIME_LIMIT)
                        });
                    (id, at, answer.map_or(0, |answer| answer.status()))
                })
            })
            .collect();
        let results = clients.into_iter().map(|client| client.join());
        let results: Result<Vec<_>, _> = results.collect();
        results.map_err(|_| "a client failed".to_owned())
    };
    let mut log = send_group(0)?;
    if site.has_trouble {
        let (name, text) = match std::env::var("BYTES").as_deref() {
            Ok("raw") => ("bytes that are no UTF-8", RAW),
            _ => ("escapes that stand for no text", ESCAPES),
        };
        site.store.put("servers", "i-other-writer", text);
        record.line(format!(
            "another writer puts servers/i-other-writer: {name}"
        ));
    }
    let next_group = Instant::now() + GROUP_INTERVAL;
    std::thread::sleep(Duration::from_millis(1000));
    let leaving = &site.endpoints[0];
    leaves.store(true, Ordering::SeqCst);
    site.store
        .put("servers", &leaving.id, leaving.entry("draining", 2, 3));
    let acknowledged_at = Instant::now();
    record.line(format!(
        "the store has accepted that {} is draining",
        leaving.id
    ));
    let (endpoint, recorder) = (leaving.clone(), record.clone());
    let end = std::thread::spawn(move || {
        std::thread::sleep((acknowledged_at + SERVES) - Instant::now());
        endpoint.end();
        recorder.line(format!("{} ends", endpoint.id));
    });
    std::thread::sleep(next_group - Instant::now());
    log.extend(send_group(1)?);
    end.join().ok();
    log.extend(send_group(2)?);
    for (id, at, status) in &log {
        record.line_at(*at, format!("client sends {id}, answered {status}"));
    }
    for endpoint in &site.endpoints {
        for arrival in endpoint.arrivals() {
            let end = if arrival.ended_at.is_some() {
                "runs it"
            } else {
                "its run is cut"
            };
            record.line_at(
                arrival.at,
                format!("{} reaches {}: {end}", arrival.id, endpoint.id),
            );
        }
    }
    if log.iter().filter(|(.., status)| *status == 200).count() < GROUP {
        return Err("too few requests were served".to_owned());
    }
    let late: Vec<_> = leaving
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.at > acknowledged_at + DRAIN)
        .collect();
    let Some(last) = late.last() else {
        return Ok(Vec::new());
    };
    let failed = late.iter().filter(|arrival| {
        log.iter()
            .any(|(id, _, status)| *id == arrival.id && *status != 200)
    });
    Ok(vec![format!(
        "DRAIN: {} requests reached {} later than {} ms after the store's ack (the last one {} ms \
         after); {} of them were cut when it ended and got no success",
        late.len(),
        leaving.id,
        DRAIN.as_millis(),
        (last.at - acknowledged_at).as_millis(),
        failed.count()
    )])
}
