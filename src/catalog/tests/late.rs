//! Entries that arrive late, or again after they were missing.

use super::*;

// A write that the store carries out late must not take back what the endpoint wrote after it.
#[test]
fn older_entry_of_the_same_run_takes_back_a_later_one() {
    struct Case {
        name: &'static str,
        start: Option<u64>,
        sequence: u64,
        /// Whether the later entry, which was draining, was removed before
        removed: bool,
        change: Change,
    }
    let usual = Case {
        name: "",
        start: Some(1),
        sequence: 3,
        removed: false,
        change: Change::Outdated,
    };
    let cases = [
        Case {
            name: "older entry",
            ..usual
        },
        Case {
            name: "older entry after the removal",
            removed: true,
            ..usual
        },
        Case {
            name: "later entry",
            sequence: 7,
            change: Change::Updated,
            ..usual
        },
        Case {
            name: "later entry after the removal",
            sequence: 7,
            removed: true,
            change: Change::Updated,
            ..usual
        },
        Case {
            name: "the same entry once more after the removal, as after an outage",
            sequence: 6,
            removed: true,
            change: Change::Updated,
            ..usual
        },
        Case {
            name: "another run, whose counts start anew",
            start: Some(2),
            change: Change::Started,
            ..usual
        },
        Case {
            name: "entry without a number",
            sequence: 0,
            change: Change::Updated,
            ..usual
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
        let later = Endpoint {
            draining: true,
            sequence: 6,
            ..endpoint("i-1")
        };
        catalog.put(now, later.clone());
        if case.removed {
            catalog.remove(now, &later.id);
        }
        let entry = Endpoint {
            start_unix_millis: case.start,
            sequence: case.sequence,
            ..endpoint("i-1")
        };
        assert_eq!(catalog.put(now, entry), case.change, "{}", case.name);
        let is_usable = !usable_ids(&catalog).is_empty();
        assert_eq!(is_usable, case.change != Change::Outdated, "{}", case.name);
    }
}

// An entry that is missing for one heartbeat must not make a host forget that its endpoint leaves.
#[test]
fn endpoint_that_leaves_is_used_again_after_its_entry_was_missing() {
    struct Case {
        name: &'static str,
        start: Option<u64>,
        change: Change,
        is_leaving: bool,
    }
    let cases = [
        Case {
            name: "the same run",
            start: Some(1),
            change: Change::Updated,
            is_leaving: true,
        },
        Case {
            name: "another run",
            start: Some(2),
            change: Change::Started,
            is_leaving: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut catalog = Catalog::with_drain_time(DRAIN_TIME);
        let entry = endpoint("i-1");
        catalog.put(now, entry.clone());
        catalog.put(now, endpoint("i-2"));
        assert!(catalog.mark_leaving(now, &entry), "{}", case.name);
        catalog.remove(now, &entry.id);
        let later = Endpoint {
            start_unix_millis: case.start,
            sequence: 2,
            ..entry
        };
        let change = catalog.put(now, later.clone());
        assert_eq!(change, case.change, "{}", case.name);
        assert_eq!(catalog.is_leaving(&later), case.is_leaving, "{}", case.name);
        let is_usable = usable_ids(&catalog).contains(&"i-1");
        assert_eq!(is_usable, !case.is_leaving, "{}", case.name);
    }
}
