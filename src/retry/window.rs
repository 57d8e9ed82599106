//! Retry budget over a sliding window: one host's part of a fleet-wide bound.

use std::time::{Duration, Instant};

use crate::placement::SlidingWindow;

/// Fraction of the fleet-wide bound that is used; the rest covers hosts that count the fleet wrongly
const USED_RATIO: f64 = 0.7;

/// Fleet-wide bound on the retries to one service
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Number of retries per request
    pub ratio: f64,
    /// Number of retries beyond the ratio, for all hosts together
    pub slack: f64,
    /// Window over which requests and retries are counted
    pub window: Duration,
}

/// Retry budget of one host for one service
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl WindowBudget {
    /// Records a request
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now);
    }

    /// Records a retry if it fits into this host's part of the bound; returns whether it does
    pub fn try_retry(&mut self, now: Instant, bound: &Bound, hosts: usize) -> bool {
        let requests = self.requests.count(now, bound.window) as f64;
        let retries = self.retries.count(now, bound.window) as f64;
        let slack = bound.slack / hosts.max(1) as f64;
        if retries + 1.0 > USED_RATIO * (bound.ratio * requests + slack) {
            return false;
        }
        self.retries.record(now);
        true
    }
}
