//! Shares of a region's traffic among all regions.
//!
//! Load pattern: one region has a third of the traffic and an eighth of the slots, and waves pass
//! from region to region. Traffic stays at home up to a common level of use; what is over goes to
//! regions with room, in proportion to it. Shares move slowly, so that no region sees a jump, except
//! away from a region that can serve nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id::RegionId;
use crate::util::stable_hash;

mod demand;

#[cfg(test)]
mod tests;

pub use demand::Demand;

/// Part of its slots that a region uses before it sends traffic away; leaves a queue short
pub const HOME_UTILIZATION_RATIO: f64 = 0.55;

/// Part of the traffic that may move within a second; the platform allows 0.15 in two seconds
pub const MAX_MOVE_PER_SECOND_RATIO: f64 = 0.045;

/// Change of a share that is told to operators
const MARKED: f64 = 0.1;

/// Requests by which counts may stray from the shares, on each host
pub const MAX_DRIFT_REQUESTS: f64 = 3.0;

/// Expected time, in seconds, that one request of credit is worth; some of the usual gain by a
/// remembered object
const PRICE: f64 = 0.06;

/// Expected time, in seconds, that it costs to send an object to a region that does not keep it
pub const MISPLACED_KEY_COST_SECONDS: f64 = 0.2;

/// Time from its first request in which a host has only begun to count; twice the time in which a
/// rise of demand is taken in
const YOUNG: Duration = Duration::from_secs(2);

/// Part of the usual demand from which on the measured one counts in that time
const KNOWN: f64 = 0.5;

/// Least time between two steps
const STEP: Duration = Duration::from_millis(100);

/// Part of a region's traffic by the region that serves it; the parts sum to 1
pub type Shares = BTreeMap<RegionId, f64>;

/// Slots and demand of a region
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots that may get work
    pub slots: f64,
    /// Slots that its own traffic keeps busy, as far as it is known
    pub demand: f64,
}

/// Shares for the traffic of `home` that fit demand to room
pub fn target_shares(home: &RegionId, rooms: &BTreeMap<RegionId, Load>) -> Shares {
    let slots: f64 = rooms.values().map(|room| room.slots).sum();
    let demand: f64 = rooms.values().map(|room| room.demand).sum();
    let own = rooms.get(home).copied().unwrap_or_default();
    if slots <= 0.0 {
        return [(home.clone(), 1.0)].into();
    }
    let level = (demand / slots).max(HOME_UTILIZATION_RATIO);
    let kept = own.demand.min(own.slots * level);
    let kept = if own.demand > 0.0 {
        kept / own.demand
    } else if own.slots > 0.0 {
        1.0
    } else {
        0.0
    };
    let spare = |room: &Load| (room.slots * level - room.demand).max(0.0);
    let others = || rooms.iter().filter(|(region, _)| *region != home);
    let mut total: f64 = others().map(|(_, room)| spare(room)).sum();
    let by_slots = total <= 0.0;
    if by_slots {
        total = others().map(|(_, room)| room.slots).sum();
    }
    if total <= 0.0 {
        return [(home.clone(), 1.0)].into();
    }
    let mut shares = Shares::new();
    for (region, room) in others() {
        let weight = if by_slots { room.slots } else { spare(room) };
        shares.insert(region.clone(), (1.0 - kept) * weight / total);
    }
    shares.insert(home.clone(), kept);
    shares
}

/// Fill in a like demand for all regions where little is known yet, as after a start of the fleet
///
/// Load pattern: a fleet starts, and the first requests of a region are counted before those of
/// others. Shares begin near where they will be, instead of moving there within the cap, which takes
/// a region with too few slots ten seconds. `is_young` says that this host has only begun to count;
/// later, little demand is little demand.
pub fn assume_equal_demand(rooms: &mut BTreeMap<RegionId, Load>, is_young: bool) {
    let slots: f64 = rooms.values().map(|room| room.slots).sum();
    let usual = slots * HOME_UTILIZATION_RATIO;
    let known: f64 = rooms.values().map(|room| room.demand).sum();
    if known > 0.0 && !(is_young && known < usual * KNOWN) {
        return;
    }
    let each = usual / rooms.len().max(1) as f64;
    let fill = |room: &mut Load| room.demand = room.demand.max(each);
    rooms.values_mut().for_each(fill);
}

/// Shares on their way to a target, and the rotation that keeps to them
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    shares: Shares,
    begun: Option<Instant>,
    moved: Option<Instant>,
    told: Shares,
    credit: BTreeMap<RegionId, f64>,
}

