//! Entry hosts that run, and the load reports that they exchange.
//!
//! Each host registers one entry in the platform's store. The store does not track liveness: each
//! host pings [`WATCHED_SUCCESSORS`] successors on a hash ring of names, and removes the entry of
//! one that stays silent. So the cost per host does not grow with the fleet, and the store receives
//! writes only when hosts join or leave.
//!
//! The datagrams also carry load reports: requests in flight by endpoint to hosts of the same
//! region, and the demand of the region to all others. They influence nothing but placement, so the
//! only authentication is a check that the sender's address belongs to a listed host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, RegionId, ServiceId, ZoneId};
use crate::util::stable_hash;

mod lag;
mod owner;
mod readers;
mod sequence;

#[cfg(test)]
mod tests;

pub use lag::{LAG_TOLERANCE, LagDetector, Watermark};
pub use owner::{Electorate, Owner};
pub use readers::READERS_PER_REGION;
pub use sequence::first_sequence;

/// Number of ring successors that each host pings; enough that neighbors rarely fail together
pub const WATCHED_SUCCESSORS: usize = 4;

/// Interval between pings to a watched host
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long a watched host may be silent before it counts as failed: five lost pings
pub const PING_TIMEOUT: Duration = Duration::from_millis(2600);

/// Number of hosts up to which load is reported to the whole fleet
pub const SMALL_FLEET_HOSTS: usize = 24;

/// Base interval of load reports within a region
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval added for each further host of the region, so that the cost per host stays bounded
const LOAD_REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(8);

/// How long removed hosts are remembered; longer than a copy of the store is old
const REMOVED_TTL: Duration = Duration::from_secs(60);

/// How long a demand report stays valid
const DEMAND_REPORT_TTL: Duration = Duration::from_secs(4);

/// Returns the interval between two load reports to `hosts` hosts
pub fn load_report_interval(hosts: usize) -> Duration {
    LOAD_REPORT_INTERVAL + LOAD_REPORT_INTERVAL_PER_HOST * hosts as u32
}

/// Entry of a host in the store
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the host
    pub host: HostId,
    /// Availability zone
    pub zone: ZoneId,
    /// Region of the zone
    pub region: RegionId,
    /// Address for callers
    pub caller: SocketAddr,
    /// UDP address for datagrams of other hosts
    pub peer: SocketAddr,
    /// TCP address where other hosts can replicate this host's copy of the store
    pub control: Option<SocketAddr>,
    /// Random number that identifies this run of the process
    pub incarnation: Incarnation,
    /// Capacity relative to other hosts
    pub weight: f64,
    /// Revision of the entry, on which its removal is conditional
    pub revision: u64,
}

/// Load report that a host sends to others
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the sender
    pub host: HostId,
    /// Region of the sender
    pub region: RegionId,
    /// Whether the receiver should reply
    pub ping: bool,
    /// Slots occupied by requests that entered at the sender, by service
    pub demand: BTreeMap<ServiceId, f32>,
    /// Requests in flight by short endpoint id; sent only within a region
    pub running: BTreeMap<u32, u32>,
}

/// Known hosts and their last reports
#[derive(Debug, Default)]
pub struct Fleet {
    own: HostId,
    members: BTreeMap<HostId, Member>,
    last_heard: BTreeMap<HostId, Instant>,
    /// When this host first saw the entry of each member
    listed_at: BTreeMap<HostId, Instant>,
    /// Members whose entries were removed lately, and when
    departed: BTreeMap<HostId, (Member, Instant)>,
    /// Watched hosts, and when their timeout last restarted
    watched_since: BTreeMap<HostId, Instant>,
    demand_reports: BTreeMap<HostId, (Instant, RegionId, BTreeMap<ServiceId, f32>)>,
    /// Demand of whole regions as their hosts know it, by service
    region_demand: BTreeMap<RegionId, (Instant, BTreeMap<ServiceId, f32>)>,
    /// Hosts that were removed lately, to recognize their entries in an older copy of the store
    removed: BTreeMap<HostId, (Incarnation, Instant)>,
    /// Listed hosts that stay silent; not offered to callers until they report or are listed again
    unresponsive: BTreeSet<HostId>,
    /// Which hosts can read the store, and which cannot
    readers: readers::Observations,
    /// Numbers of the latest reports of other hosts
    sequences: sequence::Sequences,
    /// Whether the next list is the first one of a store that came back from an older copy
    is_restoring: bool,
}

