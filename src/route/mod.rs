//! Choice of the upstream zones that a request may go to, in order.
//!
//! The first zone follows the shares in force, exactly rather than at random. What its zone does
//! not take may spill, within a budget, to the nearest zones that have not just refused. Of the
//! shares, what a zone gained within the last window counts as shifted; if the zone's cap refuses
//! it, the request goes where it went before the shift.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use displaydoc::Display;
use fastrand::Rng;
use serde::Serialize;

use crate::config::{Document, Shares};
use crate::id::{ServiceId, ZoneId};
use crate::wire::{Cause, Reason};
use lane::Lane;
use order::Order;
use reach::Reach;

mod lane;
mod order;
mod reach;
#[cfg(test)]
mod tests;

/// Zones that one request is offered to at most
const ZONES: usize = 5;

/// Shortest time after which a refused caller is asked back
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Time over which the return of refused callers is spread
const RETRY_SPREAD: Duration = Duration::from_secs(2);

/// One zone that a request may go to
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Upstream zone
    pub zone: ZoneId,
    /// Why it may go there
    pub reason: Reason,
}

/// What a service's requests from this host find in one zone
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Upstream zone
    pub zone: ZoneId,
    /// Part of the requests that goes there first
    pub share: f64,
    /// Part of the requests that a shift brought there within the last window
    pub shifted: f64,
    /// What else decides
    #[serde(rename = "why")]
    pub eligibility: Eligibility,
}

/// Why a zone gets requests or not
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eligibility {
    /// permitted by its share
    Share,
    /// permitted for spill only
    Spill,
    /// ruled out: no endpoint of the service there takes work; add or undrain one
    NoEndpoint,
    /// ruled out: it cannot be reached; it is probed again within seconds
    Unreachable,
    /// ruled out for spill: it lacked headroom just now
    NoHeadroom,
    /// ruled out for spill: the spill budget is used up; raise spill.share to allow more
    NoBudget,
}

/// Routes of one entry host
#[derive(Debug)]
pub struct Router {
    zone: ZoneId,
    lanes: BTreeMap<ServiceId, (Order, Lane)>,
    rng: Rng,
}

impl Router {
    /// Routes of a host in this entry zone
    pub fn new(zone: ZoneId) -> Self {
        Self::with_seed(zone, fastrand::u64(..))
    }

