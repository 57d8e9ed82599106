//! Choice of the upstream zones that a request may be sent to, in order of preference.
//!
//! The first zone follows the shares in force by weighted round-robin, not at random. Requests that
//! it does not accept may spill, within a budget, to the nearest zones that have not refused
//! recently. Whatever a zone's share gained within the last window counts as shifted; if the zone's
//! cap refuses a shifted request, the request goes to a zone that it would have gone to before the
//! shift.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use displaydoc::Display;
use fastrand::Rng;
use serde::Serialize;

use crate::config::{Document, Shares};
use crate::id::{ServiceId, ZoneId};
use crate::wire::{Cause, Reason};
use proximity::Proximity;
use service::ServiceState;
use zone::ZoneState;

mod proximity;
mod service;
#[cfg(test)]
mod tests;
mod zone;

/// Maximum number of zones that one request is offered to
const MAX_CANDIDATES: usize = 5;

/// Shortest `retry_after` of a refused caller
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest random addition to `retry_after`, which spreads the retries of refused callers
const RETRY_AFTER_JITTER: Duration = Duration::from_secs(2);

/// Zone that a request may be sent to
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Upstream zone
    pub zone: ZoneId,
    /// Reason for sending the request to the zone
    pub reason: Reason,
}

/// How requests of one service are routed from this host to one zone
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Upstream zone
    pub zone: ZoneId,
    /// Fraction of the requests that is sent there first
    pub share: f64,
    /// Fraction of the requests that a shift moved there within the last window
    pub shifted: f64,
    /// Whether the zone may receive requests, and why
    #[serde(rename = "why")]
    pub eligibility: Eligibility,
}

/// Whether a zone may receive requests, and why
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eligibility {
    /// receives requests by its share
    Share,
    /// receives spill only
    Spill,
    /// excluded: no endpoint of the service in this zone accepts requests; add or undrain one
    NoEndpoint,
    /// excluded: the zone is unreachable; it is probed again within seconds
    Unreachable,
    /// excluded from spill: the zone recently lacked headroom
    NoHeadroom,
    /// excluded from spill: the spill budget is used up; raise spill.share to allow more
    NoBudget,
}

/// Router of one entry host
#[derive(Debug)]
pub struct Router {
    zone: ZoneId,
    services: BTreeMap<ServiceId, (Proximity, ServiceState)>,
    rng: Rng,
}

impl Router {
    /// Creates the router of a host in the given entry zone
    pub fn new(zone: ZoneId) -> Self {
        Self::with_seed(zone, fastrand::u64(..))
    }

    /// Creates the router of a host in the given entry zone, with random choices derived from
    /// `seed`
    pub fn with_seed(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            services: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Returns the zones to try for one request, best first; empty if none is allowed now
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
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let (proximity, state) = self.services.get_mut(service).expect("service state");
        proximity.refresh(now, document, policy, &self.zone);
        state.update_shares(now, shares, policy.shift.window, &mut self.rng);
        state.spill_budget.record_request(now, &policy.spill);
        let mut candidates = share_candidates(now, proximity, state, shares, &mut self.rng);
        if state.spill_budget.is_available() {
            add_spill_candidates(now, proximity, state, &mut candidates);
        }
        candidates
    }

    /// Takes a token for a request that is about to be spilled; returns `false` if it must not be
    pub fn take_spill_token(&mut self, service: &ServiceId) -> bool {
        let state = self.services.get_mut(service);
        state.is_some_and(|(_, state)| state.spill_budget.try_take())
    }

    /// Records that a zone refused a request for lack of headroom
    pub fn record_headroom_refusal(&mut self, now: Instant, service: &ServiceId, zone: &ZoneId) {
        self.record_refusal(now, service, zone, Cause::NoHeadroom);
    }

    /// Records that a zone refused a request or was unreachable
    pub fn record_refusal(
        &mut self,
        now: Instant,
        service: &ServiceId,
        zone: &ZoneId,
        cause: Cause,
    ) {
        if let Some((_, state)) = self.services.get_mut(service) {
            let zone_state = state.zones.entry(zone.clone()).or_default();
            zone_state.record_refusal(now, cause, &mut self.rng);
        }
    }

    /// Records that a zone responded
    pub fn record_response(&mut self, service: &ServiceId, zone: &ZoneId) {
        let state = self.services.get_mut(service);
        if let Some(zone_state) = state.and_then(|(_, state)| state.zones.get_mut(zone)) {
            zone_state.record_response();
        }
    }

