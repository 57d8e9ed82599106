//! Concurrency limits for the endpoints of one service in one zone.
//!
//! One entry host owns the slots of a service in a zone. It counts its in-flight requests to each
//! endpoint and never exceeds the endpoint's configured slots. A request that finds no free slot
//! waits in a bounded queue or is refused immediately.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::budget::TokenBucket;
use crate::config::Endpoint;
use crate::id::EndpointId;
use crate::wire::{Cause, Reason};
use endpoint::State;

pub use status::EndpointStatus;

mod endpoint;
mod moved;
mod retry_after;
mod status;
#[cfg(test)]
mod tests;

/// Longest wait for a slot, unless twice the mean service time is longer
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Maximum queue length per usable slot
pub const MAX_QUEUE_PER_SLOT: usize = 8;

/// Fraction of the slots that spilled requests leave free for the zone's own traffic
pub const SPILL_RESERVE_RATIO: f64 = 0.2;

/// Fraction of the capacity that retries of refused callers may use
pub const RETRY_CAPACITY_RATIO: f64 = 0.5;

/// Shortest retry delay given to a refused caller
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest retry delay given to a refused caller
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How often a pool with queued requests rechecks its slots
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Jitter of retry delays, as a fraction of the delay in either direction
const RETRY_JITTER_RATIO: f64 = 0.25;

/// Service time assumed before the first response
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Weight of the newest response in the exponential moving average of the service time
const SERVICE_TIME_EMA_WEIGHT: f64 = 0.05;

/// Identifies a queued request
pub type WaitId = u64;

/// Request for a slot
#[derive(Clone, Debug)]
pub struct Request {
    /// When the caller gives up
    pub deadline: Instant,
    /// Why the request was routed to this zone
    pub reason: Reason,
    /// Endpoints that must not be used, such as those already tried
    pub excluded: Vec<EndpointId>,
}

/// Slot held at an endpoint until it is returned by [`Pool::release`]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Endpoint that has the slot
    pub endpoint: EndpointId,
    /// Address of the endpoint
    pub address: SocketAddr,
}

/// Result of a [`Request`]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot is free; the request can run now
    Granted(Lease),
    /// The request is queued; a [`WaitResult`] follows
    Queued(WaitId),
    /// The request is refused, with the cause and the retry delay
    Refused(Cause, Duration),
}

/// End of a wait in the queue
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitResult {
    /// Queued request
    pub wait_id: WaitId,
    /// The granted slot, or the cause of the refusal and the retry delay
    pub result: Result<Lease, (Cause, Duration)>,
}

/// How a request ended at its endpoint
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response, with the time it took
    Served(Duration),
    /// The upstream shed the request without running it
    Shed,
    /// The upstream announced that it is leaving
    Leaving,
    /// The connection could not be opened, or broke
    ConnectionFailed,
    /// The request was cancelled or timed out
    Cancelled,
}

/// Load reported by an endpoint
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// In-flight requests of all clients of the endpoint
    pub running: u32,
    /// Number of slots
    pub slots: u32,
}

/// Snapshot of a pool's slots
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Configured slots of the endpoints that accept requests
    pub slots: u32,
    /// Slots that may be in use now
    pub usable: u32,
    /// Slots in use
    pub busy: u32,
    /// Number of queued requests
    pub waiting: u32,
}

/// Slots and queue of one service in one zone
#[derive(Debug)]
pub struct Pool {
    endpoints: BTreeMap<EndpointId, State>,
    queue: VecDeque<QueuedRequest>,
    last_wait_id: WaitId,
    configured: bool,
    takeover_until: Option<Instant>,
    mean_service_seconds: Option<f64>,
    /// Latest retry time given to a refused caller
    last_retry_at: Option<Instant>,
    /// When the next slot of a cancelled request becomes free
    next_cancel_expiry: Option<Instant>,
    shift_bucket: Option<TokenBucket>,
    spill_bucket: Option<TokenBucket>,
    rng: Rng,
}

#[derive(Debug)]
struct QueuedRequest {
    wait_id: WaitId,
    request: Request,
    expires_at: Instant,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_seed(fastrand::u64(..))
    }
}

