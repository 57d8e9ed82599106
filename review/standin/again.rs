//! Endpoints lose answers while one of them leaves.
//!
//! Rule DRAIN: no request reaches an endpoint later than `drain_ms` after the store acknowledged that
//! it is draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const DRAIN: Duration = Duration::from_millis(2500);

/// How long the leaving endpoint serves after the store has accepted that it leaves
const SERVES: Duration = Duration::from_millis(4000);

/// Work of a request whose object an endpoint knows, and of the others, which are under way when the
/// endpoint leaves
const KNOWN_WORK: Duration = Duration::from_millis(1056);
const WORK: Duration = Duration::from_millis(3520);
const TIMEOUT: Duration = Duration::from_millis(5000);
const TIME_LIMIT: Duration = Duration::from_millis(20_000);

const REQUESTS: usize = 24;

/// Long requests whose answers an endpoint loses: two of about six, as `answer_lost` loses at most two in
/// five, at half of the endpoints, where it has six in ten
const LOST: [usize; 2] = [1, 3];

pub fn play(record: &Record) -> Verdict {
    let leaves = Arc::new(AtomicBool::new(false));
    let is_leaving = leaves.clone();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let long_requests: [AtomicUsize; 4] = Default::default();
    let site = Site::start(
        record,
        gate::HARROWGATE,
        4,
        7,
        TIMEOUT,
        move |index, request, _| {
            let (_, target) = request.request_line();
            let is_long = target.contains("long");
            let mut steps = vec![Step::Pause(if is_long { WORK } else { KNOWN_WORK })];
            let loses = has_trouble
                && is_long
                && index < 2
                && LOST.contains(&long_requests[index].fetch_add(1, Ordering::SeqCst));
            steps.push(match loses {
                true => Step::Close,
                false => {
                    let says = match index == 0 && is_leaving.load(Ordering::SeqCst) {
                        true => "Server-Leaving: 1\r\nConnection: close\r\n",
                        false => "",
                    };
                    Step::Bytes(answer(request, 200, says, b"done"))
                }
            });
            steps
        },
    )?;
    let address = site.caller_address();
    let send = |name: &'static str, count: usize| -> Vec<_> {
        let send_one = |number: usize| {
            std::thread::spawn(move || {
                let id = format!("{name}-{number}");
                let target = format!("/look/{id}");
                let at = Instant::now();
                let answer = client::connect(address, TIME_LIMIT)
                    .map_err(|error| error.to_string())
                    .and_then(|mut connection| {
                        client::exchange(&mut connection, "GET", &target, &id, TIME_LIMIT)
                    });
                (id, at, answer.map_or(0, |answer| answer.status()))
            })
        };
        (0..count).map(send_one).collect()
    };
    // The usual traffic, after which the host keeps connections open.
    let short = send("short", REQUESTS);
    std::thread::sleep(Duration::from_millis(1500));
    let long = send("long", REQUESTS);
    std::thread::sleep(Duration::from_millis(300));
    let leaving = &site.endpoints[0];
    leaves.store(true, Ordering::SeqCst);
    site.store
        .put("servers", &leaving.id, leaving.entry("draining", 2, 7));
    let acknowledged_at = Instant::now();
    record.line(format!(
        "the store has accepted that {} is draining",
        leaving.id
    ));
    std::thread::sleep(SERVES);
    leaving.end();
    record.line(format!("{} ends", leaving.id));
    let mut log = Vec::new();
    for client in short.into_iter().chain(long) {
        let (id, at, status) = client.join().map_err(|_| "a client failed".to_owned())?;
        record.line_at(at, format!("client sends {id}, answered {status}"));
        log.push((id, status));
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
    if log.iter().filter(|(_, status)| *status == 200).count() < REQUESTS {
        return Err("too few requests were served".to_owned());
    }
    let late: Vec<_> = leaving
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.at > acknowledged_at + DRAIN)
        .map(|arrival| (arrival.id, (arrival.at - acknowledged_at).as_millis()))
        .collect();
    let status_of = |id: &str| {
        log.iter()
            .find(|(sent, _)| sent == id)
            .map_or(0, |(_, status)| *status)
    };
    Ok(late
        .iter()
        .map(|(id, millis)| {
            format!(
                "DRAIN: {id} reaches {} {millis} ms after the store's ack; its client gets {}",
                leaving.id,
                status_of(id)
            )
        })
        .collect())
}
