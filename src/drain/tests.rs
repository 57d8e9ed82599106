//! Tests of planned stops and ticket handover.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::drain::{
    Grace, Handover, Longest, OfferOutcome, PROPAGATION_DELAY, Phase, Progress, Stop,
};
use crate::id::{HostId, ServiceId};
use crate::once::{Admission, RunOutcome, Snapshot, SnapshotEntry, StoredResponse, Table, Ticket};

const LOOKUP_LIFETIME: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn phase_depends_on_time_and_progress() {
    struct Case {
        what: &'static str,
        lookup_lifetime: Duration,
        skips_wait: bool,
        // Seconds since the start, requests in flight, whether the table is handed over
        steps: &'static [(u64, usize, bool)],
        phase: Phase,
    }
    let cases = [
        Case {
            what: "callers may have cached a lookup",
            lookup_lifetime: LOOKUP_LIFETIME,
            skips_wait: false,
            steps: &[(0, 0, false), (11, 0, false)],
            phase: Phase::Serving,
        },
        Case {
            what: "cached lookups have expired",
            lookup_lifetime: LOOKUP_LIFETIME,
            skips_wait: false,
            steps: &[(12, 3, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "no lookup was answered",
            lookup_lifetime: Duration::ZERO,
            skips_wait: false,
            steps: &[(0, 3, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "an operator skips the wait",
            lookup_lifetime: LOOKUP_LIFETIME,
            skips_wait: true,
            steps: &[(1, 3, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "requests are in flight",
            lookup_lifetime: Duration::ZERO,
            skips_wait: false,
            steps: &[(0, 3, false), (1, 3, true)],
            phase: Phase::Draining,
        },
        Case {
            what: "all requests have finished",
            lookup_lifetime: Duration::ZERO,
            skips_wait: false,
            steps: &[(0, 3, false), (1, 3, true), (2, 0, true)],
            phase: Phase::Done,
        },
        Case {
            what: "the table is not handed over yet",
            lookup_lifetime: Duration::ZERO,
            skips_wait: false,
            steps: &[(0, 0, false), (4, 0, false)],
            phase: Phase::HandingOver,
        },
        Case {
            what: "the timeout is reached",
            lookup_lifetime: Duration::ZERO,
            skips_wait: false,
            steps: &[(0, 3, false), (5, 3, false)],
            phase: Phase::Done,
        },
    ];
    assert_eq!(PROPAGATION_DELAY, Duration::from_secs(2));
    for case in cases {
        let start = Instant::now();
        let mut stop = Stop::new(start, case.lookup_lifetime, TIMEOUT);
        if case.skips_wait {
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
    fn a_stop_interrupts_no_request_before_its_deadline(
        lookup_lifetime in 0..20_u64,
        steps in proptest::collection::vec((0..2000_u64, 0..3_usize, any::<bool>()), 1..60),
    ) {
        let start = Instant::now();
        let lookup_lifetime = Duration::from_secs(lookup_lifetime);
        let mut stop = Stop::new(start, lookup_lifetime, TIMEOUT);
        let (mut now, mut is_handed_over) = (start, false);
        for (pause, running, hands_over) in steps {
            now += Duration::from_millis(pause);
            is_handed_over |= hands_over;
            let progress = Progress { running, is_handed_over };
            if stop.advance(now, progress) == Phase::Done {
                let is_complete = running == 0 && is_handed_over;
                prop_assert!(is_complete || stop.deadline().is_some_and(|at| now >= at));
                prop_assert!(now >= start + lookup_lifetime);
                break;
            }
        }
    }

    #[test]
    fn at_most_one_host_runs_a_ticket(
        outcomes in proptest::collection::vec(0..4_u8, 3),
        presented in proptest::collection::vec(any::<bool>(), 12),
    ) {
        let mut hosts = Hosts::new(&presented);
        hosts.hand_over(&outcomes);
        for (ticket, presented) in hosts.tickets.clone().iter().zip(presented) {
            let run_count = hosts.run_count(ticket) + usize::from(presented);
            prop_assert!(run_count <= 1, "{ticket} ran {run_count} times after {outcomes:?}");
        }
    }
}

/// Stopping host `a` and the hosts to which it offers its table
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
        let table = tables.get_mut("a").expect("host exists");
        let tickets: Vec<Ticket> = presented
            .iter()
            .map(|_| table.issue(now, &service))
            .collect();
        for (ticket, _) in tickets
            .iter()
            .zip(presented)
            .filter(|(_, presented)| **presented)
        {
            assert_eq!(table.begin(now, ticket, &service), Admission::Run);
            table.finish(now, ticket, RunOutcome::Unknown);
        }
        Self {
            now,
            tables,
            tickets,
        }
    }

    /// Hands over the table
    ///
    /// Outcomes of the offers: 0 taken, 1 rejected, 2 taken but not confirmed, 3 lost.
    fn hand_over(&mut self, outcomes: &[u8]) {
        let table = self.tables.get_mut("a").expect("host exists");
        let snapshots = table.export(true);
        let candidates = ["b", "c", "d"].map(HostId::from);
        let mut handover = Handover::new(snapshots, candidates);
        for outcome in outcomes {
            let Some(offer) = handover.next_offer() else {
                break;
            };
            let is_received = matches!(outcome, 0 | 2);
            if is_received {
                let successor = self.tables.get_mut(&offer.to).expect("host exists");
                successor.import(self.now, offer.snapshots);
            }
            handover.record_outcome(match outcome {
                0 => OfferOutcome::Taken,
                1 => OfferOutcome::NotTaken,
                _ => OfferOutcome::Unknown,
            });
        }
        assert!(handover.is_finished());
    }

    /// Returns the number of hosts that would run a ticket now
    fn run_count(&mut self, ticket: &Ticket) -> usize {
        let begin = |table: &mut Table| table.begin(self.now, ticket, &ticket.service);
        let admissions = self.tables.values_mut().map(begin);
        admissions
            .filter(|admission| *admission == Admission::Run)
            .count()
    }
}

/// If an offer has an unknown outcome, offering fresh tickets to the next host could run them twice
#[test]
fn fresh_tickets_are_offered_again_after_a_rejection_but_not_after_an_unknown_outcome() {
    struct Case {
        what: &'static str,
        outcomes: &'static [u8],
        run_count: usize,
    }
    let cases = [
        Case {
            what: "the first host takes the table",
            outcomes: &[0],
            run_count: 1,
        },
        Case {
            what: "the first two hosts reject",
            outcomes: &[1, 1, 0],
            run_count: 1,
        },
        Case {
            what: "the first host takes the table without confirmation",
            outcomes: &[2, 0],
            run_count: 1,
        },
        Case {
            what: "the offer to the first host is lost",
            outcomes: &[3, 0],
            run_count: 0,
        },
        Case {
            what: "all hosts reject",
            outcomes: &[1, 1, 1],
            run_count: 0,
        },
    ];
    for case in cases {
        let mut hosts = Hosts::new(&[false]);
        hosts.hand_over(case.outcomes);
        let ticket = hosts.tickets[0].clone();
        assert_eq!(hosts.run_count(&ticket), case.run_count, "{}", case.what);
    }
}

#[test]
fn oldest_responses_are_dropped_from_a_table_over_the_size_limit() {
    let served_entry = || {
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
        entries: (1..5).map(|number| (number, served_entry())).collect(),
    };
    let mut handover = Handover::new(vec![snapshot], ["b".into()]).with_max_bytes(250);
    let offer = handover.next_offer().expect("there is a candidate");
    let entries = offer.snapshots[0].entries.iter();
    let served = entries.filter(|(_, entry)| matches!(entry, SnapshotEntry::Served(_)));
    let numbers: Vec<u64> = served.map(|(number, _)| *number).collect();
    assert_eq!(numbers, [3, 4]);
    assert_eq!(offer.snapshots[0].entries.len(), 4);
}

#[test]
fn stopping_host_takes_what_ends_in_time() {
    const GRACE_PERIOD: u64 = 10_000;
    const EXIT_MARGIN: u64 = 500;
    struct Case {
        name: &'static str,
        /// Milliseconds since the stop began, until the request is given up, of the longest one
        now: u64,
        limit: u64,
        longest: Option<u64>,
        admits: bool,
    }
    let case = |name, now, limit, longest, admits| Case {
        name,
        now,
        limit,
        longest,
        admits,
    };
    let cases = [
        case("limit within the rest", 6000, 3500, None, true),
        case("limit beyond the rest", 6000, 3600, None, false),
        case("long limit, short requests", 4000, 9000, Some(1000), true),
        case("long limit, long requests", 4000, 9000, Some(5000), false),
        case("long limit, unknown requests", 4000, 9000, None, false),
        case(
            "long limit, short requests, late",
            6000,
            9000,
            Some(100),
            false,
        ),
        case("short limit, long requests", 6000, 1000, Some(5000), true),
        case("after the end", 9600, 1, Some(1), false),
    ];
    let started = Instant::now();
    let millis = Duration::from_millis;
    let grace = Grace::new(started, millis(GRACE_PERIOD), millis(EXIT_MARGIN));
    for case in cases {
        let now = started + millis(case.now);
        let limit = now + millis(case.limit);
        let admits = grace.admits(now, limit, case.longest.map(millis));
        assert_eq!(admits, case.admits, "{}", case.name);
        let closed = grace.closed(now);
        assert!(!closed.admits(now, limit, Some(millis(1))), "{}", case.name);
    }
}

#[test]
fn longest_requests_are_remembered_for_a_while() {
    struct Case {
        name: &'static str,
        /// Seconds and duration in milliseconds of many requests
        requests: &'static [(u64, u64)],
        at: u64,
        expected: Option<u64>,
    }
    const REQUESTS_EACH: usize = 20;
    let cases = [
        Case {
            name: "none",
            requests: &[],
            at: 0,
            expected: None,
        },
        Case {
            name: "longest of several",
            requests: &[(0, 100), (1, 900), (2, 200)],
            at: 3,
            expected: Some(900),
        },
        Case {
            name: "longest of the span before",
            requests: &[(0, 900), (40, 200)],
            at: 45,
            expected: Some(900),
        },
        Case {
            name: "forgotten after two spans",
            requests: &[(0, 900), (40, 200), (75, 300)],
            at: 80,
            expected: Some(300),
        },
        Case {
            name: "no request for long",
            requests: &[(0, 900)],
            at: 100,
            expected: None,
        },
    ];
    let started = Instant::now();
    let route = "r".into();
    for case in cases {
        let mut longest = Longest::default();
        let at = |seconds| started + Duration::from_secs(seconds);
        for (seconds, millis) in case.requests {
            for _ in 0..REQUESTS_EACH {
                longest.record(at(*seconds), &route, Duration::from_millis(*millis));
            }
        }
        let expected = case.expected.map(Duration::from_millis);
        assert_eq!(longest.get(at(case.at), &route), expected, "{}", case.name);
    }
    let mut longest = Longest::default();
    longest.record(started, &route, Duration::from_millis(100));
    assert_eq!(longest.get(started, &route), None, "a single request");
}

#[test]
fn requests_that_run_for_longer_than_any_that_ended_are_overlooked() {
    struct Case {
        name: &'static str,
        /// Duration in milliseconds of the requests that ended
        ended: u64,
        /// Ages in milliseconds of the requests that run
        running: &'static [u64],
        /// Duration in milliseconds that is expected
        expected: u64,
    }
    const ENDED: usize = 20;
    let case = |name, ended, running, expected| Case {
        name,
        ended,
        running,
        expected,
    };
    let cases = [
        case("none runs", 4000, &[], 4000),
        case("younger ones", 4000, &[0, 3900, 4000], 4000),
        case("an older one", 4000, &[100, 4001, 300], 12_003),
        case("several older ones", 100, &[4400, 4400, 4300], 13_200),
        case("one that is a little older", 20, &[5, 25], 75),
    ];
    let now = Instant::now();
    let route = "r".into();
    for case in cases {
        let at = |age| now - Duration::from_millis(age);
        let mut longest = Longest::default();
        for _ in 0..ENDED {
            longest.record(now, &route, Duration::from_millis(case.ended));
        }
        let start = |age: &u64| longest.start(at(*age), &route);
        let starts: Vec<_> = case.running.iter().map(start).collect();
        longest.start(at(9000), &"other".into());
        let expected = Some(Duration::from_millis(case.expected));
        assert_eq!(longest.get(now, &route), expected, "{}", case.name);
        for start in starts {
            longest.end(&route, start);
        }
        let ended = Some(Duration::from_millis(case.ended));
        assert_eq!(longest.get(now, &route), ended, "{}, ended", case.name);
    }
}
