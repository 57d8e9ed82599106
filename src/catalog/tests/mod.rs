//! Tests of endpoints that start, drain, lapse and return.

use super::*;

mod late;

const DRAIN_TIME: Duration = Duration::from_secs(2);

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z1".into(),
        region: "r".into(),
        slots: 3,
        draining: false,
        start_unix_millis: Some(1),
        sequence: 1,
        warmup_remaining: Duration::ZERO,
    }
}

fn usable_ids(catalog: &Catalog) -> Vec<&str> {
    catalog
        .usable(Instant::now(), "s")
        .map(|endpoint| endpoint.id.as_str())
        .collect()
}

#[test]
fn single_removals_end_at_once_and_mass_removals_after_the_grace_period() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        removed: usize,
        /// Endpoints that are usable right after the removals
        usable: usize,
    }
    let cases = [
        Case {
            name: "one of 20",
            endpoints: 20,
            removed: 1,
            usable: 19,
        },
        Case {
            name: "scale-in by a sixth",
            endpoints: 44,
            removed: 7,
            usable: 37,
        },
        Case {
            // The fifth removal, with 16 endpoints left, starts the grace period.
            name: "most entries lapse after an outage of the store",
            endpoints: 20,
            removed: 16,
            usable: 16,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
        for i in 0..case.endpoints {
            catalog.put(now, endpoint(&format!("e{i}")));
        }
        for i in 0..case.removed {
            catalog.remove(now, &format!("e{i}").into());
        }
        assert_eq!(usable_ids(&catalog).len(), case.usable, "{}", case.name);
        catalog.expire(now + LAPSE_GRACE_PERIOD);
        let remaining = case.endpoints - case.removed;
        assert_eq!(usable_ids(&catalog).len(), remaining, "{}", case.name);
    }
}

/// Guards against requests to endpoints that left together while the store answered, which the
/// platform forbids two seconds after the store has acknowledged it
#[test]
fn endpoints_that_left_together_are_used_for_too_long() {
    struct Case {
        name: &'static str,
        /// Time since the end of an outage of the store, if there was one
        outage_ended: Option<Duration>,
        /// Time since the removals, and whether the endpoints are usable then
        usable_after: &'static [(u64, bool)],
    }
    let cases = [
        Case {
            name: "no outage",
            outage_ended: None,
            usable_after: &[(0, true), (1000, true), (1500, false)],
        },
        Case {
            name: "outage that just ended",
            outage_ended: Some(Duration::ZERO),
            usable_after: &[(1500, true), (1900, true), (2000, false)],
        },
        Case {
            name: "outage that ended a second ago",
            outage_ended: Some(Duration::from_secs(1)),
            usable_after: &[(900, true), (1000, false)],
        },
        Case {
            name: "outage long ago",
            outage_ended: Some(Duration::from_secs(9)),
            usable_after: &[(0, true), (1500, false)],
        },
    ];
    for case in cases {
        let outage_end = Instant::now();
        let now = outage_end + case.outage_ended.unwrap_or_default();
        let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
        for i in 0..8 {
            catalog.put(outage_end, endpoint(&format!("e{i}")));
        }
        if case.outage_ended.is_some() {
            catalog.record_outage_end(outage_end);
        }
        for i in 0..8 {
            catalog.remove(now, &format!("e{i}").into());
        }
        for (millis, is_usable) in case.usable_after {
            catalog.expire(now + Duration::from_millis(*millis));
            let usable = !usable_ids(&catalog).is_empty();
            assert_eq!(usable, *is_usable, "{} after {millis} ms", case.name);
        }
    }
}

#[test]
fn lapsed_entry_that_returns_in_time_is_kept() {
    let now = Instant::now();
    let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
    for i in 0..8 {
        catalog.put(now, endpoint(&format!("e{i}")));
    }
    for i in 0..8 {
        catalog.remove(now, &format!("e{i}").into());
    }
    catalog.put(now, endpoint("e7"));
    catalog.expire(now + LAPSE_GRACE_PERIOD);
    assert_eq!(usable_ids(&catalog), ["e7"]);
}

