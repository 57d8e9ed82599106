//! From where a host reads, and when it reads again because others are ahead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::LocalExecutor;

use super::watch::settings;
use crate::fleet::{Member, Report, Watermark};
use crate::gateway::source::{LagMonitor, Resync, Source, is_replaced, sources, watch_wait};
use crate::gateway::{Gateway, Mirror};
use crate::platform::store::{Kind, Object, Position};

const HOSTS: u8 = 6;

fn store_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 80))
}

fn control_address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 81))
}

fn name(number: u8) -> String {
    format!("h{number}")
}

fn member(number: u8) -> Member {
    Member {
        host: name(number).as_str().into(),
        zone: "north-a".into(),
        region: "north".into(),
        caller: store_address(),
        peer: store_address(),
        control: Some(control_address(number)),
        incarnation: 1,
        weight: 1.0,
        revision: 1,
    }
}

/// Returns a host of a fleet that has heard of the given others
fn gateway(own: u8, heard: &[u8]) -> Gateway {
    let settings = settings(&name(own), store_address());
    let mut gateway = Gateway::new(settings, Rc::new(LocalExecutor::new()));
    let now = Instant::now();
    if !heard.is_empty() {
        gateway.started_at = now - Duration::from_secs(10);
    }
    {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.replace(Instant::now(), (0..HOSTS).map(member).collect());
        for number in heard {
            let report = Report {
                host: name(*number).as_str().into(),
                region: "north".into(),
                ..Report::default()
            };
            fleet.record_report(now, &report);
        }
    }
    gateway
}

fn all_but(own: u8) -> Vec<u8> {
    (0..HOSTS).filter(|number| *number != own).collect()
}

fn is_reader(gateway: &Gateway) -> bool {
    sources(gateway)[0].is_store
}

#[test]
fn a_host_that_cannot_read_the_store_is_replaced_by_another_reader() {
    let readers = |failed: Option<u8>| -> Vec<u8> {
        let reads = |own: &u8| {
            let gateway = gateway(*own, &all_but(*own));
            if let Some(failed) = failed {
                let host = name(failed).as_str().into();
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.record_reader_failure(Instant::now(), &host);
            }
            is_reader(&gateway)
        };
        (0..HOSTS).filter(reads).collect()
    };
    let before = readers(None);
    assert_eq!(before.len(), 2);
    let after = readers(Some(before[0]));
    assert_eq!(after.len(), 2, "{after:?}");
    assert!(!after.contains(&before[0]), "{after:?}");
    assert!(after.contains(&before[1]), "{after:?}");
}

/// Guards against a region whose hosts follow each other while the store refuses all of them
#[test]
fn hosts_that_the_store_refuses_find_one_that_it_serves() {
    struct Case {
        name: &'static str,
        /// Host that reads the store, and whether it is in the same region
        reader: u8,
        is_near: bool,
        /// Whether readers and followers of this region may read from it
        expected: (bool, bool),
    }
    let cases = [
        Case {
            name: "in the region",
            reader: HOSTS,
            is_near: true,
            expected: (true, true),
        },
        Case {
            name: "in another region: the readers pass its copy on",
            reader: HOSTS,
            is_near: false,
            expected: (true, false),
        },
    ];
    for case in cases {
        for own in 0..HOSTS {
            let gateway = gateway(own, &all_but(own));
            let now = Instant::now();
            {
                let mut fleet = gateway.fleet.borrow_mut();
                let region = if case.is_near { "north" } else { "south" };
                fleet.put(
                    Instant::now(),
                    Member {
                        region: region.into(),
                        // Not strong enough to be a reader of the region.
                        weight: 0.1,
                        ..member(case.reader)
                    },
                );
                let reader = name(case.reader).as_str().into();
                fleet.record_store_reader_heard(now - Duration::from_secs(1), &reader);
            }
            let address = control_address(case.reader);
            let is_source = sources(&gateway)
                .iter()
                .any(|source| source.address == address);
            let expected = match is_reader(&gateway) {
                true => case.expected.0,
                false => case.expected.1,
            };
            assert_eq!(is_source, expected, "{}: host {own}", case.name);
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.forget_store_reader(&name(case.reader).as_str().into());
            drop(fleet);
            let mut sources = sources(&gateway).into_iter();
            assert!(sources.all(|source| source.address != address));
        }
    }
}

