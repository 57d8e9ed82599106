//! Tests of slot ownership while a zone is partitioned, so that its hosts receive no heartbeats from
//! each other.

use std::collections::BTreeSet;
use std::time::Instant;

use proptest::prelude::*;

use super::{heartbeat, host_info, seconds};
use crate::member::{HEARTBEAT_TIMEOUT, HostInfo, View};
use crate::util;

const SLOTS: u32 = 3;
const ENDPOINTS: usize = 5;

/// Returns the views of the hosts of a zone after a partition into sides
///
/// `sides` holds the side of each host.
fn views(sides: &[usize]) -> Vec<View> {
    let start = Instant::now();
    let names: Vec<String> = (0..sides.len()).map(|n| format!("a-{n}")).collect();
    let list: Vec<HostInfo> = names.iter().map(|name| host_info(name)).collect();
    let mut views: Vec<View> = names
        .iter()
        .map(|name| View::new(start, host_info(name)))
        .collect();
    for view in &mut views {
        view.apply_list(start, &list);
    }
    for step in 0..10 {
        let now = start + HEARTBEAT_TIMEOUT.mul_f64(0.25 * f64::from(step));
        for (own, view) in views.iter_mut().enumerate() {
            let connected = step < 4;
            let reachable = names.iter().enumerate();
            let reachable = reachable.filter(|(other, _)| connected || sides[*other] == sides[own]);
            for (_, name) in reachable.filter(|(other, _)| *other != own) {
                view.record_heartbeat(now, &heartbeat(name, 5));
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

/// Returns for each endpoint how many slots the owners in all views use in total
fn used_slots(views: &[View], limit: impl Fn(&View, &str) -> u32) -> Vec<u32> {
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

fn usable_slots(view: &View, endpoint: &str) -> u32 {
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
    fn sides_of_a_partition_never_use_the_same_slot(
        sides in proptest::collection::vec(0..3_usize, 2..12),
    ) {
        let views = views(&sides);
        for used in used_slots(&views, usable_slots) {
            prop_assert!(used <= SLOTS, "{sides:?}: {used} of {SLOTS} slots");
        }
    }
}

#[test]
fn zone_without_partition_uses_all_slots() {
    for host_count in [1, 2, 3, 12, 36] {
        let views = views(&vec![0; host_count]);
        assert_eq!(
            used_slots(&views, usable_slots),
            vec![SLOTS; ENDPOINTS],
            "{host_count} hosts"
        );
    }
}

/// Compares policies for slots during a partition: whether one uses a slot twice, and whether each
/// partition leaves some slots in use
#[test]
fn slot_policies_during_a_partition() {
    struct Case {
        name: &'static str,
        limit: fn(&View, &str) -> u32,
        never_overcommits: bool,
        always_serves: bool,
    }
    let cases = [
        Case {
            name: "each owner uses all slots",
            limit: |_, _| SLOTS,
            never_overcommits: false,
            always_serves: true,
        },
        Case {
            name: "an owner stops while the zone may be partitioned",
            limit: |view, _| if view.may_be_partitioned() { 0 } else { SLOTS },
            never_overcommits: true,
            always_serves: false,
        },
        Case {
            name: "only the majority side continues",
            limit: |view, _| {
                let zone = view.zone().clone();
                let host_count = view.zone_peers().count() + 1;
                let is_majority = 2 * view.live_hosts(&zone).count() > host_count;
                if is_majority { SLOTS } else { 0 }
            },
            never_overcommits: true,
            always_serves: false,
        },
        Case {
            name: "each side uses the slots assigned to its live hosts",
            limit: usable_slots,
            never_overcommits: true,
            always_serves: true,
        },
    ];
    let partitions: [&[usize]; 3] = [&[0, 1], &[0, 0, 1], &[0, 0, 0, 0, 1, 1]];
    for case in cases {
        let totals = partitions.map(|sides| used_slots(&views(sides), case.limit));
        let overcommits = totals.iter().flatten().any(|used| *used > SLOTS);
        let serves = totals.iter().all(|used| used.iter().sum::<u32>() > 0);
        println!("{}: {totals:?} of {SLOTS} each", case.name);
        assert_eq!(overcommits, !case.never_overcommits, "{}", case.name);
        assert_eq!(serves, case.always_serves, "{}", case.name);
    }
}

#[test]
fn silent_host_reduces_usable_slots_until_it_is_unlisted() {
    let start = Instant::now();
    let mut view = View::new(start, host_info("a-1"));
    view.apply_list(start, &["a-1", "a-2"].map(host_info));
    view.record_heartbeat(start, &heartbeat("a-2", 5));
    let total_slots = |view: &View| -> u32 {
        let endpoints = (0..100).map(|n| format!("e-{n}"));
        endpoints
            .map(|endpoint| usable_slots(view, &endpoint))
            .sum()
    };
    assert_eq!(total_slots(&view), 300);
    view.tick(start + seconds(1.5));
    view.tick(start + seconds(2.5));
    for endpoint in (0..100).map(|n| format!("e-{n}")) {
        let usable = usable_slots(&view, &endpoint);
        assert!((1..SLOTS).contains(&usable), "{usable} slots of {endpoint}");
    }
    let usable = total_slots(&view);
    assert!((100..200).contains(&usable), "{usable} of 300");
    view.apply_list(start + seconds(3.0), &[host_info("a-1")]);
    view.tick(start + seconds(3.1));
    assert_eq!(total_slots(&view), 300);
}

#[test]
fn duties_are_evenly_distributed() {
    let hosts: BTreeSet<String> = (0..12).map(|n| format!("a-{n}")).collect();
    for host in &hosts {
        let duties = (0..1200).filter(|n| util::rendezvous(n, &hosts) == Some(host));
        let count = duties.count();
        assert!(
            (60..150).contains(&count),
            "{host} has {count} of 1200 duties"
        );
    }
}
