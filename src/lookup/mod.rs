//! Lookups: selects the entry hosts that a block of clients uses.
//!
//! The block ranges of the configuration determine the region of a block. Weighted rendezvous
//! hashing selects its zones and hosts: every host returns the same result for the same
//! configuration and list of hosts, no state grows with the number of blocks, and adding or
//! removing a host moves only the blocks that it gains or loses. [`Table`] prepares what all blocks
//! share, so the cost of a lookup does not depend on the hosts and endpoints of other regions.

use std::collections::BTreeMap;

use crate::config::Document;
use crate::id::{BlockId, HostId, RegionId, Version, ZoneId};
use crate::member::{State, View};
use crate::util;

#[cfg(test)]
mod tests;

/// Maximum number of hosts in the result of a lookup
pub const MAX_HOSTS: usize = 3;

/// Maximum number of hosts from the first zone while another zone has hosts
pub const MAX_HOSTS_FIRST_ZONE: usize = 2;

/// Returns the region of a block, `None` if no range contains it
pub fn region_of_block(document: &Document, block: BlockId) -> Option<&RegionId> {
    let range_end = document
        .blocks
        .partition_point(|range| range.first <= block);
    let range = document.blocks.get(range_end.checked_sub(1)?)?;
    (block <= range.last).then_some(&range.region)
}

/// Returns the entry hosts for a block in order of preference, without a prepared table
pub fn hosts(document: &Document, view: &View, own_zone: &ZoneId, block: BlockId) -> Vec<HostId> {
    Table::new(document, view, own_zone).hosts(block)
}

/// Data that all lookups share: the zones of each region and their live hosts
#[derive(Clone, Debug, Default)]
pub struct Table {
    ranges: Vec<Range>,
    zones_by_region: BTreeMap<RegionId, Vec<usize>>,
    all_zones: Vec<usize>,
    zones: Vec<Zone>,
    own_zone: Option<usize>,
    own_zone_first: bool,
}

#[derive(Clone, Debug)]
struct Range {
    first: BlockId,
    last: BlockId,
    region: RegionId,
}

#[derive(Clone, Debug)]
struct Zone {
    hash: u64,
    hosts: Vec<(u64, HostId)>,
}

impl Table {
    /// Creates the table of the live hosts of all zones
    pub fn new(document: &Document, view: &View, own_zone: &ZoneId) -> Self {
        let mut table = Self {
            ranges: block_ranges(document),
            ..Self::default()
        };
        let mut hosts_by_zone = live_hosts_by_zone(view);
        for (name, zone) in &document.zones {
            let hosts = hosts_by_zone.remove(name).unwrap_or_default();
            if name == own_zone {
                table.own_zone = Some(table.zones.len());
            } else if hosts.is_empty() {
                continue;
            }
            let index = table.zones.len();
            table.all_zones.push(index);
            table
                .zones_by_region
                .entry(zone.region.clone())
                .or_default()
                .push(index);
            table.zones.push(Zone {
                hash: util::stable_hash(name),
                hosts,
            });
        }
        table
    }

    /// Sets whether the own zone comes first, as for a host that reaches no other zone
    #[must_use]
    pub fn with_own_zone_first(mut self, own_zone_first: bool) -> Self {
        self.own_zone_first = own_zone_first;
        self
    }

    /// Returns the entry hosts for a block in order of preference
    pub fn hosts(&self, block: BlockId) -> Vec<HostId> {
        let mut selected = Vec::with_capacity(MAX_HOSTS);
        if self.own_zone_first {
            self.add_hosts(self.own_zone, block, MAX_HOSTS, &mut selected);
        }
        let nearby_zones = self.nearby_zones(block);
        let (first, second) = self.best_two_zones(nearby_zones, block);
        self.add_hosts(first, block, MAX_HOSTS_FIRST_ZONE, &mut selected);
        self.add_hosts(second, block, MAX_HOSTS, &mut selected);
        self.add_hosts(first, block, MAX_HOSTS, &mut selected);
        self.add_hosts(self.own_zone, block, MAX_HOSTS, &mut selected);
        if selected.len() < MAX_HOSTS {
            let (first, second) = self.best_two_zones(&self.all_zones, block);
            self.add_hosts(first, block, MAX_HOSTS, &mut selected);
            self.add_hosts(second, block, MAX_HOSTS, &mut selected);
        }
        debug_assert!(selected.len() <= MAX_HOSTS);
        selected
    }

