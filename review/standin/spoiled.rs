//! A faulty endpoint spoils a few of its answers: the number in the header `Keep-Alive`.
//!
//! Rule MIXED: no client gets an answer that belongs to another request. The clients send safe requests
//! one behind the other, and answers come in the order of the requests.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const WORK: Duration = Duration::from_millis(300);
const TIME_LIMIT: Duration = Duration::from_millis(4000);

/// Clients, each with one connection on which it sends groups of requests
const CLIENTS: usize = 8;
const GROUPS: usize = 40;
const GROUP: usize = 3;

/// One answer in fifty of one endpoint of four is spoiled; `garble` has one in fifty of half of them
const SPOILED: usize = 5;
const SPOILED_OF: usize = 50;

pub fn play(record: &Record) -> Verdict {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let recorder = record.clone();
    let timeout = Duration::from_millis(3000);
    let site = Site::start(
        record,
        gate::QGSLA,
        4,
        7,
        timeout,
        move |index, request, number| {
            let is_spoiled = has_trouble && index == 0 && number % SPOILED_OF == SPOILED;
            let seconds = if is_spoiled {
                "9223372036854775807"
            } else {
                "10"
            };
            if is_spoiled {
                let id = request.header("attempt-id").unwrap_or("-");
                recorder.line(format!(
                    "i-0 answers {id} with Keep-Alive: timeout={seconds}"
                ));
            }
            let headers = format!("Keep-Alive: timeout={seconds}\r\n");
            vec![
                Step::Pause(WORK),
                Step::Bytes(answer(request, 200, &headers, b"done")),
            ]
        },
    )?;
    let address = site.caller_address();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            std::thread::spawn(move || {
                let mut log = Vec::new();
                let Ok(mut connection) = client::connect(address, TIME_LIMIT) else {
                    return log;
                };
                for group in 0..GROUPS {
                    let ids: Vec<String> = (0..GROUP)
                        .map(|count| format!("{number}-{group}-{count}"))
                        .collect();
                    let text: String = ids
                        .iter()
                        .map(|id| client::request("GET", &format!("/look/{id}"), id, TIME_LIMIT))
                        .collect();
                    let at = Instant::now();
                    if connection.stream.write_all(text.as_bytes()).is_err() {
                        return log;
                    }
                    let mut is_open = true;
                    for id in ids {
                        let answer = match is_open {
                            true => connection.read().ok().flatten(),
                            false => None,
                        };
                        is_open = answer.as_ref().is_some_and(|answer| !answer.says_close());
                        let answer = answer.map(|answer| {
                            let owner = answer.header("attempt-id").unwrap_or("-").to_owned();
                            (answer.status(), owner)
                        });
                        log.push((id, at, Instant::now(), answer));
                    }
                    if !is_open {
                        match client::connect(address, TIME_LIMIT) {
                            Ok(new) => connection = new,
                            Err(_) => return log,
                        }
                    }
                }
                log
            })
        })
        .collect();
    let mut breaks = Vec::new();
    let mut served = 0;
    for client in clients {
        for (id, at, until, answer) in client.join().map_err(|_| "a client failed".to_owned())? {
            record.line_at(at, format!("client sends {id}"));
            match answer {
                Some((status, owner)) => {
                    record.line_at(until, format!("for {id} comes {status} with id {owner}"));
                    served += usize::from(owner == id);
                    if owner != id && status == 200 {
                        breaks.push(format!("MIXED: the answer to {owner} comes for {id}"));
                    }
                }
                None => record.line_at(until, format!("for {id} comes nothing")),
            }
        }
    }
    for endpoint in &site.endpoints {
        for arrival in endpoint.arrivals() {
            record.line_at(
                arrival.at,
                format!("{} reaches {}", arrival.id, endpoint.id),
            );
        }
    }
    match served < CLIENTS * GROUP {
        true => Err("too few requests were served".to_owned()),
        false => Ok(breaks),
    }
}
