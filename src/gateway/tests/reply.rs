//! Answers that this host generates.

use std::time::Duration;

use crate::gateway::reply::Refusal;

#[test]
fn retry_after_is_spread_and_bounded() {
    for wait in [0, 50, 400, 60_000] {
        let wait = Duration::from_millis(wait);
        let retry_afters: Vec<Duration> = (0..200)
            .filter_map(|_| Refusal::not_run("no room", wait).retry_after)
            .collect();
        let shortest = retry_afters.iter().min().expect("no retry_after was set");
        let longest = retry_afters.iter().max().expect("no retry_after was set");
        assert!(
            *longest > shortest.mul_f64(1.5),
            "{wait:?}: {shortest:?} to {longest:?}"
        );
        assert!(*shortest >= Duration::from_millis(100) && *longest <= Duration::from_secs(4));
    }
}
