//! Load at the endpoints as other hosts report it.
//!
//! A choice looks at all endpoints of a service, hundreds of them, and a region has tens of hosts. The
//! sums over the hosts are therefore kept, so that a look-up does not depend on their number.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id::HostId;

/// Age at which a report of another host expires, several report intervals
pub const HOST_REPORT_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct HostReport {
    received_at: Instant,
    running: BTreeMap<u32, u32>,
}

impl HostReport {
    fn is_valid(&self, now: Instant) -> bool {
        now < self.received_at + HOST_REPORT_TIMEOUT
    }
}

/// Latest reports of the other hosts: requests in flight by short endpoint ID
#[derive(Debug, Default)]
pub struct HostReports {
    reports: BTreeMap<HostId, HostReport>,
    /// Sum of all reports
    total: BTreeMap<u32, u32>,
    /// Time of the oldest report
    oldest: Option<Instant>,
}

impl HostReports {
    /// Records the report of a host in place of its last one, and drops expired ones
    pub fn record(&mut self, now: Instant, host: HostId, running: BTreeMap<u32, u32>) {
        for (id, count) in &running {
            *self.total.entry(*id).or_default() += count;
        }
        let report = HostReport {
            received_at: now,
            running,
        };
        if let Some(previous) = self.reports.insert(host, report) {
            self.subtract(&previous);
        }
        let is_expired = |(_, report): &(&HostId, &HostReport)| !report.is_valid(now);
        let expired = self.reports.iter().filter(is_expired);
        let expired: Vec<HostId> = expired.map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.remove(&host);
        }
        self.update_oldest();
    }

    /// Removes the report of a host that left
    pub fn remove(&mut self, host: &HostId) {
        if let Some(report) = self.reports.remove(host) {
            self.subtract(&report);
            self.update_oldest();
        }
    }

    /// Returns the number of requests at an endpoint from other hosts
    pub fn load(&self, now: Instant, short_id: u32) -> u32 {
        let has_expired = self
            .oldest
            .is_some_and(|oldest| now >= oldest + HOST_REPORT_TIMEOUT);
        if !has_expired {
            return self.total.get(&short_id).copied().unwrap_or_default();
        }
        let reports = self.reports.values();
        let reports = reports.filter(|report| report.is_valid(now));
        reports
            .filter_map(|report| report.running.get(&short_id))
            .sum()
    }

    fn subtract(&mut self, report: &HostReport) {
        for (id, count) in &report.running {
            if let Some(total) = self.total.get_mut(id) {
                *total -= count;
                if *total == 0 {
                    self.total.remove(id);
                }
            }
        }
    }

    fn update_oldest(&mut self) {
        let times = self.reports.values().map(|report| report.received_at);
        self.oldest = times.min();
    }
}
