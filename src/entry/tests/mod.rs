//! Outcomes of requests through one entry host with fake upstreams.

use std::time::Duration;

use smol::io::AsyncWriteExt;

use crate::caller::Limits;
use crate::caller::fake::{self, Act, Upstream};
use crate::entry::step::Reporter;

mod fleet;
mod overhead;
mod stop;

#[test]
fn steps_of_a_shift_are_told() {
    struct Step {
        share: f64,
        told: Option<&'static str>,
    }
    let steps = [
        Step {
            share: 1.0,
            told: None,
        },
        Step {
            share: 0.97,
            told: None,
        },
        Step {
            share: 0.94,
            told: Some("z1 0.940 z2 0.060 (on the way, policy asks for z2 1.000)"),
        },
        Step {
            share: 0.94,
            told: None,
        },
        Step {
            share: 0.02,
            told: Some("z1 0.020 z2 0.980 (on the way, policy asks for z2 1.000)"),
        },
        Step {
            share: 0.0,
            told: Some("z2 1.000 (arrived, policy asks for z2 1.000)"),
        },
        Step {
            share: 0.0,
            told: None,
        },
    ];
    let shares = |share: f64| [("z1".into(), share), ("z2".into(), 1.0 - share)].into();
    let mut told = Reporter::default();
    for Step { share, told: text } in steps {
        let found = told.next_report(&"portal".into(), &shares(share), &shares(0.0));
        assert_eq!(found.as_deref(), text, "share {share}");
    }
}

struct Case {
    name: &'static str,
    acts: &'static [Act],
    once: bool,
    more: &'static str,
    status: &'static str,
    outcome: &'static str,
    cause: Option<&'static str>,
    /// Requests begun at all upstreams together
    runs: usize,
}

const SERVED: Case = Case {
    name: "served",
    acts: &[Act::Echo],
    once: false,
    more: "",
    status: "200",
    outcome: "served",
    cause: None,
    runs: 1,
};

#[test]
fn outcomes_are_true() {
    let cases = [
        SERVED,
        Case {
            name: "once-only served",
            once: true,
            ..SERVED
        },
        Case {
            name: "shed once, then served elsewhere",
            acts: &[Act::Shed, Act::Echo],
            once: true,
            runs: 2,
            ..SERVED
        },
        Case {
            name: "shed everywhere",
            acts: &[Act::Shed, Act::Shed],
            once: true,
            status: "503",
            outcome: "not-run",
            cause: Some("no-headroom"),
            runs: 2,
            ..SERVED
        },
        Case {
            name: "leaving",
            acts: &[Act::Leave],
            once: true,
            status: "503",
            outcome: "not-run",
            cause: Some("no-upstream"),
            ..SERVED
        },
        Case {
            name: "no upstream",
            acts: &[],
            once: true,
            status: "503",
            outcome: "not-run",
            runs: 0,
            cause: Some("no-upstream"),
            ..SERVED
        },
        Case {
            name: "once-only broken",
            acts: &[Act::Die],
            once: true,
            status: "504",
            outcome: "unknown",
            cause: Some("broken"),
            ..SERVED
        },
        Case {
            name: "late",
            acts: &[Act::Hang],
            more: "Pier-Deadline: 50\r\n",
            status: "504",
            outcome: "unknown",
            cause: Some("too-late"),
            ..SERVED
        },
        Case {
            name: "once-only late",
            acts: &[Act::Hang],
            once: true,
            more: "Pier-Deadline: 50\r\n",
            status: "504",
            outcome: "unknown",
            cause: None,
            ..SERVED
        },
        Case {
            name: "past its deadline",
            once: true,
            more: "Pier-Deadline: 0\r\n",
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
    let port = fake::port(&host, Limits::default()).await;
    let mut stream = fake::connect(port).await;
    let text = match case.once {
        false => format!("GET /s/portal/x HTTP/1.1\r\nHost: e\r\n{}\r\n", case.more),
        true => {
            let ticket = host.issue_ticket(&"portal".into());
            let more = format!("{}Pier-Ticket: {ticket}\r\n", case.more);
            fake::post("/s/portal/x", &more, "body")
        }
    };
    stream.write_all(text.as_bytes()).await.unwrap();
    let answer = fake::answer(&mut stream).await;
    let name = case.name;
    let status = format!("HTTP/1.1 {}", case.status);
    assert!(answer.starts_with(&status), "{name}: {answer}");
    assert_eq!(
        fake::header(&answer, "pier-outcome"),
        Some(case.outcome),
        "{name}"
    );
    if case.cause.is_some() {
        assert_eq!(fake::header(&answer, "pier-cause"), case.cause, "{name}");
    }
    assert_eq!(
        case.outcome != "served",
        fake::header(&answer, "retry-after").is_some(),
        "{name}"
    );
    let runs: usize = upstreams.iter().map(Upstream::runs).sum();
    assert_eq!(runs, case.runs, "{name}");
}

#[test]
fn one_ticket_runs_once() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Slow(Duration::from_millis(50))).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::port(&host, Limits::default()).await;
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
            let answer = fake::answer(stream).await;
            outcomes.push(fake::header(&answer, "pier-outcome").unwrap().to_owned());
        }
        outcomes.sort();
        assert_eq!(upstream.runs(), 1);
        assert_eq!(outcomes.iter().filter(|one| *one == "served").count(), 1);
        assert_eq!(outcomes.iter().filter(|one| *one == "unknown").count(), 7);
        streams[0].write_all(text.as_bytes()).await.unwrap();
        let again = fake::answer(&mut streams[0]).await;
        assert!(again.ends_with("/x"), "the answer is replayed: {again}");
        assert_eq!(upstream.runs(), 1);
    });
}

#[test]
fn a_request_that_two_upstreams_died_on_is_refused_at_once() {
    smol::block_on(async {
        let upstreams = [
            Upstream::new(Act::Die).await,
            Upstream::new(Act::Die).await,
            Upstream::new(Act::Die).await,
        ];
        let host = fake::host(fake::revision(&upstreams.iter().collect::<Vec<_>>(), 3));
        let port = fake::port(&host, Limits::default()).await;
        let mut ends = Vec::new();
        for _ in 0..4 {
            let mut stream = fake::connect(port).await;
            let text = b"GET /s/portal/poison HTTP/1.1\r\nHost: e\r\n\r\n";
            stream.write_all(text).await.unwrap();
            let answer = fake::answer(&mut stream).await;
            let header = |name| fake::header(&answer, name).unwrap_or_default().to_owned();
            ends.push((header("pier-outcome"), header("pier-cause")));
        }
        let refused = ("not-run".to_owned(), "quarantined".to_owned());
        assert_eq!(ends[2..], [refused.clone(), refused], "{ends:?}");
        assert!(upstreams.iter().all(|upstream| upstream.runs() <= 1));
        let runs: usize = upstreams.iter().map(Upstream::runs).sum();
        assert_eq!(runs, 2, "two upstreams are lost, not three");
    });
}
