//! Tests of who reads the store for a region.

use std::net::SocketAddr;

use super::*;
use crate::fleet::{Report, load_report_interval};

/// Timeout that the hosts state with their heartbeats
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

fn member(number: u16, zone: &str, weight: f64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    Member {
        host: format!("h{number}").into(),
        zone: zone.into(),
        region: "north".into(),
        caller: address,
        peer: address,
        control: Some(address),
        incarnation: 1,
        weight,
        revision: 1,
    }
}

fn report_all(fleet: &mut Fleet, now: Instant, silent: &[HostId]) {
    let hosts: Vec<HostId> = fleet.members().map(|member| member.host.clone()).collect();
    for host in hosts.into_iter().filter(|host| !silent.contains(host)) {
        let report = Report {
            host,
            region: "north".into(),
            ..Report::default()
        };
        fleet.record_report(now, &report);
    }
}

fn names(members: &[&Member]) -> Vec<HostId> {
    members.iter().map(|member| member.host.clone()).collect()
}

/// Guards against followers that notice a silent reader the later the more hosts report to them
#[test]
fn silent_readers_are_left_in_the_same_time_in_a_region_of_any_size() {
    struct Case {
        name: &'static str,
        hosts: u16,
        /// Whether the readers said with their last heartbeat that they are followed no more
        says_so: bool,
        /// Whether the readers are left when the timeout of their heartbeats has passed
        is_left: bool,
    }
    let case = |name, hosts, says_so, is_left| Case {
        name,
        hosts,
        says_so,
        is_left,
    };
    let cases = [
        case("six hosts", 6, false, true),
        case("a large site", 65, false, true),
        case("a region in two years", 104, false, true),
        case("a larger one", 400, false, true),
        case("no heartbeats are due any more", 65, true, false),
    ];
    for case in cases {
        let start = Instant::now();
        let mut fleet = Fleet::new("observer".into());
        let members = (0..case.hosts).map(|number| member(number, "north-a", 1.0));
        fleet.replace(start, members.collect());
        report_all(&mut fleet, start, &[]);
        let report_timeout = load_report_interval(usize::from(case.hosts)) * 4;
        let first = names(&fleet.readers(start, "north", report_timeout));
        for host in &first {
            fleet.record_store_reader(start, host);
            fleet.record_heartbeat(start, host, HEARTBEAT_TIMEOUT);
            if case.says_so {
                fleet.forget_heartbeats(host);
            }
        }
        let before = start + HEARTBEAT_TIMEOUT - Duration::from_millis(1);
        report_all(&mut fleet, before, &first);
        if report_timeout > HEARTBEAT_TIMEOUT {
            let readers = names(&fleet.readers(before, "north", report_timeout));
            assert_eq!(readers, first, "{}: before the timeout", case.name);
        }
        let after = start + HEARTBEAT_TIMEOUT;
        let readers = names(&fleet.readers(after, "north", report_timeout));
        assert_eq!(readers.len(), READERS_PER_REGION, "{}", case.name);
        let is_left = readers.iter().all(|host| !first.contains(host));
        assert_eq!(is_left, case.is_left, "{}: {readers:?}", case.name);
        let substitutes = fleet.store_readers(after).count();
        let expected = if case.is_left { 0 } else { READERS_PER_REGION };
        assert_eq!(substitutes, expected, "{}: substitutes", case.name);
    }
}

/// Guards against a zone whose loss takes all readers of its region
#[test]
fn readers_of_a_region_are_in_different_zones() {
    struct Case {
        name: &'static str,
        /// Zone and weight of the hosts, in turn
        hosts: &'static [(&'static str, f64)],
        expected_zones: usize,
    }
    let cases = [
        Case {
            name: "two zones",
            hosts: &[("a", 1.0), ("b", 1.0)],
            expected_zones: 2,
        },
        Case {
            name: "three zones",
            hosts: &[("a", 1.0), ("b", 1.0), ("c", 1.0)],
            expected_zones: 2,
        },
        Case {
            name: "one zone",
            hosts: &[("a", 1.0)],
            expected_zones: 1,
        },
        Case {
            name: "only weak hosts in the second zone",
            hosts: &[("a", 1.0), ("b", 0.2)],
            expected_zones: 1,
        },
    ];
    for case in cases {
        for hosts in [12, 30, 65] {
            let now = Instant::now();
            let mut fleet = Fleet::new("observer".into());
            let kinds = case.hosts.iter().cycle();
            let members = (0..hosts)
                .zip(kinds)
                .map(|(number, (zone, weight))| member(number, zone, *weight));
            fleet.replace(now, members.collect());
            report_all(&mut fleet, now, &[]);
            let readers = fleet.readers(now, "north", Duration::from_secs(1));
            assert_eq!(readers.len(), READERS_PER_REGION, "{}", case.name);
            let mut zones: Vec<_> = readers.iter().map(|reader| &reader.zone).collect();
            zones.dedup();
            assert_eq!(zones.len(), case.expected_zones, "{}: {hosts}", case.name);
        }
    }
}
