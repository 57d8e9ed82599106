//! Token buckets that limit rates: moved requests into a zone, and bytes over a link; and the memory
//! that requests may take.
//!
//! A [`TokenBucket`] starts empty and never grants more than its rate times its window within any
//! window. When a host is replaced, the budgets of the old and the new host therefore add up to no
//! more than one.

use std::time::{Duration, Instant};

pub mod link;
pub mod memory;
#[cfg(test)]
mod memory_tests;
#[cfg(test)]
mod tests;

pub use link::Link;

/// Fraction of a window's budget that may be spent at once
const BURST_RATIO: f64 = 0.1;

/// Token bucket whose grants within any window stay within a limit
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: f64,
    window: Duration,
    min_burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket for `rate` units per second, limited over `window`, whose burst is at
    /// least one unit, but no more than the limit of a window
    pub fn new(now: Instant, rate: f64, window: Duration) -> Self {
        Self::with_min_burst(now, rate, window, 1.0)
    }

    /// Creates an empty bucket whose burst is at least `min_burst`, but no more than the limit of a
    /// window
    pub fn with_min_burst(now: Instant, rate: f64, window: Duration, min_burst: f64) -> Self {
        let limit = (rate * window.as_secs_f64()).max(0.0);
        Self {
            limit,
            window,
            min_burst,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate and window; available tokens are cut to the new burst
    pub fn set_rate(&mut self, now: Instant, rate: f64, window: Duration) {
        self.refill(now);
        self.limit = (rate * window.as_secs_f64()).max(0.0);
        self.window = window;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes `amount` tokens, or none and returns `false` if fewer are available
    pub fn try_take(&mut self, now: Instant, amount: f64) -> bool {
        self.refill(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        assert!(self.tokens <= self.burst(), "token bucket above its burst");
        true
    }

    /// Takes at most `amount` tokens and returns how many were granted
    pub fn take_up_to(&mut self, now: Instant, amount: f64) -> f64 {
        self.refill(now);
        let granted = amount.min(self.tokens).max(0.0);
        self.tokens -= granted;
        granted
    }

    /// Takes `amount` tokens even if fewer are available; the debt delays later grants
    pub fn charge(&mut self, now: Instant, amount: f64) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// Returns the number of available tokens; negative while there is a debt
    pub fn available(&self, now: Instant) -> f64 {
        self.tokens_at(now)
    }

    /// Returns the time until `amount` tokens are available, `None` if they never are at once
    pub fn wait_time(&self, now: Instant, amount: f64) -> Option<Duration> {
        if amount > self.burst() || self.rate() <= 0.0 {
            return None;
        }
        let missing = amount - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let delay = Duration::from_secs_f64(missing / self.rate());
        Some(delay.max(Duration::from_nanos(1)))
    }

    /// Returns the most tokens that can be available at once
    pub fn burst(&self) -> f64 {
        (self.limit * BURST_RATIO)
            .max(self.min_burst)
            .min(self.limit)
    }

    fn rate(&self) -> f64 {
        (self.limit - self.burst()) / self.window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        (self.tokens + elapsed * self.rate()).min(self.burst())
    }
}
