use super::audit::{CallerResult, LastOutcome, Violations, audit};
use super::{Kind, Plan, Shape, schedule};
use crate::standin::record::{Entry, Outcome, Report};
use std::time::Duration;

fn entry(key: &str, outcome: Outcome, at: u64) -> Entry {
    Entry {
        request: String::new(),
        key: key.to_owned(),
        ticket: String::new(),
        method: "POST".to_owned(),
        target: "/".to_owned(),
        body_hash: 0,
        outcome,
        arrived: at,
        at,
    }
}

#[test]
fn audit_reports_violations() {
    struct Case {
        name: &'static str,
        last: LastOutcome,
        not_run_at: Vec<u64>,
        entries: Vec<Entry>,
        is_expected: fn(&Violations) -> bool,
    }
    let none = |violations: &Violations| *violations == Violations::default();
    let cases = [
        Case {
            name: "served and ran once",
            last: LastOutcome::Served,
            not_run_at: vec![],
            entries: vec![entry("k", Outcome::Ran, 5)],
            is_expected: none,
        },
        Case {
            name: "not run at first, then ran on a later attempt",
            last: LastOutcome::Served,
            not_run_at: vec![3],
            entries: vec![entry("k", Outcome::Ran, 5)],
            is_expected: none,
        },
        Case {
            name: "unknown and ran",
            last: LastOutcome::Unknown,
            not_run_at: vec![],
            entries: vec![entry("k", Outcome::Ran, 5)],
            is_expected: none,
        },
        Case {
            name: "not run and cancelled",
            last: LastOutcome::NotRun,
            not_run_at: vec![9],
            entries: vec![entry("k", Outcome::Cancelled, 5)],
            is_expected: none,
        },
        Case {
            name: "ran twice",
            last: LastOutcome::Served,
            not_run_at: vec![],
            entries: vec![entry("k", Outcome::Ran, 5), entry("k", Outcome::Ran, 6)],
            is_expected: |violations| violations.doubled == ["k"],
        },
        Case {
            name: "ran before the outcome not run",
            last: LastOutcome::Served,
            not_run_at: vec![7],
            entries: vec![entry("k", Outcome::Ran, 5)],
            is_expected: |violations| violations.not_run_but_ran == ["k"],
        },
        Case {
            name: "ran after the caller abandoned the request",
            last: LastOutcome::NotRun,
            not_run_at: vec![3],
            entries: vec![entry("k", Outcome::Ran, 5)],
            is_expected: |violations| violations.not_run_but_ran == ["k"],
        },
        Case {
            name: "served and never ran",
            last: LastOutcome::Served,
            not_run_at: vec![],
            entries: vec![entry("other", Outcome::Ran, 5)],
            is_expected: |violations| violations.served_but_not_ran == ["k"],
        },
    ];
    for case in cases {
        let result = CallerResult {
            key: "k".to_owned(),
            last: case.last,
            not_run_at: case.not_run_at,
        };
        let record = Report {
            entries: case.entries,
            ..Report::default()
        };
        let violations = audit(&[result], &[record]);
        assert!(
            (case.is_expected)(&violations),
            "{}: {violations:?}",
            case.name
        );
    }
}

#[test]
fn shapes_change_rate_and_at_most_once_ratio() {
    struct Case {
        shape: Shape,
        rate_factor: std::ops::Range<f64>,
        at_most_once_ratio: std::ops::Range<f64>,
    }
    let cases = [
        Case {
            shape: Shape::Steady,
            rate_factor: 0.9..1.1,
            at_most_once_ratio: 0.09..0.11,
        },
        Case {
            shape: Shape::Surge,
            rate_factor: 4.5..5.5,
            at_most_once_ratio: 0.09..0.11,
        },
        Case {
            shape: Shape::AtMostOncePeak,
            rate_factor: 0.9..1.1,
            at_most_once_ratio: 0.45..0.55,
        },
    ];
    for case in cases {
        let plan = Plan {
            shape: case.shape,
            rate: 1000.0,
            duration: Duration::from_secs(30),
            ..Plan::default()
        };
        let arrivals = schedule(&plan);
        assert_eq!(arrivals, schedule(&plan), "{:?}", case.shape);
        let offset = |second| Duration::from_secs(second);
        let peak = arrivals
            .iter()
            .filter(|arrival| (offset(12)..offset(18)).contains(&arrival.offset));
        let at_most_once = peak
            .clone()
            .filter(|arrival| arrival.kind == Kind::AtMostOnce);
        let count = peak.count() as f64;
        assert!(
            case.rate_factor.contains(&(count / 6000.0)),
            "{:?}",
            case.shape
        );
        assert!(
            case.at_most_once_ratio
                .contains(&(at_most_once.count() as f64 / count))
        );
    }
}
