//! A heartbeat of an endpoint gets no answer from the store and is carried out seconds later, after the
//! endpoint has reported that it leaves.
//!
//! Rule DRAIN: no request reaches an endpoint later than `drain_ms` after the store acknowledged that
//! it is draining. Requests come in groups, so the leaving endpoint has nothing to do in between.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const DRAIN: Duration = Duration::from_millis(2500);
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time from the lost call to the report that the endpoint leaves; more than `stable_ms`
const LEAVES_AFTER: Duration = Duration::from_millis(4200);

/// Time from the lost call until it is carried out; `platform_lost` has 1 to 6 s
const CARRIED_OUT_AFTER: Duration = Duration::from_millis(5950);

/// Time from the report until the next requests
const NEXT_GROUP: Duration = Duration::from_millis(2600);

/// How long the leaving endpoint serves after the store has accepted that it leaves
const SERVES: Duration = Duration::from_millis(3200);

const WORK: Duration = Duration::from_millis(800);
const TIME_LIMIT: Duration = Duration::from_millis(6000);
const GROUP: usize = 12;

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
        let results: Result<Vec<_>, _> = clients.into_iter().map(|client| client.join()).collect();
        results.map_err(|_| "a client failed".to_owned())
    };
    let leaving = site.endpoints[0].clone();
    let start = Instant::now();
    let wait_until = |after: Duration| {
        std::thread::sleep((start + after).saturating_duration_since(Instant::now()));
    };
    // Heartbeat 2 gets no answer; 3 and 4 follow and change nothing but the sequence.
    record.line(format!(
        "{} writes heartbeat 2, ready; the store gives no answer",
        leaving.id
    ));
    let mut log = send_group(0)?;
    wait_until(HEARTBEAT * 2);
    site.store
        .put("servers", &leaving.id, leaving.entry("ready", 4, 3));
    record.line(format!(
        "the store has heartbeat 4 of {}, ready",
        leaving.id
    ));
    wait_until(LEAVES_AFTER);
    leaves.store(true, Ordering::SeqCst);
    site.store
        .put("servers", &leaving.id, leaving.entry("draining", 5, 3));
    let acknowledged_at = Instant::now();
    record.line(format!(
        "the store has accepted heartbeat 5 of {}, draining",
        leaving.id
    ));
    let (store, recorder, endpoint) = (site.store.clone(), record.clone(), leaving.clone());
    let has_trouble = site.has_trouble;
    let rest = std::thread::spawn(move || {
        let sleep_until = |at: Instant| {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
        };
        sleep_until(acknowledged_at + HEARTBEAT);
        store.put("servers", &endpoint.id, endpoint.entry("draining", 6, 3));
        recorder.line(format!(
            "the store has heartbeat 6 of {}, draining",
            endpoint.id
        ));
        if has_trouble {
            sleep_until(start + CARRIED_OUT_AFTER);
            store.put("servers", &endpoint.id, endpoint.entry("ready", 2, 3));
            recorder.line(format!(
                "the store carries out heartbeat 2 of {}, ready",
                endpoint.id
            ));
            // The next heartbeat sets it right.
            sleep_until(acknowledged_at + HEARTBEAT * 2);
            store.put("servers", &endpoint.id, endpoint.entry("draining", 7, 3));
            recorder.line(format!(
                "the store has heartbeat 7 of {}, draining",
                endpoint.id
            ));
        }
        sleep_until(acknowledged_at + SERVES);
        endpoint.end();
        recorder.line(format!("{} ends", endpoint.id));
    });
    std::thread::sleep((acknowledged_at + NEXT_GROUP) - Instant::now());
    log.extend(send_group(1)?);
    rest.join().ok();
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
