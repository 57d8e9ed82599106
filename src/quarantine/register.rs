//! Requests that crashed endpoints, as all hosts of a fleet know them together.
//!
//! A record is the set of endpoint runs that ended under a request. Hosts merge records by union,
//! so news may arrive late, twice or in any order. News of the first crash travels between hosts
//! only; from [`CRASH_THRESHOLD`] crashes on the record is also kept in the store, where hosts that
//! restart or were cut off find it.
//!
//! Requests that merely run on an endpoint when it crashes have the same first record as the one
//! that caused it. So a request is refused briefly after the second crash and for long only after
//! the third. A complete response clears the crashes known so far, and those that become known a
//! moment later. That travels like other news and outlasts late news of these crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::doubt::{Doubt, Doubts};
use super::{CRASH_THRESHOLD, Key, Keys, MAX_KEYS};

#[cfg(test)]
mod tests;

/// One run of an endpoint process: hash of its id and start time
pub type EndpointRun = u64;

/// Time for which a request is refused after its second, third and further crashes
///
/// The first is short, as the request may have run beside the one that crashes endpoints; the others
/// leave one trial an hour, then one a day.
const REFUSAL_TTLS: [Duration; 3] = [
    Duration::from_secs(6),
    Duration::from_secs(3600),
    Duration::from_secs(24 * 3600),
];

/// Ratio by which a host extends a refusal at random, so that hosts do not try a request again at
/// the same time
const MAX_TTL_EXTENSION: f64 = 0.6;

/// How long a request with one crash stays a suspect
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// How long a record with more crashes is kept after the last one
pub const RECORD_TTL: Duration = Duration::from_secs(24 * 3600);

/// Number of crashes up to which runs are collected; further ones do not change the refusal
const MAX_CRASHES: usize = 4;

/// Time for which a new record is told to other hosts: several report intervals of a large region
const NEWS_TTL: Duration = Duration::from_secs(3);

/// Maximum number of records in one report
pub const MAX_NEWS: usize = 16;

/// Number of cleared crashes of a request that are remembered
const MAX_CLEARED: usize = 8;

/// Probability with which a report to the own region repeats an older record that the store does not
/// hold yet, so that hosts that restart meanwhile hear of it
const REPEAT_RATIO: f64 = 0.1;

/// Time after a success during which crashes that become known are not attributed to the request
const SUCCESS_TTL: Duration = Duration::from_secs(5);

/// Number of recent successes that are remembered
const SUCCESS_SLOTS: usize = 8192;

/// Retry delay while a trial of the same request is running on this host
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What hosts tell each other of one request
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Endpoint runs that ended under the request
    pub crashed: BTreeSet<EndpointRun>,
    /// Endpoint runs that do not count, since the request succeeded after their end
    pub cleared: BTreeSet<EndpointRun>,
    /// Time since the last of these crashes
    pub age: Duration,
}

/// Where a record comes from
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This host saw the crash
    Own,
    /// A host of the same region
    Region,
    /// A host of another region
    Elsewhere,
    /// The store
    Store,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Crashes that count; none if all are cleared
    crashed: BTreeSet<EndpointRun>,
    cleared: BTreeSet<EndpointRun>,
    /// Age of the last crash at `changed_at`
    age: Duration,
    /// Time at which this host learned of the last crash or success
    changed_at: Instant,
    source: Source,
    refused_for: Duration,
    /// Runs on which this host runs the request now
    running_on: Vec<EndpointRun>,
    /// Crashes that the store holds
    stored: BTreeSet<EndpointRun>,
    /// Time from which this host may write the record to the store
    save_at: Instant,
}

impl Entry {
    fn age(&self, now: Instant) -> Duration {
        self.age + now.saturating_duration_since(self.changed_at)
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = match self.crashed.len() {
            ..CRASH_THRESHOLD => SUSPECT_TTL,
            _ => RECORD_TTL,
        };
        self.age(now) >= ttl
    }

    /// Returns whether the store's record leads to the same refusal as this one
    fn is_stored(&self) -> bool {
        self.stored.is_superset(&self.crashed) || self.stored.len() >= MAX_CRASHES
    }

    /// Clears the crashes known so far because this host saw a success; returns whether there were any
    fn clear_all(&mut self, now: Instant) -> bool {
        let crashed = self.crashed.clone();
        if !self.clear(&crashed) {
            return false;
        }
        // The success is remembered for as long as a crash at this moment would be.
        self.age = Duration::ZERO;
        self.changed_at = now;
        self.source = Source::Own;
        true
    }

    /// Clears crashes, also those that become known later; returns whether one counted until now
    fn clear(&mut self, runs: &BTreeSet<EndpointRun>) -> bool {
        let known = self.crashed.len();
        self.crashed.retain(|run| !runs.contains(run));
        self.cleared.extend(runs);
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_first();
        }
        self.refused_for = refusal_ttl(self.crashed.len());
        self.crashed.len() < known
    }

    /// Returns whether the record belongs into the store and is not there
    fn is_unsaved(&self) -> bool {
        self.crashed.len() >= CRASH_THRESHOLD && !self.is_stored()
    }

    fn record(&self, now: Instant) -> Record {
        Record {
            crashed: self.crashed.clone(),
            cleared: self.cleared.clone(),
            age: self.age(now),
        }
    }
}

