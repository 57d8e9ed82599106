//! Tests of watched hosts, store readers, address sampling, demand and lag detection.

use std::net::SocketAddr;

use super::*;

fn member(host: &str, region: &str, last_octet: u8) -> Member {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, last_octet], port));
    Member {
        host: host.into(),
        zone: region.into(),
        region: region.into(),
        caller: address(80),
        peer: address(81),
        control: Some(address(82)),
        incarnation: 1,
        weight: 1.0,
        revision: 7,
    }
}

/// Returns a fleet whose hosts alternate between the regions `a` and `b`
fn fleet(own: &str, host_count: usize) -> Fleet {
    let mut fleet = Fleet::new(own.into());
    let members =
        (0..host_count).map(|i| member(&format!("h{i}"), if i % 2 == 0 { "a" } else { "b" }, 1));
    fleet.replace(Instant::now(), members.collect());
    fleet
}

fn report(host: &str) -> Report {
    Report {
        host: host.into(),
        region: "a".into(),
        ..Report::default()
    }
}

#[test]
fn silence_counts_only_if_other_hosts_report() {
    struct Case {
        name: &'static str,
        others_report: bool,
        paused: bool,
        unresponsive: usize,
    }
    let cases = [
        Case {
            name: "one of four is silent",
            others_report: true,
            paused: false,
            unresponsive: 1,
        },
        Case {
            name: "partitioned, receives no reports",
            others_report: false,
            paused: false,
            unresponsive: 0,
        },
        Case {
            name: "this process was paused",
            others_report: true,
            paused: true,
            unresponsive: 0,
        },
    ];
    for case in cases {
        let mut fleet = fleet("h0", 8);
        let start = Instant::now();
        assert!(
            fleet.unresponsive_members(start).is_empty(),
            "{}",
            case.name
        );
        let watched: Vec<HostId> = fleet
            .successors()
            .iter()
            .map(|member| member.host.clone())
            .collect();
        let after_timeout = start + PING_TIMEOUT + Duration::from_millis(1);
        for host in watched.iter().skip(1).filter(|_| case.others_report) {
            fleet.record_report(after_timeout, &report(host));
        }
        // The host counts its own demand like that of the others.
        fleet.record_report(after_timeout, &report("h0"));
        if case.paused {
            fleet.restart_timeouts(after_timeout);
        }
        assert_eq!(
            fleet.unresponsive_members(after_timeout).len(),
            case.unresponsive,
            "{}",
            case.name
        );
    }
}

#[test]
fn host_that_registers_again_gets_a_full_timeout() {
    for by_full_read in [false, true] {
        let mut fleet = fleet("h0", 4);
        let start = Instant::now();
        fleet.unresponsive_members(start);
        let after_timeout = start + PING_TIMEOUT + Duration::from_millis(1);
        fleet.record_report(after_timeout, &report("h1"));
        let removed = fleet.unresponsive_members(after_timeout);
        assert_eq!(removed.len(), 2);
        let remaining: Vec<Member> = fleet.members().cloned().collect();
        let remaining = remaining
            .into_iter()
            .filter(|member| !removed.contains(member));
        if by_full_read {
            fleet.replace(Instant::now(), remaining.collect());
            let all = fleet.members().cloned().chain(removed.iter().cloned());
            fleet.replace(Instant::now(), all.collect());
        } else {
            for member in &removed {
                fleet.remove(Instant::now(), &member.host);
                fleet.put(Instant::now(), member.clone());
            }
        }
        assert!(
            fleet.unresponsive_members(after_timeout).is_empty(),
            "removed again at once, full read: {by_full_read}"
        );
        assert_eq!(
            fleet
                .unresponsive_members(after_timeout + PING_TIMEOUT + Duration::from_millis(1))
                .len(),
            3
        );
    }
}

#[test]
fn unresponsive_member_counts_again_after_a_report() {
    let now = Instant::now();
    let mut fleet = fleet("h0", 2);
    let mut rng = fastrand::Rng::with_seed(1);
    fleet.mark_unresponsive(now, &"h1".into());
    assert!(
        fleet.sample_addresses("b", 8, &mut rng).len() == 1,
        "falls back to the host of the other region"
    );
    assert!(
        fleet.is_member_address(&"h1".into(), IpAddr::from([127, 0, 0, 1])),
        "its pings are still accepted"
    );
    fleet.record_report(now, &report("h1"));
    assert_eq!(fleet.sample_addresses("", 8, &mut rng).len(), 2);
}

