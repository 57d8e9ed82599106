//! Slots of a service's endpoints in one zone, owned by one entry host.
//!
//! The owner counts the requests it has at each endpoint and never passes the endpoint's slots.
//! What finds no free slot waits in a short queue or is refused at once.

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

/// Longest wait for a slot, unless the service itself takes longer
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Most requests that wait for each slot
pub const MAX_QUEUE_PER_SLOT: usize = 8;

/// Part of the slots that spilled requests leave to the zone's own
pub const SPILL_RESERVE_RATIO: f64 = 0.2;

/// Part of the capacity over which the return of refused callers is spread
pub const RETRY_CAPACITY_RATIO: f64 = 0.5;

/// Shortest time after which a refused caller is asked back
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is asked back
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Time after which a pool with waiting requests looks at its slots again
const TICK: Duration = Duration::from_millis(250);

/// Part by which times to come back are spread to both sides
const JITTER: f64 = 0.25;

/// Service time before the first answer
const SERVICE_GUESS: Duration = Duration::from_millis(20);

/// Weight of the newest answer in the running mean of the service time
const SERVICE_GAIN: f64 = 0.05;

/// Number of a waiting request
pub type WaitId = u64;

/// What a request brings when it asks for a slot
#[derive(Clone, Debug)]
pub struct Request {
    /// When its caller gives up
    pub deadline: Instant,
    /// Why it came to this zone
    pub reason: Reason,
    /// Endpoints that it already failed on
    pub excluded: Vec<EndpointId>,
}

/// A slot taken at an endpoint, to be given back by [`Pool::release`]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Endpoint of the slot
    pub endpoint: EndpointId,
    /// Address of the endpoint
    pub address: SocketAddr,
}

/// Answer to an [`Request`]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it now
    Granted(Lease),
    /// Wait for a [`WaitResult`]
    Queued(WaitId),
    /// Not run here
    Refused(Cause, Duration),
}

/// End of a wait
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitResult {
    /// Request that waited
    pub wait_id: WaitId,
    /// Its slot, or why it gets none
    pub result: Result<Lease, (Cause, Duration)>,
}

/// How the run on a slot went
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer after this time
    Served(Duration),
    /// The upstream shed it without running it
    Shed,
    /// The upstream said that it is leaving
    Leaving,
    /// The connection failed or broke
    ConnectionFailed,
    /// It was cancelled or timed out
    Cancelled,
}

/// Load that an endpoint reported
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running at the endpoint, of all its clients
    pub running: u32,
    /// Slots it says it has
    pub slots: u32,
}

/// Slots of a pool at one moment
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Configured slots of endpoints that take work
    pub slots: u32,
    /// Slots that may be used now
    pub usable: u32,
    /// Slots in use
    pub busy: u32,
    /// Requests that wait
    pub waiting: u32,
}

/// Slots of one service in one zone
#[derive(Debug)]
pub struct Pool {
    seats: BTreeMap<EndpointId, State>,
    queue: VecDeque<Waiting>,
    next: WaitId,
    configured: bool,
    takeover: Option<Instant>,
    service: Option<f64>,
    booked: Option<Instant>,
    /// When the first slot of a cancelled request is freed
    lingers: Option<Instant>,
    shift: Option<TokenBucket>,
    spill: Option<TokenBucket>,
    rng: Rng,
}

#[derive(Debug)]
struct Waiting {
    wait: WaitId,
    ask: Request,
    until: Instant,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_seed(fastrand::u64(..))
    }
}

impl Pool {
    /// Empty pool
    pub fn new() -> Self {
        Self::default()
    }

