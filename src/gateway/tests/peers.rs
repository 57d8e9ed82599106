//! Datagrams between hosts of this version and of earlier ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fleet::{Report, Watermark};
use crate::gateway::datagram::{LimitNews, Message, decode, encode};
use crate::id::{HostId, ServiceId};
use crate::platform::store::{Era, Kind};
use crate::quarantine::{Key, Record};

pub(super) fn message(kinds: &[Kind], suspects: usize, era: u64) -> Message {
    let watermarks = kinds
        .iter()
        .map(|kind| (*kind, Watermark::new(7, 3).with_era(era)))
        .collect();
    let record = Record {
        crashed: BTreeSet::from([1, u64::MAX]),
        cleared: BTreeSet::from([3]),
        age: Duration::from_millis(1500),
    };
    Message {
        report: Report {
            host: "edge-1".into(),
            region: "north".into(),
            ping: true,
            demand: BTreeMap::from([("portal".into(), 1.5)]),
            running: BTreeMap::from([(17, 2)]),
        },
        watermarks,
        suspects: (0..suspects as u64)
            .map(|key| (key, record.clone()))
            .collect(),
        cannot_read_store: false,
        region_demand: BTreeMap::new(),
        reads_store: false,
        store_reader: None,
        held: 0,
        limits: Vec::new(),
        sequence: 0,
    }
}

/// Reads what is behind the third part as the version before the seventh part did
fn assert_sixth_part(rest: &[u8], sent: &Message, name: &str) {
    type Fourth = (bool, BTreeMap<ServiceId, f32>);
    type Fifth = (bool, Option<(HostId, u64)>, u64);
    let (_, rest): (Fourth, _) =
        postcard::take_from_bytes(rest).expect("the fourth part is as before");
    if rest.is_empty() {
        return;
    }
    let (fifth, rest): (Fifth, _) =
        postcard::take_from_bytes(rest).expect("the fifth part is as before");
    assert_eq!((fifth.0, fifth.2), (sent.reads_store, sent.held), "{name}");
    if !rest.is_empty() {
        let limits: Vec<LimitNews> =
            postcard::from_bytes(rest).expect("the sixth part is as before");
        assert_eq!(limits, sent.limits, "{name}");
    }
}

/// Guards against hosts that take each other for silent while a fleet is updated host by host
#[test]
fn datagrams_are_understood_across_versions() {
    struct Case {
        name: &'static str,
        kinds: &'static [Kind],
        suspects: usize,
        era: u64,
        cannot_read_store: bool,
        reads_store: bool,
        /// Host that reads the store, as the sender heard
        store_reader: Option<&'static str>,
        held: u64,
        /// Limits of endpoints: run, requests a second, age in milliseconds
        limits: &'static [(u64, Option<f64>, u64)],
        /// Number of the report, 0 for none
        sequence: u64,
    }
    let none = Case {
        name: "",
        kinds: &Kind::ALL,
        suspects: 0,
        era: 0,
        cannot_read_store: false,
        reads_store: false,
        store_reader: None,
        held: 0,
        limits: &[],
        sequence: 0,
    };
    let cases = [
        Case {
            name: "host that read nothing yet",
            kinds: &[],
            ..none
        },
        Case {
            name: "all kinds, no news",
            ..none
        },
        Case {
            name: "all kinds and news",
            suspects: 3,
            ..none
        },
        Case {
            name: "a store that states its era",
            suspects: 3,
            era: 4,
            ..none
        },
        Case {
            name: "a sender that cannot read the store, which states no era",
            suspects: 3,
            cannot_read_store: true,
            ..none
        },
        Case {
            name: "a sender that cannot read a store with an era",
            era: 4,
            cannot_read_store: true,
            ..none
        },
        Case {
            name: "a sender that reads the store",
            reads_store: true,
            ..none
        },
        Case {
            name: "a sender that cannot read the store and knows who can",
            era: 4,
            cannot_read_store: true,
            store_reader: Some("edge-2"),
            ..none
        },
        Case {
            name: "a sender that holds what the store lost",
            held: u64::MAX,
            ..none
        },
        Case {
            name: "limits and nothing else",
            limits: &[(u64::MAX, Some(1.4), 20), (3, None, 4000)],
            ..none
        },
        Case {
            name: "limits beside all else",
            suspects: 3,
            era: 4,
            cannot_read_store: true,
            reads_store: true,
            store_reader: Some("edge-2"),
            held: 9,
            limits: &[(u64::MAX, Some(0.0), 0)],
            ..none
        },
        Case {
            name: "a number and nothing else",
            sequence: 1,
            ..none
        },
        Case {
            name: "a number beside all else",
            suspects: 3,
            era: 4,
            cannot_read_store: true,
            reads_store: true,
            store_reader: Some("edge-2"),
            held: 9,
            limits: &[(u64::MAX, Some(0.0), 0)],
            sequence: u64::MAX,
            ..none
        },
    ];
    for case in cases {
        let sent = Message {
            cannot_read_store: case.cannot_read_store,
            region_demand: match case.cannot_read_store {
                true => BTreeMap::from([("portal".into(), 40.5)]),
                false => BTreeMap::new(),
            },
            reads_store: case.reads_store,
            held: case.held,
            limits: case.limits.to_vec(),
            sequence: case.sequence,
            store_reader: case
                .store_reader
                .map(|host| (host.into(), Duration::from_millis(1200))),
            ..message(case.kinds, case.suspects, case.era)
        };
        let bytes = encode(&sent);
        assert_eq!(decode(&bytes).ok().as_ref(), Some(&sent), "{}", case.name);
        // Earlier versions read a report and the watermarks of the kinds that they know.
        let known = |kind: &Kind| *kind != Kind::Quarantine;
        let mut watermarks = sent.watermarks.clone();
        watermarks.retain(|kind, _| known(kind));
        watermarks.values_mut().for_each(|mark| mark.era = 0);
        let parsed: (Report, BTreeMap<Kind, Watermark>) =
            postcard::from_bytes(&bytes).expect("the first part is as before");
        assert_eq!(parsed, (sent.report.clone(), watermarks), "{}", case.name);
        let (_, rest): ((Report, BTreeMap<Kind, Watermark>), _) =
            postcard::take_from_bytes(&bytes).expect("the first part is as before");
        type Second = (Option<Watermark>, Vec<(Key, Record)>);
        let ((_, suspects), rest): (Second, _) =
            postcard::take_from_bytes(rest).expect("the second part is as before");
        assert_eq!(suspects, sent.suspects, "{}", case.name);
        if !rest.is_empty() {
            // An earlier version read four parts.
            let (_, rest): (BTreeMap<Kind, Era>, _) =
                postcard::take_from_bytes(rest).expect("the third part is as before");
            if !rest.is_empty() {
                let fourth: (bool, BTreeMap<ServiceId, f32>) =
                    postcard::from_bytes(rest).expect("the fourth part is as before");
                let expected = (sent.cannot_read_store, sent.region_demand.clone());
                assert_eq!(fourth, expected, "{}", case.name);
                assert_sixth_part(rest, &sent, case.name);
            }
        }
        let earlier = postcard::to_stdvec(&parsed).expect("it is encoded");
        let received = decode(&earlier).expect("the first part is enough");
        assert_eq!(received.report, sent.report, "{}", case.name);
        assert!(received.suspects.is_empty(), "{}", case.name);
    }
}
