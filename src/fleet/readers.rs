//! Hosts that read the store, and from which the others replicate.
//!
//! The store counts each waiting watch, so the number of readers must not grow with the fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Fleet, Member};
use crate::id::HostId;
use crate::util::stable_hash;

#[cfg(test)]
mod tests;

/// Number of hosts per region that read the store directly; two, so that one may fail unnoticed
pub const READERS_PER_REGION: usize = 2;

/// Ratio to the strongest host's weight from which a host counts as strong
///
/// Machines come in few sizes, which differ by more than this.
const MIN_STRONG_WEIGHT_RATIO: f64 = 0.5;

/// How long a host that cannot read the store, or cannot be reached, is no reader
const READER_FAILURE_TTL: Duration = Duration::from_secs(5);

/// How long after it was known to read the store a host counts as such; long enough for the news to
/// pass through two other hosts
const STORE_READER_TTL: Duration = Duration::from_secs(3);

/// Number of timeouts after which a heartbeat is forgotten: the host has not been a reader lately
const HEARTBEAT_TTL_TIMEOUTS: u32 = 4;

/// What is known of the hosts as readers
#[derive(Debug, Default)]
pub struct Observations {
    /// Hosts that cannot read the store, and until when they are not chosen as readers
    failed: BTreeMap<HostId, Instant>,
    /// Hosts that read the store, and when they last did
    reading: BTreeMap<HostId, Instant>,
    /// Hosts that send heartbeats, as others follow them
    heartbeats: BTreeMap<HostId, Heartbeat>,
}

/// Last heartbeat of a host
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    received_at: Instant,
    /// How long the host may be silent after it
    timeout: Duration,
}

/// Whether a host failed as a reader, is weak, does not read the store yet, and a hash of its name;
/// the lowest go first
type Rank = (bool, bool, bool, u64);

impl Fleet {
    /// Returns the hosts of a region that read the store directly; the others replicate from them
    ///
    /// A host without a report within `timeout` may be partitioned and is excluded, and so is one whose
    /// heartbeats stopped. The readers are in different zones if there are candidates. A weak host is
    /// chosen only if there are not enough strong ones, and one that cannot read the store only if no
    /// other host can: when many hosts switch to it at once, as
    /// after the failure of the other reader, the lists that it sends delay its own reports, and it
    /// appears to have failed, too. Among equals, hosts that read the store already go first.
    pub fn readers(&self, now: Instant, region: &str, timeout: Duration) -> Vec<&Member> {
        self.rank_readers(now, region, |member| {
            let last_heard = self.last_heard.get(&member.host);
            let is_heard = last_heard.is_some_and(|at| now < *at + timeout);
            member.host == self.own || (is_heard && !self.is_overdue(now, &member.host))
        })
    }

    /// Returns the other hosts of a region that are likely to be readers, whether they reported or not
    pub fn likely_readers(&self, now: Instant, region: &str) -> Vec<&Member> {
        self.rank_readers(now, region, |member| {
            member.host != self.own && !self.is_overdue(now, &member.host)
        })
    }

    fn rank_readers(
        &self,
        now: Instant,
        region: &str,
        is_candidate: impl Fn(&Member) -> bool,
    ) -> Vec<&Member> {
        let candidates: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.region == region && member.control.is_some())
            .filter(|member| is_candidate(member))
            .collect();
        let max_weight = candidates
            .iter()
            .map(|member| member.weight)
            .fold(0.0, f64::max);
        let mut ranked: Vec<(Rank, &Member)> = candidates
            .into_iter()
            .map(|member| {
                let has_failed = self.has_failed_as_reader(now, &member.host);
                let is_weak = member.weight < max_weight * MIN_STRONG_WEIGHT_RATIO;
                let is_idle = !self.reads_store(now, &member.host);
                let hash = stable_hash(&("reader", &member.host));
                ((has_failed, is_weak, is_idle, hash), member)
            })
            .collect();
        ranked.sort_by(|(a, first), (b, second)| a.cmp(b).then(first.host.cmp(&second.host)));
        // A zone that is cut off or loses power must not take all readers with it.
        if let Some(zone) = ranked.first().map(|(_, first)| first.zone.clone()) {
            let is_near_first = |member: &Member| member.zone == zone;
            ranked[1..].sort_by_key(|((has_failed, is_weak, ..), member)| {
                (*has_failed, *is_weak, is_near_first(member))
            });
        }
        ranked.truncate(READERS_PER_REGION);
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Records that a host cannot read the store, or cannot be reached at its control port
    pub fn record_reader_failure(&mut self, now: Instant, host: &HostId) {
        self.readers.failed.retain(|_, until| now < *until);
        self.readers
            .failed
            .insert(host.clone(), now + READER_FAILURE_TTL);
        self.readers.reading.remove(host);
    }

    /// Returns whether a host could not be used as a reader lately
    pub fn has_failed_as_reader(&self, now: Instant, host: &HostId) -> bool {
        let until = self.readers.failed.get(host);
        until.is_some_and(|until| now < *until)
    }

    /// Records that a host read the store at a time
    pub fn record_store_reader(&mut self, at: Instant, host: &HostId) {
        self.readers.failed.remove(host);
        let last = self.readers.reading.entry(host.clone()).or_insert(at);
        *last = at.max(*last);
    }

    /// Records that another host heard of one that read the store at a time
    pub fn record_store_reader_heard(&mut self, at: Instant, host: &HostId) {
        if *host != self.own && self.members.contains_key(host) {
            let last = self.readers.reading.entry(host.clone()).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Records a heartbeat of a host, which gives a sign of life within `timeout` after each
    pub fn record_heartbeat(&mut self, now: Instant, host: &HostId, timeout: Duration) {
        self.last_heard.insert(host.clone(), now);
        self.unresponsive.remove(host);
        let heartbeat = Heartbeat {
            received_at: now,
            timeout,
        };
        self.readers.heartbeats.insert(host.clone(), heartbeat);
    }

    /// Records that a host sends no more heartbeats
    pub fn forget_heartbeats(&mut self, host: &HostId) {
        self.readers.heartbeats.remove(host);
    }

    /// Returns whether a host that sent heartbeats has been silent for too long
    pub fn is_overdue(&self, now: Instant, host: &HostId) -> bool {
        let Some(heartbeat) = self.readers.heartbeats.get(host) else {
            return false;
        };
        let is_recent = now < heartbeat.received_at + heartbeat.timeout * HEARTBEAT_TTL_TIMEOUTS;
        let silence = self.silence(now, host);
        is_recent && silence.is_some_and(|silence| silence >= heartbeat.timeout)
    }

    /// Records that a host does not read the store any more
    pub fn forget_store_reader(&mut self, host: &HostId) {
        self.readers.reading.remove(host);
    }

    /// Returns whether a host reads the store, as far as this one knows
    pub fn reads_store(&self, now: Instant, host: &HostId) -> bool {
        let last = self.readers.reading.get(host);
        last.is_some_and(|last| now < *last + STORE_READER_TTL)
    }

    /// Returns the other hosts that read the store, and for how long they have not been heard to
    pub fn store_readers(&self, now: Instant) -> impl Iterator<Item = (&Member, Duration)> {
        let reading = self.readers.reading.iter();
        let recent = reading.filter(move |(host, last)| {
            let is_recent = now < **last + STORE_READER_TTL;
            is_recent && **host != self.own && !self.is_overdue(now, host)
        });
        recent.filter_map(move |(host, last)| {
            let member = self.members.get(host)?;
            Some((member, now.saturating_duration_since(*last)))
        })
    }
}