#[test]
fn a_host_that_reads_the_store_stays_a_reader() {
    let gateway = gateway(0, &all_but(0));
    let now = Instant::now();
    let rank = || -> Vec<String> {
        let fleet = gateway.fleet.borrow();
        let readers = fleet.readers(now, "north", Duration::from_secs(1));
        readers
            .iter()
            .map(|reader| reader.host.to_string())
            .collect()
    };
    let before = rank();
    let other = (0..HOSTS).map(name).find(|host| !before.contains(host));
    let other = other.expect("a follower");
    let record = |host: &str, fails: bool| {
        let mut fleet = gateway.fleet.borrow_mut();
        match fails {
            true => fleet.record_reader_failure(now, &host.into()),
            false => fleet.record_store_reader(now, &host.into()),
        }
    };
    record(&other, false);
    assert!(
        rank().contains(&other),
        "it reads the store, and the others do not"
    );
    before.iter().for_each(|host| record(host, false));
    assert_eq!(rank().len(), 2);
    record(&other, true);
    assert!(
        !rank().contains(&other),
        "it cannot read the store any more"
    );
}

#[test]
fn a_starting_host_asks_others_before_the_store() {
    for own in 0..HOSTS {
        let sources = sources(&gateway(own, &[]));
        assert!(!sources[0].is_store, "{own}");
        assert!(sources.iter().any(|source| source.is_store), "{own}");
        let asks_itself = sources
            .iter()
            .any(|source| source.address == control_address(own));
        assert!(!asks_itself, "{own}");
    }
}

