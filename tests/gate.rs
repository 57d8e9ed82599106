//! `pier-gate` processes over a calm time, planned work, and failures of the store and endpoints.

mod site;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use tanagerpier::platform::standin::endpoint;
use tanagerpier::platform::standin::store::{Faults, Outage};

use site::client::{self, Attempt, AttemptLog};
use site::{Site, wait_until};

/// Run two callers at each host for a time
fn load(site: &Site, time: Duration) -> (Vec<smol::Task<()>>, AttemptLog) {
    let log = AttemptLog::default();
    let end = Instant::now() + time;
    let callers = site.gateways.iter().enumerate().flat_map(|(index, gate)| {
        let log = log.clone();
        (0..2).map(move |turn| {
            let address = SocketAddr::new(gate.ip, 8161);
            let seed = (index * 2 + turn) as u64;
            let pause = Duration::from_millis(15);
            smol::spawn(client::send_requests(
                address,
                seed,
                end,
                pause,
                log.clone(),
            ))
        })
    });
    (callers.collect(), log)
}

fn attempts(log: &AttemptLog) -> Vec<Attempt> {
    log.lock().expect("no panic").clone()
}

fn failed(attempts: &[Attempt]) -> Vec<&Attempt> {
    attempts
        .iter()
        .filter(|attempt| attempt.result != Ok(200))
        .collect()
}

/// Runs of all attempts that must not run twice
fn check_runs(site: &Site, attempts: &[Attempt]) {
    for attempt in attempts.iter().filter(|attempt| attempt.at_most_once) {
        let runs: usize = site
            .servers
            .iter()
            .filter_map(|server| server.endpoint.run_starts().get(&attempt.id).map(Vec::len))
            .sum();
        assert!(runs <= 1, "{attempt:?} ran {runs} times");
        if matches!(attempt.result, Ok(408 | 421 | 429 | 503)) {
            assert_eq!(runs, 0, "{attempt:?} was said not to have run");
        }
    }
}

#[test]
fn a_calm_time_is_served_and_a_stop_costs_nobody_a_request() {
    smol::block_on(async {
        let mut site = Site::start(2, 2).await;
        wait_until("the directory names both hosts of a region", || async {
            site.resolve(0, "north").await.len() == 2
        })
        .await;
        let (callers, log) = load(&site, Duration::from_secs(4));
        Timer::after(Duration::from_millis(800)).await;
        let stopped = Instant::now();
        site.gateways[0]
            .process
            .as_ref()
            .expect("a process")
            .signal("TERM");
        wait_until("the directory drops a host that stops", || async {
            site.resolve(1, "north").await.len() == 1
        })
        .await;
        assert!(stopped.elapsed() < Duration::from_secs(2), "left late");
        for caller in callers {
            caller.await;
        }
        let process = site.gateways[0].process.as_mut().expect("a process");
        assert!(
            process
                .exits_successfully(Duration::from_secs(site::STOP_GRACE_SECS))
                .await,
            "{}",
            site.read_log(0)
        );
        let attempts = attempts(&log);
        check_runs(&site, &attempts);
        let gone = SocketAddr::new(site.gateways[0].ip, 8161);
        let refusing = stopped + Duration::from_secs(site::STOP_GRACE_SECS) / 2;
        let ran = |id: &str| {
            site.servers
                .iter()
                .any(|s| s.endpoint.run_starts().contains_key(id))
        };
        let lost: Vec<_> = failed(&attempts)
            .into_iter()
            // Late in its grace time a host refuses, and then it is gone. What crosses its close
            // is excused by the users' pages as long as it was not passed on.
            .filter(|a| a.gateway != gone || a.sent_at < refusing || ran(&a.id))
            .collect();
        assert!(lost.is_empty(), "{lost:?}");
        assert!(attempts.len() > 200, "{} attempts", attempts.len());
    });
}

#[test]
fn a_draining_endpoint_and_a_new_configuration_take_effect_in_seconds() {
    smol::block_on(async {
        let mut site = Site::start(2, 2).await;
        let (callers, log) = load(&site, Duration::from_secs(4));
        Timer::after(Duration::from_millis(700)).await;
        site.register(0, "draining");
        site.configure(&["/safe/", "/once/", "/new/"]);
        let changed = Instant::now();
        for index in 0..site.gateways.len() {
            let address = SocketAddr::new(site.gateways[index].ip, 8161);
            wait_until("the new route is served", || async {
                site::get(address, "/new/1")
                    .await
                    .is_some_and(|(status, _)| status == 200)
            })
            .await;
        }
        assert!(
            changed.elapsed() < Duration::from_secs(2),
            "{:?}",
            changed.elapsed()
        );
        for caller in callers {
            caller.await;
        }
        let attempts = attempts(&log);
        check_runs(&site, &attempts);
        assert!(failed(&attempts).is_empty(), "{:?}", failed(&attempts));
        let drained = site.servers[0].draining_since.expect("it drained");
        let late = drained + Duration::from_secs(2);
        let runs = site.servers[0].endpoint.run_starts();
        let late = runs.values().flatten().filter(|at| **at > late).count();
        assert_eq!(late, 0, "requests reached an endpoint that had left");
    });
}

