//! Retry budget in a sliding window, as one host's part of a fleet-wide bound.

use std::time::{Duration, Instant};

use crate::placement::SlidingWindow;

/// Part of a fleet-wide bound that is used; the rest covers hosts that count each other wrongly
const USED: f64 = 0.7;

/// Fleet-wide bound on second attempts at one service
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Second attempts for each request
    pub ratio: f64,
    /// Second attempts beyond that, of all hosts together
    pub slack: f64,
    /// Time over which both are counted
    pub window: Duration,
}

/// Second attempts of one host at one service
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl WindowBudget {
    /// Count a request
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    /// Whether a second attempt fits into this host's part; counts it if so
    pub fn try_retry(&mut self, now: Instant, bound: &Bound, hosts: usize) -> bool {
        let requests = self.requests.count(now, bound.window) as f64;
        let retries = self.retries.count(now, bound.window) as f64;
        let slack = bound.slack / hosts.max(1) as f64;
        if retries + 1.0 > USED * (bound.ratio * requests + slack) {
            return false;
        }
        self.retries.record(now);
        true
    }
}