/// Requests that crashed endpoints, as one host knows them
#[derive(Debug, Default)]
pub struct Register {
    entries: BTreeMap<Key, Entry>,
    /// Latest attempts without an answer
    doubts: Doubts,
    /// Recent successes, each in the slot of its key
    successes: Vec<Option<(Key, Instant)>>,
}

impl Register {
    /// Creates an empty register
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this host saw an endpoint crash with a request in flight
    ///
    /// Returns the number of crashes that count: 0 if the request succeeded a moment ago.
    pub fn record_crash(&mut self, now: Instant, key: Key, run: EndpointRun) -> usize {
        let record = Record {
            crashed: BTreeSet::from([run]),
            ..Record::default()
        };
        self.merge(now, key, &record, Source::Own, Duration::ZERO);
        self.crash_count(key)
    }

    /// Returns the number of crashes under a key that count
    pub fn crash_count(&self, key: Key) -> usize {
        let entry = self.entries.get(&key);
        entry.map_or(0, |entry| entry.crashed.len())
    }

    /// Records that an endpoint gave no answer to a request
    pub fn record_silence(
        &mut self,
        now: Instant,
        keys: Keys,
        run: EndpointRun,
        address: SocketAddr,
    ) {
        self.doubts.record(Doubt {
            ended_at: now,
            keys,
            run,
            address,
        });
    }

    /// Records that an endpoint started; returns the requests during which the one that had its
    /// address crashed
    pub fn record_endpoint_start(
        &mut self,
        now: Instant,
        run: EndpointRun,
        address: SocketAddr,
    ) -> Vec<Keys> {
        let resolved = self.doubts.resolve(now, run, address).into_iter();
        let crashed = resolved.filter(|doubt| doubt.keys.record_crash(self, now, doubt.run) > 0);
        crashed.map(|doubt| doubt.keys).collect()
    }

