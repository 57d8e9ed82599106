//! An entry host on the users' platform, as a process.
//!
//! All tasks run on one thread and share [`Gateway`]. Decisions live in their own slices
//! (`policy`, `catalog`, `placement`, `region`, `retry`, `quarantine`, `fleet`); the modules here
//! carry them out. No borrow of a cell lasts over an await.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::{LocalExecutor, Task};

use crate::catalog::Catalog;
use crate::fleet::{self, Fleet};
use crate::id::{EndpointId, Incarnation, RegionId, ServiceId};
use crate::placement::{AffinityKeys, Pool, ServiceTime, SlidingWindow, service_time};
use crate::policy::Document;
use crate::quarantine;
use crate::region::{self, Balancer, Demand, Load, Shares};
use crate::retry::WindowBudget;

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

/// Time over which requests are counted for the demand; long enough for tens of requests, short
/// against a wave of traffic
const RATE_SPAN: Duration = Duration::from_secs(3);

/// State that all tasks of an entry host share
#[derive(Debug)]
pub struct Gateway {
    /// Settings in force
    pub settings: RefCell<Settings>,
    /// Random number of this run of the process
    pub incarnation: Incarnation,
    /// Configuration in force, once one is known
    pub document: RefCell<Option<Rc<Document>>>,
    /// Known endpoints
    pub catalog: RefCell<Catalog>,
    /// Load and health of the endpoints
    pub pool: RefCell<Pool>,
    /// Other entry hosts
    pub fleet: RefCell<Fleet>,
    /// Objects of the store as they were read
    pub mirror: RefCell<Mirror>,
    /// Kept connections to endpoints
    pub idle: RefCell<idle::Idle>,
    /// Requests that bring endpoints down
    pub quarantine: RefCell<quarantine::Tracker>,
    /// Decision log
    pub recorder: Recorder,
    /// What is counted
    pub metrics: Metrics,
    ramps: RefCell<BTreeMap<ServiceId, Balancer>>,
    retries: RefCell<BTreeMap<ServiceId, WindowBudget>>,
    objects: RefCell<BTreeMap<(ServiceId, RegionId), AffinityKeys>>,
    arrivals: RefCell<BTreeMap<ServiceId, SlidingWindow>>,
    demand: RefCell<BTreeMap<ServiceId, Demand>>,
    chills: RefCell<BTreeMap<EndpointId, cold::Tokens>>,
    stopping: Cell<bool>,
    /// Whether new requests are refused, as they could not be finished
    closing: Cell<bool>,
    open: Cell<usize>,
    running: Cell<usize>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Gateway {
    /// Gateway that knows neither configuration nor endpoints yet
    pub fn new(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            fleet: RefCell::new(Fleet::new(settings.host.clone())),
            settings: RefCell::new(settings),
            incarnation: fastrand::u64(1..),
            document: RefCell::default(),
            catalog: RefCell::default(),
            pool: RefCell::default(),
            mirror: RefCell::default(),
            idle: RefCell::default(),
            quarantine: RefCell::default(),
            recorder: Recorder::new(),
            metrics: Metrics::new(),
            ramps: RefCell::default(),
            retries: RefCell::default(),
            objects: RefCell::default(),
            arrivals: RefCell::default(),
            demand: RefCell::default(),
            chills: RefCell::default(),
            stopping: Cell::new(false),
            closing: Cell::new(false),
            open: Cell::new(0),
            running: Cell::new(0),
            executor,
        }
    }

