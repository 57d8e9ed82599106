use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::{Method, Request};
use serde_json::Value;

use super::*;
use crate::config::{Document, Shares};
use crate::http;
use crate::id::ZoneId;
use crate::member::{HostInfo, View};
use crate::object::Client;
use crate::wire::{Cause, Reason};
use crate::{config, route};

fn document() -> Document {
    let text = "
zones: {a-1: {region: a}, a-2: {region: a}, b-1: {region: b}, b-2: {region: b}}
blocks: [{first: 0, last: 9, region: a}]
services:
  turni:
    endpoints:
      e1: {zone: a-1, address: '127.0.0.1:9001', slots: 3}
      e2: {zone: a-2, address: '127.0.0.1:9002', slots: 3}
      e3: {zone: b-1, address: '127.0.0.1:9003', slots: 3, draining: true}
      e4: {zone: a-2, address: '127.0.0.1:9004', slots: 3, draining: true}
    shares: {a-1: {a-1: 0.5, a-2: 0.5}}
";
    let patch = config::parse_patch(text).expect("the document parses");
    serde_json::from_value(patch).expect("the document decodes")
}

fn view(zones: &[&str]) -> View {
    let host_info = |zone: &&str| HostInfo {
        host: format!("{zone}-h").into(),
        zone: ZoneId::from(*zone),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 1).into(),
        operator: None,
        leaving: false,
    };
    let hosts: Vec<HostInfo> = zones.iter().map(host_info).collect();
    let mut view = View::new(Instant::now(), hosts[0].clone());
    view.apply_list(Instant::now(), &hosts);
    view
}

fn explanation(service: &str) -> Option<Explanation> {
    let revision = Revision {
        number: 4,
        document: document(),
        ..Revision::default()
    };
    let shares = Shares::from([("a-1".into(), 0.8), ("a-2".into(), 0.2)]);
    let input = Input {
        revision: &revision,
        view: &view(&["a-1", "a-2", "b-2"]),
        entry_zone: &"a-1".into(),
        shares: &shares,
        candidates: &[route::Candidate {
            zone: "a-1".into(),
            reason: Reason::Share,
        }],
    };
    explain(&input, &service.into(), 7)
}

#[test]
fn an_explanation_contains_candidates_and_exclusions() {
    let explanation = explanation("turni").expect("the service is configured");
    let candidates: Vec<_> = explanation.candidates.iter().collect();
    assert_eq!(candidates.len(), 2, "{candidates:?}");
    assert_eq!(
        (candidates[0].zone.as_str(), candidates[0].share),
        ("a-1", 0.8)
    );
    assert!(candidates[0].reason.contains("shift"), "{candidates:?}");
    struct Case {
        subject: &'static str,
        reason: &'static str,
    }
    let cases = [
        Case {
            subject: "zone b-1",
            reason: "draining",
        },
        Case {
            subject: "zone b-2",
            reason: "no endpoint",
        },
        Case {
            subject: "endpoint e4 in a-2",
            reason: "draining",
        },
    ];
    for case in cases {
        let found = explanation
            .excluded
            .iter()
            .find(|exclusion| exclusion.subject == case.subject);
        let found = found.unwrap_or_else(|| panic!("{}: {explanation:?}", case.subject));
        assert!(found.reason.contains(case.reason), "{found:?}");
    }
    assert_eq!(explanation.region.as_deref(), Some("a"));
    assert!(!explanation.hosts.is_empty());
}

#[test]
fn an_unknown_service_has_no_explanation() {
    assert_eq!(explanation("portal"), None);
}

fn status() -> Status {
    let endpoint = |name: &str, used| Endpoint {
        endpoint: name.into(),
        region: "a".into(),
        used,
        free: 3 - used,
        slots: 3,
        state: "ready".into(),
        report_age_ms: Some(40),
    };
    Status {
        host: "a-1-h".into(),
        zone: "a-1".into(),
        config_number: 4,
        platform: calls(&Client::new(vec![])),
        services: vec![Service {
            service: "turni".into(),
            waiting: 2,
            endpoints: vec![endpoint("e1", 1), endpoint("e2", 3)],
            ..Service::default()
        }],
        ..Status::default()
    }
}

