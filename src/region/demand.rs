//! Demand of the requests that enter at one host, in busy slots.
//!
//! Load pattern: a region that is too small for its traffic serves slowly, since its endpoints
//! cache too few affinity keys and requests queue. The slots that the requests would need under
//! good conditions do not show this, but the in-flight requests do, so the demand is the larger of
//! both. The in-flight value falls slowly, or the region would take its traffic back too early.

use std::time::{Duration, Instant};

/// Time constant of the in-flight average while it rises
const RISE_TIME: Duration = Duration::from_millis(1000);

/// Time constant of the in-flight average while it falls
const FALL_TIME: Duration = Duration::from_secs(5);

/// Lower bound of the home share when in-flight requests are scaled up; below it they are too few
const MIN_HOME_SHARE: f64 = 0.2;

/// Measured demand for one service
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    needed_slots: f64,
    in_flight: f64,
    updated_at: Option<Instant>,
}

impl Demand {
    /// Records a measurement
    ///
    /// `needed_slots` is the number of slots that the requests need under good conditions, and
    /// `max_slots` the number when no endpoint has their affinity keys cached. `in_flight` is the
    /// number of requests at the endpoints of the home region, which serves `home_share` of them.
    pub fn record(
        &mut self,
        now: Instant,
        needed_slots: f64,
        max_slots: f64,
        in_flight: f64,
        home_share: f64,
    ) {
        // More than `max_slots` are in flight only because requests queue, which is no demand.
        let in_flight = (in_flight / home_share.max(MIN_HOME_SHARE)).min(max_slots);
        let elapsed = match self.updated_at {
            Some(updated_at) => now.saturating_duration_since(updated_at),
            None => Duration::ZERO,
        };
        let time_constant = if in_flight > self.in_flight {
            RISE_TIME
        } else {
            FALL_TIME
        };
        let weight = (elapsed.as_secs_f64() / time_constant.as_secs_f64()).min(1.0);
        self.in_flight += (in_flight - self.in_flight) * weight;
        self.needed_slots = needed_slots;
        self.updated_at = Some(now);
    }

    /// Returns the demand in busy slots
    pub fn busy_slots(&self) -> f64 {
        self.needed_slots.max(self.in_flight)
    }
}
