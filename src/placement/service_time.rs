//! Learned service times of a route, with and without a remembered object.

use std::time::Duration;

/// Service time before anything was learned, in seconds
pub const INITIAL_SECONDS: f64 = 0.3;

/// Weight of one observation in the running means; some twenty requests settle them
const GAIN: f64 = 0.05;

/// Ranks whose chance to remember an object is learned apart
const RANKS: usize = 6;

/// Chances to remember an object by rank before anything was learned
const PRIOR: [f64; RANKS] = [0.9, 0.75, 0.55, 0.35, 0.2, 0.15];

/// Least ratio between the two means for which objects matter
const APART: f64 = 1.4;

/// Learned service times of one route
#[derive(Clone, Debug)]
pub struct ServiceTime {
    warm: f64,
    cold: f64,
    mean: f64,
    seen: u32,
    known: [f64; RANKS],
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            warm: INITIAL_SECONDS / 2.0,
            cold: INITIAL_SECONDS * 1.5,
            mean: INITIAL_SECONDS,
            seen: 0,
            known: PRIOR,
        }
    }
}

impl ServiceTime {
    /// Learn from one answer
    ///
    /// `crowded` says that it may have waited at the endpoint. Such a time says little about the
    /// work itself, unless it is short all the same; learning from it would make endpoints that
    /// remember the object look like ones that do not, just when that matters most.
    pub fn record(&mut self, took: Duration, rank: Option<usize>, crowded: bool) {
        let took = took.as_secs_f64().max(1e-4);
        if self.seen == 0 {
            (self.warm, self.cold, self.mean) = (took * 0.6, took, took);
        }
        if crowded && took > self.mean {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.seen));
        self.mean += (took - self.mean) * gain;
        let split = (self.warm * self.cold).sqrt();
        let is_warm = took < split;
        let side = if is_warm {
            &mut self.warm
        } else {
            &mut self.cold
        };
        // A single slow answer must not carry the mean away.
        *side += (took.min(*side * 3.0) - *side) * gain.min(0.3);
        if let Some(rank) = rank {
            let known = &mut self.known[rank.min(RANKS - 1)];
            *known += (f64::from(u8::from(is_warm)) - *known) * GAIN;
        }
    }

    /// Answers that were learned from
    pub fn samples(&self) -> u32 {
        self.seen
    }

    /// Mean time of all requests, in seconds
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Time without a remembered object, in seconds
    pub fn cold(&self) -> f64 {
        self.cold.max(self.mean)
    }

    /// Time with a remembered object, in seconds
    pub fn warm(&self) -> f64 {
        self.warm
    }

    /// Expected time at the endpoint with this rank for the object, in seconds
    pub fn expected(&self, rank: usize) -> f64 {
        if self.cold < self.warm * APART {
            return self.mean;
        }
        let known = self.known[rank.min(RANKS - 1)];
        known * self.warm + (1.0 - known) * self.cold
    }
}
