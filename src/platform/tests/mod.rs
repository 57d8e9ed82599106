//! Decoding of settings, headers and store objects, including invalid ones from other writers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::header;
use super::store::{self, Kind, Object, Position, Request as StoreRequest};
use super::{front, node, record};
use crate::bound::MAX_DURATION;
use crate::message::{Headers, Request, Response};
use crate::policy::Execution;

mod bounds;
mod cost;
mod generated;
mod random;
mod response_time;

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
fn settings_are_parsed_and_validated() {
    let settings = node::parse(SETTINGS).expect("settings are valid");
    assert_eq!(settings.host, "edge-a-1");
    assert_eq!(settings.peer_address.port(), 7720);
    assert_eq!(settings.grace_period, Duration::from_secs(6));
    assert_eq!(settings.retry_bound.slack, 62.0);
    assert_eq!(
        settings.weight, 0.1,
        "the link limits the weight, not the CPU share"
    );
    for (original, replacement) in [
        ("ip: \"127.0.0.1\"", "ip: \"nowhere\""),
        (
            "internal_ports: [7720, 7735]",
            "internal_ports: [7735, 7720]",
        ),
        ("zone: \"a1\"", "zoen: \"a1\""),
        ("grace_s: 6", "grace_s: -6"),
        ("memory_mb: 260", "memory_mb: 0"),
        ("memory_mb: 260", "memory_mb: 15"),
        ("memory_mb: 260", "memory_mb: -1"),
        ("memory_mb: 260", "memory_mb: 17592186044416"),
    ] {
        let invalid = SETTINGS.replace(original, replacement);
        assert_ne!(invalid, SETTINGS);
        assert!(node::parse(&invalid).is_err(), "{replacement}");
    }
}

fn object(name: &str, spec: Value) -> Object {
    Object {
        name: name.into(),
        revision: 4,
        spec,
    }
}

fn endpoint_spec() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:80", "zone": "a1", "version": "v1",
        "max_concurrency": 3, "state": "ready", "warmup_left_ms": 1500, "sequence": 4,
        "born": 1_700_000_000_000_u64,
    })
}

