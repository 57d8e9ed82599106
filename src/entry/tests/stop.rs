//! Test of a planned stop under load.

use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::stream;

use crate::caller::fake::{self, Behavior, Upstream};
use crate::drain;
use crate::entry::tests::fleet::{Member, once_only_request, send_request, start_fleet};
use crate::entry::{Outcome, remote, steer, stop};
use crate::once::Ticket;
use crate::wire::{Operation, Reason, Request};

#[test]
fn loses_no_request_in_a_planned_stop() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(10))).await;
        let mut revision = fake::revision(&[&upstream], 3);
        revision.document.lookup_lifetime = Duration::from_millis(200);
        let members = start_fleet(&[("a", "z1"), ("b", "z1")], &revision).await;
        let mut connection = fake::connect(members[0].port).await;
        let text = fake::get("/s/portal/x");
        connection.write_all(text.as_bytes()).await.unwrap();
        let response = fake::read_response(&mut connection).await;
        assert_eq!(fake::header(&response, "connection"), None);

        let start = Instant::now();
        let (host, link) = (members[0].host.clone(), members[0].link.clone());
        let stop_task =
            smol::spawn(async move { stop::stop(&host, &link, stream::pending::<()>()).await });
        fake::wait_until("the planned stop begins", || members[0].host.is_stopping()).await;
        connection.write_all(text.as_bytes()).await.unwrap();
        let response = fake::read_response(&mut connection).await;
        assert_eq!(fake::header(&response, "connection"), Some("close"));

        let lookup_response = send_request(
            members[0].port,
            &fake::get("/lookup?service=portal&block=1"),
        )
        .await;
        let stopping_address = members[0].port.to_string();
        assert!(
            !lookup_response.contains(&stopping_address),
            "{lookup_response}"
        );
        let mut count = 0;
        let serving_period = drain::PROPAGATION_DELAY + revision.document.lookup_lifetime;
        'stop: while !stop_task.is_finished() {
            let post = once_only_request(&members[1]);
            for (text, end) in [(&text, "/x"), (&post, "/pay")] {
                let runs = upstream.request_count();
                let response = send_request(members[0].port, text).await;
                if !response.ends_with(end) {
                    // Only a request that crosses with the end of the stop is refused.
                    let cause = fake::header(&response, "pier-cause");
                    assert_eq!(cause, Some("stopping"), "after {count} rounds: {response}");
                    assert!(start.elapsed() >= serving_period, "{:?}", start.elapsed());
                    assert_eq!(upstream.request_count(), runs, "{response}");
                    fake::wait_until("the stop ends", || stop_task.is_finished()).await;
                    break 'stop;
                }
            }
            count += 1;
        }
        assert!(count > 0 && start.elapsed() >= serving_period);
        assert_eq!(stop_task.await, 0, "requests in flight at the end");
        let lookup_response = send_request(
            members[1].port,
            &fake::get("/lookup?service=portal&block=1"),
        )
        .await;
        assert!(
            !lookup_response.contains(&stopping_address),
            "{lookup_response}"
        );
    });
}

// The process ends right after its stop, which would cut off such a request.
#[test]
fn request_runs_after_the_end_of_a_planned_stop() {
    struct Case {
        name: &'static str,
        is_once_only: bool,
        /// Whether another host forwards the request
        is_forwarded: bool,
        outcome: &'static str,
    }
    let cases = [
        ("idempotent", false, false, "not-run"),
        ("its ticket may have run", true, false, "unknown"),
        ("idempotent, from a peer", false, true, "not-run"),
        (
            "its ticket may have run, from a peer",
            true,
            true,
            "unknown",
        ),
    ];
    let cases = cases.map(|(name, is_once_only, is_forwarded, outcome)| Case {
        name,
        is_once_only,
        is_forwarded,
        outcome,
    });
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(10))).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("b", "z1")], &revision).await;
        let signals = stream::repeat(());
        let remaining = stop::stop(&members[0].host, &members[0].link, signals).await;
        assert_eq!(remaining, 0);
        for case in cases {
            let ticket = members[1].host.issue_ticket(&"portal".into());
            let outcome = match case.is_forwarded {
                true => forward(&members[1], &members[0], ticket, case.is_once_only).await,
                false => {
                    let text = match case.is_once_only {
                        true => {
                            fake::post("/s/portal/x", &format!("Pier-Ticket: {ticket}\r\n"), "")
                        }
                        false => fake::get("/s/portal/x"),
                    };
                    let response = send_request(members[0].port, &text).await;
                    let outcome = fake::header(&response, "pier-outcome");
                    outcome.unwrap_or_default().to_owned()
                }
            };
            assert_eq!(outcome, case.outcome, "{}", case.name);
            assert_eq!(upstream.request_count(), 0, "{}", case.name);
        }
    });
}

/// Forwards a request to another host and returns its outcome
async fn forward(from: &Member, to: &Member, ticket: Ticket, is_once_only: bool) -> String {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let operation = match is_once_only {
        true => Operation::Execute(ticket),
        false => Operation::Serve,
    };
    let mut request = Request {
        id: 7,
        operation,
        service: "portal".into(),
        method: "POST".into(),
        target: "/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
        remaining: TIMEOUT,
        origin: "z1".into(),
        reason: Reason::Share,
    };
    let to = steer::host_info(&from.host, to.name()).expect("hosts know each other");
    let deadline = Instant::now() + TIMEOUT;
    let outcome = remote::forward(&from.host, &to, &mut request, deadline).await;
    let name = match outcome {
        Some(Outcome::NotRun(_)) => "not-run",
        Some(Outcome::Unknown(_)) => "unknown",
        Some(Outcome::Served(_)) => "served",
        None => "unreachable",
    };
    name.to_owned()
}

// A request that would be in flight when a stopping host ends must be left to another host.
#[test]
fn request_that_outlasts_a_planned_stop_is_taken() {
    struct Case {
        name: &'static str,
        /// Milliseconds that the caller waits
        deadline: u64,
        is_once_only: bool,
        outcome: &'static str,
    }
    const TIME_LEFT: Duration = Duration::from_secs(2);
    let cases = [
        Case {
            name: "ends in time",
            deadline: 1000,
            is_once_only: false,
            outcome: "served",
        },
        Case {
            name: "may last longer",
            deadline: 4000,
            is_once_only: false,
            outcome: "not-run",
        },
        Case {
            name: "once-only, ends in time",
            deadline: 1000,
            is_once_only: true,
            outcome: "served",
        },
        Case {
            name: "once-only, its ticket may have run",
            deadline: 4000,
            is_once_only: true,
            outcome: "unknown",
        },
    ];
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(10))).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("b", "z1")], &revision).await;
        for case in cases {
            let ticket = members[1].host.issue_ticket(&"portal".into());
            members[0].host.set_stops_at(Instant::now() + TIME_LEFT);
            let deadline = format!("Pier-Deadline: {}\r\n", case.deadline);
            let text = match case.is_once_only {
                true => {
                    let headers = format!("Pier-Ticket: {ticket}\r\n{deadline}");
                    fake::post("/s/portal/pay", &headers, "20")
                }
                false => format!("GET /s/portal/x HTTP/1.1\r\nHost: entry\r\n{deadline}\r\n"),
            };
            let response = send_request(members[0].port, &text).await;
            let outcome = fake::header(&response, "pier-outcome");
            assert_eq!(outcome, Some(case.outcome), "{}: {response}", case.name);
        }
    });
}
