//! Tests that attempts stay within the retry budget whichever attempts fail.

use super::*;

/// Returns the number of attempts for some requests; `fails` decides whether an attempt fails
fn count_attempts(requests: u32, mut fails: impl FnMut(u32) -> bool) -> u32 {
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
fn attempts_stay_within_the_retry_budget() {
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
            name: "every third attempt fails",
            fails: |attempt| attempt % 3 == 0,
        },
        Case {
            name: "everything fails",
            fails: |_| true,
        },
        Case {
            name: "everything fails after 5,000 attempts",
            fails: |attempt| attempt > 5_000,
        },
    ];
    let requests = 10_000;
    let max_attempts = f64::from(requests) * (1.0 + RETRY_RATIO) + MAX_TOKENS;
    for case in cases {
        let attempts = count_attempts(requests, case.fails);
        assert!(
            f64::from(attempts) <= max_attempts,
            "{}: {attempts} attempts",
            case.name
        );
    }
}

#[test]
fn isolated_failures_are_retried() {
    let requests = 1_000;
    let mut failures = 0;
    let attempts = count_attempts(requests, |attempt| {
        let fails = attempt % 20 == 0;
        failures += u32::from(fails);
        fails
    });
    assert_eq!(
        attempts,
        requests + failures,
        "not every failure was retried"
    );
}
