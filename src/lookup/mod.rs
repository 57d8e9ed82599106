//! Look-ups: which entry hosts a block of clients should use.
//!
//! A block's region comes from the ranges of the configuration. Its zone and hosts follow from
//! hashing alone: every host gives the same answer for the same configuration and list of hosts,
//! no state grows with the blocks, and a host that comes or goes moves only the blocks that it
//! gets or had. [`Table`] holds what is the same for all blocks, so that a look-up costs the same
//! however many hosts and endpoints there are in other regions.

use std::collections::BTreeMap;

use crate::config::Document;
use crate::id::{BlockId, HostId, RegionId, Version, ZoneId};
use crate::member::{State, View};
use crate::util;

#[cfg(test)]
mod tests;

/// Hosts offered by one look-up
pub const MAX_HOSTS: usize = 3;

/// Hosts of the first zone that one look-up offers while another zone has some
pub const MAX_HOSTS_FIRST_ZONE: usize = 2;

/// Region of a block; `None` if no range holds it
pub fn region_of_block(document: &Document, block: BlockId) -> Option<&RegionId> {
    let after = document
        .blocks
        .partition_point(|range| range.first <= block);
    let range = document.blocks.get(after.checked_sub(1)?)?;
    (block <= range.last).then_some(&range.region)
}

/// Entry hosts for a block, best first, without a prepared table
pub fn hosts(document: &Document, view: &View, own: &ZoneId, block: BlockId) -> Vec<HostId> {
    Table::new(document, view, own).hosts(block)
}

/// What look-ups share: zones with their live hosts, by region
#[derive(Clone, Debug, Default)]
pub struct Table {
    ranges: Vec<Range>,
    regions: BTreeMap<RegionId, Vec<usize>>,
    all: Vec<usize>,
    zones: Vec<Zone>,
    own: Option<usize>,
    cut: bool,
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
    /// Table of the live hosts of all zones
    pub fn new(document: &Document, view: &View, own: &ZoneId) -> Self {
        let mut table = Self {
            ranges: ranges(document),
            ..Self::default()
        };
        let mut hosts = live(view);
        for (name, zone) in &document.zones {
            let hosts = hosts.remove(name).unwrap_or_default();
            if name == own {
                table.own = Some(table.zones.len());
            } else if hosts.is_empty() {
                continue;
            }
            let index = table.zones.len();
            table.all.push(index);
            table
                .regions
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

    /// Table of a host that reaches no other zone: its own comes first
    #[must_use]
    pub fn with_own_zone_first(mut self, cut: bool) -> Self {
        self.cut = cut;
        self
    }

    /// Entry hosts for a block, best first
    pub fn hosts(&self, block: BlockId) -> Vec<HostId> {
        let mut offered = Vec::with_capacity(MAX_HOSTS);
        if self.cut {
            self.offer(self.own, block, MAX_HOSTS, &mut offered);
        }
        let near = self.near(block);
        let (first, second) = self.best_two(near, block);
        self.offer(first, block, MAX_HOSTS_FIRST_ZONE, &mut offered);
        self.offer(second, block, MAX_HOSTS, &mut offered);
        self.offer(first, block, MAX_HOSTS, &mut offered);
        self.offer(self.own, block, MAX_HOSTS, &mut offered);
        if offered.len() < MAX_HOSTS {
            let (first, second) = self.best_two(&self.all, block);
            self.offer(first, block, MAX_HOSTS, &mut offered);
            self.offer(second, block, MAX_HOSTS, &mut offered);
        }
        debug_assert!(offered.len() <= MAX_HOSTS);
        offered
    }

    /// Zones of the block's region; all zones if it has none
    fn near(&self, block: BlockId) -> &[usize] {
        let after = self.ranges.partition_point(|range| range.first <= block);
        let range = after
            .checked_sub(1)
            .and_then(|index| self.ranges.get(index));
        let range = range.filter(|range| block <= range.last);
        let Some(range) = range else {
            return &self.all;
        };
        self.regions.get(&range.region).map_or(&[], Vec::as_slice)
    }

    /// Two zones with the highest scores, each weighted by its live hosts
    fn best_two(&self, zones: &[usize], block: BlockId) -> (Option<usize>, Option<usize>) {
        let mut best: [Option<(f64, usize)>; 2] = [None; 2];
        for index in zones {
            let zone = &self.zones[*index];
            if zone.hosts.is_empty() {
                continue;
            }
            let score = score(block, zone.hash, zone.hosts.len());
            let candidate = Some((score, *index));
            let above = |other: Option<(f64, usize)>| other.is_none_or(|(best, _)| score > best);
            if above(best[0]) {
                best = [candidate, best[0]];
            } else if above(best[1]) {
                best[1] = candidate;
            }
        }
        let index = |place: Option<(f64, usize)>| place.map(|(_, index)| index);
        (index(best[0]), index(best[1]))
    }

    /// Add hosts of a zone, best first, until `limit` are offered
    fn offer(&self, zone: Option<usize>, block: BlockId, limit: usize, offered: &mut Vec<HostId>) {
        let Some(zone) = zone.map(|index| &self.zones[index]) else {
            return;
        };
        let mut best: Vec<(u64, &HostId)> = Vec::with_capacity(MAX_HOSTS + 1);
        for (hash, host) in &zone.hosts {
            let score = util::stable_hash(&(block, *hash));
            let place = best.partition_point(|known| *known > (score, host));
            if place < MAX_HOSTS {
                best.insert(place, (score, host));
                best.truncate(MAX_HOSTS);
            }
        }
        for (_, host) in best {
            if offered.len() < limit && !offered.contains(host) {
                offered.push(host.clone());
            }
        }
    }
}

/// Score of a zone for a block, so that each zone gets blocks in proportion to its hosts
fn score(block: BlockId, zone: u64, weight: usize) -> f64 {
    let hash = util::stable_hash(&(block, zone));
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}

fn ranges(document: &Document) -> Vec<Range> {
    let range = |range: &crate::config::BlockRange| Range {
        first: range.first,
        last: range.last,
        region: range.region.clone(),
    };
    document.blocks.iter().map(range).collect()
}

/// Live hosts by zone with their hashes
fn live(view: &View) -> BTreeMap<ZoneId, Vec<(u64, HostId)>> {
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

/// A [`Table`] that is built anew only when configuration or hosts changed
#[derive(Clone, Debug, Default)]
pub struct Cache {
    table: Table,
    key: Option<(Version, bool, u64)>,
}

impl Cache {
    /// Cache that offers nobody yet
    pub fn new() -> Self {
        Self::default()
    }

    /// Prepared table
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Take configuration and hosts as they are now; says whether the table changed
    pub fn refresh(
        &mut self,
        number: Version,
        document: &Document,
        view: &View,
        own: &ZoneId,
        cut: bool,
    ) -> bool {
        let key = Some((number, cut, fingerprint(view)));
        if self.key == key {
            return false;
        }
        self.table = Table::new(document, view, own).with_own_zone_first(cut);
        self.key = key;
        true
    }
}

/// Hash of all hosts that a look-up may offer
fn fingerprint(view: &View) -> u64 {
    let mut hash = 0_u64;
    for (name, host) in view.hosts() {
        if host.state == State::Live {
            hash = hash.wrapping_add(util::stable_hash(&(name, &host.info.zone)));
        }
    }
    hash
}