    /// Returns the zones of the block's region, all zones if it has no region
    fn nearby_zones(&self, block: BlockId) -> &[usize] {
        let range_end = self.ranges.partition_point(|range| range.first <= block);
        let range = range_end
            .checked_sub(1)
            .and_then(|index| self.ranges.get(index));
        let range = range.filter(|range| block <= range.last);
        let Some(range) = range else {
            return &self.all_zones;
        };
        self.zones_by_region
            .get(&range.region)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the two zones with the highest scores, each weighted by its number of live hosts
    fn best_two_zones(&self, zones: &[usize], block: BlockId) -> (Option<usize>, Option<usize>) {
        let mut best: [Option<(f64, usize)>; 2] = [None; 2];
        for index in zones {
            let zone = &self.zones[*index];
            if zone.hosts.is_empty() {
                continue;
            }
            let score = zone_score(block, zone.hash, zone.hosts.len());
            let candidate = Some((score, *index));
            let ranks_above = |other: Option<(f64, usize)>| {
                other.is_none_or(|(other_score, _)| score > other_score)
            };
            if ranks_above(best[0]) {
                best = [candidate, best[0]];
            } else if ranks_above(best[1]) {
                best[1] = candidate;
            }
        }
        let index = |candidate: Option<(f64, usize)>| candidate.map(|(_, index)| index);
        (index(best[0]), index(best[1]))
    }

    /// Adds hosts of a zone in order of preference until `selected` has `limit` entries
    fn add_hosts(
        &self,
        zone: Option<usize>,
        block: BlockId,
        limit: usize,
        selected: &mut Vec<HostId>,
    ) {
        let Some(zone) = zone.map(|index| &self.zones[index]) else {
            return;
        };
        let mut best: Vec<(u64, &HostId)> = Vec::with_capacity(MAX_HOSTS + 1);
        for (hash, host) in &zone.hosts {
            let score = util::stable_hash(&(block, *hash));
            let position = best.partition_point(|other| *other > (score, host));
            if position < MAX_HOSTS {
                best.insert(position, (score, host));
                best.truncate(MAX_HOSTS);
            }
        }
        for (_, host) in best {
            if selected.len() < limit && !selected.contains(host) {
                selected.push(host.clone());
            }
        }
    }
}

/// Returns the score of a zone for a block; each zone gets blocks in proportion to its hosts
fn zone_score(block: BlockId, zone_hash: u64, weight: usize) -> f64 {
    let hash = util::stable_hash(&(block, zone_hash));
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}

fn block_ranges(document: &Document) -> Vec<Range> {
    let to_range = |range: &crate::config::BlockRange| Range {
        first: range.first,
        last: range.last,
        region: range.region.clone(),
    };
    document.blocks.iter().map(to_range).collect()
}

/// Returns the live hosts of each zone with their hashes
fn live_hosts_by_zone(view: &View) -> BTreeMap<ZoneId, Vec<(u64, HostId)>> {
    let mut zones: BTreeMap<ZoneId, Vec<(u64, HostId)>> = BTreeMap::new();
    for (name, host) in view.hosts() {
        if host.state == State::Live {
            let hash = util::stable_hash(name);
            let zone = zones.entry(host.info.zone.clone()).or_default();
            zone.push((hash, name.clone()));
        }
    }
    zones
}

/// Cached [`Table`] that is rebuilt only after the configuration or the hosts have changed
#[derive(Clone, Debug, Default)]
pub struct Cache {
    table: Table,
    key: Option<(Version, bool, u64)>,
}

impl Cache {
    /// Creates a cache whose table has no hosts
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the cached table
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Updates the table for this configuration and these hosts; returns whether it was rebuilt
    pub fn refresh(
        &mut self,
        revision: Version,
        document: &Document,
        view: &View,
        own_zone: &ZoneId,
        own_zone_first: bool,
    ) -> bool {
        let key = Some((revision, own_zone_first, hosts_fingerprint(view)));
        if self.key == key {
            return false;
        }
        self.table = Table::new(document, view, own_zone).with_own_zone_first(own_zone_first);
        self.key = key;
        true
    }
}

/// Returns a hash of all hosts that a lookup can return
fn hosts_fingerprint(view: &View) -> u64 {
    let mut hash = 0_u64;
    for (name, host) in view.hosts() {
        if host.state == State::Live {
            hash = hash.wrapping_add(util::stable_hash(&(name, &host.info.zone)));
        }
    }
    hash
}
