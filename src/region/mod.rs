//! Balances the traffic of a region among all regions.
//!
//! Load pattern: one region has a third of the traffic and an eighth of the slots, and peaks move
//! from region to region. Traffic stays in its home region up to a common utilization. The excess
//! goes to regions with spare slots, in proportion to them. Shares change slowly, so that no region
//! sees a jump in traffic, except for traffic of a region that cannot serve any requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id::RegionId;
use crate::util::stable_hash;

mod demand;

#[cfg(test)]
mod tests;

pub use demand::Demand;

/// Utilization above which a region sends traffic to other regions; keeps queues short
pub const HOME_UTILIZATION_RATIO: f64 = 0.55;

/// Fraction of the traffic that may move per second; the platform allows 0.15 in two seconds
pub const MAX_MOVE_PER_SECOND_RATIO: f64 = 0.045;

/// Time in which the peak of a region's demand is half forgotten; longer than a wave of traffic
const PEAK_HALF_LIFE: Duration = Duration::from_secs(30);

/// Smallest change of a share that is reported to operators
const MIN_REPORTED_CHANGE_RATIO: f64 = 0.1;

/// Number of requests by which the counts on each host of a small region may differ from the shares
pub const MAX_DRIFT_REQUESTS: f64 = 3.0;

/// Number of hosts up to which a region is small
const SMALL_REGION_HOSTS: f64 = 4.0;

/// Expected time that the largest credit outweighs; part of the usual gain from a cached key
const MAX_CREDIT_SECONDS: f64 = 0.18;

/// Minimum added to the expected time in regions other than the one that keeps the affinity key
pub const MISPLACED_KEY_COST_SECONDS: f64 = 0.2;

/// Time after the first request in which measured demand is unreliable; twice the time constant of
/// a rising demand
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Fraction of the usual demand from which measured demand counts during the startup period
const MIN_STARTUP_DEMAND_RATIO: f64 = 0.5;

/// Minimum time between two changes of the shares
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Fractions of a region's traffic by the region that serves them; they sum to 1
pub type Shares = BTreeMap<RegionId, f64>;

/// Slots and demand of a region
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots that accept requests
    pub slots: f64,
    /// Slots that the region's own traffic keeps busy, as far as measured
    pub demand: f64,
}

/// Returns the shares of the traffic of `home` that match the demand to the slots of the regions
pub fn target_shares(home: &RegionId, loads: &BTreeMap<RegionId, Load>) -> Shares {
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    let demand: f64 = loads.values().map(|load| load.demand).sum();
    let own = loads.get(home).copied().unwrap_or_default();
    if slots <= 0.0 {
        return [(home.clone(), 1.0)].into();
    }
    let utilization = (demand / slots).max(HOME_UTILIZATION_RATIO);
    let home_slots = own.demand.min(own.slots * utilization);
    let home_share = if own.demand > 0.0 {
        home_slots / own.demand
    } else if own.slots > 0.0 {
        1.0
    } else {
        0.0
    };
    let spare = |load: &Load| (load.slots * utilization - load.demand).max(0.0);
    let others = || loads.iter().filter(|(region, _)| *region != home);
    let mut total: f64 = others().map(|(_, load)| spare(load)).sum();
    let by_slots = total <= 0.0;
    if by_slots {
        total = others().map(|(_, load)| load.slots).sum();
    }
    if total <= 0.0 {
        return [(home.clone(), 1.0)].into();
    }
    let mut shares = Shares::new();
    for (region, load) in others() {
        let weight = if by_slots { load.slots } else { spare(load) };
        shares.insert(region.clone(), (1.0 - home_share) * weight / total);
    }
    shares.insert(home.clone(), home_share);
    shares
}

/// Returns by how many requests the counts on each of `hosts` hosts of a region may differ from the
/// shares
///
/// Load pattern: many hosts, each with a few requests a second. The differences of hosts are
/// independent, so that of their region grows with the square root of their number only, and its
/// traffic with the number itself. With the same narrow bound on every host, one request in six
/// would leave the region that has its affinity key cached.
pub fn max_drift(hosts: usize) -> f64 {
    MAX_DRIFT_REQUESTS * (hosts as f64 / SMALL_REGION_HOSTS).max(1.0).sqrt()
}

