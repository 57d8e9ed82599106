//! An entry host on the users' platform, as a process.
//!
//! All tasks run on one thread and share [`Gateway`]. Decisions live in their own slices
//! (`policy`, `catalog`, `placement`, `region`, `retry`, `quarantine`, `fleet`); the modules here
//! carry them out. No borrow of a cell lasts over an await.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

use smol::{LocalExecutor, Task};

use crate::catalog::Catalog;
use crate::fleet::Fleet;
use crate::id::{EndpointId, Incarnation, RegionId, ServiceId};
use crate::placement::{Objects, Pool, Recent, work};
use crate::policy::Document;
use crate::quarantine;
use crate::region::{self, Ramp, Room, Shares};
use crate::retry::Window;

mod accept;
mod cold;
mod exchange;
mod forward;
mod idle;
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
    pub quarantine: RefCell<quarantine::List>,
    /// Decision log
    pub recorder: Recorder,
    /// What is counted
    pub metrics: Metrics,
    ramps: RefCell<BTreeMap<ServiceId, Ramp>>,
    retries: RefCell<BTreeMap<ServiceId, Window>>,
    objects: RefCell<BTreeMap<(ServiceId, RegionId), Objects>>,
    arrivals: RefCell<BTreeMap<ServiceId, Recent>>,
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
        retries.entry(service.clone()).or_default().request(now);
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.entry(service.clone()).or_default().add(now);
    }

    /// Endpoints among which each object of a service is kept, of so many
    fn homes(&self, service: &ServiceId, region: &RegionId, endpoints: usize) -> usize {
        let objects = self.objects.borrow();
        let objects = objects.get(&(service.clone(), region.clone()));
        objects.map_or(1, |objects| objects.homes(endpoints))
    }

    /// Forget objects that nobody asked for lately
    fn expire_objects(&self, now: Instant) {
        let mut objects = self.objects.borrow_mut();
        objects.values_mut().for_each(|objects| objects.expire(now));
    }

    /// Whether a second attempt fits into the fleet's budget; counts it if so
    fn allow_retry(&self, now: Instant, service: &ServiceId) -> bool {
        let hosts = self.fleet.borrow().size();
        let bound = self.settings.borrow().retries;
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        window.retry(now, &bound, hosts)
    }

    /// Slots that the requests entering here keep busy, by service
    pub fn demand(&self, now: Instant) -> BTreeMap<ServiceId, f32> {
        // Long enough to count tens of requests, short against a wave of traffic.
        const SPAN: std::time::Duration = std::time::Duration::from_secs(3);
        let pool = self.pool.borrow();
        let document = self.document();
        let home = self.settings.borrow().region.clone();
        let work = |service: &ServiceId| {
            let routes = document.iter().flat_map(|document| document.routes());
            let routes = routes.filter(|route| route.parts.iter().any(|p| p.service == *service));
            let known: Vec<f64> = routes
                .filter_map(|route| pool.work(&route.name, &home))
                .filter(|work| work.seen() > 0)
                .map(|work| work.expected(0))
                .collect();
            match known.len() {
                0 => work::GUESS,
                count => known.iter().sum::<f64>() / count as f64,
            }
        };
        let mut arrivals = self.arrivals.borrow_mut();
        let busy = arrivals.iter_mut().map(|(service, recent)| {
            let rate = recent.count(now, SPAN) as f64 / SPAN.as_secs_f64();
            (service.clone(), (rate * work(service)) as f32)
        });
        busy.collect()
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
        let target = region::target(&home, &rooms);
        let mut ramps = self.ramps.borrow_mut();
        let ramp = ramps.entry(service.clone()).or_default();
        let usable = |region: &RegionId| rooms.get(region).is_some_and(|room| room.slots > 0.0);
        ramp.step(now, &target, usable);
        let keeper = object.and_then(|object| ramp.keeper(object)).cloned();
        let strange = |region: &RegionId| keeper.as_ref().is_some_and(|keeper| keeper != region);
        let extra = |region: &RegionId| {
            if strange(region) {
                region::STRANGE
            } else {
                0.0
            }
        };
        let picked = ramp.pick(|region| Some(cost(region)? + extra(region)))?;
        if let Some(object) = object {
            let mut objects = self.objects.borrow_mut();
            let key = (service.clone(), picked.clone());
            objects.entry(key).or_default().add(now, object);
        }
        Some(picked)
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
    fn rooms(&self, now: Instant, service: &ServiceId) -> BTreeMap<RegionId, Room> {
        let mut rooms: BTreeMap<RegionId, Room> = BTreeMap::new();
        let catalog = self.catalog.borrow();
        let pool = self.pool.borrow();
        for endpoint in catalog.usable(service) {
            let out = pool.seat(&endpoint.id).is_some_and(|seat| seat.is_out(now));
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
        rooms
    }
}
