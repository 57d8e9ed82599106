//! Tests that a ticket runs at most once across presentations, planned stops, crashes and expiry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::*;

const SECRET: Secret = [7; 16];

fn response(size: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; size],
    }
}

fn table(host: &str, incarnation: Incarnation) -> Table {
    Table::with_secret(host.into(), incarnation, SECRET)
}

#[test]
fn tickets_are_parsed_and_malformed_text_is_rejected() {
    let ticket = table("bne-a-1", 9).issue(Instant::now(), &"licence-portal".into());
    assert_eq!(ticket.to_string().parse(), Ok(ticket));
    for text in [
        "",
        "a.b",
        "a.1.s.1",
        "a.1.s.1.2.3",
        "a.x.s.1.2",
        "a.1.s.-1.2",
    ] {
        assert_eq!(text.parse::<Ticket>(), Err(Error::Malformed), "{text}");
    }
}

#[test]
fn second_presentation_depends_on_the_first_outcome() {
    struct Case {
        name: &'static str,
        outcome: Option<RunOutcome>,
        second: Admission,
    }
    let cases = [
        Case {
            name: "in flight",
            outcome: None,
            second: Admission::Running,
        },
        Case {
            name: "served",
            outcome: Some(RunOutcome::Served(response(3))),
            second: Admission::Replay(response(3)),
        },
        Case {
            name: "not run",
            outcome: Some(RunOutcome::NotRun),
            second: Admission::Run,
        },
        Case {
            name: "unknown",
            outcome: Some(RunOutcome::Unknown),
            second: Admission::Unknown,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut table = table("a", 1);
        let ticket = table.issue(now, &"s".into());
        assert_eq!(
            table.begin(now, &ticket, &"s".into()),
            Admission::Run,
            "{}",
            case.name
        );
        if let Some(outcome) = case.outcome {
            table.finish(now, &ticket, outcome);
        }
        assert_eq!(
            table.begin(now, &ticket, &"s".into()),
            case.second,
            "{}",
            case.name
        );
    }
}

#[test]
fn forged_and_foreign_tickets_are_invalid() {
    struct Case {
        name: &'static str,
        tamper: fn(&mut Ticket),
    }
    let cases = [
        Case {
            name: "number",
            tamper: |ticket| ticket.number += 1,
        },
        Case {
            name: "seal",
            tamper: |ticket| ticket.seal ^= 1,
        },
        Case {
            name: "service",
            tamper: |ticket| ticket.service = "t".into(),
        },
        Case {
            name: "incarnation",
            tamper: |ticket| ticket.incarnation += 1,
        },
        Case {
            name: "issuer",
            tamper: |ticket| ticket.issuer = "b".into(),
        },
    ];
    let now = Instant::now();
    for case in cases {
        let mut table = table("a", 1);
        let mut ticket = table.issue(now, &"s".into());
        (case.tamper)(&mut ticket);
        assert_eq!(
            table.begin(now, &ticket, &"s".into()),
            Admission::Invalid,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_expired_ticket_is_unknown_and_never_fresh() {
    let start = Instant::now();
    let mut table = table("a", 1);
    let presented = table.issue(start, &"s".into());
    let unpresented = table.issue(start, &"s".into());
    assert_eq!(table.begin(start, &presented, &"s".into()), Admission::Run);
    table.finish(start, &presented, RunOutcome::Served(response(1)));
    let later = start + TICKET_TTL + REPLAY_TTL + Duration::from_secs(10);
    table.expire(later);
    assert_eq!(
        table.begin(later, &presented, &"s".into()),
        Admission::Unknown
    );
    assert_eq!(
        table.begin(later, &unpresented, &"s".into()),
        Admission::Unknown
    );
    let fresh = table.issue(later, &"s".into());
    assert_eq!(table.begin(later, &fresh, &"s".into()), Admission::Run);
}

#[test]
fn stored_responses_and_entries_are_bounded() {
    let now = Instant::now();
    let mut table = table("a", 1);
    let tickets: Vec<Ticket> = (0..20).map(|_| table.issue(now, &"s".into())).collect();
    for ticket in &tickets {
        assert_eq!(table.begin(now, ticket, &"s".into()), Admission::Run);
        table.finish(
            now,
            ticket,
            RunOutcome::Served(response(MAX_STORED_BYTES / 10)),
        );
    }
    assert_eq!(table.begin(now, &tickets[0], &"s".into()), Admission::Spent);
    assert!(matches!(
        table.begin(now, &tickets[19], &"s".into()),
        Admission::Replay(_)
    ));
    for _ in tickets.len()..MAX_ENTRIES {
        let ticket = table.issue(now, &"s".into());
        assert_eq!(table.begin(now, &ticket, &"s".into()), Admission::Run);
    }
    let ticket = table.issue(now, &"s".into());
    assert_eq!(table.begin(now, &ticket, &"s".into()), Admission::Full);
}

#[test]
fn only_the_first_successor_may_run_fresh_tickets() {
    let now = Instant::now();
    let mut stopped = table("a", 1);
    let fresh = stopped.issue(now, &"s".into());
    let (mut first, mut second) = (table("b", 2), table("c", 3));
    first.import(now, stopped.export(true));
    second.import(now, stopped.export(true));
    assert_eq!(stopped.begin(now, &fresh, &"s".into()), Admission::Stopping);
    assert_eq!(second.begin(now, &fresh, &"s".into()), Admission::Unknown);
    assert_eq!(first.begin(now, &fresh, &"s".into()), Admission::Run);
}

/// Step of a random sequence of events on three hosts
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    Present { host: usize, ticket: usize },
    Finish { run: usize, outcome: u8 },
    Wait(u64),
    Stop { host: usize, successors: Vec<usize> },
    Crash(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3usize).prop_map(Step::Issue),
        8 => (0..3usize, 0..12usize).prop_map(|(host, ticket)| Step::Present { host, ticket }),
        5 => (0..8usize, 0..3u8).prop_map(|(run, outcome)| Step::Finish { run, outcome }),
        1 => (0..30u64).prop_map(Step::Wait),
        1 => (0..3usize, prop::collection::vec(0..3usize, 1..5))
            .prop_map(|(host, successors)| Step::Stop { host, successors }),
        2 => (0..3usize).prop_map(Step::Crash),
    ]
}

/// Three hosts, and how often the upstreams ran each ticket
struct Fleet {
    now: Instant,
    hosts: Vec<Table>,
    incarnation: Incarnation,
    tickets: Vec<Ticket>,
    running: Vec<(usize, Ticket)>,
    run_counts: BTreeMap<Ticket, u32>,
}

impl Fleet {
    fn new() -> Self {
        let hosts = (0..3).map(|n| table(&format!("h{n}"), n)).collect();
        Self {
            now: Instant::now(),
            hosts,
            incarnation: 3,
            tickets: Vec::new(),
            running: Vec::new(),
            run_counts: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Issue(host) => {
                let ticket = self.hosts[*host].issue(self.now, &"s".into());
                self.tickets.push(ticket);
            }
            Step::Present { host, ticket } => self.present(*host, *ticket),
            Step::Finish { run, outcome } => self.finish(*run, *outcome),
            Step::Wait(seconds) => {
                self.now += Duration::from_secs(*seconds);
                self.hosts
                    .iter_mut()
                    .for_each(|table| table.expire(self.now));
            }
            Step::Stop { host, successors } => {
                for successor in successors.iter().filter(|other| *other != host) {
                    let snapshots = self.hosts[*host].export(true);
                    self.hosts[*successor].import(self.now, snapshots);
                }
            }
            Step::Crash(host) => self.restart(*host),
        }
    }

    fn present(&mut self, host: usize, ticket: usize) {
        let Some(ticket) = self.tickets.get(ticket).cloned() else {
            return;
        };
        if self.hosts[host].begin(self.now, &ticket, &"s".into()) == Admission::Run {
            self.running.push((host, ticket));
        }
    }

    fn finish(&mut self, run: usize, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (host, ticket) = self.running.remove(run % self.running.len());
        // A request with an unknown outcome may have run, so it is counted.
        if outcome != 0 {
            *self.run_counts.entry(ticket.clone()).or_default() += 1;
        }
        let outcome = match outcome {
            0 => RunOutcome::NotRun,
            1 => RunOutcome::Unknown,
            _ => RunOutcome::Served(response(1)),
        };
        self.hosts[host].finish(self.now, &ticket, outcome);
    }

    fn restart(&mut self, host: usize) {
        let interrupted = self.running.iter().filter(|(runner, _)| *runner == host);
        for (_, ticket) in interrupted {
            *self.run_counts.entry(ticket.clone()).or_default() += 1;
        }
        self.running.retain(|(runner, _)| *runner != host);
        self.incarnation += 1;
        self.hosts[host] = table(&format!("h{host}"), self.incarnation);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_ticket_runs_twice(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            for (ticket, count) in &fleet.run_counts {
                prop_assert!(*count <= 1, "{ticket} ran {count} times");
            }
        }
    }
}
