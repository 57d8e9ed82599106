use std::net::SocketAddr;

use serde_json::{Value, json};

use super::fake::base_document;
use crate::config::{self, Document};
use crate::ctl::fleet::Port;
use crate::ctl::wait::Poll;
use crate::ctl::{cli, drain, text};

fn document(value: Value) -> Document {
    serde_json::from_value(value).expect("document is invalid")
}

#[test]
fn command_line_accepts_only_valid_arguments() {
    cli::command().debug_assert();
    struct Case {
        arguments: &'static str,
        is_valid: bool,
    }
    let cases = [
        Case {
            arguments: "apply f.yaml --on 0 --reason x --who me --platform 127.0.0.1:1",
            is_valid: true,
        },
        Case {
            arguments: "apply f.yaml --reason x --who me --platform 127.0.0.1:1",
            is_valid: false,
        },
        Case {
            arguments: "apply f.yaml --on -1 --reason x --who me --platform 127.0.0.1:1",
            is_valid: false,
        },
        Case {
            arguments: "apply f.yaml --on 0 --who me --platform 127.0.0.1:1",
            is_valid: false,
        },
        Case {
            arguments: "show 4 --platform 127.0.0.1:1,127.0.0.1:2",
            is_valid: true,
        },
        Case {
            arguments: "status --operator 127.0.0.1:1",
            is_valid: true,
        },
        Case {
            arguments: "status",
            is_valid: false,
        },
        Case {
            arguments: "explain --service Turni --block 1 --operator 127.0.0.1:1",
            is_valid: false,
        },
        Case {
            arguments: "keys --directory there a-1 a-2",
            is_valid: true,
        },
    ];
    for case in cases {
        let words = std::iter::once("pierctl").chain(case.arguments.split(' '));
        let parsed = cli::command().try_get_matches_from(words);
        assert_eq!(
            parsed.is_ok(),
            case.is_valid,
            "{}: {parsed:?}",
            case.arguments
        );
    }
}

#[test]
fn drain_selects_one_endpoint_or_a_zone() {
    struct Case {
        name: &'static str,
        service: Option<&'static str>,
        change: Result<Value, &'static str>,
    }
    let draining = json!({"draining": true});
    let cases = [
        Case {
            name: "e2",
            service: None,
            change: Ok(json!({"services": {"turni": {"endpoints": {"e2": draining}}}})),
        },
        Case {
            name: "e1",
            service: None,
            change: Err("endpoint of documenti and turni; select a service with --service"),
        },
        Case {
            name: "e1",
            service: Some("turni"),
            change: Ok(json!({"services": {"turni": {"endpoints": {"e1": draining}}}})),
        },
        Case {
            name: "a-1",
            service: None,
            change: Ok(json!({"services": {
                "turni": {"endpoints": {"e1": draining}},
                "documenti": {"endpoints": {"e1": draining}}}})),
        },
        Case {
            name: "b-1",
            service: None,
            change: Err("neither an endpoint nor a zone with endpoints"),
        },
    ];
    for case in cases {
        let service = case.service.map(Into::into);
        let change = drain::draining_patch(
            &document(base_document()),
            case.name,
            service.as_ref(),
            true,
        );
        match case.change {
            Ok(expected) => assert_eq!(change.expect(case.name), expected),
            Err(message) => {
                let error = change.expect_err(case.name).to_string();
                assert!(error.contains(message), "{error}");
            }
        }
    }
}

#[test]
fn dry_run_shows_moved_traffic_and_changed_fields() {
    let before = document(base_document());
    let change = json!({"services": {"turni": {
        "shares": {"b-1": {"a-1": 0.75, "a-2": 0.25}},
        "endpoints": {"e2": {"draining": true}}}}});
    let before_value = serde_json::to_value(&before).expect("document cannot be encoded");
    let after = document(config::merge(&before_value, &change));
    let plans = config::shift_plans(&before, &after);
    let endpoint_changes = config::endpoint_changes(&before, &after);
    let traffic = text::traffic_changes(&plans, &endpoint_changes);
    let expected = [
        "moves 100.00 % of turni entering at b-1: from b-1 100.00 % to a-1 75.00 % + a-2 25.00 %, \
         in 10 steps of at most 10.00 % and 100 requests per second, for at least 1m 40s",
        "endpoint e2 of turni in a-2 receives no new requests: \
         slots in the zone change from 3 to 0",
    ];
    assert_eq!(traffic.lines().collect::<Vec<_>>(), expected);
    let after_value = serde_json::to_value(&after).expect("document cannot be encoded");
    let changes = text::changes(&before_value, &after_value);
    assert!(
        changes.contains("services.turni.endpoints.e2.draining: false -> true\n"),
        "{changes}"
    );
    assert!(
        changes.contains("shares.b-1.a-1: none -> 0.75\n"),
        "{changes}"
    );
    assert_eq!(text::traffic_changes(&[], &[]), "moves no traffic\n");
}

/// Guards against a wait that ends too early because a host is unreachable, although a reachable
/// host is still behind.
#[test]
fn wait_ends_when_all_reachable_hosts_have_the_number() {
    let port = |zone: &str, number: u16| Port {
        host: format!("{zone}-{number}").into(),
        zone: zone.into(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
    };
    let (updated, behind, unreachable) = (port("a", 1), port("a", 2), port("b", 3));
    let mut poll = Poll::new(
        7,
        vec![updated.clone(), behind.clone(), unreachable.clone()],
    );
    assert_eq!(poll.pending().len(), 3);
    poll.record_response(&updated, Some(8));
    poll.record_response(&behind, Some(6));
    for _ in 0..9 {
        poll.record_response(&unreachable, None);
        assert!(
            poll.pending().contains(&behind),
            "stopped polling a reachable host that is behind"
        );
    }
    poll.record_response(&behind, Some(7));
    assert!(poll.pending().is_empty(), "{poll:?}");
    let rollout = poll.rollout(40);
    assert_eq!(rollout.zones["a"].in_force, ["a-1", "a-2"]);
    assert_eq!(rollout.zones["b"].unreached, ["b-3"]);
    let error = rollout
        .check(7)
        .expect_err("an unreached host is not reported");
    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("hosts of b;"), "{error}");
    assert!(
        rollout
            .summary()
            .contains("zone b: in force on 0, not reached: b-3")
    );
}