#[test]
fn invalid_endpoint_objects_are_rejected() {
    let zones = BTreeMap::from([("a1".into(), "a".into())]);
    let endpoint =
        record::decode_endpoint(&object("i-1", endpoint_spec()), &zones).expect("spec is valid");
    assert_eq!(
        (
            endpoint.id.as_str(),
            endpoint.region.as_str(),
            endpoint.slots
        ),
        ("i-1", "a", 3)
    );
    assert_eq!(endpoint.warmup_remaining, Duration::from_millis(1500));
    assert_eq!(endpoint.start_unix_millis, Some(1_700_000_000_000));
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
            value: json!("unknown"),
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
        let mut spec = endpoint_spec();
        spec[case.field] = case.value.clone();
        let endpoint = record::decode_endpoint(&object("i-1", spec), &zones);
        assert_eq!(endpoint, None, "{} = {}", case.field, case.value);
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
fn only_safe_and_download_routes_are_idempotent() {
    let configuration = |kind: &str| {
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
        ("unknown", Execution::AtMostOnce),
    ] {
        let document = record::decode_configuration(&object("main", configuration(kind)))
            .expect("configuration is valid");
        let route = document.route("h.example", "/a/b").expect("route matches");
        assert_eq!(route.execution, execution, "{kind}");
        assert_eq!(route.timeout, Some(Duration::from_millis(1500)));
        assert_eq!((route.services.len(), route.allowed_regions.len()), (2, 1));
        assert_eq!(document.limits.max_head_bytes, 100);
        assert_eq!(document.limits.max_body_bytes, 64 << 20);
    }
    assert!(record::decode_configuration(&object("main", json!({"routes": {}}))).is_err());
}

#[test]
fn reserved_headers_of_callers_are_replaced() {
    let head = "GET /a?b=c HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c\r\nTarget-Instance: forged\r\n\
                Server-Signature: forged\r\nCookie: lang=en; Affinity-Key=17\r\n\
                Request-Deadline: 3000\r\n\r\n";
    let request = Request::parse(head.as_bytes()).expect("request is valid");
    assert_eq!(
        header::request_timeout(&request.headers),
        Some(Duration::from_secs(3))
    );
    assert!(header::affinity_key(&request.headers).is_some());
    let headers = header::upstream_headers(&request, "i-1", Duration::from_millis(2900));
    let mut bytes = Vec::new();
    headers.write(&mut bytes);
    let text = String::from_utf8(bytes).expect("headers are UTF-8");
    assert!(text.contains("Attempt-Id: 9c\r\n") && text.contains("Target-Instance: i-1\r\n"));
    assert!(
        text.contains("Request-Deadline: 2900\r\n") && !text.contains("forged"),
        "{text}"
    );
}

#[test]
fn only_explicit_responses_prove_that_a_request_was_not_executed() {
    for (head, not_executed) in [
        ("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", true),
        ("HTTP/1.1 421 X\r\n\r\n", true),
        ("HTTP/1.1 503 X\r\n\r\n", false),
        ("HTTP/1.1 429 X\r\n\r\n", false),
        ("HTTP/1.1 500 X\r\n\r\n", false),
    ] {
        let response = Response::parse(head.as_bytes(), "GET").expect("response is valid");
        assert_eq!(header::is_not_executed(&response), not_executed, "{head}");
    }
}

#[test]
fn requests_between_hosts_have_the_form_of_store_requests() {
    let position = Position {
        era: 2,
        revision: 5,
    };
    let watch = StoreRequest::Watch(Kind::Hosts, position, Duration::from_millis(70));
    struct Case {
        target: &'static str,
        request: Option<StoreRequest>,
    }
    let cases = [
        Case {
            target: "/objects/servers",
            request: Some(StoreRequest::List(Kind::Endpoints)),
        },
        Case {
            target: "/objects/entry-hosts?watch=5&wait_ms=70&era=2",
            request: Some(watch),
        },
        Case {
            target: "/objects/unknown",
            request: None,
        },
        Case {
            target: "/other",
            request: None,
        },
    ];
    for case in cases {
        assert_eq!(
            store::parse_request("GET", case.target),
            case.request,
            "{}",
            case.target
        );
        assert_eq!(store::parse_request("PUT", case.target), None);
    }
}

#[test]
fn directory_requests_and_responses_have_the_platforms_form() {
    let request = front::parse_request("GET", "/resolve?name=x&region=tsv&zone=tsv-a");
    let region = "tsv".to_owned();
    assert_eq!(request, front::Request::Directory { region });
    assert_eq!(
        front::parse_request("POST", "/readiness"),
        front::Request::Unknown
    );
    let body = front::directory_body(
        &["127.0.0.1:80".parse().expect("address is valid")],
        Duration::from_secs(2),
    );
    let body: Value = serde_json::from_str(&body).expect("body is JSON");
    assert_eq!(body["addresses"][0], "127.0.0.1:80");
    assert_eq!(body["ttl_s"], 2.0);
}

/// Guards against repeats of a request that are taken for different ones, as another cookie differs
#[test]
fn repeats_of_a_request_have_the_same_caller_id() {
    struct Case {
        name: &'static str,
        cookies: &'static [&'static str],
        caller_id: &'static str,
    }
    let cases = [
        Case {
            name: "no cookie",
            cookies: &[],
            caller_id: "",
        },
        Case {
            name: "affinity key only",
            cookies: &["Affinity-Key=17"],
            caller_id: "17",
        },
        Case {
            name: "behind another cookie",
            cookies: &["lang=en; Affinity-Key=17"],
            caller_id: "17",
        },
        Case {
            name: "in a line of its own",
            cookies: &["lang=it; visits=8", "Affinity-Key=17"],
            caller_id: "17",
        },
        Case {
            name: "other cookies only",
            cookies: &["lang=en"],
            caller_id: "",
        },
    ];
    for case in cases {
        let mut headers = Headers::new();
        for cookie in case.cookies {
            headers.push("Cookie", *cookie);
        }
        assert_eq!(header::caller_id(&headers), case.caller_id, "{}", case.name);
    }
}

