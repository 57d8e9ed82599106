//! Tests of liveness and the assignment of duties.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::{HostId, Incarnation};
use crate::member::{
    Event, HEARTBEAT_TIMEOUT, HostInfo, State, UNLISTED_TTL, UNREACHABLE_BACKOFF, View,
    WATCHERS_PER_ZONE,
};
use crate::wire::{Heartbeat, Issuer};

mod agent;
mod detect;
mod gossip;
mod partition;
mod scaling;
mod ticket;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7001))
}

fn host_info(host: &str) -> HostInfo {
    let (zone, _) = host
        .rsplit_once('-')
        .expect("host names have the form ZONE-NUMBER");
    HostInfo {
        host: host.into(),
        zone: zone.into(),
        peer: address(),
        caller: address(),
        operator: None,
        leaving: false,
    }
}

fn heartbeat(host: &str, incarnation: Incarnation) -> Heartbeat {
    let info = host_info(host);
    Heartbeat {
        host: info.host,
        zone: info.zone,
        incarnation,
        config_number: 0,
        leaving: false,
        quarantined: Vec::new(),
        peer: address(),
        caller: address(),
        list_hash: 0,
        taken_over: Vec::new(),
        stopping: Vec::new(),
    }
}

fn leaving_heartbeat(host: &str, incarnation: Incarnation) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(host, incarnation)
    }
}

fn state_of(view: &View, host: &str) -> Option<State> {
    view.hosts().get(host).map(|host| host.state)
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// Input of a view
enum Step {
    List(&'static [&'static str]),
    ListAsLeaving(&'static str),
    Heartbeat(&'static str, Incarnation),
    LeavingHeartbeat(&'static str, Incarnation),
    MarkUnreachable(&'static str),
    Tick,
}

#[test]
fn host_state_follows_lists_and_heartbeats() {
    use Step::{Heartbeat, LeavingHeartbeat, List, ListAsLeaving, MarkUnreachable, Tick};
    struct Case {
        name: &'static str,
        steps: &'static [(f64, Step)],
        host: &'static str,
        state: Option<State>,
    }
    let cases = [
        Case {
            name: "a host listed at the start counts as live",
            steps: &[(0.0, List(&["a-1", "a-2"])), (1.0, Tick)],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            name: "a listed host without a heartbeat within the timeout is dead",
            steps: &[(0.0, List(&["a-1", "a-2"])), (1.5, Tick), (2.1, Tick)],
            host: "a-2",
            state: Some(State::Dead),
        },
        Case {
            name: "a host that is listed later has to send a heartbeat first",
            steps: &[(1.5, Tick), (3.0, List(&["a-1", "a-2"])), (3.5, Tick)],
            host: "a-2",
            state: Some(State::Joining),
        },
        Case {
            name: "a heartbeat makes a host live before it is listed",
            steps: &[(1.0, Heartbeat("a-2", 5)), (1.5, Tick)],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            name: "a silent host is kept while it is listed",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Heartbeat("a-2", 5)),
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
            name: "an unlisted host stays live while its heartbeats arrive",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Heartbeat("a-2", 5)),
                (2.0, List(&["a-1"])),
                (2.9, Tick),
            ],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            name: "an unlisted host is removed when it becomes silent",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, Heartbeat("a-2", 5)),
                (1.2, Tick),
                (1.5, List(&["a-1"])),
                (2.5, Tick),
                (3.1, Tick),
            ],
            host: "a-2",
            state: None,
        },
        Case {
            name: "a host that announced its stop is removed when it becomes silent",
            steps: &[
                (0.0, List(&["a-1", "a-2"])),
                (1.0, LeavingHeartbeat("a-2", 5)),
                (2.0, Tick),
                (3.1, Tick),
            ],
            host: "a-2",
            state: None,
        },
        Case {
            name: "an older list does not override the host's own heartbeat",
            steps: &[
                (1.0, LeavingHeartbeat("a-2", 5)),
                (1.5, List(&["a-1", "a-2"])),
                (2.0, Tick),
            ],
            host: "a-2",
            state: Some(State::Leaving),
        },
        Case {
            name: "a host listed as leaving is leaving",
            steps: &[(0.0, List(&["a-1", "b-1"])), (1.0, ListAsLeaving("b-1"))],
            host: "b-1",
            state: Some(State::Leaving),
        },
        Case {
            name: "a host of another zone is live without heartbeats",
            steps: &[(0.0, List(&["a-1", "b-1"])), (1.9, Tick), (3.0, Tick)],
            host: "b-1",
            state: Some(State::Live),
        },
        Case {
            name: "an unreachable host of another zone counts as dead",
            steps: &[(0.0, List(&["a-1", "b-1"])), (1.0, MarkUnreachable("b-1"))],
            host: "b-1",
            state: Some(State::Dead),
        },
        Case {
            name: "an unreachable host counts as live again after the backoff",
            steps: &[
                (0.0, List(&["a-1", "b-1"])),
                (1.0, MarkUnreachable("b-1")),
                (2.5, Tick),
                (4.1, Tick),
            ],
            host: "b-1",
            state: Some(State::Live),
        },
        Case {
            name: "unreachability does not affect a host of the own zone",
            steps: &[(1.0, Heartbeat("a-2", 5)), (1.1, MarkUnreachable("a-2"))],
            host: "a-2",
            state: Some(State::Live),
        },
        Case {
            name: "an empty list is ignored",
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
        let mut view = View::new(start, host_info("a-1"));
        for (at, step) in case.steps {
            let now = start + seconds(*at);
            match step {
                List(hosts) => {
                    let list: Vec<HostInfo> = hosts.iter().map(|host| host_info(host)).collect();
                    view.apply_list(now, &list);
                }
                ListAsLeaving(host) => {
                    let mut entry = host_info(host);
                    entry.leaving = true;
                    view.apply_list(now, &[host_info("a-1"), entry]);
                }
                Heartbeat(host, incarnation) => {
                    view.record_heartbeat(now, &heartbeat(host, *incarnation))
                }
                LeavingHeartbeat(host, incarnation) => {
                    view.record_heartbeat(now, &leaving_heartbeat(host, *incarnation))
                }
                MarkUnreachable(host) => view.mark_unreachable(now, &(*host).into()),
                Tick => {
                    view.tick(now);
                }
            }
        }
        assert_eq!(state_of(&view, case.host), case.state, "{}", case.name);
    }
}

