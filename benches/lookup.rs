//! Cost of a look-up against the number of hosts, ranges of blocks and endpoints.
//!
//! The baseline works each look-up out from the configuration and the list of hosts, with a search
//! through all ranges and a sort of all hosts. Bounds are ratios within one run.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tanagerpier::config::{BlockRange, Document, Endpoint, Service, Zone};
use tanagerpier::id::{BlockId, HostId, RegionId, ZoneId};
use tanagerpier::lookup::{MAX_HOSTS, Table};
use tanagerpier::member::{HostInfo, View};
use tanagerpier::util;

/// Client blocks at the target
const BLOCKS: u32 = 290_000;

/// Longest mean time of a look-up at the target, in an optimized build
const LONGEST: Duration = Duration::from_micros(50);

/// Least gain over the baseline at the target that makes the table worth its upkeep
const GAIN: f64 = 2.0;

/// Most that a look-up may cost more with a thousand times the ranges, or 21 times the endpoints
const FLAT: f64 = 2.0;

#[derive(Clone, Copy)]
struct Size {
    regions: usize,
    zones: usize,
    hosts: usize,
    ranges: u32,
    endpoints: usize,
}

const TODAY: Size = Size {
    regions: 3,
    zones: 6,
    hosts: 2,
    ranges: 10,
    endpoints: 30,
};

const TARGET: Size = Size {
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
    let width = BLOCKS / size.ranges;
    for index in 0..size.ranges {
        document.blocks.push(BlockRange {
            first: index * width,
            last: (index + 1) * width - 1,
            region: region(size, index as usize),
        });
    }
    let mut service = Service::default();
    for index in 0..size.endpoints {
        let port = 1000 + u16::try_from(index).expect("few endpoints");
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
    let names = (0..size.zones).flat_map(|zone| (0..size.hosts).map(move |host| (zone, host)));
    let listed = names.map(|(index, host)| HostInfo {
        host: format!("host-{index}-{host}").into(),
        zone: zone(index),
        peer: address,
        caller: address,
        operator: None,
        leaving: false,
    });
    let listed: Vec<HostInfo> = listed.collect();
    let mut view = View::new(Instant::now(), listed[0].clone());
    view.apply_list(Instant::now(), &listed);
    view
}

/// Baseline without a prepared table
fn plain(document: &Document, view: &View, block: BlockId) -> Vec<HostId> {
    let range = document
        .blocks
        .iter()
        .find(|range| range.first <= block && block <= range.last);
    let near = |zone: &Zone| range.is_none_or(|range| range.region == zone.region);
    let zones = document.zones.iter().filter(|(_, zone)| near(zone));
    let mut zones: Vec<&ZoneId> = zones.map(|(name, _)| name).collect();
    zones.sort_by_key(|zone| std::cmp::Reverse(util::stable_hash(&(block, zone))));
    let mut offered = Vec::new();
    for zone in zones {
        let mut names: Vec<&HostId> = view.live_hosts(zone).map(|host| &host.info.host).collect();
        names.sort_by_key(|host| std::cmp::Reverse(util::stable_hash(&(block, host))));
        offered.extend(names.into_iter().cloned());
        if offered.len() >= MAX_HOSTS {
            break;
        }
    }
    offered.truncate(MAX_HOSTS);
    offered
}

/// Mean time of `work` on blocks drawn with a fixed seed
fn mean(count: u32, mut work: impl FnMut(BlockId) -> Vec<HostId>) -> Duration {
    let mut random = fastrand::Rng::with_seed(1);
    let started = Instant::now();
    for _ in 0..count {
        black_box(work(random.u32(0..BLOCKS)));
    }
    started.elapsed() / count
}

/// Mean time of a look-up: the best of three runs
fn lookup(name: &str, size: Size, count: u32) -> Duration {
    let (document, view) = (document(size), view(size));
    let table = Table::new(&document, &view, &zone(0));
    let runs = (0..3).map(|_| mean(count, |block| table.hosts(block)));
    let best = runs.min().expect("three runs");
    println!("{name}: {best:?} a look-up");
    best
}

fn ratio(a: Duration, b: Duration) -> f64 {
    a.as_secs_f64() / b.as_secs_f64()
}

fn main() {
    let whole = std::env::args().any(|argument| argument == "--bench");
    let count = if whole { 300_000 } else { 10_000 };
    let (document, view) = (document(TARGET), view(TARGET));
    let baseline = mean(count / 100, |block| plain(&document, &view, block));
    println!("target, baseline: {baseline:?} a look-up");
    let today = lookup("today", TODAY, count);
    let target = lookup("target", TARGET, count);
    let few_ranges = lookup(
        "target, 10 ranges",
        Size {
            ranges: 10,
            ..TARGET
        },
        count,
    );
    let few_endpoints = lookup(
        "target, 30 endpoints",
        Size {
            endpoints: 30,
            ..TARGET
        },
        count,
    );
    let few_zones = lookup(
        "target, 26 zones",
        Size {
            zones: 26,
            ..TARGET
        },
        count,
    );
    let few_hosts = lookup("target, 2 hosts a zone", Size { hosts: 2, ..TARGET }, count);
    println!("gain over the baseline: {:.0}", ratio(baseline, target));
    println!("target to today: {:.1}", ratio(target, today));
    println!("74 zones to 26: {:.1}", ratio(target, few_zones));
    println!("36 hosts to 2: {:.1}", ratio(target, few_hosts));
    assert!(!whole || target <= LONGEST, "a look-up takes {target:?}");
    assert!(ratio(baseline, target) >= GAIN, "no gain over the baseline");
    assert!(ratio(target, few_ranges) <= FLAT, "cost grows with ranges");
    assert!(
        ratio(target, few_endpoints) <= FLAT,
        "cost grows with endpoints"
    );
}
