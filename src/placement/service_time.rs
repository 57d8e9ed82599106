//! Estimated service times of a route, with and without the affinity key in an endpoint's cache.

use std::time::Duration;

use super::Outcome;

/// Service time assumed before the first response
pub const INITIAL_SECONDS: f64 = 0.3;

/// Weight of one response in the moving averages, which settle after some twenty requests
const EMA_WEIGHT: f64 = 0.05;

/// Number of ranks with a cache hit rate of their own
const TRACKED_RANKS: usize = 6;

/// Cache hit rates by rank, assumed before the first response
const INITIAL_HIT_RATES: [f64; TRACKED_RANKS] = [0.9, 0.75, 0.55, 0.35, 0.2, 0.15];

/// Ratio of the cold to the warm service time below which affinity is ignored
const MIN_COLD_WARM_RATIO: f64 = 1.4;

/// Estimated service times of one route
#[derive(Clone, Debug)]
pub struct ServiceTime {
    warm: f64,
    cold: f64,
    mean: f64,
    samples: u32,
    hit_rates: [f64; TRACKED_RANKS],
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            warm: INITIAL_SECONDS / 2.0,
            cold: INITIAL_SECONDS * 1.5,
            mean: INITIAL_SECONDS,
            samples: 0,
            hit_rates: INITIAL_HIT_RATES,
        }
    }
}

impl ServiceTime {
    /// Updates the estimates with one response
    ///
    /// `may_have_queued` marks a request that may have waited at the endpoint. Its time is ignored
    /// unless it is at most the mean, since queueing would make endpoints that have the key cached
    /// look like endpoints that do not, under load, when the difference matters most.
    pub fn record(&mut self, elapsed: Duration, rank: Option<usize>, may_have_queued: bool) {
        let seconds = elapsed.as_secs_f64().max(1e-4);
        if self.samples == 0 {
            (self.warm, self.cold, self.mean) = (seconds * 0.6, seconds, seconds);
        }
        if may_have_queued && seconds > self.mean {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = EMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += (seconds - self.mean) * weight;
        let threshold = (self.warm * self.cold).sqrt();
        let is_warm = seconds < threshold;
        let estimate = if is_warm {
            &mut self.warm
        } else {
            &mut self.cold
        };
        // Limits the effect of a single slow response.
        *estimate += (seconds.min(*estimate * 3.0) - *estimate) * weight.min(0.3);
        if let Some(rank) = rank {
            let hit_rate = &mut self.hit_rates[rank.min(TRACKED_RANKS - 1)];
            *hit_rate += (f64::from(u8::from(is_warm)) - *hit_rate) * EMA_WEIGHT;
        }
    }

    /// Returns the time that an outcome tells, `None` if it tells none
    ///
    /// How long an endpoint needs for an answer that a caller reads slowly is known within bounds only;
    /// if the mean lies between them, it tells nothing new.
    pub fn sample(&self, outcome: Outcome) -> Option<Duration> {
        match outcome {
            Outcome::Served(elapsed) => Some(elapsed),
            Outcome::Relayed { busy, .. } if busy.as_secs_f64() > self.mean => Some(busy),
            Outcome::Relayed { total, .. } if total.as_secs_f64() < self.mean => Some(total),
            _ => None,
        }
    }

    /// Returns the number of responses in the estimates
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean over all requests, in seconds
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the service time without a cached key, in seconds
    pub fn cold(&self) -> f64 {
        self.cold.max(self.mean)
    }

    /// Returns the service time with a cached key, in seconds
    pub fn warm(&self) -> f64 {
        self.warm
    }

    /// Returns the expected service time at the endpoint of this rank for the key, in seconds
    pub fn expected(&self, rank: usize) -> f64 {
        if self.cold < self.warm * MIN_COLD_WARM_RATIO {
            return self.mean;
        }
        let hit_rate = self.hit_rates[rank.min(TRACKED_RANKS - 1)];
        hit_rate * self.warm + (1.0 - hit_rate) * self.cold
    }
}
