//! Tests `pier-gate` processes without faults, during planned changes, and during store and endpoint
//! failures.

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

/// Starts two clients per host that send requests for `duration`
fn start_clients(site: &Site, duration: Duration) -> (Vec<smol::Task<()>>, AttemptLog) {
    let log = AttemptLog::default();
    let end = Instant::now() + duration;
    let clients = site
        .gateways
        .iter()
        .enumerate()
        .flat_map(|(gateway_index, gateway)| {
            let log = log.clone();
            (0..2).map(move |client_index| {
                let address = SocketAddr::new(gateway.ip, 8161);
                let seed = (gateway_index * 2 + client_index) as u64;
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
    (clients.collect(), log)
}

fn recorded_attempts(log: &AttemptLog) -> Vec<Attempt> {
    log.lock()
        .expect("no client panicked while holding the lock")
        .clone()
}

fn failed_attempts(attempts: &[Attempt]) -> Vec<&Attempt> {
    attempts
        .iter()
        .filter(|attempt| attempt.result != Ok(200))
        .collect()
}

/// Checks that no at-most-once request ran twice, or ran although its status says that it did not
fn assert_at_most_once(site: &Site, attempts: &[Attempt]) {
    for attempt in attempts.iter().filter(|attempt| attempt.at_most_once) {
        let runs: usize = site
            .servers
            .iter()
            .filter_map(|server| server.endpoint.run_starts().get(&attempt.id).map(Vec::len))
            .sum();
        assert!(runs <= 1, "{attempt:?} ran {runs} times");
        if matches!(attempt.result, Ok(408 | 421 | 429 | 503)) {
            assert_eq!(
                runs, 0,
                "{attempt:?} ran although its status says that it did not"
            );
        }
    }
}

#[test]
fn requests_succeed_without_faults_and_during_a_graceful_stop() {
    smol::block_on(async {
        let mut site = Site::start(2, 2).await;
        wait_until("the directory returns both hosts of a region", || async {
            site.resolve(0, "north").await.len() == 2
        })
        .await;
        let (clients, log) = start_clients(&site, Duration::from_secs(4));
        Timer::after(Duration::from_millis(800)).await;
        let stop_requested_at = Instant::now();
        site.gateways[0]
            .process
            .as_ref()
            .expect("the gateway process was started")
            .signal("TERM");
        wait_until("the directory removes a stopping host", || async {
            site.resolve(1, "north").await.len() == 1
        })
        .await;
        assert!(
            stop_requested_at.elapsed() < Duration::from_secs(2),
            "the directory removed the stopping host too late"
        );
        for client in clients {
            client.await;
        }
        let process = site.gateways[0]
            .process
            .as_mut()
            .expect("the gateway process was started");
        assert!(
            process
                .exits_successfully(Duration::from_secs(site::STOP_GRACE_SECS))
                .await,
            "{}",
            site.read_log(0)
        );
        let attempts = recorded_attempts(&log);
        assert_at_most_once(&site, &attempts);
        let stopped_gateway = SocketAddr::new(site.gateways[0].ip, 8161);
        let refuses_from = stop_requested_at + Duration::from_secs(site::STOP_GRACE_SECS) / 2;
        let was_executed = |id: &str| {
            site.servers
                .iter()
                .any(|server| server.endpoint.run_starts().contains_key(id))
        };
        let unexpected_failures: Vec<_> = failed_attempts(&attempts)
            .into_iter()
            // A stopping host refuses requests late in its grace period and then exits. Requests
            // that arrive while it closes may fail, provided that they were not forwarded.
            .filter(|attempt| {
                attempt.gateway != stopped_gateway
                    || attempt.sent_at < refuses_from
                    || was_executed(&attempt.id)
            })
            .collect();
        assert!(unexpected_failures.is_empty(), "{unexpected_failures:?}");
        assert!(attempts.len() > 200, "{} attempts", attempts.len());
    });
}

#[test]
fn endpoint_drain_and_new_configuration_take_effect_within_two_seconds() {
    smol::block_on(async {
        let mut site = Site::start(2, 2).await;
        let (clients, log) = start_clients(&site, Duration::from_secs(4));
        Timer::after(Duration::from_millis(700)).await;
        site.register(0, "draining");
        site.configure(&["/safe/", "/once/", "/new/"]);
        let changed_at = Instant::now();
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
            changed_at.elapsed() < Duration::from_secs(2),
            "{:?}",
            changed_at.elapsed()
        );
        for client in clients {
            client.await;
        }
        let attempts = recorded_attempts(&log);
        assert_at_most_once(&site, &attempts);
        assert!(
            failed_attempts(&attempts).is_empty(),
            "{:?}",
            failed_attempts(&attempts)
        );
        let drained_at = site.servers[0]
            .draining_since
            .expect("the endpoint is draining");
        let drain_deadline = drained_at + Duration::from_secs(2);
        let runs = site.servers[0].endpoint.run_starts();
        let late_requests = runs
            .values()
            .flatten()
            .filter(|started_at| **started_at > drain_deadline)
            .count();
        assert_eq!(
            late_requests, 0,
            "requests reached an endpoint after its drain"
        );
    });
}

#[test]
fn store_outages_and_malformed_server_entries_do_not_fail_requests() {
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
        let (clients, log) = start_clients(&site, Duration::from_secs(5));
        for outage in [Outage::Unresponsive, Outage::Unavailable, Outage::Reset] {
            let faults = Faults {
                outage,
                ..Faults::default()
            };
            site.store.set_faults(faults);
            Timer::after(Duration::from_millis(900)).await;
        }
        // A host that starts during a store outage obtains its state from another host.
        site.gateways[3]
            .process
            .as_mut()
            .expect("the gateway process was started")
            .kill();
        site.start_gateway(3);
        site.wait_until_ready(3).await;
        site.store.set_faults(Faults::default());
        for client in clients {
            client.await;
        }
        let attempts = recorded_attempts(&log);
        assert_at_most_once(&site, &attempts);
        let restarted_gateway = SocketAddr::new(site.gateways[3].ip, 8161);
        let unexpected_failures: Vec<_> = failed_attempts(&attempts)
            .into_iter()
            .filter(|attempt| attempt.gateway != restarted_gateway)
            .collect();
        assert!(unexpected_failures.is_empty(), "{unexpected_failures:?}");
    });
}

#[test]
fn slow_response_is_awaited_when_retries_are_disabled() {
    smol::block_on(async {
        let site = Site::start_with_retry_slack(1, 1, 0).await;
        for server in &site.servers {
            server.endpoint.set_faults(endpoint::Faults {
                // 1.4 s exceeds the timeout of one attempt but not the timeout of the route.
                slowdown_factor: 70,
                ..endpoint::Faults::default()
            });
        }
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        for object in 0..4 {
            let response = site::get(address, &format!("/safe/{object}")).await;
            assert_eq!(
                response.map(|(status, _)| status),
                Some(200),
                "{}",
                site.read_log(0)
            );
        }
    });
}

#[test]
fn large_body_is_forwarded_and_failed_request_is_logged_with_its_id() {
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
                .expect("the gateway accepts the connection");
        let deadline = Instant::now() + Duration::from_secs(20);
        connection
            .write(head.as_bytes(), deadline)
            .await
            .expect("the request head is written");
        connection
            .write(&body, deadline)
            .await
            .expect("the request body is written");
        let response = connection
            .read_response("POST")
            .await
            .expect("the gateway sends a response");
        assert_eq!(response.status, 200);
        let received_sizes: BTreeSet<usize> = site
            .servers
            .iter()
            .filter_map(|server| server.endpoint.request_body_bytes("long"))
            .collect();
        assert_eq!(received_sizes, [body.len()].into());

        for server in &site.servers {
            server.proxy.set_mode(site::proxy::Mode::Reset);
        }
        let log = AttemptLog::default();
        let end = Instant::now() + Duration::from_millis(300);
        client::send_requests(address, 77, end, Duration::from_millis(20), log.clone()).await;
        let reset_attempts = recorded_attempts(&log);
        let failures = failed_attempts(&reset_attempts);
        let failure = failures.first().expect("at least one attempt failed");
        wait_until("the log contains the failed request", || async {
            let id = format!("\"id\":\"{}\"", failure.id);
            site.read_log(0)
                .lines()
                .any(|line| line.contains(&id) && line.contains("\"tried\""))
        })
        .await;
        let metrics_address = SocketAddr::new(site.gateways[0].ip, 9464);
        let (_, body) = site::get(metrics_address, "/metrics")
            .await
            .expect("the metrics endpoint responds");
        let metrics = String::from_utf8(body).expect("metrics are UTF-8");
        assert!(
            metrics.contains("pier_gate_request_duration_seconds_bucket"),
            "{metrics}"
        );
        let (status, _) = site::get(metrics_address, "/status")
            .await
            .expect("the status endpoint responds");
        assert_eq!(status, 200);
    });
}

