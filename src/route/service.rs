//! Routing state of one service on one host: the distribution of requests by share, and the spill
//! budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::zone::ZoneState;
use crate::config::{Cap, Shares};
use crate::id::ZoneId;
use crate::wire::Reason;

/// Number of times per window that changed shares are added to the history
const HISTORY_SAMPLES_PER_WINDOW: u32 = 16;

/// Share below which a zone gets no requests
const MIN_SHARE: f64 = 1e-9;

/// Fraction of the spill budget of a window that may be spent at once
const SPILL_BURST_RATIO: f64 = 0.1;

/// Routing state of one service
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Backoff state of each zone
    pub zones: BTreeMap<ZoneId, ZoneState>,
    /// Budget of spilled requests
    pub spill_budget: SpillBudget,
    /// Round-robin position that spreads spill over equally near zones
    pub rotation: usize,
    history: VecDeque<(Instant, Shares)>,
    latest: Option<(Instant, Shares)>,
    flows: Vec<Flow>,
}

/// Requests that go to one zone for one reason
#[derive(Clone, Debug)]
pub struct Flow {
    /// Upstream zone
    pub zone: ZoneId,
    /// Reason for sending the requests to the zone: share or shift
    pub reason: Reason,
    /// Fraction of all requests
    pub weight: f64,
    credit: f64,
}

impl ServiceState {
    /// Applies the shares in force
    pub fn update_shares(
        &mut self,
        now: Instant,
        shares: &Shares,
        window: Duration,
        rng: &mut Rng,
    ) {
        let interval = window / HISTORY_SAMPLES_PER_WINDOW;
        let is_current = |(at, last): &(Instant, Shares)| last == shares && now < *at + interval;
        if self.latest.as_ref().is_some_and(is_current) {
            return;
        }
        self.latest = Some((now, shares.clone()));
        let is_due = |(at, last): &(Instant, Shares)| last != shares && now >= *at + interval;
        if self.history.back().is_none_or(is_due) {
            self.history.push_back((now, shares.clone()));
        }
        while self.history.len() > 1 && self.history[1].0 + window <= now {
            self.history.pop_front();
        }
        self.rebuild_flows(shares, rng);
    }

    /// Returns the lowest share that a zone had within the window
    ///
    /// What the zone has above it counts as shifted.
    pub fn baseline_share(&self, zone: &ZoneId) -> f64 {
        let shares = self.history.iter().map(|(_, shares)| shares.get(zone));
        let shares = shares.map(|share| share.copied().unwrap_or(0.0));
        shares.reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns the zones whose share fell within the window, and by how much
    pub fn losing_zones<'a>(
        &'a self,
        shares: &'a Shares,
    ) -> impl Iterator<Item = (&'a ZoneId, f64)> {
        let (_, oldest) = self.history.front().expect("shares were applied before");
        oldest.iter().filter_map(|(zone, before)| {
            let lost = before - shares.get(zone).copied().unwrap_or(0.0);
            (lost > MIN_SHARE).then_some((zone, lost))
        })
    }

    /// Returns the zone of the next request, by smooth weighted round-robin
    ///
    /// Over any run of requests, the count of each flow differs from its weight by at most a small
    /// constant.
    pub fn next_zone(&mut self) -> Option<(ZoneId, Reason)> {
        for flow in &mut self.flows {
            flow.credit += flow.weight;
        }
        let next = self
            .flows
            .iter_mut()
            .max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        next.credit -= 1.0;
        Some((next.zone.clone(), next.reason))
    }

    fn rebuild_flows(&mut self, shares: &Shares, rng: &mut Rng) {
        let previous = std::mem::take(&mut self.flows);
        for (zone, share) in shares {
            let baseline = self.baseline_share(zone).min(*share);
            for (reason, weight) in [(Reason::Share, baseline), (Reason::Shift, share - baseline)] {
                let existing = previous
                    .iter()
                    .find(|flow| flow.zone == *zone && flow.reason == reason);
                // A random start keeps hosts that start together from sending to the same zone at
                // the same time.
                let credit = existing.map_or_else(|| rng.f64() - 0.5, |flow| flow.credit);
                if weight > MIN_SHARE {
                    self.flows.push(Flow {
                        zone: zone.clone(),
                        reason,
                        weight,
                        credit,
                    });
                }
            }
        }
    }
}

/// Token bucket for spilled requests, filled by a fraction of a token per request
#[derive(Debug, Default)]
pub struct SpillBudget {
    tokens: f64,
    is_unlimited: bool,
    window_start: Option<Instant>,
    window_requests: u32,
    previous_requests: u32,
}

impl SpillBudget {
    /// Records a request and adds what it earns to the budget
    pub fn record_request(&mut self, now: Instant, cap: &Cap) {
        self.is_unlimited = cap.share >= 1.0;
        let is_first = self.window_start.is_none();
        if self
            .window_start
            .is_none_or(|start| start + cap.window <= now)
        {
            self.window_start = Some(now);
            self.previous_requests = std::mem::take(&mut self.window_requests);
        }
        self.window_requests += 1;
        let burst = if cap.share > 0.0 {
            (cap.share * f64::from(self.previous_requests) * SPILL_BURST_RATIO).max(1.0)
        } else {
            0.0
        };
        let earned = if is_first {
            burst
        } else {
            cap.share * (1.0 - SPILL_BURST_RATIO)
        };
        self.tokens = (self.tokens + earned).min(burst + cap.share);
    }

    /// Returns whether a request may be spilled
    pub fn is_available(&self) -> bool {
        self.is_unlimited || self.tokens >= 1.0
    }

    /// Takes a token for a spilled request; returns `false` if there is none
    pub fn try_take(&mut self) -> bool {
        if !self.is_available() {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }
}
