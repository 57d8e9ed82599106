//! Tests of the frame encoding.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use proptest::collection::vec;
use proptest::prelude::*;

use super::*;

fn issuer() -> Issuer {
    Issuer {
        host: "bne-a-1".into(),
        incarnation: 9,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7001))
}

fn refusal() -> Refusal {
    Refusal {
        cause: Cause::NotOwner,
        retry_after: Duration::from_millis(1500),
        alternative_host: Some("bne-a-2".into()),
    }
}

fn request(operation: Operation) -> Request {
    Request {
        id: 0x1234,
        operation,
        service: "turni".into(),
        method: "POST".into(),
        target: "/accept?id=7".into(),
        headers: vec![("accept".into(), "text/html".into())],
        body: vec![1, 2, 3],
        remaining: Duration::from_millis(2500),
        origin: "bne-a".into(),
        reason: Reason::Spill,
    }
}

fn ticket() -> Ticket {
    Ticket {
        issuer: "bne-a-1".into(),
        incarnation: 9,
        service: "turni".into(),
        number: 3,
        seal: 77,
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        host: "bne-a-1".into(),
        zone: "bne-a".into(),
        incarnation: 9,
        config_number: 300,
        leaving: true,
        quarantined: vec![5],
        peer: address(),
        caller: address(),
        list_hash: 2,
        taken_over: vec![issuer()],
        stopping: vec![issuer()],
    }
}

fn host_info() -> HostInfo {
    HostInfo {
        host: "bne-a-1".into(),
        zone: "bne-a".into(),
        peer: address(),
        caller: address(),
        operator: None,
        leaving: false,
    }
}

/// Guards against a change of the encoding, which would break hosts of different builds
///
/// The bytes are those of the first build and never change.
#[test]
fn the_encoding_matches_the_first_build() {
    struct Case {
        frame: Frame,
        bytes: &'static str,
    }
    let cases = [
        Case {
            frame: Frame::Request(request(Operation::Serve)),
            bytes: concat!(
                "000000400100b42400057475726e6904504f53540c2f6163636570743f69643d",
                "37010661636365707409746578742f68746d6c030102030280cab5ee0105626e",
                "652d6102",
            ),
        },
        Case {
            frame: Frame::Request(request(Operation::Execute(ticket()))),
            bytes: concat!(
                "000000510100b4240107626e652d612d3109057475726e69034d057475726e69",
                "04504f53540c2f6163636570743f69643d37010661636365707409746578742f",
                "68746d6c030102030280cab5ee0105626e652d6102",
            ),
        },
        Case {
            frame: Frame::Answer(ResponseHead {
                status: 200,
                headers: vec![("etag".into(), "x".into())],
                length: Some(300),
            }),
            bytes: "0000000f0101c801010465746167017801ac02",
        },
        Case {
            frame: Frame::Body(vec![0, 255]),
            bytes: "0000000501020200ff",
        },
        Case {
            frame: Frame::End,
            bytes: "000000020103",
        },
        Case {
            frame: Frame::Refused(refusal()),
            bytes: "000000120104020180cab5ee010107626e652d612d32",
        },
        Case {
            frame: Frame::Unknown(refusal()),
            bytes: "000000120105020180cab5ee010107626e652d612d32",
        },
        Case {
            frame: Frame::Heartbeat(heartbeat()),
            bytes: concat!(
                "00000039010607626e652d612d3105626e652d6109ac02010105007f000001d9",
                "36007f000001d936020107626e652d612d31090107626e652d612d3109",
            ),
        },
        Case {
            frame: Frame::Fetch(300),
            bytes: "000000040107ac02",
        },
        Case {
            frame: Frame::Revision(b"{}".to_vec()),
            bytes: "000000050108027b7d",
        },
        Case {
            frame: Frame::Handover(vec![1, 2]),
            bytes: "000000050109020102",
        },
        Case {
            frame: Frame::Done,
            bytes: "00000002010a",
        },
        Case {
            frame: Frame::Unsupported,
            bytes: "00000002010b",
        },
        Case {
            frame: Frame::Hello("bne-a-1".into()),
            bytes: "0000000a010c07626e652d612d31",
        },
        Case {
            frame: Frame::List(300),
            bytes: "00000004010dac02",
        },
        Case {
            frame: Frame::Listing(vec![host_info()]),
            bytes: concat!(
                "00000021010e0107626e652d612d3105626e652d61007f000001d936007f0000",
                "01d9360000",
            ),
        },
        Case {
            frame: Frame::Same,
            bytes: "00000002010f",
        },
        Case {
            frame: Frame::Ramps,
            bytes: "000000020110",
        },
        Case {
            frame: Frame::Shares(vec![("turni".into(), [("z1".into(), 1.0)].into())]),
            bytes: "00000015011101057475726e6901027a31000000000000f03f",
        },
    ];
    for case in cases {
        let encoded = encode(&case.frame).expect("the frame is short");
        assert_eq!(to_hex(&encoded), case.bytes);
        let mut buffer = Buffer::new();
        buffer.push(&from_hex(case.bytes));
        assert_eq!(buffer.next_frame(), Ok(Some(case.frame)));
    }
}

