//! Numbers at the ends of their types.

use std::time::{Duration, Instant};

use super::{MAX_COUNT, MAX_DURATION, MAX_RATIO, count, duration, millis, ratio, seconds};

// A time that is too long for the clock must not end the task that adds it to the present.
#[test]
fn stated_time_overflows_the_clock() {
    struct Case {
        name: &'static str,
        bounded: Duration,
        expected: Duration,
    }
    let cases = [
        Case {
            name: "longest duration",
            bounded: duration(Duration::MAX),
            expected: MAX_DURATION,
        },
        Case {
            name: "most milliseconds",
            bounded: millis(u64::MAX),
            expected: MAX_DURATION,
        },
        Case {
            name: "usual milliseconds",
            bounded: millis(1500),
            expected: Duration::from_millis(1500),
        },
        Case {
            name: "largest number",
            bounded: seconds(f64::MAX),
            expected: MAX_DURATION,
        },
        Case {
            name: "infinity",
            bounded: seconds(f64::INFINITY),
            expected: MAX_DURATION,
        },
        Case {
            name: "seconds that fit a duration but not the clock",
            bounded: seconds(1e19),
            expected: MAX_DURATION,
        },
        Case {
            name: "negative number",
            bounded: seconds(-1.0),
            expected: Duration::ZERO,
        },
        Case {
            name: "no number",
            bounded: seconds(f64::NAN),
            expected: Duration::ZERO,
        },
        Case {
            name: "usual seconds",
            bounded: seconds(0.25),
            expected: Duration::from_millis(250),
        },
    ];
    for case in cases {
        assert_eq!(case.bounded, case.expected, "{}", case.name);
        let sum = Instant::now().checked_add(case.bounded);
        assert!(sum.is_some(), "{}", case.name);
    }
    assert_eq!((count(u32::MAX), count(3)), (MAX_COUNT, 3));
    assert_eq!((ratio(f64::INFINITY), ratio(0.5)), (MAX_RATIO, 0.5));
    assert_eq!((ratio(f64::NAN), ratio(-1.0)), (0.0, 0.0));
}
