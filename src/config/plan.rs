//! Effects of a configuration change: planned traffic shifts and endpoint changes.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use super::{Document, SHARE_TOLERANCE, Service, Shares, effective_shares};
use crate::id::{EndpointId, ServiceId, ZoneId};

/// Planned shift of an entry zone's traffic
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShiftPlan {
    /// Service whose traffic is shifted
    pub service: ServiceId,
    /// Entry zone of the traffic
    pub entry: ZoneId,
    /// Shares before the shift
    pub from: Shares,
    /// Shares after the shift
    pub to: Shares,
    /// Fraction of the entry zone's traffic that moves
    pub moved: f64,
    /// Maximum fraction of the entry zone's traffic that moves in one step
    pub step: f64,
    /// Maximum rate that moves into one upstream zone per window, in requests per second
    pub rate: f64,
    /// Number of steps required by the share limit
    pub steps: u32,
    /// Minimum duration of the shift; the rate limit may extend it
    #[serde(with = "humantime_serde")]
    pub time: Duration,
}

/// Endpoint that starts or stops serving because of a change
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EndpointChange {
    /// Service of the endpoint
    pub service: ServiceId,
    /// Name of the endpoint
    pub endpoint: EndpointId,
    /// Zone of the endpoint
    pub zone: ZoneId,
    /// Whether the endpoint serves after the change
    pub serves: bool,
    /// Slots of the service in the zone before the change
    pub before: u32,
    /// Slots of the service in the zone after the change
    pub after: u32,
}

/// Returns the shifts that start when `after` replaces `before`
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
            let steps = step_count(moved, service.shift.share);
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

/// Returns the endpoints that start or stop serving when `after` replaces `before`
pub fn endpoint_changes(before: &Document, after: &Document) -> Vec<EndpointChange> {
    let no_service = Service::default();
    let names = before.services.keys().chain(after.services.keys());
    let mut changes = Vec::new();
    for name in names.collect::<BTreeSet<_>>() {
        let old = before.services.get(name).unwrap_or(&no_service);
        let new = after.services.get(name).unwrap_or(&no_service);
        let endpoints = old.endpoints.iter().chain(&new.endpoints);
        let endpoints: BTreeSet<_> = endpoints.map(|(name, e)| (name, &e.zone)).collect();
        for (endpoint, zone) in endpoints {
            let serves = is_serving(new, endpoint, zone);
            if serves == self::is_serving(old, endpoint, zone) {
                continue;
            }
            changes.push(EndpointChange {
                service: name.clone(),
                endpoint: endpoint.clone(),
                zone: zone.clone(),
                serves,
                before: slot_count(old, zone),
                after: slot_count(new, zone),
            });
        }
    }
    changes
}

/// Returns the fraction of traffic whose upstream zone differs between two sets of shares
pub fn moved_share(from: &Shares, to: &Shares) -> f64 {
    let increase = |(zone, share): (&ZoneId, &f64)| {
        let before = from.get(zone).copied().unwrap_or_default();
        (share - before).max(0.0)
    };
    to.iter().map(increase).sum()
}

fn step_count(moved: f64, max_share: f64) -> u32 {
    let steps = (moved / max_share - SHARE_TOLERANCE).ceil().max(1.0);
    if steps >= f64::from(u32::MAX) {
        return u32::MAX;
    }
    steps as u32
}

fn is_serving(service: &Service, endpoint: &EndpointId, zone: &ZoneId) -> bool {
    let endpoint = service.endpoints.get(endpoint);
    endpoint.is_some_and(|endpoint| endpoint.zone == *zone && !endpoint.draining)
}

fn slot_count(service: &Service, zone: &ZoneId) -> u32 {
    let endpoints = service
        .endpoints
        .values()
        .filter(|e| e.zone == *zone && !e.draining);
    endpoints.map(|endpoint| endpoint.slots).sum()
}
