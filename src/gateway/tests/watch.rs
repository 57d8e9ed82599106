//! Following the store over a slow link while other hosts are ahead.

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
use crate::gateway::{Gateway, watch};
use crate::platform::standin::store::{Faults, Store};
use crate::platform::store::Kind;
use crate::retry::Bound;

fn settings(host: &str, store: SocketAddr) -> Settings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Settings {
        host: host.into(),
        zone: "north-a".into(),
        region: "north".into(),
        zones: BTreeMap::from([("north-a".into(), "north".into())]),
        caller_address: any,
        readiness_address: any,
        control_address: None,
        directory_address: None,
        peer_address: any,
        seed_addresses: Vec::new(),
        store_address: store,
        weight: 1.0,
        memory_bytes: 64 << 20,
        max_descriptors: 256,
        grace_period: Duration::from_secs(4),
        max_directory_ttl: Duration::from_secs(5),
        retry_bound: Bound {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        },
    }
}

/// Changes come faster than a list passes through a busy link
#[test]
fn a_slow_list_is_read_to_its_end_while_others_are_ahead() {
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
        let (kick, kicked) = bounded(1);
        let _following = executor.spawn(watch::follow(gateway.clone(), Kind::Hosts, kicked));
        let _kicking = executor.spawn(async move {
            loop {
                Timer::after(Duration::from_millis(200)).await;
                // A full channel already says so.
                let _ = kick.try_send(());
            }
        });
        let start = Instant::now();
        let mut begun = 0;
        while store.calls() < 3 {
            assert!(start.elapsed() < Duration::from_secs(10), "{begun} calls");
            begun = store.calls();
            Timer::after(Duration::from_millis(20)).await;
        }
        assert!(
            gateway.mirror.borrow().is_read(Kind::Hosts),
            "{begun} calls"
        );
    }));
}

/// Both readers of the region are too busy to answer a host that starts
#[test]
fn the_list_of_a_reader_that_does_not_answer_is_left_for_the_store() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let store = Store::new();
        let address = store.start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let member = |host: &str| Member {
            host: host.into(),
            zone: "north-a".into(),
            region: "north".into(),
            caller: address,
            peer: address,
            control: Some(silent.local_addr().unwrap()),
            incarnation: 1,
            weight: 1.0,
            revision: 1,
        };
        let hosts: Vec<Member> = (0..8).map(|i| member(&format!("h{i}"))).collect();
        let now = Instant::now();
        let gateway = hosts.iter().find_map(|own| {
            let gateway = Gateway::new(settings(&own.host, address), executor.clone());
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.replace(hosts.clone());
            hosts
                .iter()
                .for_each(|host| fleet.hear(now, &report(&host.host)));
            let readers = fleet.readers(now, "north", Duration::from_secs(1));
            let reads = readers.iter().any(|reader| reader.host == own.host);
            drop(readers);
            drop(fleet);
            (!reads).then(|| Rc::new(gateway))
        });
        let gateway = gateway.expect("a host that does not read");
        let (kick, kicked) = bounded(1);
        let _following = executor.spawn(watch::follow(gateway.clone(), Kind::Hosts, kicked));
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(store.calls(), 0, "it turns to the readers first");
        kick.try_send(()).unwrap();
        // A list that is not answered would be left only after 1.5 s.
        Timer::after(Duration::from_millis(500)).await;
        assert!(store.calls() > 0, "the store was not asked");
    }));
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
