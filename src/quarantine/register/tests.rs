//! Records of crashes: refusals by their number, merging, and what a whole fleet learns in time.

mod simulation;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::*;
use crate::quarantine::doubt::DOUBT_TTL;

const KEY: Key = 7;

fn record(crashed: &[EndpointRun], age: Duration) -> Record {
    Record {
        crashed: crashed.iter().copied().collect(),
        cleared: BTreeSet::new(),
        age,
    }
}

#[test]
fn refusals_grow_with_the_number_of_crashes() {
    struct Case {
        name: &'static str,
        crashed: &'static [EndpointRun],
        /// Seconds after the last crash at which the request is refused and accepted
        refused_at: Option<u64>,
        accepted_at: u64,
    }
    let cases = [
        Case {
            name: "one crash",
            crashed: &[1],
            refused_at: None,
            accepted_at: 0,
        },
        Case {
            name: "one crash, seen twice",
            crashed: &[1, 1],
            refused_at: None,
            accepted_at: 0,
        },
        Case {
            name: "two crashes",
            crashed: &[1, 2],
            refused_at: Some(5),
            accepted_at: 10,
        },
        Case {
            name: "three crashes",
            crashed: &[1, 2, 3],
            refused_at: Some(3500),
            accepted_at: 5800,
        },
        Case {
            name: "more crashes",
            crashed: &[1, 2, 3, 4, 5],
            refused_at: Some(86_000),
            accepted_at: 140_000,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut register = Register::new();
        for run in case.crashed {
            register.record_crash(now, KEY, *run);
        }
        let is_refused = |seconds| {
            let later = now + Duration::from_secs(seconds);
            register.retry_after(later, KEY, 1.0).is_some()
        };
        assert!(case.refused_at.is_none_or(is_refused), "{}", case.name);
        assert!(!is_refused(case.accepted_at), "{}", case.name);
    }
}

#[test]
fn records_merge_in_any_order_to_the_same_refusal() {
    struct Case {
        name: &'static str,
        merged: &'static [&'static [EndpointRun]],
        crashes: usize,
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "the same record twice",
            merged: &[&[1], &[1]],
            crashes: 1,
            is_refused: false,
        },
        Case {
            name: "two hosts saw one crash each",
            merged: &[&[1], &[2]],
            crashes: 2,
            is_refused: true,
        },
        Case {
            name: "late news of the first crash",
            merged: &[&[1, 2, 3], &[1], &[2]],
            crashes: 3,
            is_refused: true,
        },
        Case {
            name: "more crashes than are collected",
            merged: &[&[1, 2, 3], &[4, 5, 6]],
            crashes: MAX_CRASHES,
            is_refused: true,
        },
        Case {
            name: "empty record",
            merged: &[&[]],
            crashes: 0,
            is_refused: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        for is_reversed in [false, true] {
            let mut register = Register::new();
            let mut merged: Vec<_> = case.merged.to_vec();
            if is_reversed {
                merged.reverse();
            }
            for crashed in merged {
                let news = record(crashed, Duration::ZERO);
                register.merge(now, KEY, &news, Source::Region, Duration::ZERO);
            }
            let crashes = register.entries.get(&KEY);
            let crashes = crashes.map_or(0, |entry| entry.crashed.len());
            assert_eq!(crashes, case.crashes, "{}", case.name);
            let is_refused = register.retry_after(now, KEY, 1.0).is_some();
            assert_eq!(is_refused, case.is_refused, "{}", case.name);
        }
    }
}

/// Guards against a request that is refused for long because it ran beside one that crashes endpoints
#[test]
fn success_ends_the_record_of_a_request() {
    let now = Instant::now();
    let later = now + SUCCESS_TTL;
    let mut register = Register::new();
    register.record_crash(now, KEY, 1);
    register.record_crash(now, KEY, 2);
    assert!(register.record_success(now, KEY));
    assert_eq!(register.retry_after(now, KEY, 1.0), None);
    let stale = record(&[1, 2], Duration::ZERO);
    assert!(!register.merge(now, KEY, &stale, Source::Region, Duration::ZERO));
    assert!(register.is_cleared(KEY, &stale.crashed));
    let (_, news) = register.news(now, true).remove(0);
    let mut other = Register::new();
    other.merge(now, KEY, &stale, Source::Store, Duration::ZERO);
    assert!(other.merge(now, KEY, &news, Source::Region, Duration::ZERO));
    assert_eq!(other.retry_after(now, KEY, 1.0), None);
    assert_eq!(register.record_crash(now, KEY, 3), 0);
    assert_eq!(register.record_crash(later, KEY, 4), 1);
}

