//! News that hosts pass on: stops, and how long news takes through the fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::{beat, leaving, listed, seconds, state};
use crate::id::HostId;
use crate::member::{
    CROSS_ZONE_HEARTBEAT_INTERVAL, CROSS_ZONE_PEERS, DEPARTURE_TTL, HEARTBEAT_INTERVAL, State, View,
};
use crate::util;
use crate::wire::{Heartbeat, Issuer};

fn news(host: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        stopping: vec![Issuer {
            host: host.into(),
            incarnation,
        }],
        ..beat("a-2", 5)
    }
}

#[test]
fn a_stop_in_another_zone_is_learnt_from_others() {
    struct Case {
        what: &'static str,
        heard: Vec<Heartbeat>,
        after: f64,
        state: State,
    }
    let cases = [
        Case {
            what: "a host of this zone passes it on",
            heard: vec![news("b-1", 7)],
            after: 1.0,
            state: State::Leaving,
        },
        Case {
            what: "the process that stops was heard itself",
            heard: vec![beat("b-1", 7), news("b-1", 7)],
            after: 1.0,
            state: State::Leaving,
        },
        Case {
            what: "another process runs under the name now",
            heard: vec![beat("b-1", 8), news("b-1", 7)],
            after: 1.0,
            state: State::Live,
        },
        Case {
            what: "the list still shows it long after",
            heard: vec![news("b-1", 7)],
            after: DEPARTURE_TTL.as_secs_f64() + 1.0,
            state: State::Live,
        },
        Case {
            what: "the same news again does not renew it",
            heard: vec![news("b-1", 7), beat("b-1", 8), news("b-1", 7)],
            after: 1.0,
            state: State::Live,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, listed("a-1"));
        view.apply_list(start, &["a-1", "a-2", "b-1"].map(listed));
        for heartbeat in &case.heard {
            view.record_heartbeat(start, heartbeat);
        }
        let mut at = 0.0;
        while at <= case.after {
            at += 0.5;
            view.tick(start + seconds(at));
            view.apply_list(start + seconds(at), &["a-1", "a-2", "b-1"].map(listed));
        }
        assert_eq!(state(&view, "b-1"), Some(case.state), "{}", case.what);
    }
}

#[test]
fn news_is_passed_on_for_a_while() {
    let start = Instant::now();
    let mut view = View::new(start, listed("a-1")).with_incarnation(3);
    view.record_heartbeat(start, &leaving("a-2", 5));
    let told = |view: &View| view.heartbeat(0, &[], &[]).stopping;
    assert_eq!(told(&view)[0].host, "a-2");
    for step in 1..50 {
        view.tick(start + seconds(f64::from(step) * 0.5));
    }
    assert_eq!(told(&view), []);
    view.leave(start + seconds(24.6));
    assert_eq!(told(&view)[0].host, "a-1");
}

/// Contact of two hosts: both learn from each other at `phase` and each `interval` after
struct Contact {
    to: usize,
    phase: Duration,
    interval: Duration,
}

/// Hosts of other zones that each host of a fleet drives, as [`View::far`] chooses them
fn far(zones: usize, hosts: usize) -> Vec<Vec<usize>> {
    let names = (0..zones * hosts).map(|n| format!("z{}-{n}", n / hosts).into());
    let names: Vec<HostId> = names.collect();
    let choose = |host: usize| {
        let others = (0..names.len()).filter(|other| other / hosts != host / hosts);
        let mut others: Vec<usize> = others.collect();
        let score = |other: &usize| util::stable_hash(&(&names[host], &names[*other]));
        others.sort_by_cached_key(|other| Reverse(score(other)));
        others.truncate(CROSS_ZONE_PEERS);
        others
    };
    (0..names.len()).map(choose).collect()
}

/// Contacts of each host of a fleet
fn contacts(hosts: usize, far: &[Vec<usize>], rng: &mut Rng) -> Vec<Vec<Contact>> {
    let mut contacts: Vec<Vec<Contact>> = far.iter().map(|_| Vec::new()).collect();
    let mut connect = |a: usize, b: usize, interval: Duration| {
        let phase = interval.mul_f64(rng.f64());
        for (from, to) in [(a, b), (b, a)] {
            contacts[from].push(Contact {
                to,
                phase,
                interval,
            });
        }
    };
    for (host, far) in far.iter().enumerate() {
        let end = (host / hosts + 1) * hosts;
        for other in host + 1..end {
            connect(host, other, HEARTBEAT_INTERVAL);
        }
        for other in far {
            connect(host, *other, CROSS_ZONE_HEARTBEAT_INTERVAL);
        }
    }
    contacts
}

/// Time until news of one host has reached all
fn spread(hosts: usize, far: &[Vec<usize>], seed: u64) -> Duration {
    let mut rng = Rng::with_seed(seed);
    let contacts = contacts(hosts, far, &mut rng);
    let mut reached: Vec<Option<Duration>> = vec![None; contacts.len()];
    let mut next = BinaryHeap::from([Reverse((Duration::ZERO, 0))]);
    let mut last = Duration::ZERO;
    while let Some(Reverse((at, host))) = next.pop() {
        if reached[host].is_some() {
            continue;
        }
        reached[host] = Some(at);
        last = last.max(at);
        for contact in &contacts[host] {
            let waits = at.saturating_sub(contact.phase).as_secs_f64();
            let waits = (waits / contact.interval.as_secs_f64()).ceil();
            let meets = contact.phase + contact.interval.mul_f64(waits);
            let delay = Duration::from_millis(15);
            next.push(Reverse((meets + delay, contact.to)));
        }
    }
    assert!(
        reached.iter().all(Option::is_some),
        "news did not reach all"
    );
    last
}

#[test]
fn news_reaches_the_fleet_without_the_platform() {
    struct Case {
        zones: usize,
        hosts: usize,
        within: Duration,
    }
    let cases = [
        Case {
            zones: 6,
            hosts: 2,
            within: Duration::from_secs(4),
        },
        Case {
            zones: 74,
            hosts: 36,
            within: Duration::from_secs(8),
        },
    ];
    for Case {
        zones,
        hosts,
        within,
    } in cases
    {
        let far = far(zones, hosts);
        let longest = (0..5).map(|seed| spread(hosts, &far, seed)).max();
        let longest = longest.expect("there are seeds");
        println!("{zones} zones of {hosts} hosts: {longest:.1?}");
        assert!(longest < within, "{longest:?}");
    }
}
