//! Entry host on the users' platform, as a process.
//!
//! All tasks run on one thread and share [`Gateway`]. The modules `policy`, `catalog`, `placement`,
//! `region`, `retry`, `quarantine` and `fleet` make the decisions; the modules here carry them out.
//! No `RefCell` borrow is held across an await.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::{LocalExecutor, Task};

use crate::catalog::Catalog;
use crate::fleet::{self, Fleet};
use crate::id::{EndpointId, Incarnation, RegionId, ServiceId};
use crate::placement::{Objects, Pool, Recent, Work, work};
use crate::policy::Document;
use crate::quarantine;
use crate::region::{self, Demand, Ramp, Room, Shares};
use crate::retry::Window;

mod accept;
mod cold;
mod exchange;
mod forward;
mod idle;
mod log;
mod metrics;
mod mirror;
mod peers;
mod ports;
mod probe;
mod record;
mod reply;
pub mod run;
mod settings;
mod stop;
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

/// State that all tasks of an entry host share
#[derive(Debug)]
pub struct Gateway {
    /// Active settings
    pub settings: RefCell<Settings>,
    /// Random id of this run of the process
    pub incarnation: Incarnation,
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
    /// Idle connections to endpoints
    pub idle_connections: RefCell<idle::Connections>,
    /// Requests that make endpoints fail
    pub quarantine: RefCell<quarantine::List>,
    /// Decision log
    pub recorder: Recorder,
    /// Counters and histograms
    pub metrics: Metrics,
    /// Traffic shares of the regions by service
    ramps: RefCell<BTreeMap<ServiceId, Ramp>>,
    /// Requests and retries by service, for the retry budget
    retry_windows: RefCell<BTreeMap<ServiceId, Window>>,
    /// Objects that recent requests concerned
    recent_objects: RefCell<BTreeMap<(ServiceId, RegionId), Objects>>,
    /// Recent arrivals by service
    arrivals: RefCell<BTreeMap<ServiceId, Recent>>,
    /// Measured demand by service
    demand: RefCell<BTreeMap<ServiceId, Demand>>,
    /// Rate limits for cold endpoints
    cold_buckets: RefCell<BTreeMap<EndpointId, cold::TokenBucket>>,
    stopping: Cell<bool>,
    /// Whether new requests are refused because the process would end before they finish
    refusing: Cell<bool>,
    open_connections: Cell<usize>,
    running_requests: Cell<usize>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Gateway {
    /// Creates a gateway without configuration or endpoints
    pub fn new(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            fleet: RefCell::new(Fleet::new(settings.host.clone())),
            settings: RefCell::new(settings),
            incarnation: fastrand::u64(1..),
            configuration: RefCell::default(),
            catalog: RefCell::default(),
            pool: RefCell::default(),
            mirror: RefCell::default(),
            idle_connections: RefCell::default(),
            quarantine: RefCell::default(),
            recorder: Recorder::new(),
            metrics: Metrics::new(),
            ramps: RefCell::default(),
            retry_windows: RefCell::default(),
            recent_objects: RefCell::default(),
            arrivals: RefCell::default(),
            demand: RefCell::default(),
            cold_buckets: RefCell::default(),
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            open_connections: Cell::new(0),
            running_requests: Cell::new(0),
            executor,
        }
    }

