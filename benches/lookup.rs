//! Measures how a lookup scales with the number of hosts, block ranges and endpoints.
//!
//! The baseline computes each lookup from the configuration and the list of hosts, with a linear
//! search through all ranges and a sort of all hosts. Apart from `MAX_LOOKUP_TIME`, the limits are
//! ratios of times from the same run.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tanagerpier::config::{BlockRange, Document, Endpoint, Service, Zone};
use tanagerpier::id::{BlockId, HostId, RegionId, ZoneId};
use tanagerpier::lookup::{MAX_HOSTS, Table};
use tanagerpier::member::{HostInfo, View};
use tanagerpier::util;

/// Number of client blocks at the target size
const CLIENT_BLOCKS: u32 = 290_000;

/// Longest mean time of a lookup at the target size, in an optimized build
const MAX_LOOKUP_TIME: Duration = Duration::from_micros(50);

/// Smallest speedup over the baseline, at the target size, that justifies maintaining the table
const MIN_SPEEDUP_RATIO: f64 = 2.0;

/// Largest allowed ratio of lookup times when there are 1,000 times the ranges or 21 times the
/// endpoints
const MAX_GROWTH_RATIO: f64 = 2.0;

#[derive(Clone, Copy)]
struct Size {
    regions: usize,
    zones: usize,
    hosts: usize,
    ranges: u32,
    endpoints: usize,
}

const CURRENT_SIZE: Size = Size {
    regions: 3,
    zones: 6,
    hosts: 2,
    ranges: 10,
    endpoints: 30,
};

const TARGET_SIZE: Size = Size {
    regions: 26,
    zones: 74,
    hosts: 36,
    ranges: 10_000,
    endpoints: 630,
};

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
    let width = CLIENT_BLOCKS / size.ranges;
    for index in 0..size.ranges {
        document.blocks.push(BlockRange {
            first: index * width,
            last: (index + 1) * width - 1,
            region: region(size, index as usize),
        });
    }
    let mut service = Service::default();
    for index in 0..size.endpoints {
        let port = 1000 + u16::try_from(index).expect("port number fits in u16");
        let endpoint = Endpoint {
            zone: zone(index % size.zones),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            slots: 3,
            draining: false,
        };
        service
            .endpoints
            .insert(format!("e{index}").into(), endpoint);
    }
    document.services.insert("licence-portal".into(), service);
    document
}

fn view(size: Size) -> View {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let indices = (0..size.zones).flat_map(|zone| (0..size.hosts).map(move |host| (zone, host)));
    let infos = indices.map(|(zone_index, host_index)| HostInfo {
        host: format!("host-{zone_index}-{host_index}").into(),
        zone: zone(zone_index),
        peer: address,
        caller: address,
        operator: None,
        leaving: false,
    });
    let hosts: Vec<HostInfo> = infos.collect();
    let mut view = View::new(Instant::now(), hosts[0].clone());
    view.apply_list(Instant::now(), &hosts);
    view
}

/// Returns the hosts for a block without a prepared table, as the baseline
fn baseline_hosts(document: &Document, view: &View, block: BlockId) -> Vec<HostId> {
    let range = document
        .blocks
        .iter()
        .find(|range| range.first <= block && block <= range.last);
    let is_in_region = |zone: &Zone| range.is_none_or(|range| range.region == zone.region);
    let zones = document.zones.iter().filter(|(_, zone)| is_in_region(zone));
    let mut zones: Vec<&ZoneId> = zones.map(|(name, _)| name).collect();
    zones.sort_by_key(|zone| std::cmp::Reverse(util::stable_hash(&(block, zone))));
    let mut hosts = Vec::new();
    for zone in zones {
        let mut zone_hosts: Vec<&HostId> =
            view.live_hosts(zone).map(|host| &host.info.host).collect();
        zone_hosts.sort_by_key(|host| std::cmp::Reverse(util::stable_hash(&(block, host))));
        hosts.extend(zone_hosts.into_iter().cloned());
        if hosts.len() >= MAX_HOSTS {
            break;
        }
    }
    hosts.truncate(MAX_HOSTS);
    hosts
}

/// Returns the mean time of a lookup for blocks drawn with a fixed seed
fn mean_time(iterations: u32, mut lookup: impl FnMut(BlockId) -> Vec<HostId>) -> Duration {
    let mut random = fastrand::Rng::with_seed(1);
    let started = Instant::now();
    for _ in 0..iterations {
        black_box(lookup(random.u32(0..CLIENT_BLOCKS)));
    }
    started.elapsed() / iterations
}

/// Prints and returns the lowest mean time of a lookup in three runs
fn measure_lookup(label: &str, size: Size, iterations: u32) -> Duration {
    let (document, view) = (document(size), view(size));
    let table = Table::new(&document, &view, &zone(0));
    let runs = (0..3).map(|_| mean_time(iterations, |block| table.hosts(block)));
    let best = runs.min().expect("three runs");
    println!("{label}: {best:?} per lookup");
    best
}

fn ratio(numerator: Duration, denominator: Duration) -> f64 {
    numerator.as_secs_f64() / denominator.as_secs_f64()
}

fn main() {
    let is_bench = std::env::args().any(|argument| argument == "--bench");
    let iterations = if is_bench { 300_000 } else { 10_000 };
    let (document, view) = (document(TARGET_SIZE), view(TARGET_SIZE));
    let baseline = mean_time(iterations / 100, |block| {
        baseline_hosts(&document, &view, block)
    });
    println!("target, baseline: {baseline:?} per lookup");
    let current = measure_lookup("current", CURRENT_SIZE, iterations);
    let target = measure_lookup("target", TARGET_SIZE, iterations);
    let few_ranges = measure_lookup(
        "target, 10 ranges",
        Size {
            ranges: 10,
            ..TARGET_SIZE
        },
        iterations,
    );
    let few_endpoints = measure_lookup(
        "target, 30 endpoints",
        Size {
            endpoints: 30,
            ..TARGET_SIZE
        },
        iterations,
    );
    let few_zones = measure_lookup(
        "target, 26 zones",
        Size {
            zones: 26,
            ..TARGET_SIZE
        },
        iterations,
    );
    let few_hosts = measure_lookup(
        "target, 2 hosts per zone",
        Size {
            hosts: 2,
            ..TARGET_SIZE
        },
        iterations,
    );
    println!("speedup over the baseline: {:.0}", ratio(baseline, target));
    println!("ratio of target to current: {:.1}", ratio(target, current));
    println!("ratio of 74 zones to 26: {:.1}", ratio(target, few_zones));
    println!(
        "ratio of 36 hosts per zone to 2: {:.1}",
        ratio(target, few_hosts)
    );
    assert!(
        !is_bench || target <= MAX_LOOKUP_TIME,
        "a lookup takes {target:?} at the target size"
    );
    assert!(
        ratio(baseline, target) >= MIN_SPEEDUP_RATIO,
        "too little speedup over the baseline"
    );
    assert!(
        ratio(target, few_ranges) <= MAX_GROWTH_RATIO,
        "lookup time grows with the number of ranges"
    );
    assert!(
        ratio(target, few_endpoints) <= MAX_GROWTH_RATIO,
        "lookup time grows with the number of endpoints"
    );
}
