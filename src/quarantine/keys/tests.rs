//! Which requests count as repeats of each other.

use std::time::{Duration, Instant};

use super::Keys;
use crate::quarantine::Register;

/// A request as caller, target and body
type Request = (&'static str, &'static str, &'static str);

fn keys((caller, target, body): Request) -> Keys {
    Keys::new(caller, "POST", target, body.as_bytes())
}

#[test]
fn crashes_of_repeats_add_up() {
    struct Case {
        name: &'static str,
        /// Requests that crash one endpoint each
        crashing: &'static [Request],
        /// Request that succeeds after them
        succeeding: Option<Request>,
        request: Request,
        is_refused: bool,
    }
    const SAME: Request = ("a", "/renew", "x");
    const OTHER_CALLER: Request = ("b", "/renew", "x");
    let cases = [
        Case {
            name: "the same request",
            crashing: &[SAME; 2],
            succeeding: None,
            request: SAME,
            is_refused: true,
        },
        Case {
            name: "another query in each repeat",
            crashing: &[("a", "/renew?n=1", "x"), ("a", "/renew?n=2", "x")],
            succeeding: None,
            request: ("a", "/renew?n=3", "x"),
            is_refused: true,
        },
        Case {
            name: "another caller in each repeat",
            crashing: &[SAME, OTHER_CALLER],
            succeeding: None,
            request: ("c", "/renew", "x"),
            is_refused: true,
        },
        Case {
            name: "another caller and query in each repeat",
            crashing: &[("a", "/renew?n=1", "x"), ("b", "/renew?n=2", "x")],
            succeeding: None,
            request: ("c", "/renew?n=3", "x"),
            is_refused: true,
        },
        Case {
            name: "repeats without a caller",
            crashing: &[("", "/renew", "x"); 2],
            succeeding: None,
            request: ("", "/renew", "x"),
            is_refused: true,
        },
        Case {
            name: "another caller's request after repeats of one caller",
            crashing: &[SAME; 4],
            succeeding: None,
            request: OTHER_CALLER,
            is_refused: false,
        },
        Case {
            name: "another body",
            crashing: &[SAME, OTHER_CALLER],
            succeeding: None,
            request: ("a", "/renew", "y"),
            is_refused: false,
        },
        Case {
            name: "a path that serves another caller",
            crashing: &[SAME, OTHER_CALLER],
            succeeding: Some(("c", "/renew", "x")),
            request: ("d", "/renew", "x"),
            is_refused: false,
        },
        Case {
            name: "a caller whose request crashes endpoints on such a path",
            crashing: &[SAME; 2],
            succeeding: Some(OTHER_CALLER),
            request: SAME,
            is_refused: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut register = Register::new();
        for (run, request) in (0..).zip(case.crashing) {
            keys(*request).record_crash(&mut register, now, run);
        }
        if let Some(request) = case.succeeding {
            keys(request).record_success(&mut register, now);
        }
        let is_refused = keys(case.request).retry_after(&register, now).is_some();
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
    }
}

#[test]
fn other_callers_are_refused_for_minutes() {
    let now = Instant::now();
    let mut register = Register::new();
    for (run, caller) in (0..).zip(["a", "b", "c"]) {
        keys((caller, "/renew", "x")).record_crash(&mut register, now, run);
    }
    let request = keys(("d", "/renew", "x"));
    let refused_for = request.retry_after(&register, now);
    let refused_for = refused_for.expect("requests of three callers crashed endpoints");
    assert!(refused_for >= Duration::from_secs(300), "{refused_for:?}");
    assert!(refused_for <= Duration::from_secs(600), "{refused_for:?}");
}

#[test]
fn request_on_a_path_that_succeeds_does_not_exclude_endpoints() {
    let now = Instant::now();
    let mut register = Register::new();
    let ordinary = keys(("a", "/renew", "x"));
    let suspect = keys(("b", "/pay", "y"));
    ordinary.record_crash(&mut register, now, 1);
    ordinary.record_success(&mut register, now);
    ordinary.record_start(&mut register, 2);
    suspect.record_crash(&mut register, now, 3);
    let excluded: Vec<u64> = suspect.excluded_runs(&register).into_iter().collect();
    assert_eq!(excluded, [3]);
}