    /// Spawns a task on the executor of the gateway
    pub fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.spawn(work)
    }

    /// Returns whether requests can be served
    pub fn is_ready(&self) -> bool {
        let is_configured =
            self.configuration.borrow().is_some() && !self.catalog.borrow().is_empty();
        is_configured && !self.is_stopping()
    }

    /// Returns whether a planned stop has begun
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
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

    /// Activates a configuration if its version is higher; returns whether it did
    pub fn apply(&self, configuration: Document) -> bool {
        let mut current = self.configuration.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= configuration.version)
        {
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
            .request(now);
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.entry(service.clone()).or_default().add(now);
    }

    /// Returns the number of endpoints, out of `endpoints`, that serve each object of a service
    fn affinity_set_size(&self, service: &ServiceId, region: &RegionId, endpoints: usize) -> usize {
        let objects = self.recent_objects.borrow();
        let objects = objects.get(&(service.clone(), region.clone()));
        objects.map_or(1, |objects| objects.homes(endpoints))
    }

    /// Drops objects that no recent request concerned
    fn expire_objects(&self, now: Instant) {
        let mut objects = self.recent_objects.borrow_mut();
        objects.values_mut().for_each(|objects| objects.expire(now));
    }

    /// Returns whether a retry fits into the fleet's budget, and consumes it if so
    fn allow_retry(&self, now: Instant, service: &ServiceId) -> bool {
        let hosts = self.fleet.borrow().size();
        let retry_bound = self.settings.borrow().retry_bound;
        let mut retry_windows = self.retry_windows.borrow_mut();
        let window = retry_windows.entry(service.clone()).or_default();
        window.retry(now, &retry_bound, hosts)
    }

    /// Returns the slots that the requests entering at this host keep busy, by service
    pub fn demand(&self) -> BTreeMap<ServiceId, f32> {
        let demand = self.demand.borrow();
        let busy = demand
            .iter()
            .map(|(service, demand)| (service.clone(), demand.busy() as f32));
        busy.collect()
    }

    /// Updates the measured demand; must be called several times a second
    fn observe_demand(&self, now: Instant) {
        let home = self.settings.borrow().region.clone();
        let running = self.running_in_region(&home);
        let shares = self.shares();
        let mut arrivals = self.arrivals.borrow_mut();
        let mut demand = self.demand.borrow_mut();
        for (service, recent) in arrivals.iter_mut() {
            let rate = recent.rate(now, ARRIVAL_WINDOW);
            let share = shares.get(service).and_then(|shares| shares.get(&home));
            let share = share.copied().unwrap_or(1.0);
            let in_flight = running.get(service).copied().unwrap_or(0.0);
            let work = rate * self.mean_work_seconds(service, &home, |work| work.expected(0));
            let cold_work = rate * self.mean_work_seconds(service, &home, Work::cold);
            let demand = demand.entry(service.clone()).or_default();
            demand.observe(now, work, cold_work, in_flight, share);
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
        self.fleet.borrow_mut().hear(Instant::now(), &report);
    }

    /// Returns the mean of a duration over the routes of a service, in seconds
    fn mean_work_seconds(
        &self,
        service: &ServiceId,
        region: &RegionId,
        select: impl Fn(&Work) -> f64,
    ) -> f64 {
        let pool = self.pool.borrow();
        let configuration = self.configuration();
        let routes = configuration
            .iter()
            .flat_map(|configuration| configuration.routes());
        let routes = routes.filter(|route| route.parts.iter().any(|p| p.service == *service));
        let observed: Vec<f64> = routes
            .filter_map(|route| pool.work(&route.name, region))
            .filter(|work| work.seen() > 0)
            .map(select)
            .collect();
        match observed.len() {
            0 => work::GUESS,
            count => observed.iter().sum::<f64>() / count as f64,
        }
    }

    /// Returns the requests in flight from this host to a region, by service
    fn running_in_region(&self, region: &RegionId) -> BTreeMap<ServiceId, f64> {
        let pool = self.pool.borrow();
        let catalog = self.catalog.borrow();
        let mut running: BTreeMap<ServiceId, f64> = BTreeMap::new();
        for endpoint in catalog.all().filter(|endpoint| endpoint.region == *region) {
            let in_flight = pool.seat(&endpoint.id).map_or(0, |seat| seat.running());
            if in_flight > 0 {
                *running.entry(endpoint.service.clone()).or_default() += f64::from(in_flight);
            }
        }
        running
    }

    /// Chooses the region of the next request for a service, by expected cost in seconds
    fn pick_region(
        &self,
        now: Instant,
        service: &ServiceId,
        object: Option<u64>,
        cost: impl Fn(&RegionId) -> Option<f64>,
    ) -> Option<RegionId> {
        let home = self.settings.borrow().region.clone();
        let capacities = self.capacities(now, service);
        let target = region::target(&home, &capacities);
        let mut ramps = self.ramps.borrow_mut();
        let ramp = ramps.entry(service.clone()).or_default();
        let usable = |region: &RegionId| {
            capacities
                .get(region)
                .is_some_and(|capacity| capacity.slots > 0.0)
        };
        ramp.step(now, &target, usable);
        if ramp.has_moved() {
            self.record_shares(service, ramp.shares(), &target, &capacities);
        }
        let keeper = object.and_then(|object| ramp.keeper(object)).cloned();
        let is_other_region =
            |region: &RegionId| keeper.as_ref().is_some_and(|keeper| keeper != region);
        let penalty = |region: &RegionId| {
            if is_other_region(region) {
                region::STRANGE
            } else {
                0.0
            }
        };
        let picked = ramp.pick(|region| Some(cost(region)? + penalty(region)))?;
        if let Some(object) = object {
            let mut objects = self.recent_objects.borrow_mut();
            let key = (service.clone(), picked.clone());
            objects.entry(key).or_default().add(now, object);
        }
        Some(picked)
    }

    /// Logs a change of the shares and the capacities behind it
    fn record_shares(
        &self,
        service: &ServiceId,
        shares: &Shares,
        target: &Shares,
        capacities: &BTreeMap<RegionId, Room>,
    ) {
        let format_shares = |shares: &Shares| {
            let entries = shares
                .iter()
                .map(|(region, share)| format!("{region}={share:.2}"));
            entries.collect::<Vec<_>>().join(" ")
        };
        let capacities = capacities.iter().map(|(region, capacity)| {
            format!("{region}={:.1}/{:.0}", capacity.demand, capacity.slots)
        });
        let fields = [
            ("service", service.as_str().into()),
            ("shares", format_shares(shares).into()),
            ("target", format_shares(target).into()),
            (
                "demand_of_slots",
                capacities.collect::<Vec<_>>().join(" ").into(),
            ),
        ];
        self.recorder.event("shares", &fields);
    }

    /// Returns the current shares by service
    pub fn shares(&self) -> BTreeMap<ServiceId, Shares> {
        let ramps = self.ramps.borrow();
        let shares = ramps
            .iter()
            .map(|(name, ramp)| (name.clone(), ramp.shares().clone()));
        shares.collect()
    }

    /// Returns the slots and demand of all regions
    fn capacities(&self, now: Instant, service: &ServiceId) -> BTreeMap<RegionId, Room> {
        let mut capacities: BTreeMap<RegionId, Room> = BTreeMap::new();
        let catalog = self.catalog.borrow();
        let pool = self.pool.borrow();
        for endpoint in catalog.usable(service) {
            let is_ejected = pool.seat(&endpoint.id).is_some_and(|seat| seat.is_out(now));
            let is_cold = catalog.is_cold(now, &endpoint.id);
            let capacity = capacities.entry(endpoint.region.clone()).or_default();
            if !is_ejected && !is_cold {
                capacity.slots += f64::from(endpoint.slots);
            }
        }
        let home = self.settings.borrow().region.clone();
        capacities.entry(home).or_default();
        for (region, demand) in self.fleet.borrow().demand(now, service) {
            capacities.entry(region).or_default().demand = demand;
        }
        let ramps = self.ramps.borrow();
        let is_young = ramps.get(service).is_none_or(|ramp| ramp.is_young(now));
        region::assume(&mut capacities, is_young);
        capacities
    }
}