impl Fleet {
    /// Creates a fleet without members
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Prepares for the list of a store that came back from an older copy: hosts that it lists and
    /// that were removed lately are not offered to callers until they report
    pub fn begin_restore(&mut self, now: Instant) {
        self.removed
            .retain(|_, (_, removed_at)| now < *removed_at + REMOVED_TTL);
        self.is_restoring = true;
    }

    /// Replaces all members with the result of a full read
    pub fn replace(&mut self, now: Instant, members: Vec<Member>) {
        let outdated: Vec<HostId> = match std::mem::take(&mut self.is_restoring) {
            true => {
                let is_outdated = |member: &&Member| {
                    let removed = self.removed.get(&member.host);
                    removed.is_some_and(|(incarnation, _)| *incarnation == member.incarnation)
                };
                let outdated = members.iter().filter(is_outdated);
                outdated.map(|member| member.host.clone()).collect()
            }
            false => Vec::new(),
        };
        let members: BTreeMap<HostId, Member> = members
            .into_iter()
            .map(|member| (member.host.clone(), member))
            .collect();
        let previous = std::mem::replace(&mut self.members, members);
        for member in previous.into_values() {
            if !self.members.contains_key(&member.host) {
                self.record_departure(now, member);
            }
        }
        let hosts: Vec<HostId> = self.members.keys().cloned().collect();
        hosts.iter().for_each(|host| self.record_listing(now, host));
        // A removed host that registers again gets a full timeout to report.
        let members = &self.members;
        self.last_heard.retain(|host, _| members.contains_key(host));
        self.watched_since
            .retain(|host, _| members.contains_key(host));
        self.demand_reports
            .retain(|host, _| members.contains_key(host));
        self.unresponsive.retain(|host| members.contains_key(host));
        self.sequences.retain(|host| members.contains_key(host));
        self.unresponsive.extend(outdated);
    }

    /// Adds or updates one member
    ///
    /// The entry of a host that was removed lately may come from a write that the store carried out
    /// late, so that host is offered to callers once it reports.
    pub fn put(&mut self, now: Instant, member: Member) {
        let removed = self.removed.get(&member.host);
        let was_removed = removed.is_some_and(|(incarnation, removed_at)| {
            *incarnation == member.incarnation && now < *removed_at + REMOVED_TTL
        });
        match was_removed && !self.members.contains_key(&member.host) {
            true => self.unresponsive.insert(member.host.clone()),
            false => self.unresponsive.remove(&member.host),
        };
        self.record_listing(now, &member.host);
        self.members.insert(member.host.clone(), member);
    }

    /// Removes a member; returns whether it existed
    pub fn remove(&mut self, now: Instant, host: &HostId) -> bool {
        if let Some(member) = self.members.get(host) {
            let removal = (member.incarnation, now);
            self.removed.insert(host.clone(), removal);
            self.removed
                .retain(|_, (_, removed_at)| now < *removed_at + REMOVED_TTL);
        }
        self.demand_reports.remove(host);
        self.last_heard.remove(host);
        self.watched_since.remove(host);
        self.unresponsive.remove(host);
        self.sequences.retain(|other| other != host);
        self.forget_heartbeats(host);
        let Some(member) = self.members.remove(host) else {
            return false;
        };
        self.record_departure(now, member);
        true
    }

    fn record_listing(&mut self, now: Instant, host: &HostId) {
        self.departed.remove(host);
        self.listed_at.entry(host.clone()).or_insert(now);
    }

    fn record_departure(&mut self, now: Instant, member: Member) {
        self.listed_at.remove(&member.host);
        self.departed
            .retain(|_, (_, departed_at)| now < *departed_at + REMOVED_TTL);
        let departure = (member.host.clone(), (member, now));
        self.departed.extend([departure]);
    }

