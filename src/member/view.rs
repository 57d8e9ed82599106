//! What one host knows of all hosts.

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

/// Incarnations of one name that are remembered as superseded
const FORMER: usize = 8;

/// Time for which the news of a stop is passed on
const SPREAD: Duration = Duration::from_secs(20);

/// Time after which the news of a stop is forgotten
const FORGET: Duration = Duration::from_secs(600);

/// Most stopping processes in one heartbeat
const MAX_STOPPING: usize = 32;

/// Least time between two looks for silent hosts
const EXPIRY: Duration = Duration::from_millis(100);

/// What silence brings for a host
enum Due {
    Change(State),
    Remove,
}

/// What one host knows of all hosts
#[derive(Debug)]
pub struct View {
    pub(super) host: HostId,
    pub(super) zone: ZoneId,
    pub(super) incarnation: Incarnation,
    pub(super) hosts: BTreeMap<HostId, Host>,
    /// Names of the hosts by zone
    pub(super) zones: BTreeMap<ZoneId, BTreeSet<HostId>>,
    /// When hosts of this zone ceased to be live
    pub(super) ended: BTreeMap<HostId, Instant>,
    /// When this host started or last woke
    pub(super) started: Instant,
    list: Vec<HostInfo>,
    listing: u64,
    ticked: Instant,
    expired: Instant,
    events: Vec<Event>,
    /// Processes that are known to be stopping, and since when
    stopping: BTreeMap<Issuer, Instant>,
}