    /// Routes of a host in this entry zone whose random choices follow from `seed`
    pub fn with_seed(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            lanes: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Zones to try for one request, best first; empty if policy permits none now
    pub fn route(
        &mut self,
        now: Instant,
        document: &Document,
        service: &ServiceId,
        shares: &Shares,
    ) -> Vec<Candidate> {
        let Some(policy) = document.services.get(service) else {
            return Vec::new();
        };
        if !self.lanes.contains_key(service) {
            self.lanes.insert(service.clone(), Default::default());
        }
        let (order, lane) = self.lanes.get_mut(service).expect("a lane");
        order.refresh(now, document, policy, &self.zone);
        lane.learn(now, shares, policy.shift.window, &mut self.rng);
        lane.allowance.request(now, &policy.spill);
        let mut choices = first(now, order, lane, shares, &mut self.rng);
        if lane.allowance.any() {
            spill(now, order, lane, &mut choices);
        }
        choices
    }

    /// Count a request that is about to be spilled; it must not be if this is false
    pub fn take_spill_token(&mut self, service: &ServiceId) -> bool {
        let lane = self.lanes.get_mut(service);
        lane.is_some_and(|(_, lane)| lane.allowance.take())
    }

    /// Learn that a zone refused for want of headroom
    pub fn record_headroom_refusal(&mut self, now: Instant, service: &ServiceId, zone: &ZoneId) {
        self.record_refusal(now, service, zone, Cause::NoHeadroom);
    }

    /// Learn that a zone refused or could not be reached
    pub fn record_refusal(
        &mut self,
        now: Instant,
        service: &ServiceId,
        zone: &ZoneId,
        cause: Cause,
    ) {
        if let Some((_, lane)) = self.lanes.get_mut(service) {
            let reach = lane.zones.entry(zone.clone()).or_default();
            reach.refused(now, cause, &mut self.rng);
        }
    }

    /// Learn that a zone answered
    pub fn record_response(&mut self, service: &ServiceId, zone: &ZoneId) {
        let lane = self.lanes.get_mut(service);
        if let Some(reach) = lane.and_then(|(_, lane)| lane.zones.get_mut(zone)) {
            reach.answered();
        }
    }

    /// When a caller may come back whose request no zone may take
    pub fn retry_after(&mut self, now: Instant, service: &ServiceId) -> Duration {
        let lane = self.lanes.get(service);
        let zones = lane.into_iter().flat_map(|(_, lane)| lane.zones.values());
        let back = zones.filter_map(|reach| reach.back(now)).min();
        let wait = back.map_or(Duration::ZERO, |back| back - now);
        wait.max(RETRY_MIN) + RETRY_SPREAD.mul_f64(self.rng.f64())
    }

    /// What the requests of a service find in each zone, for operators
    pub fn explain(
        &self,
        now: Instant,
        document: &Document,
        service: &ServiceId,
        shares: &Shares,
    ) -> Vec<Explanation> {
        let Some(policy) = document.services.get(service) else {
            return Vec::new();
        };
        let tiers = order::tiers(document, policy, &self.zone);
        let mut zones: Vec<&ZoneId> = tiers.iter().flatten().collect();
        let served = zones.len();
        zones.extend(
            shares
                .keys()
                .filter(|zone| !tiers.iter().flatten().any(|z| z == *zone)),
        );
        let lane = self.lanes.get(service).map(|(_, lane)| lane);
        let explained = zones.into_iter().enumerate().map(|(index, zone)| {
            let share = shares.get(zone).copied().unwrap_or(0.0);
            let base = lane.map_or(share, |lane| lane.base(zone));
            Explanation {
                zone: zone.clone(),
                share,
                shifted: (share - base).max(0.0),
                eligibility: eligibility(now, lane, zone, share, index < served),
            }
        });
        explained.collect()
    }
}

fn eligibility(
    now: Instant,
    lane: Option<&Lane>,
    zone: &ZoneId,
    share: f64,
    served: bool,
) -> Eligibility {
    if !served {
        return Eligibility::NoEndpoint;
    }
    let reach = lane.and_then(|lane| lane.zones.get(zone));
    if reach.is_some_and(|reach| reach.down(now)) {
        return Eligibility::Unreachable;
    }
    if share > 0.0 {
        return Eligibility::Share;
    }
    if reach.is_some_and(|reach| !reach.spill(now)) {
        return Eligibility::NoHeadroom;
    }
    if lane.is_some_and(|lane| !lane.allowance.any()) {
        return Eligibility::NoBudget;
    }
    Eligibility::Spill
}

/// Zone of the request's share; behind a shifted one the zone that it is shifted from
fn first(
    now: Instant,
    order: &Order,
    lane: &mut Lane,
    shares: &Shares,
    rng: &mut Rng,
) -> Vec<Candidate> {
    let mut choices = Vec::new();
    let Some((zone, reason)) = lane.pick() else {
        return choices;
    };
    let reach = lane.zones.entry(zone.clone()).or_default();
    let open = match reason {
        Reason::Shift => reach.shift(now),
        _ => reach.open(now),
    };
    if open && order.contains(&zone) {
        choices.push(Candidate { zone, reason });
    }
    if reason != Reason::Shift {
        return choices;
    }
    let losers: Vec<(&ZoneId, f64)> = lane.losers(shares).collect();
    let lost: f64 = losers.iter().map(|(_, lost)| lost).sum();
    let mut draw = rng.f64() * lost;
    let before = losers.iter().find(|(_, lost)| {
        draw -= lost;
        draw < 0.0
    });
    let Some(zone) = before.map(|(zone, _)| (*zone).clone()) else {
        return choices;
    };
    let open = lane.zones.entry(zone.clone()).or_default().open(now);
    if open && order.contains(&zone) && choices.iter().all(|choice| choice.zone != zone) {
        let reason = Reason::Share;
        choices.push(Candidate { zone, reason });
    }
    choices
}

fn spill(now: Instant, order: &Order, lane: &mut Lane, choices: &mut Vec<Candidate>) {
    lane.turn = lane.turn.wrapping_add(1);
    for tier in &order.tiers {
        let start = lane.turn % tier.len();
        for zone in tier[start..].iter().chain(&tier[..start]) {
            if choices.len() == ZONES {
                return;
            }
            let open = lane
                .zones
                .get(zone)
                .is_none_or(|reach: &Reach| reach.spill(now));
            if open && choices.iter().all(|choice| choice.zone != *zone) {
                let reason = Reason::Spill;
                let zone = zone.clone();
                choices.push(Candidate { zone, reason });
            }
        }
    }
}
