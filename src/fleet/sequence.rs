//! Which of a host's reports is the newest one: datagrams may come late, twice or in another order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use crate::id::HostId;

use super::DEMAND_REPORT_TTL;

#[cfg(test)]
mod tests;

/// Time after which a lower number is taken for one of a host that has started again with an earlier
/// clock; what an older report would replace has expired then
const LOWER_TTL: Duration = DEMAND_REPORT_TTL;

/// Returns the number before the first report of a process
///
/// It is the time of day in microseconds, and a host sends less than one report in each of them, so that
/// the numbers of the next process at its address are higher.
pub fn first_sequence(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(1, |since| since.as_micros() as u64)
}

/// Numbers of the latest reports by host, and when they came
#[derive(Debug, Default)]
pub struct Sequences(BTreeMap<HostId, (u64, Instant)>);

impl Sequences {
    /// Records the number of a report, 0 for none; returns whether it is newer than those before
    pub fn record(&mut self, now: Instant, host: &HostId, sequence: u64) -> bool {
        if sequence == 0 {
            // Hosts of earlier versions state no numbers.
            return true;
        }
        let latest = self.0.get(host);
        let is_older = latest.is_some_and(|(latest, received_at)| {
            sequence <= *latest && now.saturating_duration_since(*received_at) < LOWER_TTL
        });
        if !is_older {
            self.0.insert(host.clone(), (sequence, now));
        }
        !is_older
    }

    /// Drops the numbers of all hosts but those that `is_kept` selects
    pub fn retain(&mut self, is_kept: impl Fn(&HostId) -> bool) {
        self.0.retain(|host, _| is_kept(host));
    }
}
