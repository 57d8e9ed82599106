//! A ticket runs at most once, whatever is presented, stopped, crashed or forgotten.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::*;

const SECRET: Secret = [7; 16];

fn kept(size: usize) -> StoredResponse {
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
fn a_ticket_is_read_back_and_garbage_is_refused() {
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
fn each_state_decides_what_a_second_presentation_gets() {
    struct Case {
        name: &'static str,
        finish: Option<RunOutcome>,
        then: Admission,
    }
    let cases = [
        Case {
            name: "running",
            finish: None,
            then: Admission::Running,
        },
        Case {
            name: "served",
            finish: Some(RunOutcome::Served(kept(3))),
            then: Admission::Replay(kept(3)),
        },
        Case {
            name: "not run",
            finish: Some(RunOutcome::NotRun),
            then: Admission::Run,
        },
        Case {
            name: "unknown",
            finish: Some(RunOutcome::Unknown),
            then: Admission::Unknown,
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
        if let Some(finish) = case.finish {
            table.finish(now, &ticket, finish);
        }
        assert_eq!(
            table.begin(now, &ticket, &"s".into()),
            case.then,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_ticket_that_was_not_issued_here_is_bad() {
    struct Case {
        name: &'static str,
        change: fn(&mut Ticket),
    }
    let cases = [
        Case {
            name: "number",
            change: |ticket| ticket.number += 1,
        },
        Case {
            name: "seal",
            change: |ticket| ticket.seal ^= 1,
        },
        Case {
            name: "service",
            change: |ticket| ticket.service = "t".into(),
        },
        Case {
            name: "incarnation",
            change: |ticket| ticket.incarnation += 1,
        },
        Case {
            name: "issuer",
            change: |ticket| ticket.issuer = "b".into(),
        },
    ];
    let now = Instant::now();
    for case in cases {
        let mut table = table("a", 1);
        let mut ticket = table.issue(now, &"s".into());
        (case.change)(&mut ticket);
        assert_eq!(
            table.begin(now, &ticket, &"s".into()),
            Admission::Invalid,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_forgotten_ticket_is_unknown_and_never_fresh() {
    let start = Instant::now();
    let mut table = table("a", 1);
    let used = table.issue(start, &"s".into());
    let unused = table.issue(start, &"s".into());
    assert_eq!(table.begin(start, &used, &"s".into()), Admission::Run);
    table.finish(start, &used, RunOutcome::Served(kept(1)));
    let later = start + TICKET_TTL + REPLAY_TTL + Duration::from_secs(10);
    table.expire(later);
    assert_eq!(table.begin(later, &used, &"s".into()), Admission::Unknown);
    assert_eq!(table.begin(later, &unused, &"s".into()), Admission::Unknown);
    let fresh = table.issue(later, &"s".into());
    assert_eq!(table.begin(later, &fresh, &"s".into()), Admission::Run);
}

#[test]
fn kept_answers_and_entries_are_bounded() {
    let now = Instant::now();
    let mut table = table("a", 1);
    let tickets: Vec<Ticket> = (0..20).map(|_| table.issue(now, &"s".into())).collect();
    for ticket in &tickets {
        assert_eq!(table.begin(now, ticket, &"s".into()), Admission::Run);
        table.finish(now, ticket, RunOutcome::Served(kept(MAX_STORED_BYTES / 10)));
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
    let mut old = table("a", 1);
    let fresh = old.issue(now, &"s".into());
    let (mut first, mut second) = (table("b", 2), table("c", 3));
    first.import(now, old.export(true));
    second.import(now, old.export(true));
    assert_eq!(old.begin(now, &fresh, &"s".into()), Admission::Stopping);
    assert_eq!(second.begin(now, &fresh, &"s".into()), Admission::Unknown);
    assert_eq!(first.begin(now, &fresh, &"s".into()), Admission::Run);
}

/// One step of a random run over three hosts
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    Present { host: usize, ticket: usize },
    End { run: usize, how: u8 },
    Pass(u64),
    Stop { host: usize, to: Vec<usize> },
    Crash(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3usize).prop_map(Step::Issue),
        8 => (0..3usize, 0..12usize).prop_map(|(host, ticket)| Step::Present { host, ticket }),
        5 => (0..8usize, 0..3u8).prop_map(|(run, how)| Step::End { run, how }),
        1 => (0..30u64).prop_map(Step::Pass),
        1 => (0..3usize, prop::collection::vec(0..3usize, 1..5))
            .prop_map(|(host, to)| Step::Stop { host, to }),
        2 => (0..3usize).prop_map(Step::Crash),
    ]
}

/// Three hosts, and what the upstreams saw
struct Fleet {
    now: Instant,
    hosts: Vec<Table>,
    incarnation: Incarnation,
    tickets: Vec<Ticket>,
    running: Vec<(usize, Ticket)>,
    ran: BTreeMap<Ticket, u32>,
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
            ran: BTreeMap::new(),
        }
    }

    fn act(&mut self, step: &Step) {
        match step {
            Step::Issue(host) => {
                let ticket = self.hosts[*host].issue(self.now, &"s".into());
                self.tickets.push(ticket);
            }
            Step::Present { host, ticket } => self.present(*host, *ticket),
            Step::End { run, how } => self.end(*run, *how),
            Step::Pass(seconds) => {
                self.now += Duration::from_secs(*seconds);
                self.hosts
                    .iter_mut()
                    .for_each(|table| table.expire(self.now));
            }
            Step::Stop { host, to } => {
                for to in to.iter().filter(|to| *to != host) {
                    let snapshots = self.hosts[*host].export(true);
                    self.hosts[*to].import(self.now, snapshots);
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

    fn end(&mut self, run: usize, how: u8) {
        if self.running.is_empty() {
            return;
        }
        let (host, ticket) = self.running.remove(run % self.running.len());
        // An unknown end may have run; a refused one did not.
        if how != 0 {
            *self.ran.entry(ticket.clone()).or_default() += 1;
        }
        let finish = match how {
            0 => RunOutcome::NotRun,
            1 => RunOutcome::Unknown,
            _ => RunOutcome::Served(kept(1)),
        };
        self.hosts[host].finish(self.now, &ticket, finish);
    }

    fn restart(&mut self, host: usize) {
        let cut = self.running.iter().filter(|(at, _)| *at == host);
        for (_, ticket) in cut {
            *self.ran.entry(ticket.clone()).or_default() += 1;
        }
        self.running.retain(|(at, _)| *at != host);
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
            fleet.act(step);
            for (ticket, count) in &fleet.ran {
                prop_assert!(*count <= 1, "{ticket} ran {count} times");
            }
        }
    }
}