impl View {
    /// View of a host that knows of itself only
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
            ended: BTreeMap::new(),
            started: now,
            list: Vec::new(),
            listing: 0,
            ticked: now,
            expired: now,
            events: Vec::new(),
            stopping: BTreeMap::new(),
        }
    }

    /// The same with the incarnation that heartbeats of this host carry
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Take the platform's list
    ///
    /// An empty list is passed over, since this host is there.
    pub fn apply_list(&mut self, now: Instant, listed: &[HostInfo]) {
        if listed.is_empty() {
            return;
        }
        self.listing = list_hash(listed);
        self.list = listed.to_vec();
        for entry in listed {
            if entry.host != self.host {
                self.take(now, entry);
            }
        }
        let named: BTreeSet<&HostId> = listed.iter().map(|entry| &entry.host).collect();
        for (name, host) in &mut self.hosts {
            host.missing = match named.contains(name) {
                true => None,
                false => host.missing.or(Some(now)),
            };
        }
    }

    /// Take a heartbeat that came from the host that it names
    ///
    /// A heartbeat of an incarnation that another one followed is passed over, unless the later
    /// one has been silent for the term.
    pub fn record_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if heartbeat.host == self.host {
            log::warn!("another process runs as host {}", self.host);
            return;
        }
        let listed = listed(heartbeat);
        let host = self.hosts.entry(heartbeat.host.clone());
        let host = host.or_insert_with(|| Host::new(now, listed.clone(), State::Joining));
        if !supersede(host, now, heartbeat.incarnation, &mut self.events) {
            return;
        }
        let operator = host.info.operator;
        let listed = HostInfo { operator, ..listed };
        let zone = std::mem::replace(&mut host.info, listed).zone;
        host.config_number = heartbeat.number;
        host.list_hash = heartbeat.listing;
        host.taken_over.clone_from(&heartbeat.held);
        host.last_heard = Some(now);
        host.avoided = None;
        host.told_leaving = heartbeat.leaving;
        host.stops_until = None;
        let state = match heartbeat.leaving {
            true => State::Leaving,
            false => State::Live,
        };
        self.index(&heartbeat.host, &zone);
        self.change(now, &heartbeat.host, state);
        if heartbeat.leaving {
            self.hear_of_stop(now, &issuer(&heartbeat.host, heartbeat.incarnation));
        }
        for stopping in &heartbeat.stopping {
            self.hear_of_stop(now, stopping);
        }
    }

    /// Learn from whomever that a process is stopping; hosts of this zone say so themselves
    fn hear_of_stop(&mut self, now: Instant, process: &Issuer) {
        if process.host == self.host || self.stopping.contains_key(process) {
            return;
        }
        self.stopping.insert(process.clone(), now);
        let Some(host) = self.hosts.get_mut(&process.host) else {
            return;
        };
        let far = host.info.zone != self.zone;
        let same = host.last_heard.is_none() || host.incarnation == process.incarnation;
        if far && same && host.state == State::Live {
            host.stops_until = Some(now + DEPARTURE_TTL);
            self.change(now, &process.host, State::Leaving);
        }
    }

    /// Learn that a host could not be reached
    ///
    /// Inside the zone heartbeats decide instead.
    pub fn mark_unreachable(&mut self, now: Instant, name: &HostId) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if host.info.zone == self.zone {
            return;
        }
        host.avoided = Some(now);
        if host.state == State::Live {
            self.change(now, &name.clone(), State::Dead);
        }
    }

    /// Say that this host is stopping
    pub fn leave(&mut self, now: Instant) {
        let own = issuer(&self.host, self.incarnation);
        self.stopping.insert(own, now);
        self.change(now, &self.host.clone(), State::Leaving);
    }

    /// Whether this process has run without a pause of the term
    ///
    /// Where it has not, [`View::tick`] comes first and tells what is lost.
    pub fn has_recent_tick(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ticked) <= HEARTBEAT_TIMEOUT
    }

    /// Let silent hosts expire; what changed since the last call
    pub fn tick(&mut self, now: Instant) -> Vec<Event> {
        let awake = self.has_recent_tick(now);
        if !awake {
            self.wake(now);
        }
        self.ticked = now;
        if awake && now.saturating_duration_since(self.expired) < EXPIRY {
            return std::mem::take(&mut self.events);
        }
        self.expired = now;
        let others = self.hosts.iter().filter(|(name, _)| **name != self.host);
        let due = others.filter_map(|(name, host)| Some((name.clone(), self.due(now, host)?)));
        for (name, due) in due.collect::<Vec<_>>() {
            match due {
                Due::Change(state) => self.change(now, &name, state),
                Due::Remove => self.remove(now, &name),
            }
        }
        self.stopping
            .retain(|_, at| now.saturating_duration_since(*at) < FORGET);
        self.ended
            .retain(|_, end| now.saturating_duration_since(*end) < DEPARTURE_TTL);
        std::mem::take(&mut self.events)
    }

    /// All hosts by name
    pub fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// Name of this host
    pub fn own_host(&self) -> &HostId {
        &self.host
    }

    /// Zone of this host
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Number of the list of hosts known here
    pub fn list_hash(&self) -> u64 {
        self.listing
    }

    /// The newest list of hosts, for a host that asks
    pub fn newest_list(&self) -> &[HostInfo] {
        &self.list
    }

    /// Heartbeat of this host
    pub fn heartbeat(&self, number: Version, held: &[Issuer], quarantined: &[u64]) -> Heartbeat {
        let own = &self.hosts[&self.host];
        Heartbeat {
            host: self.host.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            number,
            leaving: own.state == State::Leaving,
            quarantined: quarantined.to_vec(),
            peer: own.info.peer,
            caller: own.info.caller,
            listing: self.listing,
            held: held.to_vec(),
            stopping: self.news(),
        }
    }

    /// Processes that are to be passed on as stopping, the newest first
    fn news(&self) -> Vec<Issuer> {
        let passed_on = |at: &Instant| self.ticked.saturating_duration_since(*at) < SPREAD;
        let news = self.stopping.iter().filter(|(_, at)| passed_on(at));
        let mut news: Vec<_> = news.collect();
        news.sort_by_key(|(_, at)| Reverse(**at));
        let news = news.into_iter().take(MAX_STOPPING);
        news.map(|(process, _)| process.clone()).collect()
    }

    fn take(&mut self, now: Instant, entry: &HostInfo) {
        let near = entry.zone == self.zone;
        let starting = now.saturating_duration_since(self.started) < HEARTBEAT_TIMEOUT;
        let fresh = match (entry.leaving, near && !starting) {
            (true, _) => State::Leaving,
            (false, true) => State::Joining,
            (false, false) => State::Live,
        };
        let Some(host) = self.hosts.get_mut(&entry.host) else {
            let host = Host::new(now, entry.clone(), fresh);
            self.hosts.insert(entry.host.clone(), host);
            self.index(&entry.host, &entry.zone);
            if fresh == State::Live {
                self.events.push(Event::Joined(entry.host.clone()));
            }
            return;
        };
        let zone = std::mem::replace(&mut host.info, entry.clone()).zone;
        let stops = host.told_leaving || host.stops_until.is_some_and(|until| now < until);
        let state = match (entry.leaving || stops, host.state) {
            (true, State::Live | State::Joining) => State::Leaving,
            (false, State::Leaving) => State::Live,
            (_, state) => state,
        };
        self.index(&entry.host, &zone);
        self.change(now, &entry.host, state);
    }

    /// Put a host under its zone, where it was under `before`
    fn index(&mut self, name: &HostId, before: &ZoneId) {
        let zone = &self.hosts[name].info.zone;
        if zone != before
            && let Some(names) = self.zones.get_mut(before)
        {
            names.remove(name);
        }
        let names = self.zones.entry(zone.clone()).or_default();
        names.insert(name.clone());
    }

    fn due(&self, now: Instant, host: &Host) -> Option<Due> {
        if host.info.zone == self.zone {
            let gone = host.missing.is_some() || host.told_leaving;
            return match host.state {
                _ if host.silence(now) <= HEARTBEAT_TIMEOUT => None,
                _ if gone => Some(Due::Remove),
                State::Live | State::Joining => Some(Due::Change(State::Dead)),
                State::Leaving | State::Dead => None,
            };
        }
        let since = |moment: Instant| now.saturating_duration_since(moment);
        let missing = host.missing.map_or(Duration::ZERO, since);
        if missing.min(host.silence(now)) > UNLISTED_TTL {
            return Some(Due::Remove);
        }
        let avoided = host
            .avoided
            .is_some_and(|moment| since(moment) < UNREACHABLE_BACKOFF);
        let stops = host.told_leaving || host.stops_until.is_some_and(|until| now < until);
        let state = match host.info.leaving || stops {
            true => State::Leaving,
            false => State::Live,
        };
        match host.state {
            State::Dead if avoided => None,
            State::Dead | State::Leaving if host.state != state => Some(Due::Change(state)),
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
            self.ended.insert(name.clone(), now);
        }
        self.events.push(Event::Left(name.clone()));
    }

    fn change(&mut self, now: Instant, name: &HostId, state: State) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let before = std::mem::replace(&mut host.state, state);
        if before == state {
            return;
        }
        if before == State::Live && host.info.zone == self.zone {
            self.ended.insert(name.clone(), now);
        }
        match state {
            State::Live => self.events.push(Event::Joined(name.clone())),
            State::Dead => self.events.push(Event::Died(name.clone())),
            State::Leaving | State::Joining => {}
        }
    }

    /// Nothing was read during the pause, so the silence of the others says nothing
    fn wake(&mut self, now: Instant) {
        self.started = now;
        self.events.push(Event::Woke);
        for host in self.hosts.values_mut() {
            host.last_heard = host.last_heard.map(|_| now);
            host.since = now;
        }
    }
}