#[test]
fn metrics_contain_recorded_events_and_the_latest_status() {
    let metrics = Metrics::new();
    metrics.record_request("turni", RequestResult::Served, Duration::from_millis(3));
    metrics.record_request("turni", RequestResult::NotRun, Duration::from_millis(1));
    metrics.record_refusal("turni", Cause::NoHeadroom);
    metrics.record_retry("turni");
    metrics.record_moved("turni", Reason::Spill);
    metrics.record_lookup();
    metrics.record_control_bytes(Direction::Out, 100);
    metrics.record_control_time(Duration::from_millis(500));
    let text = metrics.prometheus_text(status());
    let expected_lines = [
        "pier_request_duration_seconds_count{outcome=\"served\",service=\"turni\"} 1",
        "pier_request_duration_seconds_bucket{outcome=\"served\",service=\"turni\",le=\"0.005\"} 1",
        "pier_request_duration_seconds_bucket{outcome=\"served\",service=\"turni\",le=\"0.002\"} 0",
        "pier_refusals_total{cause=\"no-headroom\",service=\"turni\"} 1",
        "pier_retries_total{service=\"turni\"} 1",
        "pier_moved_total{reason=\"spill\",service=\"turni\"} 1",
        "pier_lookups_total 1",
        "pier_control_bytes_total{direction=\"out\"} 100",
        "pier_control_seconds_total 0.5",
        "pier_slots_used{endpoint=\"e2\",service=\"turni\"} 3",
        "pier_slots_free{endpoint=\"e1\",service=\"turni\"} 2",
        "pier_headroom{region=\"a\",service=\"turni\"} 2",
        "pier_waiting{service=\"turni\"} 2",
        "pier_configuration_number 4",
        "pier_platform_calls{kind=\"watch\"} 0",
    ];
    for expected in expected_lines {
        assert!(
            text.lines().any(|line| line == expected),
            "missing {expected}\n{text}"
        );
    }
    let next_text = metrics.prometheus_text(Status::default());
    assert!(
        !next_text.contains("pier_slots_used{"),
        "metrics of removed endpoints remain\n{next_text}"
    );
}

fn source() -> Source {
    let revision = Arc::new(Revision {
        number: 4,
        document: document(),
        ..Revision::default()
    });
    let event = Event {
        at: 5,
        kind: "spill".into(),
        service: "turni".into(),
        text: "to a-2".into(),
    };
    Source {
        metrics: Metrics::new(),
        status: Arc::new(status),
        explain: Arc::new(|service, _| explanation(service)),
        events: Arc::new(move || vec![event.clone()]),
        revision: Arc::new(move || revision.clone()),
    }
}

#[test]
fn the_operator_port_serves_all_paths() {
    struct Case {
        method: Method,
        target: &'static str,
        status: u16,
        expected_text: &'static str,
    }
    let case = |target, status, expected_text| Case {
        method: Method::Get,
        target,
        status,
        expected_text,
    };
    let cases = [
        case("/metrics", 200, "pier_configuration_number 4"),
        case("/status", 200, "\"number\":4"),
        case("/events", 200, "\"kind\":\"spill\""),
        case("/revision", 200, "\"turni\""),
        case("/number", 200, "4\n"),
        case("/explain?service=turni&block=7", 200, "\"ruled_out\""),
        case("/explain?service=nil&block=7", 404, "no such service"),
        case("/explain?service=turni&block=x", 400, "service=NAME"),
        case("/explain?block=7", 400, "service=NAME"),
        case("/other", 404, "/status"),
        Case {
            method: Method::Post,
            target: "/status",
            status: 405,
            expected_text: "only GET",
        },
    ];
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address: SocketAddr = listener.local_addr().expect("the socket is bound");
        let server = smol::spawn(serve(listener, source()));
        for case in cases {
            let request: Request = http::request(case.method, address, case.target);
            let response = http::call(address, request, Duration::from_secs(5)).await;
            let response = response.expect("the port responds");
            assert_eq!(response.status(), case.status, "{}", case.target);
            let text = String::from_utf8_lossy(&response.body);
            assert!(text.contains(case.expected_text), "{}: {text}", case.target);
            if case.status == 200 && case.target != "/metrics" {
                serde_json::from_slice::<Value>(&response.body).expect("the body is JSON");
            }
        }
        server.cancel().await;
    });
}
