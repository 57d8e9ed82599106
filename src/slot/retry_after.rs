//! Expected waits, and when refused callers may come back.

use std::time::{Duration, Instant};

use super::endpoint::State;
use super::{JITTER, MAX_RETRY_AFTER, MAX_WAIT, MIN_RETRY_AFTER, Pool, RETRY_CAPACITY_RATIO};
use crate::wire::Reason;

impl Pool {
    /// Expected wait behind `ahead` waiting requests
    pub(super) fn wait(&self, ahead: usize, capacity: u32) -> Duration {
        self.mean_service_time()
            .mul_f64((ahead + 1) as f64 / f64::from(capacity.max(1)))
    }

    pub(super) fn drain_time(&self, waiting: usize, capacity: u32) -> Duration {
        self.wait(waiting, capacity)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn wait_limit(&self) -> Duration {
        MAX_WAIT.max(self.mean_service_time() * 2)
    }

    /// When a refused caller may come back: refused callers are spread over the capacity
    pub(super) fn book(&mut self, now: Instant, capacity: u32, reason: Reason) -> Duration {
        let drain = self.drain_time(self.queue.len(), capacity);
        if reason != Reason::Share {
            return self.jitter(drain);
        }
        let step = self.wait(0, capacity).div_f64(RETRY_CAPACITY_RATIO);
        let first = now + drain;
        let latest = now + MAX_RETRY_AFTER;
        let booked = self
            .booked
            .map_or(first, |booked| (booked + step).max(first));
        self.booked = Some(booked.min(latest));
        if booked > latest {
            let spread = (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(self.rng.f64());
            return MIN_RETRY_AFTER + spread;
        }
        self.jitter(booked - now)
    }

    /// When the first ejected or leaving endpoint may be back
    pub(super) fn back(&mut self, now: Instant) -> Duration {
        let back = self.seats.values().filter_map(State::back).min();
        let back = back.map_or(MIN_RETRY_AFTER, |at| at.saturating_duration_since(now));
        self.jitter(back)
    }

    pub(super) fn jitter(&mut self, back: Duration) -> Duration {
        let factor = 1.0 + JITTER * (self.rng.f64() * 2.0 - 1.0);
        back.mul_f64(factor).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