#[test]
fn put_distinguishes_changes_of_an_entry() {
    struct Case {
        name: &'static str,
        change: fn(&mut Endpoint),
        expected: Change,
        usable: bool,
    }
    let cases = [
        Case {
            name: "unchanged",
            change: |_| {},
            expected: Change::Unchanged,
            usable: true,
        },
        Case {
            name: "starts draining",
            change: |endpoint| endpoint.draining = true,
            expected: Change::Updated,
            usable: false,
        },
        Case {
            name: "restarted under its id",
            change: |endpoint| endpoint.start_unix_millis = Some(2),
            expected: Change::Started,
            usable: true,
        },
        Case {
            name: "moved to another service",
            change: |endpoint| endpoint.service = "t".into(),
            expected: Change::Updated,
            usable: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
        catalog.put(now, endpoint("e"));
        let mut changed = endpoint("e");
        (case.change)(&mut changed);
        assert_eq!(catalog.put(now, changed), case.expected, "{}", case.name);
        assert_eq!(
            !usable_ids(&catalog).is_empty(),
            case.usable,
            "{}",
            case.name
        );
    }
}

#[test]
fn endpoints_of_a_restored_zone_are_cold() {
    let now = Instant::now();
    let warmup = Duration::from_secs(3);
    let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
    catalog.put(now, endpoint("e"));
    catalog.set_evacuated_zones(now, ["z1".into()].into(), |_| warmup);
    assert!(usable_ids(&catalog).is_empty());
    catalog.set_evacuated_zones(now, BTreeSet::new(), |_| warmup);
    assert_eq!(usable_ids(&catalog), ["e"]);
    assert!(catalog.is_cold(now, &"e".into()));
    assert!(!catalog.is_cold(now + warmup, &"e".into()));
}

#[test]
fn later_run_at_the_address_is_a_successor() {
    struct Case {
        name: &'static str,
        id: &'static str,
        port: u16,
        start_unix_millis: Option<u64>,
        is_successor: bool,
    }
    let case = Case {
        name: "later run under the same id",
        id: "a",
        port: 80,
        start_unix_millis: Some(2),
        is_successor: true,
    };
    let cases = [
        Case {
            name: "the same run",
            start_unix_millis: Some(1),
            is_successor: false,
            ..case
        },
        Case {
            name: "later run under another id",
            id: "b",
            ..case
        },
        Case {
            name: "earlier run whose entry is still there",
            id: "b",
            start_unix_millis: Some(0),
            is_successor: false,
            ..case
        },
        Case {
            name: "another address",
            id: "b",
            port: 81,
            is_successor: false,
            ..case
        },
        Case {
            name: "unknown start",
            id: "b",
            start_unix_millis: None,
            is_successor: false,
            ..case
        },
        case,
    ];
    for case in cases {
        let run = |id, port, start_unix_millis| Endpoint {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            start_unix_millis,
            ..endpoint(id)
        };
        let mut catalog = Catalog::default();
        catalog.put(
            Instant::now(),
            run(case.id, case.port, case.start_unix_millis),
        );
        let has_successor = catalog.has_successor(&run("a", 80, Some(1)));
        assert_eq!(has_successor, case.is_successor, "{}", case.name);
        let of_unknown_start = catalog.has_successor(&run("a", 80, None));
        assert!(!of_unknown_start, "{}", case.name);
    }
}

#[test]
fn older_entries_of_a_restored_store_do_not_revive_endpoints() {
    struct Case {
        name: &'static str,
        /// State of the endpoint before the restore; `None` if it is gone
        draining_before: Option<bool>,
        /// Run and sequence number of the entry that the restored store lists as ready
        listed: (u64, u64),
        is_usable: bool,
    }
    let cases = [
        Case {
            name: "ready all the while",
            draining_before: Some(false),
            listed: (1, 4),
            is_usable: true,
        },
        Case {
            name: "draining, older entry",
            draining_before: Some(true),
            listed: (1, 4),
            is_usable: false,
        },
        Case {
            name: "draining, next run",
            draining_before: Some(true),
            listed: (2, 1),
            is_usable: true,
        },
        Case {
            name: "gone, older entry",
            draining_before: None,
            listed: (1, 4),
            is_usable: false,
        },
        Case {
            name: "taken for gone, newer entry",
            draining_before: None,
            listed: (1, 9),
            is_usable: true,
        },
        Case {
            name: "gone, next run",
            draining_before: None,
            listed: (2, 1),
            is_usable: true,
        },
    ];
    const PERIOD: Duration = Duration::from_secs(6);
    for case in cases {
        let now = Instant::now();
        let entry = |run, sequence, draining| Endpoint {
            start_unix_millis: Some(run),
            sequence,
            draining,
            ..endpoint("a")
        };
        let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
        catalog.put(now, entry(1, 5, case.draining_before == Some(true)));
        if case.draining_before.is_none() {
            catalog.remove(now, &"a".into());
        }
        catalog.begin_restore(now, PERIOD);
        let listed = entry(case.listed.0, case.listed.1, false);
        catalog.replace(now, vec![listed.clone()]);
        let is_usable = usable_ids(&catalog) == ["a"];
        assert_eq!(is_usable, case.is_usable, "{}", case.name);
        let mut starting = Catalog::with_drain_time(DRAIN_TIME);
        starting.replace(now, vec![listed.clone()]);
        let remaining = catalog.restore_remaining(now);
        starting.adopt_withdrawn(now, catalog.withdrawn(), remaining);
        let is_usable = usable_ids(&starting) == ["a"];
        assert_eq!(is_usable, case.is_usable, "{}, starting host", case.name);
        assert!(!catalog.end_restore(now + PERIOD / 2));
        assert!(catalog.end_restore(now + PERIOD));
        catalog.replace(now + PERIOD, vec![listed]);
        assert_eq!(usable_ids(&catalog), ["a"], "{}: it lives", case.name);
    }
}

#[test]
fn endpoints_that_a_restored_store_lacks_are_used_as_after_an_outage() {
    let now = Instant::now();
    let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
    for id in ["a", "b", "c", "d", "e", "f"] {
        catalog.put(now, endpoint(id));
    }
    catalog.begin_restore(now, Duration::from_secs(6));
    let others = ["b", "c", "d", "e", "f"].map(endpoint).to_vec();
    catalog.replace(now, others);
    assert!(usable_ids(&catalog).contains(&"a"));
    let expired = catalog.expire(now + LAPSE_GRACE_PERIOD);
    assert_eq!(expired, ["a"]);
}

#[test]
fn endpoint_that_says_it_leaves_is_used_only_if_no_other_is_left() {
    let serve_time = DRAIN_TIME.mul_f64(DRAIN_RATIO);
    let now = Instant::now();
    let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
    catalog.put(now, endpoint("a"));
    catalog.put(now, endpoint("b"));
    assert!(catalog.mark_leaving(now, &endpoint("a")));
    assert!(!catalog.mark_leaving(now, &endpoint("a")), "it is known");
    let usable = |catalog: &Catalog, now| -> Vec<EndpointId> {
        let usable = catalog.usable(now, "s");
        usable.map(|endpoint| endpoint.id.clone()).collect()
    };
    assert_eq!(usable(&catalog, now), ["b"]);
    catalog.mark_leaving(now, &endpoint("b"));
    assert_eq!(usable(&catalog, now), ["a", "b"], "all leave");
    assert!(usable(&catalog, now + serve_time).is_empty());
    let next_run = Endpoint {
        start_unix_millis: Some(2),
        ..endpoint("a")
    };
    let is_marked = catalog.mark_leaving(now, &next_run);
    assert!(!is_marked, "the run is not listed");
    catalog.put(now, next_run);
    assert_eq!(usable(&catalog, now + serve_time), ["a"], "the next run");
}

#[test]
fn next_run_of_an_endpoint_is_as_cold_as_its_entry_states() {
    let now = Instant::now();
    let run = |start, warmup_remaining| Endpoint {
        start_unix_millis: Some(start),
        warmup_remaining,
        ..endpoint("a")
    };
    let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
    catalog.put(now, run(1, Duration::ZERO));
    catalog.extend_cold(now, &"a".into(), Duration::from_secs(3600));
    catalog.put(now, run(1, Duration::ZERO));
    assert!(catalog.is_cold(now, &"a".into()), "the same run");
    catalog.put(now, run(2, Duration::ZERO));
    assert!(!catalog.is_cold(now, &"a".into()), "the next run");
    catalog.put(now, run(3, Duration::from_secs(4)));
    assert!(catalog.is_cold(now, &"a".into()), "a run that warms up");
}
