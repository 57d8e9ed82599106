//! Load and health of one endpoint, as observed by this host.
//!
//! An endpoint with repeated connection failures is ejected for a time that doubles with each
//! ejection. A health check or a single trial request restores it. An endpoint that fails only some
//! of its requests stays in use at a higher cost, since all endpoints of the service may be in the
//! same state.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Consecutive connection failures that eject an endpoint; a single one may be a lost response
const EJECT_AFTER_FAILURES: u32 = 2;

/// Duration of the first ejection; endpoints restart within seconds
const EJECT_BASE_DURATION: Duration = Duration::from_millis(500);

/// Longest duration of an ejection
const EJECT_MAX_DURATION: Duration = Duration::from_secs(4);

/// Weight of one result in the moving averages of the failure rate and the slowdown
const EMA_WEIGHT: f64 = 0.2;

/// Time in which a failure rate or a slowdown decays to one half
const DECAY_HALF_LIFE_SECONDS: f64 = 3.0;

/// Slowdown below which an endpoint counts as normal
const MIN_SLOWDOWN_RATIO: f64 = 1.6;

/// How a request ended at an endpoint
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response, with the time since the request was sent
    Served(Duration),
    /// Complete response that was passed on while it was read
    Relayed {
        /// Time for which this host waited for the endpoint, which needed as long at least
        busy: Duration,
        /// Time since the request was sent
        total: Duration,
    },
    /// Error response from the endpoint, or no response in time
    Failed,
    /// Not run, since the endpoint was full
    Shed,
    /// The connection could not be opened, or broke
    ConnectionFailed,
    /// Not run, since another endpoint has the address
    Misdirected,
    /// Cancelled by this host or by the caller
    Cancelled,
}

/// Load and health of one endpoint
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Start times of the in-flight requests
    running: VecDeque<Instant>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    on_trial: bool,
    /// End of the time for which the endpoint asked for no requests
    paused_until: Option<Instant>,
    /// Whether no request was served since that time; until then, one request is sent at a time
    is_returning: bool,
    failure_rate: f64,
    failure_rate_updated_at: Option<Instant>,
    /// Slowdown beyond the usual service time, as a ratio
    excess_slowdown: f64,
    slowdown_updated_at: Option<Instant>,
    /// Number of requests in the last load report, and when it arrived
    pub reported_load: Option<(Instant, u32)>,
}

impl State {
    /// Returns the number of in-flight requests of this host
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the age of the oldest in-flight request of this host
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let oldest = self.running.front();
        oldest.map_or(Duration::ZERO, |started_at| {
            now.saturating_duration_since(*started_at)
        })
    }

    /// Whether the endpoint may get new requests
    pub fn is_available(&self, now: Instant) -> bool {
        if self.pause_remaining(now).is_some() || (self.is_returning && !self.running.is_empty()) {
            return false;
        }
        match self.ejected_until {
            Some(until) => now >= until && (!self.on_trial || self.running.is_empty()),
            None => true,
        }
    }

    /// Whether the endpoint is ejected because of failures
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records that the endpoint asked for no requests until a time
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
        self.is_returning = true;
    }

    /// Returns the rest of the time for which the endpoint asked for no requests
    pub fn pause_remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.paused_until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Records that a request was sent
    pub fn start(&mut self, now: Instant) {
        if self.ejected_until.is_some() {
            self.on_trial = true;
        }
        self.running.push_back(now);
    }

    /// Records the end of a request
    pub fn finish(&mut self, now: Instant, started_at: Instant, outcome: Outcome) {
        if let Some(index) = self.running.iter().position(|other| *other == started_at) {
            self.running.remove(index);
        }
        let failure = match outcome {
            Outcome::Cancelled | Outcome::Misdirected => return,
            Outcome::Served(_) | Outcome::Relayed { .. } => {
                self.is_returning = self.pause_remaining(now).is_some();
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.ejected_until = None;
                self.on_trial = false;
                0.0
            }
            Outcome::Failed | Outcome::Shed => 1.0,
            Outcome::ConnectionFailed => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= EJECT_AFTER_FAILURES || self.on_trial {
                    self.eject(now);
                }
                1.0
            }
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failure - rate) * EMA_WEIGHT;
        self.failure_rate_updated_at = Some(now);
    }

    /// Ejects the endpoint for a time that doubles with each ejection
    pub fn eject(&mut self, now: Instant) {
        let duration = EJECT_BASE_DURATION.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until = Some(now + duration.min(EJECT_MAX_DURATION));
        self.ejections += 1;
        self.on_trial = false;
    }

    /// Whether a health check is due; if so, marks the endpoint as being checked
    pub fn begin_probe(&mut self, now: Instant) -> bool {
        match self.ejected_until {
            Some(until)
                if now >= until && !self.on_trial && self.pause_remaining(now).is_none() =>
            {
                self.on_trial = true;
                true
            }
            _ => false,
        }
    }

    /// Records that a health check that was due was not sent
    pub fn postpone_probe(&mut self) {
        self.on_trial = false;
    }

    /// Records the result of a health check
    pub fn record_probe(&mut self, now: Instant, healthy: bool) {
        if healthy {
            self.ejected_until = Some(now);
            self.on_trial = false;
            self.consecutive_failures = 0;
        } else {
            self.eject(now);
        }
    }

    /// Returns the fraction of requests that fail
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate * decay(now, self.failure_rate_updated_at)
    }

    /// Records the ratio of a request's service time to the usual one
    pub fn record_slowdown(&mut self, now: Instant, ratio: f64) {
        let current = self.excess_slowdown * decay(now, self.slowdown_updated_at);
        let excess = (ratio.min(20.0) - 1.0).max(0.0);
        self.excess_slowdown = current + (excess - current) * EMA_WEIGHT;
        self.slowdown_updated_at = Some(now);
    }

    /// Returns the ratio of the service time to the usual one, or 1 below [`MIN_SLOWDOWN_RATIO`]
    pub fn slowdown(&self, now: Instant) -> f64 {
        let slowdown = 1.0 + self.excess_slowdown * decay(now, self.slowdown_updated_at);
        if slowdown < MIN_SLOWDOWN_RATIO {
            1.0
        } else {
            slowdown
        }
    }
}

fn decay(now: Instant, updated_at: Option<Instant>) -> f64 {
    let Some(updated_at) = updated_at else {
        return 0.0;
    };
    let age = now.saturating_duration_since(updated_at).as_secs_f64();
    0.5_f64.powf(age / DECAY_HALF_LIFE_SECONDS)
}
