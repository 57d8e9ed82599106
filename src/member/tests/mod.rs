//! Tests of liveness and duties.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::{HostId, Incarnation};
use crate::member::{
    Event, HEARTBEAT_TIMEOUT, HostInfo, State, UNLISTED_TTL, UNREACHABLE_BACKOFF, View,
    WATCHERS_PER_ZONE,
};
use crate::wire::{Heartbeat, Issuer};

mod agent;
mod cut;
mod detect;
mod news;
mod slope;
mod ticket;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7001))
}

fn listed(host: &str) -> HostInfo {
    let (zone, _) = host.rsplit_once('-').expect("names are ZONE-NUMBER");
    HostInfo {
        host: host.into(),
        zone: zone.into(),
        peer: address(),
        caller: address(),
        operator: None,
        leaving: false,
    }
}

fn beat(host: &str, incarnation: Incarnation) -> Heartbeat {
    let own = listed(host);
    Heartbeat {
        host: own.host,
        zone: own.zone,
        incarnation,
        number: 0,
        leaving: false,
        quarantined: Vec::new(),
        peer: address(),
        caller: address(),
        listing: 0,
        held: Vec::new(),
        stopping: Vec::new(),
    }
}

fn leaving(host: &str, incarnation: Incarnation) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..beat(host, incarnation)
    }
}

fn state(view: &View, host: &str) -> Option<State> {
    view.hosts().get(host).map(|host| host.state)
}

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

/// Something that happens to a view at a moment
enum Step {
    List(&'static [&'static str]),
    Leaving(&'static str),
    Heard(&'static str, Incarnation),
    Stops(&'static str, Incarnation),
    Unreached(&'static str),
    Tick,
}

#[test]
fn hosts_change_their_state() {
    use Step::{Heard, Leaving, List, Stops, Tick, Unreached};
    struct Case {
        what: &'static str,
        steps: &'static [(f64, Step)],
        host: &'static str,
        state: Option<State>,
    }
    let cases = [
        Case {
            what: "a host listed at the start counts as live",
            steps: &[(0.0, List(&["a-1", "a-2"])), (1.0, Tick)],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            what: "it is dead when it was not heard within the term",
            steps: &[(0.0, List(&["a-1", "a-2"])), (1.5, Tick), (2.1, Tick)],
            host: "a-2",
            state: Some(State::Dead),
        },
        Case {
            what: "a host that is listed later has to be heard first",
            steps: &[(1.5, Tick), (3.0, List(&["a-1", "a-2"])), (3.5, Tick)],
            host: "a-2",
            state: Some(State::Joining),
        },
        Case {
            what: "a heartbeat makes it live before it is listed",
            steps: &[(1.0, Heard("a-2", 5)), (1.5, Tick)],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            what: "a silent host stays known while it is listed",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Heard("a-2", 5)),
                (2.0, Tick),
                (3.9, Tick),
                (60.0, Tick),
                (61.0, Tick),
                (63.0, Tick),
            ],
            host: "a-2",
            state: Some(State::Dead),
        },
        Case {
            what: "a host that vanished from the list stays while it is heard",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Heard("a-2", 5)),
                (2.0, List(&["a-1"])),
                (2.9, Tick),
            ],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            what: "it is removed when it is silent, too",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Heard("a-2", 5)),
                (1.2, Tick),
                (1.5, List(&["a-1"])),
                (2.5, Tick),
                (3.1, Tick),
            ],
            host: "a-2",
            state: None,
        },
        Case {
            what: "a host that said that it leaves is removed once it is silent",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Stops("a-2", 5)),
                (2.0, Tick),
                (3.1, Tick),
            ],
            host: "a-2",
            state: None,
        },
        Case {
            what: "an older list does not undo what a host said of itself",
            steps: &[
                (1.0, Stops("a-2", 5)),
                (1.5, List(&["a-1", "a-2"])),
                (2.0, Tick),
            ],
            host: "a-2",
            state: Some(State::Leaving),
        },
        Case {
            what: "the list says that a host is leaving",
            steps: &[(0.0, List(&["a-1", "b-1"])), (1.0, Leaving("b-1"))],
            host: "b-1",
            state: Some(State::Leaving),
        },
        Case {
            what: "a host of another zone is live without heartbeats",
            steps: &[(0.0, List(&["a-1", "b-1"])), (1.9, Tick), (3.0, Tick)],
            host: "b-1",
            state: Some(State::Live),
        },
        Case {
            what: "it is passed over when it could not be reached",
            steps: &[(0.0, List(&["a-1", "b-1"])), (1.0, Unreached("b-1"))],
            host: "b-1",
            state: Some(State::Dead),
        },
        Case {
            what: "but not for long",
            steps: &[
                (0.0, List(&["a-1", "b-1"])),
                (1.0, Unreached("b-1")),
                (2.5, Tick),
                (4.1, Tick),
            ],
            host: "b-1",
            state: Some(State::Live),
        },
        Case {
            what: "a host of the zone is judged by its heartbeats",
            steps: &[(1.0, Heard("a-2", 5)), (1.1, Unreached("a-2"))],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            what: "an empty list is passed over",
            steps: &[
                (0.0, List(&["a-1", "b-1"])),
                (1.0, List(&[])),
                (2.0, Tick),
                (4.0, Tick),
                (6.0, Tick),
                (8.0, Tick),
                (10.0, Tick),
                (12.0, Tick),
            ],
            host: "b-1",
            state: Some(State::Live),
        },
    ];
    assert!(UNREACHABLE_BACKOFF < seconds(3.1) && HEARTBEAT_TIMEOUT == seconds(2.0));
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, listed("a-1"));
        for (at, step) in case.steps {
            let now = start + seconds(*at);
            match step {
                List(hosts) => {
                    let hosts: Vec<HostInfo> = hosts.iter().map(|host| listed(host)).collect();
                    view.apply_list(now, &hosts);
                }
                Leaving(host) => {
                    let mut entry = listed(host);
                    entry.leaving = true;
                    view.apply_list(now, &[listed("a-1"), entry]);
                }
                Heard(host, incarnation) => view.record_heartbeat(now, &beat(host, *incarnation)),
                Stops(host, incarnation) => {
                    view.record_heartbeat(now, &leaving(host, *incarnation))
                }
                Unreached(host) => view.mark_unreachable(now, &(*host).into()),
                Tick => {
                    view.tick(now);
                }
            }
        }
        assert_eq!(state(&view, case.host), case.state, "{}", case.what);
    }
}

