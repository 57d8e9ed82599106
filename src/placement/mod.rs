//! Choice of the endpoint for a request, by expected time to its answer.
//!
//! Load pattern: requests of a few dozen objects arrive at all hosts of a region at once, and an
//! endpoint that handled an object lately takes a third of the time for it. All hosts rank the
//! endpoints of an object alike (rendezvous hashing), so an object stays on few endpoints without
//! any exchange; a busy endpoint is weighed against the next in rank, which may be cold for it.
//!
//! What other hosts of the region run is known from their reports ([`Pool::record_host_report`]).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::catalog::Endpoint;
use crate::id::{EndpointId, HostId, RegionId, RouteId};
use crate::util::stable_hash;

mod endpoint;
pub mod service_time;

#[cfg(test)]
mod tests;

pub use endpoint::{Outcome, State};
pub use service_time::ServiceTime;

/// Age after which a report of another host counts for nothing; several report intervals
const HOST_REPORT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Age up to which an endpoint's own load header counts; about the time of one request
const LOAD_HEADER_TTL: Duration = Duration::from_millis(250);

/// AffinityKeys that an endpoint is taken to remember; endpoints do not say, and to guess low costs
/// little, since a few homes balance well
const CACHED_KEYS_PER_ENDPOINT: f64 = 9.0;

/// Most endpoints among which an object is kept; more would add little balance
const MAX_AFFINITY_SET_SIZE: usize = 3;

/// Most objects that are counted for a service
const MAX_AFFINITY_KEYS: usize = 20_000;

/// Time after which an object counts no more; long enough to see a rare one again
const AFFINITY_KEY_TTL: Duration = Duration::from_secs(20);

/// What a request asks of the pool
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Route, by which the work is learned
    pub route: &'a RouteId,
    /// Region of the candidates
    pub region: &'a RegionId,
    /// Object that the request concerns, where endpoints remember objects
    pub affinity_key: Option<u64>,
    /// Endpoints among which the object is kept
    pub affinity_set_size: usize,
    /// Endpoints that must not be used again
    pub excluded: &'a [EndpointId],
}

/// An endpoint and what to expect of it
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Chosen endpoint
    pub id: EndpointId,
    /// Place in the order of the object's endpoints, 0 the first
    pub rank: usize,
    /// Expected wait for a slot there
    pub expected_wait: Duration,
    /// Expected time to the answer
    pub expected_time: Duration,
}

/// Load and health of the endpoints as this host knows them
#[derive(Debug, Default)]
pub struct Pool {
    seats: BTreeMap<EndpointId, State>,
    work: BTreeMap<(RouteId, RegionId), ServiceTime>,
    reports: BTreeMap<HostId, Report>,
}

#[derive(Debug)]
struct Report {
    at: Instant,
    running: BTreeMap<u32, u32>,
}

/// Short form of an endpoint id in reports
pub fn short_id(id: &EndpointId) -> u32 {
    stable_hash(id) as u32
}

impl Pool {
    /// Pool that knows nothing
    pub fn new() -> Self {
        Self::default()
    }

    /// Forget endpoints that are gone, and start anew for one that restarted
    pub fn remove_endpoint(&mut self, id: &EndpointId) {
        self.seats.remove(id);
    }

    /// Forget hosts that left
    pub fn remove_host(&mut self, host: &HostId) {
        self.reports.remove(host);
    }

    /// Take what another host of the region runs
    pub fn record_host_report(&mut self, now: Instant, host: HostId, running: BTreeMap<u32, u32>) {
        self.reports.insert(host, Report { at: now, running });
    }

    /// What this host runs, by short endpoint id
    pub fn host_report(&self) -> BTreeMap<u32, u32> {
        let busy = self.seats.iter().filter(|(_, seat)| seat.running() > 0);
        busy.map(|(id, seat)| (short_id(id), seat.running()))
            .collect()
    }

