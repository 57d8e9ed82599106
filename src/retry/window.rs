//! Retry budget over a sliding window: one host's part of a fleet-wide bound.
//!
//! A host keeps its windows in memory. One that starts has forgotten the retries that it made
//! before, and one that outlives others takes over their part while their retries still count. So a
//! part of the bound that does not depend on requests is used as follows:
//!
//! | host | used of its part |
//! | --- | --- |
//! | for [`SETTLE_TIME`] after its start, while hosts that start with it list themselves | nothing |
//! | until one window after its start | [`FIRST_WINDOW_RATIO`] |
//! | later | [`USED_RATIO`] |
//!
//! Its part is one of as many as there were hosts at most within the last window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::placement::SlidingWindow;

/// Fraction of the fleet-wide bound that is used; the rest covers hosts that count the fleet wrongly
const USED_RATIO: f64 = 0.7;

/// Fraction used in the first window, so that a run and the one before it stay within the bound
const FIRST_WINDOW_RATIO: f64 = 1.0 - USED_RATIO;

/// Time in which the hosts of a fleet that starts together become known to each other
const SETTLE_TIME: Duration = Duration::from_secs(3);

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

impl Bound {
    /// Returns the retries beyond the ratio that one of `hosts` may use, `uptime` after its start
    pub fn host_slack(&self, uptime: Duration, hosts: usize) -> f64 {
        let used_ratio = if uptime < SETTLE_TIME {
            0.0
        } else if uptime < self.window {
            FIRST_WINDOW_RATIO
        } else {
            USED_RATIO
        };
        used_ratio * self.slack / hosts.max(1) as f64
    }
}

/// Largest number of hosts within a window
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Times with the sizes then; each size is smaller than the ones before it
    sizes: VecDeque<(Instant, usize)>,
}

impl FleetSize {
    /// Records the number of hosts; returns the largest one within `window`
    pub fn record(&mut self, now: Instant, window: Duration, hosts: usize) -> usize {
        while self.sizes.back().is_some_and(|(_, size)| *size <= hosts) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, hosts));
        while self.sizes.front().is_some_and(|(at, _)| *at + window < now) {
            self.sizes.pop_front();
        }
        self.sizes.front().map_or(hosts, |(_, size)| *size)
    }
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
    ///
    /// `host_slack` is the number of retries beyond the ratio that this host may use.
    pub fn try_retry(&mut self, now: Instant, bound: &Bound, host_slack: f64) -> bool {
        let requests = self.requests.count(now, bound.window) as f64;
        let retries = self.retries.count(now, bound.window) as f64;
        if retries + 1.0 > USED_RATIO * bound.ratio * requests + host_slack {
            return false;
        }
        self.retries.record(now);
        true
    }
}
