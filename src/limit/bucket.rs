//! Token bucket of one limit at its owner.

use std::time::{Duration, Instant};

use super::{MAX_RATE, MIN_RATE};

/// Tokens that are saved at most: a fixed number, and the seconds of the rate
///
/// With none saved, a limit would lapse in the pauses between two requests.
const SAVED: (f64, f64) = (2.0, 0.25);

/// Tokens for requests, refilled at the rate of the limit
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket; `rate` is in tokens a second
    pub fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate: rate.clamp(MIN_RATE, MAX_RATE),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate from now on
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.refill(now);
        self.rate = rate.clamp(MIN_RATE, MAX_RATE);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Empties the bucket at a time, unless it was refilled since then
    pub fn restart_at(&mut self, time: Instant) {
        if self.refilled_at < time {
            self.tokens = 0.0;
            self.refilled_at = time;
        }
    }

    /// Takes a token, or returns the time until there is one
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }

    fn capacity(&self) -> f64 {
        let (fixed, seconds) = SAVED;
        fixed + seconds * self.rate
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let tokens = self.tokens + elapsed.as_secs_f64() * self.rate;
        self.tokens = tokens.min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }
}