#[test]
fn each_host_is_watched_by_as_many_as_it_watches() {
    for host_count in [2, 5, 30] {
        let mut watchers: BTreeMap<HostId, usize> = BTreeMap::new();
        for own in 0..host_count {
            for watched in fleet(&format!("h{own}"), host_count).successors() {
                *watchers.entry(watched.host.clone()).or_default() += 1;
            }
        }
        let expected = WATCHED_SUCCESSORS.min(host_count - 1);
        assert!(
            watchers.values().all(|count| *count == expected),
            "{host_count} hosts"
        );
    }
}

#[test]
fn silent_reader_is_replaced() {
    let now = Instant::now();
    let timeout = Duration::from_millis(700);
    let mut fleet = fleet("h0", 12);
    for i in 0..12 {
        fleet.record_report(now, &report(&format!("h{i}")));
    }
    let first: Vec<HostId> = fleet
        .readers(now, "a", timeout)
        .iter()
        .map(|member| member.host.clone())
        .collect();
    assert_eq!(first.len(), READERS_PER_REGION);
    let later = now + timeout;
    for i in 0..12 {
        let host = format!("h{i}");
        if host != first[0] {
            fleet.record_report(later, &report(&host));
        }
    }
    let second: Vec<HostId> = fleet
        .readers(later, "a", timeout)
        .iter()
        .map(|member| member.host.clone())
        .collect();
    assert_eq!(second.len(), READERS_PER_REGION);
    let is_own = first[0] == "h0";
    assert_eq!(
        second.contains(&first[0]),
        is_own,
        "a silent reader other than this host is replaced"
    );
}

/// Guards against a weak reader that becomes overloaded when many hosts switch to it at once: its
/// reports are delayed, it appears to have failed, and the hosts switch away again.
#[test]
fn weak_hosts_are_readers_only_if_strong_ones_are_missing() {
    struct Case {
        name: &'static str,
        strong_hosts: usize,
        strong_readers: usize,
    }
    let cases = [
        Case {
            name: "hosts of equal weight",
            strong_hosts: 0,
            strong_readers: 0,
        },
        Case {
            name: "one strong host",
            strong_hosts: 1,
            strong_readers: 1,
        },
        Case {
            name: "enough strong hosts",
            strong_hosts: 4,
            strong_readers: READERS_PER_REGION,
        },
    ];
    let now = Instant::now();
    let timeout = Duration::from_millis(700);
    for case in cases {
        let mut fleet = Fleet::new("x".into());
        let members = (0..20).map(|i| Member {
            weight: if usize::from(i) < case.strong_hosts {
                0.5
            } else {
                0.1
            },
            ..member(&format!("h{i}"), "a", i)
        });
        fleet.replace(Instant::now(), members.collect());
        for i in 0..20 {
            fleet.record_report(now, &report(&format!("h{i}")));
        }
        let readers = fleet.readers(now, "a", timeout);
        assert_eq!(readers.len(), READERS_PER_REGION, "{}", case.name);
        let strong_readers = readers.iter().filter(|member| member.weight > 0.3).count();
        assert_eq!(strong_readers, case.strong_readers, "{}", case.name);
    }
}

#[test]
fn callers_get_hosts_of_their_region_and_heavier_ones_more_often() {
    let mut fleet = Fleet::new("x".into());
    let mut members: Vec<Member> = (0..10).map(|i| member(&format!("h{i}"), "a", i)).collect();
    members[0].weight = 10.0;
    members.push(member("far", "b", 99));
    fleet.replace(Instant::now(), members);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut counts = [0; 100];
    for _ in 0..1000 {
        for address in fleet.sample_addresses("a", 3, &mut rng) {
            let SocketAddr::V4(address) = address else {
                panic!("expected an IPv4 address");
            };
            counts[usize::from(address.ip().octets()[3])] += 1;
        }
    }
    assert_eq!(counts[99], 0, "hosts of the other region are not offered");
    assert!(counts[0] > 2 * counts[1], "{} {}", counts[0], counts[1]);
    assert_eq!(fleet.sample_addresses("nowhere", 64, &mut rng).len(), 11);
}

