//! Backoff state of one upstream zone, derived from its refusals.

use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::wire::Cause;

/// First and longest time without spill to a zone that lacked headroom
const HEADROOM_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(500));

/// First and longest time without moved requests to a zone whose cap was reached
const CAP_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// First and longest time without requests to an unreachable zone
const UNREACHABLE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(1));

/// How long a probe of a zone must go without a refusal to count as successful
const PROBE_DURATION: Duration = Duration::from_millis(500);

/// Backoff state of one zone
#[derive(Debug, Default)]
pub struct ZoneState {
    unreachable: Backoff,
    headroom: Backoff,
    cap: Backoff,
    is_probing: bool,
}

/// Exponential backoff
#[derive(Debug, Default)]
struct Backoff {
    until: Option<Instant>,
    delay: Duration,
}

impl ZoneState {
    /// Records a refusal; it is ignored while the backoff of its cause is running
    pub fn record_refusal(&mut self, now: Instant, cause: Cause, rng: &mut Rng) {
        match cause {
            Cause::NoUpstream | Cause::Broken => {
                let was_probing = std::mem::take(&mut self.is_probing);
                if was_probing || self.unreachable.has_elapsed(now) {
                    self.unreachable.extend(now, UNREACHABLE_BACKOFF, rng);
                }
            }
            Cause::NoHeadroom | Cause::LinkFull if self.headroom.has_elapsed(now) => {
                self.headroom.extend(now, HEADROOM_BACKOFF, rng);
            }
            Cause::CapReached if self.cap.has_elapsed(now) => {
                self.cap.extend(now, CAP_BACKOFF, rng)
            }
            _ => (),
        }
    }

    /// Records a response, which shows that the zone is reachable but not that it has headroom
    pub fn record_response(&mut self) {
        self.unreachable = Backoff::default();
        self.is_probing = false;
    }

    /// Returns whether a request may be sent there for its share
    ///
    /// After the backoff of an unreachable zone, only one request at a time is allowed as a probe.
    pub fn allow_share(&mut self, now: Instant) -> bool {
        let Some(until) = self.unreachable.until else {
            return true;
        };
        if now < until {
            return false;
        }
        if self.is_probing {
            self.unreachable = Backoff::default();
            self.is_probing = false;
            return true;
        }
        self.is_probing = true;
        self.unreachable.until = Some(now + PROBE_DURATION);
        true
    }

    /// Returns whether a request may be sent there by a planned shift
    pub fn allow_shift(&mut self, now: Instant) -> bool {
        self.cap.has_elapsed(now) && self.allow_share(now)
    }

    /// Returns whether a request may be spilled there
    pub fn allows_spill(&self, now: Instant) -> bool {
        self.cap.has_elapsed(now) && self.headroom.has_elapsed(now) && !self.is_unreachable(now)
    }

    /// Returns whether the zone counts as unreachable
    pub fn is_unreachable(&self, now: Instant) -> bool {
        !self.unreachable.has_elapsed(now)
    }

    /// Returns when the last of its running backoffs ends
    pub fn backoff_end(&self, now: Instant) -> Option<Instant> {
        let backoffs = [&self.unreachable, &self.headroom, &self.cap];
        let ends = backoffs.into_iter().filter_map(|backoff| backoff.until);
        ends.filter(|until| now < *until).max()
    }
}

impl Backoff {
    fn has_elapsed(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    /// Starts the backoff, with twice the last delay if that one ended only recently
    fn extend(&mut self, now: Instant, (first, longest): (Duration, Duration), rng: &mut Rng) {
        let is_reset = self.until.is_none_or(|until| now > until + self.delay);
        self.delay = if is_reset {
            first
        } else {
            (self.delay * 2).min(longest)
        };
        self.until = Some(now + self.delay.mul_f64(0.75 + 0.5 * rng.f64()));
    }
}
