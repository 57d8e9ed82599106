//! What a change of the configuration moves, in which steps and for how long.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use super::{Document, SHARE_TOLERANCE, Service, Shares, effective_shares};
use crate::id::{EndpointId, ServiceId, ZoneId};

/// Planned shift of one entry zone's traffic
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShiftPlan {
    /// Service whose traffic moves
    pub service: ServiceId,
    /// Entry zone of the traffic
    pub entry: ZoneId,
    /// Shares before
    pub from: Shares,
    /// Shares after
    pub to: Shares,
    /// Part of the entry zone's traffic that moves
    pub moved: f64,
    /// Most that moves in one step, as part of the entry zone's traffic
    pub step: f64,
    /// Most that moves into one upstream zone in one window, in requests a second
    pub rate: f64,
    /// Steps that the share cap asks for
    pub steps: u32,
    /// Shortest time that they take; the cap in requests a second may lengthen it
    #[serde(with = "humantime_serde")]
    pub time: Duration,
}

/// Endpoint that leaves or comes by a change
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EndpointChange {
    /// Service of the endpoint
    pub service: ServiceId,
    /// Name of the endpoint
    pub endpoint: EndpointId,
    /// Zone of the endpoint
    pub zone: ZoneId,
    /// Whether it takes work after the change
    pub serves: bool,
    /// Slots that the zone's service has before
    pub before: u32,
    /// Slots that the zone's service has after
    pub after: u32,
}

/// Shifts that start when `after` follows `before`
pub fn shift_plans(before: &Document, after: &Document) -> Vec<ShiftPlan> {
    let mut plans = Vec::new();
    for (name, service) in &after.services {
        let Some(old) = before.services.get(name) else {
            continue;
        };
        for entry in after.zones.keys() {
            let (from, to) = (
                effective_shares(old, entry),
                effective_shares(service, entry),
            );
            let moved = moved_share(&from, &to);
            if moved <= SHARE_TOLERANCE {
                continue;
            }
            let steps = steps(moved, service.shift.share);
            plans.push(ShiftPlan {
                service: name.clone(),
                entry: entry.clone(),
                from,
                to,
                moved,
                step: service.shift.share,
                rate: service.shift.rate,
                steps,
                time: service.shift.window.saturating_mul(steps),
            });
        }
    }
    plans
}

/// Endpoints that begin or cease to take work when `after` follows `before`
pub fn endpoint_changes(before: &Document, after: &Document) -> Vec<EndpointChange> {
    let empty = Service::default();
    let names = before.services.keys().chain(after.services.keys());
    let mut turns = Vec::new();
    for name in names.collect::<BTreeSet<_>>() {
        let old = before.services.get(name).unwrap_or(&empty);
        let new = after.services.get(name).unwrap_or(&empty);
        let endpoints = old.endpoints.iter().chain(&new.endpoints);
        let endpoints: BTreeSet<_> = endpoints.map(|(name, e)| (name, &e.zone)).collect();
        for (endpoint, zone) in endpoints {
            let serves = serves(new, endpoint, zone);
            if serves == self::serves(old, endpoint, zone) {
                continue;
            }
            turns.push(EndpointChange {
                service: name.clone(),
                endpoint: endpoint.clone(),
                zone: zone.clone(),
                serves,
                before: slots(old, zone),
                after: slots(new, zone),
            });
        }
    }
    turns
}

/// Part of the traffic that changes its upstream zone between two sets of shares
pub fn moved_share(from: &Shares, to: &Shares) -> f64 {
    let gain = |(zone, share): (&ZoneId, &f64)| {
        let before = from.get(zone).copied().unwrap_or_default();
        (share - before).max(0.0)
    };
    to.iter().map(gain).sum()
}

fn steps(moved: f64, cap: f64) -> u32 {
    let steps = (moved / cap - SHARE_TOLERANCE).ceil().max(1.0);
    if steps >= f64::from(u32::MAX) {
        return u32::MAX;
    }
    steps as u32
}

fn serves(service: &Service, endpoint: &EndpointId, zone: &ZoneId) -> bool {
    let endpoint = service.endpoints.get(endpoint);
    endpoint.is_some_and(|endpoint| endpoint.zone == *zone && !endpoint.draining)
}

fn slots(service: &Service, zone: &ZoneId) -> u32 {
    let there = service
        .endpoints
        .values()
        .filter(|e| e.zone == *zone && !e.draining);
    there.map(|endpoint| endpoint.slots).sum()
}
