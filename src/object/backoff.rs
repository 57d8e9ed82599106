//! Waiting times between failed calls, apart from the calls.

use std::time::Duration;

/// First waiting time after a failure
pub const MIN_DELAY: Duration = Duration::from_millis(250);

/// Longest waiting time between calls
pub const MAX_DELAY: Duration = Duration::from_secs(5);

/// Jittered exponential back-off
///
/// A success takes one step back instead of starting over, so a platform that comes and goes is
/// not called at the shortest interval each time it went.
#[derive(Clone, Debug)]
pub struct Backoff {
    shortest: Duration,
    longest: Duration,
    step: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(MIN_DELAY, MAX_DELAY)
    }
}

impl Backoff {
    /// Back-off between two waiting times
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        assert!(
            shortest <= longest,
            "the shortest wait is above the longest"
        );
        Self {
            shortest,
            longest,
            step: 0,
        }
    }

    /// A call failed: time to wait before the next, with `random` drawn from 0 to 1
    pub fn record_failure(&mut self, random: f64) -> Duration {
        let full = self.full();
        if full < self.longest {
            self.step += 1;
        }
        let wait = full.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        debug_assert!(wait <= self.longest);
        wait
    }

    /// A call succeeded
    pub fn record_success(&mut self) {
        self.step = self.step.saturating_sub(1);
    }

    fn full(&self) -> Duration {
        let factor = 1_u32.checked_shl(self.step).unwrap_or(u32::MAX);
        self.shortest.saturating_mul(factor).min(self.longest)
    }
}
