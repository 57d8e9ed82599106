//! Followers of a host that listed a kind again go on with its changes.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use crate::gateway::mirror::{Mirror, Update};
use crate::gateway::origin::Origin;
use crate::platform::store::{Event, Kind, Object, Position};

const KIND: Kind = Kind::Endpoints;
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.into(),
        revision,
        spec: Value::from(revision),
    }
}

/// Returns a mirror that others may follow, with a complete list
fn listed(objects: Vec<Object>, revision: u64) -> Mirror {
    let mut mirror = Mirror::default();
    mirror.replace(Instant::now(), KIND, objects, at(revision));
    mirror.set_origin(KIND, Origin::new(Instant::now()));
    mirror.set_served(KIND, true);
    mirror
}

fn revisions_by_name(mirror: &Mirror) -> BTreeMap<String, u64> {
    let objects = mirror.objects(KIND);
    objects
        .map(|object| (object.name.to_string(), object.revision))
        .collect()
}

#[test]
fn all_followers_list_a_kind_after_their_reader_did() {
    struct Case {
        name: &'static str,
        /// Position of the reader's second list; the first one is at 10, with a change at 12
        listed_at: Position,
        follower_at: u64,
        expected: Update,
    }
    let differences = |revision| {
        let removed = Event::Removed("a".into());
        let put = Event::Put(object("c", 14));
        Update::Changes(vec![removed, put], revision)
    };
    let cases = [
        Case {
            name: "a follower that has all that the reader had",
            listed_at: at(15),
            follower_at: 12,
            expected: differences(15),
        },
        Case {
            name: "a follower that may have been told what was gone again when the reader listed",
            listed_at: at(15),
            follower_at: 14,
            expected: Update::Compacted,
        },
        Case {
            name: "a follower at the revision of the list",
            listed_at: at(15),
            follower_at: 15,
            expected: Update::Unchanged,
        },
        Case {
            name: "a follower from before the first list",
            listed_at: at(15),
            follower_at: 9,
            expected: Update::Compacted,
        },
        Case {
            name: "a list that is older than what the reader had",
            listed_at: at(11),
            follower_at: 10,
            expected: Update::Compacted,
        },
        Case {
            name: "a list of another era",
            listed_at: Position {
                era: 2,
                revision: 15,
            },
            follower_at: 12,
            expected: Update::Compacted,
        },
    ];
    for case in cases {
        let mut reader = listed(vec![object("a", 3)], 10);
        reader.apply_changes(KIND, &[Event::Put(object("b", 12))], 12);
        let second_list = vec![object("b", 12), object("c", 14)];
        reader.replace(Instant::now(), KIND, second_list, case.listed_at);
        let update = reader.changes_after(Instant::now(), KIND, at(case.follower_at));
        assert_eq!(update, case.expected, "{}", case.name);
    }
}

#[test]
fn gap_is_forgotten_when_the_history_overflows() {
    let mut reader = listed(vec![object("a", 3)], 10);
    reader.apply_changes(KIND, &[Event::Put(object("a", 12))], 12);
    // A follower of another host is told of an object that is gone again when this one lists.
    let told = at(15);
    reader.replace(Instant::now(), KIND, vec![object("a", 12)], at(20));
    for revision in 21..=3000 {
        reader.apply_changes(KIND, &[Event::Put(object("b", revision))], revision);
        if revision <= 40 {
            let objects = vec![object("a", 12), object("b", revision)];
            reader.replace(Instant::now(), KIND, objects, at(revision));
        }
        let update = reader.changes_after(Instant::now(), KIND, told);
        assert_eq!(update, Update::Compacted, "at {revision}");
    }
}

/// A follower changes between two readers whose watches break, and which list again then
#[test]
fn follower_of_a_reader_that_listed_again_misses_a_change() {
    let (mut told, mut compacted) = (0, 0);
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store: BTreeMap<&str, u64> = BTreeMap::new();
        let mut readers = [listed(Vec::new(), 1), listed(Vec::new(), 1)];
        let mut is_broken = [false; 2];
        let mut follower = listed(Vec::new(), 1);
        for revision in 2..300 {
            let name = NAMES[rng.usize(..NAMES.len())];
            let event = match rng.bool() {
                true => {
                    store.insert(name, revision);
                    Event::Put(object(name, revision))
                }
                false => {
                    store.remove(name);
                    Event::Removed(name.into())
                }
            };
            let objects = || store.iter().map(|(name, at)| object(name, *at)).collect();
            let mut is_replaced = [false; 2];
            for (index, reader) in readers.iter_mut().enumerate() {
                is_replaced[index] = is_broken[index] && rng.u8(..4) == 0;
                if is_replaced[index] {
                    reader.replace(Instant::now(), KIND, objects(), at(revision));
                    is_broken[index] = false;
                } else if !is_broken[index] {
                    reader.apply_changes(KIND, std::slice::from_ref(&event), revision);
                    is_broken[index] = rng.u8(..10) == 0;
                }
            }
            let index = rng.usize(..2);
            if is_broken[index] || rng.bool() {
                continue;
            }
            let position = follower.position(KIND);
            match readers[index].changes_after(Instant::now(), KIND, position) {
                Update::Changes(events, next) => {
                    told += usize::from(is_replaced[index]);
                    follower.apply_changes(KIND, &events, next);
                }
                Update::Compacted => {
                    compacted += 1;
                    follower.replace(Instant::now(), KIND, objects(), at(revision));
                }
                // A change that left nothing to tell.
                Update::Unchanged => continue,
                Update::Unavailable => panic!("seed {seed}: the reader serves it"),
            }
            let expected: BTreeMap<String, u64> = store
                .iter()
                .map(|(name, at)| (name.to_string(), *at))
                .collect();
            assert_eq!(revisions_by_name(&follower), expected, "seed {seed}");
        }
    }
    assert!(told > 0 && compacted > 0, "{told} told, {compacted} listed");
}
