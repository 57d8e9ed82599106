//! A sound endpoint pauses in the middle of a large answer, after a SIGHUP of the host.
//!
//! Rule LOST: around planned work, a request that was passed on gets its complete answer, unless its
//! endpoint broke off or its time was over; an endpoint's silence is no reason to end it sooner.

use std::time::{Duration, Instant};

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const TIME_LIMIT: Duration = Duration::from_millis(2500);
const TIMEOUT: Duration = Duration::from_millis(2500);

/// Body of an answer, and its part before the pause
const BODY: usize = 400_000;
const FIRST_PART: usize = 300_000;

const WORK: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(1800);

const CLIENTS: usize = 6;

pub fn play(record: &Record) -> Verdict {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let recorder = record.clone();
    let site = Site::start(
        record,
        gate::QGSLA,
        4,
        3,
        TIMEOUT,
        move |index, request, _| {
            let body: Vec<u8> = (0..BODY).map(|number| number as u8).collect();
            let bytes = answer(request, 200, "", &body);
            let (first, rest) = bytes.split_at(bytes.len() - (BODY - FIRST_PART));
            let (_, target) = request.request_line();
            let pauses = has_trouble && target.contains("pause");
            let pause = if pauses { PAUSE } else { Duration::ZERO };
            if pauses {
                recorder.line(format!(
                    "i-{index} will pause for {} ms in {target}",
                    PAUSE.as_millis()
                ));
            }
            vec![
                Step::Pause(WORK),
                Step::Bytes(first.to_vec()),
                Step::Pause(pause),
                Step::Bytes(rest.to_vec()),
            ]
        },
    )?;
    let address = site.caller_address();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            std::thread::spawn(move || -> Result<_, String> {
                let mut connection =
                    client::connect(address, TIME_LIMIT * 2).map_err(|error| error.to_string())?;
                let mut log = Vec::new();
                for (name, gap) in [("first", 1000), ("pause", 0)] {
                    let id = format!("{name}-{number}");
                    let at = Instant::now();
                    let target = format!("/pack/{id}");
                    let answer = client::exchange(&mut connection, "GET", &target, &id, TIME_LIMIT);
                    log.push((id, at, Instant::now(), answer));
                    std::thread::sleep(Duration::from_millis(gap));
                }
                Ok(log)
            })
        })
        .collect();
    // Each client has its first answer and is about to send its second request.
    std::thread::sleep(Duration::from_millis(900));
    site.gate.signal("HUP");
    record.line("SIGHUP");
    let mut breaks = Vec::new();
    let mut served = 0;
    for client in clients {
        for (id, at, until, answer) in client.join().map_err(|_| "a client failed")?? {
            let took = until - at;
            let text = match &answer {
                Ok(answer) if answer.is_whole => format!("whole answer {}", answer.status()),
                Ok(answer) => format!(
                    "answer {} ends after {} of {BODY} bytes",
                    answer.status(),
                    answer.body.len()
                ),
                Err(error) => error.clone(),
            };
            record.line_at(at, format!("client sends {id}"));
            record.line_at(
                until,
                format!("{id}: {text}, {} ms after it was sent", took.as_millis()),
            );
            let is_whole = answer.as_ref().is_ok_and(|answer| answer.is_whole);
            served += usize::from(is_whole);
            if !is_whole && took < TIME_LIMIT {
                breaks.push(format!("LOST: {id}: {text} after {} ms", took.as_millis()));
            }
        }
    }
    for endpoint in &site.endpoints {
        for arrival in endpoint.arrivals() {
            let end = match arrival.ended_at {
                Some(end) => {
                    record.line_at(
                        end,
                        format!("{} has sent all of {}", endpoint.id, arrival.id),
                    );
                    "runs it"
                }
                None => "its connection is closed on it",
            };
            record.line_at(
                arrival.at,
                format!("{} reaches {}: {end}", arrival.id, endpoint.id),
            );
        }
    }
    match served < CLIENTS {
        true => Err("too few requests were served".to_owned()),
        false => Ok(breaks),
    }
}