/// Assumes equal demand in all regions while there are few measurements, as after a fleet start
///
/// Load pattern: a fleet starts, and the first requests of one region are counted before those of
/// the others. With this assumption, shares begin near their later values. Otherwise they would
/// have to move there at the limited rate, which takes ten seconds for a region with too few slots.
/// `is_starting` marks the startup period of this host, after which low demand is taken as
/// measured.
pub fn assume_equal_demand(loads: &mut BTreeMap<RegionId, Load>, is_starting: bool) {
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    let usual_demand = slots * HOME_UTILIZATION_RATIO;
    let measured: f64 = loads.values().map(|load| load.demand).sum();
    if measured > 0.0 && !(is_starting && measured < usual_demand * MIN_STARTUP_DEMAND_RATIO) {
        return;
    }
    let each = usual_demand / loads.len().max(1) as f64;
    let raise = |load: &mut Load| load.demand = load.demand.max(each);
    loads.values_mut().for_each(raise);
}

/// Shares that move gradually to a target, and a selection of regions that follows them
#[derive(Clone, Debug)]
pub struct Balancer {
    shares: Shares,
    started_at: Option<Instant>,
    last_step: Option<Instant>,
    reported: Shares,
    /// Requests that each region is short of its share
    credit: BTreeMap<RegionId, f64>,
    max_drift: f64,
    /// Peak of the home region's demand, and when it was updated
    peak: Option<(f64, Instant)>,
}

impl Default for Balancer {
    fn default() -> Self {
        Self {
            shares: Shares::new(),
            started_at: None,
            last_step: None,
            reported: Shares::new(),
            credit: BTreeMap::new(),
            max_drift: MAX_DRIFT_REQUESTS,
            peak: None,
        }
    }
}

impl Balancer {
    /// Creates a balancer whose shares begin at the first target
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of hosts in the region of this one
    pub fn set_hosts(&mut self, hosts: usize) {
        self.max_drift = max_drift(hosts);
    }

    /// Records the demand of the home region; returns its recent peak
    ///
    /// Load pattern: waves of traffic whose peaks move from region to region, and keys that make
    /// requests several times shorter where they are cached. Taking the overflow of a region home at
    /// each trough and sending it away at each peak would move the keys each time. A region with
    /// room for its peak gets all of its traffic back as soon as it can serve it.
    pub fn hold_peak(&mut self, now: Instant, demand: f64) -> f64 {
        let held = self.peak.map_or(0.0, |(peak, updated_at)| {
            let elapsed = now.saturating_duration_since(updated_at);
            peak * 0.5_f64.powf(elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64())
        });
        let peak = demand.max(held);
        self.peak = Some((peak, now));
        peak
    }

