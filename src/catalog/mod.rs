//! Upstream endpoints as the platform's store lists them.
//!
//! Load pattern: endpoints come, drain, crash and return while the store is dark. An entry that is
//! withdrawn ends at once, except after an outage of the store: many entries lapsed then together and
//! come back within [`LAPSE`] if their endpoints live, so until then they stay usable. That this host
//! was cut off for itself gives no such term: the others saw the entries go for a reason.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::id::{EndpointId, RegionId, ServiceId, ZoneId};

#[cfg(test)]
mod tests;

/// Time after an outage of the store in which a lapsed entry may come back; the platform states
/// about two seconds
pub const LAPSE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Part of all endpoints whose entries vanish together only when the store was away
const MASS_REMOVAL_RATIO: f64 = 0.25;

/// One endpoint of a service
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of this endpoint, unique at any time
    pub id: EndpointId,
    /// Service that it belongs to
    pub service: ServiceId,
    /// TCP address
    pub address: SocketAddr,
    /// Availability zone
    pub zone: ZoneId,
    /// Region of the zone
    pub region: RegionId,
    /// Requests that it runs at once
    pub slots: u32,
    /// Whether it is leaving and takes no new work
    pub draining: bool,
    /// Unix time of its start in milliseconds, by which a restart under the same id shows
    pub start_unix_millis: Option<u64>,
    /// Time for which it stays cold, counted from when the entry was read
    pub warmup_remaining: Duration,
}

/// What an entry turned into
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Not known before, or started anew under its id
    Started,
    /// Known, with other values
    Updated,
    /// Nothing changed
    Unchanged,
}

/// Known endpoints and evacuated zones
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    services: BTreeMap<ServiceId, BTreeSet<EndpointId>>,
    lapsed: BTreeMap<EndpointId, Instant>,
    cold: BTreeMap<EndpointId, Instant>,
    evacuated: BTreeSet<CompactString>,
    grace: Option<Instant>,
    removed: Vec<Instant>,
}

impl Catalog {
    /// Empty catalog
    pub fn new() -> Self {
        Self::default()
    }

    /// Take the whole list of a fresh read
    pub fn replace(&mut self, now: Instant, list: Vec<Endpoint>) -> Vec<EndpointId> {
        let present: BTreeSet<EndpointId> = list.iter().map(|end| end.id.clone()).collect();
        let started = list
            .into_iter()
            .filter_map(|end| {
                let id = end.id.clone();
                (self.put(now, end) == Change::Started).then_some(id)
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

    /// Take one entry
    pub fn put(&mut self, now: Instant, endpoint: Endpoint) -> Change {
        let id = endpoint.id.clone();
        self.lapsed.remove(&id);
        if endpoint.warmup_remaining > Duration::ZERO {
            self.cold
                .insert(id.clone(), now + endpoint.warmup_remaining);
        }
        let known = self.endpoints.get(&id);
        let change = match known {
            Some(known) if *known == endpoint => return Change::Unchanged,
            Some(known)
                if known.start_unix_millis == endpoint.start_unix_millis
                    && known.address == endpoint.address =>
            {
                Change::Updated
            }
            _ => Change::Started,
        };
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

    /// An entry was withdrawn or names no endpoint any more
    pub fn remove(&mut self, now: Instant, id: &EndpointId) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        self.removed.retain(|at| now < *at + LAPSE_GRACE_PERIOD);
        self.removed.push(now);
        let mass =
            self.removed.len() as f64 > (MASS_REMOVAL_RATIO * self.endpoints.len() as f64).max(3.0);
        if mass && self.grace.is_none_or(|until| until < now) {
            self.grace = Some(now + LAPSE_GRACE_PERIOD);
        }
        match self.grace {
            Some(until) if now < until => {
                self.lapsed.entry(id.clone()).or_insert(until);
            }
            _ => self.drop(id),
        }
    }

    /// Drop lapsed entries that did not come back
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.drop(id);
        }
        self.cold.retain(|_, until| now < *until);
        due
    }

    /// Zones whose endpoints get nothing; `warmup` gives the time that a service's endpoints may
    /// be cold after their zone was taken back
    pub fn set_evacuated_zones(
        &mut self,
        now: Instant,
        zones: BTreeSet<CompactString>,
        warmup: impl Fn(&ServiceId) -> Duration,
    ) {
        let back: Vec<&CompactString> = self.evacuated.difference(&zones).collect();
        for endpoint in self.endpoints.values() {
            if back.contains(&&endpoint.zone) {
                let until = now + warmup(&endpoint.service);
                self.cold.insert(endpoint.id.clone(), until);
            }
        }
        self.evacuated = zones;
    }

    /// Evacuated zones
    pub fn evacuated_zones(&self) -> &BTreeSet<CompactString> {
        &self.evacuated
    }

    /// An endpoint said how long it stays cold
    pub fn mark_cold(&mut self, now: Instant, id: &EndpointId, left: Duration) {
        if left > Duration::ZERO && self.endpoints.contains_key(id) {
            self.cold.insert(id.clone(), now + left);
        }
    }

    /// Whether an endpoint is cold
    pub fn is_cold(&self, now: Instant, id: &EndpointId) -> bool {
        self.cold.get(id).is_some_and(|until| now < *until)
    }

    /// A known endpoint
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Endpoints of a service that may get new work
    pub fn usable<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Endpoint> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
            .filter(|end| !end.draining && !self.evacuated.contains(&end.zone))
    }

    /// All endpoints
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of known endpoints
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn drop(&mut self, id: &EndpointId) {
        self.lapsed.remove(id);
        self.cold.remove(id);
        if let Some(gone) = self.endpoints.remove(id)
            && let Some(ids) = self.services.get_mut(&gone.service)
        {
            ids.remove(id);
        }
    }
}
