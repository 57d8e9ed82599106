//! Selects the endpoint of a request by the lowest expected response time.
//!
//! Load pattern: requests for a few dozen affinity keys arrive at all hosts of a region at once,
//! and an endpoint that has a key cached serves it in a third of the time. All hosts rank the
//! endpoints of a key alike by rendezvous hashing, so that a key stays on few endpoints without
//! coordination. A busy endpoint is weighed against the next in rank, which may not have the key
//! cached.
//!
//! The load from other hosts of the region comes from their reports ([`Pool::record_host_report`]).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::catalog::Endpoint;
use crate::id::{EndpointId, HostId, RegionId, RouteId};
use crate::util::stable_hash;
use report::HostReports;

mod endpoint;
mod report;
pub mod service_time;

#[cfg(test)]
mod tests;

pub use endpoint::{Outcome, State};
pub use service_time::ServiceTime;

/// How long the load header of an endpoint stays valid, about the time of one request
const LOAD_HEADER_TTL: Duration = Duration::from_millis(250);

/// Number of affinity keys that an endpoint is assumed to cache
///
/// Endpoints do not report it. A low value costs little, since a few endpoints per key balance
/// well.
const CACHED_KEYS_PER_ENDPOINT: f64 = 9.0;

/// Maximum number of endpoints per affinity key; more would balance only slightly better
const MAX_AFFINITY_SET_SIZE: usize = 3;

/// Cost of an endpoint in another zone, as a ratio of the mean service time; the bytes of its answer
/// cross zones, which is worth a short wait and no cold cache
const CROSS_ZONE_RATIO: f64 = 0.3;

/// Maximum number of zones of a region that keep a copy of each key; each copy has to be cached anew
const MAX_ZONES_WITH_COPIES: usize = 2;

/// Ratio of the endpoints of the smallest zone to the mean of the zones from which on each zone keeps
/// its part of the affinity keys
const MIN_ZONE_RATIO: f64 = 0.5;

/// Maximum number of tracked affinity keys per service
const MAX_AFFINITY_KEYS: usize = 20_000;

/// Time after which an unused affinity key expires; long enough for rare keys to recur
const AFFINITY_KEY_TTL: Duration = Duration::from_secs(20);

/// Request for an endpoint
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Route, for which service times are estimated
    pub route: &'a RouteId,
    /// Region of the candidate endpoints
    pub region: &'a RegionId,
    /// Zone of this host
    pub zone: &'a str,
    /// Affinity key of the request, where endpoints cache by key
    pub affinity_key: Option<u64>,
    /// Number of endpoints on which the key is kept
    pub affinity_set_size: usize,
    /// Endpoints that must not be used, such as those already tried
    pub excluded: &'a [EndpointId],
}

/// Chosen endpoint, with the expected times
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Endpoint ID
    pub id: EndpointId,
    /// Rank among the endpoints of the affinity key, from 0
    pub rank: usize,
    /// Expected wait for a slot
    pub expected_wait: Duration,
    /// Expected response time, including the wait
    pub expected_time: Duration,
}

/// Load and health of the endpoints, as observed by this host
#[derive(Debug, Default)]
pub struct Pool {
    endpoints: BTreeMap<EndpointId, State>,
    service_times: BTreeMap<(RouteId, RegionId), ServiceTime>,
    host_reports: HostReports,
}

/// Reorders endpoints that are ranked for a key, so that each zone has one of the first ones; returns
/// whether it did
///
/// Only if the key is kept on as many endpoints as there are zones. A small zone would have to keep
/// more keys on each endpoint than the others, so there the ranks stay as they are, too.
fn spread_over_zones(ranked: &mut Vec<(u64, &Endpoint)>, affinity_set_size: usize) -> bool {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut spread: Vec<(usize, (u64, &Endpoint))> = Vec::with_capacity(ranked.len());
    for candidate in ranked.iter() {
        let count = counts.entry(candidate.1.zone.as_str()).or_default();
        spread.push((*count, *candidate));
        *count += 1;
    }
    let zones = counts.len();
    let mean = ranked.len() as f64 / zones.max(1) as f64;
    let smallest = counts.values().min().copied().unwrap_or_default();
    if !(2..=MAX_ZONES_WITH_COPIES.min(affinity_set_size)).contains(&zones)
        || (smallest as f64) < MIN_ZONE_RATIO * mean
    {
        return false;
    }
    // Stable, so that endpoints of the same number in their zones stay ranked.
    spread.sort_by_key(|(number, _)| *number);
    *ranked = spread.into_iter().map(|(_, candidate)| candidate).collect();
    true
}

/// Returns the short form of an endpoint ID that reports use
pub fn short_id(id: &EndpointId) -> u32 {
    stable_hash(id) as u32
}

