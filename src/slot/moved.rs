//! Admission of requests moved here from another zone by a shift or a spill.
//!
//! Rate caps apply to moved requests, and spilled requests leave a reserve of slots free.

use std::time::{Duration, Instant};

use super::endpoint::State;
use super::{Admission, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Pool, Request, SPILL_RESERVE_RATIO};
use crate::budget::TokenBucket;
use crate::config::Cap;
use crate::wire::{Cause, Reason};

impl Pool {
    /// Sets the rate caps on moved requests, which are unlimited until the first call
    pub fn set_caps(&mut self, now: Instant, shift: &Cap, spill: &Cap) {
        for (bucket, cap) in [
            (&mut self.shift_bucket, shift),
            (&mut self.spill_bucket, spill),
        ] {
            match bucket {
                Some(bucket) => bucket.set_rate(now, cap.rate, cap.window),
                None => *bucket = Some(TokenBucket::new(now, cap.rate, cap.window)),
            }
        }
    }

    pub(super) fn refuse_moved(&mut self, now: Instant, request: &Request) -> Option<Admission> {
        let bucket = match request.reason {
            Reason::Share => return None,
            Reason::Shift => &self.shift_bucket,
            Reason::Spill => &self.spill_bucket,
        };
        if self.is_taking_over(now) {
            let retry_after = self
                .takeover_until
                .map_or(MIN_RETRY_AFTER, |until| until - now);
            return Some(Admission::Refused(
                Cause::CapReached,
                self.with_jitter(retry_after),
            ));
        }
        if let Some(bucket) = bucket {
            let delay = bucket.wait_time(now, 1.0);
            if delay != Some(Duration::ZERO) {
                let retry_after = delay.unwrap_or(MAX_RETRY_AFTER);
                return Some(Admission::Refused(
                    Cause::CapReached,
                    self.with_jitter(retry_after),
                ));
            }
        }
        if request.reason == Reason::Spill {
            let capacity = self.capacity(now, &request.excluded);
            if capacity == 0 {
                return Some(Admission::Refused(
                    Cause::NoUpstream,
                    self.availability_delay(now),
                ));
            }
            let busy: u32 = self.endpoints.values().map(State::busy).sum();
            let reserve = (f64::from(capacity) * SPILL_RESERVE_RATIO).ceil() as u32;
            if !self.queue.is_empty() || busy + reserve >= capacity {
                let retry_after = self.drain_time(self.queue.len() + 1, capacity);
                return Some(Admission::Refused(
                    Cause::NoHeadroom,
                    self.with_jitter(retry_after),
                ));
            }
        }
        None
    }

    pub(super) fn count_moved(&mut self, now: Instant, reason: Reason) {
        let bucket = match reason {
            Reason::Share => return,
            Reason::Shift => &mut self.shift_bucket,
            Reason::Spill => &mut self.spill_bucket,
        };
        if let Some(bucket) = bucket {
            assert!(
                bucket.try_take(now, 1.0),
                "moved request exceeds its rate cap"
            );
        }
    }
}
