//! Test of a planned stop under load.

use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::stream;

use crate::caller::fake::{self, Behavior, Upstream};
use crate::drain;
use crate::entry::stop;
use crate::entry::tests::fleet::{once_only_request, send_request, start_fleet};

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
        let stop_task = smol::spawn(async move {
            stop::stop(&host, &link, stream::pending::<()>()).await;
        });
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
        while !stop_task.is_finished() {
            let get_response = send_request(members[0].port, &text).await;
            assert!(
                get_response.ends_with("/x"),
                "after {count} rounds: {get_response}"
            );
            let post_response =
                send_request(members[0].port, &once_only_request(&members[1])).await;
            assert!(
                post_response.ends_with("/pay"),
                "after {count} rounds: {post_response}"
            );
            count += 1;
        }
        let serving_period = drain::PROPAGATION_DELAY + revision.document.lookup_lifetime;
        assert!(count > 0 && start.elapsed() >= serving_period);
        assert_eq!(members[0].host.in_flight_count(), 0);
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
