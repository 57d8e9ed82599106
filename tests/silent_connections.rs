//! Connections that stay open and never answer again, between hosts and the store and between hosts and
//! endpoints, with real `pier-gate` processes under load.

mod site;

use std::time::{Duration, Instant};

use smol::Timer;

use site::Site;
use site::load::Load;
use site::status::is_in_force;

/// Half of the time in which a change must be in force
const APPLY_TIME: Duration = Duration::from_millis(1000);

/// Time after which a host whose connections went silent counts as in touch
const STABLE_TIME: Duration = Duration::from_millis(3000);

/// Part of the requests of the load that must be served; those on connections that go silent wait for
/// their deadline if they may run once only
const MIN_SERVED_RATIO: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Whether the connections to the store go silent
    store: bool,
    /// Whether the connections to the endpoints go silent
    endpoints: bool,
    /// Times at which they go silent, in milliseconds before the last one
    earlier: &'static [u64],
    /// Every how many-th of them
    step: usize,
}

const CASES: [Case; 5] = [
    Case {
        name: "all to the store",
        store: true,
        endpoints: false,
        earlier: &[],
        step: 1,
    },
    Case {
        name: "half of those to the store, twice",
        store: true,
        endpoints: false,
        earlier: &[1500],
        step: 2,
    },
    Case {
        name: "all to endpoints",
        store: false,
        endpoints: true,
        earlier: &[],
        step: 1,
    },
    Case {
        name: "half of those to endpoints, three times",
        store: false,
        endpoints: true,
        earlier: &[1500, 700],
        step: 2,
    },
    Case {
        name: "all",
        store: true,
        endpoints: true,
        earlier: &[],
        step: 1,
    },
];

fn silence(site: &Site, case: Case) {
    if case.store {
        let hosts = site.gateways.iter().step_by(case.step);
        hosts.for_each(|host| host.store_proxy.silence_open_connections());
    }
    if case.endpoints {
        let endpoints = site.servers.iter().step_by(case.step);
        endpoints.for_each(|endpoint| endpoint.proxy.silence_open_connections());
    }
}

async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start(2, 3).await;
    Timer::after(STABLE_TIME).await;
    let mut load = Load::new(&site, Duration::from_secs(7));
    let mut broken = Vec::new();
    let started = Instant::now();
    Timer::after(Duration::from_millis(500)).await;
    let first = case.earlier.first().copied().unwrap_or(0);
    for before in case.earlier {
        Timer::at(started + Duration::from_millis(500 + first - before)).await;
        silence(&site, case);
    }
    Timer::at(started + Duration::from_millis(500 + first)).await;
    silence(&site, case);
    Timer::after(STABLE_TIME).await;
    site.configure(&["/safe/", "/once/", "/added/"]);
    site.register(0, "draining");
    let endpoint = site.servers[0].endpoint.id().to_owned();
    let changed_at = Instant::now();
    for host in 0..site.gateways.len() {
        while !is_in_force(&site, host, "/added/x", &endpoint, true).await {
            if changed_at.elapsed() > APPLY_TIME * 4 {
                break;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        let elapsed = changed_at.elapsed();
        println!("{}: host {host} after {elapsed:.1?}", case.name);
        if elapsed > APPLY_TIME {
            broken.push(format!("{}: host {host} after {elapsed:?}", case.name));
        }
    }
    let hosts = load.hosts_by_attempt().await;
    let statuses = load.statuses();
    let served = statuses.get("200").copied().unwrap_or_default();
    println!("{}: {statuses:?}", case.name);
    if (served as f64) < MIN_SERVED_RATIO * hosts.len() as f64 {
        broken.push(format!("{}: {statuses:?}", case.name));
    }
    broken
}

// A connection that never answers again must not hold up changes or the requests after it.
#[test]
fn silent_connections_hold_up_changes() {
    site::play_all(CASES.into_iter().map(play));
}
