//! Catalog of upstream endpoints, built from the entries in the platform's store.
//!
//! Load pattern: endpoints start, drain, crash and return while the store is unreachable. A removed
//! entry ends at once, except if many vanish together: after an outage of the store registrations
//! lapse and return within [`LAPSE_GRACE_PERIOD`] if their endpoints are live, so they stay usable
//! until then. Without an outage that this host noticed, the endpoints may have left for good, so
//! they are used only while they still serve. An outage that affects only this host gives few
//! entries no grace period: they were removed for a reason that other hosts saw.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, RegionId, ServiceId, ZoneId};
use crate::quarantine::EndpointRun;
use crate::util::stable_hash;

#[cfg(test)]
mod tests;

/// How long lapsed entries stay usable after an outage of the store
///
/// The platform specifies about two seconds until live endpoints are registered again.
pub const LAPSE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Part of the drain time during which endpoints that left together without an outage are used
const DRAIN_RATIO: f64 = 0.7;

/// Ratio of all endpoints whose removal within the grace period indicates an outage of the store
const MASS_REMOVAL_RATIO: f64 = 0.25;

/// How long removed entries are remembered; longer than a copy of the store is old
const REMOVED_TTL: Duration = Duration::from_secs(60);

/// Upstream endpoint of a service
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id, unique among the endpoints that exist at a time
    pub id: EndpointId,
    /// Service that the endpoint belongs to
    pub service: ServiceId,
    /// TCP address
    pub address: SocketAddr,
    /// Availability zone
    pub zone: ZoneId,
    /// Region of the zone
    pub region: RegionId,
    /// Maximum number of concurrent requests
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new requests
    pub draining: bool,
    /// Unix time of the start in milliseconds, which reveals a restart under the same id
    pub start_unix_millis: Option<u64>,
    /// Number of entries that this run wrote; a lower one is older, 0 if the entry has none
    pub sequence: u64,
    /// Remaining warm-up time when the entry was read
    pub warmup_remaining: Duration,
}

impl Endpoint {
    /// Returns a hash that identifies this run of the endpoint, the same on every host
    pub fn run(&self) -> EndpointRun {
        stable_hash(&(&self.id, self.start_unix_millis))
    }

    fn is_same_run(&self, other: &Self) -> bool {
        self.start_unix_millis == other.start_unix_millis && self.address == other.address
    }

    fn is_same_entry(&self, other: &Self) -> bool {
        let sequence = self.sequence;
        *self
            == Self {
                sequence,
                ..other.clone()
            }
    }
}

/// Effect of an entry on the catalog
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is new, or restarted under its id
    Started,
    /// The endpoint has other values, or its entry is back after it was removed
    Updated,
    /// The entry is the same as before
    Unchanged,
    /// The entry is older than the known one of the same run and has no effect
    Outdated,
}

/// Known endpoints and evacuated zones
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    services: BTreeMap<ServiceId, BTreeSet<EndpointId>>,
    /// Endpoints whose entries lapsed, and until when they stay usable
    lapsed_until: BTreeMap<EndpointId, Instant>,
    cold_until: BTreeMap<EndpointId, Instant>,
    /// Endpoints whose answers state that they leave: the run, and the time of the first answer
    leaving: BTreeMap<EndpointId, (EndpointRun, Instant)>,
    evacuated_zones: BTreeSet<CompactString>,
    grace_period_end: Option<Instant>,
    /// How long endpoints serve after the store removed their entries
    drain_time: Duration,
    /// End of the last outage of the store
    outage_end: Option<Instant>,
    /// Times of the recent removals
    removal_times: Vec<Instant>,
    /// Endpoints whose entries were removed lately, and when
    removed: BTreeMap<EndpointId, (Endpoint, Instant)>,
    /// Until when lists of the store may have entries from before its restore
    restore_end: Option<Instant>,
}

impl Catalog {
    /// Creates an empty catalog of endpoints that serve for `drain_time` after they left
    pub fn with_drain_time(drain_time: Duration) -> Self {
        Self {
            drain_time,
            ..Self::default()
        }
    }

    /// Records that the store can be read again after an outage
    pub fn record_outage_end(&mut self, now: Instant) {
        self.outage_end = Some(now);
    }

