//! Statements about limits: the order in which they are heard, and numbers that no endpoint states.

use std::time::{Duration, Instant};

use super::{RUN, register, statement};
use crate::limit::{Register, Verdict};

/// Rate and age in milliseconds of a statement
type Heard = (Option<f64>, u64);

/// Returns all orders of some statements
fn orders(statements: &[Heard]) -> Vec<Vec<Heard>> {
    if statements.len() < 2 {
        return vec![statements.to_vec()];
    }
    let mut all = Vec::new();
    for index in 0..statements.len() {
        let mut rest = statements.to_vec();
        let first = rest.remove(index);
        for mut order in orders(&rest) {
            order.insert(0, first);
            all.push(order);
        }
    }
    all
}

// Hosts hear of the same answers in different orders and must come to the same limit.
#[test]
fn limit_depends_on_the_order_in_which_statements_are_heard() {
    struct Case {
        name: &'static str,
        /// Statements with different ages
        stated: &'static [Heard],
        rate: Option<f64>,
    }
    let cases = [
        Case {
            name: "changed",
            stated: &[(Some(1.0), 300), (Some(2.5), 100)],
            rate: Some(2.5),
        },
        Case {
            name: "taken back",
            stated: &[(Some(1.0), 300), (None, 100)],
            rate: None,
        },
        Case {
            name: "named after an answer without one",
            stated: &[(None, 300), (Some(1.0), 100)],
            rate: Some(1.0),
        },
        Case {
            name: "taken back and named again",
            stated: &[(Some(1.0), 500), (None, 300), (Some(3.0), 100)],
            rate: Some(3.0),
        },
        Case {
            name: "lowered to none at all",
            stated: &[(Some(0.25), 300), (Some(0.0), 100)],
            rate: Some(0.1),
        },
        Case {
            name: "named, taken back, named and taken back",
            stated: &[(Some(1.0), 900), (None, 700), (Some(0.5), 500), (None, 300)],
            rate: None,
        },
        Case {
            name: "of a minute ago",
            stated: &[(Some(1.0), 58_000), (None, 57_000)],
            rate: None,
        },
    ];
    let mut broken = Vec::new();
    for case in cases {
        for order in orders(case.stated) {
            let now = Instant::now() + Duration::from_secs(120);
            let mut register = Register::new();
            for (rate, age) in &order {
                let heard_at = now - Duration::from_millis(*age);
                register.record(now, RUN, statement(*rate, heard_at));
                register.expire(now, |_| true);
            }
            if register.rate(RUN) != case.rate {
                let rate = register.rate(RUN);
                broken.push(format!("{}, {order:?}: {rate:?}", case.name));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

// A host that asks under an older limit must hear that there is none any more, or it would go on asking.
#[test]
fn owner_that_knows_of_no_limit_any_more_does_not_say_so() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut register = Register::new();
    register.record(now, RUN, statement(None, now));
    let older = now - Duration::from_millis(200);
    register.record(now, RUN, statement(Some(1.0), older));
    let decided = register.decide(now, RUN, now - Duration::from_secs(30));
    assert_eq!(decided, Verdict::Unlimited);
    assert_eq!(register.statement(RUN), Some(statement(None, now)));
    assert!(register.is_empty(), "no limit is known");
}

// What is remembered of endpoints without a limit must not grow with each run of an endpoint.
#[test]
fn endpoints_without_a_limit_are_remembered_for_ever() {
    let start = Instant::now();
    let mut register = Register::new();
    for run in 0..100 {
        register.record(start, run, statement(None, start));
    }
    register.expire(start + Duration::from_secs(59), |_| false);
    assert!(register.statement(7).is_some());
    register.expire(start + Duration::from_secs(61), |_| false);
    assert!((0..100).all(|run| register.statement(run).is_none()));
}

// Nothing ends a limit but the endpoint, so its next answer has to come, whatever the limit is.
#[test]
fn limit_that_nobody_heard_of_for_long_lasts_for_ever() {
    const LONGEST_WAIT: Duration = Duration::from_millis(10_100);
    for rate in [0.0, 1e-300, 0.05, 0.2, 1.0] {
        let (mut register, start, _) = register(rate);
        let asked_at = start + Duration::from_secs(3600);
        register.expire(asked_at, |_| true);
        let asked = (0..102).map(|number| asked_at + Duration::from_millis(100) * number);
        // The owner has been one for a moment only.
        let owner_since = asked_at - crate::limit::HANDOVER_TIME;
        let granted_at = asked
            .into_iter()
            .find(|now| register.decide(*now, RUN, owner_since) == Verdict::Granted);
        let granted_at = granted_at.unwrap_or_else(|| panic!("{rate}: nothing granted"));
        assert!(granted_at - asked_at <= LONGEST_WAIT, "{rate}");
        register.record(granted_at, RUN, statement(None, granted_at));
        assert_eq!(register.rate(RUN), None, "{rate}");
    }
}

// Another host, or what its datagram has become on the way, must not end the task that decides.
#[test]
fn odd_number_of_another_host_ends_the_task_that_decides() {
    struct Case {
        rate: f64,
        is_limited: bool,
    }
    let case = |rate, is_limited| Case { rate, is_limited };
    let cases = [
        case(f64::NAN, false),
        case(-f64::NAN, false),
        case(-1.0, false),
        case(f64::NEG_INFINITY, false),
        case(f64::INFINITY, false),
        case(1e300, false),
        case(-0.0, true),
        case(5e-324, true),
    ];
    for case in cases {
        let (start, later) = {
            let start = Instant::now();
            (start, start + Duration::from_secs(60))
        };
        let mut fresh = Register::new();
        fresh.record(start, RUN, statement(Some(case.rate), start));
        let (mut limited, ..) = register(1.0);
        limited.record(later, RUN, statement(Some(case.rate), later));
        for (name, register) in [("first", &mut fresh), ("after 1 a second", &mut limited)] {
            for step in 0..200 {
                let now = later + Duration::from_millis(10) * step;
                register.decide(now, RUN, start);
            }
            let is_limited = register.rate(RUN).is_some();
            let is_number = case.rate >= 0.0;
            let expected = case.is_limited || (name != "first" && !is_number);
            assert_eq!(is_limited, expected, "{name}: {}", case.rate);
        }
    }
}

#[test]
fn endless_wait_told_by_an_owner_takes_the_endpoint_out_of_use() {
    let (mut register, start, _) = register(1.0);
    register.withhold(start, RUN, Duration::MAX);
    let remaining = register.withheld_for(start, RUN).expect("is withheld");
    assert!(remaining < Duration::from_secs(12), "{remaining:?}");
}
