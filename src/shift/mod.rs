//! Planned shifts: moves the shares in force toward the configured ones, at most by the cap per
//! window.
//!
//! Each host moves the shares of its own traffic from their current values, whenever it received
//! the change. The fleet's sum therefore moves by no more than the cap, without a common plan that
//! could differ between hosts and without synchronized clocks. A starting host takes over the shares
//! of a zone peer; [`MAX_SKEW`] covers how far that peer may be from what the host had before.

use std::time::{Duration, Instant, SystemTime};

use crate::budget::TokenBucket;
use crate::config::{Cap, Shares, ShiftStart};
use crate::id::ZoneId;
use crate::util;

#[cfg(test)]
mod tests;

/// Maximum difference between the clocks of hosts, and between the times at which hosts of a zone
/// receive a change
pub const MAX_SKEW: Duration = Duration::from_secs(5);

/// Fraction of the burst that must be available before a step is made, unless less remains to move
const MIN_STEP_RATIO: f64 = 0.01;

/// Distance below which shares count as equal
const EPSILON: f64 = 1e-9;

/// Shares in force for one service and entry zone on one host
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    zone: Option<ZoneId>,
    current: Option<Shares>,
    /// Newest target as it was received, and normalized
    target: (Shares, Shares),
    bucket: Option<TokenBucket>,
    cap: Option<Cap>,
}

impl Ramp {
    /// Creates the ramp of a host that has no shares yet
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the ramp of a host in the given entry zone that has no shares yet
    ///
    /// Without a peer's shares, it starts where the recorded shift has arrived at least by now.
    pub fn with_zone(zone: ZoneId) -> Self {
        Self {
            zone: Some(zone),
            ..Self::default()
        }
    }

    /// Creates a ramp that starts at the shares of a zone peer
    pub fn with_shares(shares: Shares) -> Self {
        Self {
            current: Some(shares),
            ..Self::default()
        }
    }

    /// Returns the shares in force, if any; a starting zone peer takes these over
    pub fn current(&self) -> Option<&Shares> {
        self.current.as_ref()
    }

    /// Moves the shares toward `target` as far as the cap allows now, and returns them
    ///
    /// `wall_clock` matters only to a host that starts without peers.
    pub fn advance(
        &mut self,
        now: Instant,
        wall_clock: SystemTime,
        target: &Shares,
        shift_start: Option<&ShiftStart>,
        cap: &Cap,
    ) -> Shares {
        if self.target.0 != *target {
            let Some(normalized) = normalize(target) else {
                return self.current.clone().unwrap_or_default();
            };
            self.target = (target.clone(), normalized);
        }
        if self.current.as_ref() == Some(&self.target.1) {
            return self.target.1.clone();
        }
        self.apply_cap(now, cap);
        let target = self.target.1.clone();
        let current = match self.current.take() {
            Some(current) => current,
            None => self.initial_shares(wall_clock, &target, shift_start, cap),
        };
        let next = self.step(now, current, target);
        self.current = Some(next.clone());
        next
    }

    fn step(&mut self, now: Instant, current: Shares, target: Shares) -> Shares {
        let remaining = distance(&current, &target);
        if remaining < EPSILON {
            return target;
        }
        let Some(bucket) = &mut self.bucket else {
            return current;
        };
        if bucket.available(now) < remaining.min(bucket.burst() * MIN_STEP_RATIO) {
            return current;
        }
        let granted = bucket.take_up_to(now, remaining);
        if granted >= remaining {
            return target;
        }
        let next = interpolate(&current, &target, granted / remaining);
        let moved = distance(&current, &next);
        assert!(
            moved <= granted + EPSILON,
            "shares moved by {moved}, more than granted"
        );
        next
    }

    fn apply_cap(&mut self, now: Instant, cap: &Cap) {
        if self.cap.as_ref() == Some(cap) {
            return;
        }
        let window = cap.window + MAX_SKEW;
        let rate = cap.share / window.as_secs_f64();
        match &mut self.bucket {
            Some(bucket) => bucket.set_rate(now, rate, window),
            None => self.bucket = Some(TokenBucket::with_min_burst(now, rate, window, 0.0)),
        }
        self.cap = Some(cap.clone());
    }

    /// Returns the shares that the recorded shift has reached at least, by the wall clock
    fn initial_shares(
        &self,
        wall_clock: SystemTime,
        target: &Shares,
        shift_start: Option<&ShiftStart>,
        cap: &Cap,
    ) -> Shares {
        let (Some(shift_start), Some(zone)) = (shift_start, &self.zone) else {
            return target.clone();
        };
        let unshifted = Shares::from([(zone.clone(), 1.0)]);
        let from = shift_start.from.get(zone).unwrap_or(&unshifted);
        let Some(from) = normalize(from) else {
            return target.clone();
        };
        let total = distance(&from, target);
        if total < EPSILON {
            return target.clone();
        }
        let elapsed = util::unix_millis(wall_clock).saturating_sub(shift_start.at);
        let elapsed = Duration::from_millis(elapsed).saturating_sub(MAX_SKEW);
        let moved = cap.share * elapsed.as_secs_f64() / (cap.window + MAX_SKEW).as_secs_f64();
        interpolate(&from, target, (moved / total).min(1.0))
    }
}

/// Returns the fraction of the traffic that goes to other zones under the other shares
pub fn distance(one: &Shares, other: &Shares) -> f64 {
    let share = |shares: &Shares, zone| shares.get(zone).copied().unwrap_or(0.0);
    let lost = one
        .iter()
        .map(|(zone, before)| (before - share(other, zone)).max(0.0));
    lost.sum()
}

fn interpolate(current: &Shares, target: &Shares, fraction: f64) -> Shares {
    let mut next = Shares::new();
    for zone in current.keys().chain(target.keys()) {
        let from = current.get(zone).copied().unwrap_or(0.0);
        let to = target.get(zone).copied().unwrap_or(0.0);
        let share = from + (to - from) * fraction;
        if share > 0.0 {
            next.insert(zone.clone(), share);
        }
    }
    next
}

/// Scales the positive shares to a sum of 1; returns `None` if their sum is zero or not finite
fn normalize(shares: &Shares) -> Option<Shares> {
    let sum: f64 = shares.values().map(|share| share.max(0.0)).sum();
    if !sum.is_finite() || sum <= 0.0 {
        return None;
    }
    let positive = shares.iter().filter(|(_, share)| **share > 0.0);
    Some(
        positive
            .map(|(zone, share)| (zone.clone(), share / sum))
            .collect(),
    )
}
