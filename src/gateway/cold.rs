//! Rate limit for requests to cold endpoints, shared by the hosts of a region.
//!
//! A fixed number of hosts of the endpoint's region may use a cold endpoint, each at an equal part
//! of the tolerated rate. Rendezvous hashing makes all hosts choose the same ones. Together they
//! exceed the rate by at most one request each, even while their lists of hosts differ by one.

use std::time::{Duration, Instant};

use super::Gateway;
use crate::catalog::Endpoint;
use crate::id::HostId;
use crate::util::stable_hash;

/// Number of hosts that may use a cold endpoint at the same time
const HOSTS_PER_ENDPOINT: usize = 2;

/// Token bucket of one cold endpoint on this host
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Returns the hosts that may use a cold endpoint, out of the hosts of its region
pub fn permitted_hosts<'a>(
    endpoint: &str,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Vec<&'a HostId> {
    let mut scored: Vec<(u64, &HostId)> = hosts
        .map(|host| (stable_hash(&(endpoint, host)), host))
        .collect();
    scored.sort();
    scored.truncate(HOSTS_PER_ENDPOINT);
    scored.into_iter().map(|(_, host)| host).collect()
}

impl TokenBucket {
    /// Creates a bucket with one token, so that a cold endpoint gets its first request at once
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` tokens per second up to one token; returns the tokens
    pub fn refill(&mut self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(1.0);
        self.refilled_at = now;
        self.tokens
    }

    /// Takes a token for one request
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Gateway {
    /// Returns whether this host may send a request to a cold endpoint now
    pub(super) fn may_use_cold(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let settings = self.settings.borrow();
        if endpoint.region != settings.region {
            return false;
        }
        let fleet = self.fleet.borrow();
        let regional_hosts = fleet
            .members()
            .filter(|member| member.region == endpoint.region);
        let permitted = permitted_hosts(&endpoint.id, regional_hosts.map(|member| &member.host));
        if !permitted.is_empty() && !permitted.contains(&&settings.host) {
            return false;
        }
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let service = configuration.services.get(&endpoint.service);
        let rate = service.map_or(0.0, |service| service.warmup_rate);
        let rate_per_host = rate / permitted.len().max(1) as f64;
        let mut cold_buckets = self.cold_buckets.borrow_mut();
        let bucket = cold_buckets.entry(endpoint.id.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(now));
        bucket.refill(now, rate_per_host) >= 1.0
    }

    /// Takes a token for a request to a cold endpoint
    pub(super) fn use_cold_token(&self, now: Instant, endpoint: &Endpoint) {
        let mut cold_buckets = self.cold_buckets.borrow_mut();
        let bucket = cold_buckets.entry(endpoint.id.clone());
        let bucket = bucket.or_insert_with(|| TokenBucket::new(now));
        bucket.take();
    }

    /// Drops the buckets of endpoints that are no longer cold
    pub(super) fn expire_cold_buckets(&self, now: Instant) {
        // Well above the warm-up time of any service; a dropped bucket is recreated on demand.
        const BUCKET_TTL: Duration = Duration::from_secs(60);
        let mut cold_buckets = self.cold_buckets.borrow_mut();
        cold_buckets.retain(|_, bucket| now < bucket.refilled_at + BUCKET_TTL);
    }
}
