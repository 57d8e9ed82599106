//! Budgets counted in units a second: moved requests into a zone, bytes over a link.
//!
//! A [`TokenBucket`] starts empty and never grants more than its rate times its window within any
//! window, so that the budgets of a host and of its successor add up to no more than one.

use std::time::{Duration, Instant};

pub mod link;
#[cfg(test)]
mod tests;

pub use link::Link;

/// Part of a window's budget that may be spent at once
const BURST: f64 = 0.1;

/// Amount that may pass within any window
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: f64,
    window: Duration,
    min_burst: f64,
    tokens: f64,
    at: Instant,
}

impl TokenBucket {
    /// Empty meter for `rate` whole units a second, counted over `window`
    pub fn new(now: Instant, rate: f64, window: Duration) -> Self {
        Self::with_min_burst(now, rate, window, 1.0)
    }

    /// Empty meter whose units come in pieces of `min_burst`
    pub fn with_min_burst(now: Instant, rate: f64, window: Duration, min_burst: f64) -> Self {
        let limit = (rate * window.as_secs_f64()).max(0.0);
        Self {
            limit,
            window,
            min_burst,
            tokens: 0.0,
            at: now,
        }
    }

    /// Take another rate and window; what was saved up stays within the new burst
    pub fn set_rate(&mut self, now: Instant, rate: f64, window: Duration) {
        self.refill(now);
        self.limit = (rate * window.as_secs_f64()).max(0.0);
        self.window = window;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Whether `amount` may pass now; counts it if so
    pub fn try_take(&mut self, now: Instant, amount: f64) -> bool {
        self.refill(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        assert!(self.tokens <= self.burst(), "meter above its burst");
        true
    }

    /// Take at most `amount`; returns what was granted
    pub fn take_up_to(&mut self, now: Instant, amount: f64) -> f64 {
        self.refill(now);
        let granted = amount.min(self.tokens).max(0.0);
        self.tokens -= granted;
        granted
    }

    /// Count `amount` that has passed anyway; nothing else passes before it is paid off
    pub fn charge(&mut self, now: Instant, amount: f64) {
        self.refill(now);
        self.tokens -= amount;
    }

    /// What is saved up now
    pub fn available(&self, now: Instant) -> f64 {
        self.saved(now)
    }

    /// Time until `amount` may pass, `None` if it never may at once
    pub fn wait_time(&self, now: Instant, amount: f64) -> Option<Duration> {
        if amount > self.burst() || self.rate() <= 0.0 {
            return None;
        }
        let missing = amount - self.saved(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let delay = Duration::from_secs_f64(missing / self.rate());
        Some(delay.max(Duration::from_nanos(1)))
    }

    /// Most that may pass at once
    pub fn burst(&self) -> f64 {
        (self.limit * BURST).max(self.min_burst).min(self.limit)
    }

    fn rate(&self) -> f64 {
        (self.limit - self.burst()) / self.window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.saved(now);
        self.at = self.at.max(now);
    }

    fn saved(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        (self.tokens + since * self.rate()).min(self.burst())
    }
}