    /// Empty pool whose jitter is drawn from `seed`
    pub fn with_seed(seed: u64) -> Self {
        Self {
            seats: BTreeMap::new(),
            queue: VecDeque::new(),
            next: 0,
            configured: false,
            takeover: None,
            service: None,
            booked: None,
            lingers: None,
            shift: None,
            spill: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// Pool of a new owner, while the former one may run requests until `until`
    pub fn with_takeover(until: Instant) -> Self {
        Self {
            takeover: Some(until),
            ..Self::default()
        }
    }

    /// Another host may have used the slots until `until`; use part of them until then
    pub fn start_takeover(&mut self, until: Instant) {
        self.takeover = self.takeover.max(Some(until));
        for seat in self.seats.values_mut() {
            seat.shared = seat.shared.max(Some(until));
        }
    }

    /// Take the endpoints of a new configuration
    ///
    /// Endpoints that join a pool start slowly; those of its first configuration do not.
    pub fn configure(&mut self, now: Instant, endpoints: &BTreeMap<EndpointId, Endpoint>) {
        self.settle(now);
        for (name, seat) in &mut self.seats {
            seat.removed |= !endpoints.contains_key(name);
        }
        self.seats
            .retain(|_, seat| !seat.removed || seat.busy() > 0);
        for (name, endpoint) in endpoints {
            match self.seats.get_mut(name) {
                Some(seat) => seat.configure(now, endpoint),
                None => {
                    let seat = State::new(now, endpoint.clone(), self.configured);
                    self.seats.insert(name.clone(), seat);
                }
            }
        }
        self.configured = true;
    }

    /// Request for a slot
    pub fn admit(&mut self, now: Instant, ask: Request) -> Admission {
        self.settle(now);
        if ask.deadline <= now {
            return Admission::Refused(Cause::TooLate, MIN_RETRY_AFTER);
        }
        if let Some(refusal) = self.refuse_moved(now, &ask) {
            return refusal;
        }
        let first = self
            .queue
            .iter()
            .all(|other| !other.ask.excluded.is_empty());
        if first && let Some(lease) = self.take(now, &ask) {
            self.count_moved(now, ask.reason);
            return Admission::Granted(lease);
        }
        let capacity = self.capacity(now, &ask.excluded);
        if capacity == 0 {
            return Admission::Refused(Cause::NoUpstream, self.back(now));
        }
        let wait = self.wait(self.queue.len(), capacity);
        let until = (ask.deadline - self.mean_service_time().min(ask.deadline - now))
            .min(now + self.wait_limit());
        let full = self.queue.len() >= capacity as usize * MAX_QUEUE_PER_SLOT;
        if ask.reason == Reason::Spill || full || now + wait > until {
            return Admission::Refused(Cause::NoHeadroom, self.book(now, capacity, ask.reason));
        }
        self.count_moved(now, ask.reason);
        self.next += 1;
        let wait = self.next;
        self.queue.push_back(Waiting { wait, ask, until });
        Admission::Queued(wait)
    }

    /// Give a slot back; the grants say who runs next
    pub fn release(&mut self, now: Instant, lease: &Lease, verdict: Outcome) -> Vec<WaitResult> {
        if let Some(seat) = self.seats.get_mut(&lease.endpoint) {
            seat.finish(now, verdict);
            if let (None, Some(until)) = (self.lingers, seat.lingers()) {
                self.lingers = Some(until);
            }
        }
        if let Outcome::Served(time) = verdict {
            self.learn(time);
        }
        self.tick(now)
    }

    /// Take a load report of an endpoint; it can only lower what is used
    pub fn record_load(&mut self, now: Instant, endpoint: &EndpointId, load: Load) {
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.report(now, load);
        }
    }

    /// Learn by health, list or status that an endpoint is leaving
    pub fn mark_leaving(&mut self, now: Instant, endpoint: &EndpointId) {
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.leave(now);
        }
    }