#[test]
fn a_host_that_is_behind_reads_again_from_the_right_source() {
    struct Case {
        name: &'static str,
        own_is_reader: bool,
        reporter_is_reader: bool,
        /// What the host does after half a second, and after five
        expected: [Option<&'static str>; 2],
    }
    let cases = [
        Case {
            name: "a follower behind its reader",
            own_is_reader: false,
            reporter_is_reader: true,
            expected: [Some("changes"), Some("reader")],
        },
        Case {
            name: "a follower behind another follower",
            own_is_reader: false,
            reporter_is_reader: false,
            expected: [None, Some("store")],
        },
        Case {
            name: "a reader behind a follower",
            own_is_reader: true,
            reporter_is_reader: false,
            expected: [Some("store"), None],
        },
        Case {
            name: "a reader behind the other reader",
            own_is_reader: true,
            reporter_is_reader: true,
            expected: [Some("store"), None],
        },
    ];
    let readers: Vec<u8> = (0..HOSTS)
        .filter(|own| is_reader(&gateway(*own, &all_but(*own))))
        .collect();
    for case in cases {
        let find = |wanted: bool, other: Option<u8>| {
            let mut numbers = (0..HOSTS).filter(|number| Some(*number) != other);
            numbers.find(|number| readers.contains(number) == wanted)
        };
        let own = find(case.own_is_reader, None).expect("a host");
        let reporter = find(case.reporter_is_reader, Some(own)).expect("a host");
        let gateway = gateway(own, &all_but(own));
        let mut monitor = LagMonitor::default();
        let watermarks = BTreeMap::from([(Kind::Configuration, Watermark::new(7, 1))]);
        let host = name(reporter).as_str().into();
        let start = Instant::now();
        let mut observe = |seconds| {
            let now = start + Duration::from_secs_f64(seconds);
            monitor.observe(&gateway, now, &host, &watermarks)
        };
        assert!(observe(0.0).is_empty(), "{}", case.name);
        for (seconds, expected) in [0.5, 5.0].into_iter().zip(case.expected) {
            let resyncs = observe(seconds);
            let found = resyncs.first().map(|(_, resync)| match resync {
                Resync::Changes(address) if *address == control_address(reporter) => "changes",
                Resync::Reader(address) if *address == control_address(reporter) => "reader",
                Resync::Changes(_) | Resync::Reader(_) => "another host",
                Resync::Store => "store",
            });
            assert_eq!(found, expected, "{}, after {seconds} s", case.name);
        }
    }
}

#[test]
fn watches_at_the_store_end_within_the_time_of_a_change() {
    for kind in [Kind::Configuration, Kind::Endpoints, Kind::Evacuations] {
        let waits: Vec<Duration> = (0..100).map(|_| watch_wait(kind, true)).collect();
        let max = waits.iter().max().copied().unwrap_or_default();
        let min = waits.iter().min().copied().unwrap_or_default();
        assert!(max <= Duration::from_secs(4), "{kind:?}: {max:?}");
        assert!(max - min > Duration::from_secs(1), "{kind:?}: {min:?}");
    }
}

/// Guards against starting hosts that list all kinds twice: the others know of objects that were
/// removed before the list
#[test]
fn a_list_covers_writes_of_objects_that_were_removed_before_it() {
    struct Case {
        name: &'static str,
        remote: Watermark,
        is_behind: bool,
    }
    // Own list: two objects, the newest of revision 5, read at revision 9.
    let cases = [
        Case {
            name: "an object was written and removed before the list",
            remote: Watermark::new(7, 2),
            is_behind: false,
        },
        Case {
            name: "an object was removed after the list",
            remote: Watermark::new(7, 1),
            is_behind: true,
        },
        Case {
            name: "an object was written after the list",
            remote: Watermark::new(11, 3),
            is_behind: true,
        },
        Case {
            name: "another host that is behind",
            remote: Watermark::new(4, 2),
            is_behind: false,
        },
    ];
    let object = |name: &str, revision| Object {
        name: name.into(),
        revision,
        spec: serde_json::Value::Null,
    };
    for case in cases {
        let mut mirror = Mirror::default();
        let objects = vec![object("a", 3), object("b", 5)];
        let position = Position {
            era: 0,
            revision: 9,
        };
        mirror.replace(Instant::now(), Kind::Endpoints, objects, position);
        let local = mirror.watermark_against(Kind::Endpoints, case.remote);
        assert_eq!(case.remote > local, case.is_behind, "{}", case.name);
    }
}

#[test]
fn a_followed_host_is_left_when_this_host_becomes_a_reader() {
    struct Case {
        name: &'static str,
        /// Source that is used, `None` for the store, and its number in the list it came from
        used: Option<u8>,
        was_reader: bool,
        /// Whether the store serves this host
        is_served: bool,
        sources: &'static [Option<u8>],
        is_replaced: bool,
    }
    let cases = [
        Case {
            name: "the reader stays",
            used: Some(1),
            was_reader: false,
            is_served: true,
            sources: &[Some(1), Some(2), None],
            is_replaced: false,
        },
        Case {
            name: "the reader is none any more",
            used: Some(1),
            was_reader: false,
            is_served: false,
            sources: &[Some(2), Some(3), None],
            is_replaced: true,
        },
        Case {
            name: "this host became a reader, and so is the other one",
            used: Some(1),
            was_reader: false,
            is_served: true,
            sources: &[None, Some(1)],
            is_replaced: true,
        },
        Case {
            name: "this host became a reader, but the store refuses it",
            used: Some(1),
            was_reader: false,
            is_served: false,
            sources: &[None, Some(1)],
            is_replaced: false,
        },
        Case {
            name: "a reader that cannot read the store uses the other one",
            used: Some(1),
            was_reader: true,
            is_served: false,
            sources: &[None, Some(1)],
            is_replaced: false,
        },
        Case {
            name: "the store",
            used: None,
            was_reader: false,
            is_served: true,
            sources: &[Some(1), Some(2), None],
            is_replaced: false,
        },
    ];
    let source = |number: &Option<u8>| Source {
        address: number.map_or(store_address(), control_address),
        is_store: number.is_none(),
    };
    for case in cases {
        let sources: Vec<_> = case.sources.iter().map(source).collect();
        let is_replaced = is_replaced(
            source(&case.used),
            case.was_reader,
            case.is_served,
            &sources,
        );
        assert_eq!(is_replaced, case.is_replaced, "{}", case.name);
    }
}
