//! Tests of gossip: stop announcements, and the time until an announcement reaches all hosts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::{heartbeat, host_info, leaving_heartbeat, seconds, state_of};
use crate::id::HostId;
use crate::member::{
    CROSS_ZONE_HEARTBEAT_INTERVAL, CROSS_ZONE_PEERS, DEPARTURE_TTL, HEARTBEAT_INTERVAL, State, View,
};
use crate::util;
use crate::wire::{Heartbeat, Issuer};

/// Returns a heartbeat of `a-2` that announces the stop of another process
fn stop_announcement(host: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        stopping: vec![Issuer {
            host: host.into(),
            incarnation,
        }],
        ..heartbeat("a-2", 5)
    }
}

#[test]
fn stop_in_another_zone_is_learned_from_other_hosts() {
    struct Case {
        name: &'static str,
        heartbeats: Vec<Heartbeat>,
        elapsed_seconds: f64,
        state: State,
    }
    let cases = [
        Case {
            name: "a host of this zone gossips the stop",
            heartbeats: vec![stop_announcement("b-1", 7)],
            elapsed_seconds: 1.0,
            state: State::Leaving,
        },
        Case {
            name: "the stopping process sent a heartbeat itself",
            heartbeats: vec![heartbeat("b-1", 7), stop_announcement("b-1", 7)],
            elapsed_seconds: 1.0,
            state: State::Leaving,
        },
        Case {
            name: "a new process runs under the name",
            heartbeats: vec![heartbeat("b-1", 8), stop_announcement("b-1", 7)],
            elapsed_seconds: 1.0,
            state: State::Live,
        },
        Case {
            name: "the host is still listed long after the stop",
            heartbeats: vec![stop_announcement("b-1", 7)],
            elapsed_seconds: DEPARTURE_TTL.as_secs_f64() + 1.0,
            state: State::Live,
        },
        Case {
            name: "a repeated announcement has no effect",
            heartbeats: vec![
                stop_announcement("b-1", 7),
                heartbeat("b-1", 8),
                stop_announcement("b-1", 7),
            ],
            elapsed_seconds: 1.0,
            state: State::Live,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, host_info("a-1"));
        view.apply_list(start, &["a-1", "a-2", "b-1"].map(host_info));
        for heartbeat in &case.heartbeats {
            view.record_heartbeat(start, heartbeat);
        }
        let mut at = 0.0;
        while at <= case.elapsed_seconds {
            at += 0.5;
            view.tick(start + seconds(at));
            view.apply_list(start + seconds(at), &["a-1", "a-2", "b-1"].map(host_info));
        }
        assert_eq!(state_of(&view, "b-1"), Some(case.state), "{}", case.name);
    }
}

#[test]
fn stop_is_gossiped_for_a_limited_time() {
    let start = Instant::now();
    let mut view = View::new(start, host_info("a-1")).with_incarnation(3);
    view.record_heartbeat(start, &leaving_heartbeat("a-2", 5));
    let announced = |view: &View| view.heartbeat(0, &[], &[]).stopping;
    assert_eq!(announced(&view)[0].host, "a-2");
    for step in 1..50 {
        view.tick(start + seconds(f64::from(step) * 0.5));
    }
    assert_eq!(announced(&view), []);
    view.leave(start + seconds(24.6));
    assert_eq!(announced(&view)[0].host, "a-1");
}

/// Periodic exchange between two hosts, first at `phase` and then every `interval`
struct Contact {
    peer: usize,
    phase: Duration,
    interval: Duration,
}

/// Returns the cross-zone peers of each host, chosen like [`View::cross_zone_peers`]
fn cross_zone_peers(zones: usize, hosts_per_zone: usize) -> Vec<Vec<usize>> {
    let names = (0..zones * hosts_per_zone).map(|n| format!("z{}-{n}", n / hosts_per_zone).into());
    let names: Vec<HostId> = names.collect();
    let choose = |host: usize| {
        let others =
            (0..names.len()).filter(|other| other / hosts_per_zone != host / hosts_per_zone);
        let mut others: Vec<usize> = others.collect();
        let score = |other: &usize| util::stable_hash(&(&names[host], &names[*other]));
        others.sort_by_cached_key(|other| Reverse(score(other)));
        others.truncate(CROSS_ZONE_PEERS);
        others
    };
    (0..names.len()).map(choose).collect()
}

/// Returns the contacts of each host of a fleet
fn contacts(
    hosts_per_zone: usize,
    cross_zone_peers: &[Vec<usize>],
    rng: &mut Rng,
) -> Vec<Vec<Contact>> {
    let mut contacts: Vec<Vec<Contact>> = cross_zone_peers.iter().map(|_| Vec::new()).collect();
    let mut connect = |a: usize, b: usize, interval: Duration| {
        let phase = interval.mul_f64(rng.f64());
        for (host, peer) in [(a, b), (b, a)] {
            contacts[host].push(Contact {
                peer,
                phase,
                interval,
            });
        }
    };
    for (host, peers) in cross_zone_peers.iter().enumerate() {
        let zone_end = (host / hosts_per_zone + 1) * hosts_per_zone;
        for other in host + 1..zone_end {
            connect(host, other, HEARTBEAT_INTERVAL);
        }
        for other in peers {
            connect(host, *other, CROSS_ZONE_HEARTBEAT_INTERVAL);
        }
    }
    contacts
}

/// Returns the time until an announcement of one host has reached all others
fn propagation_time(hosts_per_zone: usize, cross_zone_peers: &[Vec<usize>], seed: u64) -> Duration {
    let mut rng = Rng::with_seed(seed);
    let contacts = contacts(hosts_per_zone, cross_zone_peers, &mut rng);
    let mut reached_at: Vec<Option<Duration>> = vec![None; contacts.len()];
    let mut queue = BinaryHeap::from([Reverse((Duration::ZERO, 0))]);
    let mut last = Duration::ZERO;
    while let Some(Reverse((at, host))) = queue.pop() {
        if reached_at[host].is_some() {
            continue;
        }
        reached_at[host] = Some(at);
        last = last.max(at);
        for contact in &contacts[host] {
            let elapsed = at.saturating_sub(contact.phase).as_secs_f64();
            let intervals = (elapsed / contact.interval.as_secs_f64()).ceil();
            let next_contact = contact.phase + contact.interval.mul_f64(intervals);
            let network_delay = Duration::from_millis(15);
            queue.push(Reverse((next_contact + network_delay, contact.peer)));
        }
    }
    assert!(
        reached_at.iter().all(Option::is_some),
        "the announcement did not reach all hosts"
    );
    last
}

#[test]
fn announcement_reaches_the_fleet_without_the_platform() {
    struct Case {
        zones: usize,
        hosts_per_zone: usize,
        limit: Duration,
    }
    let cases = [
        Case {
            zones: 6,
            hosts_per_zone: 2,
            limit: Duration::from_secs(4),
        },
        Case {
            zones: 74,
            hosts_per_zone: 36,
            limit: Duration::from_secs(8),
        },
    ];
    for Case {
        zones,
        hosts_per_zone,
        limit,
    } in cases
    {
        let peers = cross_zone_peers(zones, hosts_per_zone);
        let longest = (0..5)
            .map(|seed| propagation_time(hosts_per_zone, &peers, seed))
            .max();
        let longest = longest.expect("at least one seed");
        println!("{zones} zones of {hosts_per_zone} hosts: {longest:.1?}");
        assert!(longest < limit, "{longest:?}");
    }
}
