//! Encoding of pulses.

use std::collections::BTreeMap;

use crate::fleet::Watermark;
use crate::gateway::pulse::Pulse;
use crate::platform::store::Kind;

#[test]
fn pulse_tells_what_its_sender_has_read() {
    let read = BTreeMap::from([
        (Kind::Configuration, Watermark::new(7, 1).with_era(3)),
        (Kind::Endpoints, Watermark::new(9, 990)),
        (Kind::Hosts, Watermark::new(9, 195)),
    ]);
    for is_followed in [true, false] {
        let pulse = Pulse::new("edge-a-1".into(), is_followed, &read);
        let decoded = Pulse::decode(&pulse.encode()).expect("a pulse is decoded");
        assert_eq!(decoded, pulse);
        let mut expected = read.clone();
        expected.remove(&Kind::Hosts);
        assert_eq!(decoded.watermarks(), expected);
    }
}

#[test]
fn other_datagrams_are_no_pulses() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let pulse = Pulse::new("edge-a-1".into(), true, &BTreeMap::new()).encode();
    let cases = [
        Case {
            name: "empty",
            bytes: Vec::new(),
        },
        Case {
            name: "cut off",
            bytes: pulse[..pulse.len() - 1].to_vec(),
        },
        Case {
            name: "a report, which begins with the length of a name",
            bytes: [&[8][..], &pulse[1..]].concat(),
        },
        Case {
            name: "a question about a limit",
            bytes: [&[0, 0][..], &pulse[2..]].concat(),
        },
    ];
    for case in cases {
        assert_eq!(Pulse::decode(&case.bytes), None, "{}", case.name);
    }
}
