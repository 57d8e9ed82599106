//! Cost of a configuration against its size: bytes, decoding, acceptance and putting in force.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use tanagerpier::config::{
    Accepted, BlockRange, Document, Endpoint, Patch, Revision, Service, Shares, Store, Zone, accept,
};
use tanagerpier::id::{RegionId, ZoneId};

/// Most that ten times the endpoints may cost more in each step
const LINEAR: f64 = 20.0;

/// Longest time from bytes to a configuration in force at the target, in an optimized build
///
/// 4,000 changes a day at 1.2 % of a core leave 259 ms for each; a tenth of that.
const LONGEST: Duration = Duration::from_millis(25);

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
    for service in 0..size.services {
        let service = (
            format!("service-{service}").into(),
            self::service(size, service),
        );
        document.services.extend([service]);
    }
    document
}

/// Service with its part of the endpoints and shares of three zones for each entry zone
fn service(size: Size, number: usize) -> Service {
    let mut service = Service::default();
    let each = size.endpoints / size.services;
    for index in 0..each {
        let port = 1000 + u16::try_from(number * each + index).expect("few endpoints");
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
    let filled = each.min(size.zones);
    for index in 0..size.zones {
        let near = |step: usize| zone((index + step) % filled);
        let shares = Shares::from([(near(0), 0.5), (near(1), 0.25), (near(2), 0.25)]);
        service.shares.insert(zone(index), shares);
    }
    service
}

/// Best mean of three runs
fn best(count: u32, mut work: impl FnMut()) -> Duration {
    let runs = (0..3).map(|_| {
        let started = Instant::now();
        for _ in 0..count {
            work();
        }
        started.elapsed() / count
    });
    runs.min().expect("three runs")
}

struct Cost {
    follow: Duration,
    encode: Duration,
    apply: Duration,
    accept: Duration,
}

fn measure(size: Size, count: u32) -> Cost {
    let mut revision = Revision {
        number: 1,
        document: document(size),
        ..Revision::default()
    };
    for number in 2..=64 {
        revision = accepted(&revision, number);
    }
    let bytes = revision.encode().expect("fits");
    let document = serde_json::to_vec(&revision.document)
        .expect("encodes")
        .len();
    let next = accepted(&revision, revision.number + 1);
    let update = next.update_since(revision.number).expect("encodes");
    let cost = Cost {
        follow: best(count, || {
            black_box(revision.apply_update(black_box(&update)).expect("follows"));
        }),
        encode: best(count, || {
            black_box(revision.encode().expect("fits"));
        }),
        apply: best(count, || {
            let mut store = Store::new();
            store.apply(Revision::decode(black_box(&bytes)).expect("decodes"));
            black_box(store);
        }),
        accept: best(count, || {
            black_box(accepted(&revision, revision.number + 1));
        }),
    };
    let Cost {
        follow,
        encode,
        apply,
        accept,
    } = &cost;
    println!(
        "{}: {document} bytes of document, {} of revision, encode {encode:?}, \
         decode and apply {apply:?}, accept a patch {accept:?}, update of {} bytes, \
         follow {follow:?}",
        size.name,
        bytes.len(),
        update.len(),
    );
    cost
}

fn accepted(present: &Revision, number: u64) -> Revision {
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
    match accept(present, &patch, 1_800_000_000_000) {
        Ok(Accepted::New(revision, _)) => *revision,
        other => panic!("not accepted: {other:?}"),
    }
}

fn main() {
    let whole = std::env::args().any(|argument| argument == "--bench");
    let count = if whole { 100 } else { 3 };
    let costs: Vec<Cost> = SIZES.iter().map(|size| measure(*size, count)).collect();
    let (small, large) = (&costs[1], &costs[2]);
    for (step, small, large) in [
        ("encode", small.encode, large.encode),
        ("apply", small.apply, large.apply),
        ("accept", small.accept, large.accept),
    ] {
        let ratio = large.as_secs_f64() / small.as_secs_f64();
        println!("{step}: ten times the endpoints cost {ratio:.1} times as much");
        assert!(
            ratio <= LINEAR,
            "{step} grows faster than the configuration"
        );
    }
    let target = costs[3].apply;
    assert!(
        target <= LONGEST,
        "it takes {target:?} to put a configuration in force"
    );
}