    /// Returns the time after which a caller may retry a request that no zone accepts
    pub fn retry_after(&mut self, now: Instant, service: &ServiceId) -> Duration {
        let state = self.services.get(service);
        let zones = state
            .into_iter()
            .flat_map(|(_, state)| state.zones.values());
        let end = zones
            .filter_map(|zone_state| zone_state.backoff_end(now))
            .min();
        let delay = end.map_or(Duration::ZERO, |end| end - now);
        delay.max(MIN_RETRY_AFTER) + RETRY_AFTER_JITTER.mul_f64(self.rng.f64())
    }

    /// Explains to operators how requests of a service are routed to each zone
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
        let tiers = proximity::tiers(document, policy, &self.zone);
        let mut zones: Vec<&ZoneId> = tiers.iter().flatten().collect();
        let served_count = zones.len();
        zones.extend(
            shares
                .keys()
                .filter(|zone| !tiers.iter().flatten().any(|served| served == *zone)),
        );
        let state = self.services.get(service).map(|(_, state)| state);
        let explanations = zones.into_iter().enumerate().map(|(index, zone)| {
            let share = shares.get(zone).copied().unwrap_or(0.0);
            let baseline = state.map_or(share, |state| state.baseline_share(zone));
            Explanation {
                zone: zone.clone(),
                share,
                shifted: (share - baseline).max(0.0),
                eligibility: eligibility(now, state, zone, share, index < served_count),
            }
        });
        explanations.collect()
    }
}

fn eligibility(
    now: Instant,
    state: Option<&ServiceState>,
    zone: &ZoneId,
    share: f64,
    is_served: bool,
) -> Eligibility {
    if !is_served {
        return Eligibility::NoEndpoint;
    }
    let zone_state = state.and_then(|state| state.zones.get(zone));
    if zone_state.is_some_and(|zone_state| zone_state.is_unreachable(now)) {
        return Eligibility::Unreachable;
    }
    if share > 0.0 {
        return Eligibility::Share;
    }
    if zone_state.is_some_and(|zone_state| !zone_state.allows_spill(now)) {
        return Eligibility::NoHeadroom;
    }
    if state.is_some_and(|state| !state.spill_budget.is_available()) {
        return Eligibility::NoBudget;
    }
    Eligibility::Spill
}

/// Returns the zone that the request is assigned by its share, if that zone may receive it
///
/// For a shifted request, a zone follows that it may be shifted from, drawn by the share that each
/// zone lost.
fn share_candidates(
    now: Instant,
    proximity: &Proximity,
    state: &mut ServiceState,
    shares: &Shares,
    rng: &mut Rng,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    let Some((zone, reason)) = state.next_zone() else {
        return candidates;
    };
    let zone_state = state.zones.entry(zone.clone()).or_default();
    let is_allowed = match reason {
        Reason::Shift => zone_state.allow_shift(now),
        _ => zone_state.allow_share(now),
    };
    if is_allowed && proximity.contains(&zone) {
        candidates.push(Candidate { zone, reason });
    }
    if reason != Reason::Shift {
        return candidates;
    }
    let losing_zones: Vec<(&ZoneId, f64)> = state.losing_zones(shares).collect();
    let total_lost: f64 = losing_zones.iter().map(|(_, lost)| lost).sum();
    let mut remaining = rng.f64() * total_lost;
    let previous = losing_zones.iter().find(|(_, lost)| {
        remaining -= lost;
        remaining < 0.0
    });
    let Some(zone) = previous.map(|(zone, _)| (*zone).clone()) else {
        return candidates;
    };
    let is_allowed = state
        .zones
        .entry(zone.clone())
        .or_default()
        .allow_share(now);
    if is_allowed
        && proximity.contains(&zone)
        && candidates.iter().all(|candidate| candidate.zone != zone)
    {
        let reason = Reason::Share;
        candidates.push(Candidate { zone, reason });
    }
    candidates
}

fn add_spill_candidates(
    now: Instant,
    proximity: &Proximity,
    state: &mut ServiceState,
    candidates: &mut Vec<Candidate>,
) {
    state.rotation = state.rotation.wrapping_add(1);
    for tier in &proximity.tiers {
        let start = state.rotation % tier.len();
        for zone in tier[start..].iter().chain(&tier[..start]) {
            if candidates.len() == MAX_CANDIDATES {
                return;
            }
            let is_allowed = state
                .zones
                .get(zone)
                .is_none_or(|zone_state: &ZoneState| zone_state.allows_spill(now));
            if is_allowed && candidates.iter().all(|candidate| candidate.zone != *zone) {
                let reason = Reason::Spill;
                let zone = zone.clone();
                candidates.push(Candidate { zone, reason });
            }
        }
    }
}
