//! Explains the result of a request from the log alone, given its attempt id.
//!
//! `docs/OPERATIONS.md` describes the procedure for operators.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use smol::Timer;
use tanagerpier::message::Connection;

use site::{Site, wait_until};

/// Returns the decisions in the log of a host, oldest first
fn decisions(site: &Site, host: usize) -> Vec<Value> {
    let log = site.read_log(host);
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.map(|line| line["decision"].clone()).collect()
}

/// Returns the log line of the request with this attempt id
fn request_line(site: &Site, host: usize, id: &str) -> Option<Value> {
    let mut lines = decisions(site, host).into_iter();
    lines.find(|line| line["event"] == "request" && line["id"] == id)
}

/// Sends a request with an attempt id and a timeout and returns the response status
async fn send_request(address: SocketAddr, id: &str, timeout: Duration) -> Option<u16> {
    let connection = Connection::connect(address, Duration::from_secs(1)).await;
    let mut connection = connection.ok()?;
    let head = format!(
        "GET /safe/1 HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nRequest-Deadline: {}\r\n\r\n",
        site::HOST_NAME,
        timeout.as_millis()
    );
    let deadline = Instant::now() + Duration::from_secs(5);
    connection.write(head.as_bytes(), deadline).await.ok()?;
    Some(connection.read_response("GET").await.ok()?.status)
}

#[test]
fn refusal_log_line_has_expected_wait_and_remaining_time() {
    smol::block_on(async {
        let site = Site::start(1, 1).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        // Two endpoints with three slots each and 20 ms per request would need one second for
        // 300 concurrent requests.
        let callers = (0..300).map(|number| {
            smol::spawn(async move {
                let id = format!("crowd-{number}");
                let status = send_request(address, &id, Duration::from_millis(300)).await;
                (id, status)
            })
        });
        let callers: Vec<_> = callers.collect();
        let mut refused = Vec::new();
        for caller in callers {
            let (id, status) = caller.await;
            if status == Some(503) {
                refused.push(id);
            }
        }
        assert!(!refused.is_empty(), "no request was refused");
        wait_until("the log has a line with the cause of a refusal", || async {
            let lines = refused.iter().filter_map(|id| request_line(&site, 0, id));
            let mut no_room_lines = lines.filter(|line| line["outcome"] == "no room");
            no_room_lines.any(|line| {
                let field = |name: &str| line[name].as_u64().unwrap_or_default();
                line["status"] == 503
                    && field("expected_ms") >= field("left_ms")
                    && field("version") == site.version
            })
        })
        .await;
    });
}

#[test]
fn cross_region_log_line_names_the_region_and_its_cause_is_logged() {
    smol::block_on(async {
        let mut site = Site::start(1, 1).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        let own_region = site.gateways[0].region;
        for index in 0..site.servers.len() {
            if site.servers[index].region == own_region {
                site.register(index, "draining");
            }
        }
        let cross_region_line = async {
            for number in 0.. {
                let id = format!("far-{number}");
                let status = send_request(address, &id, Duration::from_secs(2)).await;
                assert_eq!(status, Some(200));
                Timer::after(Duration::from_millis(100)).await;
                // The log has only a sample of the served requests.
                let Some(line) = request_line(&site, 0, &id) else {
                    continue;
                };
                if line["region"] != own_region {
                    return line;
                }
            }
            unreachable!("the range of attempt numbers is unbounded");
        };
        let deadline = Instant::now() + site::WAIT_TIMEOUT;
        let line = tanagerpier::message::timeout(deadline, cross_region_line).await;
        let line = line.expect("no log line names another region");
        let tried = line["tried"].as_array().expect("tried is an array");
        let last = tried
            .last()
            .and_then(Value::as_str)
            .expect("tried names an endpoint");
        let lines = decisions(&site, 0);
        let is_drain_logged = lines.iter().any(|line| {
            line["event"] == "endpoint-changed"
                && line["draining"] == true
                && line["endpoint"]
                    .as_str()
                    .is_some_and(|id| id.contains(own_region))
        });
        assert!(
            is_drain_logged,
            "the log does not show that the endpoints of {own_region} drain"
        );
        assert!(
            last.contains(line["region"].as_str().unwrap_or("-")),
            "{line}"
        );
    });
}
