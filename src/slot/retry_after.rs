//! Expected wait times, and retry delays for refused callers.

use std::time::{Duration, Instant};

use super::endpoint::State;
use super::{
    MAX_RETRY_AFTER, MAX_WAIT, MIN_RETRY_AFTER, Pool, RETRY_CAPACITY_RATIO, RETRY_JITTER_RATIO,
};
use crate::wire::Reason;

impl Pool {
    /// Returns the expected wait behind `ahead` queued requests
    pub(super) fn expected_wait(&self, ahead: usize, capacity: u32) -> Duration {
        self.mean_service_time()
            .mul_f64((ahead + 1) as f64 / f64::from(capacity.max(1)))
    }

    pub(super) fn drain_time(&self, waiting: usize, capacity: u32) -> Duration {
        self.expected_wait(waiting, capacity)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn max_wait(&self) -> Duration {
        MAX_WAIT.max(self.mean_service_time() * 2)
    }

    /// Returns the delay after which a refused caller may retry
    ///
    /// Retries of the zone's own traffic are spread out so that together they use at most
    /// [`RETRY_CAPACITY_RATIO`] of the capacity.
    pub(super) fn schedule_retry(
        &mut self,
        now: Instant,
        capacity: u32,
        reason: Reason,
    ) -> Duration {
        let drain_time = self.drain_time(self.queue.len(), capacity);
        if reason != Reason::Share {
            return self.with_jitter(drain_time);
        }
        let interval = self
            .expected_wait(0, capacity)
            .div_f64(RETRY_CAPACITY_RATIO);
        let earliest = now + drain_time;
        let latest = now + MAX_RETRY_AFTER;
        let retry_at = self
            .last_retry_at
            .map_or(earliest, |last| (last + interval).max(earliest));
        self.last_retry_at = Some(retry_at.min(latest));
        if retry_at > latest {
            let spread = (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(self.rng.f64());
            return MIN_RETRY_AFTER + spread;
        }
        self.with_jitter(retry_at - now)
    }

    /// Returns the delay until the first ejected or leaving endpoint may be used again
    pub(super) fn availability_delay(&mut self, now: Instant) -> Duration {
        let available_at = self
            .endpoints
            .values()
            .filter_map(State::available_at)
            .min();
        let delay = available_at.map_or(MIN_RETRY_AFTER, |at| at.saturating_duration_since(now));
        self.with_jitter(delay)
    }

    pub(super) fn with_jitter(&mut self, delay: Duration) -> Duration {
        let factor = 1.0 + RETRY_JITTER_RATIO * (self.rng.f64() * 2.0 - 1.0);
        delay
            .mul_f64(factor)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
