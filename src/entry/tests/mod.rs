//! Tests of request outcomes through one entry host with fake upstreams.

use std::time::Duration;

use smol::io::AsyncWriteExt;

use crate::caller::Limits;
use crate::caller::fake::{self, Behavior, Upstream};
use crate::entry::step::Reporter;

mod fleet;
mod overhead;
mod stop;

#[test]
fn reports_each_step_and_the_end_of_a_shift() {
    struct Step {
        share: f64,
        report: Option<&'static str>,
    }
    let steps = [
        Step {
            share: 1.0,
            report: None,
        },
        Step {
            share: 0.97,
            report: None,
        },
        Step {
            share: 0.94,
            report: Some("z1 0.940 z2 0.060 (in progress, target z2 1.000)"),
        },
        Step {
            share: 0.94,
            report: None,
        },
        Step {
            share: 0.02,
            report: Some("z1 0.020 z2 0.980 (in progress, target z2 1.000)"),
        },
        Step {
            share: 0.0,
            report: Some("z2 1.000 (arrived, target z2 1.000)"),
        },
        Step {
            share: 0.0,
            report: None,
        },
    ];
    let shares = |share: f64| [("z1".into(), share), ("z2".into(), 1.0 - share)].into();
    let mut reporter = Reporter::default();
    for Step {
        share,
        report: expected,
    } in steps
    {
        let report = reporter.next_report(&"portal".into(), &shares(share), &shares(0.0));
        assert_eq!(report.as_deref(), expected, "share {share}");
    }
}

struct Case {
    name: &'static str,
    acts: &'static [Behavior],
    once_only: bool,
    extra_headers: &'static str,
    status: &'static str,
    outcome: &'static str,
    cause: Option<&'static str>,
    /// Requests started at all upstreams together
    runs: usize,
}

const SERVED: Case = Case {
    name: "served",
    acts: &[Behavior::Echo],
    once_only: false,
    extra_headers: "",
    status: "200",
    outcome: "served",
    cause: None,
    runs: 1,
};

#[test]
fn reports_the_outcome_of_each_request() {
    let cases = [
        SERVED,
        Case {
            name: "once-only served",
            once_only: true,
            ..SERVED
        },
        Case {
            name: "shed once, then served elsewhere",
            acts: &[Behavior::Shed, Behavior::Echo],
            once_only: true,
            runs: 2,
            ..SERVED
        },
        Case {
            name: "shed everywhere",
            acts: &[Behavior::Shed, Behavior::Shed],
            once_only: true,
            status: "503",
            outcome: "not-run",
            cause: Some("no-headroom"),
            runs: 2,
            ..SERVED
        },
        Case {
            name: "upstream leaving",
            acts: &[Behavior::Leave],
            once_only: true,
            status: "503",
            outcome: "not-run",
            cause: Some("no-upstream"),
            ..SERVED
        },
        Case {
            name: "no upstream",
            acts: &[],
            once_only: true,
            status: "503",
            outcome: "not-run",
            runs: 0,
            cause: Some("no-upstream"),
            ..SERVED
        },
        Case {
            name: "once-only, connection lost",
            acts: &[Behavior::Disconnect],
            once_only: true,
            status: "504",
            outcome: "unknown",
            cause: Some("broken"),
            ..SERVED
        },
        Case {
            name: "upstream exceeds the deadline",
            acts: &[Behavior::Hang],
            extra_headers: "Pier-Deadline: 50\r\n",
            status: "504",
            outcome: "unknown",
            cause: Some("too-late"),
            ..SERVED
        },
        Case {
            name: "once-only, upstream exceeds the deadline",
            acts: &[Behavior::Hang],
            once_only: true,
            extra_headers: "Pier-Deadline: 50\r\n",
            status: "504",
            outcome: "unknown",
            cause: None,
            ..SERVED
        },
        Case {
            name: "once-only, deadline already expired",
            once_only: true,
            extra_headers: "Pier-Deadline: 0\r\n",
            status: "503",
            outcome: "not-run",
            cause: Some("too-late"),
            runs: 0,
            ..SERVED
        },
    ];
    for case in cases {
        smol::block_on(check(&case));
    }
}