#[test]
fn causes_keep_their_encoded_numbers() {
    struct Case {
        cause: Cause,
        number: u8,
    }
    let cases = [
        (Cause::NoHeadroom, 0),
        (Cause::CapReached, 1),
        (Cause::NotOwner, 2),
        (Cause::Quarantined, 3),
        (Cause::TooLate, 4),
        (Cause::Stopping, 5),
        (Cause::NoUpstream, 6),
        (Cause::NoService, 7),
        (Cause::LinkFull, 8),
        (Cause::BadTicket, 9),
        (Cause::NoIssuer, 10),
        (Cause::Running, 11),
        (Cause::Broken, 12),
        (Cause::NoBudget, 13),
    ];
    for case in cases.map(|(cause, number)| Case { cause, number }) {
        let mut refusal = refusal();
        refusal.cause = case.cause;
        let encoded = encode(&Frame::Refused(refusal)).expect("the frame is short");
        assert_eq!(encoded[6], case.number, "{:?}", case.cause);
    }
}

#[test]
fn invalid_bytes_are_rejected() {
    struct Case {
        description: &'static str,
        bytes: Vec<u8>,
        error: Option<Error>,
    }
    let newer_version = VERSION + 1;
    let cases = [
        Case {
            description: "incomplete length prefix",
            bytes: vec![0, 0],
            error: None,
        },
        Case {
            description: "incomplete frame",
            bytes: vec![0, 0, 0, 2, VERSION],
            error: None,
        },
        Case {
            description: "newer version",
            bytes: vec![0, 0, 0, 2, newer_version, 4],
            error: Some(Error::UnsupportedVersion(newer_version)),
        },
        Case {
            description: "version older than the oldest supported",
            bytes: vec![0, 0, 0, 2, OLDEST_VERSION - 1, 4],
            error: Some(Error::UnsupportedVersion(OLDEST_VERSION - 1)),
        },
        Case {
            description: "length above the limit",
            bytes: vec![255; 4],
            error: Some(Error::TooLong(0xffff_ffff)),
        },
        Case {
            description: "no version byte",
            bytes: vec![0; 4],
            error: Some(Error::Malformed("empty".to_owned())),
        },
    ];
    for case in cases {
        let mut buffer = Buffer::new();
        buffer.push(&case.bytes);
        let expected = case.error.map_or(Ok(None), Err);
        assert_eq!(buffer.next_frame(), expected, "{}", case.description);
    }
}

#[test]
fn decoding_continues_after_a_malformed_frame() {
    let mut buffer = Buffer::new();
    buffer.push(&[0, 0, 0, 2, VERSION, 250]);
    buffer.push(&encode(&Frame::End).expect("the frame is short"));
    assert!(matches!(buffer.next_frame(), Err(Error::Malformed(_))));
    assert_eq!(buffer.next_frame(), Ok(Some(Frame::End)));
    assert!(buffer.is_empty());
}

#[test]
fn a_frame_above_the_size_limit_is_not_encoded() {
    let frame = Frame::Body(vec![0; MAX_FRAME_BYTES]);
    assert!(matches!(encode(&frame), Err(Error::TooLong(_))));
}