    /// Best endpoint among candidates; `None` if none may be used now
    pub fn choose<'a>(
        &self,
        now: Instant,
        ask: &Request<'_>,
        candidates: impl Iterator<Item = &'a Endpoint>,
    ) -> Option<Choice> {
        let mut ranked: Vec<(u64, &Endpoint)> = candidates
            .filter(|end| !ask.excluded.contains(&end.id))
            .filter(|end| {
                self.endpoint(&end.id)
                    .is_none_or(|seat| seat.is_available(now))
            })
            .map(|end| (self.score(ask, end), end))
            .collect();
        ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        if ask.affinity_key.is_some() {
            // Beyond its homes an object would push others out of the endpoints' memory. Under load
            // all would then be slow everywhere, and stay so.
            ranked.truncate(ask.affinity_set_size.max(1));
        }
        let default = ServiceTime::default();
        let work = self.service_time(ask.route, ask.region).unwrap_or(&default);
        let mut best: Option<(f64, Choice)> = None;
        for (rank, (_, end)) in ranked.iter().enumerate() {
            let (wait, time) = self.expect(now, ask, work, end, rank);
            let cost = time + self.penalty(now, end, work);
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            let choice = Choice {
                id: end.id.clone(),
                rank,
                expected_wait: Duration::from_secs_f64(wait),
                expected_time: Duration::from_secs_f64(time),
            };
            best = Some((cost, choice));
        }
        best.map(|(_, choice)| choice)
    }

    /// A request goes to an endpoint
    pub fn start(&mut self, now: Instant, id: &EndpointId) {
        self.seats.entry(id.clone()).or_default().start(now);
    }

    /// A request ended at an endpoint
    pub fn finish(
        &mut self,
        now: Instant,
        end: &Endpoint,
        route: &RouteId,
        rank: Option<usize>,
        begun: Instant,
        outcome: Outcome,
    ) {
        let others = self.reported(now, &end.id);
        let seat = self.seats.entry(end.id.clone()).or_default();
        let told = seat
            .reported_load
            .filter(|(at, _)| now < *at + LOAD_HEADER_TTL);
        let load = told.map_or(seat.running() + others, |(_, load)| load + 1);
        let crowded = load > end.slots;
        seat.finish(now, begun, outcome);
        if let Outcome::Served(took) = outcome {
            let key = (route.clone(), end.region.clone());
            let work = self.work.entry(key).or_default();
            seat.record_slowdown(now, took.as_secs_f64() / work.mean());
            work.record(took, rank, crowded);
        }
    }

    /// An endpoint reported its load
    pub fn record_load(&mut self, now: Instant, id: &EndpointId, running: u32, waiting: u32) {
        let seat = self.seats.entry(id.clone()).or_default();
        seat.reported_load = Some((now, running + waiting));
    }

    /// An endpoint took no connection or is not the one that was meant
    pub fn eject(&mut self, now: Instant, id: &EndpointId) {
        self.seats.entry(id.clone()).or_default().eject(now);
    }

    /// State of an endpoint that was used
    pub fn endpoint(&self, id: &EndpointId) -> Option<&State> {
        self.seats.get(id)
    }

    /// Endpoints out of use whose health may be asked now
    pub fn due_probes(&mut self, now: Instant) -> Vec<EndpointId> {
        let due = self.seats.iter_mut().filter_map(|(id, seat)| {
            let due = seat.begin_probe(now);
            due.then(|| id.clone())
        });
        due.collect()
    }

    /// Result of a health check
    pub fn record_probe(&mut self, now: Instant, id: &EndpointId, good: bool) {
        if let Some(seat) = self.seats.get_mut(id) {
            seat.record_probe(now, good);
        }
    }

    /// What is known of a route's work in a region
    pub fn service_time(&self, route: &RouteId, region: &RegionId) -> Option<&ServiceTime> {
        self.work.get(&(route.clone(), region.clone()))
    }

    fn score(&self, ask: &Request<'_>, end: &Endpoint) -> u64 {
        match ask.affinity_key {
            Some(object) => stable_hash(&(object, &end.id)),
            None => fastrand::u64(..),
        }
    }

    /// Expected wait and time to the answer, in seconds
    fn expect(
        &self,
        now: Instant,
        ask: &Request<'_>,
        work: &ServiceTime,
        end: &Endpoint,
        rank: usize,
    ) -> (f64, f64) {
        let seat = self.seats.get(&end.id);
        let slots = f64::from(end.slots.max(1));
        let load = f64::from(self.load(now, end));
        let pace = seat.map_or(1.0, |seat| seat.slowdown(now));
        let ahead = (load + 1.0 - slots).max(0.0);
        let wait = ahead / slots * work.mean() * pace;
        let run = match ask.affinity_key {
            Some(_) => work.expected(rank),
            None => work.mean(),
        };
        (wait, wait + run * pace)
    }

    /// Requests at an endpoint, of all hosts of the region
    fn load(&self, now: Instant, end: &Endpoint) -> u32 {
        let seat = self.seats.get(&end.id);
        let own = seat.map_or(0, State::running);
        let others = self.reported(now, &end.id);
        let told = seat.and_then(|seat| seat.reported_load);
        let told = told.filter(|(at, _)| now < *at + LOAD_HEADER_TTL);
        (own + others).max(told.map_or(0, |(_, load)| load))
    }

    /// Requests of other hosts at an endpoint
    fn reported(&self, now: Instant, id: &EndpointId) -> u32 {
        let short = short_id(id);
        let fresh = self.reports.values();
        let fresh = fresh.filter(|report| now < report.at + HOST_REPORT_TIMEOUT);
        fresh.filter_map(|report| report.running.get(&short)).sum()
    }

    /// Extra cost of an endpoint that fails or hangs, in seconds
    fn penalty(&self, now: Instant, end: &Endpoint, work: &ServiceTime) -> f64 {
        let Some(seat) = self.seats.get(&end.id) else {
            return 0.0;
        };
        let overdue = seat.oldest_age(now).as_secs_f64() - 2.0 * work.cold() * seat.slowdown(now);
        seat.failure_rate(now) * 4.0 * work.cold() + overdue.max(0.0)
    }
}