#[test]
fn endpoints_state_pauses_in_seconds() {
    struct Case {
        head: &'static str,
        /// `None` if nothing is stated, an error if it is no time
        pause: Option<Result<Duration, ()>>,
    }
    let seconds = |seconds| Some(Ok(Duration::from_secs_f64(seconds)));
    let cases = [
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: 2\r\n\r\n",
            pause: seconds(2.0),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: 0.25\r\n\r\n",
            pause: seconds(0.25),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: 1e300\r\n\r\n",
            pause: Some(Ok(MAX_DURATION)),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: inf\r\n\r\n",
            pause: Some(Ok(MAX_DURATION)),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: -1\r\n\r\n",
            pause: Some(Err(())),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: NaN\r\n\r\n",
            pause: Some(Err(())),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After:\r\n\r\n",
            pause: Some(Err(())),
        },
        Case {
            head: "HTTP/1.1 503 X\r\nRetry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n\r\n",
            pause: Some(Err(())),
        },
        Case {
            head: "HTTP/1.1 503 X\r\n\r\n",
            pause: None,
        },
        Case {
            head: "HTTP/1.1 200 X\r\nRetry-After: 2\r\n\r\n",
            pause: None,
        },
    ];
    for case in cases {
        let response = Response::parse(case.head.as_bytes(), "GET").expect("response is valid");
        let pause = header::requested_pause(&response);
        let pause = pause.map(|pause| pause.map_err(|_| ()));
        assert_eq!(pause, case.pause, "{}", case.head);
    }
}

#[test]
fn a_limit_is_one_number_of_requests_a_second() {
    struct Case {
        head: &'static str,
        limit: Option<Result<f64, ()>>,
    }
    let cases = [
        ("Server-Limit: 1.4\r\n", Some(Ok(1.4))),
        ("Server-Limit: 0\r\n", Some(Ok(0.0))),
        ("Server-Limit:  250 \r\n", Some(Ok(250.0))),
        ("Server-Limit: 1e300\r\n", Some(Ok(1e300))),
        ("Server-Limit: -1\r\n", Some(Err(()))),
        ("Server-Limit: nan\r\n", Some(Err(()))),
        ("Server-Limit: inf\r\n", Some(Err(()))),
        ("Server-Limit: many\r\n", Some(Err(()))),
        ("Server-Limit: \r\n", Some(Err(()))),
        ("Server-Limit: 1\r\nServer-Limit: 2\r\n", Some(Err(()))),
        ("", None),
    ];
    for (head, limit) in cases {
        let case = Case { head, limit };
        let head = format!("HTTP/1.1 200 X\r\n{}\r\n", case.head);
        let response = Response::parse(head.as_bytes(), "GET").expect("response is valid");
        let limit = header::stated_limit(&response.headers);
        let limit = limit.map(|limit| limit.map_err(|_| ()));
        assert_eq!(limit, case.limit, "{head}");
    }
}

#[test]
fn statement_that_nothing_reads_is_passed_over() {
    struct Case {
        head: &'static str,
        unknown: &'static [&'static str],
    }
    let cases = [
        Case {
            head: "Server-Limit: 1\r\nServer-Load: 1,2,3\r\nServer-Signature: x\r\n",
            unknown: &[],
        },
        Case {
            head: "server-leaving: 1\r\nINSTANCE-ID: i-1\r\nWarmup-Ms: 5\r\nAttempt-Id: a\r\n",
            unknown: &[],
        },
        Case {
            head: "Server: x\r\nServer-Timing: db\r\nX-Server-Quota: 1\r\nETag: 7\r\n",
            unknown: &[],
        },
        Case {
            head: "Server-Quota: 5\r\nwarmup-rate: 2\r\nNot-Before: 1\r\n",
            unknown: &["Server-Quota", "warmup-rate", "Not-Before"],
        },
        Case {
            head: "Server-Limits: 5\r\nServer-: 2\r\n",
            unknown: &["Server-Limits", "Server-"],
        },
        Case {
            head: "",
            unknown: &[],
        },
    ];
    for case in cases {
        let head = format!("HTTP/1.1 200 X\r\n{}\r\n", case.head);
        let response = Response::parse(head.as_bytes(), "GET").expect("response is valid");
        let unknown: Vec<&str> = header::unknown_statements(&response.headers).collect();
        assert_eq!(unknown, case.unknown, "{}", case.head);
    }
}

#[test]
fn only_the_endpoint_itself_states_that_it_leaves() {
    for (head, is_leaving) in [
        ("HTTP/1.1 200 X\r\nServer-Leaving: 1\r\n\r\n", true),
        ("HTTP/1.1 503 X\r\nServer-Leaving: 1\r\n\r\n", true),
        ("HTTP/1.1 421 X\r\nServer-Leaving: 1\r\n\r\n", false),
        ("HTTP/1.1 200 X\r\nServer-Leaving: 0\r\n\r\n", false),
        ("HTTP/1.1 200 X\r\n\r\n", false),
    ] {
        let response = Response::parse(head.as_bytes(), "GET").expect("response is valid");
        assert_eq!(header::is_leaving(&response), is_leaving, "{head}");
    }
}
