//! The steering decisions of one request, beside a plain baseline that keeps no promise.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant, SystemTime};

use tanagerpier::config::{Cap, Document, Endpoint, Service, Shares};
use tanagerpier::id::{EndpointId, ZoneId};
use tanagerpier::route::Router;
use tanagerpier::shift::Ramp;
use tanagerpier::slot::{Admission, Lease, Outcome, Pool, Request};
use tanagerpier::wire::Reason;

/// Service in all runs
const SERVICE: &str = "turni";

/// Parts of a run of which the fastest counts
const PARTS: usize = 15;

/// Nanoseconds of one call, the least over several parts of a run
pub fn time(calls: u32, mut call: impl FnMut()) -> f64 {
    let part = |_| {
        let start = Instant::now();
        (0..calls).for_each(|_| call());
        start.elapsed().as_nanos() as f64 / f64::from(calls)
    };
    (0..PARTS).map(part).fold(f64::INFINITY, f64::min)
}

/// Endpoints of 3 slots, spread over zones
pub fn endpoints(count: usize, zones: usize) -> BTreeMap<EndpointId, Endpoint> {
    let endpoints = (0..count).map(|index| {
        let endpoint = Endpoint {
            zone: zone(index % zones),
            address: ([127, 0, 0, 1], index as u16).into(),
            slots: 3,
            draining: false,
        };
        (EndpointId::from(format!("e{index}")), endpoint)
    });
    endpoints.collect()
}

/// Document with one service
pub fn document(count: usize, zones: usize) -> Document {
    let mut document = Document::default();
    let service = serde_json::json!({ "endpoints": endpoints(count, zones) });
    let service: Service = serde_json::from_value(service).expect("a service");
    document.services.insert(SERVICE.into(), service);
    document
}

/// Equal shares of some zones
pub fn shares(zones: usize) -> Shares {
    let share = |index| (zone(index), 1.0 / zones as f64);
    (0..zones).map(share).collect()
}

fn zone(index: usize) -> ZoneId {
    ZoneId::from(format!("z{index}"))
}

/// Admit a request and give its slot back
pub fn admit(count: usize, calls: u32) -> f64 {
    let now = Instant::now();
    let mut pool = Pool::with_seed(1);
    pool.configure(now, &endpoints(count, 1));
    pool.set_caps(now, &Cap::default(), &Cap::default());
    // a third of the slots is in use
    let held: Vec<Lease> = (0..count).filter_map(|_| start(&mut pool, now)).collect();
    let spent = time(calls, || {
        let lease = start(&mut pool, now).expect("a free slot");
        black_box(pool.release(now, &lease, Outcome::Served(Duration::from_millis(5))));
    });
    assert_eq!(held.len(), count);
    spent
}

fn start(pool: &mut Pool, now: Instant) -> Option<Lease> {
    let ask = Request {
        deadline: now + Duration::from_secs(5),
        reason: Reason::Share,
        excluded: Vec::new(),
    };
    match pool.admit(now, ask) {
        Admission::Granted(lease) => Some(lease),
        _ => None,
    }
}

/// Baseline of [`admit`]: the least busy of all endpoints
pub fn plain_admit(count: usize, calls: u32) -> f64 {
    let mut seats: BTreeMap<EndpointId, (Endpoint, u32)> = endpoints(count, 1)
        .into_iter()
        .map(|(name, endpoint)| (name, (endpoint, 1)))
        .collect();
    time(calls, || {
        let free = seats.iter_mut().filter(|(_, (e, busy))| *busy < e.slots);
        let least = free.min_by_key(|(_, (_, busy))| *busy);
        let (name, (endpoint, busy)) = least.expect("a free slot");
        *busy += 1;
        let lease = black_box(Lease {
            endpoint: name.clone(),
            address: endpoint.address,
        });
        seats.get_mut(&lease.endpoint).expect("a seat").1 -= 1;
    })
}

/// Apply the shares to a request, at rest or during a shift
pub fn route(count: usize, zones: usize, shifting: bool, calls: u32) -> f64 {
    let document = document(count, zones);
    let service = SERVICE.into();
    let mut router = Router::with_seed(zone(0), 1);
    let mut ramp = Ramp::with_shares([(zone(0), 1.0)].into());
    let target = shares(zones);
    let cap = &document.services[SERVICE].shift;
    let mut now = Instant::now();
    let wall = SystemTime::now();
    if !shifting {
        let long = now + Duration::from_secs(3600);
        ramp.advance(now, wall, &target, None, cap);
        (0..100u32).for_each(|step| {
            ramp.advance(now + (long - now) / 100 * step, wall, &target, None, cap);
        });
        now = long;
    }
    time(calls, || {
        now += Duration::from_micros(10);
        let shares = ramp.advance(now, wall, &target, None, cap);
        black_box(router.route(now, &document, &service, &shares));
    })
}

/// Baseline of [`route`]: a random draw, then the other zones in order
pub fn plain_route(count: usize, zones: usize, calls: u32) -> f64 {
    let document = document(count, zones);
    let target = shares(zones);
    let mut order: Vec<ZoneId> = Vec::new();
    for endpoint in document.services[SERVICE].endpoints.values() {
        if !order.contains(&endpoint.zone) {
            order.push(endpoint.zone.clone());
        }
    }
    time(calls, || {
        let mut draw = fastrand::f64();
        let first = target.iter().find(|(_, share)| {
            draw -= **share;
            draw < 0.0
        });
        let first = first.map_or(&order[0], |(zone, _)| zone);
        let mut choices = vec![first.clone()];
        choices.extend(order.iter().filter(|zone| *zone != first).cloned());
        black_box(choices);
    })
}

/// Take one step of a shift
pub fn ramp(zones: usize, calls: u32) -> f64 {
    let mut ramp = Ramp::with_shares([(zone(0), 1.0)].into());
    let target = shares(zones);
    let cap = Cap::default();
    let mut now = Instant::now();
    let wall = SystemTime::now();
    time(calls, || {
        now += Duration::from_micros(10);
        black_box(ramp.advance(now, wall, &target, None, &cap));
    })
}

/// Baseline of [`ramp`]: a jump to the target
pub fn plain_ramp(zones: usize, calls: u32) -> f64 {
    let target = shares(zones);
    let mut current = Shares::new();
    time(calls, || {
        current.clone_from(&target);
        black_box(&current);
    })
}