impl Balancer {
    /// Balancer that starts at its first target
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether it began so lately that measured demand says little
    pub fn is_starting(&self, now: Instant) -> bool {
        let begun = self.begun.unwrap_or(now);
        now.saturating_duration_since(begun) < YOUNG
    }

    /// Shares in force
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Whether the shares moved markedly since this was asked last and said so
    pub fn take_change(&mut self) -> bool {
        let part = |shares: &Shares, region: &RegionId| shares.get(region).copied().unwrap_or(0.0);
        let regions = self.shares.keys().chain(self.told.keys());
        let moved = regions
            .map(|region| (part(&self.shares, region) - part(&self.told, region)).abs())
            .fold(0.0, f64::max);
        if moved < MARKED {
            return false;
        }
        self.told = self.shares.clone();
        true
    }

    /// Move toward a target; regions that are not `usable` lose their share at once
    pub fn step(&mut self, now: Instant, target: &Shares, usable: impl Fn(&RegionId) -> bool) {
        let Some(moved) = self.moved else {
            self.shares = target.clone();
            self.begun = Some(now);
            self.moved = Some(now);
            return;
        };
        let passed = now.saturating_duration_since(moved);
        if passed >= STEP {
            self.moved = Some(now);
            self.advance(
                target,
                MAX_MOVE_PER_SECOND_RATIO * passed.as_secs_f64().min(1.0),
            );
        }
        let lost: f64 = self
            .shares
            .iter()
            .filter(|(region, _)| !usable(region))
            .map(|(_, share)| *share)
            .sum();
        if lost > 0.0 && lost < 1.0 {
            self.shares.retain(|region, _| usable(region));
            for share in self.shares.values_mut() {
                *share /= 1.0 - lost;
            }
        } else if lost >= 1.0 && target.keys().any(&usable) {
            self.shares = target.clone();
        }
    }

    fn advance(&mut self, target: &Shares, most: f64) {
        let part = |shares: &Shares, region: &RegionId| shares.get(region).copied().unwrap_or(0.0);
        let regions: Vec<RegionId> = self.shares.keys().chain(target.keys()).cloned().collect();
        let mut regions = regions;
        regions.sort();
        regions.dedup();
        let gap = |region: &RegionId| part(target, region) - part(&self.shares, region);
        let distance: f64 = regions.iter().map(|region| gap(region).max(0.0)).sum();
        if distance <= 0.0 {
            return;
        }
        let fraction = (most / distance).min(1.0);
        let next = regions.iter().map(|region| {
            let share = part(&self.shares, region) + gap(region) * fraction;
            (region.clone(), share)
        });
        self.shares = next.filter(|(_, share)| *share > 1e-6).collect();
    }

    /// Region that keeps an object, so that a region remembers few objects rather than all a little
    ///
    /// All hosts agree, as far as their shares do; a slow change of the shares moves few objects.
    pub fn region_for_key(&self, object: u64) -> Option<&RegionId> {
        let mut at = stable_hash(&object) as f64 / u64::MAX as f64;
        for (region, share) in &self.shares {
            if at < *share {
                return Some(region);
            }
            at -= share;
        }
        self.shares.keys().next_back()
    }

    /// Region of the next request, by expected cost in seconds; `None` cost means not possible
    ///
    /// Counts follow the shares to within [`MAX_DRIFT_REQUESTS`] requests, so that no window of a few dozen
    /// requests shows a jump. Within that slack the cheaper region is taken: a region whose
    /// endpoints remember the object, and have room.
    pub fn pick(&mut self, cost: impl Fn(&RegionId) -> Option<f64>) -> Option<RegionId> {
        self.credit
            .retain(|region, _| self.shares.contains_key(region));
        for (region, share) in &self.shares {
            *self.credit.entry(region.clone()).or_default() += share;
        }
        let credit = |region: &RegionId| self.credit.get(region).copied().unwrap_or(0.0);
        let owed = self
            .shares
            .keys()
            .filter(|region| credit(region) >= MAX_DRIFT_REQUESTS);
        let owed: Vec<&RegionId> = owed.filter(|region| cost(region).is_some()).collect();
        let open = |region: &&RegionId| match owed.is_empty() {
            true => credit(region) > 1.0 - MAX_DRIFT_REQUESTS,
            false => owed.contains(region),
        };
        let priced = |region: &RegionId| Some(cost(region)? - PRICE * credit(region));
        let best = self
            .shares
            .keys()
            .filter(open)
            .filter_map(|region| Some((priced(region)?, region)))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, region)| region.clone())?;
        *self.credit.entry(best.clone()).or_default() -= 1.0;
        Some(best)
    }
}
