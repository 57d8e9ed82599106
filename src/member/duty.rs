//! Which host of a zone holds a duty, and since when.

use std::time::Instant;

use crate::id::{EndpointId, HostId, ServiceId, ZoneId};
use crate::member::{CROSS_ZONE_PEERS, Host, State, View, WATCHERS_PER_ZONE};
use crate::once::Ticket;
use crate::util;
use crate::wire::Issuer;

impl View {
    /// Live hosts of a zone
    pub fn live_hosts(&self, zone: &ZoneId) -> impl Iterator<Item = &Host> {
        self.of(zone).filter(|host| host.state == State::Live)
    }

    /// Host of `zone` that owns the slots of `service` there
    ///
    /// Where all hosts of the zone are stopping, one of them goes on as owner.
    pub fn owner(&self, zone: &ZoneId, service: &ServiceId) -> Option<&Host> {
        let live = self.live_hosts(zone).map(|host| &host.info.host);
        let leaving = self.of(zone).filter(|host| host.state == State::Leaving);
        let leaving = leaving.map(|host| &host.info.host);
        let owner = util::rendezvous(service, live);
        let owner = owner.or_else(|| util::rendezvous(service, leaving))?;
        self.hosts.get(owner)
    }

    /// Since when this host owns the slots of `service` in its zone; `None` when another does
    ///
    /// The owner before may use slots until its own term has passed after this moment.
    pub fn owned_since(&self, service: &ServiceId) -> Option<Instant> {
        let owner = self.owner(&self.zone, service)?;
        if owner.info.host != self.host {
            return None;
        }
        let before = self.ended.iter().filter(|(name, _)| {
            let pair = [*name, &self.host];
            util::rendezvous(service, pair) == Some(name)
        });
        let ends = before.map(|(_, end)| *end);
        Some(ends.fold(self.started, Instant::max))
    }

    /// Slots out of `slots` of an endpoint that this host may use as their owner
    ///
    /// All of them while every listed host of the zone is heard or known to have stopped. A host
    /// that is silent without a word may be cut off from this one only, and own the same slots in
    /// its own view. The slots then belong to the hosts of the zone in turn, in the order of their
    /// rendezvous scores, and a host uses those that belong to hosts it hears: two sides of a cut
    /// never use the same slot, and none is left without while there are as many slots as hosts.
    pub fn usable_slots(&self, service: &ServiceId, endpoint: &EndpointId, slots: u32) -> u32 {
        if !self.may_be_partitioned() {
            return slots;
        }
        let rivals = self.rivals().map(|host| &host.info.host);
        let holders = ranked(&(service, endpoint), rivals, usize::MAX);
        let own = (0..slots as usize).filter(|slot| {
            let holder = holders.get(slot % holders.len().max(1));
            holder.is_some_and(|name| self.hears(&self.hosts[*name]))
        });
        u32::try_from(own.count()).unwrap_or(slots)
    }

    /// Whether a host of this zone is silent without a word
    pub fn may_be_partitioned(&self) -> bool {
        self.rivals().any(|host| !self.hears(host))
    }

    /// Whether this host asks the platform for its zone
    pub fn is_watcher(&self) -> bool {
        self.watchers().contains(&&self.host)
    }

    /// Hosts of this zone that ask the platform, first choice first
    pub fn watchers(&self) -> Vec<&HostId> {
        let live = self.live_hosts(&self.zone).map(|host| &host.info.host);
        ranked("watch", live, WATCHERS_PER_ZONE)
    }

    /// Host of this zone whose list of hosts is taken while this one asks no platform itself
    pub fn list_source(&self) -> Option<&Host> {
        let watchers = self.watchers().into_iter();
        let mut others = watchers.filter(|name| **name != self.host);
        others.find_map(|name| self.hosts.get(name).filter(|host| host.list_hash != 0))
    }

    /// Hosts of other zones that this host sends heartbeats to
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

    /// Other hosts of this zone, live or not
    pub fn zone_peers(&self) -> impl Iterator<Item = &Host> {
        self.of(&self.zone)
            .filter(|host| host.info.host != self.host)
    }

    /// Host to ask about a ticket; `None` when no process holds it any more
    ///
    /// That is the issuer, or the host that says it took the tickets over. Another zone is asked
    /// through any of its hosts, since each knows the holders of its own zone.
    pub fn ticket_holder(&self, ticket: &Ticket) -> Option<&Host> {
        let issuer = Issuer {
            host: ticket.issuer.clone(),
            incarnation: ticket.incarnation,
        };
        let present = |host: &&Host| matches!(host.state, State::Live | State::Leaving);
        let mut known = self.hosts.values().filter(present);
        if let Some(successor) = known.find(|host| host.taken_over.contains(&issuer)) {
            return Some(successor);
        }
        let host = self.hosts.get(&ticket.issuer)?;
        if host.info.host == self.host {
            return Some(host).filter(|_| ticket.incarnation == self.incarnation);
        }
        let same = host.last_heard.is_none() || host.incarnation == ticket.incarnation;
        if same && present(&host) {
            return Some(host);
        }
        if host.info.zone == self.zone {
            return None;
        }
        let live = self.live_hosts(&host.info.zone).map(|host| &host.info.host);
        let other = util::rendezvous(&ticket.issuer, live)?;
        self.hosts.get(other)
    }

    fn of(&self, zone: &ZoneId) -> impl Iterator<Item = &Host> {
        let names = self.zones.get(zone).into_iter().flatten();
        names.filter_map(|name| self.hosts.get(name))
    }

    /// Hosts of this zone that may own slots in their own view
    fn rivals(&self) -> impl Iterator<Item = &Host> {
        let stopped = |host: &Host| host.told_leaving || host.info.leaving;
        self.of(&self.zone)
            .filter(move |host| host.state != State::Joining && !stopped(host))
    }

    fn hears(&self, host: &Host) -> bool {
        host.info.host == self.host || host.state == State::Live
    }
}

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
