//! From a request's id to its cause, by the log alone, as `docs/OPERATIONS.md` describes it.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use smol::Timer;
use tanagerpier::message::Connection;

use site::{Site, wait_until};

/// Decisions in the log of a host, oldest first
fn decisions(site: &Site, host: usize) -> Vec<Value> {
    let log = site.read_log(host);
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.map(|line| line["decision"].clone()).collect()
}

/// Line of the request with this id
fn line(site: &Site, host: usize, id: &str) -> Option<Value> {
    let mut lines = decisions(site, host).into_iter();
    lines.find(|line| line["event"] == "request" && line["id"] == id)
}

/// Status of a request for an object, with so much time to its deadline
async fn ask(address: SocketAddr, id: &str, time: Duration) -> Option<u16> {
    let connection = Connection::connect(address, Duration::from_secs(1)).await;
    let mut connection = connection.ok()?;
    let head = format!(
        "GET /safe/1 HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nRequest-Deadline: {}\r\n\r\n",
        site::HOST_NAME,
        time.as_millis()
    );
    let limit = Instant::now() + Duration::from_secs(5);
    connection.write(head.as_bytes(), limit).await.ok()?;
    Some(connection.read_response("GET").await.ok()?.status)
}

#[test]
fn a_refusal_under_load_names_the_expected_time_and_the_time_left() {
    smol::block_on(async {
        let site = Site::start(1, 1).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        // Two endpoints of three slots and 20 ms; so many at once would take a second.
        let callers = (0..300).map(|number| {
            smol::spawn(async move {
                let id = format!("crowd-{number}");
                let status = ask(address, &id, Duration::from_millis(300)).await;
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
        assert!(!refused.is_empty(), "none was refused");
        wait_until("a refused request has a line with its cause", || async {
            let lines = refused.iter().filter_map(|id| line(&site, 0, id));
            let mut no_room = lines.filter(|line| line["outcome"] == "no room");
            no_room.any(|line| {
                let number = |name: &str| line[name].as_u64().unwrap_or_default();
                line["status"] == 503
                    && number("expected_ms") >= number("left_ms")
                    && number("version") == site.version
            })
        })
        .await;
    });
}

#[test]
fn an_answer_through_another_region_names_it_and_the_shares_behind() {
    smol::block_on(async {
        let mut site = Site::start(1, 1).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        let home = site.gateways[0].region;
        for index in 0..site.servers.len() {
            if site.servers[index].region == home {
                site.register(index, "draining");
            }
        }
        let found = async {
            for number in 0.. {
                let id = format!("far-{number}");
                let status = ask(address, &id, Duration::from_secs(2)).await;
                assert_eq!(status, Some(200));
                Timer::after(Duration::from_millis(100)).await;
                // Served requests are sampled.
                let Some(line) = line(&site, 0, &id) else {
                    continue;
                };
                if line["region"] != home {
                    return line;
                }
            }
            unreachable!("numbers do not end");
        };
        let limit = Instant::now() + site::WAIT_TIMEOUT;
        let line = tanagerpier::message::timeout(limit, found).await;
        let line = line.expect("a line with the other region");
        let tried = line["tried"].as_array().expect("endpoints that were asked");
        let last = tried.last().and_then(Value::as_str).expect("an endpoint");
        let lines = decisions(&site, 0);
        let left = lines.iter().any(|line| {
            line["event"] == "endpoint-changed"
                && line["draining"] == true
                && line["endpoint"]
                    .as_str()
                    .is_some_and(|id| id.contains(home))
        });
        assert!(left, "the log tells why the region could not serve");
        assert!(
            last.contains(line["region"].as_str().unwrap_or("-")),
            "{line}"
        );
    });
}