fn issuer(host: &HostId, incarnation: Incarnation) -> Issuer {
    Issuer {
        host: host.clone(),
        incarnation,
    }
}

/// Number that stands for a list of hosts
pub fn list_hash(listed: &[HostInfo]) -> u64 {
    let mut entries: Vec<_> = listed.iter().collect();
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

fn listed(heartbeat: &Heartbeat) -> HostInfo {
    HostInfo {
        host: heartbeat.host.clone(),
        zone: heartbeat.zone.clone(),
        peer: heartbeat.peer,
        caller: heartbeat.caller,
        operator: None,
        leaving: heartbeat.leaving,
    }
}

/// Take the incarnation of a heartbeat; says whether the heartbeat counts
fn supersede(
    host: &mut Host,
    now: Instant,
    incarnation: Incarnation,
    events: &mut Vec<Event>,
) -> bool {
    if host.incarnation == incarnation {
        return true;
    }
    let silent = host.silence(now) > HEARTBEAT_TIMEOUT;
    if host.former.contains(&incarnation) && !silent {
        return false;
    }
    host.former.retain(|former| *former != incarnation);
    if host.last_heard.is_some() {
        host.former.push(host.incarnation);
        let surplus = host.former.len().saturating_sub(FORMER);
        host.former.drain(..surplus);
        events.push(Event::Restarted(host.info.host.clone()));
    }
    host.incarnation = incarnation;
    true
}