#[test]
fn the_newest_incarnation_counts() {
    struct Case {
        what: &'static str,
        heard: &'static [(f64, Incarnation)],
        now: Incarnation,
        restarts: usize,
    }
    let cases = [
        Case {
            what: "one process",
            heard: &[(0.1, 9), (0.6, 9)],
            now: 9,
            restarts: 0,
        },
        Case {
            what: "a restart draws a lower number",
            heard: &[(0.1, 9), (0.6, 4)],
            now: 4,
            restarts: 1,
        },
        Case {
            what: "a late heartbeat of the process before",
            heard: &[(0.1, 9), (0.6, 4), (0.7, 9), (0.8, 4)],
            now: 4,
            restarts: 1,
        },
        Case {
            what: "the late heartbeat came first",
            heard: &[(0.1, 4), (0.2, 9), (0.7, 4), (1.2, 4), (1.7, 4), (2.4, 4)],
            now: 4,
            restarts: 2,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, listed("a-1"));
        let mut events = Vec::new();
        for (at, incarnation) in case.heard {
            let now = start + seconds(*at);
            view.record_heartbeat(now, &beat("a-2", *incarnation));
            events.extend(view.tick(now));
        }
        assert_eq!(view.hosts()["a-2"].incarnation, case.now, "{}", case.what);
        events.retain(|event| matches!(event, Event::Restarted(_)));
        assert_eq!(events.len(), case.restarts, "{}", case.what);
    }
}

