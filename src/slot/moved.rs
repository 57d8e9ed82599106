//! Requests that a shift or a failure moved here: caps on their rate, and a reserve before them.

use std::time::{Duration, Instant};

use super::endpoint::State;
use super::{Admission, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Pool, Request, SPILL_RESERVE_RATIO};
use crate::budget::TokenBucket;
use crate::config::Cap;
use crate::wire::{Cause, Reason};

impl Pool {
    /// Take the caps on moved traffic; without them, moved traffic is not counted
    pub fn set_caps(&mut self, now: Instant, shift: &Cap, spill: &Cap) {
        for (meter, cap) in [(&mut self.shift, shift), (&mut self.spill, spill)] {
            match meter {
                Some(meter) => meter.set_rate(now, cap.rate, cap.window),
                None => *meter = Some(TokenBucket::new(now, cap.rate, cap.window)),
            }
        }
    }

    pub(super) fn refuse_moved(&mut self, now: Instant, ask: &Request) -> Option<Admission> {
        let meter = match ask.reason {
            Reason::Share => return None,
            Reason::Shift => &self.shift,
            Reason::Spill => &self.spill,
        };
        if self.taking_over(now) {
            let back = self.takeover.map_or(MIN_RETRY_AFTER, |until| until - now);
            return Some(Admission::Refused(Cause::CapReached, self.jitter(back)));
        }
        if let Some(meter) = meter {
            let delay = meter.wait_time(now, 1.0);
            if delay != Some(Duration::ZERO) {
                let back = delay.unwrap_or(MAX_RETRY_AFTER);
                return Some(Admission::Refused(Cause::CapReached, self.jitter(back)));
            }
        }
        if ask.reason == Reason::Spill {
            let capacity = self.capacity(now, &ask.excluded);
            if capacity == 0 {
                return Some(Admission::Refused(Cause::NoUpstream, self.back(now)));
            }
            let busy: u32 = self.seats.values().map(State::busy).sum();
            let reserve = (f64::from(capacity) * SPILL_RESERVE_RATIO).ceil() as u32;
            if !self.queue.is_empty() || busy + reserve >= capacity {
                let back = self.drain_time(self.queue.len() + 1, capacity);
                return Some(Admission::Refused(Cause::NoHeadroom, self.jitter(back)));
            }
        }
        None
    }

    pub(super) fn count_moved(&mut self, now: Instant, reason: Reason) {
        let meter = match reason {
            Reason::Share => return,
            Reason::Shift => &mut self.shift,
            Reason::Spill => &mut self.spill,
        };
        if let Some(meter) = meter {
            assert!(meter.try_take(now, 1.0), "moved request above its cap");
        }
    }
}
