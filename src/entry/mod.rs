//! Request handling of an entry host.
//!
//! [`Host`] is the state that all tasks of the process share. Its decision state is behind mutexes
//! that are never held across an await; `steer`, `serve`, `execute` and `remote` apply the decisions
//! to one request.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use compact_str::CompactString;

use crate::budget;
use crate::config::{self, Applied, Document, Revision, Shares, Store};
use crate::id::{Incarnation, ServiceId, ZoneId};
use crate::lookup;
use crate::member::{self, HostInfo, State, View};
use crate::object;
use crate::once::{Table, Ticket};
use crate::operator::Metrics;
use crate::peer::Link;
use crate::quarantine;
use crate::retry::Budget;
use crate::route::Router;
use crate::settings::Settings;
use crate::shift::Ramp;
use crate::slot::Lease;
use crate::upstream;
use crate::wire::{Cause, Issuer, Refusal};

pub mod adopt;
pub mod event;
pub mod execute;
pub mod guard;
pub mod handover;
pub mod incoming;
pub mod main;
pub mod pace;
pub mod probe;
pub mod remote;
pub mod reply;
pub mod report;
pub mod run;
pub mod serve;
pub mod slots;
pub mod steer;
pub mod step;
pub mod stop;
pub mod watch;

pub use event::Event;
pub use guard::{BufferReservation, InFlight};
pub use reply::{Outcome, Reply};
pub use slots::Slots;

#[cfg(test)]
mod tests;

/// How long this host reports in its heartbeats that it took over the tickets of another process
pub const TAKEN_OVER_TTL: Duration = Duration::from_secs(240);

/// Slot lease, or the refusal, that a queued request receives
pub type LeaseResult = Result<Lease, Refusal>;

/// Shared state of an entry host
#[derive(Debug)]
pub struct Host {
    /// Settings read at process start
    pub settings: Settings,
    /// Random number that identifies this process
    pub incarnation: Incarnation,
    /// Link to the other entry hosts, `None` until it is bound
    pub link: Mutex<Option<Link>>,
    /// Client with a connection pool to the upstreams
    pub upstreams: upstream::Client,
    /// Client of the platform's object store
    pub platform: object::Client,
    /// Membership view of the entry hosts
    pub view: Arc<Mutex<View>>,
    /// Tickets issued or taken over by this process
    pub tickets: Mutex<Table>,
    /// Current location of the ticket table
    pub table_location: Mutex<handover::Location>,
    /// Processes whose tickets this host took over, and when
    pub taken_over: Mutex<BTreeMap<Issuer, Instant>>,
    /// Precomputed lookup results
    pub lookups: Mutex<lookup::Cache>,
    /// Requests that crash upstreams
    pub quarantine: Mutex<quarantine::Tracker>,
    /// Metrics of the operator port
    pub metrics: Metrics,
    /// Start of the process
    pub started_at: Instant,
    /// Most recent steering events
    pub events: Mutex<event::Ring>,
    /// Shares last reported as shift events
    pub shift_reporter: Mutex<step::Reporter>,
    /// Spilled requests that no event has reported yet
    pub spill_counter: Mutex<event::SpillCounter>,
    store: Mutex<Store>,
    applied_at: Mutex<Instant>,
    platform_contact_at: Mutex<Option<Instant>>,
    router: Mutex<Router>,
    ramps: Mutex<BTreeMap<ServiceId, Ramp>>,
    /// Byte budgets of the links to other regions, by link name
    pub link_budgets: Mutex<BTreeMap<CompactString, budget::Link>>,
    /// Whether the attempt to adopt the shares of a zone peer has ended
    are_shares_initialized: AtomicBool,
    retry_budgets: Mutex<BTreeMap<ServiceId, Budget>>,
    slots: Mutex<BTreeMap<ServiceId, Slots>>,
    is_stopping: AtomicBool,
    /// Time at which a planned stop ends in any case, once that is known
    stops_at: Mutex<Option<Instant>>,
    in_flight: AtomicUsize,
    buffered_bytes: AtomicUsize,
    attempts: AtomicU64,
}

