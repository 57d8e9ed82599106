//! Decoding of settings, objects and headers, also of what other writers left.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::header;
use super::store::{self, Kind, Object, Request as StoreRequest};
use super::{front, node, record};
use crate::message::{Request, Response};
use crate::policy::Execution;

mod random;

const SETTINGS: &str = r#"
node_name: "edge-a-1"
role: "gate"
new_field: [1, 2]
ip: "127.0.0.1"
zone: "a1"
region: "a"
zones: {a1: "a", b1: "b"}
listen:
  frontend: "127.0.0.1:8161"
  readiness: "127.0.0.1:8167"
  control_plane: "127.0.0.1:8166"
  directory: "127.0.0.1:8164"
internal_ports: [7720, 7735]
seeds: ["127.0.0.1:8166"]
limits: {cpu_share: 0.2, memory_mb: 260, max_fds: 4100, link_mbps: 10.0}
bounds: {grace_s: 6, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 62, ttl_max_s: 5}
platform: {address: "127.0.0.1:8169", form: "objects"}
"#;

#[test]
fn settings_are_read_and_checked() {
    let settings = node::parse(SETTINGS).expect("good settings");
    assert_eq!(settings.host, "edge-a-1");
    assert_eq!(settings.peer_address.port(), 7720);
    assert_eq!(settings.grace_period, Duration::from_secs(6));
    assert_eq!(settings.retry_bound.slack, 62.0);
    assert_eq!(settings.weight, 0.1, "the link binds before the core");
    for (from, to) in [
        ("ip: \"127.0.0.1\"", "ip: \"nowhere\""),
        (
            "internal_ports: [7720, 7735]",
            "internal_ports: [7735, 7720]",
        ),
        ("zone: \"a1\"", "zoen: \"a1\""),
        ("grace_s: 6", "grace_s: -6"),
    ] {
        let broken = SETTINGS.replace(from, to);
        assert_ne!(broken, SETTINGS);
        assert!(node::parse(&broken).is_err(), "{to}");
    }
}

fn object(name: &str, spec: Value) -> Object {
    Object {
        name: name.into(),
        revision: 4,
        spec,
    }
}

fn entry() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:80", "zone": "a1", "version": "v1",
        "max_concurrency": 3, "state": "ready", "warmup_left_ms": 1500, "sequence": 4,
        "born": 1_700_000_000_000_u64,
    })
}

#[test]
fn entries_of_other_writers_name_no_endpoint() {
    let zones = BTreeMap::from([("a1".into(), "a".into())]);
    let good = record::decode_endpoint(&object("i-1", entry()), &zones).expect("an endpoint");
    assert_eq!(
        (good.id.as_str(), good.region.as_str(), good.slots),
        ("i-1", "a", 3)
    );
    assert_eq!(good.warmup_remaining, Duration::from_millis(1500));
    assert_eq!(good.start_unix_millis, Some(1_700_000_000_000));
    struct Case {
        field: &'static str,
        value: Value,
    }
    let cases = [
        Case {
            field: "service",
            value: json!(7),
        },
        Case {
            field: "address",
            value: json!("not an address"),
        },
        Case {
            field: "state",
            value: json!("dancing"),
        },
        Case {
            field: "state",
            value: Value::Null,
        },
        Case {
            field: "max_concurrency",
            value: json!("3"),
        },
        Case {
            field: "max_concurrency",
            value: json!(-1),
        },
        Case {
            field: "zone",
            value: json!([]),
        },
    ];
    for case in cases {
        let mut spec = entry();
        spec[case.field] = case.value.clone();
        let found = record::decode_endpoint(&object("i-1", spec), &zones);
        assert_eq!(found, None, "{} = {}", case.field, case.value);
    }
    for spec in [Value::Null, json!([]), json!("x"), json!({})] {
        assert_eq!(
            record::decode_endpoint(&object("i-1", spec.clone()), &zones),
            None,
            "{spec}"
        );
    }
}

