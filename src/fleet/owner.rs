//! Which host decides for all about something, and since when.
//!
//! The owner of a key is the first by rendezvous hashing among the live hosts of a region, so that all
//! hosts name the same one without asking. Views differ for a moment after a host has come or gone,
//! so the owner itself knows how long it has been one and can wait until the others know.

use std::time::{Duration, Instant};

use super::{Fleet, Member, SMALL_FLEET_HOSTS, load_report_interval};
use crate::id::HostId;
use crate::util::stable_hash;

#[cfg(test)]
mod tests;

/// Number of reports in a row that a live host may fail to deliver, and the shortest silence that
/// counts as its end
const MAX_MISSED_REPORTS: u32 = 3;
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Host that decides about a key
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the host
    pub host: HostId,
    /// Time of the last change that made it the owner, as this host saw it; `None` without one
    pub since: Option<Instant>,
}

/// Hosts of a region among which owners are chosen
#[derive(Clone, Debug)]
pub struct Electorate<'a> {
    live: Vec<(&'a HostId, Option<Instant>)>,
    /// Hosts that were removed or are silent, and since when
    gone: Vec<(&'a HostId, Instant)>,
}

impl Electorate<'_> {
    /// Returns the owner of a key, `None` if no host is live
    pub fn owner(&self, key: &str) -> Option<Owner> {
        let rank = |host: &HostId| stable_hash(&(key, host));
        let (host, listed_at) = self.live.iter().max_by_key(|(host, _)| rank(host))?;
        let own_rank = rank(host);
        let ahead = self.gone.iter().filter(|(host, _)| rank(host) > own_rank);
        let last_gone = ahead.map(|(_, at)| *at).max();
        Some(Owner {
            host: (*host).clone(),
            since: last_gone.max(*listed_at),
        })
    }
}

impl Fleet {
    /// Returns the hosts of a region, or of all regions if it has none, among which owners are chosen
    ///
    /// A listed host that does not report counts as gone only if `is_list_outdated`: otherwise the hosts
    /// that hear it would still choose it. Hosts that are `passed_over` count as gone, too.
    pub fn electorate(
        &self,
        now: Instant,
        region: &str,
        is_list_outdated: bool,
        passed_over: impl Fn(&HostId) -> bool,
    ) -> Electorate<'_> {
        let hosts_in_region = self.count_in_region(region);
        let is_in_scope = |host_region: &str| hosts_in_region == 0 || host_region == region;
        let silence = load_report_interval(hosts_in_region) * MAX_MISSED_REPORTS;
        let silence = silence.max(MIN_SILENCE);
        let mut live = Vec::new();
        let departed = self.departed.iter();
        let departed = departed.filter(|(_, (member, _))| is_in_scope(&member.region));
        let mut gone: Vec<(&HostId, Instant)> =
            departed.map(|(host, (_, at))| (host, *at)).collect();
        for member in self.members.values() {
            if !is_in_scope(&member.region) {
                continue;
            }
            let host = &member.host;
            let silent_since = self.silent_since(now, member, silence);
            match silent_since.filter(|_| is_list_outdated) {
                Some(since) => gone.push((host, since)),
                None if passed_over(host) => gone.push((host, now)),
                None => live.push((host, self.listed_at.get(host).copied())),
            }
        }
        Electorate { live, gone }
    }

    /// Returns since when a host counts as gone because it does not report
    fn silent_since(&self, now: Instant, member: &Member, silence: Duration) -> Option<Instant> {
        if member.host == self.own {
            return None;
        }
        let own_region = self.own_member().map(|own| &own.region);
        if self.size() > SMALL_FLEET_HOSTS && own_region != Some(&member.region) {
            // Hosts of other regions report seldom.
            return None;
        }
        let last_heard = self.last_heard.get(&member.host);
        let last_heard = last_heard.max(self.listed_at.get(&member.host))?;
        (*last_heard + silence <= now).then_some(*last_heard + silence)
    }
}
