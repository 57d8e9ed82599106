//! Endpoints that come, drain, lapse and return.

use super::*;

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
        warmup_remaining: Duration::ZERO,
    }
}

fn usable(catalog: &Catalog) -> Vec<&str> {
    catalog.usable("s").map(|end| end.id.as_str()).collect()
}

#[test]
fn entries_that_vanish_alone_end_at_once_and_together_after_a_term() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        removed: usize,
        at_once: usize,
    }
    let cases = [
        Case {
            name: "one of twenty",
            endpoints: 20,
            removed: 1,
            at_once: 19,
        },
        Case {
            name: "a scale-in of a sixth",
            endpoints: 44,
            removed: 7,
            at_once: 37,
        },
        Case {
            // The fifth of the sixteen that are left shows that many vanish together.
            name: "most, after an outage of the store",
            endpoints: 20,
            removed: 16,
            at_once: 16,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut catalog = Catalog::new();
        for i in 0..case.endpoints {
            catalog.put(now, endpoint(&format!("e{i}")));
        }
        for i in 0..case.removed {
            catalog.remove(now, &format!("e{i}").into());
        }
        assert_eq!(usable(&catalog).len(), case.at_once, "{}", case.name);
        catalog.expire(now + LAPSE_GRACE_PERIOD);
        let left = case.endpoints - case.removed;
        assert_eq!(usable(&catalog).len(), left, "{}", case.name);
    }
}

#[test]
fn an_entry_that_comes_back_in_time_stays() {
    let now = Instant::now();
    let mut catalog = Catalog::new();
    for i in 0..8 {
        catalog.put(now, endpoint(&format!("e{i}")));
    }
    for i in 0..8 {
        catalog.remove(now, &format!("e{i}").into());
    }
    catalog.put(now, endpoint("e7"));
    catalog.expire(now + LAPSE_GRACE_PERIOD);
    assert_eq!(usable(&catalog), ["e7"]);
}

#[test]
fn changes_of_an_entry_are_told_apart() {
    struct Case {
        name: &'static str,
        change: fn(&mut Endpoint),
        expected: Change,
        usable: bool,
    }
    let cases = [
        Case {
            name: "nothing",
            change: |_| {},
            expected: Change::Unchanged,
            usable: true,
        },
        Case {
            name: "it drains",
            change: |end| end.draining = true,
            expected: Change::Updated,
            usable: false,
        },
        Case {
            name: "started again under its id",
            change: |end| end.start_unix_millis = Some(2),
            expected: Change::Started,
            usable: true,
        },
        Case {
            name: "moved to another service",
            change: |end| end.service = "t".into(),
            expected: Change::Updated,
            usable: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut catalog = Catalog::new();
        catalog.put(now, endpoint("e"));
        let mut changed = endpoint("e");
        (case.change)(&mut changed);
        assert_eq!(catalog.put(now, changed), case.expected, "{}", case.name);
        assert_eq!(!usable(&catalog).is_empty(), case.usable, "{}", case.name);
    }
}

#[test]
fn a_zone_that_was_evacuated_comes_back_cold() {
    let now = Instant::now();
    let warmup = Duration::from_secs(3);
    let mut catalog = Catalog::new();
    catalog.put(now, endpoint("e"));
    catalog.set_evacuated_zones(now, ["z1".into()].into(), |_| warmup);
    assert!(usable(&catalog).is_empty());
    catalog.set_evacuated_zones(now, BTreeSet::new(), |_| warmup);
    assert_eq!(usable(&catalog), ["e"]);
    assert!(catalog.is_cold(now, &"e".into()));
    assert!(!catalog.is_cold(now + warmup, &"e".into()));
}
