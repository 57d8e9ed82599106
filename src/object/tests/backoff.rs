use std::time::Duration;

use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::object::Backoff;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the times of all calls by `clients`; while `is_up`, a call is a watch of up to 20 s
fn call_times(
    seed: u64,
    clients: usize,
    duration: Duration,
    is_up: impl Fn(Duration) -> bool,
) -> Vec<Duration> {
    let mut random = Rng::with_seed(seed);
    let mut calls = Vec::new();
    for _ in 0..clients {
        let mut backoff = Backoff::default();
        let mut now = Duration::ZERO;
        while now < duration {
            calls.push(now);
            if is_up(now) {
                backoff.record_success();
                let end = now + 20 * SECOND;
                while now < end && is_up(now) {
                    now += SECOND / 10;
                }
            } else {
                now += backoff.record_failure(random.f64());
            }
        }
    }
    calls.sort();
    calls
}

#[test]
fn call_rate_stays_bounded_during_outages() {
    struct Case {
        what: &'static str,
        is_up: fn(Duration) -> bool,
        /// Maximum calls per second of one client, averaged over ten minutes
        max_rate: f64,
    }
    let cases = [
        Case {
            what: "down for ten minutes",
            is_up: |_| false,
            max_rate: 0.4,
        },
        Case {
            what: "down every other second",
            is_up: |now| now.as_secs() % 2 == 0,
            max_rate: 1.0,
        },
        Case {
            what: "up for one second in ten",
            is_up: |now| now.as_secs() % 10 == 0,
            max_rate: 1.0,
        },
    ];
    let duration = 600 * SECOND;
    for case in cases {
        for seed in 0..5 {
            let calls = call_times(seed, 148, duration, case.is_up).len();
            let rate = calls as f64 / 148.0 / duration.as_secs_f64();
            assert!(
                rate <= case.max_rate,
                "{} seed {seed}: {rate:.2}",
                case.what
            );
        }
    }
}

#[test]
fn calls_are_spread_out_after_an_outage() {
    let recovery = 300 * SECOND;
    for seed in 0..5 {
        let calls = call_times(seed, 148, 310 * SECOND, |now| now >= recovery);
        let count_within = |start: Duration, duration: Duration| {
            let window = start..start + duration;
            calls.iter().filter(|at| window.contains(*at)).count()
        };
        let tenths = (0..50).map(|tenth| count_within(recovery + tenth * SECOND / 10, SECOND / 10));
        let max_burst = tenths.max().expect("there are windows");
        assert!(
            max_burst <= 148 / 8,
            "seed {seed}: {max_burst} calls in one tenth of a second"
        );
        let total = count_within(recovery, 5 * SECOND);
        assert!(total >= 148, "seed {seed}: only {total} calls within 5 s");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn delays_stay_between_half_the_minimum_and_the_maximum(
        events in prop::collection::vec((any::<bool>(), 0.0..1.0_f64), 1..200),
    ) {
        let (min_delay, max_delay) = (SECOND / 4, 5 * SECOND);
        let mut backoff = Backoff::new(min_delay, max_delay);
        for (success, random) in events {
            if success {
                backoff.record_success();
                continue;
            }
            let delay = backoff.record_failure(random);
            prop_assert!(delay >= min_delay / 2 && delay <= max_delay);
        }
    }
}