async fn check(case: &Case) {
    let mut upstreams = Vec::new();
    for act in case.acts {
        upstreams.push(Upstream::new(*act).await);
    }
    let host = fake::host(fake::revision(&upstreams.iter().collect::<Vec<_>>(), 3));
    let port = fake::serve_callers(&host, Limits::default()).await;
    let mut stream = fake::connect(port).await;
    let text = match case.once_only {
        false => format!(
            "GET /s/portal/x HTTP/1.1\r\nHost: e\r\n{}\r\n",
            case.extra_headers
        ),
        true => {
            let ticket = host.issue_ticket(&"portal".into());
            let extra_headers = format!("{}Pier-Ticket: {ticket}\r\n", case.extra_headers);
            fake::post("/s/portal/x", &extra_headers, "body")
        }
    };
    stream.write_all(text.as_bytes()).await.unwrap();
    let response = fake::read_response(&mut stream).await;
    let name = case.name;
    let status = format!("HTTP/1.1 {}", case.status);
    assert!(response.starts_with(&status), "{name}: {response}");
    assert_eq!(
        fake::header(&response, "pier-outcome"),
        Some(case.outcome),
        "{name}"
    );
    if case.cause.is_some() {
        assert_eq!(fake::header(&response, "pier-cause"), case.cause, "{name}");
    }
    assert_eq!(
        case.outcome != "served",
        fake::header(&response, "retry-after").is_some(),
        "{name}"
    );
    let runs: usize = upstreams.iter().map(Upstream::request_count).sum();
    assert_eq!(runs, case.runs, "{name}");
}

#[test]
fn runs_a_ticket_once_for_concurrent_requests() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(50))).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let text = fake::post("/s/portal/x", &format!("Pier-Ticket: {ticket}\r\n"), "pay");
        let mut streams = Vec::new();
        for _ in 0..8 {
            let mut stream = fake::connect(port).await;
            stream.write_all(text.as_bytes()).await.unwrap();
            streams.push(stream);
        }
        let mut outcomes = Vec::new();
        for stream in &mut streams {
            let response = fake::read_response(stream).await;
            outcomes.push(fake::header(&response, "pier-outcome").unwrap().to_owned());
        }
        outcomes.sort();
        assert_eq!(upstream.request_count(), 1);
        assert_eq!(
            outcomes
                .iter()
                .filter(|outcome| *outcome == "served")
                .count(),
            1
        );
        assert_eq!(
            outcomes
                .iter()
                .filter(|outcome| *outcome == "unknown")
                .count(),
            7
        );
        streams[0].write_all(text.as_bytes()).await.unwrap();
        let replay = fake::read_response(&mut streams[0]).await;
        assert!(
            replay.ends_with("/x"),
            "expected the stored response: {replay}"
        );
        assert_eq!(upstream.request_count(), 1);
    });
}

#[test]
fn refuses_a_request_that_crashed_two_upstreams() {
    smol::block_on(async {
        let upstreams = [
            Upstream::new(Behavior::Disconnect).await,
            Upstream::new(Behavior::Disconnect).await,
            Upstream::new(Behavior::Disconnect).await,
        ];
        let host = fake::host(fake::revision(&upstreams.iter().collect::<Vec<_>>(), 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut results = Vec::new();
        for _ in 0..4 {
            let mut stream = fake::connect(port).await;
            let text = b"GET /s/portal/poison HTTP/1.1\r\nHost: e\r\n\r\n";
            stream.write_all(text).await.unwrap();
            let response = fake::read_response(&mut stream).await;
            let header = |name| fake::header(&response, name).unwrap_or_default().to_owned();
            results.push((header("pier-outcome"), header("pier-cause")));
        }
        let refused = ("not-run".to_owned(), "quarantined".to_owned());
        assert_eq!(results[2..], [refused.clone(), refused], "{results:?}");
        assert!(
            upstreams
                .iter()
                .all(|upstream| upstream.request_count() <= 1)
        );
        let runs: usize = upstreams.iter().map(Upstream::request_count).sum();
        assert_eq!(runs, 2, "the request must crash two upstreams only");
    });
}
