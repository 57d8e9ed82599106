//! Encoding of heartbeats.

use std::collections::BTreeMap;

use crate::fleet::Watermark;
use crate::gateway::heartbeat::Heartbeat;
use crate::platform::store::Kind;

#[test]
fn heartbeat_tells_what_its_sender_has_read() {
    let read = BTreeMap::from([
        (Kind::Configuration, Watermark::new(7, 1).with_era(3)),
        (Kind::Endpoints, Watermark::new(9, 990)),
        (Kind::Hosts, Watermark::new(9, 195)),
    ]);
    for is_followed in [true, false] {
        let heartbeat = Heartbeat::new("edge-a-1".into(), is_followed, &read);
        let decoded = Heartbeat::decode(&heartbeat.encode()).expect("a heartbeat is decoded");
        assert_eq!(decoded, heartbeat);
        let mut expected = read.clone();
        expected.remove(&Kind::Hosts);
        assert_eq!(decoded.watermarks(), expected);
    }
}

#[test]
fn other_datagrams_are_no_heartbeats() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let heartbeat = Heartbeat::new("edge-a-1".into(), true, &BTreeMap::new()).encode();
    let cases = [
        Case {
            name: "empty",
            bytes: Vec::new(),
        },
        Case {
            name: "cut off",
            bytes: heartbeat[..heartbeat.len() - 1].to_vec(),
        },
        Case {
            name: "a report, which begins with the length of a name",
            bytes: [&[8][..], &heartbeat[1..]].concat(),
        },
        Case {
            name: "a question about a limit",
            bytes: [&[0, 0][..], &heartbeat[2..]].concat(),
        },
    ];
    for case in cases {
        assert_eq!(Heartbeat::decode(&case.bytes), None, "{}", case.name);
    }
}