impl Pool {
    /// Creates an empty pool
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the state of an endpoint that is gone or has restarted
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        self.endpoints.remove(id);
    }

    /// Removes the report of a host that left
    pub fn remove_host(&mut self, host: &HostId) {
        self.host_reports.remove(host);
    }

    /// Records the in-flight requests of another host of the region, by short endpoint ID
    pub fn record_host_report(&mut self, now: Instant, host: HostId, running: BTreeMap<u32, u32>) {
        self.host_reports.record(now, host, running);
    }

    /// Returns the in-flight requests of this host, by short endpoint ID
    pub fn host_report(&self) -> BTreeMap<u32, u32> {
        let busy = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.running() > 0);
        busy.map(|(id, state)| (short_id(id), state.running()))
            .collect()
    }

    /// Returns the best of the candidates, or `None` if none may be used now
    pub fn choose<'a>(
        &self,
        now: Instant,
        request: &Request<'_>,
        candidates: impl Iterator<Item = &'a Endpoint>,
    ) -> Option<Choice> {
        let mut ranked: Vec<(u64, &Endpoint)> = candidates
            .filter(|endpoint| !request.excluded.contains(&endpoint.id))
            .filter(|endpoint| {
                self.endpoint(&endpoint.id)
                    .is_none_or(|state| state.is_available(now))
            })
            .map(|endpoint| (self.score(request, endpoint), endpoint))
            .collect();
        ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        let mut has_zone_copies = false;
        if request.affinity_key.is_some() {
            // On more endpoints, a key would evict other keys from the caches. Under load, all
            // keys would then become slow on all endpoints, and stay slow.
            has_zone_copies = spread_over_zones(&mut ranked, request.affinity_set_size);
            ranked.truncate(request.affinity_set_size.max(1));
        }
        let default = ServiceTime::default();
        let service_time = self
            .service_time(request.route, request.region)
            .unwrap_or(&default);
        let mut best: Option<(f64, Choice)> = None;
        for (rank, (_, endpoint)) in ranked.iter().enumerate() {
            let (wait, time) = self.estimate(now, request, service_time, endpoint, rank);
            let mut cost = time + self.penalty(now, endpoint, service_time);
            if has_zone_copies && endpoint.zone != request.zone {
                cost += CROSS_ZONE_RATIO * service_time.mean();
            }
            if best.as_ref().is_some_and(|(lowest, _)| *lowest <= cost) {
                continue;
            }
            let choice = Choice {
                id: endpoint.id.clone(),
                rank,
                expected_wait: Duration::from_secs_f64(wait),
                expected_time: Duration::from_secs_f64(time),
            };
            best = Some((cost, choice));
        }
        best.map(|(_, choice)| choice)
    }

    /// Records that a request was sent to an endpoint
    pub fn start(&mut self, now: Instant, id: &EndpointId) {
        self.endpoints.entry(id.clone()).or_default().start(now);
    }

    /// Records the end of a request at an endpoint
    pub fn finish(
        &mut self,
        now: Instant,
        endpoint: &Endpoint,
        route: &RouteId,
        rank: Option<usize>,
        started_at: Instant,
        outcome: Outcome,
    ) {
        let others = self.load_from_other_hosts(now, &endpoint.id);
        let state = self.endpoints.entry(endpoint.id.clone()).or_default();
        let reported = state
            .reported_load
            .filter(|(at, _)| now < *at + LOAD_HEADER_TTL);
        let load = reported.map_or(state.running() + others, |(_, load)| load + 1);
        let may_have_queued = load > endpoint.slots;
        state.finish(now, started_at, outcome);
        if !matches!(outcome, Outcome::Served(_) | Outcome::Relayed { .. }) {
            return;
        }
        let key = (route.clone(), endpoint.region.clone());
        let service_time = self.service_times.entry(key).or_default();
        if let Some(elapsed) = service_time.sample(outcome) {
            state.record_slowdown(now, elapsed.as_secs_f64() / service_time.mean());
            service_time.record(elapsed, rank, may_have_queued);
        }
    }

    /// Records the load that an endpoint reported
    pub fn record_load(&mut self, now: Instant, id: &EndpointId, running: u32, waiting: u32) {
        let state = self.endpoints.entry(id.clone()).or_default();
        state.reported_load = Some((now, running + waiting));
    }

    /// Ejects an endpoint that refused a connection or whose address belongs to another endpoint
    pub fn eject(&mut self, now: Instant, id: &EndpointId) {
        self.endpoints.entry(id.clone()).or_default().eject(now);
    }

    /// Records that an endpoint asked for no requests until a time
    pub fn pause(&mut self, id: &EndpointId, until: Instant) {
        self.endpoints.entry(id.clone()).or_default().pause(until);
    }

    /// Returns the rest of the time for which an endpoint asked for no requests
    pub fn pause_remaining(&self, now: Instant, id: &EndpointId) -> Option<Duration> {
        self.endpoint(id)?.pause_remaining(now)
    }

    /// Returns the state of an endpoint, if it was used before
    pub fn endpoint(&self, id: &EndpointId) -> Option<&State> {
        self.endpoints.get(id)
    }

    /// Returns the ejected endpoints that are due for a health check
    pub fn due_probes(&mut self, now: Instant) -> Vec<EndpointId> {
        let due = self.endpoints.iter_mut().filter_map(|(id, state)| {
            let is_due = state.begin_probe(now);
            is_due.then(|| id.clone())
        });
        due.collect()
    }

    /// Records that a health check that was due was not sent
    pub fn postpone_probe(&mut self, id: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.postpone_probe();
        }
    }

    /// Records the result of a health check
    pub fn record_probe(&mut self, now: Instant, id: &EndpointId, healthy: bool) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.record_probe(now, healthy);
        }
    }

    /// Returns the estimated service times of a route in a region
    pub fn service_time(&self, route: &RouteId, region: &RegionId) -> Option<&ServiceTime> {
        self.service_times.get(&(route.clone(), region.clone()))
    }

    fn score(&self, request: &Request<'_>, endpoint: &Endpoint) -> u64 {
        match request.affinity_key {
            Some(key) => stable_hash(&(key, &endpoint.id)),
            None => fastrand::u64(..),
        }
    }

    /// Returns the expected wait and the expected response time, in seconds
    fn estimate(
        &self,
        now: Instant,
        request: &Request<'_>,
        service_time: &ServiceTime,
        endpoint: &Endpoint,
        rank: usize,
    ) -> (f64, f64) {
        let state = self.endpoints.get(&endpoint.id);
        let slots = f64::from(endpoint.slots.max(1));
        let load = f64::from(self.load(now, endpoint));
        let slowdown = state.map_or(1.0, |state| state.slowdown(now));
        let ahead = (load + 1.0 - slots).max(0.0);
        let wait = ahead / slots * service_time.mean() * slowdown;
        let run = match request.affinity_key {
            Some(_) => service_time.expected(rank),
            None => service_time.mean(),
        };
        (wait, wait + run * slowdown)
    }

    /// Returns the number of requests at an endpoint, from all hosts of the region
    fn load(&self, now: Instant, endpoint: &Endpoint) -> u32 {
        let state = self.endpoints.get(&endpoint.id);
        let own = state.map_or(0, State::running);
        let others = self.load_from_other_hosts(now, &endpoint.id);
        let reported = state.and_then(|state| state.reported_load);
        let reported = reported.filter(|(at, _)| now < *at + LOAD_HEADER_TTL);
        (own + others).max(reported.map_or(0, |(_, load)| load))
    }

    /// Returns the number of requests at an endpoint from other hosts
    pub fn load_from_other_hosts(&self, now: Instant, id: &EndpointId) -> u32 {
        self.host_reports.load(now, short_id(id))
    }

    /// Returns the extra cost of an endpoint that fails or hangs, in seconds
    fn penalty(&self, now: Instant, endpoint: &Endpoint, service_time: &ServiceTime) -> f64 {
        let Some(state) = self.endpoints.get(&endpoint.id) else {
            return 0.0;
        };
        let overdue =
            state.oldest_age(now).as_secs_f64() - 2.0 * service_time.cold() * state.slowdown(now);
        state.failure_rate(now) * 4.0 * service_time.cold() + overdue.max(0.0)
    }
}

