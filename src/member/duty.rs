//! Assignment of duties to hosts: slot ownership, polling of the platform, cross-zone heartbeats and
//! tickets.

use std::time::Instant;

use crate::id::{EndpointId, HostId, ServiceId, ZoneId};
use crate::member::{CROSS_ZONE_PEERS, Host, State, View, WATCHERS_PER_ZONE};
use crate::once::Ticket;
use crate::util;
use crate::wire::Issuer;

impl View {
    /// Returns the live hosts of a zone
    pub fn live_hosts(&self, zone: &ZoneId) -> impl Iterator<Item = &Host> {
        self.hosts_of(zone).filter(|host| host.state == State::Live)
    }

    /// Returns the host of `zone` that owns the slots of `service` there
    ///
    /// If all hosts of the zone are stopping, one of them remains the owner.
    pub fn owner(&self, zone: &ZoneId, service: &ServiceId) -> Option<&Host> {
        let live = self.live_hosts(zone).map(|host| &host.info.host);
        let leaving = self
            .hosts_of(zone)
            .filter(|host| host.state == State::Leaving);
        let leaving = leaving.map(|host| &host.info.host);
        let owner = util::rendezvous(service, live);
        let owner = owner.or_else(|| util::rendezvous(service, leaving))?;
        self.hosts.get(owner)
    }

    /// Returns since when this host owns the slots of `service` in its zone; `None` if it does not
    ///
    /// The previous owner may still use slots until the heartbeat timeout has passed since then.
    pub fn owned_since(&self, service: &ServiceId) -> Option<Instant> {
        let owner = self.owner(&self.zone, service)?;
        if owner.info.host != self.host {
            return None;
        }
        let previous_owners = self.ended_at.iter().filter(|(name, _)| {
            let candidates = [*name, &self.host];
            util::rendezvous(service, candidates) == Some(name)
        });
        let end_times = previous_owners.map(|(_, ended_at)| *ended_at);
        Some(end_times.fold(self.started_at, Instant::max))
    }

    /// Returns how many of an endpoint's `slots` this host may use as their owner
    ///
    /// The owner may use all slots while every listed host of the zone is live or known to have
    /// stopped. A host that became silent without announcing a stop may only be partitioned from
    /// this host, and may own the same slots in its own view. Then the slots are assigned round-robin
    /// to the hosts of the zone in the order of their rendezvous scores, and the owner uses the slots
    /// assigned to hosts that are live in its view. So the two sides of a partition never use the
    /// same slot, and each side has some as long as there are as many slots as hosts.
    pub fn usable_slots(&self, service: &ServiceId, endpoint: &EndpointId, slots: u32) -> u32 {
        if !self.may_be_partitioned() {
            return slots;
        }
        let candidates = self.owner_candidates().map(|host| &host.info.host);
        let assignees = ranked(&(service, endpoint), candidates, usize::MAX);
        let usable = (0..slots as usize).filter(|slot| {
            let assignee = assignees.get(slot % assignees.len().max(1));
            assignee.is_some_and(|name| self.is_live(&self.hosts[*name]))
        });
        u32::try_from(usable.count()).unwrap_or(slots)
    }

    /// Whether a host of this zone is silent without having announced a stop
    pub fn may_be_partitioned(&self) -> bool {
        self.owner_candidates().any(|host| !self.is_live(host))
    }

    /// Whether this host polls the platform for its zone
    pub fn is_watcher(&self) -> bool {
        self.watchers().contains(&&self.host)
    }

    /// Returns the hosts of this zone that poll the platform, best first
    pub fn watchers(&self) -> Vec<&HostId> {
        let live = self.live_hosts(&self.zone).map(|host| &host.info.host);
        ranked("watch", live, WATCHERS_PER_ZONE)
    }

    /// Returns the host of this zone to fetch the list of hosts from while not polling the platform
    pub fn list_source(&self) -> Option<&Host> {
        let watchers = self.watchers().into_iter();
        let mut others = watchers.filter(|name| **name != self.host);
        others.find_map(|name| self.hosts.get(name).filter(|host| host.list_hash != 0))
    }

    /// Returns the hosts of other zones that this host sends heartbeats to
    pub fn cross_zone_peers(&self) -> Vec<&HostId> {
        let others = self.hosts.values();
        let others = others.filter(|host| host.info.zone != self.zone);
        let others = others.filter(|host| host.state == State::Live);
        ranked(
            &self.host,
            others.map(|host| &host.info.host),
            CROSS_ZONE_PEERS,
        )
    }

    /// Returns the other hosts of this zone, in any state
    pub fn zone_peers(&self) -> impl Iterator<Item = &Host> {
        self.hosts_of(&self.zone)
            .filter(|host| host.info.host != self.host)
    }

    /// Returns the host to ask about a ticket; `None` if no process holds the ticket any more
    ///
    /// This is the issuer, or the host that reports having taken over the issuer's tickets. If the
    /// issuer of another zone is gone, any live host of that zone is returned: each one has the
    /// ticket holders of its own zone.
    pub fn ticket_holder(&self, ticket: &Ticket) -> Option<&Host> {
        let issuer = Issuer {
            host: ticket.issuer.clone(),
            incarnation: ticket.incarnation,
        };
        let is_present = |host: &&Host| matches!(host.state, State::Live | State::Leaving);
        let mut present = self.hosts.values().filter(is_present);
        if let Some(successor) = present.find(|host| host.taken_over.contains(&issuer)) {
            return Some(successor);
        }
        let host = self.hosts.get(&ticket.issuer)?;
        if host.info.host == self.host {
            return Some(host).filter(|_| ticket.incarnation == self.incarnation);
        }
        let same_process = host.last_heard.is_none() || host.incarnation == ticket.incarnation;
        if same_process && is_present(&host) {
            return Some(host);
        }
        if host.info.zone == self.zone {
            return None;
        }
        let live = self.live_hosts(&host.info.zone).map(|host| &host.info.host);
        let substitute = util::rendezvous(&ticket.issuer, live)?;
        self.hosts.get(substitute)
    }

    fn hosts_of(&self, zone: &ZoneId) -> impl Iterator<Item = &Host> {
        let names = self.zones.get(zone).into_iter().flatten();
        names.filter_map(|name| self.hosts.get(name))
    }

    /// Returns the hosts of this zone that may own slots in their own view
    fn owner_candidates(&self) -> impl Iterator<Item = &Host> {
        let is_stopping = |host: &Host| host.reported_leaving || host.info.leaving;
        self.hosts_of(&self.zone)
            .filter(move |host| host.state != State::Joining && !is_stopping(host))
    }

    fn is_live(&self, host: &Host) -> bool {
        host.info.host == self.host || host.state == State::Live
    }
}

/// Returns the `count` hosts with the highest rendezvous scores for a key, best first
fn ranked<'a, K: std::hash::Hash + ?Sized>(
    key: &K,
    hosts: impl Iterator<Item = &'a HostId>,
    count: usize,
) -> Vec<&'a HostId> {
    let mut hosts: Vec<_> = hosts.collect();
    hosts.sort_by_cached_key(|host| std::cmp::Reverse(util::stable_hash(&(key, host))));
    hosts.truncate(count);
    hosts
}