impl Pool {
    /// Creates an empty pool
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty pool whose jitter is derived from `seed`
    pub fn with_seed(seed: u64) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            queue: VecDeque::new(),
            last_wait_id: 0,
            configured: false,
            takeover_until: None,
            mean_service_seconds: None,
            last_retry_at: None,
            next_cancel_expiry: None,
            shift_bucket: None,
            spill_bucket: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// Creates a pool whose slots a former owner may still use until `until`
    pub fn with_takeover(until: Instant) -> Self {
        Self {
            takeover_until: Some(until),
            ..Self::default()
        }
    }

    /// Limits the pool to part of its slots until `until`, since a former owner may still use them
    pub fn start_takeover(&mut self, until: Instant) {
        self.takeover_until = self.takeover_until.max(Some(until));
        for state in self.endpoints.values_mut() {
            state.shared_until = state.shared_until.max(Some(until));
        }
    }

    /// Applies the endpoints of a new configuration
    ///
    /// Endpoints added later begin with a slow start; those of the first configuration do not.
    pub fn configure(&mut self, now: Instant, endpoints: &BTreeMap<EndpointId, Endpoint>) {
        self.expire_cancelled(now);
        for (id, state) in &mut self.endpoints {
            state.removed |= !endpoints.contains_key(id);
        }
        self.endpoints
            .retain(|_, state| !state.removed || state.busy() > 0);
        for (id, config) in endpoints {
            match self.endpoints.get_mut(id) {
                Some(state) => state.configure(now, config),
                None => {
                    let state = State::new(now, config.clone(), self.configured);
                    self.endpoints.insert(id.clone(), state);
                }
            }
        }
        self.configured = true;
    }

    /// Grants a slot to a request, queues it, or refuses it
    pub fn admit(&mut self, now: Instant, request: Request) -> Admission {
        self.expire_cancelled(now);
        if request.deadline <= now {
            return Admission::Refused(Cause::TooLate, MIN_RETRY_AFTER);
        }
        if let Some(refusal) = self.refuse_moved(now, &request) {
            return refusal;
        }
        let is_first = self
            .queue
            .iter()
            .all(|queued| !queued.request.excluded.is_empty());
        if is_first && let Some(lease) = self.take(now, &request) {
            self.count_moved(now, request.reason);
            return Admission::Granted(lease);
        }
        let capacity = self.capacity(now, &request.excluded);
        if capacity == 0 {
            return Admission::Refused(Cause::NoUpstream, self.availability_delay(now));
        }
        let expected_wait = self.expected_wait(self.queue.len(), capacity);
        let expires_at = (request.deadline - self.mean_service_time().min(request.deadline - now))
            .min(now + self.max_wait());
        let is_full = self.queue.len() >= capacity as usize * MAX_QUEUE_PER_SLOT;
        if request.reason == Reason::Spill || is_full || now + expected_wait > expires_at {
            return Admission::Refused(
                Cause::NoHeadroom,
                self.schedule_retry(now, capacity, request.reason),
            );
        }
        self.count_moved(now, request.reason);
        self.last_wait_id += 1;
        let wait_id = self.last_wait_id;
        self.queue.push_back(QueuedRequest {
            wait_id,
            request,
            expires_at,
        });
        Admission::Queued(wait_id)
    }

    /// Releases a slot and returns the results of the waits that this ends
    pub fn release(&mut self, now: Instant, lease: &Lease, outcome: Outcome) -> Vec<WaitResult> {
        if let Some(state) = self.endpoints.get_mut(&lease.endpoint) {
            state.finish(now, outcome);
            if let (None, Some(until)) = (self.next_cancel_expiry, state.next_cancel_expiry()) {
                self.next_cancel_expiry = Some(until);
            }
        }
        if let Outcome::Served(elapsed) = outcome {
            self.record_service_time(elapsed);
        }
        self.tick(now)
    }

