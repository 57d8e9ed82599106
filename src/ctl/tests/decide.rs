use std::net::SocketAddr;

use serde_json::{Value, json};

use super::fake::base;
use crate::config::{self, Document};
use crate::ctl::fleet::Port;
use crate::ctl::wait::Rounds;
use crate::ctl::{cli, drain, text};

fn document(value: Value) -> Document {
    serde_json::from_value(value).expect("decodes")
}

#[test]
fn the_command_line_is_consistent() {
    cli::command().debug_assert();
    struct Case {
        line: &'static str,
        good: bool,
    }
    let cases = [
        Case {
            line: "apply f.yaml --on 0 --reason x --who me --platform 127.0.0.1:1",
            good: true,
        },
        Case {
            line: "apply f.yaml --reason x --who me --platform 127.0.0.1:1",
            good: false,
        },
        Case {
            line: "apply f.yaml --on -1 --reason x --who me --platform 127.0.0.1:1",
            good: false,
        },
        Case {
            line: "apply f.yaml --on 0 --who me --platform 127.0.0.1:1",
            good: false,
        },
        Case {
            line: "show 4 --platform 127.0.0.1:1,127.0.0.1:2",
            good: true,
        },
        Case {
            line: "status --operator 127.0.0.1:1",
            good: true,
        },
        Case {
            line: "status",
            good: false,
        },
        Case {
            line: "explain --service Turni --block 1 --operator 127.0.0.1:1",
            good: false,
        },
        Case {
            line: "keys --directory there a-1 a-2",
            good: true,
        },
    ];
    for case in cases {
        let words = std::iter::once("pierctl").chain(case.line.split(' '));
        let parsed = cli::command().try_get_matches_from(words);
        assert_eq!(parsed.is_ok(), case.good, "{}: {parsed:?}", case.line);
    }
}

#[test]
fn a_drain_names_one_endpoint_or_a_zone() {
    struct Case {
        name: &'static str,
        service: Option<&'static str>,
        change: Result<Value, &'static str>,
    }
    let drained = json!({"draining": true});
    let cases = [
        Case {
            name: "e2",
            service: None,
            change: Ok(json!({"services": {"turni": {"endpoints": {"e2": drained}}}})),
        },
        Case {
            name: "e1",
            service: None,
            change: Err("endpoint of documenti and turni; choose one with --service"),
        },
        Case {
            name: "e1",
            service: Some("turni"),
            change: Ok(json!({"services": {"turni": {"endpoints": {"e1": drained}}}})),
        },
        Case {
            name: "a-1",
            service: None,
            change: Ok(json!({"services": {
                "turni": {"endpoints": {"e1": drained}},
                "documenti": {"endpoints": {"e1": drained}}}})),
        },
        Case {
            name: "b-1",
            service: None,
            change: Err("no zone with endpoints"),
        },
    ];
    for case in cases {
        let service = case.service.map(Into::into);
        let change = drain::change(&document(base()), case.name, service.as_ref(), true);
        match case.change {
            Ok(expected) => assert_eq!(change.expect(case.name), expected),
            Err(says) => {
                let error = change.expect_err(case.name).to_string();
                assert!(error.contains(says), "{error}");
            }
        }
    }
}

#[test]
fn a_dry_run_says_what_moves() {
    let before = document(base());
    let change = json!({"services": {"turni": {
        "shares": {"b-1": {"a-1": 0.75, "a-2": 0.25}},
        "endpoints": {"e2": {"draining": true}}}}});
    let value = serde_json::to_value(&before).expect("encodes");
    let after = document(config::merge(&value, &change));
    let plans = config::shift_plans(&before, &after);
    let turns = config::endpoint_changes(&before, &after);
    let told = text::moves(&plans, &turns);
    let lines = [
        "moves 100.00 % of turni entering at b-1: b-1 100.00 % to a-1 75.00 % + a-2 25.00 %, \
         in 10 steps of at most 10.00 % and 100 requests a second, 1m 40s at least",
        "endpoint e2 of turni in a-2 gets no new work: 3 slots there become 0",
    ];
    assert_eq!(told.lines().collect::<Vec<_>>(), lines);
    let after = serde_json::to_value(&after).expect("encodes");
    let changes = text::changes(&value, &after);
    assert!(
        changes.contains("services.turni.endpoints.e2.draining: false -> true\n"),
        "{changes}"
    );
    assert!(
        changes.contains("shares.b-1.a-1: none -> 0.75\n"),
        "{changes}"
    );
    assert_eq!(text::moves(&[], &[]), "moves no traffic\n");
}

#[test]
fn waiting_ends_when_every_reachable_host_has_the_number() {
    let port = |zone: &str, number: u16| Port {
        host: format!("{zone}-{number}").into(),
        zone: zone.into(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
    };
    let (good, slow, gone) = (port("a", 1), port("a", 2), port("b", 3));
    let mut rounds = Rounds::new(7, vec![good.clone(), slow.clone(), gone.clone()]);
    assert_eq!(rounds.pending().len(), 3);
    rounds.answered(&good, Some(8));
    rounds.answered(&slow, Some(6));
    for _ in 0..9 {
        rounds.answered(&gone, None);
        assert!(
            rounds.pending().contains(&slow),
            "a reachable host is waited for"
        );
    }
    rounds.answered(&slow, Some(7));
    assert!(rounds.pending().is_empty(), "{rounds:?}");
    let spread = rounds.spread(40);
    assert_eq!(spread.zones["a"].in_force, ["a-1", "a-2"]);
    assert_eq!(spread.zones["b"].unreached, ["b-3"]);
    let error = spread.result(7).expect_err("one zone is not reached");
    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("hosts of b;"), "{error}");
    assert!(
        spread
            .text()
            .contains("zone b: in force on 0, not reached: b-3")
    );
}