/// Guards against requests that block on log output: the log pipe stays full for 30 s while refused
/// requests, which log the most lines, are sent.
#[test]
fn full_log_pipe_does_not_delay_requests() {
    const LOAD_DURATION: Duration = Duration::from_secs(30);
    smol::block_on(async {
        let mut site = Site::start(1, 2).await;
        let (reader, writer) = std::io::pipe().expect("the pipe is created");
        let mut filler = writer.try_clone().expect("the pipe writer is cloned");
        // Keeps the pipe full until the reader is closed.
        std::thread::spawn(move || while filler.write_all(&[b'\n'; 4096]).is_ok() {});
        site.gateways[0].process = None;
        site.start_gateway_with_output(0, Some(writer.into()));
        site.wait_until_ready(0).await;
        let address = SocketAddr::new(site.gateways[0].ip, 8161);
        let end = Instant::now() + LOAD_DURATION;
        let log = AttemptLog::default();
        let served_client =
            client::send_requests(address, 5, end, Duration::from_millis(20), log.clone());
        let refused_clients = (0..3).map(|_| {
            smol::spawn(async move {
                while Instant::now() < end {
                    // `None` means that no response arrived within 2 s.
                    let response = site::get(address, "/unknown/").await;
                    assert_eq!(response.map(|(status, _)| status), Some(404));
                    Timer::after(Duration::from_millis(10)).await;
                }
            })
        });
        let refused_clients: Vec<smol::Task<()>> = refused_clients.collect();
        served_client.await;
        for client in refused_clients {
            client.await;
        }
        let attempts = recorded_attempts(&log);
        assert!(
            failed_attempts(&attempts).is_empty(),
            "{:?}",
            failed_attempts(&attempts)
        );
        let metrics_address = SocketAddr::new(site.gateways[0].ip, 9464);
        let (_, body) = site::get(metrics_address, "/status")
            .await
            .expect("the status endpoint responds");
        let status: serde_json::Value = serde_json::from_slice(&body).expect("status is JSON");
        let lost_lines = status["state"]["log_lines_lost"].as_u64();
        assert!(lost_lines.is_some_and(|count| count > 0), "{status}");
        drop(reader);
    });
}

/// Guards against requests to endpoints that left together while the store answered: the platform
/// forbids them two seconds after the store has acknowledged it
#[test]
fn endpoints_that_left_together_get_requests_for_too_long() {
    const DRAIN_TIME: Duration = Duration::from_secs(2);
    smol::block_on(async {
        let site = Site::start(2, 5).await;
        let (clients, _) = start_clients(&site, Duration::from_secs(5));
        Timer::after(Duration::from_secs(1)).await;
        let leaving: Vec<_> = (0..site.servers.len())
            .filter(|index| index % 5 < 3)
            .map(|index| site.servers[index].endpoint.clone())
            .collect();
        for endpoint in &leaving {
            site.store.remove("servers", endpoint.id());
        }
        let acknowledged_at = Instant::now();
        for client in clients {
            client.await;
        }
        for endpoint in leaving {
            let starts = endpoint.run_starts();
            let latest = starts.values().flatten().max().copied();
            let latest = latest.expect("the endpoint served before it left");
            let lateness = latest.saturating_duration_since(acknowledged_at);
            assert!(
                lateness <= DRAIN_TIME,
                "{} got a request {lateness:?} after it left",
                endpoint.id()
            );
        }
    });
}
