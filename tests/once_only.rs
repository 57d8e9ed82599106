//! Once-only requests that come again at real `pier-entry` processes.

mod fleet;

use std::net::SocketAddr;
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
