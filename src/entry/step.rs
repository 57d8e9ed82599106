//! Reporter of planned shifts that operators are told about.

use std::collections::BTreeMap;

use crate::config::Shares;
use crate::id::ServiceId;
use crate::shift;

/// Part of the traffic whose move makes a step
pub const STEP_RATIO: f64 = 0.05;

/// Distance below which shares are equal
const EQUAL: f64 = 1e-6;

/// Shares that operators were told last
#[derive(Debug, Default)]
pub struct Reporter {
    told: BTreeMap<ServiceId, Shares>,
}

impl Reporter {
    /// Text to tell now: after each step and at the end of a shift
    pub fn next_report(
        &mut self,
        service: &ServiceId,
        now: &Shares,
        target: &Shares,
    ) -> Option<String> {
        let Some(told) = self.told.get(service) else {
            self.told.insert(service.clone(), now.clone());
            return None;
        };
        let moved = shift::distance(told, now);
        let arrived = shift::distance(now, target) < EQUAL;
        if moved < STEP_RATIO && !(arrived && moved > EQUAL) {
            return None;
        }
        self.told.insert(service.clone(), now.clone());
        let end = if arrived { "arrived" } else { "on the way" };
        Some(format!(
            "{} ({end}, policy asks for {})",
            text(now),
            text(target)
        ))
    }
}

fn text(shares: &Shares) -> String {
    let shares = shares.iter().filter(|(_, share)| **share > 0.0);
    let shares: Vec<String> = shares
        .map(|(zone, share)| format!("{zone} {share:.3}"))
        .collect();
    shares.join(" ")
}
