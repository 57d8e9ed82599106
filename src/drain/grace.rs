//! Which requests a stopping host still takes.

use std::time::{Duration, Instant};

/// Part of the grace period in which the usual duration of a request counts; in the rest only its time
/// limit does
const SERVING_RATIO: f64 = 0.5;

/// Factor by which a request may exceed the longest recent one of its kind
const DURATION_FACTOR: f64 = 1.5;

/// Grace period of a planned stop
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// Until when requests are taken that usually end in time
    pub serving_until: Instant,
    ends_at: Instant,
}

impl Grace {
    /// Starts a grace period; the host ends `exit_margin` before it is over
    pub fn new(now: Instant, period: Duration, exit_margin: Duration) -> Self {
        Self {
            serving_until: now + period.mul_f64(SERVING_RATIO),
            ends_at: now + period.saturating_sub(exit_margin),
        }
    }

    /// Returns whether a request that starts now ends before the host does
    ///
    /// `limit` is when the request is given up. `longest` is the longest recent duration of its kind,
    /// if that is known.
    pub fn admits(&self, now: Instant, limit: Instant, longest: Option<Duration>) -> bool {
        let usual_end = longest.map(|longest| now + longest.mul_f64(DURATION_FACTOR));
        let usual_end = usual_end.filter(|_| now < self.serving_until);
        usual_end.map_or(limit, |end| end.min(limit)) <= self.ends_at
    }

    /// Returns the same period, in which no further request is taken
    pub fn closed(self, now: Instant) -> Self {
        Self {
            serving_until: self.serving_until.min(now),
            ends_at: self.ends_at.min(now),
        }
    }
}
