//! Following the store while other hosts are ahead or do not answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::channel::bounded;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};

use crate::fleet::{Member, Report};
use crate::gateway::settings::Settings;
use crate::gateway::source::Resync;
use crate::gateway::{Gateway, watch};
use crate::platform::standin::store::{Faults, Store};
use crate::platform::store::{Kind, Object, Position};
use crate::policy::{Document, Limits};
use crate::retry::Bound;

pub fn settings(host: &str, store: SocketAddr) -> Settings {
    let unused_address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Settings {
        host: host.into(),
        zone: "north-a".into(),
        region: "north".into(),
        zones: BTreeMap::from([("north-a".into(), "north".into())]),
        caller_address: unused_address,
        readiness_address: unused_address,
        control_address: None,
        directory_address: None,
        peer_address: unused_address,
        seed_addresses: Vec::new(),
        store_address: store,
        weight: 1.0,
        memory_bytes: 64 << 20,
        max_descriptors: 256,
        apply_time: Duration::from_secs(2),
        drain_time: Duration::from_secs(2),
        restore_time: Duration::from_secs(6),
        grace_period: Duration::from_secs(4),
        max_directory_ttl: Duration::from_secs(5),
        retry_bound: Bound {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        },
    }
}

/// Guards against a list that never completes: on a slow link, changes arrive faster than a list is
/// read, and each one could restart it.
#[test]
fn slow_list_completes_while_other_hosts_are_ahead() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let store = Store::new();
        let address = store.start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        store.write(Kind::Hosts.name(), "h2", json!({}));
        store.set_faults(Faults {
            delay: Duration::from_millis(600),
            ..Faults::default()
        });
        let gateway = Rc::new(Gateway::new(settings("h1", address), executor.clone()));
        let (resync, resync_requested) = bounded(1);
        let _following = executor.spawn(watch::follow(
            gateway.clone(),
            Kind::Hosts,
            resync_requested,
        ));
        let _resyncing = executor.spawn(async move {
            loop {
                Timer::after(Duration::from_millis(200)).await;
                // If the channel is full, a resync is already pending.
                let _ = resync.try_send(Resync::Store);
            }
        });
        let start = Instant::now();
        let mut calls = 0;
        while store.call_count() < 3 {
            assert!(start.elapsed() < Duration::from_secs(10), "{calls} calls");
            calls = store.call_count();
            Timer::after(Duration::from_millis(20)).await;
        }
        assert!(
            gateway.mirror.borrow().was_read(Kind::Hosts),
            "{calls} calls"
        );
    }));
}

/// Returns a host that follows others, whose control addresses are all the same
fn follower(
    executor: &Rc<LocalExecutor<'static>>,
    store: SocketAddr,
    readers: SocketAddr,
) -> Rc<Gateway> {
    let member = |host: &str| Member {
        host: host.into(),
        zone: "north-a".into(),
        region: "north".into(),
        caller: store,
        peer: store,
        control: Some(readers),
        incarnation: 1,
        weight: 1.0,
        revision: 1,
    };
    let hosts: Vec<Member> = (0..8).map(|i| member(&format!("h{i}"))).collect();
    let now = Instant::now();
    let gateway = hosts.iter().find_map(|own| {
        let gateway = Gateway::new(settings(&own.host, store), executor.clone());
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.replace(Instant::now(), hosts.clone());
        hosts
            .iter()
            .for_each(|host| fleet.record_report(now, &report(&host.host)));
        let readers = fleet.readers(now, "north", Duration::from_secs(1));
        let is_reader = readers.iter().any(|reader| reader.host == own.host);
        drop(readers);
        drop(fleet);
        (!is_reader).then(|| Rc::new(gateway))
    });
    gateway.expect("no host is a follower")
}

/// Guards against followers that all list everything at one reader as soon as the other is slower
#[test]
fn follower_that_is_behind_lists_everything_again() {
    struct Case {
        name: &'static str,
        resync: fn(SocketAddr) -> Resync,
        /// Calls to the reader until it waits for changes again, with 50 objects on a page
        calls: u64,
    }
    let cases = [
        Case {
            name: "the changes are read",
            resync: Resync::Changes,
            calls: 1,
        },
        Case {
            name: "the changes did not help",
            resync: Resync::Reader,
            calls: 4,
        },
    ];
    for case in cases {
        let executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.clone().run(async {
            let reader = Store::new();
            let address = reader.start("127.0.0.1:0".parse().unwrap()).await.unwrap();
            for number in 0..120 {
                reader.write(Kind::Evacuations.name(), &format!("z{number}"), json!({}));
            }
            let unused_address = "127.0.0.1:0".parse().unwrap();
            let gateway = follower(&executor, unused_address, address);
            let (resync, resync_requested) = bounded(1);
            let _following = executor.spawn(watch::follow(
                gateway.clone(),
                Kind::Evacuations,
                resync_requested,
            ));
            while !gateway.mirror.borrow().was_read(Kind::Evacuations) {
                Timer::after(Duration::from_millis(5)).await;
            }
            Timer::after(Duration::from_millis(100)).await;
            let calls = reader.call_count();
            resync.try_send((case.resync)(address)).unwrap();
            Timer::after(Duration::from_millis(300)).await;
            assert_eq!(reader.call_count() - calls, case.calls, "{}", case.name);
            let newest = reader.write(Kind::Evacuations.name(), "new", json!({}));
            let start = Instant::now();
            while gateway.mirror.borrow().position(Kind::Evacuations).revision < newest {
                assert!(start.elapsed() < Duration::from_secs(5), "{}", case.name);
                Timer::after(Duration::from_millis(5)).await;
            }
        }));
    }
}

