//! Planned shifts: shares that move toward the configured ones by at most the cap in a window.
//!
//! Each host moves the shares of its own traffic, from where they are, whatever it has heard and
//! when. So the sum over the fleet moves by no more than the cap: there is no plan that hosts
//! could hold different copies of, and no clock that they must share. A host that starts takes the
//! shares of a zone peer; [`MAX_SKEW`] covers how far that peer may be from what the host had before.

use std::time::{Duration, Instant, SystemTime};

use crate::budget::TokenBucket;
use crate::config::{Cap, Shares, ShiftStart};
use crate::id::ZoneId;
use crate::util;

#[cfg(test)]
mod tests;

/// Time by which hosts of a zone may hear of a change apart, and clocks may differ
pub const MAX_SKEW: Duration = Duration::from_secs(5);

/// Part of what may move at once that a step waits for
const STEP: f64 = 0.01;

/// Distance below which shares are equal
const EQUAL: f64 = 1e-9;

/// Shares in force for one service and entry zone on one host
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    zone: Option<ZoneId>,
    current: Option<Shares>,
    /// Newest target as it was given, and made whole
    target: (Shares, Shares),
    meter: Option<TokenBucket>,
    cap: Option<Cap>,
}

impl Ramp {
    /// Ramp of a host that has served nothing yet
    pub fn new() -> Self {
        Self::default()
    }

    /// Ramp of a host in this entry zone that has served nothing yet
    ///
    /// Without a peer's shares it starts where the recorded shift must have come to by now.
    pub fn with_zone(zone: ZoneId) -> Self {
        Self {
            zone: Some(zone),
            ..Self::default()
        }
    }

    /// Start from the shares of a zone peer
    pub fn with_shares(shares: Shares) -> Self {
        Self {
            current: Some(shares),
            ..Self::default()
        }
    }

    /// Shares in force, if there are any yet; what a starting zone peer is told
    pub fn current(&self) -> Option<&Shares> {
        self.current.as_ref()
    }

    /// Shares in force now, on the way to `target`
    ///
    /// `wall` only serves a host that starts without peers.
    pub fn advance(
        &mut self,
        now: Instant,
        wall: SystemTime,
        target: &Shares,
        started: Option<&ShiftStart>,
        cap: &Cap,
    ) -> Shares {
        if self.target.0 != *target {
            let Some(parts) = whole(target) else {
                return self.current.clone().unwrap_or_default();
            };
            self.target = (target.clone(), parts);
        }
        if self.current.as_ref() == Some(&self.target.1) {
            return self.target.1.clone();
        }
        self.limit(now, cap);
        let target = self.target.1.clone();
        let current = match self.current.take() {
            Some(current) => current,
            None => self.first(wall, &target, started, cap),
        };
        let next = self.step(now, current, target);
        self.current = Some(next.clone());
        next
    }

    fn step(&mut self, now: Instant, current: Shares, target: Shares) -> Shares {
        let whole = distance(&current, &target);
        if whole < EQUAL {
            return target;
        }
        let Some(meter) = &mut self.meter else {
            return current;
        };
        if meter.available(now) < whole.min(meter.burst() * STEP) {
            return current;
        }
        let granted = meter.take_up_to(now, whole);
        if granted >= whole {
            return target;
        }
        let next = toward(&current, &target, granted / whole);
        let moved = distance(&current, &next);
        assert!(moved <= granted + EQUAL, "shares moved by {moved}");
        next
    }

    fn limit(&mut self, now: Instant, cap: &Cap) {
        if self.cap.as_ref() == Some(cap) {
            return;
        }
        let window = cap.window + MAX_SKEW;
        let rate = cap.share / window.as_secs_f64();
        match &mut self.meter {
            Some(meter) => meter.set_rate(now, rate, window),
            None => self.meter = Some(TokenBucket::with_min_burst(now, rate, window, 0.0)),
        }
        self.cap = Some(cap.clone());
    }

    /// Where the recorded shift has come to at least, by the wall clock
    fn first(
        &self,
        wall: SystemTime,
        target: &Shares,
        started: Option<&ShiftStart>,
        cap: &Cap,
    ) -> Shares {
        let (Some(started), Some(zone)) = (started, &self.zone) else {
            return target.clone();
        };
        let own = Shares::from([(zone.clone(), 1.0)]);
        let from = started.from.get(zone).unwrap_or(&own);
        let Some(from) = whole(from) else {
            return target.clone();
        };
        let length = distance(&from, target);
        if length < EQUAL {
            return target.clone();
        }
        let since = util::unix_millis(wall).saturating_sub(started.at);
        let since = Duration::from_millis(since).saturating_sub(MAX_SKEW);
        let moved = cap.share * since.as_secs_f64() / (cap.window + MAX_SKEW).as_secs_f64();
        toward(&from, target, (moved / length).min(1.0))
    }
}

/// Part of the traffic that goes elsewhere under other shares
pub fn distance(one: &Shares, other: &Shares) -> f64 {
    let share = |shares: &Shares, zone| shares.get(zone).copied().unwrap_or(0.0);
    let lost = one
        .iter()
        .map(|(zone, part)| (part - share(other, zone)).max(0.0));
    lost.sum()
}

fn toward(current: &Shares, target: &Shares, part: f64) -> Shares {
    let mut next = Shares::new();
    for zone in current.keys().chain(target.keys()) {
        let from = current.get(zone).copied().unwrap_or(0.0);
        let to = target.get(zone).copied().unwrap_or(0.0);
        let share = from + (to - from) * part;
        if share > 0.0 {
            next.insert(zone.clone(), share);
        }
    }
    next
}

/// Shares that sum to 1, `None` if there is nothing to share out
fn whole(shares: &Shares) -> Option<Shares> {
    let sum: f64 = shares.values().map(|share| share.max(0.0)).sum();
    if !sum.is_finite() || sum <= 0.0 {
        return None;
    }
    let parts = shares.iter().filter(|(_, share)| **share > 0.0);
    Some(
        parts
            .map(|(zone, share)| (zone.clone(), share / sum))
            .collect(),
    )
}