#[test]
fn a_paused_host_wakes_before_it_acts() {
    let start = Instant::now();
    let mut view = View::new(start, listed("a-1"));
    view.record_heartbeat(start, &beat("a-2", 5));
    view.tick(start + seconds(0.5));
    let woken = start + seconds(30.0);
    assert!(!view.has_recent_tick(woken));
    let events = view.tick(woken);
    assert_eq!(events.last(), Some(&Event::Woke), "{events:?}");
    assert!(view.has_recent_tick(woken));
    assert_eq!(state(&view, "a-2"), Some(State::Live));
    let service = "turni".into();
    if let Some(since) = view.owned_since(&service) {
        assert_eq!(since, woken);
    }
    view.tick(woken + seconds(1.0));
    let died = view.tick(woken + seconds(2.1));
    assert_eq!(died, [Event::Died("a-2".into())]);
}

#[test]
fn ownership_begins_when_the_owner_before_ended() {
    let start = Instant::now();
    let mut view = View::new(start, listed("a-1"));
    let service = (0..).map(|n| format!("s-{n}").into()).find(|service| {
        let pair: [HostId; 2] = ["a-1".into(), "a-2".into()];
        crate::util::rendezvous(service, &pair) == Some(&pair[1])
    });
    let service = service.expect("half of all services belong to a-2");
    assert_eq!(view.owned_since(&service), Some(start));
    view.record_heartbeat(start + seconds(0.1), &beat("a-2", 5));
    assert_eq!(view.owned_since(&service), None);
    view.tick(start + seconds(1.0));
    let died = start + seconds(2.2);
    view.tick(died);
    assert_eq!(view.owned_since(&service), Some(died));
    view.record_heartbeat(start + seconds(3.0), &beat("a-2", 6));
    assert_eq!(view.owned_since(&service), None);
}

#[test]
fn a_duty_stays_when_another_host_ends() {
    let start = Instant::now();
    let mut view = View::new(start, listed("a-1"));
    let hosts: Vec<HostInfo> = (1..=36).map(|n| listed(&format!("a-{n}"))).collect();
    view.apply_list(start, &hosts);
    let services = (0..200).map(|n| crate::id::ServiceId::from(format!("s-{n}")));
    let services: Vec<_> = services.collect();
    let zone = "a".into();
    let owner = |view: &View, service| view.owner(&zone, service).map(|h| h.info.host.clone());
    let before: Vec<_> = services.iter().map(|s| owner(&view, s)).collect();
    view.record_heartbeat(start, &leaving("a-7", 5));
    for (service, before) in services.iter().zip(before) {
        let after = owner(&view, service);
        let ended = before.as_deref() == Some("a-7");
        assert!(after.as_deref() != Some("a-7"));
        assert!(ended || after == before, "{service}: {before:?} {after:?}");
    }
}

#[test]
fn few_hosts_ask_the_platform() {
    for count in [1, 2, 3, 12, 36] {
        let start = Instant::now();
        let names: Vec<String> = (1..=count).map(|n| format!("a-{n}")).collect();
        let hosts: Vec<HostInfo> = names.iter().map(|name| listed(name)).collect();
        let views = names.iter().map(|name| {
            let mut view = View::new(start, listed(name));
            view.apply_list(start, &hosts);
            view
        });
        let watchers = views.filter(View::is_watcher).count();
        assert_eq!(watchers, count.min(WATCHERS_PER_ZONE), "{count} hosts");
    }
}

#[test]
fn a_lost_zone_is_forgotten_after_the_list_drops_it() {
    let start = Instant::now();
    let mut view = View::new(start, listed("a-1"));
    view.apply_list(start, &["a-1", "b-1", "b-2"].map(listed));
    view.apply_list(start + seconds(1.0), &["a-1", "b-2"].map(listed));
    let mut at = 1.0;
    while at < UNLISTED_TTL.as_secs_f64() + 0.5 {
        view.tick(start + seconds(at));
        assert!(state(&view, "b-1").is_some(), "at {at}");
        at += 1.0;
    }
    view.tick(start + seconds(at + 1.0));
    assert_eq!(state(&view, "b-1"), None);
    assert_eq!(state(&view, "b-2"), Some(State::Live));
}