    /// Run a task beside the others
    pub fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.spawn(work)
    }

    /// Whether requests can be served
    pub fn is_ready(&self) -> bool {
        let known = self.document.borrow().is_some() && !self.catalog.borrow().is_empty();
        known && !self.is_stopping()
    }

    /// Whether a planned stop has begun
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Configuration in force
    pub fn document(&self) -> Option<Rc<Document>> {
        self.document.borrow().clone()
    }

    /// Version of the configuration in force, 0 for none
    pub fn version(&self) -> u64 {
        self.document().map_or(0, |document| document.version)
    }

    /// Put a configuration in force if its version is higher; says whether it did
    pub fn apply(&self, document: Document) -> bool {
        let mut current = self.document.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= document.version)
        {
            return false;
        }
        self.recorder.event(
            "configuration",
            &[
                ("version", document.version.into()),
                ("routes", document.routes().count().into()),
            ],
        );
        *current = Some(Rc::new(document));
        true
    }

    /// Count a request for a service
    fn count_request(&self, now: Instant, service: &ServiceId) {
        let mut retries = self.retries.borrow_mut();
        retries
            .entry(service.clone())
            .or_default()
            .record_request(now);
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.entry(service.clone()).or_default().record(now);
    }

    /// Endpoints among which each object of a service is kept, of so many
    fn homes(&self, service: &ServiceId, region: &RegionId, endpoints: usize) -> usize {
        let objects = self.objects.borrow();
        let objects = objects.get(&(service.clone(), region.clone()));
        objects.map_or(1, |objects| objects.set_size(endpoints))
    }

    /// Forget objects that nobody asked for lately
    fn expire_objects(&self, now: Instant) {
        let mut objects = self.objects.borrow_mut();
        objects.values_mut().for_each(|objects| objects.expire(now));
    }

    /// Whether a second attempt fits into the fleet's budget; counts it if so
    fn allow_retry(&self, now: Instant, service: &ServiceId) -> bool {
        let hosts = self.fleet.borrow().size();
        let bound = self.settings.borrow().retry_bound;
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        window.try_retry(now, &bound, hosts)
    }

    /// Slots that the requests entering here keep busy, by service
    pub fn demand(&self) -> BTreeMap<ServiceId, f32> {
        let demand = self.demand.borrow();
        let busy = demand
            .iter()
            .map(|(service, demand)| (service.clone(), demand.busy_slots() as f32));
        busy.collect()
    }

    /// Measure the demand; to be called several times a second
    fn measure(&self, now: Instant) {
        let home = self.settings.borrow().region.clone();
        let running = self.running_at(&home);
        let shares = self.shares();
        let mut arrivals = self.arrivals.borrow_mut();
        let mut demand = self.demand.borrow_mut();
        for (service, recent) in arrivals.iter_mut() {
            let rate = recent.rate(now, RATE_SPAN);
            let share = shares.get(service).and_then(|shares| shares.get(&home));
            let share = share.copied().unwrap_or(1.0);
            let here = running.get(service).copied().unwrap_or(0.0);
            let work = rate * self.usual_work(service, &home, |work| work.expected(0));
            let most = rate * self.usual_work(service, &home, ServiceTime::cold);
            let demand = demand.entry(service.clone()).or_default();
            demand.record(now, work, most, here, share);
        }
    }

    /// Count the own demand with that of the others
    fn hear_self(&self) {
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

    /// Usual time at an endpoint of a service, over its routes, in seconds
    fn usual_work(
        &self,
        service: &ServiceId,
        region: &RegionId,
        read: impl Fn(&ServiceTime) -> f64,
    ) -> f64 {
        let pool = self.pool.borrow();
        let document = self.document();
        let routes = document.iter().flat_map(|document| document.routes());
        let routes = routes.filter(|route| route.services.iter().any(|p| p.service == *service));
        let known: Vec<f64> = routes
            .filter_map(|route| pool.service_time(&route.name, region))
            .filter(|work| work.samples() > 0)
            .map(read)
            .collect();
        match known.len() {
            0 => service_time::INITIAL_SECONDS,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }

    /// Requests of this host at the endpoints of a region, by service
    fn running_at(&self, region: &RegionId) -> BTreeMap<ServiceId, f64> {
        let pool = self.pool.borrow();
        let catalog = self.catalog.borrow();
        let mut running: BTreeMap<ServiceId, f64> = BTreeMap::new();
        for endpoint in catalog.all().filter(|end| end.region == *region) {
            let here = pool.endpoint(&endpoint.id).map_or(0, |seat| seat.running());
            if here > 0 {
                *running.entry(endpoint.service.clone()).or_default() += f64::from(here);
            }
        }
        running
    }

    /// Region of the next request for a service, by expected cost in seconds
    fn pick_region(
        &self,
        now: Instant,
        service: &ServiceId,
        object: Option<u64>,
        cost: impl Fn(&RegionId) -> Option<f64>,
    ) -> Option<RegionId> {
        let home = self.settings.borrow().region.clone();
        let rooms = self.rooms(now, service);
        let target = region::target_shares(&home, &rooms);
        let mut ramps = self.ramps.borrow_mut();
        let ramp = ramps.entry(service.clone()).or_default();
        let usable = |region: &RegionId| rooms.get(region).is_some_and(|room| room.slots > 0.0);
        ramp.step(now, &target, usable);
        if ramp.take_change() {
            self.tell_shares(service, ramp.shares(), &target, &rooms);
        }
        let keeper = object
            .and_then(|object| ramp.region_for_key(object))
            .cloned();
        let strange = |region: &RegionId| keeper.as_ref().is_some_and(|keeper| keeper != region);
        let extra = |region: &RegionId| {
            if strange(region) {
                region::MISPLACED_KEY_COST_SECONDS
            } else {
                0.0
            }
        };
        let picked = ramp.pick(|region| Some(cost(region)? + extra(region)))?;
        if let Some(object) = object {
            let mut objects = self.objects.borrow_mut();
            let key = (service.clone(), picked.clone());
            objects.entry(key).or_default().record(now, object);
        }
        Some(picked)
    }

    /// Record that shares moved, and what they follow
    fn tell_shares(
        &self,
        service: &ServiceId,
        shares: &Shares,
        target: &Shares,
        rooms: &BTreeMap<RegionId, Load>,
    ) {
        let text = |shares: &Shares| {
            let parts = shares
                .iter()
                .map(|(region, share)| format!("{region}={share:.2}"));
            parts.collect::<Vec<_>>().join(" ")
        };
        let rooms = rooms
            .iter()
            .map(|(region, room)| format!("{region}={:.1}/{:.0}", room.demand, room.slots));
        let fields = [
            ("service", service.as_str().into()),
            ("shares", text(shares).into()),
            ("target", text(target).into()),
            (
                "demand_of_slots",
                rooms.collect::<Vec<_>>().join(" ").into(),
            ),
        ];
        self.recorder.event("shares", &fields);
    }

    /// Shares in force by service
    pub fn shares(&self) -> BTreeMap<ServiceId, Shares> {
        let ramps = self.ramps.borrow();
        let shares = ramps
            .iter()
            .map(|(name, ramp)| (name.clone(), ramp.shares().clone()));
        shares.collect()
    }

    /// Slots and demand of all regions
    fn rooms(&self, now: Instant, service: &ServiceId) -> BTreeMap<RegionId, Load> {
        let mut rooms: BTreeMap<RegionId, Load> = BTreeMap::new();
        let catalog = self.catalog.borrow();
        let pool = self.pool.borrow();
        for endpoint in catalog.usable(service) {
            let out = pool
                .endpoint(&endpoint.id)
                .is_some_and(|seat| seat.is_ejected(now));
            let cold = catalog.is_cold(now, &endpoint.id);
            let room = rooms.entry(endpoint.region.clone()).or_default();
            if !out && !cold {
                room.slots += f64::from(endpoint.slots);
            }
        }
        let own = self.settings.borrow().region.clone();
        rooms.entry(own).or_default();
        for (region, demand) in self.fleet.borrow().demand(now, service) {
            rooms.entry(region).or_default().demand = demand;
        }
        let ramps = self.ramps.borrow();
        let is_young = ramps.get(service).is_none_or(|ramp| ramp.is_starting(now));
        region::assume_equal_demand(&mut rooms, is_young);
        rooms
    }
}