    /// Whether the balancer started so recently that measured demand is unreliable
    pub fn is_starting(&self, now: Instant) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        now.saturating_duration_since(started_at) < STARTUP_PERIOD
    }

    /// Returns the current shares
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Whether the shares changed enough to report since this last returned true
    pub fn take_change(&mut self) -> bool {
        let share_of =
            |shares: &Shares, region: &RegionId| shares.get(region).copied().unwrap_or(0.0);
        let regions = self.shares.keys().chain(self.reported.keys());
        let max_change = regions
            .map(|region| (share_of(&self.shares, region) - share_of(&self.reported, region)).abs())
            .fold(0.0, f64::max);
        if max_change < MIN_REPORTED_CHANGE_RATIO {
            return false;
        }
        self.reported = self.shares.clone();
        true
    }

    /// Moves the shares toward a target; regions that are not usable lose their share at once
    pub fn step(&mut self, now: Instant, target: &Shares, is_usable: impl Fn(&RegionId) -> bool) {
        let Some(last_step) = self.last_step else {
            self.shares = target.clone();
            self.started_at = Some(now);
            self.last_step = Some(now);
            return;
        };
        let elapsed = now.saturating_duration_since(last_step);
        if elapsed >= MIN_STEP_INTERVAL {
            self.last_step = Some(now);
            self.advance(
                target,
                MAX_MOVE_PER_SECOND_RATIO * elapsed.as_secs_f64().min(1.0),
            );
        }
        let lost: f64 = self
            .shares
            .iter()
            .filter(|(region, _)| !is_usable(region))
            .map(|(_, share)| *share)
            .sum();
        if lost > 0.0 && lost < 1.0 {
            self.shares.retain(|region, _| is_usable(region));
            for share in self.shares.values_mut() {
                *share /= 1.0 - lost;
            }
        } else if lost >= 1.0 && target.keys().any(&is_usable) {
            self.shares = target.clone();
        }
    }

    fn advance(&mut self, target: &Shares, max_move: f64) {
        let share_of =
            |shares: &Shares, region: &RegionId| shares.get(region).copied().unwrap_or(0.0);
        let regions: Vec<RegionId> = self.shares.keys().chain(target.keys()).cloned().collect();
        let mut regions = regions;
        regions.sort();
        regions.dedup();
        let gap = |region: &RegionId| share_of(target, region) - share_of(&self.shares, region);
        let distance: f64 = regions.iter().map(|region| gap(region).max(0.0)).sum();
        if distance <= 0.0 {
            return;
        }
        let fraction = (max_move / distance).min(1.0);
        let next = regions.iter().map(|region| {
            let share = share_of(&self.shares, region) + gap(region) * fraction;
            (region.clone(), share)
        });
        self.shares = next.filter(|(_, share)| *share > 1e-6).collect();
    }

    /// Returns the region that keeps an affinity key, so that each region caches only some keys
    ///
    /// Weighted rendezvous hashing: hosts whose shares differ a little disagree about few keys only,
    /// and a small change of the shares moves few keys.
    pub fn region_for_key(&self, affinity_key: u64) -> Option<&RegionId> {
        let cost = |region: &RegionId, share: f64| {
            let hash = stable_hash(&(affinity_key, region));
            let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -uniform.ln() / share.max(1e-9)
        };
        let regions = self.shares.iter();
        let costs = regions.map(|(region, share)| (cost(region, *share), region));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, region)| region)
    }

    /// Returns the region of the next request, by expected cost in seconds
    ///
    /// A region whose cost is `None` is not used. The counts follow the shares to within
    /// [`max_drift`], so that no window of a few dozen requests shows a jump. Within that
    /// tolerance the region with the lowest cost is chosen, usually one whose endpoints have the
    /// affinity key cached and have free slots.
    pub fn pick(&mut self, cost: impl Fn(&RegionId) -> Option<f64>) -> Option<RegionId> {
        self.credit
            .retain(|region, _| self.shares.contains_key(region));
        for (region, share) in &self.shares {
            *self.credit.entry(region.clone()).or_default() += share;
        }
        let credit = |region: &RegionId| self.credit.get(region).copied().unwrap_or(0.0);
        let overdue = self
            .shares
            .keys()
            .filter(|region| credit(region) >= self.max_drift);
        let overdue: Vec<&RegionId> = overdue.filter(|region| cost(region).is_some()).collect();
        let is_eligible = |region: &&RegionId| match overdue.is_empty() {
            true => credit(region) > 1.0 - self.max_drift,
            false => overdue.contains(region),
        };
        let credit_value = MAX_CREDIT_SECONDS / self.max_drift;
        let adjusted_cost = |region: &RegionId| Some(cost(region)? - credit_value * credit(region));
        let best = self
            .shares
            .keys()
            .filter(is_eligible)
            .filter_map(|region| Some((adjusted_cost(region)?, region)))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, region)| region.clone())?;
        *self.credit.entry(best.clone()).or_default() -= 1.0;
        Some(best)
    }
}
