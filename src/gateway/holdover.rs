//! Objects that were in force and that the store lost when it came back from an older copy.
//!
//! Their writers write them again within seconds. Until then they stay in force: an evacuation whose
//! entry is missing, and a configuration whose version is newer than the store's. After
//! [`HOLD_TIME`], the store's content counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::datagram::LimitNews;
use crate::catalog::Endpoint;
use crate::platform::record;
use crate::platform::store::{Event, Kind, Object};
use crate::util::stable_hash;

/// Time for which lost objects stay in force; well above the seconds in which operators notice
pub const HOLD_TIME: Duration = Duration::from_secs(60);

/// Hash of what a host holds, the same on hosts that hold the same; 0 for nothing
pub type Digest = u64;

/// Returns the digest of lost objects and of endpoints that the store may list as ready
pub fn digest<'a>(
    held: impl Iterator<Item = (Kind, &'a Object)>,
    withdrawn: &[Endpoint],
) -> Digest {
    let objects = held.map(|(kind, object)| {
        let version = match kind {
            Kind::Configuration => record::configuration_version(object).unwrap_or(0),
            _ => 0,
        };
        (kind.name(), object.name.as_str(), version)
    });
    let endpoints = withdrawn.iter().map(|endpoint| {
        let kind = Kind::Endpoints.name();
        (
            kind,
            endpoint.id.as_str(),
            endpoint.start_unix_millis.unwrap_or(0),
        )
    });
    let items: BTreeSet<(&str, &str, u64)> = objects.chain(endpoints).collect();
    match items.is_empty() {
        true => 0,
        false => stable_hash(&items).max(1),
    }
}

/// Lost objects that are still in force
#[derive(Debug, Default)]
pub struct Holdover {
    objects: BTreeMap<Kind, BTreeMap<CompactString, Object>>,
    until: Option<Instant>,
    /// Objects that the store removed in its current era, by kind and name
    removed: BTreeSet<(Kind, CompactString)>,
    /// Whether the time after the last restore is over
    is_over: bool,
    /// Whether this host knows what was in force before the store's current era
    is_witness: bool,
}

/// What a host tells one that starts
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Lost objects that are still in force
    pub objects: BTreeMap<Kind, Vec<Object>>,
    /// Time for which they stay in force
    pub remaining: Duration,
    /// Endpoints that are draining or gone and that the store may list as ready
    pub withdrawn: Vec<Endpoint>,
    /// Time for which the store may do so
    pub restore_remaining: Duration,
    /// Whether the host knows what was in force before the store's current era
    pub is_witness: bool,
    /// Limits of endpoints; hosts of earlier versions tell none
    #[serde(default)]
    pub limits: Vec<LimitNews>,
}

impl Holdover {
    /// Keeps the objects of a kind that the restored store lost
    pub fn begin<'a>(
        &mut self,
        now: Instant,
        kind: Kind,
        known: impl Iterator<Item = &'a Object>,
        restored: &[Object],
    ) {
        self.is_witness = true;
        self.is_over = false;
        self.removed
            .retain(|(removed_kind, _)| *removed_kind != kind);
        let held = self.objects.entry(kind).or_default();
        for object in known {
            held.entry(object.name.clone())
                .or_insert_with(|| object.clone());
        }
        self.until = Some(now + HOLD_TIME);
        self.release_listed(kind, restored);
    }

    /// Drops the objects of a kind that a complete list contains
    pub fn release_listed(&mut self, kind: Kind, listed: &[Object]) {
        for object in listed {
            self.release(kind, object);
        }
    }

    /// Drops the objects that a change settles
    pub fn release_changed(&mut self, kind: Kind, event: &Event) {
        match event {
            Event::Put(object) => self.release(kind, object),
            Event::Removed(name) => {
                if self.until.is_some() {
                    self.removed.insert((kind, name.clone()));
                }
                if let Some(held) = self.objects.get_mut(&kind) {
                    held.remove(name);
                }
            }
        }
    }

    fn release(&mut self, kind: Kind, written: &Object) {
        let Some(held) = self.objects.get_mut(&kind) else {
            return;
        };
        let is_settled = held.get(&written.name).is_some_and(|object| {
            kind != Kind::Configuration
                || record::configuration_version(written) >= record::configuration_version(object)
        });
        if is_settled {
            held.remove(&written.name);
        }
    }

    /// Returns the lost objects of a kind that are still in force
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.objects
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Returns the number of lost objects that are still in force
    pub fn len(&self) -> usize {
        self.objects.values().map(BTreeMap::len).sum()
    }

    /// Drops all objects whose time is over; returns their kinds
    pub fn expire(&mut self, now: Instant) -> Vec<Kind> {
        if self.until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.until = None;
        self.is_over = true;
        self.removed.clear();
        let expired = std::mem::take(&mut self.objects);
        let expired = expired.into_iter().filter(|(_, held)| !held.is_empty());
        expired.map(|(kind, _)| kind).collect()
    }

    /// Returns what to tell a host that starts, without the endpoints
    pub fn report(&self, now: Instant) -> Report {
        let objects = self.objects.iter();
        let objects = objects.map(|(kind, held)| (*kind, held.values().cloned().collect()));
        Report {
            objects: objects.collect(),
            remaining: self
                .until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
            is_witness: self.is_witness,
            ..Report::default()
        }
    }

    /// Adopts what another host told, unless the store has settled it or its time is over here
    pub fn adopt(&mut self, now: Instant, report: Report) {
        self.is_witness |= report.is_witness;
        if report.remaining.is_zero() || self.is_over {
            return;
        }
        let until = now + report.remaining.min(HOLD_TIME);
        self.until = self.until.max(Some(until));
        for (kind, objects) in report.objects {
            let held = self.objects.entry(kind).or_default();
            for object in objects {
                let is_newer = held.get(&object.name).is_none_or(|known| {
                    kind == Kind::Configuration
                        && record::configuration_version(known)
                            < record::configuration_version(&object)
                });
                if is_newer && !self.removed.contains(&(kind, object.name.clone())) {
                    held.insert(object.name.clone(), object);
                }
            }
        }
    }
}
