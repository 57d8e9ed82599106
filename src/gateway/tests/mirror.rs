//! Changes that a host that reads the store serves to its followers.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::gateway::mirror::{Mirror, Update};
use crate::gateway::origin::Origin;
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
    mirror.set_origin(KIND, Origin::new(Instant::now()));
    mirror.set_served(KIND, true);
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
        let event_count = match reader().changes_after(Instant::now(), KIND, at(case.revision)) {
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
    assert_eq!(
        unreachable.changes_after(Instant::now(), KIND, at(12)),
        Update::Unavailable
    );
    let mut follower = reader();
    let subscription = follower.subscribe(KIND);
    follower.set_served(KIND, false);
    assert_eq!(
        follower.changes_after(Instant::now(), KIND, at(12)),
        Update::Unavailable
    );
    assert!(
        subscription.is_closed(),
        "waiting followers are not notified"
    );
}

#[test]
fn only_a_fresh_copy_near_the_store_is_served() {
    struct Case {
        name: &'static str,
        age: Duration,
        hops: u8,
        is_served: bool,
    }
    let cases = [
        Case {
            name: "read from the store",
            age: Duration::ZERO,
            hops: 0,
            is_served: true,
        },
        Case {
            name: "read from a host that reads the store",
            age: Duration::from_millis(900),
            hops: 1,
            is_served: true,
        },
        Case {
            name: "read from a host that follows another one",
            age: Duration::ZERO,
            hops: 2,
            is_served: false,
        },
        Case {
            name: "the store has not answered for long",
            age: Duration::from_secs(3),
            hops: 0,
            is_served: false,
        },
        Case {
            name: "the host that is followed has heard nothing for long",
            age: Duration::from_secs(3),
            hops: 1,
            is_served: false,
        },
    ];
    let read_at = Instant::now();
    for case in cases {
        let mut mirror = reader();
        let origin = Origin {
            answered_at: read_at,
            hops: case.hops,
        };
        mirror.set_origin(KIND, origin);
        let now = read_at + case.age;
        assert_eq!(
            mirror.is_followable(now, KIND),
            case.is_served,
            "{}",
            case.name
        );
        mirror.confirm(now);
        let is_direct = case.hops == 0;
        assert_eq!(mirror.reads_store(now, KIND), is_direct, "{}", case.name);
        let copy = mirror.copy_age(now, KIND);
        assert_eq!(copy.hops, case.hops, "{}", case.name);
        let age = if is_direct { Duration::ZERO } else { case.age };
        assert_eq!(copy.age, age, "{}: the age is the store's", case.name);
        let followed = Origin::with_copy(now, copy);
        assert_eq!(followed.age(now), age, "{}", case.name);
    }
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
    assert_eq!(
        mirror.changes_after(Instant::now(), KIND, at(15)),
        Update::Compacted
    );
    assert_eq!(
        mirror.changes_after(Instant::now(), KIND, at(3)),
        Update::Compacted
    );
    assert_eq!(
        mirror.changes_after(Instant::now(), KIND, restored),
        Update::Unchanged
    );
    assert!(
        mirror.watermarks()[&KIND] > before,
        "hosts that are behind the new era do not notice"
    );
}

/// Guards against a host that asks from a position beyond a change that it was not told
#[test]
fn missed_changes_are_asked_for_from_the_newest_known_write() {
    struct Case {
        name: &'static str,
        /// Revisions up to which the watch went on, with the revision of the object that it told
        told: &'static [(u64, Option<u64>)],
        expected: u64,
    }
    let cases = [
        Case {
            name: "nothing since the list",
            told: &[],
            expected: 10,
        },
        Case {
            name: "a change",
            told: &[(12, Some(12))],
            expected: 12,
        },
        Case {
            name: "the watch went past changes without telling them",
            told: &[(12, Some(12)), (18, None)],
            expected: 12,
        },
        Case {
            name: "the same right after the list",
            told: &[(18, None)],
            expected: 10,
        },
    ];
    assert_eq!(Mirror::default().resume_position(KIND), None);
    for case in cases {
        let mut mirror = Mirror::default();
        mirror.replace(Instant::now(), KIND, Vec::new(), at(10));
        for (revision, told) in case.told {
            let events: Vec<Event> = told.iter().map(|written| put("a", *written)).collect();
            mirror.apply_changes(KIND, &events, *revision);
        }
        let position = mirror.resume_position(KIND);
        assert_eq!(position, Some(at(case.expected)), "{}", case.name);
    }
}