#[test]
fn the_store_may_be_away_and_entries_of_others_are_no_endpoints() {
    smol::block_on(async {
        let mut site = Site::start(2, 2).await;
        for spec in [
            json!(null),
            json!([1]),
            json!({"service": 7}),
            json!({"state": "odd"}),
        ] {
            site.store.write("servers", "i-odd", spec);
        }
        let (callers, log) = load(&site, Duration::from_secs(5));
        for outage in [Outage::Unresponsive, Outage::Unavailable, Outage::Reset] {
            let faults = Faults {
                outage,
                ..Faults::default()
            };
            site.store.set_faults(faults);
            Timer::after(Duration::from_millis(900)).await;
        }
        // A host that starts now takes what it has to know from another one.
        site.gateways[3].process.as_mut().expect("a process").kill();
        site.start_gateway(3);
        site.wait_until_ready(3).await;
        site.store.set_faults(Faults::default());
        for caller in callers {
            caller.await;
        }
        let attempts = attempts(&log);
        check_runs(&site, &attempts);
        let killed = SocketAddr::new(site.gateways[3].ip, 8161);
        let lost: Vec<_> = failed(&attempts)
            .into_iter()
            .filter(|attempt| attempt.gateway != killed)
            .collect();
        assert!(lost.is_empty(), "{lost:?}");
    });
}

#[test]
fn a_slow_answer_is_waited_for_where_no_second_attempt_is_allowed() {
    smol::block_on(async {
        let site = Site::start_with_retry_slack(1, 1, 0).await;
        for server in &site.servers {
            server.endpoint.set_faults(endpoint::Faults {
                // 1.4 s, longer than the patience with one attempt and within the route's timeout.
                slowdown_factor: 70,
                ..endpoint::Faults::default()
            });
        }
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        for object in 0..4 {
            let answer = site::get(address, &format!("/safe/{object}")).await;
            assert_eq!(
                answer.map(|(status, _)| status),
                Some(200),
                "{}",
                site.read_log(0)
            );
        }
    });
}

#[test]
fn long_bodies_stream_and_a_failed_request_is_found_by_its_id() {
    smol::block_on(async {
        let site = Site::start(1, 1).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        let body = vec![b'x'; 20 << 20];
        let head = format!(
            "POST /once/1 HTTP/1.1\r\nHost: {}\r\nAttempt-Id: long\r\nContent-Length: {}\r\n\
             Request-Deadline: 20000\r\n\r\n",
            site::HOST_NAME,
            body.len()
        );
        let mut connection =
            tanagerpier::message::Connection::connect(address, Duration::from_secs(1))
                .await
                .expect("a connection");
        let deadline = Instant::now() + Duration::from_secs(20);
        connection
            .write(head.as_bytes(), deadline)
            .await
            .expect("written");
        connection.write(&body, deadline).await.expect("written");
        let answer = connection.read_response("POST").await.expect("an answer");
        assert_eq!(answer.status, 200);
        let got: BTreeSet<usize> = site
            .servers
            .iter()
            .filter_map(|server| server.endpoint.request_body_bytes("long"))
            .collect();
        assert_eq!(got, [body.len()].into());

        for server in &site.servers {
            server.proxy.set_mode(site::proxy::Mode::Reset);
        }
        let log = AttemptLog::default();
        let end = Instant::now() + Duration::from_millis(300);
        client::send_requests(address, 77, end, Duration::from_millis(20), log.clone()).await;
        let refused = attempts(&log);
        let bad = failed(&refused);
        let bad = bad.first().expect("some failed");
        wait_until("the log tells of the request", || async {
            let id = format!("\"id\":\"{}\"", bad.id);
            site.read_log(0)
                .lines()
                .any(|line| line.contains(&id) && line.contains("\"tried\""))
        })
        .await;
        let metrics = SocketAddr::new(site.gateways[0].ip, 9464);
        let (_, text) = site::get(metrics, "/metrics").await.expect("metrics");
        let text = String::from_utf8(text).expect("text");
        assert!(
            text.contains("pier_gate_request_duration_seconds_bucket"),
            "{text}"
        );
        let (status, _) = site::get(metrics, "/status").await.expect("status");
        assert_eq!(status, 200);
    });
}

/// The pipe is full from the first line on, for 30 s; failed requests make the most lines
#[test]
fn a_log_that_nobody_reads_delays_no_request() {
    const TIME: Duration = Duration::from_secs(30);
    smol::block_on(async {
        let mut site = Site::start(1, 2).await;
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let mut filler = writer.try_clone().expect("a second handle");
        // It waits for room and takes it all, until the reader is gone.
        std::thread::spawn(move || while filler.write_all(&[b'\n'; 4096]).is_ok() {});
        site.gateways[0].process = None;
        site.start_gateway_with_output(0, Some(writer.into()));
        site.wait_until_ready(0).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        let end = Instant::now() + TIME;
        let log = AttemptLog::default();
        let served = client::send_requests(address, 5, end, Duration::from_millis(20), log.clone());
        let refused = (0..3).map(|_| {
            smol::spawn(async move {
                while Instant::now() < end {
                    // No answer within 2 s would be `None`.
                    let answer = site::get(address, "/unknown/").await;
                    assert_eq!(answer.map(|(status, _)| status), Some(404));
                    Timer::after(Duration::from_millis(10)).await;
                }
            })
        });
        let refused: Vec<smol::Task<()>> = refused.collect();
        served.await;
        for caller in refused {
            caller.await;
        }
        let attempts = attempts(&log);
        assert!(failed(&attempts).is_empty(), "{:?}", failed(&attempts));
        let metrics = SocketAddr::new(site.gateways[0].ip, 9464);
        let (_, status) = site::get(metrics, "/status").await.expect("status");
        let status: serde_json::Value = serde_json::from_slice(&status).expect("JSON");
        let lost = status["state"]["log_lines_lost"].as_u64();
        assert!(lost.is_some_and(|lost| lost > 0), "{status}");
        drop(reader);
    });
}
