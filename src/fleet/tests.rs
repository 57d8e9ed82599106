//! Who watches whom, who reads the store, who is named, and who is behind.

use std::net::SocketAddr;

use super::*;

fn member(host: &str, region: &str, last: u8) -> Member {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, last], port));
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

fn fleet(own: &str, hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(own.into());
    let list = (0..hosts).map(|i| member(&format!("h{i}"), if i % 2 == 0 { "a" } else { "b" }, 1));
    fleet.replace(list.collect());
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
fn a_silent_host_is_told_only_by_hosts_that_hear_others() {
    struct Case {
        name: &'static str,
        heard: bool,
        paused: bool,
        silent: usize,
    }
    let cases = [
        Case {
            name: "one of four is silent",
            heard: true,
            paused: false,
            silent: 1,
        },
        Case {
            name: "cut off, hears nobody",
            heard: false,
            paused: false,
            silent: 0,
        },
        Case {
            name: "was paused itself",
            heard: true,
            paused: true,
            silent: 0,
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
        let watched: Vec<HostId> = fleet.successors().iter().map(|m| m.host.clone()).collect();
        let late = start + PING_TIMEOUT + Duration::from_millis(1);
        for host in watched.iter().skip(1).filter(|_| case.heard) {
            fleet.record_report(late, &report(host));
        }
        if case.paused {
            fleet.restart_timeouts(late);
        }
        assert_eq!(
            fleet.unresponsive_members(late).len(),
            case.silent,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_host_that_comes_back_gets_its_time_to_be_heard() {
    for by_list in [false, true] {
        let mut fleet = fleet("h0", 4);
        let start = Instant::now();
        fleet.unresponsive_members(start);
        let late = start + PING_TIMEOUT + Duration::from_millis(1);
        fleet.record_report(late, &report("h1"));
        let gone = fleet.unresponsive_members(late);
        assert_eq!(gone.len(), 2);
        let rest: Vec<Member> = fleet.members().cloned().collect();
        let rest = rest.into_iter().filter(|member| !gone.contains(member));
        if by_list {
            fleet.replace(rest.collect());
            let all = fleet.members().cloned().chain(gone.iter().cloned());
            fleet.replace(all.collect());
        } else {
            for member in &gone {
                fleet.remove(&member.host);
                fleet.put(member.clone());
            }
        }
        assert!(
            fleet.unresponsive_members(late).is_empty(),
            "withdrawn again at once, list: {by_list}"
        );
        assert_eq!(
            fleet
                .unresponsive_members(late + PING_TIMEOUT + Duration::from_millis(1))
                .len(),
            3
        );
    }
}

#[test]
fn a_silent_host_whose_entry_stays_counts_again_once_it_is_heard() {
    let now = Instant::now();
    let mut fleet = fleet("h0", 2);
    let mut rng = fastrand::Rng::with_seed(1);
    fleet.mark_unresponsive(now, &"h1".into());
    assert!(
        fleet.sample_addresses("b", 8, &mut rng).len() == 1,
        "only the other region's host"
    );
    assert!(
        fleet.is_member_address(&"h1".into(), IpAddr::from([127, 0, 0, 1])),
        "its pings count"
    );
    fleet.record_report(now, &report("h1"));
    assert_eq!(fleet.sample_addresses("", 8, &mut rng).len(), 2);
}

#[test]
fn each_host_is_watched_by_as_many_as_it_watches() {
    for hosts in [2, 5, 30] {
        let mut watchers: BTreeMap<HostId, usize> = BTreeMap::new();
        for own in 0..hosts {
            for watched in fleet(&format!("h{own}"), hosts).successors() {
                *watchers.entry(watched.host.clone()).or_default() += 1;
            }
        }
        let expected = WATCHED_SUCCESSORS.min(hosts - 1);
        assert!(
            watchers.values().all(|count| *count == expected),
            "{hosts} hosts"
        );
    }
}

#[test]
fn readers_are_hosts_that_were_heard() {
    let now = Instant::now();
    let term = Duration::from_millis(700);
    let mut fleet = fleet("h0", 12);
    for i in 0..12 {
        fleet.record_report(now, &report(&format!("h{i}")));
    }
    let first: Vec<HostId> = fleet
        .readers(now, "a", term)
        .iter()
        .map(|m| m.host.clone())
        .collect();
    assert_eq!(first.len(), READERS_PER_REGION);
    let later = now + term;
    for i in 0..12 {
        let host = format!("h{i}");
        if host != first[0] {
            fleet.record_report(later, &report(&host));
        }
    }
    let second: Vec<HostId> = fleet
        .readers(later, "a", term)
        .iter()
        .map(|m| m.host.clone())
        .collect();
    assert_eq!(second.len(), READERS_PER_REGION);
    let kept = first[0] == "h0";
    assert_eq!(
        second.contains(&first[0]),
        kept,
        "a silent reader is replaced"
    );
}

/// A weak reader that many hosts turn to at once falls silent, and they turn away again
#[test]
fn weak_hosts_are_readers_only_where_strong_ones_lack() {
    struct Case {
        name: &'static str,
        strong: usize,
        /// Strong hosts among the readers
        chosen: usize,
    }
    let cases = [
        Case {
            name: "all alike",
            strong: 0,
            chosen: 0,
        },
        Case {
            name: "one strong host",
            strong: 1,
            chosen: 1,
        },
        Case {
            name: "enough strong hosts",
            strong: 4,
            chosen: READERS_PER_REGION,
        },
    ];
    let now = Instant::now();
    let term = Duration::from_millis(700);
    for case in cases {
        let mut fleet = Fleet::new("x".into());
        let list = (0..20).map(|i| Member {
            weight: if usize::from(i) < case.strong {
                0.5
            } else {
                0.1
            },
            ..member(&format!("h{i}"), "a", i)
        });
        fleet.replace(list.collect());
        for i in 0..20 {
            fleet.record_report(now, &report(&format!("h{i}")));
        }
        let readers = fleet.readers(now, "a", term);
        assert_eq!(readers.len(), READERS_PER_REGION, "{}", case.name);
        let strong = readers.iter().filter(|member| member.weight > 0.3).count();
        assert_eq!(strong, case.chosen, "{}", case.name);
    }
}

#[test]
fn callers_hear_of_their_region_and_of_strong_hosts_more_often() {
    let mut fleet = Fleet::new("x".into());
    let mut list: Vec<Member> = (0..10).map(|i| member(&format!("h{i}"), "a", i)).collect();
    list[0].weight = 10.0;
    list.push(member("far", "b", 99));
    fleet.replace(list);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut named = [0; 100];
    for _ in 0..1000 {
        for address in fleet.sample_addresses("a", 3, &mut rng) {
            let SocketAddr::V4(address) = address else {
                panic!("no v4 address");
            };
            named[usize::from(address.ip().octets()[3])] += 1;
        }
    }
    assert_eq!(named[99], 0, "the other region is not named");
    assert!(named[0] > 2 * named[1], "{} {}", named[0], named[1]);
    assert_eq!(fleet.sample_addresses("nowhere", 64, &mut rng).len(), 11);
}

#[test]
fn demand_counts_silent_hosts_as_the_mean() {
    let now = Instant::now();
    let mut fleet = fleet("h0", 8);
    for i in [0, 2] {
        let mut told = report(&format!("h{i}"));
        told.demand.insert("s".into(), 3.0);
        fleet.record_report(now, &told);
    }
    assert_eq!(fleet.demand_by_region(now, "s").get("a"), Some(&12.0));
    assert!(
        fleet
            .demand_by_region(now + Duration::from_secs(60), "s")
            .is_empty()
    );
}

#[test]
fn a_host_that_is_behind_reads_afresh_once_for_each_change() {
    enum Step {
        /// Milliseconds, own stamp, their stamp, whether a fresh read follows
        Hear(u64, Watermark, Watermark, bool),
    }
    use Step::Hear;
    let old = Watermark::new(2, 5);
    let new = Watermark::new(9, 5);
    let removed = Watermark::new(9, 4);
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let cases = [
        Case {
            name: "hosts that are behind themselves do not reset the mark",
            steps: vec![
                Hear(0, old, new, false),
                Hear(100, old, old, false),
                Hear(200, old, old, false),
                Hear(360, old, new, true),
            ],
        },
        Case {
            name: "one read for one change",
            steps: vec![
                Hear(0, old, new, false),
                Hear(400, old, new, true),
                Hear(500, old, new, false),
                Hear(2000, old, new, false),
            ],
        },
        Case {
            name: "a removal counts like a write",
            steps: vec![Hear(0, new, removed, false), Hear(400, new, removed, true)],
        },
        Case {
            name: "caught up in time",
            steps: vec![
                Hear(0, old, new, false),
                Hear(300, new, new, false),
                Hear(400, new, new, false),
            ],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut lag = LagDetector::new();
        for (index, Hear(at, own, theirs, reads)) in case.steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(at);
            assert_eq!(
                lag.observe(now, 0, own, theirs),
                reads,
                "{}, step {index}",
                case.name
            );
        }
    }
}
