//! The view that one host has of all hosts, built from the platform's list and from heartbeats.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::{HostId, Incarnation, Version, ZoneId};
use crate::member::{
    DEPARTURE_TTL, Event, HEARTBEAT_TIMEOUT, Host, HostInfo, State, UNLISTED_TTL,
    UNREACHABLE_BACKOFF,
};
use crate::util;
use crate::wire::{Heartbeat, Issuer};

/// Maximum number of superseded incarnations remembered per host
const MAX_PAST_INCARNATIONS: usize = 8;

/// How long a stop announcement is gossiped in heartbeats
const STOP_GOSSIP_DURATION: Duration = Duration::from_secs(20);

/// How long a stop announcement is remembered, so that it is not gossiped again
const STOP_TTL: Duration = Duration::from_secs(600);

/// Maximum number of stopping processes in one heartbeat
const MAX_STOPPING: usize = 32;

/// Shortest interval between two checks for silent hosts
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Transition of a host that is due
enum Transition {
    Change(State),
    Remove,
}

/// All hosts as seen by one host
#[derive(Debug)]
pub struct View {
    pub(super) host: HostId,
    pub(super) zone: ZoneId,
    pub(super) incarnation: Incarnation,
    pub(super) hosts: BTreeMap<HostId, Host>,
    /// Host names by zone
    pub(super) zones: BTreeMap<ZoneId, BTreeSet<HostId>>,
    /// When hosts of this zone stopped being live
    pub(super) ended_at: BTreeMap<HostId, Instant>,
    /// When this process started_at or last resumed after a pause
    pub(super) started_at: Instant,
    newest_list: Vec<HostInfo>,
    list_hash: u64,
    last_tick: Instant,
    last_expiry_check: Instant,
    events: Vec<Event>,
    /// Processes known to be stopping, and when this host learned of it
    stopping: BTreeMap<Issuer, Instant>,
}

impl View {
    /// Creates a view that contains only this host
    pub fn new(now: Instant, own: HostInfo) -> Self {
        let host = own.host.clone();
        let zone = own.zone.clone();
        let hosts = [(host.clone(), Host::new(now, own, State::Live))].into();
        let zones = [(zone.clone(), [host.clone()].into())].into();
        Self {
            host,
            zone,
            incarnation: 0,
            hosts,
            zones,
            ended_at: BTreeMap::new(),
            started_at: now,
            newest_list: Vec::new(),
            list_hash: 0,
            last_tick: now,
            last_expiry_check: now,
            events: Vec::new(),
            stopping: BTreeMap::new(),
        }
    }

    /// Sets the incarnation that the heartbeats of this host carry
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Updates the view from the platform's list
    ///
    /// An empty list is ignored: it cannot be right, since this host is running.
    pub fn apply_list(&mut self, now: Instant, list: &[HostInfo]) {
        if list.is_empty() {
            return;
        }
        self.list_hash = list_hash(list);
        self.newest_list = list.to_vec();
        for entry in list {
            if entry.host != self.host {
                self.apply_entry(now, entry);
            }
        }
        let listed: BTreeSet<&HostId> = list.iter().map(|entry| &entry.host).collect();
        for (name, host) in &mut self.hosts {
            host.unlisted_since = match listed.contains(name) {
                true => None,
                false => host.unlisted_since.or(Some(now)),
            };
        }
    }

