//! Entry host on the users' platform, as a process.
//!
//! All tasks run on one thread and share [`Gateway`]. The modules `policy`, `catalog`, `placement`,
//! `region`, `retry`, `quarantine` and `fleet` make the decisions; the modules here carry them out.
//! No `RefCell` borrow is held across an await.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use smol::channel::{Receiver, Sender, bounded};
use smol::{LocalExecutor, Task};

use crate::budget::memory::{self, Level};
use crate::catalog::Catalog;
use crate::drain::{Grace, Longest};
use crate::fleet::{self, Fleet};
use crate::id::{EndpointId, Incarnation, RegionId, RouteId, ServiceId};
use crate::placement::{AffinityKeys, Pool, ServiceTime, SlidingWindow, service_time};
use crate::platform::store::Kind;
use crate::policy::Document;
use crate::quarantine::Register;
use crate::region::{Balancer, Demand};
use crate::retry::{FleetSize, WindowBudget};

mod accept;
mod advice;
mod apply;
mod bootstrap;
mod cold;
mod contact;
mod datagram;
mod era;
mod exchange;
mod forward;
mod heartbeat;
mod holdover;
mod holdover_sync;
mod idle;
mod limit;
mod log;
mod metrics;
mod mirror;
mod origin;
mod peers;
mod ports;
mod probe;
mod quarantine;
mod record;
mod reply;
pub mod run;
mod settings;
mod share;
mod source;
mod statement;
mod stop;
mod store_check;
mod store_gate;
mod stream;
mod supervise;
mod unreadable;
mod upload;
mod watch;

#[cfg(test)]
mod tests;

pub use metrics::Metrics;
pub use mirror::Mirror;
pub use record::Recorder;
pub use settings::Settings;

/// Window over which arrivals are counted for the demand; long enough for tens of requests, short
/// against a wave of traffic
const ARRIVAL_WINDOW: Duration = Duration::from_secs(3);

/// Minimum time for which followers wait for their reader to begin a new era of the store; drawn up
/// to twice as long by each host, so that they do not read the store together
const ERA_LAG_TOLERANCE: Duration = Duration::from_millis(1500);

/// State that all tasks of an entry host share
#[derive(Debug)]
pub struct Gateway {
    /// Active settings
    pub settings: RefCell<Settings>,
    /// Random id of this run of the process
    pub incarnation: Incarnation,
    /// Start of the process
    started_at: Instant,
    /// Active configuration, `None` until one is read
    pub configuration: RefCell<Option<Rc<Document>>>,
    /// Known endpoints
    pub catalog: RefCell<Catalog>,
    /// Load and health of the endpoints
    pub pool: RefCell<Pool>,
    /// Other entry hosts
    pub fleet: RefCell<Fleet>,
    /// Local copy of the store's objects
    pub mirror: RefCell<Mirror>,
    /// Objects that the store lost and that stay in force for now
    pub holdover: RefCell<holdover::Holdover>,
    /// What other hosts hold that this one may lack
    offers: RefCell<holdover_sync::Offers>,
    /// Idle connections to endpoints
    pub idle_connections: RefCell<idle::Connections>,
    /// Requests that crashed endpoints
    pub quarantine: RefCell<Register>,
    /// Objects of the store that cannot be read
    unreadable: RefCell<unreadable::Register>,
    /// Decision log
    pub recorder: Recorder,
    /// Counters and histograms
    pub metrics: Metrics,
    /// Traffic shares of the regions by service
    balancers: RefCell<BTreeMap<ServiceId, Balancer>>,
    /// Requests and retries by service, for the retry budget
    retry_windows: RefCell<BTreeMap<ServiceId, WindowBudget>>,
    /// Recent number of hosts, among which the retry budget is divided
    fleet_size: RefCell<FleetSize>,
    /// Objects that recent requests concerned
    affinity_keys: RefCell<BTreeMap<(ServiceId, RegionId), AffinityKeys>>,
    /// Recent arrivals by service
    arrivals: RefCell<BTreeMap<ServiceId, SlidingWindow>>,
    /// Measured demand by service
    demand: RefCell<BTreeMap<ServiceId, Demand>>,
    /// Rate limits for cold endpoints
    cold_buckets: RefCell<BTreeMap<EndpointId, cold::TokenBucket>>,
    /// Limits that endpoints name for all hosts together
    limits: limit::Limits,
    unknown_headers: RefCell<statement::Names>,
    /// Whether this host knows what other hosts hold, or has asked in vain
    knows_holdover: Cell<bool>,
    /// Whether an older configuration replaces a newer one, as it stayed the store's
    is_rollback_allowed: Cell<bool>,
    /// How long other hosts may be in a newer era of the store before this one reads it directly
    era_lag_tolerance: Duration,
    /// Limits the calls to a store that fails
    store_gate: Cell<store_gate::StoreGate>,
    /// Whether the store serves this host
    contact: Cell<contact::Contact>,
    /// Full while the store is to be checked at once, since a call failed
    store_suspected: (Sender<()>, Receiver<()>),
    /// Number of reads under way at the store
    store_reads: Cell<u32>,
    /// Kinds for which no host serves this one, and since when
    without_source: RefCell<BTreeMap<Kind, Instant>>,
    /// Full while reports are to be sent at once, since a request crashed an endpoint
    urgent_news: (Sender<()>, Receiver<()>),
    /// Number of the last report to other hosts
    sequence: Cell<u64>,
    /// Planned stop, once it has begun
    stop: Cell<Option<Grace>>,
    /// Longest recent attempts of requests
    longest: RefCell<Longest>,
    /// Memory that requests may take
    memory: Rc<memory::Budget>,
    /// Level of that memory that was logged last
    memory_level: Cell<Level>,
    /// Number of open connections from callers
    open_connections: Cell<usize>,
    /// Number of requests in flight
    running_requests: Cell<usize>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Gateway {
    /// Creates a gateway without configuration or endpoints
    pub fn new(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            fleet: RefCell::new(Fleet::new(settings.host.clone())),
            catalog: RefCell::new(Catalog::with_drain_time(settings.drain_time)),
            memory: Rc::new(memory::Budget::new(settings.memory_bytes)),
            memory_level: Cell::default(),
            settings: RefCell::new(settings),
            incarnation: fastrand::u64(1..),
            started_at: Instant::now(),
            configuration: RefCell::default(),
            pool: RefCell::default(),
            mirror: RefCell::default(),
            holdover: RefCell::default(),
            offers: RefCell::default(),
            idle_connections: RefCell::default(),
            quarantine: RefCell::default(),
            unreadable: RefCell::default(),
            recorder: Recorder::new(),
            metrics: Metrics::new(),
            balancers: RefCell::default(),
            retry_windows: RefCell::default(),
            fleet_size: RefCell::default(),
            affinity_keys: RefCell::default(),
            arrivals: RefCell::default(),
            demand: RefCell::default(),
            cold_buckets: RefCell::default(),
            limits: limit::Limits::new(Instant::now()),
            unknown_headers: RefCell::default(),
            knows_holdover: Cell::new(false),
            is_rollback_allowed: Cell::new(false),
            era_lag_tolerance: ERA_LAG_TOLERANCE.mul_f64(1.0 + fastrand::f64()),
            store_gate: Cell::default(),
            contact: Cell::default(),
            store_suspected: bounded(1),
            store_reads: Cell::default(),
            without_source: RefCell::default(),
            urgent_news: bounded(1),
            sequence: Cell::new(fleet::first_sequence(SystemTime::now())),
            stop: Cell::default(),
            longest: RefCell::default(),
            open_connections: Cell::new(0),
            running_requests: Cell::new(0),
            executor,
        }
    }