#[test]
fn newest_incarnation_replaces_older_ones() {
    struct Case {
        name: &'static str,
        heartbeats: &'static [(f64, Incarnation)],
        incarnation: Incarnation,
        restarts: usize,
    }
    let cases = [
        Case {
            name: "one process",
            heartbeats: &[(0.1, 9), (0.6, 9)],
            incarnation: 9,
            restarts: 0,
        },
        Case {
            name: "a restart with a lower incarnation",
            heartbeats: &[(0.1, 9), (0.6, 4)],
            incarnation: 4,
            restarts: 1,
        },
        Case {
            name: "a late heartbeat of the previous process",
            heartbeats: &[(0.1, 9), (0.6, 4), (0.7, 9), (0.8, 4)],
            incarnation: 4,
            restarts: 1,
        },
        Case {
            name: "a late heartbeat arrives before those of the new process",
            heartbeats: &[(0.1, 4), (0.2, 9), (0.7, 4), (1.2, 4), (1.7, 4), (2.4, 4)],
            incarnation: 4,
            restarts: 2,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, host_info("a-1"));
        let mut events = Vec::new();
        for (at, incarnation) in case.heartbeats {
            let now = start + seconds(*at);
            view.record_heartbeat(now, &heartbeat("a-2", *incarnation));
            events.extend(view.tick(now));
        }
        assert_eq!(
            view.hosts()["a-2"].incarnation,
            case.incarnation,
            "{}",
            case.name
        );
        events.retain(|event| matches!(event, Event::Restarted(_)));
        assert_eq!(events.len(), case.restarts, "{}", case.name);
    }
}

