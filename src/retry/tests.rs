//! Attempts stay within the ratio, whatever fails.

use super::*;

/// Attempts that a number of requests make when `fails` says which attempt fails
fn attempts(requests: u32, mut fails: impl FnMut(u32) -> bool) -> u32 {
    let mut budget = Budget::new();
    let mut attempts = 0;
    for _ in 0..requests {
        budget.deposit();
        attempts += 1;
        while fails(attempts) && budget.withdraw() {
            attempts += 1;
        }
    }
    attempts
}

#[test]
fn attempts_stay_under_the_ratio() {
    struct Case {
        name: &'static str,
        fails: fn(u32) -> bool,
    }
    let cases = [
        Case {
            name: "nothing fails",
            fails: |_| false,
        },
        Case {
            name: "a third fails",
            fails: |attempt| attempt % 3 == 0,
        },
        Case {
            name: "everything fails",
            fails: |_| true,
        },
        Case {
            name: "fails after a calm",
            fails: |attempt| attempt > 5_000,
        },
    ];
    let requests = 10_000;
    let most = f64::from(requests) * (1.0 + RETRY_RATIO) + MAX_TOKENS;
    for case in cases {
        let attempts = attempts(requests, case.fails);
        assert!(
            f64::from(attempts) <= most,
            "{}: {attempts} attempts",
            case.name
        );
    }
}

#[test]
fn single_failures_are_retried() {
    let requests = 1_000;
    let mut failures = 0;
    let attempts = attempts(requests, |attempt| {
        let fails = attempt % 20 == 0;
        failures += u32::from(fails);
        fails
    });
    assert_eq!(attempts, requests + failures, "every failure has its retry");
}
