use std::time::{Duration, Instant};

use super::Owner;
use crate::fleet::{Fleet, Member, Report};

const KEY: &str = "i-1";

fn member(number: usize) -> Member {
    let address = format!("10.0.0.{}:80", number + 1);
    let address = address.parse().expect("an address");
    Member {
        host: format!("h{number}").into(),
        zone: "a".into(),
        region: "a".into(),
        caller: address,
        peer: address,
        control: None,
        incarnation: 1,
        weight: 1.0,
        revision: 1,
    }
}

fn report(fleet: &mut Fleet, now: Instant, host: &str) {
    let report = Report {
        host: host.into(),
        region: "a".into(),
        ..Report::default()
    };
    fleet.record_report(now, &report);
}

fn owner(fleet: &Fleet, now: Instant) -> Owner {
    let electorate = fleet.electorate(now, "a", true, |_| false);
    electorate.owner(KEY).expect("a host is live")
}

/// Returns the names of hosts in the order in which they own the key
fn ranked(start: Instant) -> Vec<String> {
    let mut fleet = Fleet::new("observer".into());
    fleet.replace(start, (0..4).map(member).collect());
    let mut names = Vec::new();
    for _ in 0..4 {
        let host = owner(&fleet, start).host;
        fleet.remove(start, &host);
        names.push(host.to_string());
    }
    names
}

/// Returns the fleet of the host that owns the key after `ahead` others, all listed at `start`
fn fleet_of_next_owner(start: Instant, ahead: usize) -> (Fleet, Vec<String>) {
    let names = ranked(start);
    let mut fleet = Fleet::new(names[ahead].as_str().into());
    fleet.replace(start, (0..4).map(member).collect());
    (fleet, names)
}

#[test]
fn an_owner_knows_since_when_it_is_one() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let (mut fleet, names) = fleet_of_next_owner(start, 1);
    for second in 0..10 {
        names
            .iter()
            .for_each(|name| report(&mut fleet, at(second), name));
    }
    assert_eq!(owner(&fleet, at(9)).host, names[0], "the first one is live");
    fleet.remove(at(10), &names[0].as_str().into());
    let taken_over = Owner {
        host: names[1].as_str().into(),
        since: Some(at(10)),
    };
    assert_eq!(owner(&fleet, at(20)), taken_over, "it was removed");
    let first = fleet_member(&names[0]);
    fleet.put(at(21), first);
    assert_eq!(owner(&fleet, at(21)).host, names[0], "it is back");
}

fn fleet_member(name: &str) -> Member {
    let mut members = (0..4).map(member);
    members
        .find(|member| member.host == name)
        .expect("one of the hosts")
}

#[test]
fn a_silent_host_is_no_owner_until_it_reports_again() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut fleet, names) = fleet_of_next_owner(start, 1);
    report(&mut fleet, at(5000), &names[0]);
    assert_eq!(owner(&fleet, at(5900)).host, names[0]);
    assert_eq!(owner(&fleet, at(6500)).host, names[1]);
    let current = fleet.electorate(at(6500), "a", false, |_| false);
    let listed = current.owner(KEY).expect("a host is listed");
    assert_eq!(listed.host, names[0], "others may hear it");
    let since = owner(&fleet, at(8000)).since.expect("a change");
    assert_eq!(since, at(6000), "a second after the last report");
    report(&mut fleet, at(8100), &names[0]);
    assert_eq!(owner(&fleet, at(8100)).host, names[0]);
}

#[test]
fn a_host_that_starts_owns_from_its_own_entry_on() {
    let start = Instant::now();
    let (fleet, names) = fleet_of_next_owner(start, 0);
    let expected = Owner {
        host: names[0].as_str().into(),
        since: Some(start),
    };
    assert_eq!(owner(&fleet, start), expected);
}

#[test]
fn a_region_without_hosts_has_owners_elsewhere() {
    let start = Instant::now();
    let (fleet, names) = fleet_of_next_owner(start, 0);
    let electorate = fleet.electorate(start, "b", true, |_| false);
    let owner = electorate.owner(KEY).expect("a host of another region");
    assert_eq!(owner.host, names[0]);
    let nobody = Fleet::new("h9".into());
    assert_eq!(
        nobody.electorate(start, "a", true, |_| false).owner(KEY),
        None
    );
}