    /// Merges a record; returns whether it tells of a crash or success that was not known
    ///
    /// If the store does not hold the result, this host writes it after `save_delay`.
    pub fn merge(
        &mut self,
        now: Instant,
        key: Key,
        record: &Record,
        source: Source,
        save_delay: Duration,
    ) -> bool {
        if record.crashed.is_empty() && record.cleared.is_empty() {
            return false;
        }
        if !self.entries.contains_key(&key) {
            self.make_room(now);
        }
        let succeeded_lately = self.succeeded_lately(now, key);
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            crashed: BTreeSet::new(),
            cleared: BTreeSet::new(),
            age: record.age,
            changed_at: now,
            source,
            refused_for: Duration::ZERO,
            running_on: Vec::new(),
            stored: BTreeSet::new(),
            save_at: now,
        });
        if source == Source::Store {
            entry.stored.extend(&record.crashed);
        }
        let was_unsaved = entry.is_unsaved();
        let is_cleared = entry.clear(&record.cleared);
        let room = MAX_CRASHES.saturating_sub(entry.crashed.len());
        let is_known =
            |run: &&EndpointRun| entry.crashed.contains(run) || entry.cleared.contains(run);
        let new = record
            .crashed
            .iter()
            .filter(|run| !is_known(run))
            .take(room);
        let new: Vec<EndpointRun> = new.copied().collect();
        if new.is_empty() && !is_cleared {
            return false;
        }
        entry.age = match entry.crashed.is_empty() {
            true => record.age,
            false => record.age.min(entry.age(now)),
        };
        entry.crashed.extend(new);
        entry.changed_at = now;
        entry.source = source;
        entry.save_at = match was_unsaved {
            true => entry.save_at.min(now + save_delay),
            false => now + save_delay,
        };
        entry.refused_for = refusal_ttl(entry.crashed.len());
        if succeeded_lately {
            entry.clear_all(now);
        }
        true
    }

    /// Records a complete response; returns whether it cleared a crash
    pub fn record_success(&mut self, now: Instant, key: Key) -> bool {
        if self.successes.is_empty() {
            self.successes = vec![None; SUCCESS_SLOTS];
        }
        self.successes[success_slot(key)] = Some((key, now));
        let entry = self.entries.get_mut(&key);
        entry.is_some_and(|entry| entry.clear_all(now))
    }

    /// Clears the crashes of a record that was deleted from the store
    pub fn forget(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            let stored = std::mem::take(&mut entry.stored);
            entry.clear(&stored);
        }
    }

    /// Drops the records that the store held and that a complete list of it no longer has
    ///
    /// The list may come from a host that is behind, so later news of such a request still count.
    pub fn retain_stored(&mut self, listed: &BTreeSet<Key>) {
        let missing = self.entries.iter().filter(|(key, entry)| {
            !entry.stored.is_empty() && entry.is_stored() && !listed.contains(key)
        });
        let missing: Vec<Key> = missing.map(|(key, _)| *key).collect();
        for key in missing {
            self.entries.remove(&key);
        }
    }

    /// Returns the time until the request is accepted again, if it is refused now; `ratio` is the part
    /// of the refusal that applies
    pub fn retry_after(&self, now: Instant, key: Key, ratio: f64) -> Option<Duration> {
        let entry = self.entries.get(&key)?;
        if entry.crashed.len() < CRASH_THRESHOLD {
            return None;
        }
        let refused_for = entry.refused_for.mul_f64(ratio);
        let remaining = refused_for.saturating_sub(entry.age(now));
        if !remaining.is_zero() {
            return Some(remaining);
        }
        // A trial shows more if it is the only one.
        (!entry.running_on.is_empty()).then_some(TRIAL_RETRY_DELAY)
    }

    /// Returns the endpoint runs that a suspect with these keys must not use: those that it crashed,
    /// and those on which another suspect is running, since a crash would not tell the two apart
    pub fn excluded_runs(&self, keys: &[Key]) -> BTreeSet<EndpointRun> {
        let suspects = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.crashed.is_empty());
        let (own, others): (Vec<_>, Vec<_>) = suspects.partition(|(key, _)| keys.contains(key));
        if own.is_empty() {
            return BTreeSet::new();
        }
        let crashed = own.iter().flat_map(|(_, entry)| &entry.crashed);
        let occupied = others.iter().flat_map(|(_, entry)| &entry.running_on);
        crashed.chain(occupied).copied().collect()
    }

    /// Records that the request starts on an endpoint
    pub fn record_start(&mut self, key: Key, run: EndpointRun) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.running_on.push(run);
        }
    }

    /// Records that the request ended on an endpoint, with any outcome
    pub fn record_end(&mut self, key: Key, run: EndpointRun) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if let Some(index) = entry.running_on.iter().position(|other| *other == run) {
            entry.running_on.swap_remove(index);
        }
    }

    /// Returns the records to tell other hosts, at most [`MAX_NEWS`]
    ///
    /// What a host of this region told is not told there again. Records that belong into the store
    /// and are not there yet are repeated until they are.
    pub fn news(&self, now: Instant, to_own_region: bool) -> Vec<(Key, Record)> {
        let is_news = |entry: &Entry| {
            let is_new = now < entry.changed_at + NEWS_TTL;
            let is_known_there = to_own_region && entry.source == Source::Region;
            let is_repeated = !to_own_region || fastrand::f64() < REPEAT_RATIO;
            (entry.is_unsaved() && is_repeated)
                || (is_new && !is_known_there && entry.source != Source::Store)
        };
        let mut news: Vec<(&Key, &Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_news(entry))
            .collect();
        if news.len() > MAX_NEWS {
            // Over several reports, all of them are told.
            fastrand::shuffle(&mut news);
            news.truncate(MAX_NEWS);
        }
        news.into_iter()
            .map(|(key, entry)| (*key, entry.record(now)))
            .collect()
    }

    /// Returns a record that this host is to write to the store now
    pub fn next_unsaved(&self, now: Instant) -> Option<(Key, Record)> {
        let is_due = |entry: &Entry| entry.is_unsaved() && entry.save_at <= now;
        let due = self.entries.iter().find(|(_, entry)| is_due(entry));
        due.map(|(key, entry)| (*key, entry.record(now)))
    }

    /// Marks all records as missing in the store; each is written from the time that `save_at` returns
    pub fn mark_unsaved(&mut self, save_at: impl Fn() -> Instant) {
        for entry in self.entries.values_mut() {
            entry.stored.clear();
            entry.save_at = save_at();
        }
    }

    /// Postpones the next write of a record to the store
    pub fn postpone_save(&mut self, key: Key, until: Instant) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.save_at = until;
        }
    }

    /// Returns whether these crashes of a request are all cleared
    pub fn is_cleared(&self, key: Key, crashed: &BTreeSet<EndpointRun>) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|entry| entry.cleared.is_superset(crashed))
    }

    /// Returns the number of requests with at least `crashes` crashes
    pub fn count(&self, crashes: usize) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.crashed.len() >= crashes)
            .count()
    }

    /// Removes what is expired
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    fn succeeded_lately(&self, now: Instant, key: Key) -> bool {
        let success = self.successes.get(success_slot(key)).copied().flatten();
        success.is_some_and(|(other, at)| other == key && now < at + SUCCESS_TTL)
    }

    /// Drops the entry with the fewest crashes, the oldest of them, if the register is full
    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < MAX_KEYS {
            return;
        }
        let least = self.entries.iter().min_by_key(|(_, entry)| {
            let age = std::cmp::Reverse(entry.age(now));
            (entry.crashed.len(), age)
        });
        if let Some(key) = least.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }
}

fn success_slot(key: Key) -> usize {
    (key % SUCCESS_SLOTS as u64) as usize
}

fn refusal_ttl(crashes: usize) -> Duration {
    let Some(index) = crashes.checked_sub(CRASH_THRESHOLD) else {
        return Duration::ZERO;
    };
    let ttl = REFUSAL_TTLS[index.min(REFUSAL_TTLS.len() - 1)];
    ttl.mul_f64(1.0 + MAX_TTL_EXTENSION * fastrand::f64())
}
