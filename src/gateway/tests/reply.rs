//! Answers of the system's own.

use std::time::Duration;

use crate::gateway::reply::Refusal;

#[test]
fn refused_callers_return_spread_out() {
    for wait in [0, 50, 400, 60_000] {
        let wait = Duration::from_millis(wait);
        let backs: Vec<Duration> = (0..200)
            .filter_map(|_| Refusal::not_run("no room", wait).back)
            .collect();
        let least = backs.iter().min().expect("some");
        let most = backs.iter().max().expect("some");
        assert!(
            *most > least.mul_f64(1.5),
            "{wait:?}: {least:?} to {most:?}"
        );
        assert!(*least >= Duration::from_millis(100) && *most <= Duration::from_secs(4));
    }
}