#[test]
fn deleted_and_missing_records_are_dropped() {
    let now = Instant::now();
    let news = record(&[1, 2, 3], Duration::ZERO);
    let mut register = Register::new();
    for key in 0..4 {
        let source = match key {
            0 => Source::Region,
            _ => Source::Store,
        };
        register.merge(now, key, &news, source, Duration::ZERO);
    }
    register.record_crash(now, 3, 4);
    register.retain_stored(&BTreeSet::from([2]));
    let is_kept: Vec<bool> = (0..4)
        .map(|key| register.entries.contains_key(&key))
        .collect();
    // The store does not hold 0, and not all of 3, so their absence from a list tells nothing.
    assert_eq!(is_kept, [true, false, true, true]);
    assert!(register.merge(now, 1, &news, Source::Store, Duration::ZERO));
    register.forget(2);
    assert!(!register.merge(now, 2, &news, Source::Region, Duration::ZERO));
    assert_eq!(register.retry_after(now, 2, 1.0), None);
}

#[test]
fn old_records_count_from_their_last_crash() {
    let now = Instant::now();
    let age = Duration::from_secs(3000);
    let mut register = Register::new();
    register.merge(now, KEY, &record(&[1, 2, 3], age), Source::Store, age);
    let remaining = register.retry_after(now, KEY, 1.0).expect("is refused");
    assert!(
        remaining <= Duration::from_secs(5760) - age,
        "{remaining:?}"
    );
    register.expire(now + RECORD_TTL - age);
    assert!(register.entries.is_empty());
}

/// Guards against a record in the store that comes back as a refusal, since the success after it was
/// forgotten
#[test]
fn success_long_after_the_last_crash_is_remembered() {
    let succeeded_at = Instant::now();
    let mut register = Register::new();
    let stored = record(&[1, 2], 2 * SUSPECT_TTL);
    register.merge(succeeded_at, KEY, &stored, Source::Store, Duration::ZERO);
    assert!(register.record_success(succeeded_at, KEY));
    let later = succeeded_at + 2 * SUCCESS_TTL;
    register.expire(later);
    register.merge(later, KEY, &stored, Source::Store, Duration::ZERO);
    assert_eq!(register.crash_count(KEY), 0);
    register.expire(succeeded_at + SUSPECT_TTL);
    assert!(register.entries.is_empty(), "it is remembered for ever");
}

#[test]
fn register_is_bounded_and_keeps_the_requests_with_most_crashes() {
    let now = Instant::now();
    let mut register = Register::new();
    register.record_crash(now, KEY, 1);
    register.record_crash(now, KEY, 2);
    for key in 100..100 + 2 * MAX_KEYS as u64 {
        register.record_crash(now, key, 1);
    }
    assert!(register.entries.len() <= MAX_KEYS);
    assert!(register.retry_after(now, KEY, 1.0).is_some());
}

/// Guards against crashes that are not counted, as the endpoint falls silent instead of closing its
/// connections
#[test]
fn new_run_at_the_address_of_a_silent_endpoint_shows_a_crash() {
    struct Case {
        name: &'static str,
        started: EndpointRun,
        port: u16,
        after: Duration,
        is_crash: bool,
    }
    let case = Case {
        name: "another run at the address",
        started: 2,
        port: 80,
        after: Duration::from_secs(3),
        is_crash: true,
    };
    let cases = [
        Case {
            name: "the same run",
            started: 1,
            is_crash: false,
            ..case
        },
        Case {
            name: "another address",
            port: 81,
            is_crash: false,
            ..case
        },
        Case {
            name: "much later",
            after: DOUBT_TTL,
            is_crash: false,
            ..case
        },
        case,
    ];
    for case in cases {
        let now = Instant::now();
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let mut register = Register::new();
        let keys = Keys::new("7", "POST", "/renew", b"");
        register.record_silence(now, keys, 1, address(80));
        let later = now + case.after;
        let crashed = register.record_endpoint_start(later, case.started, address(case.port));
        assert_eq!(!crashed.is_empty(), case.is_crash, "{}", case.name);
        let crashes = register.crash_count(keys.exact());
        assert_eq!(crashes > 0, case.is_crash, "{}", case.name);
    }
}

#[test]
fn suspects_are_not_placed_beside_each_other() {
    let now = Instant::now();
    let mut register = Register::new();
    for key in [1, 2] {
        register.record_crash(now, key, 10 + key);
        register.record_start(key, 20 + key);
    }
    assert_eq!(register.excluded_runs(&[1]), BTreeSet::from([11, 22]));
    assert_eq!(register.excluded_runs(&[2]), BTreeSet::from([12, 21]));
    assert_eq!(register.excluded_runs(&[3]), BTreeSet::new());
    register.record_end(2, 22);
    assert_eq!(register.excluded_runs(&[1]), BTreeSet::from([11]));
}
