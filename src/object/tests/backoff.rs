use std::time::Duration;

use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::object::Backoff;

const SECOND: Duration = Duration::from_secs(1);

/// Calls of `clients` that watch a platform which is up while `up` says so, for 20 s at a time
fn calls(
    seed: u64,
    clients: usize,
    length: Duration,
    up: impl Fn(Duration) -> bool,
) -> Vec<Duration> {
    let mut random = Rng::with_seed(seed);
    let mut calls = Vec::new();
    for _ in 0..clients {
        let mut backoff = Backoff::default();
        let mut now = Duration::ZERO;
        while now < length {
            calls.push(now);
            if up(now) {
                backoff.record_success();
                let end = now + 20 * SECOND;
                while now < end && up(now) {
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
fn calls_stay_bounded_while_the_platform_is_away() {
    struct Case {
        what: &'static str,
        up: fn(Duration) -> bool,
        /// Most calls a second of one client, over ten minutes
        most: f64,
    }
    let cases = [
        Case {
            what: "away for ten minutes",
            up: |_| false,
            most: 0.4,
        },
        Case {
            what: "away every other second",
            up: |now| now.as_secs() % 2 == 0,
            most: 1.0,
        },
        Case {
            what: "answers one call in ten seconds",
            up: |now| now.as_secs() % 10 == 0,
            most: 1.0,
        },
    ];
    let length = 600 * SECOND;
    for case in cases {
        for seed in 0..5 {
            let calls = calls(seed, 148, length, case.up).len();
            let rate = calls as f64 / 148.0 / length.as_secs_f64();
            assert!(rate <= case.most, "{} seed {seed}: {rate:.2}", case.what);
        }
    }
}

#[test]
fn the_end_of_an_outage_brings_no_stampede() {
    let back = 300 * SECOND;
    for seed in 0..5 {
        let calls = calls(seed, 148, 310 * SECOND, |now| now >= back);
        let within = |from: Duration, length: Duration| {
            let window = from..from + length;
            calls.iter().filter(|at| window.contains(*at)).count()
        };
        let tenths = (0..50).map(|tenth| within(back + tenth * SECOND / 10, SECOND / 10));
        let most = tenths.max().expect("has windows");
        assert!(
            most <= 148 / 8,
            "seed {seed}: {most} in one tenth of a second"
        );
        let all = within(back, 5 * SECOND);
        assert!(all >= 148, "seed {seed}: only {all} came back within 5 s");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn waits_stay_between_half_the_shortest_and_the_longest(
        events in prop::collection::vec((any::<bool>(), 0.0..1.0_f64), 1..200),
    ) {
        let (shortest, longest) = (SECOND / 4, 5 * SECOND);
        let mut backoff = Backoff::new(shortest, longest);
        for (success, random) in events {
            if success {
                backoff.record_success();
                continue;
            }
            let wait = backoff.record_failure(random);
            prop_assert!(wait >= shortest / 2 && wait <= longest);
        }
    }
}