#[test]
fn hosts_without_a_report_count_with_the_mean_demand() {
    let now = Instant::now();
    let mut fleet = fleet("h0", 8);
    for i in [0, 2] {
        let mut report = report(&format!("h{i}"));
        report.demand.insert("s".into(), 3.0);
        fleet.record_report(now, &report);
    }
    assert_eq!(fleet.demand_by_region(now, "s").get("a"), Some(&12.0));
    assert!(
        fleet
            .demand_by_region(now + Duration::from_secs(60), "s")
            .is_empty()
    );
}

#[test]
fn lagging_host_reads_in_full_once_per_change() {
    enum Step {
        /// Time in milliseconds, local watermark, remote watermark, whether a full read is due
        Observe(u64, Watermark, Watermark, bool),
    }
    use Step::Observe;
    let old = Watermark::new(2, 5);
    let new = Watermark::new(9, 5);
    let removed = Watermark::new(9, 4);
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let cases = [
        Case {
            name: "old watermarks of lagging hosts do not reset the detection",
            steps: vec![
                Observe(0, old, new, false),
                Observe(100, old, old, false),
                Observe(200, old, old, false),
                Observe(360, old, new, true),
            ],
        },
        Case {
            name: "a change triggers one full read",
            steps: vec![
                Observe(0, old, new, false),
                Observe(400, old, new, true),
                Observe(500, old, new, false),
                Observe(2000, old, new, false),
            ],
        },
        Case {
            name: "a removal raises the watermark like a write",
            steps: vec![
                Observe(0, new, removed, false),
                Observe(400, new, removed, true),
            ],
        },
        Case {
            name: "lower revisions of a newer era are ahead",
            steps: vec![
                Observe(0, new, old.with_era(1), false),
                Observe(400, new, old.with_era(1), true),
            ],
        },
        Case {
            name: "higher revisions of an older era are not",
            steps: vec![
                Observe(0, old.with_era(1), new, false),
                Observe(400, old.with_era(1), new, false),
            ],
        },
        Case {
            name: "the host catches up in time",
            steps: vec![
                Observe(0, old, new, false),
                Observe(300, new, new, false),
                Observe(400, new, new, false),
            ],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut detector = LagDetector::new();
        for (index, Observe(at, local, remote, expected)) in case.steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(at);
            assert_eq!(
                detector.observe(now, 0, local, remote, LAG_TOLERANCE),
                expected,
                "{}, step {index}",
                case.name
            );
        }
    }
}

#[test]
fn removed_host_that_a_restored_store_lists_is_not_offered_until_it_reports() {
    struct Case {
        name: &'static str,
        is_restoring: bool,
        incarnation: u64,
        is_offered: bool,
    }
    let cases = [
        Case {
            name: "its run that was removed",
            is_restoring: true,
            incarnation: 1,
            is_offered: false,
        },
        Case {
            name: "its next run",
            is_restoring: true,
            incarnation: 2,
            is_offered: true,
        },
        Case {
            name: "an ordinary list",
            is_restoring: false,
            incarnation: 1,
            is_offered: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = Fleet::new("a".into());
        let gone = Member {
            incarnation: 1,
            ..member("b", "r", 2)
        };
        fleet.put(Instant::now(), gone.clone());
        fleet.remove(now, &gone.host);
        if case.is_restoring {
            fleet.begin_restore(now);
        }
        let listed = Member {
            incarnation: case.incarnation,
            ..gone
        };
        fleet.replace(Instant::now(), vec![listed]);
        let offered = |fleet: &Fleet| {
            let mut rng = fastrand::Rng::with_seed(1);
            !fleet.sample_addresses("r", 8, &mut rng).is_empty()
        };
        assert_eq!(offered(&fleet), case.is_offered, "{}", case.name);
        fleet.record_report(now, &report("b"));
        assert!(offered(&fleet), "{}: it reports", case.name);
    }
}
