//! Following the store over a slow link while other hosts are ahead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::channel::bounded;
use smol::{LocalExecutor, Timer};

use crate::gateway::settings::Settings;
use crate::gateway::{Gateway, watch};
use crate::platform::standin::store::{Faults, Store};
use crate::platform::store::Kind;
use crate::retry::Bound;

fn settings(store: SocketAddr) -> Settings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Settings {
        host: "h1".into(),
        zone: "north-a".into(),
        region: "north".into(),
        zones: BTreeMap::from([("north-a".into(), "north".into())]),
        caller: any,
        ready: any,
        control: None,
        directory: None,
        peer: any,
        seeds: Vec::new(),
        store,
        weight: 1.0,
        memory: 64 << 20,
        descriptors: 256,
        grace: Duration::from_secs(4),
        lookup_most: Duration::from_secs(5),
        retries: Bound {
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
        let gateway = Rc::new(Gateway::new(settings(address), executor.clone()));
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