    /// Spawns a task on the executor of the gateway
    pub fn spawn<T: 'static>(&self, task: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.spawn(task)
    }

    /// Sends reports to other hosts at once
    fn send_news(&self) {
        // A full channel means that they are about to be sent.
        let _ = self.urgent_news.0.try_send(());
    }

    /// Returns the number of the next report to other hosts
    fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Logs the level of the memory for requests if it has changed
    fn record_memory_level(&self) {
        let level = self.memory.level();
        if self.memory_level.replace(level) == level {
            return;
        }
        let fields = [
            ("level", level.name().into()),
            ("held", self.memory.held().into()),
            ("limit", self.memory.limit().into()),
            ("running", self.running_requests.get().into()),
        ];
        self.recorder.event("request-memory", &fields);
    }

    /// Returns whether requests can be served
    pub fn is_ready(&self) -> bool {
        let is_configured =
            self.configuration.borrow().is_some() && !self.catalog.borrow().is_empty();
        is_configured && !self.is_stopping()
    }

    /// Returns whether a planned stop has begun
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns whether a request may be sent to an endpoint now; `limit` is when it is given up
    ///
    /// During a planned stop, only what ends before the process does may be sent.
    fn may_start(&self, now: Instant, route: &RouteId, limit: Instant) -> bool {
        let Some(grace) = self.stop.get() else {
            return true;
        };
        grace.admits(now, limit, self.longest.borrow().get(now, route))
    }

    /// Returns the active configuration
    pub fn configuration(&self) -> Option<Rc<Document>> {
        self.configuration.borrow().clone()
    }

    /// Returns the version of the active configuration, 0 for none
    pub fn configuration_version(&self) -> u64 {
        self.configuration()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns the age of the store's answer that the configuration rests on
    fn configuration_age(&self) -> Option<Duration> {
        let origin = self.mirror.borrow().origin(Kind::Configuration)?;
        Some(origin.age(Instant::now()))
    }

    /// Activates a configuration if its version is higher, or lower while a rollback is allowed;
    /// returns whether it did
    pub fn apply(&self, configuration: Document) -> bool {
        let mut current = self.configuration.borrow_mut();
        let is_due = current.as_ref().is_none_or(|current| {
            current.version < configuration.version
                || (self.is_rollback_allowed.get() && current.version > configuration.version)
        });
        if !is_due {
            return false;
        }
        self.recorder.event(
            "configuration",
            &[
                ("version", configuration.version.into()),
                ("routes", configuration.routes().count().into()),
            ],
        );
        *current = Some(Rc::new(configuration));
        true
    }

    /// Counts a request for a service
    fn count_request(&self, now: Instant, service: &ServiceId) {
        let mut retry_windows = self.retry_windows.borrow_mut();
        retry_windows
            .entry(service.clone())
            .or_default()
            .record_request(now);
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.entry(service.clone()).or_default().record(now);
    }

    /// Returns the number of endpoints, out of `endpoints`, that serve each object of a service
    fn affinity_set_size(&self, service: &ServiceId, region: &RegionId, endpoints: usize) -> usize {
        let affinity_keys = self.affinity_keys.borrow();
        let affinity_keys = affinity_keys.get(&(service.clone(), region.clone()));
        affinity_keys.map_or(1, |affinity_keys| {
            affinity_keys.affinity_set_size(endpoints)
        })
    }

    /// Drops objects that no recent request concerned
    fn expire_affinity_keys(&self, now: Instant) {
        let mut affinity_keys = self.affinity_keys.borrow_mut();
        affinity_keys
            .values_mut()
            .for_each(|affinity_keys| affinity_keys.expire(now));
    }

    /// Returns whether a retry fits into the fleet's budget, and consumes it if so
    fn allow_retry(&self, now: Instant, service: &ServiceId) -> bool {
        let retry_bound = self.settings.borrow().retry_bound;
        let hosts = self.observe_fleet_size(now);
        let host_slack = retry_bound.host_slack(now - self.started_at, hosts);
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(service.clone()).or_default();
        window.try_retry(now, &retry_bound, host_slack)
    }

    /// Returns the largest number of hosts within the window of the retry budget; must be called
    /// several times in it
    fn observe_fleet_size(&self, now: Instant) -> usize {
        let hosts = self.fleet.borrow().size();
        let window = self.settings.borrow().retry_bound.window;
        let mut fleet_size = self.fleet_size.borrow_mut();
        fleet_size.record(now, window, hosts)
    }

    /// Returns the slots that the requests entering at this host keep busy, by service
    pub fn demand(&self) -> BTreeMap<ServiceId, f32> {
        let demand = self.demand.borrow();
        let busy = demand
            .iter()
            .map(|(service, demand)| (service.clone(), demand.busy_slots() as f32));
        busy.collect()
    }

    /// Updates the measured demand; must be called several times a second
    fn observe_demand(&self, now: Instant) {
        self.observe_fleet_size(now);
        let home = self.settings.borrow().region.clone();
        let running = self.running_in_region(&home);
        let shares = self.shares();
        let mut arrivals = self.arrivals.borrow_mut();
        let mut demand = self.demand.borrow_mut();
        for (service, window) in arrivals.iter_mut() {
            let rate = window.rate(now, ARRIVAL_WINDOW);
            let share = shares.get(service).and_then(|shares| shares.get(&home));
            let share = share.copied().unwrap_or(1.0);
            let in_flight = running.get(service).copied().unwrap_or(0.0);
            let expected_demand = rate
                * self
                    .mean_service_seconds(service, &home, |service_time| service_time.expected(0));
            let cold_demand = rate * self.mean_service_seconds(service, &home, ServiceTime::cold);
            let demand = demand.entry(service.clone()).or_default();
            demand.record(now, expected_demand, cold_demand, in_flight, share);
        }
    }

    /// Adds this host's own demand to that of the others
    fn record_own_demand(&self) {
        let settings = self.settings.borrow();
        let report = fleet::Report {
            host: settings.host.clone(),
            region: settings.region.clone(),
            ping: false,
            demand: self.demand(),
            running: BTreeMap::new(),
        };
        self.fleet
            .borrow_mut()
            .record_report(Instant::now(), &report);
    }

    /// Returns the mean of a service time over the routes of a service, in seconds
    fn mean_service_seconds(
        &self,
        service: &ServiceId,
        region: &RegionId,
        select: impl Fn(&ServiceTime) -> f64,
    ) -> f64 {
        let pool = self.pool.borrow();
        let configuration = self.configuration();
        let routes = configuration
            .iter()
            .flat_map(|configuration| configuration.routes());
        let routes = routes.filter(|route| {
            route
                .services
                .iter()
                .any(|weighted| weighted.service == *service)
        });
        let observed: Vec<f64> = routes
            .filter_map(|route| pool.service_time(&route.name, region))
            .filter(|service_time| service_time.samples() > 0)
            .map(select)
            .collect();
        match observed.len() {
            0 => service_time::INITIAL_SECONDS,
            count => observed.iter().sum::<f64>() / count as f64,
        }
    }
}
