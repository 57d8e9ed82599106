//! Shares of the traffic among the regions, as this host decides them.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Gateway;
use crate::catalog::Endpoint;
use crate::id::{RegionId, ServiceId};
use crate::placement::ServiceTime;
use crate::region::{self, Load, Shares};

impl Gateway {
    /// Returns the requests in flight from this host to a region, by service
    pub(super) fn running_in_region(&self, region: &RegionId) -> BTreeMap<ServiceId, f64> {
        let pool = self.pool.borrow();
        let catalog = self.catalog.borrow();
        let mut running: BTreeMap<ServiceId, f64> = BTreeMap::new();
        for endpoint in catalog
            .endpoints()
            .filter(|endpoint| endpoint.region == *region)
        {
            let in_flight = pool
                .endpoint(&endpoint.id)
                .map_or(0, |endpoint_state| endpoint_state.running());
            if in_flight > 0 {
                *running.entry(endpoint.service.clone()).or_default() += f64::from(in_flight);
            }
        }
        running
    }

    /// Chooses the region of the next request for a service, by expected cost in seconds
    ///
    /// `misplaced_cost` is added in regions that do not keep the affinity key.
    pub(super) fn pick_region(
        &self,
        now: Instant,
        service: &ServiceId,
        affinity_key: Option<u64>,
        misplaced_cost: f64,
        cost: impl Fn(&RegionId) -> Option<f64>,
    ) -> Option<RegionId> {
        let home = self.settings.borrow().region.clone();
        let mut loads = self.region_loads(now, service);
        let mut balancers = self.balancers.borrow_mut();
        let balancer = balancers.entry(service.clone()).or_default();
        if let Some(load) = loads.get_mut(&home) {
            load.demand = balancer.hold_peak(now, load.demand);
        }
        let target = region::target_shares(&home, &loads);
        let usable = |region: &RegionId| loads.get(region).is_some_and(|load| load.slots > 0.0);
        balancer.set_hosts(self.fleet.borrow().count_in_region(&home));
        balancer.step(now, &target, usable);
        if balancer.take_change() {
            self.record_shares(service, balancer.shares(), &target, &loads);
        }
        let assigned_region = affinity_key
            .and_then(|affinity_key| balancer.region_for_key(affinity_key))
            .cloned();
        let is_other_region = |region: &RegionId| {
            assigned_region
                .as_ref()
                .is_some_and(|assigned_region| assigned_region != region)
        };
        let penalty = |region: &RegionId| {
            if is_other_region(region) {
                misplaced_cost
            } else {
                0.0
            }
        };
        let picked = balancer.pick(|region| Some(cost(region)? + penalty(region)))?;
        if let Some(affinity_key) = affinity_key {
            let mut affinity_keys = self.affinity_keys.borrow_mut();
            let key = (service.clone(), picked.clone());
            affinity_keys
                .entry(key)
                .or_default()
                .record(now, affinity_key);
        }
        Some(picked)
    }

    /// Logs a change of the shares and the loads behind it
    pub(super) fn record_shares(
        &self,
        service: &ServiceId,
        shares: &Shares,
        target: &Shares,
        loads: &BTreeMap<RegionId, Load>,
    ) {
        let format_shares = |shares: &Shares| {
            let entries = shares
                .iter()
                .map(|(region, share)| format!("{region}={share:.2}"));
            entries.collect::<Vec<_>>().join(" ")
        };
        let loads = loads
            .iter()
            .map(|(region, load)| format!("{region}={:.1}/{:.0}", load.demand, load.slots));
        let fields = [
            ("service", service.as_str().into()),
            ("shares", format_shares(shares).into()),
            ("target", format_shares(target).into()),
            (
                "demand_of_slots",
                loads.collect::<Vec<_>>().join(" ").into(),
            ),
        ];
        self.recorder.event("shares", &fields);
    }

    /// Returns the current shares by service
    pub fn shares(&self) -> BTreeMap<ServiceId, Shares> {
        let balancers = self.balancers.borrow();
        let shares = balancers
            .iter()
            .map(|(name, balancer)| (name.clone(), balancer.shares().clone()));
        shares.collect()
    }

    /// Returns the slots of an endpoint that its limit allows to be busy, if it has one
    fn usable_slots(&self, endpoint: &Endpoint) -> f64 {
        let slots = f64::from(endpoint.slots);
        let Some(rate) = self.limits.rate(endpoint) else {
            return slots;
        };
        let seconds =
            self.mean_service_seconds(&endpoint.service, &endpoint.region, ServiceTime::mean);
        slots.min(rate * seconds)
    }

    /// Returns the slots and demand of all regions
    pub(super) fn region_loads(
        &self,
        now: Instant,
        service: &ServiceId,
    ) -> BTreeMap<RegionId, Load> {
        let mut loads: BTreeMap<RegionId, Load> = BTreeMap::new();
        let catalog = self.catalog.borrow();
        let pool = self.pool.borrow();
        for endpoint in catalog.usable(now, service) {
            let is_ejected = pool
                .endpoint(&endpoint.id)
                .is_some_and(|endpoint_state| endpoint_state.is_ejected(now));
            let is_cold = catalog.is_cold(now, &endpoint.id);
            let load = loads.entry(endpoint.region.clone()).or_default();
            if !is_ejected && !is_cold {
                load.slots += self.usable_slots(endpoint);
            }
        }
        let home = self.settings.borrow().region.clone();
        loads.entry(home).or_default();
        for (region, demand) in self.fleet.borrow().demand_by_region(now, service) {
            loads.entry(region).or_default().demand = demand;
        }
        let balancers = self.balancers.borrow();
        let is_starting = balancers
            .get(service)
            .is_none_or(|balancer| balancer.is_starting(now));
        region::assume_equal_demand(&mut loads, is_starting);
        loads
    }
}
