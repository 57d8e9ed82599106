//! Requests to cold endpoints, as one host's part of a bound over the whole fleet.
//!
//! A few hosts of the endpoint's region, the same in everyone's view, may use a cold endpoint, each
//! at its part of the tolerated rate. Together they stay within the rate plus one request each, also
//! while their views of the fleet differ by a host.

use std::time::{Duration, Instant};

use super::Gateway;
use crate::catalog::Endpoint;
use crate::id::HostId;
use crate::util::stable_hash;

/// Hosts that may use a cold endpoint at a time
const USERS: usize = 2;

/// Tokens of one cold endpoint on this host
#[derive(Clone, Copy, Debug)]
pub struct Tokens {
    count: f64,
    at: Instant,
}

/// Hosts that may use a cold endpoint, among the hosts of its region
pub fn users<'a>(endpoint: &str, hosts: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let mut scored: Vec<(u64, &HostId)> = hosts
        .map(|host| (stable_hash(&(endpoint, host)), host))
        .collect();
    scored.sort();
    scored.truncate(USERS);
    scored.into_iter().map(|(_, host)| host).collect()
}

impl Tokens {
    /// One token, so that a cold endpoint gets its first request at once
    pub fn new(now: Instant) -> Self {
        Self {
            count: 1.0,
            at: now,
        }
    }

    /// Tokens now, at this rate a second; never more than one is saved
    pub fn refill(&mut self, now: Instant, rate: f64) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.count = (self.count + passed.as_secs_f64() * rate).min(1.0);
        self.at = now;
        self.count
    }

    /// Take a token for one request
    pub fn spend(&mut self) {
        self.count -= 1.0;
    }
}

impl Gateway {
    /// Whether a cold endpoint may get a request of this host now
    pub(super) fn may_warm(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let settings = self.settings.borrow();
        if endpoint.region != settings.region {
            return false;
        }
        let fleet = self.fleet.borrow();
        let near = fleet
            .members()
            .filter(|member| member.region == endpoint.region);
        let users = users(&endpoint.id, near.map(|member| &member.host));
        if !users.is_empty() && !users.contains(&&settings.host) {
            return false;
        }
        let Some(document) = self.document() else {
            return false;
        };
        let service = document.services.get(&endpoint.service);
        let rate = service.map_or(0.0, |service| service.warmup_rate);
        let part = rate / users.len().max(1) as f64;
        let mut chills = self.chills.borrow_mut();
        let tokens = chills.entry(endpoint.id.clone());
        let tokens = tokens.or_insert_with(|| Tokens::new(now));
        tokens.refill(now, part) >= 1.0
    }

    /// A cold endpoint gets a request
    pub(super) fn warm(&self, now: Instant, endpoint: &Endpoint) {
        let mut chills = self.chills.borrow_mut();
        let tokens = chills.entry(endpoint.id.clone());
        let tokens = tokens.or_insert_with(|| Tokens::new(now));
        tokens.spend();
    }

    /// Forget endpoints that are not cold any more
    pub(super) fn expire_chills(&self, now: Instant) {
        // Well over the warm-up of any service; an entry is made anew when it is needed.
        const TERM: Duration = Duration::from_secs(60);
        let mut chills = self.chills.borrow_mut();
        chills.retain(|_, tokens| now < tokens.at + TERM);
    }
}
