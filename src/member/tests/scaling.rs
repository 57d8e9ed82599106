//! Benchmark of view operations by the number of hosts in the fleet.

use std::hint::black_box;
use std::time::{Duration, Instant};

use super::host_info;
use crate::member::{HostInfo, View};

/// Number of calls per measurement
const CALLS: u32 = 50;

/// Returns the mean time of a call
fn mean_time(mut call: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..CALLS {
        call();
    }
    start.elapsed() / CALLS
}

#[test]
#[ignore = "prints the slopes for docs/CAPACITY.md"]
fn cost_by_hosts() {
    for host_count in [12, 120, 1200, 2700] {
        let names = (0..host_count).map(|n| format!("z{}-{n}", n % 74));
        let hosts: Vec<HostInfo> = names.map(|name| host_info(&name)).collect();
        let start = Instant::now();
        let mut view = View::new(start, hosts[0].clone());
        view.apply_list(start, &hosts);
        let apply_list = mean_time(|| view.apply_list(start, &hosts));
        let mut now = start;
        let tick = mean_time(|| {
            now += Duration::from_millis(101);
            view.tick(now);
        });
        let cross_zone_peers = mean_time(|| {
            black_box(view.cross_zone_peers());
        });
        let zone = "z0".into();
        let owner = mean_time(|| {
            black_box(view.owner(&zone, &"turni".into()));
        });
        println!(
            "| {host_count} | {apply_list:.1?} | {tick:.1?} | {cross_zone_peers:.1?} | {owner:.1?} |"
        );
    }
}