    /// Learn that an endpoint did not answer a probe
    pub fn record_failure(&mut self, now: Instant, endpoint: &EndpointId) {
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.broken(now);
        }
    }

    /// Ejected endpoints whose time is over and which a probe may bring back
    pub fn due_probes(&self, now: Instant) -> impl Iterator<Item = (&EndpointId, SocketAddr)> {
        self.seats
            .iter()
            .filter(move |(_, seat)| seat.probe(now))
            .map(|(name, seat)| (name, seat.endpoint.address))
    }

    /// Forget a waiting request whose caller went away
    pub fn cancel_wait(&mut self, wait: WaitId) {
        self.queue.retain(|waiting| waiting.wait != wait);
    }

    /// End waits that are over and grant free slots
    pub fn tick(&mut self, now: Instant) -> Vec<WaitResult> {
        self.settle(now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut grants = Vec::new();
        let mut kept = VecDeque::new();
        let mut full = false;
        while let Some(waiting) = self.queue.pop_front() {
            let Waiting { wait, ask, until } = &waiting;
            let wait = *wait;
            if ask.deadline <= now || *until <= now {
                let capacity = self.capacity(now, &ask.excluded);
                let back = self.book(now, capacity, ask.reason);
                let result = Err((Cause::NoHeadroom, back));
                grants.push(WaitResult {
                    wait_id: wait,
                    result,
                });
                continue;
            }
            if full && ask.excluded.is_empty() {
                kept.push_back(waiting);
                continue;
            }
            if let Some(lease) = self.take(now, ask) {
                let result = Ok(lease);
                grants.push(WaitResult {
                    wait_id: wait,
                    result,
                });
                continue;
            }
            full |= ask.excluded.is_empty();
            if self.capacity(now, &ask.excluded) == 0 {
                let result = Err((Cause::NoUpstream, self.back(now)));
                grants.push(WaitResult {
                    wait_id: wait,
                    result,
                });
                continue;
            }
            kept.push_back(waiting);
        }
        self.queue = kept;
        grants
    }

    /// When to call [`Pool::tick`] if nothing else happens
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let ends = self.queue.iter().map(|waiting| waiting.until);
        ends.chain(self.lingers).chain([now + TICK]).min()
    }

    /// Slots at this moment
    pub fn headroom(&self, now: Instant) -> Headroom {
        let takeover = self.taking_over(now);
        let mut headroom = Headroom {
            waiting: self.queue.len() as u32,
            ..Headroom::default()
        };
        for seat in self.seats.values() {
            let allowed = seat.allowed(now, takeover);
            headroom.busy += seat.busy();
            headroom.usable += allowed;
            if allowed > 0 {
                headroom.slots += seat.endpoint.slots;
            }
        }
        headroom
    }

    /// Running mean of the time that a request holds its slot
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service.unwrap_or(SERVICE_GUESS.as_secs_f64()))
    }

    fn take(&mut self, now: Instant, ask: &Request) -> Option<Lease> {
        let takeover = self.taking_over(now);
        let mut best: Option<((u64, Instant), &EndpointId, &mut State)> = None;
        for (name, seat) in &mut self.seats {
            let allowed = seat.allowed(now, takeover);
            if seat.busy() >= allowed || ask.excluded.contains(name) {
                continue;
            }
            let rank = seat.rank(allowed);
            if best.as_ref().is_none_or(|(other, ..)| rank < *other) {
                best = Some((rank, name, seat));
            }
        }
        let (_, name, seat) = best?;
        seat.start(now, takeover);
        Some(Lease {
            endpoint: name.clone(),
            address: seat.endpoint.address,
        })
    }

    fn capacity(&self, now: Instant, avoid: &[EndpointId]) -> u32 {
        let takeover = self.taking_over(now);
        self.seats
            .iter()
            .filter(|(name, _)| !avoid.contains(name))
            .map(|(_, seat)| seat.allowed(now, takeover))
            .sum()
    }

    fn learn(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let mean = self.service.get_or_insert(time);
        *mean += (time - *mean) * SERVICE_GAIN;
    }

    fn settle(&mut self, now: Instant) {
        if self.lingers.is_none_or(|until| now < until) {
            return;
        }
        for seat in self.seats.values_mut() {
            seat.settle(now);
        }
        self.lingers = self.seats.values().filter_map(State::lingers).min();
    }

    fn taking_over(&self, now: Instant) -> bool {
        self.takeover.is_some_and(|until| now < until)
    }
}
