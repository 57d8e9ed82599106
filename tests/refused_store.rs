//! A store that refuses all hosts but one, with real `pier-gate` processes.
//!
//! The host that can read the store must have each acknowledged change in time, whatever it follows
//! when the refusals begin; so must, a little later, all hosts that can reach it.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;

use site::proxy::Mode;
use site::{Site, get_status};

/// Time in which a configuration is in force at a host in touch
const APPLY_TIME: Duration = Duration::from_millis(2000);

/// Time after which a host counts as in touch with the store
const STABLE_TIME: Duration = Duration::from_millis(3000);

/// Time from the first refusal to the first change
const FIRST_CHANGE_DELAY: Duration = Duration::from_millis(300);

/// Time after the first refusal at which all hosts must know from whom to read
const SETTLE_TIME: Duration = Duration::from_millis(3000);

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    mode: Mode,
    /// Hosts that can read the store, one after the other
    able: [usize; 2],
}

fn cases() -> Vec<Case> {
    let mut cases: Vec<Case> = (0..6)
        .map(|host| Case {
            name: "refused hosts get no answer",
            mode: Mode::Silent,
            able: [host, (host + 4) % 6],
        })
        .collect();
    for host in [1, 4] {
        cases.push(Case {
            name: "connections of refused hosts are reset",
            mode: Mode::Reset,
            able: [host, (host + 2) % 6],
        });
        cases.push(Case {
            name: "refused hosts get status 503",
            mode: Mode::Refuse,
            able: [host, (host + 1) % 6],
        });
    }
    cases
}

/// Waits until a host serves a route; returns how long that took, at most `limit`
async fn time_until_served(host: SocketAddr, path: &str, limit: Duration) -> Duration {
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < limit {
        number += 1;
        let id = format!("{}-{path}-{number}", host.ip()).replace('/', "");
        if get_status(host, path, &id).await == Some(200) {
            return start.elapsed();
        }
        Timer::after(Duration::from_millis(40)).await;
    }
    limit
}

/// Returns the times until each of the hosts serves a route
async fn times_until_served(site: &Site, hosts: &[usize], path: &str) -> Vec<Duration> {
    let limit = 3 * APPLY_TIME;
    let waiting: Vec<_> = hosts
        .iter()
        .map(|index| {
            let host = SocketAddr::new(site.gateways[*index].ip, 8161);
            let path = path.to_owned();
            smol::spawn(async move { time_until_served(host, &path, limit).await })
        })
        .collect();
    let mut times = Vec::new();
    for waiting in waiting {
        times.push(waiting.await);
    }
    times
}

async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start(3, 3).await;
    (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
    // Hosts hear of each other and agree on who reads the store.
    Timer::after(STABLE_TIME).await;
    let all: Vec<usize> = (0..site.gateways.len()).collect();
    let mut broken = Vec::new();
    let mut check = |what: &str, hosts: &[usize], times: &[Duration]| {
        println!("{}: {what}: hosts {hosts:?} after {times:.1?}", case.name);
        if times.iter().any(|time| *time > APPLY_TIME) {
            broken.push(format!(
                "{}: {what}: hosts {hosts:?} serve the added route after {times:.1?}",
                case.name
            ));
        }
    };
    for (round, able) in case.able.into_iter().enumerate() {
        for index in all.iter().filter(|index| **index != able) {
            site.gateways[*index].store_proxy.set_mode(case.mode);
        }
        let refused_at = Instant::now();
        Timer::after(FIRST_CHANGE_DELAY).await;
        let path = format!("/first-{round}/");
        site.configure(&["/safe/", "/once/", &path]);
        let times = times_until_served(&site, &[able], &path).await;
        check(&format!("able to read: {able}, at once"), &[able], &times);
        Timer::at(refused_at + SETTLE_TIME).await;
        let path = format!("/second-{round}/");
        site.configure(&["/safe/", "/once/", &path]);
        let times = times_until_served(&site, &all, &path).await;
        check(&format!("able to read: {able}, settled"), &all, &times);
        for index in &all {
            site.gateways[*index].store_proxy.set_mode(Mode::Pass);
        }
        Timer::after(STABLE_TIME).await;
        let path = format!("/third-{round}/");
        site.configure(&["/safe/", "/once/", &path]);
        let times = times_until_served(&site, &all, &path).await;
        check(&format!("able to read: {able}, then all"), &all, &times);
    }
    broken
}

#[test]
fn host_that_can_read_the_store_follows_hosts_that_cannot() {
    site::play_all(cases().into_iter().map(play));
}