    /// Marks a host as silent, even if the store still lists it
    ///
    /// The host stays a member, so that it counts again as soon as it reports.
    pub fn mark_unresponsive(&mut self, now: Instant, host: &HostId) {
        self.unresponsive.insert(host.clone());
        self.watched_since.insert(host.clone(), now);
    }

    /// Returns this host's entry in the store
    pub fn own_member(&self) -> Option<&Member> {
        self.members.get(&self.own)
    }

    /// Returns all members
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the number of hosts, including this one
    pub fn size(&self) -> usize {
        let count = self.members.len();
        count.max(1)
    }

    /// Returns the number of hosts in a region
    pub fn count_in_region(&self, region: &str) -> usize {
        let members = self
            .members
            .values()
            .filter(|member| member.region == region);
        members.count()
    }

    /// Whether an IP address is the one of a listed host
    pub fn is_member_address(&self, host: &HostId, ip: IpAddr) -> bool {
        let member = self.members.get(host);
        member.is_some_and(|member| member.peer.ip() == ip)
    }

    /// Whether an IP address is the one of a listed host, or of one that was listed lately
    pub fn is_known_address(&self, host: &HostId, ip: IpAddr) -> bool {
        let departed = self.departed.get(host);
        self.is_member_address(host, ip)
            || departed.is_some_and(|(member, _)| member.peer.ip() == ip)
    }

