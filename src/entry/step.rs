//! Progress reports of planned shifts for operators.

use std::collections::BTreeMap;

use crate::config::Shares;
use crate::id::ServiceId;
use crate::shift;

/// Share of the traffic that must move before the next report
pub const STEP_RATIO: f64 = 0.05;

/// Distance below which two sets of shares count as equal
const EQUAL_SHARES_TOLERANCE: f64 = 1e-6;

/// Reporter that keeps the last reported shares of each service
#[derive(Debug, Default)]
pub struct Reporter {
    reported: BTreeMap<ServiceId, Shares>,
}

impl Reporter {
    /// Returns the report that is due, after each step and at the end of a shift
    pub fn next_report(
        &mut self,
        service: &ServiceId,
        now: &Shares,
        target: &Shares,
    ) -> Option<String> {
        let Some(reported) = self.reported.get(service) else {
            self.reported.insert(service.clone(), now.clone());
            return None;
        };
        let moved = shift::distance(reported, now);
        let has_arrived = shift::distance(now, target) < EQUAL_SHARES_TOLERANCE;
        if moved < STEP_RATIO && !(has_arrived && moved > EQUAL_SHARES_TOLERANCE) {
            return None;
        }
        self.reported.insert(service.clone(), now.clone());
        let state = if has_arrived {
            "arrived"
        } else {
            "in progress"
        };
        Some(format!(
            "{} ({state}, target {})",
            format_shares(now),
            format_shares(target)
        ))
    }
}

fn format_shares(shares: &Shares) -> String {
    let shares = shares.iter().filter(|(_, share)| **share > 0.0);
    let shares: Vec<String> = shares
        .map(|(zone, share)| format!("{zone} {share:.3}"))
        .collect();
    shares.join(" ")
}