#[test]
fn the_kind_of_a_route_decides_what_may_run_again() {
    let route = |kind: &str| {
        json!({
            "version": 7,
            "routes": {"r": {
                "host": "H.example", "path_prefix": "/a/", "kind": kind, "timeout_ms": 1500,
                "target_latency_ms": 400, "priority": 2, "max_attempts": 2,
                "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
                "session_affinity": true, "allowed_regions": ["a"],
            }},
            "services": {"s": {
                "health_path": "/health", "warmup_s": 3.0, "warmup_per_s": 3.5, "tls": false,
            }},
            "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
        })
    };
    for (kind, execution) in [
        ("safe", Execution::Idempotent),
        ("download", Execution::Idempotent),
        ("unsafe", Execution::AtMostOnce),
        ("unheard-of", Execution::AtMostOnce),
    ] {
        let document =
            record::decode_configuration(&object("main", route(kind))).expect("a document");
        let found = document.route("h.example", "/a/b").expect("the route");
        assert_eq!(found.execution, execution, "{kind}");
        assert_eq!(found.timeout, Some(Duration::from_millis(1500)));
        assert_eq!((found.services.len(), found.allowed_regions.len()), (2, 1));
        assert_eq!(document.limits.max_head_bytes, 100);
        assert_eq!(document.limits.max_body_bytes, 64 << 20);
    }
    assert!(record::decode_configuration(&object("main", json!({"routes": {}}))).is_err());
}

#[test]
fn a_request_goes_on_with_what_this_system_sets_alone() {
    let head = "GET /a?b=c HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c\r\nTarget-Instance: forged\r\n\
                Server-Signature: forged\r\nCookie: lang=en; Affinity-Key=17\r\n\
                Request-Deadline: 3000\r\n\r\n";
    let request = Request::parse(head.as_bytes()).expect("a request");
    assert_eq!(
        header::request_timeout(&request.headers),
        Some(Duration::from_secs(3))
    );
    assert!(header::affinity_key(&request.headers).is_some());
    let headers = header::upstream_headers(&request, "i-1", Duration::from_millis(2900));
    let mut text = Vec::new();
    headers.write(&mut text);
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("Attempt-Id: 9c\r\n") && text.contains("Target-Instance: i-1\r\n"));
    assert!(
        text.contains("Request-Deadline: 2900\r\n") && !text.contains("forged"),
        "{text}"
    );
}

#[test]
fn only_proofs_count_as_not_run() {
    for (head, not_run) in [
        ("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", true),
        ("HTTP/1.1 421 X\r\n\r\n", true),
        ("HTTP/1.1 503 X\r\n\r\n", false),
        ("HTTP/1.1 429 X\r\n\r\n", false),
        ("HTTP/1.1 500 X\r\n\r\n", false),
    ] {
        let answer = Response::parse(head.as_bytes(), "GET").expect("an answer");
        assert_eq!(header::is_not_executed(&answer), not_run, "{head}");
    }
}

#[test]
fn questions_between_hosts_are_the_stores() {
    let watch = StoreRequest::Watch(Kind::Hosts, 5, Duration::from_millis(70));
    struct Case {
        target: &'static str,
        question: Option<StoreRequest>,
    }
    let cases = [
        Case {
            target: "/objects/servers",
            question: Some(StoreRequest::List(Kind::Endpoints)),
        },
        Case {
            target: "/objects/entry-hosts?watch=5&wait_ms=70",
            question: Some(watch),
        },
        Case {
            target: "/objects/unknown",
            question: None,
        },
        Case {
            target: "/other",
            question: None,
        },
    ];
    for case in cases {
        assert_eq!(
            store::parse_request("GET", case.target),
            case.question,
            "{}",
            case.target
        );
        assert_eq!(store::parse_request("PUT", case.target), None);
    }
}

#[test]
fn the_directory_speaks_the_platforms_shape() {
    let question = front::parse_request("GET", "/resolve?name=x&region=tsv&zone=tsv-a");
    let region = "tsv".to_owned();
    assert_eq!(question, front::Request::Directory { region });
    assert_eq!(
        front::parse_request("POST", "/readiness"),
        front::Request::Unknown
    );
    let text = front::directory_body(
        &["127.0.0.1:80".parse().expect("address")],
        Duration::from_secs(2),
    );
    let body: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(body["addresses"][0], "127.0.0.1:80");
    assert_eq!(body["ttl_s"], 2.0);
}