/// AffinityKeys that requests concerned lately
#[derive(Clone, Debug, Default)]
pub struct AffinityKeys(BTreeMap<u64, Instant>);

impl AffinityKeys {
    /// A request concerns an object
    pub fn record(&mut self, now: Instant, object: u64) {
        if self.0.len() >= MAX_AFFINITY_KEYS {
            self.expire(now);
        }
        if self.0.len() < MAX_AFFINITY_KEYS {
            self.0.insert(object, now);
        }
    }

    /// Endpoints among which each object is kept, where so many may hold them
    pub fn set_size(&self, endpoints: usize) -> usize {
        let places = CACHED_KEYS_PER_ENDPOINT * endpoints as f64;
        let homes = (places / self.0.len().max(1) as f64) as usize;
        homes.clamp(1, MAX_AFFINITY_SET_SIZE)
    }

    /// Forget objects that nobody asked for lately
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, at| now < *at + AFFINITY_KEY_TTL);
    }
}

/// Sliding count of events
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    events: VecDeque<Instant>,
    first: Option<Instant>,
}

impl SlidingWindow {
    /// Count an event
    pub fn record(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.events.push_back(now);
    }

    /// Events within the last `span`
    pub fn count(&mut self, now: Instant, span: Duration) -> usize {
        while self.events.front().is_some_and(|at| *at + span <= now) {
            self.events.pop_front();
        }
        self.events.len()
    }

    /// Events a second within the last `span`, or since the first if that is less
    pub fn rate(&mut self, now: Instant, span: Duration) -> f64 {
        // Less time than that says little.
        const LEAST: Duration = Duration::from_millis(500);
        let since = self
            .first
            .map_or(span, |first| now.saturating_duration_since(first));
        self.count(now, span) as f64 / since.clamp(LEAST, span).as_secs_f64()
    }
}