/// Recently used affinity keys
#[derive(Clone, Debug, Default)]
pub struct AffinityKeys(BTreeMap<u64, Instant>);

impl AffinityKeys {
    /// Records that a request used a key
    pub fn record(&mut self, now: Instant, key: u64) {
        if self.0.len() >= MAX_AFFINITY_KEYS {
            self.expire(now);
        }
        if self.0.len() < MAX_AFFINITY_KEYS {
            self.0.insert(key, now);
        }
    }

    /// Returns the number of endpoints on which to keep each key, given the number of endpoints
    pub fn affinity_set_size(&self, endpoints: usize) -> usize {
        let cached_keys = CACHED_KEYS_PER_ENDPOINT * endpoints as f64;
        let set_size = (cached_keys / self.0.len().max(1) as f64) as usize;
        set_size.clamp(1, MAX_AFFINITY_SET_SIZE)
    }

    /// Removes the keys that were not used recently
    pub fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, last_used| now < *last_used + AFFINITY_KEY_TTL);
    }
}

/// Number and rate of the events in a sliding window
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    events: VecDeque<Instant>,
    first_event: Option<Instant>,
}

impl SlidingWindow {
    /// Records an event
    pub fn record(&mut self, now: Instant) {
        self.first_event.get_or_insert(now);
        self.events.push_back(now);
    }

    /// Returns the number of events within the last `span`
    pub fn count(&mut self, now: Instant, span: Duration) -> usize {
        while self.events.front().is_some_and(|at| *at + span <= now) {
            self.events.pop_front();
        }
        self.events.len()
    }

    /// Returns the events per second within the last `span`, or since the first event if later
    pub fn rate(&mut self, now: Instant, span: Duration) -> f64 {
        // Shorter times would give an unreliable rate.
        const MIN_SPAN: Duration = Duration::from_millis(500);
        let elapsed = self
            .first_event
            .map_or(span, |first| now.saturating_duration_since(first));
        self.count(now, span) as f64 / elapsed.clamp(MIN_SPAN, span).as_secs_f64()
    }
}
