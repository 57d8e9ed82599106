//! Tests of planned stops.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::drain::{Handover, OfferOutcome, PROPAGATION_DELAY, Phase, Progress, Stop};
use crate::id::{HostId, ServiceId};
use crate::once::{Admission, RunOutcome, Snapshot, SnapshotEntry, StoredResponse, Table, Ticket};

const LIFETIME: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(5);

#[test]
fn a_stop_goes_through_its_phases() {
    struct Case {
        what: &'static str,
        lifetime: Duration,
        hurried: bool,
        // Seconds, requests that run, table handed over
        steps: &'static [(u64, usize, bool)],
        phase: Phase,
    }
    let cases = [
        Case {
            what: "callers may still have it from a look-up",
            lifetime: LIFETIME,
            hurried: false,
            steps: &[(0, 0, false), (11, 0, false)],
            phase: Phase::Serving,
        },
        Case {
            what: "their look-ups have run out",
            lifetime: LIFETIME,
            hurried: false,
            steps: &[(12, 3, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "no look-up was answered",
            lifetime: Duration::ZERO,
            hurried: false,
            steps: &[(0, 3, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "an operator hurries it",
            lifetime: LIFETIME,
            hurried: true,
            steps: &[(1, 3, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "requests are left",
            lifetime: Duration::ZERO,
            hurried: false,
            steps: &[(0, 3, false), (1, 3, true)],
            phase: Phase::Draining,
        },
        Case {
            what: "nothing is left",
            lifetime: Duration::ZERO,
            hurried: false,
            steps: &[(0, 3, false), (1, 3, true), (2, 0, true)],
            phase: Phase::Done,
        },
        Case {
            what: "the table is not handed over",
            lifetime: Duration::ZERO,
            hurried: false,
            steps: &[(0, 0, false), (4, 0, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "the limit is reached",
            lifetime: Duration::ZERO,
            hurried: false,
            steps: &[(0, 3, false), (5, 3, false)],
            phase: Phase::Done,
        },
    ];
    assert_eq!(PROPAGATION_DELAY, Duration::from_secs(2));
    for case in cases {
        let start = Instant::now();
        let mut stop = Stop::new(start, case.lifetime, LIMIT);
        if case.hurried {
            stop.skip_lookup_wait(start);
        }
        let mut phase = Phase::Serving;
        for (second, running, is_handed_over) in case.steps {
            let progress = Progress {
                running: *running,
                is_handed_over: *is_handed_over,
            };
            phase = stop.advance(start + Duration::from_secs(*second), progress);
        }
        assert_eq!(phase, case.phase, "{}", case.what);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_stop_cuts_nothing_before_its_limit(
        lifetime in 0..20_u64,
        steps in proptest::collection::vec((0..2000_u64, 0..3_usize, any::<bool>()), 1..60),
    ) {
        let start = Instant::now();
        let lifetime = Duration::from_secs(lifetime);
        let mut stop = Stop::new(start, lifetime, LIMIT);
        let (mut now, mut handed) = (start, false);
        for (pause, running, hand) in steps {
            now += Duration::from_millis(pause);
            handed |= hand;
            let progress = Progress { running, is_handed_over: handed };
            if stop.advance(now, progress) == Phase::Done {
                let whole = running == 0 && handed;
                prop_assert!(whole || stop.deadline().is_some_and(|end| now >= end));
                prop_assert!(now >= start + lifetime);
                break;
            }
        }
    }

    #[test]
    fn one_host_at_most_runs_a_ticket(
        fates in proptest::collection::vec(0..4_u8, 3),
        presented in proptest::collection::vec(any::<bool>(), 12),
    ) {
        let mut hosts = Hosts::new(&presented);
        hosts.hand_over(&fates);
        for (ticket, presented) in hosts.tickets.clone().iter().zip(presented) {
            let runs = hosts.runs(ticket) + usize::from(presented);
            prop_assert!(runs <= 1, "{ticket} ran {runs} times after {fates:?}");
        }
    }
}

/// A stopping host `a` and those that it offers its table to
struct Hosts {
    now: Instant,
    tables: BTreeMap<HostId, Table>,
    tickets: Vec<Ticket>,
}

impl Hosts {
    fn new(presented: &[bool]) -> Self {
        let now = Instant::now();
        let service = ServiceId::from("turni");
        let names = ["a", "b", "c", "d"].map(HostId::from);
        let tables = names.map(|name| (name.clone(), Table::with_secret(name, 5, [7; 16])));
        let mut tables = BTreeMap::from(tables);
        let table = tables.get_mut("a").expect("it was put in");
        let tickets: Vec<Ticket> = presented
            .iter()
            .map(|_| table.issue(now, &service))
            .collect();
        for (ticket, _) in tickets.iter().zip(presented).filter(|(_, was)| **was) {
            assert_eq!(table.begin(now, ticket, &service), Admission::Run);
            table.finish(now, ticket, RunOutcome::Unknown);
        }
        Self {
            now,
            tables,
            tickets,
        }
    }

    /// Offers end as `fates` say: taken, refused, taken without a word, lost without a word
    fn hand_over(&mut self, fates: &[u8]) {
        let table = self.tables.get_mut("a").expect("it was put in");
        let snapshots = table.export(true);
        let candidates = ["b", "c", "d"].map(HostId::from);
        let mut handover = Handover::new(snapshots, candidates);
        for fate in fates {
            let Some(offer) = handover.next_offer() else {
                break;
            };
            let arrives = matches!(fate, 0 | 2);
            if arrives {
                let successor = self.tables.get_mut(&offer.to).expect("it was put in");
                successor.import(self.now, offer.snapshots);
            }
            handover.record_outcome(match fate {
                0 => OfferOutcome::Taken,
                1 => OfferOutcome::NotTaken,
                _ => OfferOutcome::Unknown,
            });
        }
        assert!(handover.is_finished());
    }

    /// Hosts that would run a ticket now
    fn runs(&mut self, ticket: &Ticket) -> usize {
        let begin = |table: &mut Table| table.begin(self.now, ticket, &ticket.service);
        let begins = self.tables.values_mut().map(begin);
        begins.filter(|begin| *begin == Admission::Run).count()
    }
}

#[test]
fn fresh_tickets_go_on_after_a_refusal_and_stop_after_silence() {
    struct Case {
        what: &'static str,
        fates: &'static [u8],
        runs: usize,
    }
    let cases = [
        Case {
            what: "the first takes it",
            fates: &[0],
            runs: 1,
        },
        Case {
            what: "the first two refuse",
            fates: &[1, 1, 0],
            runs: 1,
        },
        Case {
            what: "the first took it without a word",
            fates: &[2, 0],
            runs: 1,
        },
        Case {
            what: "it was lost on the way to the first",
            fates: &[3, 0],
            runs: 0,
        },
        Case {
            what: "all refuse",
            fates: &[1, 1, 1],
            runs: 0,
        },
    ];
    for case in cases {
        let mut hosts = Hosts::new(&[false]);
        hosts.hand_over(case.fates);
        let ticket = hosts.tickets[0].clone();
        assert_eq!(hosts.runs(&ticket), case.runs, "{}", case.what);
    }
}

#[test]
fn a_table_over_the_limit_loses_its_oldest_answers() {
    let served = || {
        SnapshotEntry::Served(StoredResponse {
            status: 200,
            headers: vec![("etag".into(), "123456".into())],
            body: vec![0; 90],
        })
    };
    let snapshot = Snapshot {
        issuer: "a".into(),
        incarnation: 5,
        secret: [7; 16],
        fresh: true,
        floor: 1,
        next: 5,
        entries: (1..5).map(|number| (number, served())).collect(),
    };
    let mut handover = Handover::new(vec![snapshot], ["b".into()]).with_max_bytes(250);
    let offer = handover.next_offer().expect("there is a candidate");
    let kept = offer.snapshots[0].entries.iter();
    let kept = kept.filter(|(_, ended)| matches!(ended, SnapshotEntry::Served(_)));
    let numbers: Vec<u64> = kept.map(|(number, _)| *number).collect();
    assert_eq!(numbers, [3, 4]);
    assert_eq!(offer.snapshots[0].entries.len(), 4);
}
