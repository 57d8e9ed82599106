//! Measures how encoding, decoding, accepting and applying a configuration scale with its size.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use tanagerpier::config::{
    Accepted, BlockRange, Document, Endpoint, Patch, Revision, Service, Shares, Store, Zone, accept,
};
use tanagerpier::id::{RegionId, ZoneId};

/// Largest allowed ratio of the costs of a step when the number of endpoints grows tenfold
const MAX_TENFOLD_COST_RATIO: f64 = 20.0;

/// Longest time to decode and apply a revision at the target size, in an optimized build
///
/// 4,000 changes a day within 1.2 % of a core allow 259 ms per change; this is a tenth of that.
const MAX_APPLY_TIME: Duration = Duration::from_millis(25);

#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    regions: usize,
    zones: usize,
    services: usize,
    endpoints: usize,
    ranges: u32,
}

const fn size(name: &'static str, zones: usize, endpoints: usize, ranges: u32) -> Size {
    let regions = if zones > 26 { 26 } else { 3 };
    Size {
        name,
        regions,
        zones,
        services: 2,
        endpoints,
        ranges,
    }
}

const SIZES: [Size; 6] = [
    size("Authority: 6 zones, 40 endpoints, 12 ranges", 6, 40, 12),
    size("74 zones, 63 endpoints, 100 ranges", 74, 63, 100),
    size("74 zones, 630 endpoints, 26 ranges", 74, 630, 26),
    size("74 zones, 630 endpoints, 1,000 ranges", 74, 630, 1_000),
    size("74 zones, 630 endpoints, 5,000 ranges", 74, 630, 5_000),
    size("74 zones, 2,000 endpoints, 1,000 ranges", 74, 2_000, 1_000),
];

fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").into()
}

fn region(size: Size, index: usize) -> RegionId {
    format!("region-{}", index % size.regions).into()
}

fn document(size: Size) -> Document {
    let mut document = Document::default();
    for index in 0..size.zones {
        let region = region(size, index);
        document.zones.insert(zone(index), Zone { region });
    }
    for index in 0..size.ranges {
        document.blocks.push(BlockRange {
            first: index * 29,
            last: index * 29 + 28,
            region: region(size, index as usize),
        });
    }
    for index in 0..size.services {
        let named_service = (
            format!("service-{index}").into(),
            self::service(size, index),
        );
        document.services.extend([named_service]);
    }
    document
}

/// Returns a service with its fraction of the endpoints; every entry zone has shares in 3 zones
fn service(size: Size, service_index: usize) -> Service {
    let mut service = Service::default();
    let endpoints_per_service = size.endpoints / size.services;
    for index in 0..endpoints_per_service {
        let port = 1000
            + u16::try_from(service_index * endpoints_per_service + index)
                .expect("port number fits in u16");
        let endpoint = Endpoint {
            zone: zone(index % size.zones),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            slots: 3,
            draining: false,
        };
        service
            .endpoints
            .insert(format!("endpoint-{index}").into(), endpoint);
    }
    let zones_with_endpoints = endpoints_per_service.min(size.zones);
    for index in 0..size.zones {
        let nearby_zone = |step: usize| zone((index + step) % zones_with_endpoints);
        let shares = Shares::from([
            (nearby_zone(0), 0.5),
            (nearby_zone(1), 0.25),
            (nearby_zone(2), 0.25),
        ]);
        service.shares.insert(zone(index), shares);
    }
    service
}

/// Returns the lowest mean time per operation of three runs
fn best_mean_time(iterations: u32, mut operation: impl FnMut()) -> Duration {
    let runs = (0..3).map(|_| {
        let started = Instant::now();
        for _ in 0..iterations {
            operation();
        }
        started.elapsed() / iterations
    });
    runs.min().expect("three runs")
}

struct Cost {
    apply_update: Duration,
    encode: Duration,
    apply: Duration,
    accept: Duration,
}

fn measure(size: Size, iterations: u32) -> Cost {
    let mut revision = Revision {
        number: 1,
        document: document(size),
        ..Revision::default()
    };
    for number in 2..=64 {
        revision = accept_patch(&revision, number);
    }
    let bytes = revision
        .encode()
        .expect("revision is within the size limit");
    let document = serde_json::to_vec(&revision.document)
        .expect("serializable")
        .len();
    let next = accept_patch(&revision, revision.number + 1);
    let update = next.update_since(revision.number).expect("serializable");
    let cost = Cost {
        apply_update: best_mean_time(iterations, || {
            black_box(
                revision
                    .apply_update(black_box(&update))
                    .expect("update applies to its base"),
            );
        }),
        encode: best_mean_time(iterations, || {
            black_box(
                revision
                    .encode()
                    .expect("revision is within the size limit"),
            );
        }),
        apply: best_mean_time(iterations, || {
            let mut store = Store::new();
            store.apply(Revision::decode(black_box(&bytes)).expect("valid revision"));
            black_box(store);
        }),
        accept: best_mean_time(iterations, || {
            black_box(accept_patch(&revision, revision.number + 1));
        }),
    };
    let Cost {
        apply_update,
        encode,
        apply,
        accept,
    } = &cost;
    println!(
        "{}: {document} bytes of document, {} bytes of revision, encode {encode:?}, \
         decode and apply {apply:?}, accept a patch {accept:?}, update of {} bytes, \
         apply the update {apply_update:?}",
        size.name,
        bytes.len(),
        update.len(),
    );
    cost
}

fn accept_patch(base: &Revision, number: u64) -> Revision {
    let shares = json!({"zone-0": {"zone-0": 0.5, "zone-1": 0.25, "zone-2": 0.25}});
    let shares = match number % 2 {
        0 => json!({"zone-0": {"zone-0": 0.75, "zone-1": 0.25, "zone-2": 0.0}}),
        _ => shares,
    };
    let patch = Patch {
        id: format!("{number:016x}").into(),
        base: number - 1,
        who: "an operator".into(),
        why: "move a quarter of zone-0 before the renewal peak".into(),
        change: json!({"services": {"service-0": {"shares": shares}}}),
    };
    match accept(base, &patch, 1_800_000_000_000) {
        Ok(Accepted::New(revision, _)) => *revision,
        other => panic!("patch not accepted: {other:?}"),
    }
}

fn main() {
    let is_bench = std::env::args().any(|argument| argument == "--bench");
    let iterations = if is_bench { 100 } else { 3 };
    let costs: Vec<Cost> = SIZES
        .iter()
        .map(|size| measure(*size, iterations))
        .collect();
    let (small_cost, large_cost) = (&costs[1], &costs[2]);
    for (step, small, large) in [
        ("encode", small_cost.encode, large_cost.encode),
        ("apply", small_cost.apply, large_cost.apply),
        ("accept", small_cost.accept, large_cost.accept),
    ] {
        let ratio = large.as_secs_f64() / small.as_secs_f64();
        println!("{step}: {ratio:.1} times the cost for ten times the endpoints");
        assert!(
            ratio <= MAX_TENFOLD_COST_RATIO,
            "cost of {step} grows faster than allowed: {ratio:.1} times for ten times the endpoints"
        );
    }
    let target_time = costs[3].apply;
    assert!(
        target_time <= MAX_APPLY_TIME,
        "decoding and applying a revision takes {target_time:?}"
    );
}