    /// Records a heartbeat received from the host that it names
    ///
    /// A heartbeat of a superseded incarnation is ignored, unless the newer incarnation has been
    /// silent beyond the timeout.
    pub fn record_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if heartbeat.host == self.host {
            log::warn!(
                "received a heartbeat of another process that runs as host {}",
                self.host
            );
            return;
        }
        let info = host_info(heartbeat);
        let host = self.hosts.entry(heartbeat.host.clone());
        let host = host.or_insert_with(|| Host::new(now, info.clone(), State::Joining));
        if !accept_incarnation(host, now, heartbeat.incarnation, &mut self.events) {
            return;
        }
        let operator = host.info.operator;
        let info = HostInfo { operator, ..info };
        let previous_zone = std::mem::replace(&mut host.info, info).zone;
        host.config_number = heartbeat.config_number;
        host.list_hash = heartbeat.list_hash;
        host.taken_over.clone_from(&heartbeat.taken_over);
        host.last_heard = Some(now);
        host.unreachable_since = None;
        host.reported_leaving = heartbeat.leaving;
        host.leaving_until = None;
        let state = match heartbeat.leaving {
            true => State::Leaving,
            false => State::Live,
        };
        self.update_zone_index(&heartbeat.host, &previous_zone);
        self.set_state(now, &heartbeat.host, state);
        if heartbeat.leaving {
            self.record_stop(now, &issuer(&heartbeat.host, heartbeat.incarnation));
        }
        for stopping in &heartbeat.stopping {
            self.record_stop(now, stopping);
        }
    }

    /// Records that a process is stopping, as reported by any host
    ///
    /// For hosts of this zone the state follows only from their own heartbeats.
    fn record_stop(&mut self, now: Instant, process: &Issuer) {
        if process.host == self.host || self.stopping.contains_key(process) {
            return;
        }
        self.stopping.insert(process.clone(), now);
        let Some(host) = self.hosts.get_mut(&process.host) else {
            return;
        };
        let other_zone = host.info.zone != self.zone;
        let same_process = host.last_heard.is_none() || host.incarnation == process.incarnation;
        if other_zone && same_process && host.state == State::Live {
            host.leaving_until = Some(now + DEPARTURE_TTL);
            self.set_state(now, &process.host, State::Leaving);
        }
    }

    /// Records that a host could not be reached
    ///
    /// Has no effect for hosts of this zone, whose state follows from heartbeats.
    pub fn mark_unreachable(&mut self, now: Instant, name: &HostId) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.info.zone == self.zone {
            return;
        }
        host.unreachable_since = Some(now);
        if host.state == State::Live {
            self.set_state(now, &name.clone(), State::Dead);
        }
    }

    /// Marks this host as stopping
    pub fn leave(&mut self, now: Instant) {
        let own = issuer(&self.host, self.incarnation);
        self.stopping.insert(own, now);
        self.set_state(now, &self.host.clone(), State::Leaving);
    }

    /// Whether the last [`View::tick`] is more recent than the heartbeat timeout
    ///
    /// If not, the process was paused, and the next tick must run first: its events include
    /// [`Event::Woke`].
    pub fn has_recent_tick(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) <= HEARTBEAT_TIMEOUT
    }

    /// Updates the states of silent hosts and returns the changes since the last call
    pub fn tick(&mut self, now: Instant) -> Vec<Event> {
        let was_running = self.has_recent_tick(now);
        if !was_running {
            self.resume_after_pause(now);
        }
        self.last_tick = now;
        if was_running
            && now.saturating_duration_since(self.last_expiry_check) < EXPIRY_CHECK_INTERVAL
        {
            return std::mem::take(&mut self.events);
        }
        self.last_expiry_check = now;
        let others = self.hosts.iter().filter(|(name, _)| **name != self.host);
        let due =
            others.filter_map(|(name, host)| Some((name.clone(), self.due_transition(now, host)?)));
        for (name, transition) in due.collect::<Vec<_>>() {
            match transition {
                Transition::Change(state) => self.set_state(now, &name, state),
                Transition::Remove => self.remove(now, &name),
            }
        }
        self.stopping
            .retain(|_, learned_at| now.saturating_duration_since(*learned_at) < STOP_TTL);
        self.ended_at
            .retain(|_, ended_at| now.saturating_duration_since(*ended_at) < DEPARTURE_TTL);
        std::mem::take(&mut self.events)
    }

    /// Returns all hosts by name
    pub fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// Returns the name of this host
    pub fn own_host(&self) -> &HostId {
        &self.host
    }

    /// Returns the zone of this host
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Returns the hash of the newest list; 0 before the first one
    pub fn list_hash(&self) -> u64 {
        self.list_hash
    }

    /// Returns the newest list of hosts, which other hosts can fetch
    pub fn newest_list(&self) -> &[HostInfo] {
        &self.newest_list
    }

    /// Builds a heartbeat of this host
    pub fn heartbeat(
        &self,
        config_number: Version,
        taken_over: &[Issuer],
        quarantined_keys: &[u64],
    ) -> Heartbeat {
        let own = &self.hosts[&self.host];
        Heartbeat {
            host: self.host.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            config_number,
            leaving: own.state == State::Leaving,
            quarantined: quarantined_keys.to_vec(),
            peer: own.info.peer,
            caller: own.info.caller,
            list_hash: self.list_hash,
            taken_over: taken_over.to_vec(),
            stopping: self.recent_stops(),
        }
    }

    /// Returns the stopping processes to gossip, the most recent first
    fn recent_stops(&self) -> Vec<Issuer> {
        let is_recent = |learned_at: &Instant| {
            self.last_tick.saturating_duration_since(*learned_at) < STOP_GOSSIP_DURATION
        };
        let stops = self
            .stopping
            .iter()
            .filter(|(_, learned_at)| is_recent(learned_at));
        let mut stops: Vec<_> = stops.collect();
        stops.sort_by_key(|(_, learned_at)| Reverse(**learned_at));
        let stops = stops.into_iter().take(MAX_STOPPING);
        stops.map(|(process, _)| process.clone()).collect()
    }

    /// Updates one host from an entry of the platform's list
    ///
    /// A new host of this zone has to send a heartbeat before it counts as live, except while this
    /// host starts: no heartbeats can have arrived by then.
    fn apply_entry(&mut self, now: Instant, entry: &HostInfo) {
        let same_zone = entry.zone == self.zone;
        let is_starting = now.saturating_duration_since(self.started_at) < HEARTBEAT_TIMEOUT;
        let initial_state = match (entry.leaving, same_zone && !is_starting) {
            (true, _) => State::Leaving,
            (false, true) => State::Joining,
            (false, false) => State::Live,
        };
        let Some(host) = self.hosts.get_mut(&entry.host) else {
            let host = Host::new(now, entry.clone(), initial_state);
            self.hosts.insert(entry.host.clone(), host);
            self.update_zone_index(&entry.host, &entry.zone);
            if initial_state == State::Live {
                self.events.push(Event::Joined(entry.host.clone()));
            }
            return;
        };
        let previous_zone = std::mem::replace(&mut host.info, entry.clone()).zone;
        let is_stopping =
            host.reported_leaving || host.leaving_until.is_some_and(|until| now < until);
        let state = match (entry.leaving || is_stopping, host.state) {
            (true, State::Live | State::Joining) => State::Leaving,
            (false, State::Leaving) => State::Live,
            (_, state) => state,
        };
        self.update_zone_index(&entry.host, &previous_zone);
        self.set_state(now, &entry.host, state);
    }

    /// Moves a host in the index of zones from its previous zone to the current one
    fn update_zone_index(&mut self, name: &HostId, previous_zone: &ZoneId) {
        let zone = &self.hosts[name].info.zone;
        if zone != previous_zone
            && let Some(names) = self.zones.get_mut(previous_zone)
        {
            names.remove(name);
        }
        let names = self.zones.entry(zone.clone()).or_default();
        names.insert(name.clone());
    }

    /// Returns the transition that silence or the end of a waiting time makes due
    fn due_transition(&self, now: Instant, host: &Host) -> Option<Transition> {
        if host.info.zone == self.zone {
            let has_left = host.unlisted_since.is_some() || host.reported_leaving;
            return match host.state {
                _ if host.silence(now) <= HEARTBEAT_TIMEOUT => None,
                _ if has_left => Some(Transition::Remove),
                State::Live | State::Joining => Some(Transition::Change(State::Dead)),
                State::Leaving | State::Dead => None,
            };
        }
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let unlisted_for = host.unlisted_since.map_or(Duration::ZERO, elapsed);
        if unlisted_for.min(host.silence(now)) > UNLISTED_TTL {
            return Some(Transition::Remove);
        }
        let is_unreachable = host
            .unreachable_since
            .is_some_and(|since| elapsed(since) < UNREACHABLE_BACKOFF);
        let is_stopping =
            host.reported_leaving || host.leaving_until.is_some_and(|until| now < until);
        let state = match host.info.leaving || is_stopping {
            true => State::Leaving,
            false => State::Live,
        };
        match host.state {
            State::Dead if is_unreachable => None,
            State::Dead | State::Leaving if host.state != state => Some(Transition::Change(state)),
            _ => None,
        }
    }

    fn remove(&mut self, now: Instant, name: &HostId) {
        let Some(host) = self.hosts.remove(name) else {
            return;
        };
        if let Some(names) = self.zones.get_mut(&host.info.zone) {
            names.remove(name);
        }
        if host.info.zone == self.zone && host.state == State::Live {
            self.ended_at.insert(name.clone(), now);
        }
        self.events.push(Event::Left(name.clone()));
    }

    /// Changes the state of a host and records the event
    fn set_state(&mut self, now: Instant, name: &HostId, state: State) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let previous_state = std::mem::replace(&mut host.state, state);
        if previous_state == state {
            return;
        }
        if previous_state == State::Live && host.info.zone == self.zone {
            self.ended_at.insert(name.clone(), now);
        }
        match state {
            State::Live => self.events.push(Event::Joined(name.clone())),
            State::Dead => self.events.push(Event::Died(name.clone())),
            State::Leaving | State::Joining => {}
        }
    }

    /// Restarts the timeouts of all hosts after a pause of this process
    ///
    /// No heartbeats were read during the pause, so silence does not show that a host is dead.
    fn resume_after_pause(&mut self, now: Instant) {
        self.started_at = now;
        self.events.push(Event::Woke);
        for host in self.hosts.values_mut() {
            host.last_heard = host.last_heard.map(|_| now);
            host.tracked_since = now;
        }
    }
}