    /// Records a load report of an endpoint, which can only lower its usable slots
    pub fn record_load(&mut self, now: Instant, endpoint: &EndpointId, load: Load) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_load(now, load);
        }
    }

    /// Marks an endpoint as leaving, as shown by its health, the platform's list or a response
    pub fn mark_leaving(&mut self, now: Instant, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.mark_leaving(now);
        }
    }

    /// Records that an endpoint did not answer a probe
    pub fn record_failure(&mut self, now: Instant, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_failure(now);
        }
    }

    /// Returns the endpoints whose ejection time has passed and that a probe may restore
    pub fn due_probes(&self, now: Instant) -> impl Iterator<Item = (&EndpointId, SocketAddr)> {
        self.endpoints
            .iter()
            .filter(move |(_, state)| state.is_probe_due(now))
            .map(|(id, state)| (id, state.config.address))
    }

    /// Removes a request from the queue, for example after its caller disconnected
    pub fn cancel_wait(&mut self, wait_id: WaitId) {
        self.queue.retain(|queued| queued.wait_id != wait_id);
    }

    /// Grants free slots to queued requests and ends expired waits
    pub fn tick(&mut self, now: Instant) -> Vec<WaitResult> {
        self.expire_cancelled(now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut results = Vec::new();
        let mut remaining = VecDeque::new();
        let mut is_full = false;
        while let Some(queued) = self.queue.pop_front() {
            let QueuedRequest {
                wait_id,
                request,
                expires_at,
            } = &queued;
            let wait_id = *wait_id;
            if request.deadline <= now || *expires_at <= now {
                let capacity = self.capacity(now, &request.excluded);
                let retry_after = self.schedule_retry(now, capacity, request.reason);
                let result = Err((Cause::NoHeadroom, retry_after));
                results.push(WaitResult { wait_id, result });
                continue;
            }
            if is_full && request.excluded.is_empty() {
                remaining.push_back(queued);
                continue;
            }
            if let Some(lease) = self.take(now, request) {
                let result = Ok(lease);
                results.push(WaitResult { wait_id, result });
                continue;
            }
            is_full |= request.excluded.is_empty();
            if self.capacity(now, &request.excluded) == 0 {
                let result = Err((Cause::NoUpstream, self.availability_delay(now)));
                results.push(WaitResult { wait_id, result });
                continue;
            }
            remaining.push_back(queued);
        }
        self.queue = remaining;
        results
    }

    /// Returns when [`Pool::tick`] must run at the latest, or `None` if the queue is empty
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let expiries = self.queue.iter().map(|queued| queued.expires_at);
        expiries
            .chain(self.next_cancel_expiry)
            .chain([now + QUEUE_POLL_INTERVAL])
            .min()
    }

    /// Returns a snapshot of the slots
    pub fn headroom(&self, now: Instant) -> Headroom {
        let takeover = self.is_taking_over(now);
        let mut headroom = Headroom {
            waiting: self.queue.len() as u32,
            ..Headroom::default()
        };
        for state in self.endpoints.values() {
            let usable = state.usable(now, takeover);
            headroom.busy += state.busy();
            headroom.usable += usable;
            if usable > 0 {
                headroom.slots += state.config.slots;
            }
        }
        headroom
    }

    /// Returns the moving average of the time for which a request holds its slot
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(
            self.mean_service_seconds
                .unwrap_or(INITIAL_SERVICE_TIME.as_secs_f64()),
        )
    }

    fn take(&mut self, now: Instant, request: &Request) -> Option<Lease> {
        let takeover = self.is_taking_over(now);
        let mut best: Option<((u64, Instant), &EndpointId, &mut State)> = None;
        for (id, state) in &mut self.endpoints {
            let usable = state.usable(now, takeover);
            if state.busy() >= usable || request.excluded.contains(id) {
                continue;
            }
            let rank = state.rank(usable);
            if best.as_ref().is_none_or(|(lowest, ..)| rank < *lowest) {
                best = Some((rank, id, state));
            }
        }
        let (_, id, state) = best?;
        state.start(now, takeover);
        Some(Lease {
            endpoint: id.clone(),
            address: state.config.address,
        })
    }

    fn capacity(&self, now: Instant, excluded: &[EndpointId]) -> u32 {
        let takeover = self.is_taking_over(now);
        self.endpoints
            .iter()
            .filter(|(id, _)| !excluded.contains(id))
            .map(|(_, state)| state.usable(now, takeover))
            .sum()
    }

    fn record_service_time(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let mean = self.mean_service_seconds.get_or_insert(seconds);
        *mean += (seconds - *mean) * SERVICE_TIME_EMA_WEIGHT;
    }

    fn expire_cancelled(&mut self, now: Instant) {
        if self.next_cancel_expiry.is_none_or(|until| now < until) {
            return;
        }
        for state in self.endpoints.values_mut() {
            state.expire_cancelled(now);
        }
        self.next_cancel_expiry = self
            .endpoints
            .values()
            .filter_map(State::next_cancel_expiry)
            .min();
    }

    fn is_taking_over(&self, now: Instant) -> bool {
        self.takeover_until.is_some_and(|until| now < until)
    }
}
