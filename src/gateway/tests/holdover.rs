//! Objects that stay in force after the store came back from an older copy.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::gateway::holdover::{HOLD_TIME, Holdover};
use crate::platform::store::{Event, Kind, Object};

fn object(name: &str, version: u64) -> Object {
    Object {
        name: name.into(),
        revision: 1,
        spec: json!({ "version": version }),
    }
}

#[test]
fn lost_objects_stay_in_force_until_they_are_written_again() {
    struct Case {
        name: &'static str,
        kind: Kind,
        known: Vec<Object>,
        restored: Vec<Object>,
        event: Option<Event>,
        held: usize,
    }
    let cases = [
        Case {
            name: "an evacuation that the store has",
            kind: Kind::Evacuations,
            known: vec![object("a", 0)],
            restored: vec![object("a", 0)],
            event: None,
            held: 0,
        },
        Case {
            name: "an evacuation that the store lacks",
            kind: Kind::Evacuations,
            known: vec![object("a", 0), object("b", 0)],
            restored: vec![object("a", 0)],
            event: None,
            held: 1,
        },
        Case {
            name: "an evacuation that is written again",
            kind: Kind::Evacuations,
            known: vec![object("b", 0)],
            restored: vec![],
            event: Some(Event::Put(object("b", 0))),
            held: 0,
        },
        Case {
            name: "an evacuation that is taken back",
            kind: Kind::Evacuations,
            known: vec![object("b", 0)],
            restored: vec![],
            event: Some(Event::Removed("b".into())),
            held: 0,
        },
        Case {
            name: "a configuration with an older version in the store",
            kind: Kind::Configuration,
            known: vec![object("main", 7)],
            restored: vec![object("main", 5)],
            event: Some(Event::Put(object("main", 6))),
            held: 1,
        },
        Case {
            name: "a configuration that is written again",
            kind: Kind::Configuration,
            known: vec![object("main", 7)],
            restored: vec![object("main", 5)],
            event: Some(Event::Put(object("main", 7))),
            held: 0,
        },
        Case {
            name: "a configuration that the store lacks",
            kind: Kind::Configuration,
            known: vec![object("main", 7)],
            restored: vec![],
            event: None,
            held: 1,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut holdover = Holdover::default();
        holdover.begin(now, case.kind, case.known.iter(), &case.restored);
        if let Some(event) = &case.event {
            holdover.release_changed(case.kind, event);
        }
        assert_eq!(holdover.len(), case.held, "{}", case.name);
        let just_before = now + HOLD_TIME - Duration::from_millis(1);
        assert!(holdover.expire(just_before).is_empty(), "{}", case.name);
        let expired = holdover.expire(now + HOLD_TIME);
        assert_eq!(!expired.is_empty(), case.held > 0, "{}", case.name);
        assert_eq!(holdover.len(), 0, "{}", case.name);
    }
}

#[test]
fn second_restore_keeps_what_the_first_one_lost() {
    let now = Instant::now();
    let mut holdover = Holdover::default();
    let lost = [object("a", 0)];
    holdover.begin(now, Kind::Evacuations, lost.iter(), &[]);
    holdover.begin(now, Kind::Evacuations, [].iter(), &[]);
    assert_eq!(holdover.objects(Kind::Evacuations).count(), 1);
}

#[test]
fn starting_host_adopts_what_a_witness_holds() {
    let now = Instant::now();
    let mut witness = Holdover::default();
    let lost = [object("main", 7)];
    witness.begin(now, Kind::Configuration, lost.iter(), &[]);
    let later = now + Duration::from_secs(20);
    let mut starting = Holdover::default();
    starting.adopt(later, witness.report(later));
    assert_eq!(starting.len(), 1);
    assert!(starting.report(later).is_witness);
    starting.release_listed(Kind::Configuration, &[object("main", 8)]);
    assert_eq!(starting.len(), 0, "the store has a newer version");
    let mut late = Holdover::default();
    late.adopt(later, witness.report(now + HOLD_TIME));
    assert_eq!(late.len(), 0, "what is no longer held is not adopted");
}
