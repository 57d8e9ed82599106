//! Timed steering decisions for one request, each with a simple baseline that gives none of the
//! guarantees of the real decision.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant, SystemTime};

use tanagerpier::config::{Cap, Document, Endpoint, Service, Shares};
use tanagerpier::id::{EndpointId, ZoneId};
use tanagerpier::route::Router;
use tanagerpier::shift::Ramp;
use tanagerpier::slot::{Admission, Lease, Outcome, Pool, Request};
use tanagerpier::wire::Reason;

/// Name of the service in all measurements
const SERVICE: &str = "turni";

/// Number of batches of calls, of which the fastest counts
const TIMING_BATCHES: usize = 15;

/// Returns the lowest mean duration of a call in nanoseconds over several batches
pub fn min_nanos_per_call(calls: u32, mut call: impl FnMut()) -> f64 {
    let batch = |_| {
        let started_at = Instant::now();
        (0..calls).for_each(|_| call());
        started_at.elapsed().as_nanos() as f64 / f64::from(calls)
    };
    (0..TIMING_BATCHES).map(batch).fold(f64::INFINITY, f64::min)
}

/// Returns endpoints with 3 slots each, distributed evenly over the zones
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

/// Returns a document with one service
pub fn document(count: usize, zones: usize) -> Document {
    let mut document = Document::default();
    let service = serde_json::json!({ "endpoints": endpoints(count, zones) });
    let service: Service = serde_json::from_value(service).expect("valid service");
    document.services.insert(SERVICE.into(), service);
    document
}

/// Returns equal shares for the zones
pub fn shares(zones: usize) -> Shares {
    let share = |index| (zone(index), 1.0 / zones as f64);
    (0..zones).map(share).collect()
}

fn zone(index: usize) -> ZoneId {
    ZoneId::from(format!("z{index}"))
}

/// Measures how long it takes to admit a request and release its slot
pub fn admit(count: usize, calls: u32) -> f64 {
    let now = Instant::now();
    let mut pool = Pool::with_seed(1);
    pool.configure(now, &endpoints(count, 1));
    pool.set_caps(now, &Cap::default(), &Cap::default());
    // one lease per endpoint keeps a third of the slots in use
    let leases: Vec<Lease> = (0..count)
        .filter_map(|_| acquire_slot(&mut pool, now))
        .collect();
    let nanos_per_call = min_nanos_per_call(calls, || {
        let lease = acquire_slot(&mut pool, now).expect("a free slot");
        black_box(pool.release(now, &lease, Outcome::Served(Duration::from_millis(5))));
    });
    assert_eq!(leases.len(), count);
    nanos_per_call
}

fn acquire_slot(pool: &mut Pool, now: Instant) -> Option<Lease> {
    let request = Request {
        deadline: now + Duration::from_secs(5),
        reason: Reason::Share,
        excluded: Vec::new(),
    };
    match pool.admit(now, request) {
        Admission::Granted(lease) => Some(lease),
        _ => None,
    }
}

/// Measures the baseline of [`admit`]: a linear search for the endpoint with the fewest busy slots
pub fn baseline_admit(count: usize, calls: u32) -> f64 {
    let mut endpoints: BTreeMap<EndpointId, (Endpoint, u32)> = endpoints(count, 1)
        .into_iter()
        .map(|(name, endpoint)| (name, (endpoint, 1)))
        .collect();
    min_nanos_per_call(calls, || {
        let free = endpoints
            .iter_mut()
            .filter(|(_, (endpoint, busy))| *busy < endpoint.slots);
        let least_busy = free.min_by_key(|(_, (_, busy))| *busy);
        let (name, (endpoint, busy)) = least_busy.expect("a free slot");
        *busy += 1;
        let lease = black_box(Lease {
            endpoint: name.clone(),
            address: endpoint.address,
        });
        endpoints
            .get_mut(&lease.endpoint)
            .expect("the leased endpoint")
            .1 -= 1;
    })
}

/// Measures how long it takes to route a request by the shares, with or without a shift in
/// progress
pub fn route(count: usize, zones: usize, is_shifting: bool, calls: u32) -> f64 {
    let document = document(count, zones);
    let service = SERVICE.into();
    let mut router = Router::with_seed(zone(0), 1);
    let mut ramp = Ramp::with_shares([(zone(0), 1.0)].into());
    let target = shares(zones);
    let cap = &document.services[SERVICE].shift;
    let mut now = Instant::now();
    let wall_clock = SystemTime::now();
    if !is_shifting {
        let ramp_end = now + Duration::from_secs(3600);
        ramp.advance(now, wall_clock, &target, None, cap);
        (0..100u32).for_each(|step| {
            ramp.advance(
                now + (ramp_end - now) / 100 * step,
                wall_clock,
                &target,
                None,
                cap,
            );
        });
        now = ramp_end;
    }
    min_nanos_per_call(calls, || {
        now += Duration::from_micros(10);
        let shares = ramp.advance(now, wall_clock, &target, None, cap);
        black_box(router.route(now, &document, &service, &shares));
    })
}

/// Measures the baseline of [`route`]: a random draw of the first zone, then the others in order
pub fn baseline_route(count: usize, zones: usize, calls: u32) -> f64 {
    let document = document(count, zones);
    let target = shares(zones);
    let mut order: Vec<ZoneId> = Vec::new();
    for endpoint in document.services[SERVICE].endpoints.values() {
        if !order.contains(&endpoint.zone) {
            order.push(endpoint.zone.clone());
        }
    }
    min_nanos_per_call(calls, || {
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

/// Measures how long one step of a shift takes
pub fn ramp(zones: usize, calls: u32) -> f64 {
    let mut ramp = Ramp::with_shares([(zone(0), 1.0)].into());
    let target = shares(zones);
    let cap = Cap::default();
    let mut now = Instant::now();
    let wall_clock = SystemTime::now();
    min_nanos_per_call(calls, || {
        now += Duration::from_micros(10);
        black_box(ramp.advance(now, wall_clock, &target, None, &cap));
    })
}

/// Measures the baseline of [`ramp`]: setting the target shares at once
pub fn baseline_ramp(zones: usize, calls: u32) -> f64 {
    let target = shares(zones);
    let mut current = Shares::new();
    min_nanos_per_call(calls, || {
        current.clone_from(&target);
        black_box(&current);
    })
}