/// Guards against a starting host that waits for readers which are too busy to answer: all its
/// sources accept connections but send no answer, and only a resync makes it try the store.
#[test]
fn list_from_a_silent_reader_is_abandoned_for_the_store() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let store = Store::new();
        let address = store.start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let silent_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let readers = silent_listener.local_addr().unwrap();
        let gateway = follower(&executor, address, readers);
        let (resync, resync_requested) = bounded(1);
        let _following = executor.spawn(watch::follow(
            gateway.clone(),
            Kind::Hosts,
            resync_requested,
        ));
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(
            store.call_count(),
            0,
            "the store was called before the readers"
        );
        resync.try_send(Resync::Store).unwrap();
        // Without a resync, the list would be abandoned only after 1.5 s.
        Timer::after(Duration::from_millis(500)).await;
        assert!(store.call_count() > 0, "the store was not called");
    }));
}

/// Guards against a starting host that takes its first list for a new era of the store
#[test]
fn first_list_begins_no_era() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let store = Store::with_era();
        let address = store.start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let gateway = Rc::new(Gateway::new(settings("h1", address), executor.clone()));
        let (_resync, resync_requested) = bounded(1);
        let _following = executor.spawn(watch::follow(
            gateway.clone(),
            Kind::Evacuations,
            resync_requested,
        ));
        let is_witness = || gateway.holdover.borrow().report(Instant::now()).is_witness;
        while !gateway.mirror.borrow().was_read(Kind::Evacuations) {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert!(!is_witness(), "it knows nothing of before");
        let copy = store.copy();
        store.restore(&copy);
        store.write(Kind::Evacuations.name(), "a", json!({}));
        while gateway.mirror.borrow().era() < 2 {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert!(is_witness(), "it lived through the restore");
    }));
}

/// Guards against a configuration that goes back because the store came back from an older copy, and
/// against one that stays for ever though the store holds the older one on purpose
#[test]
fn older_configuration_is_used_only_when_the_newer_one_is_no_longer_held() {
    let executor = Rc::new(LocalExecutor::new());
    let unused_address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let gateway = Gateway::new(settings("h1", unused_address), executor);
    let document = |version| Document::new(version, Vec::new(), BTreeMap::new(), Limits::default());
    assert!(gateway.apply(document(7)));
    assert!(!gateway.apply(document(5)), "it is older");
    gateway.is_rollback_allowed.set(true);
    assert!(!gateway.apply(document(7)), "it is in force");
    assert!(gateway.apply(document(5)), "it is the store's");
    assert_eq!(gateway.configuration_version(), 5);
}

fn report(host: &str) -> Report {
    Report {
        host: host.into(),
        region: "north".into(),
        ping: false,
        demand: BTreeMap::new(),
        running: BTreeMap::new(),
    }
}

/// Guards against a host that drops what it knows when it changes to a host that heard less
#[test]
fn list_of_a_host_that_heard_less_takes_changes_back() {
    struct Case {
        name: &'static str,
        /// Revisions of the listed objects, and the position of the list
        listed: &'static [u64],
        era: u64,
        revision: u64,
        is_behind: bool,
    }
    // Known: two objects, the newest of revision 12, read at revision 20.
    let cases = [
        Case {
            name: "it lacks a write",
            listed: &[7],
            era: 1,
            revision: 10,
            is_behind: true,
        },
        Case {
            name: "it lacks a removal",
            listed: &[7, 8, 12],
            era: 1,
            revision: 14,
            is_behind: true,
        },
        Case {
            name: "it has the same, read earlier",
            listed: &[7, 12],
            era: 1,
            revision: 14,
            is_behind: false,
        },
        Case {
            name: "it was read later",
            listed: &[7],
            era: 1,
            revision: 21,
            is_behind: false,
        },
        Case {
            name: "the store came back from an older copy",
            listed: &[7],
            era: 2,
            revision: 10,
            is_behind: false,
        },
    ];
    let object = |revision: &u64| Object {
        name: format!("o{revision}").into(),
        revision: *revision,
        spec: json!({}),
    };
    for case in cases {
        let executor = Rc::new(LocalExecutor::new());
        let unused_address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let gateway = Gateway::new(settings("h1", unused_address), executor);
        let known = [7, 12].iter().map(object).collect();
        let position = Position {
            era: 1,
            revision: 20,
        };
        gateway
            .mirror
            .borrow_mut()
            .replace(Instant::now(), Kind::Evacuations, known, position);
        let listed: Vec<Object> = case.listed.iter().map(object).collect();
        let position = Position {
            era: case.era,
            revision: case.revision,
        };
        let is_behind = watch::is_behind(&gateway, Kind::Evacuations, &listed, position);
        assert_eq!(is_behind, case.is_behind, "{}", case.name);
    }
}
