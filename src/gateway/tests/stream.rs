//! When the body of an answer is broken off.

use std::time::{Duration, Instant};

use crate::gateway::stream::Limits;
use crate::message::Length;

#[test]
fn bodies_end_with_their_caller_and_endless_ones_at_a_bound() {
    struct Case {
        name: &'static str,
        length: Length,
        /// Milliseconds until the caller no longer waits, if it says so
        caller: Option<u64>,
        /// Range of the milliseconds until the body is broken off; `None` if only silence ends it
        expected: Option<(u64, u64)>,
    }
    const ROUTE: u64 = 2500;
    let cases = [
        Case {
            name: "long download of a caller with a deadline",
            length: Length::Bytes(1 << 30),
            caller: Some(9000),
            expected: Some((9000, 9500)),
        },
        Case {
            name: "long download of a caller without a deadline",
            length: Length::Bytes(1 << 30),
            caller: None,
            expected: None,
        },
        Case {
            name: "chunks for a caller that waits longer than the route allows",
            length: Length::Chunked,
            caller: Some(9000),
            expected: Some((9000, 9500)),
        },
        Case {
            name: "chunks for a caller without a deadline",
            length: Length::Chunked,
            caller: None,
            expected: Some((ROUTE, ROUTE + 500)),
        },
        Case {
            name: "body until the close for a caller without a deadline",
            length: Length::UntilClose,
            caller: None,
            expected: Some((ROUTE, ROUTE + 500)),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let after = |millis| now + Duration::from_millis(millis);
        let limits = Limits {
            caller_deadline: case.caller.map(after),
            route_deadline: after(ROUTE),
        };
        let deadline = limits.deadline(case.length);
        let is_expected = match (deadline, case.expected) {
            (None, None) => true,
            (Some(deadline), Some((min, max))) => after(min) <= deadline && deadline <= after(max),
            _ => false,
        };
        assert!(is_expected, "{}", case.name);
    }
    let most = 64 << 20;
    assert!(!Limits::is_too_long(Length::Chunked, most));
    assert!(Limits::is_too_long(Length::Chunked, most + 1));
    assert!(Limits::is_too_long(Length::UntilClose, most + 1));
    assert!(!Limits::is_too_long(Length::Bytes(1), most + 1));
}

// An answer must not be broken off for a silence that ends while its caller may still wait.
#[test]
fn silence_breaks_off_a_body_before_any_limit() {
    struct Case {
        name: &'static str,
        length: Length,
        /// Milliseconds until the caller no longer waits, if it says so
        caller: Option<u64>,
        /// Milliseconds from now until the route allows no further waiting
        route: u64,
        /// Milliseconds for which silence is borne at least
        expected: u64,
    }
    let cases = [
        Case {
            name: "caller with a deadline",
            length: Length::Bytes(1000),
            caller: Some(4000),
            route: 2500,
            expected: 4000,
        },
        Case {
            name: "caller without a deadline, before the route's timeout",
            length: Length::Bytes(1000),
            caller: None,
            route: 2500,
            expected: 2500,
        },
        Case {
            name: "caller without a deadline, after the route's timeout",
            length: Length::Bytes(1000),
            caller: None,
            route: 0,
            expected: 1500,
        },
        Case {
            name: "chunks",
            length: Length::Chunked,
            caller: Some(4000),
            route: 2500,
            expected: 4000,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let after = |millis| now + Duration::from_millis(millis);
        let limits = Limits {
            caller_deadline: case.caller.map(after),
            route_deadline: after(case.route),
        };
        let until = limits.silence_deadline(now, case.length);
        assert!(until >= after(case.expected), "{}", case.name);
        assert!(until <= after(case.expected + 500), "{}", case.name);
    }
}
