//! Requests that a shift or a failure moved here: caps on their rate, and a reserve before them.

use std::time::{Duration, Instant};

use super::seat::Seat;
use super::{Admit, Ask, Pool, RESERVE, RETRY_MAX, RETRY_MIN};
use crate::budget::TokenBucket;
use crate::config::Cap;
use crate::wire::{Cause, Reason};

impl Pool {
    /// Take the caps on moved traffic; without them, moved traffic is not counted
    pub fn cap(&mut self, now: Instant, shift: &Cap, spill: &Cap) {
        for (meter, cap) in [(&mut self.shift, shift), (&mut self.spill, spill)] {
            match meter {
                Some(meter) => meter.set_rate(now, cap.rate, cap.window),
                None => *meter = Some(TokenBucket::new(now, cap.rate, cap.window)),
            }
        }
    }

    pub(super) fn refuse_moved(&mut self, now: Instant, ask: &Ask) -> Option<Admit> {
        let meter = match ask.reason {
            Reason::Share => return None,
            Reason::Shift => &self.shift,
            Reason::Spill => &self.spill,
        };
        if self.taking_over(now) {
            let back = self.takeover.map_or(RETRY_MIN, |until| until - now);
            return Some(Admit::Refuse(Cause::CapReached, self.jitter(back)));
        }
        if let Some(meter) = meter {
            let delay = meter.wait_time(now, 1.0);
            if delay != Some(Duration::ZERO) {
                let back = delay.unwrap_or(RETRY_MAX);
                return Some(Admit::Refuse(Cause::CapReached, self.jitter(back)));
            }
        }
        if ask.reason == Reason::Spill {
            let capacity = self.capacity(now, &ask.avoid);
            if capacity == 0 {
                return Some(Admit::Refuse(Cause::NoUpstream, self.back(now)));
            }
            let busy: u32 = self.seats.values().map(Seat::busy).sum();
            let reserve = (f64::from(capacity) * RESERVE).ceil() as u32;
            if !self.queue.is_empty() || busy + reserve >= capacity {
                let back = self.drain_time(self.queue.len() + 1, capacity);
                return Some(Admit::Refuse(Cause::NoHeadroom, self.jitter(back)));
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
