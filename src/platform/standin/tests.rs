//! The stand-in store behaves as the platform's pages say, seen through the product's client.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::json;

use super::store::{Faults, Outage, Store};
use crate::platform::store::{Error, Event, Kind, Session};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[test]
fn lists_come_in_pages_and_watches_tell_what_follows() {
    smol::block_on(async {
        let store = Store::new();
        let address = store.start(ANY).await.expect("a port");
        for i in 0..120 {
            store.write("servers", &format!("i-{i:03}"), json!({ "n": i }));
        }
        let mut session = Session::new(address);
        let (objects, revision) = session.list(Kind::Endpoints).await.expect("a list");
        assert_eq!(objects.len(), 120);
        store.write("servers", "i-007", json!({ "n": "new" }));
        store.remove("servers", "i-008");
        let told = session
            .watch(Kind::Endpoints, revision, Duration::from_secs(1))
            .await;
        let (events, next) = told.expect("changes");
        assert!(matches!(&events[..], [Event::Put(_), Event::Removed(name)] if name == "i-008"));
        let told = session
            .watch(Kind::Endpoints, next, Duration::from_millis(20))
            .await;
        assert!(told.expect("nothing new").0.is_empty());
        store.write("servers", "i-009", json!({}));
        store.compact();
        let told = session
            .watch(Kind::Endpoints, next, Duration::from_millis(20))
            .await;
        assert!(matches!(told, Err(Error::Compacted)));
    });
}

#[test]
fn writes_are_conditional_and_faults_show_as_they_are() {
    smol::block_on(async {
        let store = Store::new();
        let address = store.start(ANY).await.expect("a port");
        let mut session = Session::new(address);
        let kind = Kind::Hosts;
        assert!(matches!(
            session.replace(kind, "h", &json!(1)).await,
            Err(Error::NotFound)
        ));
        session.create(kind, "h", &json!(1)).await.expect("created");
        assert!(matches!(
            session.create(kind, "h", &json!(1)).await,
            Err(Error::Conflict)
        ));
        session
            .replace(kind, "h", &json!(2))
            .await
            .expect("replaced");
        let stale = session.delete(kind, "h", Some(1)).await;
        assert!(matches!(stale, Err(Error::Conflict)));
        for (outage, busy) in [(Outage::Unavailable, true), (Outage::Reset, false)] {
            let faults = Faults {
                outage,
                ..Faults::default()
            };
            store.set_faults(faults);
            let failed = session.list(kind).await;
            assert_eq!(
                matches!(failed, Err(Error::Rejected(503))),
                busy,
                "{outage:?}"
            );
            assert!(failed.is_err());
            session.disconnect();
        }
        store.set_faults(Faults::default());
        let (objects, _) = session.list(kind).await.expect("a list");
        assert_eq!(objects[0].spec, json!(2));
    });
}