#[test]
fn paused_host_reports_the_pause_before_it_acts() {
    let start = Instant::now();
    let mut view = View::new(start, host_info("a-1"));
    view.record_heartbeat(start, &heartbeat("a-2", 5));
    view.tick(start + seconds(0.5));
    let resumed = start + seconds(30.0);
    assert!(!view.has_recent_tick(resumed));
    let events = view.tick(resumed);
    assert_eq!(events.last(), Some(&Event::Woke), "{events:?}");
    assert!(view.has_recent_tick(resumed));
    assert_eq!(state_of(&view, "a-2"), Some(State::Live));
    let service = "turni".into();
    if let Some(since) = view.owned_since(&service) {
        assert_eq!(since, resumed);
    }
    view.tick(resumed + seconds(1.0));
    let events = view.tick(resumed + seconds(2.1));
    assert_eq!(events, [Event::Died("a-2".into())]);
}

#[test]
fn ownership_starts_when_the_previous_owner_ends() {
    let start = Instant::now();
    let mut view = View::new(start, host_info("a-1"));
    let service = (0..).map(|n| format!("s-{n}").into()).find(|service| {
        let hosts: [HostId; 2] = ["a-1".into(), "a-2".into()];
        crate::util::rendezvous(service, &hosts) == Some(&hosts[1])
    });
    let service = service.expect("about half of all services belong to a-2");
    assert_eq!(view.owned_since(&service), Some(start));
    view.record_heartbeat(start + seconds(0.1), &heartbeat("a-2", 5));
    assert_eq!(view.owned_since(&service), None);
    view.tick(start + seconds(1.0));
    let died_at = start + seconds(2.2);
    view.tick(died_at);
    assert_eq!(view.owned_since(&service), Some(died_at));
    view.record_heartbeat(start + seconds(3.0), &heartbeat("a-2", 6));
    assert_eq!(view.owned_since(&service), None);
}

#[test]
fn duty_stays_when_another_host_stops() {
    let start = Instant::now();
    let mut view = View::new(start, host_info("a-1"));
    let list: Vec<HostInfo> = (1..=36).map(|n| host_info(&format!("a-{n}"))).collect();
    view.apply_list(start, &list);
    let services = (0..200).map(|n| crate::id::ServiceId::from(format!("s-{n}")));
    let services: Vec<_> = services.collect();
    let zone = "a".into();
    let owner = |view: &View, service| {
        view.owner(&zone, service)
            .map(|host| host.info.host.clone())
    };
    let before: Vec<_> = services
        .iter()
        .map(|service| owner(&view, service))
        .collect();
    view.record_heartbeat(start, &leaving_heartbeat("a-7", 5));
    for (service, before) in services.iter().zip(before) {
        let after = owner(&view, service);
        let owner_stopped = before.as_deref() == Some("a-7");
        assert!(after.as_deref() != Some("a-7"));
        assert!(
            owner_stopped || after == before,
            "{service}: {before:?} {after:?}"
        );
    }
}

#[test]
fn few_hosts_poll_the_platform() {
    for host_count in [1, 2, 3, 12, 36] {
        let start = Instant::now();
        let names: Vec<String> = (1..=host_count).map(|n| format!("a-{n}")).collect();
        let list: Vec<HostInfo> = names.iter().map(|name| host_info(name)).collect();
        let views = names.iter().map(|name| {
            let mut view = View::new(start, host_info(name));
            view.apply_list(start, &list);
            view
        });
        let watchers = views.filter(View::is_watcher).count();
        assert_eq!(
            watchers,
            host_count.min(WATCHERS_PER_ZONE),
            "{host_count} hosts"
        );
    }
}

#[test]
fn unlisted_host_of_another_zone_is_removed_after_the_ttl() {
    let start = Instant::now();
    let mut view = View::new(start, host_info("a-1"));
    view.apply_list(start, &["a-1", "b-1", "b-2"].map(host_info));
    view.apply_list(start + seconds(1.0), &["a-1", "b-2"].map(host_info));
    let mut at = 1.0;
    while at < UNLISTED_TTL.as_secs_f64() + 0.5 {
        view.tick(start + seconds(at));
        assert!(state_of(&view, "b-1").is_some(), "at {at}");
        at += 1.0;
    }
    view.tick(start + seconds(at + 1.0));
    assert_eq!(state_of(&view, "b-1"), None);
    assert_eq!(state_of(&view, "b-2"), Some(State::Live));
}
