//! Timeout of calls to the store, from the time that its responses take.
//!
//! A connection on which a response was lost stays open and returns nothing further. A fixed timeout
//! that suits a slow store would leave a host without news for most of the time in which a change
//! must be in force.

use std::time::Duration;

/// Timeout while no response was seen, and the longest one
pub const MAX_TIMEOUT: Duration = Duration::from_millis(1500);

/// Shortest timeout; a healthy store responds in milliseconds, a busy link adds tenths of a second
const MIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Multiple of the usual response time after which a response counts as lost
const TIMEOUT_FACTOR: u32 = 4;

/// Part of a response time by which the estimate falls with each faster response
const DECAY_RATIO: f64 = 0.1;

/// Response time of one server, as seen by one client
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTime {
    estimate: Option<Duration>,
    /// Number of timeouts since the last response
    timeouts: u32,
}

impl ResponseTime {
    /// Records the time that a response took
    pub fn record(&mut self, elapsed: Duration) {
        let decayed = self.estimate.unwrap_or_default().mul_f64(1.0 - DECAY_RATIO);
        self.estimate = Some(elapsed.max(decayed));
        self.timeouts = 0;
    }

    /// Records that no response came in time; the next timeout is twice as long
    pub fn record_timeout(&mut self) {
        self.timeouts += 1;
    }

    /// Returns the time after which a response counts as lost
    pub fn timeout(&self) -> Duration {
        let Some(estimate) = self.estimate else {
            return MAX_TIMEOUT;
        };
        let timeout = (estimate * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
        let backoff = 1 << self.timeouts.min(4);
        (timeout * backoff).min(MAX_TIMEOUT)
    }
}
