//! Changes that a host that reads the store serves to its followers.

use std::time::Instant;

use serde_json::Value;

use crate::gateway::mirror::{Mirror, Update};
use crate::platform::store::{Event, Kind, Object, Position};

const KIND: Kind = Kind::Configuration;

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn put(name: &str, revision: u64) -> Event {
    Event::Put(Object {
        name: name.into(),
        revision,
        spec: Value::Null,
    })
}

/// Returns a mirror that was listed at revision 10 and changed at 12 and 15
fn reader() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace(Instant::now(), KIND, Vec::new(), at(10));
    mirror.set_direct(KIND, true);
    mirror.apply_changes(KIND, &[put("a", 12)], 12);
    mirror.apply_changes(KIND, &[put("b", 14), Event::Removed("a".into())], 15);
    mirror
}

#[test]
fn followers_get_the_changes_after_their_revision() {
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
        let event_count = match reader().changes_after(KIND, at(case.revision)) {
            Update::Changes(events, next) => {
                assert_eq!(next, 15);
                Some(events.len())
            }
            Update::Unchanged => Some(0),
            Update::Compacted => None,
            Update::Unavailable => panic!("the mirror is read from the store"),
        };
        assert_eq!(event_count, case.events, "after {}", case.revision);
    }
}

#[test]
fn mirror_that_is_not_read_from_the_store_serves_no_changes() {
    let mut unreachable = reader();
    assert!(unreachable.mark_unreachable(Instant::now(), KIND));
    assert!(
        !unreachable.mark_unreachable(Instant::now(), KIND),
        "the second failure is not new"
    );
    assert_eq!(unreachable.changes_after(KIND, at(12)), Update::Unavailable);
    let mut follower = reader();
    let subscription = follower.subscribe(KIND);
    follower.set_direct(KIND, false);
    assert_eq!(follower.changes_after(KIND, at(12)), Update::Unavailable);
    assert!(
        subscription.is_closed(),
        "waiting followers are not notified"
    );
}

#[test]
fn watermarks_reveal_missed_writes_and_removals() {
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
        mirror.watermarks()[&KIND] > behind.watermarks()[&KIND],
        "the watermark hides a missed removal"
    );
    behind.apply_changes(KIND, &[put("c", 16)], 16);
    assert!(
        mirror.watermarks()[&KIND] < behind.watermarks()[&KIND],
        "the watermark hides a missed write"
    );
}

#[test]
fn positions_of_an_older_era_are_compacted() {
    let mut mirror = reader();
    let before = mirror.watermarks()[&KIND];
    let subscription = mirror.subscribe(KIND);
    let restored = Position {
        era: 2,
        revision: 3,
    };
    mirror.replace(Instant::now(), KIND, Vec::new(), restored);
    assert!(
        subscription.is_closed(),
        "waiting followers are not notified"
    );
    assert_eq!(mirror.position(KIND), restored);
    assert_eq!(mirror.changes_after(KIND, at(15)), Update::Compacted);
    assert_eq!(mirror.changes_after(KIND, at(3)), Update::Compacted);
    assert_eq!(mirror.changes_after(KIND, restored), Update::Unchanged);
    assert!(
        mirror.watermarks()[&KIND] > before,
        "hosts that are behind the new era do not notice"
    );
}
