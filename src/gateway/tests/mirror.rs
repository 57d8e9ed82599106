//! What a host that reads the store tells those that follow it.

use std::time::Instant;

use serde_json::Value;

use crate::gateway::mirror::{Mirror, Told};
use crate::platform::store::{Event, Kind, Object};

const KIND: Kind = Kind::Configuration;

fn put(name: &str, revision: u64) -> Event {
    Event::Put(Object {
        name: name.into(),
        revision,
        spec: Value::Null,
    })
}

/// Reader that listed at revision 10 and then saw changes at 12 and 15
fn reader() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace(Instant::now(), KIND, Vec::new(), 10);
    mirror.set_direct(KIND, true);
    mirror.change(KIND, &[put("a", 12)], 12);
    mirror.change(KIND, &[put("b", 14), Event::Removed("a".into())], 15);
    mirror
}

#[test]
fn followers_get_what_came_after_their_revision() {
    struct Case {
        revision: u64,
        events: Option<usize>,
    }
    let cases = [
        Case {
            revision: 9,
            events: None,
        },
        Case {
            revision: 10,
            events: Some(3),
        },
        Case {
            revision: 12,
            events: Some(2),
        },
        Case {
            revision: 15,
            events: Some(0),
        },
        Case {
            revision: 99,
            events: Some(0),
        },
    ];
    for case in cases {
        let told = match reader().after(KIND, case.revision) {
            Told::Changes(events, next) => {
                assert_eq!(next, 15);
                Some(events.len())
            }
            Told::Nothing => Some(0),
            Told::Compacted => None,
            Told::Stale => panic!("it is fresh"),
        };
        assert_eq!(told, case.events, "after {}", case.revision);
    }
}

#[test]
fn who_does_not_read_the_store_itself_tells_nothing() {
    let mut failing = reader();
    assert!(failing.failed(Instant::now(), KIND));
    assert!(!failing.failed(Instant::now(), KIND), "told once");
    assert_eq!(failing.after(KIND, 12), Told::Stale);
    let mut follower = reader();
    let waiting = follower.wait(KIND);
    follower.set_direct(KIND, false);
    assert_eq!(follower.after(KIND, 12), Told::Stale);
    assert!(waiting.is_closed(), "those that wait are told");
}

#[test]
fn stamps_tell_writes_and_removals() {
    let mirror = reader();
    let mut behind = reader();
    behind.put(
        KIND,
        Object {
            name: "a".into(),
            revision: 12,
            spec: Value::Null,
        },
    );
    assert!(
        mirror.stamps()[&KIND] > behind.stamps()[&KIND],
        "a removal was missed"
    );
    behind.change(KIND, &[put("c", 16)], 16);
    assert!(
        mirror.stamps()[&KIND] < behind.stamps()[&KIND],
        "a write was missed"
    );
}
