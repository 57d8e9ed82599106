//! Once-only requests that come again, or behind another one, at real `pier-entry` processes.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use fleet::{Fleet, Layout, Service};
use http_types::Method;
use serde_json::Value;
use tanagerpier::http;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a once-only request and returns its outcome and cause
fn send(to: SocketAddr, ticket: &str, deadline_ms: &str) -> (String, String) {
    let mut request = http::request(Method::Post, to, "/s/licence-portal/item?key=k");
    request.insert_header("pier-ticket", ticket);
    request.insert_header("pier-deadline", deadline_ms);
    request.set_body("renewal");
    let response = smol::block_on(http::call(to, request, CALL_TIMEOUT)).expect("a response");
    let header = |name| response.header(name).unwrap_or_default().to_owned();
    (header("pier-outcome"), header("pier-cause"))
}

fn tickets(host: SocketAddr) -> Vec<String> {
    let lookup = fleet::get(host, "/lookup?service=licence-portal&block=1");
    let lookup: Value = serde_json::from_slice(&lookup.body).expect("a lookup in JSON");
    let tickets = lookup["tickets"].as_array().expect("a list of tickets");
    let tickets = tickets.iter().map(|ticket| ticket.as_str().expect("text"));
    tickets.map(str::to_owned).collect()
}

fn start_fleet() -> Fleet {
    Fleet::new(Layout::new(&["bne"], 1, &[Service::portal(1)]))
}

#[test]
fn request_that_ran_is_told_not_run_when_it_comes_again() {
    let fleet = start_fleet();
    let address = |name: &str| fleet.hosts[name].info.caller;
    let ticket = &tickets(address("bne-a-1"))[0];
    let first = send(address("bne-a-1"), ticket, "2000");
    assert_eq!(first.0, "served", "{first:?}");
    let mut broken = Vec::new();
    for host in ["bne-a-1", "bne-b-1"] {
        for deadline_ms in ["2000", "1", "0"] {
            let outcome = send(address(host), ticket, deadline_ms);
            println!("{host}, {deadline_ms} ms left: {outcome:?}");
            if outcome.0 == "not-run" {
                broken.push(format!("{host}, {deadline_ms} ms left: {outcome:?}"));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Sends a request, then another one behind it, and returns everything until the host closes the
/// connection
fn exchange(to: SocketAddr, first: &str, pause: Duration, behind: &str) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    let timeout = stream.set_read_timeout(Some(CALL_TIMEOUT));
    timeout.expect("a timeout is set");
    let both = [first, behind].concat();
    if pause.is_zero() {
        stream.write_all(both.as_bytes()).expect("bytes are sent");
    } else {
        stream.write_all(first.as_bytes()).expect("bytes are sent");
        thread::sleep(pause);
        let _ = stream.write_all(behind.as_bytes());
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(key: &str, ticket: &str, rest: &str) -> String {
    format!(
        "POST /s/licence-portal/item HTTP/1.1\r\nhost: x\r\nidempotency-key: {key}\r\n\
         pier-ticket: {ticket}\r\n{rest}"
    )
}

/// Returns whether the bytes are one answer of a request that was served
fn is_served(answer: &str) -> bool {
    answer.matches("HTTP/1.1 ").count() == 1 && answer.contains("pier-outcome: served")
}

const CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
const CLOSE: &str = "connection: close\r\ncontent-length: 2\r\n\r\nab";
const LENGTH: &str = "content-length: 2\r\n\r\nab";

// The caller sends such requests again on another connection.
#[test]
fn request_pipelined_behind_a_closing_answer_runs() {
    let fleet = start_fleet();
    let host = fleet.hosts["bne-a-1"].info.caller;
    let mut broken = Vec::new();
    let cases = [
        ("closed by the caller", CLOSE, Duration::ZERO),
        ("chunks", CHUNKS, Duration::from_millis(4)),
        ("chunks, at once", CHUNKS, Duration::ZERO),
    ];
    for (name, rest, pause) in cases {
        for count in [1, 2] {
            let tickets = tickets(host);
            let (first, second) = (format!("{name}-{count}-1"), format!("{name}-{count}-2"));
            let behind = request(&second, &tickets[1], LENGTH).repeat(count);
            let answer = exchange(host, &request(&first, &tickets[0], rest), pause, &behind);
            if !is_served(&answer) {
                broken.push(format!("{first}: {answer:?}"));
            }
            let runs = runs(&fleet, &second);
            if runs != 0 {
                broken.push(format!("{second}: {runs} runs behind a closing answer"));
            }
            let close = request(&second, &tickets[1], CLOSE);
            let answer = exchange(host, &close, Duration::ZERO, "");
            if !is_served(&answer) {
                broken.push(format!("{second} again: {answer:?}"));
            }
            for key in [first, second] {
                let runs = self::runs(&fleet, &key);
                println!("{key}: {runs} runs");
                if runs != 1 {
                    broken.push(format!("{key}: {runs} runs"));
                }
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Returns how many times the request with this key ran
fn runs(fleet: &Fleet, key: &str) -> u32 {
    let names = fleet.upstreams.keys();
    let records = names.map(|name| fleet.execution_record(name));
    let runs = records.map(|record| record.run_counts().get(key).copied().unwrap_or_default());
    runs.sum()
}

#[test]
fn chunked_request_has_no_answer_when_another_follows() {
    let fleet = start_fleet();
    let host = fleet.hosts["bne-a-1"].info.caller;
    let tickets = tickets(host);
    let alone = request("alone", &tickets[0], CHUNKS);
    let alone = exchange(host, &alone, Duration::ZERO, "");
    assert!(is_served(&alone), "{alone:?}");
    let first = request("first", &tickets[1], CHUNKS);
    let behind = request("behind", &tickets[2], LENGTH);
    let followed = exchange(host, &first, Duration::ZERO, &behind);
    let runs = runs(&fleet, "first");
    assert!(is_served(&followed), "{followed:?}, {runs} runs");
}
