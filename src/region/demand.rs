//! Demand of the requests that enter at one host, in busy slots.
//!
//! Load pattern: a region that has become too small for its traffic serves slowly, since its
//! endpoints remember too little and requests queue. The work that requests would be under good
//! conditions does not show that; the requests that are held do. So the greater of both counts. What
//! was held is forgotten slowly, or the region would take the traffic back too early.

use std::time::{Duration, Instant};

/// Time in which a rise of held requests counts for most
const RISE: Duration = Duration::from_millis(1000);

/// Time in which a fall does
const FALL: Duration = Duration::from_secs(5);

/// Least share by which held requests are scaled up; below it they say little
const LEAST_SHARE: f64 = 0.2;

/// Measured demand for one service
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    work: f64,
    held: f64,
    at: Option<Instant>,
}

impl Demand {
    /// Take a measurement
    ///
    /// `work` are the slots that the requests need under good conditions and `most` those when no
    /// endpoint remembers an object; `held` are the requests at the endpoints of the home region,
    /// which gets this `share` of them.
    pub fn record(&mut self, now: Instant, work: f64, most: f64, held: f64, share: f64) {
        // Beyond `most`, requests wait for each other, which is no demand.
        let held = (held / share.max(LEAST_SHARE)).min(most);
        let passed = match self.at {
            Some(at) => now.saturating_duration_since(at),
            None => Duration::ZERO,
        };
        let term = if held > self.held { RISE } else { FALL };
        let gain = (passed.as_secs_f64() / term.as_secs_f64()).min(1.0);
        self.held += (held - self.held) * gain;
        self.work = work;
        self.at = Some(now);
    }

    /// Busy slots
    pub fn busy_slots(&self) -> f64 {
        self.work.max(self.held)
    }
}
