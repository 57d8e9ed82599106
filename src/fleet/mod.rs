//! Which entry hosts run, and what they tell each other about load.
//!
//! Every host keeps one entry in the platform's store. Liveness is not a matter of the store: each
//! host pings [`WATCHED`] successors on a ring of names, and withdraws the entry of one that stays
//! silent. So a host's cost stays the same as the fleet grows, and the store sees writes only when
//! hosts come and go.
//!
//! Datagrams also carry load: to hosts of the same region what runs where, to all others the demand
//! of the region. Nothing in them decides more than placement, so they are not authenticated beyond
//! a check that the sender's address belongs to a listed host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, RegionId, ServiceId, ZoneId};
use crate::util::stable_hash;

mod lag;

#[cfg(test)]
mod tests;

pub use lag::{LagDetector, Watermark};

/// Successors on the ring that a host watches; enough that neighbours rarely fail together
pub const WATCHED_SUCCESSORS: usize = 4;

/// Hosts of a region that follow the store itself; two, so that one may fail unnoticed
pub const READERS_PER_REGION: usize = 2;

/// Part of the strongest host's weight from which a host counts as strong; machines come in few
/// sizes, apart by more than that
const MIN_STRONG_WEIGHT_RATIO: f64 = 0.5;

/// Time between two pings to a watched host
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a watched host counts as failed; five lost pings
pub const PING_TIMEOUT: Duration = Duration::from_millis(2600);

/// Age up to which a report of demand counts
const DEMAND_REPORT_TTL: Duration = Duration::from_secs(4);

/// Entry of one host in the store
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the host
    pub host: HostId,
    /// Availability zone
    pub zone: ZoneId,
    /// Region of the zone
    pub region: RegionId,
    /// Address that callers use
    pub caller: SocketAddr,
    /// UDP address for other hosts
    pub peer: SocketAddr,
    /// TCP address where other hosts may follow what this one knows of the store
    pub control: Option<SocketAddr>,
    /// Random number of this run of the process
    pub incarnation: Incarnation,
    /// Requests that it can carry, relative to other hosts
    pub weight: f64,
    /// Revision of the entry, by which a withdrawal is conditional
    pub revision: u64,
}

/// What a host tells others
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the sender
    pub host: HostId,
    /// Region of the sender
    pub region: RegionId,
    /// Whether an answer is asked for
    pub ping: bool,
    /// Slots that the requests entering at the sender keep busy, by service
    pub demand: BTreeMap<ServiceId, f32>,
    /// Requests running, by short endpoint id; only within a region
    pub running: BTreeMap<u32, u32>,
}

/// Known hosts and when they were heard
#[derive(Debug, Default)]
pub struct Fleet {
    own: HostId,
    members: BTreeMap<HostId, Member>,
    heard: BTreeMap<HostId, Instant>,
    watched: BTreeMap<HostId, Instant>,
    demand: BTreeMap<HostId, (Instant, RegionId, BTreeMap<ServiceId, f32>)>,
    /// Listed hosts that stay silent; not named to callers until they are heard or listed anew
    lost: BTreeSet<HostId>,
}

impl Fleet {
    /// Fleet that knows only the own name
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Take the whole list of a fresh read
    pub fn replace(&mut self, list: Vec<Member>) {
        self.members = list
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        // A host that comes back later gets its time to be heard.
        let members = &self.members;
        self.heard.retain(|host, _| members.contains_key(host));
        self.watched.retain(|host, _| members.contains_key(host));
        self.demand.retain(|host, _| members.contains_key(host));
        self.lost.retain(|host| members.contains_key(host));
    }

    /// Take one entry
    pub fn put(&mut self, member: Member) {
        self.lost.remove(&member.host);
        self.members.insert(member.host.clone(), member);
    }

    /// An entry was withdrawn
    pub fn remove(&mut self, host: &HostId) -> bool {
        self.demand.remove(host);
        self.heard.remove(host);
        self.watched.remove(host);
        self.lost.remove(host);
        self.members.remove(host).is_some()
    }

    /// A host stays silent, whatever the store says of it
    ///
    /// It stays listed, so that it counts again as soon as it is heard.
    pub fn mark_unresponsive(&mut self, now: Instant, host: &HostId) {
        self.lost.insert(host.clone());
        self.watched.insert(host.clone(), now);
    }

    /// Own entry as the store has it
    pub fn own_member(&self) -> Option<&Member> {
        self.members.get(&self.own)
    }

    /// Listed hosts
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of hosts, the own one included
    pub fn size(&self) -> usize {
        let listed = self.members.len();
        listed.max(1)
    }

    /// Number of hosts of a region
    pub fn count_in_region(&self, region: &str) -> usize {
        let near = self
            .members
            .values()
            .filter(|member| member.region == region);
        near.count()
    }

    /// Whether an address belongs to a listed host
    pub fn is_member_address(&self, host: &HostId, ip: IpAddr) -> bool {
        let member = self.members.get(host);
        member.is_some_and(|member| member.peer.ip() == ip)
    }

    /// Hosts that this one watches: its successors on the ring of hashed names
    pub fn successors(&self) -> Vec<&Member> {
        let place = |host: &HostId| (stable_hash(host), host.clone());
        let own = place(&self.own);
        let mut ring: Vec<_> = self
            .members
            .values()
            .filter(|member| member.host != self.own)
            .map(|member| (place(&member.host), member))
            .collect();
        ring.sort_by(|(a, _), (b, _)| a.cmp(b));
        let start = ring.partition_point(|(at, _)| *at <= own);
        ring.rotate_left(start);
        ring.truncate(WATCHED_SUCCESSORS);
        ring.into_iter().map(|(_, member)| member).collect()
    }