fn issuer(host: &HostId, incarnation: Incarnation) -> Issuer {
    Issuer {
        host: host.clone(),
        incarnation,
    }
}

/// Hashes a list of hosts, independent of its order
pub fn list_hash(list: &[HostInfo]) -> u64 {
    let mut entries: Vec<_> = list.iter().collect();
    entries.sort_by(|a, b| a.host.cmp(&b.host));
    let entries = entries.iter().map(|entry| {
        let HostInfo {
            host,
            zone,
            peer,
            caller,
            operator,
            leaving,
        } = entry;
        util::stable_hash(&(host, zone, peer, caller, operator, leaving))
    });
    util::stable_hash(&entries.collect::<Vec<u64>>())
}

fn host_info(heartbeat: &Heartbeat) -> HostInfo {
    HostInfo {
        host: heartbeat.host.clone(),
        zone: heartbeat.zone.clone(),
        peer: heartbeat.peer,
        caller: heartbeat.caller,
        operator: None,
        leaving: heartbeat.leaving,
    }
}

/// Compares the incarnation of a heartbeat with the known ones and adopts a new one
///
/// Returns `false` if the heartbeat is of a superseded incarnation.
fn accept_incarnation(
    host: &mut Host,
    now: Instant,
    incarnation: Incarnation,
    events: &mut Vec<Event>,
) -> bool {
    if host.incarnation == incarnation {
        return true;
    }
    let is_silent = host.silence(now) > HEARTBEAT_TIMEOUT;
    if host.past_incarnations.contains(&incarnation) && !is_silent {
        return false;
    }
    host.past_incarnations.retain(|past| *past != incarnation);
    if host.last_heard.is_some() {
        host.past_incarnations.push(host.incarnation);
        let surplus = host
            .past_incarnations
            .len()
            .saturating_sub(MAX_PAST_INCARNATIONS);
        host.past_incarnations.drain(..surplus);
        events.push(Event::Restarted(host.info.host.clone()));
    }
    host.incarnation = incarnation;
    true
}