    /// Returns the hosts that this one watches: its successors on the ring of hashed names
    pub fn successors(&self) -> Vec<&Member> {
        let position = |host: &HostId| (stable_hash(host), host.clone());
        let own = position(&self.own);
        let mut ring: Vec<_> = self
            .members
            .values()
            .filter(|member| member.host != self.own)
            .map(|member| (position(&member.host), member))
            .collect();
        ring.sort_by(|(a, _), (b, _)| a.cmp(b));
        let start = ring.partition_point(|(position, _)| *position <= own);
        ring.rotate_left(start);
        ring.truncate(WATCHED_SUCCESSORS);
        ring.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the listed host with this control address
    pub fn host_at(&self, control: SocketAddr) -> Option<HostId> {
        let mut members = self.members.values();
        let member = members.find(|member| member.control == Some(control));
        member.map(|member| member.host.clone())
    }

    /// Returns for how long nothing has been heard from a host, `None` if nothing ever was
    pub fn silence(&self, now: Instant, host: &HostId) -> Option<Duration> {
        let last_heard = self.last_heard.get(host)?;
        Some(now.saturating_duration_since(*last_heard))
    }

    /// Records a report received from a host
    pub fn record_report(&mut self, now: Instant, report: &Report) {
        self.record_sign_of_life(now, &report.host);
        let demand = (now, report.region.clone(), report.demand.clone());
        self.demand_reports.insert(report.host.clone(), demand);
    }

    /// Records the number of a report received from a host, 0 for none; returns whether the report is
    /// newer than those received before
    ///
    /// An older one still shows that the host runs.
    pub fn record_sequence(&mut self, now: Instant, host: &HostId, sequence: u64) -> bool {
        self.sequences.record(now, host, sequence)
    }

    /// Records that a host was heard of whose report is not used
    pub fn record_sign_of_life(&mut self, now: Instant, host: &HostId) {
        self.last_heard.insert(host.clone(), now);
        self.unresponsive.remove(host);
    }

    /// Returns the watched hosts that stay silent and whose entries should be removed
    ///
    /// A host that was paused or partitioned itself receives no reports at all. So if all
    /// `WATCHED_SUCCESSORS` are silent and no host reported within the timeout, the result is empty.
    pub fn unresponsive_members(&mut self, now: Instant) -> Vec<Member> {
        let watched: Vec<HostId> = self
            .successors()
            .iter()
            .map(|member| member.host.clone())
            .collect();
        self.watched_since.retain(|host, _| watched.contains(host));
        for host in &watched {
            self.watched_since.entry(host.clone()).or_insert(now);
        }
        let silent_since = |host: &HostId| {
            let last_heard = self.last_heard.get(host);
            let watched_since = self.watched_since.get(host);
            last_heard.max(watched_since).copied().unwrap_or(now)
        };
        let is_silent =
            |host: &&HostId| now.saturating_duration_since(silent_since(host)) > PING_TIMEOUT;
        let silent: Vec<&HostId> = watched.iter().filter(is_silent).collect();
        let all_silent = silent.len() == watched.len() && watched.len() == WATCHED_SUCCESSORS;
        let mut others = self
            .last_heard
            .iter()
            .filter(|(host, _)| **host != self.own);
        let any_recent_report = others.any(|(_, at)| now < *at + PING_TIMEOUT);
        if all_silent && !any_recent_report {
            return Vec::new();
        }
        silent
            .into_iter()
            .filter_map(|host| self.members.get(host).cloned())
            .collect()
    }

    /// Restarts the timeouts of all watched hosts after a pause of this process
    ///
    /// No datagrams were read during the pause, so silence does not show that a host failed.
    pub fn restart_timeouts(&mut self, now: Instant) {
        for since in self.watched_since.values_mut() {
            *since = now;
        }
    }

    /// Records the demand of another region, as one of its hosts knows it
    pub fn record_region_demand(
        &mut self,
        now: Instant,
        region: RegionId,
        demand: BTreeMap<ServiceId, f32>,
    ) {
        self.region_demand.insert(region, (now, demand));
    }

    /// Returns the demand for a service in busy slots, by region
    ///
    /// Each host hears of few hosts of other regions, which differ in strength, so the demand of a
    /// region as its own hosts know it goes first. Hosts without a valid report count with the mean of
    /// the others in their region.
    pub fn demand_by_region(&self, now: Instant, service: &str) -> BTreeMap<RegionId, f64> {
        let mut sums: BTreeMap<RegionId, (f64, u32)> = BTreeMap::new();
        for (received_at, region, demand) in self.demand_reports.values() {
            if now < *received_at + DEMAND_REPORT_TTL {
                let sum = sums.entry(region.clone()).or_default();
                sum.0 += f64::from(demand.get(service).copied().unwrap_or(0.0));
                sum.1 += 1;
            }
        }
        let mut host_counts: BTreeMap<&RegionId, u32> = BTreeMap::new();
        for member in self.members.values() {
            *host_counts.entry(&member.region).or_default() += 1;
        }
        let scaled = sums.into_iter().map(|(region, (sum, reported))| {
            let listed = host_counts.get(&region).copied().unwrap_or(0).max(reported);
            let demand = sum * f64::from(listed) / f64::from(reported.max(1));
            (region, demand)
        });
        let mut demand: BTreeMap<RegionId, f64> = scaled.collect();
        for (region, (received_at, by_service)) in &self.region_demand {
            if now < *received_at + DEMAND_REPORT_TTL
                && let Some(busy) = by_service.get(service)
            {
                demand.insert(region.clone(), f64::from(*busy));
            }
        }
        demand
    }

    /// Returns up to `limit` addresses of hosts for a caller of a region
    ///
    /// The hosts are those of the caller's region, or all hosts if that region has none. Hosts with
    /// more weight are chosen more often, since callers choose uniformly among the addresses.
    pub fn sample_addresses(
        &self,
        region: &str,
        limit: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<SocketAddr> {
        let in_region: Vec<&Member> = self
            .members
            .values()
            .filter(|member| !self.unresponsive.contains(&member.host))
            .filter(|member| member.region == region)
            .collect();
        let all = || {
            let members = self.members.values();
            members
                .filter(|member| !self.unresponsive.contains(&member.host))
                .collect()
        };
        let hosts: Vec<&Member> = if in_region.is_empty() {
            all()
        } else {
            in_region
        };
        // Weighted sampling without replacement: take the largest keys u^(1/w), compared by logarithm.
        let mut keyed: Vec<(f64, &Member)> = hosts
            .into_iter()
            .map(|member| (rng.f64().ln() / member.weight.max(1e-3), member))
            .collect();
        keyed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        keyed.truncate(limit);
        keyed.into_iter().map(|(_, member)| member.caller).collect()
    }
}
