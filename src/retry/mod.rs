//! Retry budgets, which limit attempts to a small multiple of requests.

mod window;

pub use window::{Bound, FleetSize, WindowBudget};

#[cfg(test)]
mod tests;

/// Number of retries allowed per first attempt
pub const RETRY_RATIO: f64 = 0.1;

/// Maximum number of retries that may be saved up
pub const MAX_TOKENS: f64 = 10.0;

/// Retry budget of one service on one host
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Creates a full budget
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_TOKENS);
    }

    /// Takes the token of a retry; returns `false` if none is left
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