    /// Hosts of a region that follow the store itself; the others follow them
    ///
    /// The store counts each waiting watch, so their number must not grow with the fleet.
    ///
    /// A host that was not heard for `term` may be cut off, and others had better not follow it. A
    /// weak host is one only where strong ones lack: when many turn to it at once, as after the loss
    /// of the other, the lists that it sends hold up its own reports, and it seems lost too.
    pub fn readers(&self, now: Instant, region: &str, term: Duration) -> Vec<&Member> {
        let heard = |member: &&Member| {
            let at = self.heard.get(&member.host);
            member.host == self.own || at.is_some_and(|at| now < *at + term)
        };
        let near = self
            .members
            .values()
            .filter(|member| member.region == region);
        let near: Vec<&Member> = near
            .filter(heard)
            .filter(|member| member.control.is_some())
            .collect();
        let strongest = near.iter().map(|member| member.weight).fold(0.0, f64::max);
        let mut scored: Vec<((bool, u64), &Member)> = near
            .into_iter()
            .map(|member| {
                let weak = member.weight < strongest * MIN_STRONG_WEIGHT_RATIO;
                ((weak, stable_hash(&("reader", &member.host))), member)
            })
            .collect();
        scored.sort_by(|(a, one), (b, other)| a.cmp(b).then(one.host.cmp(&other.host)));
        scored.truncate(READERS_PER_REGION);
        scored.into_iter().map(|(_, member)| member).collect()
    }

    /// A datagram of a host came
    pub fn record_report(&mut self, now: Instant, report: &Report) {
        self.heard.insert(report.host.clone(), now);
        self.lost.remove(&report.host);
        let told = (now, report.region.clone(), report.demand.clone());
        self.demand.insert(report.host.clone(), told);
    }

    /// Watched hosts that stay silent; their entries are to be withdrawn
    ///
    /// A host that was itself paused or cut off hears nobody. It blames nobody then, as long as
    /// `WATCHED` hosts are silent together and others exist.
    pub fn unresponsive_members(&mut self, now: Instant) -> Vec<Member> {
        let watched: Vec<HostId> = self.successors().iter().map(|m| m.host.clone()).collect();
        self.watched.retain(|host, _| watched.contains(host));
        for host in &watched {
            self.watched.entry(host.clone()).or_insert(now);
        }
        let last = |host: &HostId| {
            let heard = self.heard.get(host);
            let since = self.watched.get(host);
            heard.max(since).copied().unwrap_or(now)
        };
        let is_silent = |host: &&HostId| now.saturating_duration_since(last(host)) > PING_TIMEOUT;
        let silent: Vec<&HostId> = watched.iter().filter(is_silent).collect();
        let deaf = silent.len() == watched.len() && watched.len() == WATCHED_SUCCESSORS;
        let anyone = self.heard.values().any(|at| now < *at + PING_TIMEOUT);
        if deaf && !anyone {
            return Vec::new();
        }
        silent
            .into_iter()
            .filter_map(|host| self.members.get(host).cloned())
            .collect()
    }

    /// A gap in this host's own time: what it did not hear says nothing
    pub fn restart_timeouts(&mut self, now: Instant) {
        for at in self.watched.values_mut() {
            *at = now;
        }
    }

    /// Demand for a service by region, in busy slots; hosts that were not heard count as the mean
    pub fn demand_by_region(&self, now: Instant, service: &str) -> BTreeMap<RegionId, f64> {
        let mut sums: BTreeMap<RegionId, (f64, u32)> = BTreeMap::new();
        for (at, region, demand) in self.demand.values() {
            if now < *at + DEMAND_REPORT_TTL {
                let sum = sums.entry(region.clone()).or_default();
                sum.0 += f64::from(demand.get(service).copied().unwrap_or(0.0));
                sum.1 += 1;
            }
        }
        let mut hosts: BTreeMap<&RegionId, u32> = BTreeMap::new();
        for member in self.members.values() {
            *hosts.entry(&member.region).or_default() += 1;
        }
        let scaled = sums.into_iter().map(|(region, (sum, heard))| {
            let listed = hosts.get(&region).copied().unwrap_or(0).max(heard);
            let demand = sum * f64::from(listed) / f64::from(heard.max(1));
            (region, demand)
        });
        scaled.collect()
    }

    /// Addresses for a caller of a region, at most `most`
    ///
    /// Hosts of the caller's region, or all if it has none. Of many, those with more weight are
    /// named more often, since callers choose among them at random.
    pub fn sample_addresses(
        &self,
        region: &str,
        most: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        let near: Vec<&Member> = self
            .members
            .values()
            .filter(|member| !self.lost.contains(&member.host))
            .filter(|member| member.region == region)
            .collect();
        let all = || {
            let live = self.members.values();
            live.filter(|member| !self.lost.contains(&member.host))
                .collect()
        };
        let hosts: Vec<&Member> = if near.is_empty() { all() } else { near };
        // Weighted sample without replacement: the largest keys of u^(1/w).
        let mut keyed: Vec<(f64, &Member)> = hosts
            .into_iter()
            .map(|member| (rng.f64().ln() / member.weight.max(1e-3), member))
            .collect();
        keyed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        keyed.truncate(most);
        keyed.into_iter().map(|(_, member)| member.caller).collect()
    }
}
