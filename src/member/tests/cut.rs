//! Slots when hosts of a zone cannot hear one another.

use std::collections::BTreeSet;
use std::time::Instant;

use proptest::prelude::*;

use super::{beat, listed, seconds};
use crate::member::{HEARTBEAT_TIMEOUT, HostInfo, View};
use crate::util;

const SLOTS: u32 = 3;
const ENDPOINTS: usize = 5;

/// Views of hosts of one zone after those of other sides fell silent
fn views(sides: &[usize]) -> Vec<View> {
    let start = Instant::now();
    let names: Vec<String> = (0..sides.len()).map(|n| format!("a-{n}")).collect();
    let hosts: Vec<HostInfo> = names.iter().map(|name| listed(name)).collect();
    let mut views: Vec<View> = names
        .iter()
        .map(|name| View::new(start, listed(name)))
        .collect();
    for view in &mut views {
        view.apply_list(start, &hosts);
    }
    for step in 0..10 {
        let now = start + HEARTBEAT_TIMEOUT.mul_f64(0.25 * f64::from(step));
        for (own, view) in views.iter_mut().enumerate() {
            let together = step < 4;
            let heard = names.iter().enumerate();
            let heard = heard.filter(|(other, _)| together || sides[*other] == sides[own]);
            for (_, name) in heard.filter(|(other, _)| *other != own) {
                view.record_heartbeat(now, &beat(name, 5));
            }
            view.tick(now);
        }
    }
    let end = start + HEARTBEAT_TIMEOUT.mul_f64(2.4);
    for view in &mut views {
        view.tick(end);
    }
    views
}

/// Slots of all endpoints that owners use at the same time
fn used(views: &[View], limit: impl Fn(&View, &str) -> u32) -> Vec<u32> {
    let zone = "a".into();
    let service = "turni".into();
    let owners: Vec<&View> = views
        .iter()
        .filter(|view| {
            let owner = view.owner(&zone, &service);
            owner.is_some_and(|owner| owner.info.host == *view.own_host())
        })
        .collect();
    let endpoints = (0..ENDPOINTS).map(|n| format!("e-{n}"));
    endpoints
        .map(|endpoint| owners.iter().map(|view| limit(view, &endpoint)).sum())
        .collect()
}

fn usable(view: &View, endpoint: &str) -> u32 {
    view.usable_slots(&"turni".into(), &endpoint.into(), SLOTS)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn two_sides_of_a_cut_never_use_the_same_slot(
        sides in proptest::collection::vec(0..3_usize, 2..12),
    ) {
        let views = views(&sides);
        for used in used(&views, usable) {
            prop_assert!(used <= SLOTS, "{sides:?}: {used} of {SLOTS} slots");
        }
    }
}

#[test]
fn all_slots_of_a_whole_zone_are_used() {
    for count in [1, 2, 3, 12, 36] {
        let views = views(&vec![0; count]);
        assert_eq!(
            used(&views, usable),
            vec![SLOTS; ENDPOINTS],
            "{count} hosts"
        );
    }
}

/// Ways to use slots while hosts cannot hear one another: what each uses and loses
#[test]
fn ways_to_use_slots_in_a_cut_compared() {
    struct Case {
        what: &'static str,
        limit: fn(&View, &str) -> u32,
        never_over: bool,
        serves: bool,
    }
    let cases = [
        Case {
            what: "each owner uses all slots",
            limit: |_, _| SLOTS,
            never_over: false,
            serves: true,
        },
        Case {
            what: "a contested owner stops",
            limit: |view, _| if view.may_be_partitioned() { 0 } else { SLOTS },
            never_over: true,
            serves: false,
        },
        Case {
            what: "only the side with more than half goes on",
            limit: |view, _| {
                let zone = view.zone().clone();
                let all = view.zone_peers().count() + 1;
                let majority = 2 * view.live_hosts(&zone).count() > all;
                if majority { SLOTS } else { 0 }
            },
            never_over: true,
            serves: false,
        },
        Case {
            what: "each side uses the slots of the hosts that it hears",
            limit: usable,
            never_over: true,
            serves: true,
        },
    ];
    let cuts: [&[usize]; 3] = [&[0, 1], &[0, 0, 1], &[0, 0, 0, 0, 1, 1]];
    for case in cases {
        let totals = cuts.map(|sides| used(&views(sides), case.limit));
        let over = totals.iter().flatten().any(|used| *used > SLOTS);
        let serves = totals.iter().all(|used| used.iter().sum::<u32>() > 0);
        println!("{}: {totals:?} of {SLOTS} each", case.what);
        assert_eq!(over, !case.never_over, "{}", case.what);
        assert_eq!(serves, case.serves, "{}", case.what);
    }
}

#[test]
fn a_silent_host_costs_its_part_until_the_list_drops_it() {
    let start = Instant::now();
    let mut view = View::new(start, listed("a-1"));
    view.apply_list(start, &["a-1", "a-2"].map(listed));
    view.record_heartbeat(start, &beat("a-2", 5));
    let total = |view: &View| -> u32 {
        let endpoints = (0..100).map(|n| format!("e-{n}"));
        endpoints.map(|endpoint| usable(view, &endpoint)).sum()
    };
    assert_eq!(total(&view), 300);
    view.tick(start + seconds(1.5));
    view.tick(start + seconds(2.5));
    for endpoint in (0..100).map(|n| format!("e-{n}")) {
        let left = usable(&view, &endpoint);
        assert!((1..SLOTS).contains(&left), "{left} slots of {endpoint}");
    }
    let contested = total(&view);
    assert!((100..200).contains(&contested), "{contested} of 300");
    view.apply_list(start + seconds(3.0), &[listed("a-1")]);
    view.tick(start + seconds(3.1));
    assert_eq!(total(&view), 300);
}

#[test]
fn duties_are_even() {
    let hosts: BTreeSet<String> = (0..12).map(|n| format!("a-{n}")).collect();
    for host in &hosts {
        let own = (0..1200).filter(|n| util::rendezvous(n, &hosts) == Some(host));
        let count = own.count();
        assert!((60..150).contains(&count), "{host} has {count} of 1200");
    }
}
