//! A client sends a request whose body contains the text of another request.
//!
//! Rule UNASKED: an endpoint runs no request that was smuggled inside another one.

use std::io::Write;
use std::time::Duration;

use crate::endpoint::{Step, answer};
use crate::{Record, Site, Verdict, client, gate};

const TIME_LIMIT: Duration = Duration::from_millis(3000);

pub fn play(record: &Record) -> Verdict {
    let site = Site::start(
        record,
        gate::QGSLA,
        4,
        3,
        Duration::from_millis(2000),
        |_, request, _| {
            vec![
                Step::Pause(Duration::from_millis(100)),
                Step::Bytes(answer(request, 200, "", b"done")),
            ]
        },
    )?;
    for number in 0..5 {
        let inner = client::request(
            "POST",
            "/lodge/inner",
            &format!("inner-{number}"),
            TIME_LIMIT,
        );
        let head = format!(
            "POST /lodge/outer HTTP/1.1\r\nHost: portal.example\r\nAttempt-Id: outer-{number}\r\n\
             Request-Deadline: {}\r\nContent-Length: {}",
            TIME_LIMIT.as_millis(),
            inner.len()
        );
        let mut bytes = head.into_bytes();
        if site.has_trouble {
            // A byte that belongs to no number and is no UTF-8.
            bytes.push(0xff);
        }
        bytes.extend_from_slice(b"\r\n\r\n");
        bytes.extend_from_slice(inner.as_bytes());
        let mut connection = client::connect(site.caller_address(), TIME_LIMIT)
            .map_err(|error| error.to_string())?;
        record.line(format!(
            "client sends outer-{number}, whose body is the text of inner-{number}"
        ));
        connection
            .stream
            .write_all(&bytes)
            .map_err(|error| error.to_string())?;
        while let Ok(Some(answer)) = connection.read() {
            let id = answer.header("attempt-id").unwrap_or("-").to_owned();
            record.line(format!("client gets {} for {id}", answer.status()));
            if answer.says_close() || (!site.has_trouble) {
                break;
            }
        }
    }
    let mut breaks = Vec::new();
    for endpoint in &site.endpoints {
        for arrival in endpoint.arrivals() {
            record.line_at(arrival.at, format!("{} runs {}", endpoint.id, arrival.id));
            if arrival.id.starts_with("inner") {
                breaks.push(format!("UNASKED: {} runs {}", endpoint.id, arrival.id));
            }
        }
    }
    Ok(breaks)
}
