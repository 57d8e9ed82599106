//! Exponential backoff between failed calls.

use std::time::Duration;

/// Default delay after the first failure, before jitter
pub const MIN_DELAY: Duration = Duration::from_millis(250);

/// Default maximum delay between calls
pub const MAX_DELAY: Duration = Duration::from_secs(5);

/// Exponential backoff with jitter
///
/// A success reduces the delay by one step instead of resetting it, so a platform with intermittent
/// failures is not called at the minimum delay after each of them.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    step: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(MIN_DELAY, MAX_DELAY)
    }
}

impl Backoff {
    /// Creates a backoff with the given minimum and maximum delay
    pub fn new(min_delay: Duration, max_delay: Duration) -> Self {
        assert!(min_delay <= max_delay, "minimum delay exceeds the maximum");
        Self {
            min_delay,
            max_delay,
            step: 0,
        }
    }

    /// Records a failed call and returns the delay before the next one; `random` is between 0 and 1
    pub fn record_failure(&mut self, random: f64) -> Duration {
        let full_delay = self.full_delay();
        if full_delay < self.max_delay {
            self.step += 1;
        }
        let delay = full_delay.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        debug_assert!(delay <= self.max_delay);
        delay
    }

    /// Records a successful call
    pub fn record_success(&mut self) {
        self.step = self.step.saturating_sub(1);
    }

    fn full_delay(&self) -> Duration {
        let factor = 1_u32.checked_shl(self.step).unwrap_or(u32::MAX);
        self.min_delay.saturating_mul(factor).min(self.max_delay)
    }
}