    /// Prepares for lists of a store that came back from an older copy
    ///
    /// For `period`, its entries may be older than what is known. Endpoints whose entries are missing
    /// are used as after an outage.
    pub fn begin_restore(&mut self, now: Instant, period: Duration) {
        self.restore_end = Some(now + period);
        self.outage_end = Some(now);
        self.grace_period_end = Some(now + LAPSE_GRACE_PERIOD);
    }

    /// Ends the period after a restore; returns whether it ended now, so that the entries that were
    /// taken for outdated are to be applied
    pub fn end_restore(&mut self, now: Instant) -> bool {
        let has_ended = self.restore_end.is_some_and(|end| end <= now);
        if has_ended {
            self.restore_end = None;
            self.removed.clear();
            // Endpoints that wrote nothing since are as the restored entries say.
            let endpoints = self.endpoints.values_mut();
            endpoints.for_each(|endpoint| endpoint.sequence = 0);
        }
        has_ended
    }

    /// Returns the endpoints that are draining or gone and that a restored store may list as ready
    pub fn withdrawn(&self) -> Vec<Endpoint> {
        let draining = self.endpoints.values().filter(|endpoint| endpoint.draining);
        let removed = self.removed.values().map(|(endpoint, _)| endpoint);
        draining.chain(removed).cloned().collect()
    }

    /// Returns the time for which a restored store may list them so
    pub fn restore_remaining(&self, now: Instant) -> Duration {
        self.restore_end
            .map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Adopts what another host tells of a restored store, after its list was applied
    pub fn adopt_withdrawn(&mut self, now: Instant, endpoints: Vec<Endpoint>, remaining: Duration) {
        if remaining.is_zero() {
            return;
        }
        self.restore_end = self.restore_end.max(Some(now + remaining));
        for endpoint in endpoints {
            let id = endpoint.id.clone();
            let is_outdated = self.endpoints.get(&id).is_some_and(|listed| {
                !listed.draining
                    && listed.start_unix_millis == endpoint.start_unix_millis
                    && listed.sequence <= endpoint.sequence
            });
            if is_outdated {
                self.remove_endpoint(now, &id);
            }
            self.removed.insert(id, (endpoint, now));
        }
    }

    /// Returns whether an entry of a restored store is older than what is known of the same run: it
    /// would take back that the endpoint is draining or gone
    fn is_outdated(&self, endpoint: &Endpoint) -> bool {
        let is_newer = |known: &Endpoint| {
            known.start_unix_millis == endpoint.start_unix_millis
                && known.sequence >= endpoint.sequence
        };
        match self.endpoints.get(&endpoint.id) {
            Some(known) => known.draining && !endpoint.draining && is_newer(known),
            None => {
                let removed = self.removed.get(&endpoint.id);
                removed.is_some_and(|(removed, _)| is_newer(removed))
            }
        }
    }

    /// Returns whether this run of an endpoint wrote a later entry, which is known
    ///
    /// The store may carry out a write seconds after it was sent, when a later one is in force.
    fn is_superseded(&self, endpoint: &Endpoint) -> bool {
        let known = self.endpoints.get(&endpoint.id);
        let known = known.or_else(|| {
            let removed = self.removed.get(&endpoint.id);
            removed.map(|(removed, _)| removed)
        });
        known.is_some_and(|known| {
            endpoint.start_unix_millis.is_some()
                && known.start_unix_millis == endpoint.start_unix_millis
                && (1..known.sequence).contains(&endpoint.sequence)
        })
    }

    /// Returns whether the entry of this run was removed lately
    fn was_removed(&self, endpoint: &Endpoint) -> bool {
        let removed = self.removed.get(&endpoint.id);
        removed.is_some_and(|(removed, _)| {
            removed.start_unix_millis.is_some() && removed.is_same_run(endpoint)
        })
    }

    /// Replaces all entries with the result of a full read; returns the endpoints that started
    pub fn replace(&mut self, now: Instant, endpoints: Vec<Endpoint>) -> Vec<EndpointId> {
        let is_restoring = self.restore_end.is_some();
        let present: BTreeSet<EndpointId> = endpoints
            .iter()
            .map(|endpoint| endpoint.id.clone())
            .collect();
        let started = endpoints
            .into_iter()
            .filter_map(|endpoint| {
                if is_restoring && self.is_outdated(&endpoint) {
                    return None;
                }
                let id = endpoint.id.clone();
                (self.put(now, endpoint) == Change::Started).then_some(id)
            })
            .collect();
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
        started
    }

    /// Adds or updates one entry, unless the endpoint wrote a later one
    pub fn put(&mut self, now: Instant, endpoint: Endpoint) -> Change {
        if self.is_superseded(&endpoint) {
            return Change::Outdated;
        }
        let id = endpoint.id.clone();
        self.lapsed_until.remove(&id);
        let warm_at = now + endpoint.warmup_remaining;
        let known = self.endpoints.get(&id);
        let change = match known {
            Some(known) if known.is_same_entry(&endpoint) => Change::Unchanged,
            Some(known) if known.is_same_run(&endpoint) => Change::Updated,
            // What is known of the run holds on, for example that it wants no requests.
            None if self.was_removed(&endpoint) => Change::Updated,
            _ => Change::Started,
        };
        if change == Change::Started {
            // What is known of the previous run does not hold for this one.
            self.cold_until.remove(&id);
        }
        if warm_at > now {
            self.cold_until.insert(id.clone(), warm_at);
        }
        if let Some(known) = known.filter(|known| known.service != endpoint.service)
            && let Some(ids) = self.services.get_mut(&known.service)
        {
            ids.remove(&id);
        }
        self.services
            .entry(endpoint.service.clone())
            .or_default()
            .insert(id.clone());
        self.endpoints.insert(id, endpoint);
        change
    }

    /// Removes an entry that was deleted or no longer describes an endpoint
    pub fn remove(&mut self, now: Instant, id: &EndpointId) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        self.removal_times
            .retain(|removed_at| now < *removed_at + LAPSE_GRACE_PERIOD);
        self.removal_times.push(now);
        let is_mass_removal = self.removal_times.len() as f64
            > (MASS_REMOVAL_RATIO * self.endpoints.len() as f64).max(3.0);
        if is_mass_removal && self.grace_period_end.is_none_or(|until| until < now) {
            self.grace_period_end = Some(self.grace_period_end_after(now));
        }
        match self.grace_period_end {
            Some(until) if now < until => {
                self.lapsed_until.entry(id.clone()).or_insert(until);
            }
            _ => self.remove_endpoint(now, id),
        }
    }