fn any_text() -> impl Strategy<Value = CompactString> {
    "[a-z0-9-]{0,40}".prop_map(CompactString::from)
}

fn any_duration() -> impl Strategy<Value = Duration> {
    (any::<u32>(), 0..1_000_000_000_u32)
        .prop_map(|(seconds, nanos)| Duration::new(seconds.into(), nanos))
}

fn any_headers() -> impl Strategy<Value = Vec<Header>> {
    vec((any_text(), any_text()), 0..4)
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let ticket = (
        any_text(),
        any::<u64>(),
        any_text(),
        any::<u64>(),
        any::<u64>(),
    );
    let ticket = ticket.prop_map(|(issuer, incarnation, service, number, seal)| Ticket {
        issuer,
        incarnation,
        service,
        number,
        seal,
    });
    prop_oneof![Just(Operation::Serve), ticket.prop_map(Operation::Execute)]
}

fn any_request() -> impl Strategy<Value = Frame> {
    let reason = prop_oneof![
        Just(Reason::Share),
        Just(Reason::Shift),
        Just(Reason::Spill)
    ];
    let body = vec(any::<u8>(), 0..2000);
    let head = (
        any::<u64>(),
        any_operation(),
        any_text(),
        any_text(),
        any_text(),
        any_headers(),
    );
    (head, body, any_duration(), any_text(), reason).prop_map(
        |(head, body, remaining, origin, reason)| {
            let (id, operation, service, method, target, headers) = head;
            Frame::Request(Request {
                id,
                operation,
                service,
                method,
                target,
                headers,
                body,
                remaining,
                origin,
                reason,
            })
        },
    )
}

fn any_frame() -> impl Strategy<Value = Frame> {
    let refusal = (any_duration(), proptest::option::of(any_text()));
    let refusal = refusal.prop_map(|(retry_after, alternative_host)| Refusal {
        cause: Cause::Running,
        retry_after,
        alternative_host,
    });
    let refusal = refusal.prop_flat_map(|refusal| {
        prop_oneof![
            Just(Frame::Refused(refusal.clone())),
            Just(Frame::Unknown(refusal)),
        ]
    });
    let response_head = (any::<u16>(), any_headers(), any::<Option<u64>>());
    let response_head = response_head.prop_map(|(status, headers, length)| ResponseHead {
        status,
        headers,
        length,
    });
    let any_heartbeat = (
        any_text(),
        any::<u64>(),
        any::<bool>(),
        vec(any::<u64>(), 0..9),
    );
    let any_heartbeat =
        any_heartbeat.prop_map(|(host, incarnation, leaving, quarantined)| Heartbeat {
            host,
            incarnation,
            leaving,
            quarantined,
            ..heartbeat()
        });
    prop_oneof![
        any_request(),
        response_head.prop_map(Frame::Answer),
        vec(any::<u8>(), 0..2000).prop_map(Frame::Body),
        refusal,
        any_heartbeat.prop_map(Frame::Heartbeat),
        any::<u64>().prop_map(Frame::Fetch),
        vec(any::<u8>(), 0..2000).prop_map(Frame::Handover),
        Just(Frame::Done),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn frames_survive_encoding_and_decoding_in_chunks(
        frames in vec(any_frame(), 1..6),
        chunk_length in 1..700_usize,
    ) {
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend(encode(frame).expect("the frame is short"));
        }
        let mut buffer = Buffer::new();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_length) {
            buffer.push(chunk);
            while let Some(frame) = buffer.next_frame().expect("the bytes are valid") {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn decoding_arbitrary_bytes_terminates(bytes in vec(any::<u8>(), 0..3000)) {
        let mut buffer = Buffer::new();
        buffer.push(&bytes);
        let max_frames = bytes.len() / 4 + 1;
        let is_finished = (0..=max_frames).any(|_| match buffer.next_frame() {
            Ok(None) | Err(Error::TooLong(_)) => true,
            Ok(Some(_)) | Err(_) => false,
        });
        prop_assert!(is_finished);
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2);
    let pairs = pairs.map(|pair| std::str::from_utf8(pair).expect("the text is ASCII"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("the digits are hexadecimal"))
        .collect()
}
