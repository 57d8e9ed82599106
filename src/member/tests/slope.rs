//! Cost of a view by the number of hosts in the fleet.

use std::hint::black_box;
use std::time::{Duration, Instant};

use super::listed;
use crate::member::{HostInfo, View};

/// Calls that one figure is the mean of
const CALLS: u32 = 50;

fn mean(mut call: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..CALLS {
        call();
    }
    start.elapsed() / CALLS
}

#[test]
#[ignore = "prints the slopes for docs/CAPACITY.md"]
fn cost_by_hosts() {
    for hosts in [12, 120, 1200, 2700] {
        let names = (0..hosts).map(|n| format!("z{}-{n}", n % 74));
        let entries: Vec<HostInfo> = names.map(|name| listed(&name)).collect();
        let start = Instant::now();
        let mut view = View::new(start, entries[0].clone());
        view.apply_list(start, &entries);
        let list = mean(|| view.apply_list(start, &entries));
        let mut now = start;
        let tick = mean(|| {
            now += Duration::from_millis(101);
            view.tick(now);
        });
        let far = mean(|| {
            black_box(view.cross_zone_peers());
        });
        let zone = "z0".into();
        let owner = mean(|| {
            black_box(view.owner(&zone, &"turni".into()));
        });
        println!("| {hosts} | {list:.1?} | {tick:.1?} | {far:.1?} | {owner:.1?} |");
    }
}