    /// Returns until when endpoints whose entries vanish together now stay usable
    ///
    /// The drain time counts from the removal at the store, so a part of it is left for the way of
    /// the news and of the request.
    fn grace_period_end_after(&self, now: Instant) -> Instant {
        let outage_end = self.outage_end.map(|end| end + LAPSE_GRACE_PERIOD);
        match outage_end.filter(|until| now < *until) {
            Some(until) => until,
            None => now + self.drain_time.mul_f64(DRAIN_RATIO).min(LAPSE_GRACE_PERIOD),
        }
    }

    /// Removes and returns the lapsed entries that were not registered again in time
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let expired = self.lapsed_until.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<EndpointId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove_endpoint(now, id);
        }
        self.cold_until.retain(|_, until| now < *until);
        expired
    }

    /// Sets the zones whose endpoints receive no requests
    ///
    /// `warmup` returns how long the endpoints of a service count as cold after their zone is back in
    /// use.
    pub fn set_evacuated_zones(
        &mut self,
        now: Instant,
        zones: BTreeSet<CompactString>,
        warmup: impl Fn(&ServiceId) -> Duration,
    ) {
        let restored: Vec<&CompactString> = self.evacuated_zones.difference(&zones).collect();
        for endpoint in self.endpoints.values() {
            if restored.contains(&&endpoint.zone) {
                let until = now + warmup(&endpoint.service);
                self.cold_until.insert(endpoint.id.clone(), until);
            }
        }
        self.evacuated_zones = zones;
    }

    /// Returns the evacuated zones
    pub fn evacuated_zones(&self) -> &BTreeSet<CompactString> {
        &self.evacuated_zones
    }

    /// Marks an endpoint as cold for the remaining warm-up time that it reported
    pub fn mark_cold(&mut self, now: Instant, id: &EndpointId, remaining: Duration) {
        if remaining > Duration::ZERO && self.endpoints.contains_key(id) {
            self.cold_until.insert(id.clone(), now + remaining);
        }
    }

    /// Marks an endpoint as cold for at least this time
    pub fn extend_cold(&mut self, now: Instant, id: &EndpointId, remaining: Duration) {
        let known = self.cold_until.get(id).copied();
        let known = known.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        self.mark_cold(now, id, remaining.max(known));
    }

    /// Whether an endpoint is still warming up
    pub fn is_cold(&self, now: Instant, id: &EndpointId) -> bool {
        self.cold_until.get(id).is_some_and(|until| now < *until)
    }

    /// Returns an endpoint by id
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Marks an endpoint whose answer states that it leaves; returns whether that was not known
    ///
    /// The mark binds this run only. It outlasts the entry, which may be back a moment later.
    pub fn mark_leaving(&mut self, now: Instant, endpoint: &Endpoint) -> bool {
        let is_listed = self
            .endpoints
            .get(&endpoint.id)
            .is_some_and(|listed| listed.run() == endpoint.run());
        if !is_listed || self.is_leaving(endpoint) {
            return false;
        }
        let mark = (endpoint.run(), now);
        self.leaving.insert(endpoint.id.clone(), mark);
        true
    }

    /// Returns whether an answer of this run of the endpoint stated that it leaves
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let mark = self.leaving.get(&endpoint.id);
        mark.is_some_and(|(run, _)| *run == endpoint.run())
    }

    /// Returns the number of endpoints whose answers state that they leave
    pub fn leaving_count(&self) -> usize {
        let listed = self.leaving.keys();
        listed.filter(|id| self.endpoints.contains_key(*id)).count()
    }

    /// Returns the endpoints of a service that accept new requests
    ///
    /// If all that are left said that they leave, these are used for a part of the drain time.
    pub fn usable<'a>(
        &'a self,
        now: Instant,
        service: &str,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a> {
        let ids = self.services.get(service).into_iter().flatten();
        let accepting = ids
            .filter_map(|id| self.endpoints.get(id))
            .filter(|endpoint| {
                !endpoint.draining && !self.evacuated_zones.contains(&endpoint.zone)
            });
        let has_staying = accepting.clone().any(|endpoint| !self.is_leaving(endpoint));
        accepting.filter(move |endpoint| match has_staying {
            true => !self.is_leaving(endpoint),
            false => self.may_use_leaving(now, endpoint),
        })
    }

    /// Returns whether an endpoint may get requests if no other one is left; one that leaves may for a
    /// part of the drain time
    pub fn may_use_leaving(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let serve_time = self.drain_time.mul_f64(DRAIN_RATIO);
        match self.leaving.get(&endpoint.id) {
            Some((run, since)) if *run == endpoint.run() => now < *since + serve_time,
            _ => true,
        }
    }

    /// Returns whether the entries allow requests to this run of an endpoint now
    pub fn accepts(&self, endpoint: &Endpoint) -> bool {
        let listed = self.endpoints.get(&endpoint.id);
        listed.is_some_and(|listed| {
            listed.run() == endpoint.run()
                && !listed.draining
                && !self.evacuated_zones.contains(&listed.zone)
        })
    }

    /// Returns whether a later run is registered at the address of an endpoint, which has then ended
    pub fn has_successor(&self, endpoint: &Endpoint) -> bool {
        let Some(start) = endpoint.start_unix_millis else {
            return false;
        };
        self.endpoints.values().any(|other| {
            other.address == endpoint.address
                && other.start_unix_millis.is_some_and(|other| other > start)
        })
    }

    /// Returns all endpoints
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the number of endpoints
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the catalog is empty
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn remove_endpoint(&mut self, now: Instant, id: &EndpointId) {
        self.lapsed_until.remove(id);
        self.cold_until.remove(id);
        let Some(removed) = self.endpoints.remove(id) else {
            return;
        };
        if let Some(ids) = self.services.get_mut(&removed.service) {
            ids.remove(id);
        }
        self.removed
            .retain(|_, (_, removed_at)| now < *removed_at + REMOVED_TTL);
        self.removed.insert(id.clone(), (removed, now));
        self.leaving
            .retain(|id, _| self.endpoints.contains_key(id) || self.removed.contains_key(id));
    }
}