/// Locks a mutex, also after a panic in another holder
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    /// Creates a host without configuration and without other hosts
    pub fn new(settings: Settings, upstreams: upstream::Client) -> Self {
        let incarnation = fastrand::u64(1..);
        let own_info = HostInfo {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            peer: settings.peer_address,
            caller: settings.caller_address,
            operator: Some(settings.operator_address),
            leaving: false,
        };
        let now = Instant::now();
        let view = View::new(now, own_info).with_incarnation(incarnation);
        Self {
            incarnation,
            link: Mutex::new(None),
            upstreams,
            platform: object::Client::new(settings.platform_addresses.clone()),
            view: Arc::new(Mutex::new(view)),
            tickets: Mutex::new(Table::new(settings.host.clone(), incarnation)),
            table_location: Mutex::default(),
            taken_over: Mutex::default(),
            lookups: Mutex::default(),
            quarantine: Mutex::default(),
            metrics: Metrics::new(),
            started_at: now,
            events: Mutex::default(),
            shift_reporter: Mutex::default(),
            spill_counter: Mutex::default(),
            applied_at: Mutex::new(now),
            platform_contact_at: Mutex::default(),
            store: Mutex::default(),
            router: Mutex::new(Router::new(settings.zone.clone())),
            ramps: Mutex::default(),
            link_budgets: Mutex::default(),
            are_shares_initialized: AtomicBool::new(false),
            retry_budgets: Mutex::default(),
            slots: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            stops_at: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            buffered_bytes: AtomicUsize::new(0),
            attempts: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the configuration in force
    pub fn revision(&self) -> Arc<Revision> {
        lock(&self.store).revision().clone()
    }

    /// Puts a configuration in force if its number is higher; returns whether it did
    pub fn apply(&self, revision: Revision) -> bool {
        let now = Instant::now();
        let mut store = lock(&self.store);
        if store.apply(revision) != Applied::Newer {
            return false;
        }
        let revision = store.revision().clone();
        let number = revision.number;
        drop(store);
        *lock(&self.applied_at) = now;
        self.configure_pools(now, &revision);
        self.refresh_lookups(&revision);
        self.record_event(Event::new("configuration", &number));
        true
    }

    /// Configures the slot pools for a revision and the live hosts of the zone
    fn configure_pools(&self, now: Instant, revision: &Revision) {
        let view = lock(&self.view);
        let mut slots_by_service = lock(&self.slots);
        for (name, service) in &revision.document.services {
            let mut local_endpoints = service.endpoints.clone();
            local_endpoints.retain(|_, endpoint| endpoint.zone == self.settings.zone);
            for (id, endpoint) in &mut local_endpoints {
                endpoint.slots = view.usable_slots(name, id, endpoint.slots);
            }
            let slots = slots_by_service.entry(name.clone()).or_default();
            slots.pool.configure(now, &local_endpoints);
            slots.pool.set_caps(now, &service.shift, &service.spill);
            if let Some(since) = view.owned_since(name) {
                slots.pool.start_takeover(since + member::HEARTBEAT_TIMEOUT);
            }
            let grants = slots.pool.tick(now);
            slots.deliver(now, grants);
        }
        for (name, slots) in slots_by_service.iter_mut() {
            if !revision.document.services.contains_key(name) {
                slots.pool.configure(now, &BTreeMap::new());
            }
        }
    }

    /// Advances planned shifts and returns the shares of a service's traffic that enters here
    pub fn advance_shares(&self, revision: &Revision, service: &ServiceId) -> Shares {
        let Some(policy) = revision.document.services.get(service) else {
            return Shares::new();
        };
        let target = config::effective_shares(policy, &self.settings.zone);
        let shift_start = revision.shift_starts.get(service);
        let mut ramps = lock(&self.ramps);
        let ramp = ramps.entry(service.clone());
        let ramp = ramp.or_insert_with(|| Ramp::with_zone(self.settings.zone.clone()));
        let (now, wall_time) = (Instant::now(), SystemTime::now());
        ramp.advance(now, wall_time, &target, shift_start, &policy.shift)
    }

    /// Returns the shares in force by service, for a host that starts in this zone
    pub fn current_shares(&self) -> Vec<(ServiceId, Shares)> {
        let ramps = lock(&self.ramps);
        let current = ramps
            .iter()
            .filter_map(|(service, ramp)| Some((service.clone(), ramp.current()?.clone())));
        current.collect()
    }

    /// Sets a peer's shares for the services that no request was routed for yet
    pub fn adopt_shares(&self, shares: Vec<(ServiceId, Shares)>) {
        let mut ramps = lock(&self.ramps);
        for (service, shares) in shares {
            let ramp = ramps.entry(service);
            ramp.or_insert_with(|| Ramp::with_shares(shares));
        }
        drop(ramps);
        self.are_shares_initialized.store(true, Ordering::SeqCst);
    }

    /// Returns the zones that a request may go to, best first
    pub fn route(&self, revision: &Revision, service: &ServiceId) -> Vec<crate::route::Candidate> {
        let shares = self.advance_shares(revision, service);
        let document: &Document = &revision.document;
        lock(&self.router).route(Instant::now(), document, service, &shares)
    }

    /// Records that a zone refused a request
    pub fn record_refusal(&self, service: &ServiceId, zone: &ZoneId, cause: Cause) {
        lock(&self.router).record_refusal(Instant::now(), service, zone, cause);
    }

    /// Records that a zone served a request
    pub fn record_response(&self, service: &ServiceId, zone: &ZoneId) {
        lock(&self.router).record_response(service, zone);
    }

    /// Takes a token for spilling a request; returns whether there was one
    pub fn take_spill_token(&self, service: &ServiceId) -> bool {
        lock(&self.router).take_spill_token(service)
    }

    /// Explains for each zone whether requests of a service that enter here may go to it
    pub fn explain(&self, service: &ServiceId) -> Vec<crate::route::Explanation> {
        let revision = self.revision();
        let shares = self.advance_shares(&revision, service);
        let now = Instant::now();
        lock(&self.router).explain(now, &revision.document, service, &shares)
    }

    /// Returns the time after which a caller may retry a request that no zone may take
    pub fn retry_after(&self, service: &ServiceId) -> Duration {
        lock(&self.router).retry_after(Instant::now(), service)
    }

    /// Calls `f` with the retry budget of a service
    pub fn with_retry_budget<T>(&self, service: &ServiceId, f: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = lock(&self.retry_budgets);
        f(budgets.entry(service.clone()).or_default())
    }

    /// Calls `f` with the slots of a configured service; `None` if the service has none here
    pub fn with_slots<T>(&self, service: &ServiceId, f: impl FnOnce(&mut Slots) -> T) -> Option<T> {
        lock(&self.slots).get_mut(service).map(f)
    }

    /// Grants free slots to queued requests and expires their waits
    pub fn tick_slots(&self, now: Instant) {
        for slots in lock(&self.slots).values_mut() {
            let grants = slots.pool.tick(now);
            slots.deliver(now, grants);
        }
    }

    /// Expires unresponsive hosts and old tickets and applies the resulting changes
    pub fn tick(&self, now: Instant) {
        let changes = lock(&self.view).tick(now);
        let revision = self.revision();
        if !changes.is_empty() {
            self.configure_pools(now, &revision);
        }
        for change in changes {
            self.record_event(Event::new("member", &format!("{change:?}")));
        }
        self.refresh_lookups(&revision);
        self.advance_shifts(&revision);
        lock(&self.tickets).expire(now);
        lock(&self.taken_over).retain(|_, since| now < *since + TAKEN_OVER_TTL);
    }

    /// Advances planned shifts, also without requests, and records their progress as events
    fn advance_shifts(&self, revision: &Revision) {
        if !self.are_shares_initialized.load(Ordering::SeqCst) {
            return;
        }
        for (name, service) in &revision.document.services {
            let target = config::effective_shares(service, &self.settings.zone);
            let shares = self.advance_shares(revision, name);
            let report = lock(&self.shift_reporter).next_report(name, &shares, &target);
            if let Some(text) = report {
                self.record_event(Event::new("shift", &text).with_service(name));
            }
        }
    }

    /// Precomputes lookup results for the current hosts
    fn refresh_lookups(&self, revision: &Revision) {
        let view = lock(&self.view);
        let own_zone = &self.settings.zone;
        let others = view.hosts().values();
        let mut others = others
            .filter(|other| other.info.zone != *own_zone)
            .peekable();
        let has_others = others.peek().is_some();
        let is_isolated = has_others && others.all(|other| other.state != State::Live);
        let document = &revision.document;
        lock(&self.lookups).refresh(revision.number, document, &view, own_zone, is_isolated);
    }

    /// Ticks at once if the process was paused, so that state that expired meanwhile is not used
    pub fn tick_if_overdue(&self, now: Instant) {
        if !lock(&self.view).has_recent_tick(now) {
            self.tick(now);
        }
    }

    /// Records that the platform responded
    pub fn record_platform_contact(&self) {
        *lock(&self.platform_contact_at) = Some(Instant::now());
    }

    /// Logs a steering event and keeps it for operators
    pub fn record_event(&self, event: Event) {
        log::info!("{event}");
        lock(&self.events).push(event);
    }

    /// Returns whether a planned stop has begun
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Begins a planned stop: marks this host as leaving in the membership view
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        lock(&self.view).leave(Instant::now());
    }

    /// Sets the time at which a planned stop ends in any case
    pub fn set_stops_at(&self, stops_at: Instant) {
        *lock(&self.stops_at) = Some(stops_at);
    }

    /// Returns whether a request with this deadline ends before a planned stop does
    pub fn ends_before_stop(&self, deadline: Instant) -> bool {
        lock(&self.stops_at).is_none_or(|stops_at| deadline <= stops_at)
    }

    /// Returns the number of requests in flight on this host
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the number of attempts sent to upstreams or other hosts
    pub fn attempt_count(&self) -> u64 {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Counts an attempt
    pub fn count_attempt(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Issues a ticket for a once-only request
    pub fn issue_ticket(&self, service: &ServiceId) -> Ticket {
        lock(&self.tickets).issue(Instant::now(), service)
    }
}

/// Creates a refusal that names no other host
pub fn refusal(cause: Cause) -> Refusal {
    Refusal {
        cause,
        retry_after: Duration::from_secs(1),
        alternative_host: None,
    }
}
