//! The store comes back from an older copy, and only some `pier-gate` processes had heard of what it
//! lost: all must keep it in force, not only those.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use tanagerpier::platform::standin::store::{Copy, Faults, Outage};

use site::proxy::Mode;
use site::{Site, get, get_status, wait_until};

/// Port of the status of a host, unless its command line states another
const METRICS_PORT: u16 = 9464;

/// Time within which what any host knows must be in force at all hosts in touch
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time for which the store's answers to the hosts that are not to hear are lost
const LOSS_TIME: Duration = Duration::from_millis(300);

/// Time for which the store is away before it comes back
const AWAY: Duration = Duration::from_millis(300);

/// Time from the store's return after which the endpoints have written their entries again; until
/// twice the heartbeat's time limit, the older entries are not taken at their word
const ENDPOINTS_REWRITE_TIME: Duration = Duration::from_secs(5);

/// Time from the store's return until the operator writes again, at which nothing has expired
const PLAY_TIME: Duration = Duration::from_secs(8);

/// What a test checks
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Checked {
    ConfigurationAndEvacuation,
    Drain,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Hosts that hear of the changes; 0 to 2 are in the north, 3 to 5 in the south
    heard: &'static [usize],
    /// Number of times in a row that the store comes back from the copy
    drills: usize,
    /// Hosts that start again right after the drill
    starts: &'static [usize],
}

/// Runs the drill once: the store is away for a moment and comes back from the copy
async fn drill(site: &Site, copy: &Copy) {
    site.store.set_faults(Faults {
        outage: Outage::Reset,
        ..Faults::default()
    });
    Timer::after(AWAY).await;
    site.store.restore(copy);
    site.store.set_faults(Faults::default());
}

/// Returns whether a host knows that an endpoint drains
async fn is_draining(host: SocketAddr, endpoint: &str) -> bool {
    let Some((200, body)) = get(SocketAddr::new(host.ip(), METRICS_PORT), "/status").await else {
        return false;
    };
    let status: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let endpoints = status["endpoints"].as_array();
    endpoints.into_iter().flatten().any(|entry| {
        entry["endpoint"].as_str() == Some(endpoint) && entry["draining"] == json!(true)
    })
}

/// Returns the number of requests that reached each endpoint
fn arrivals(site: &Site) -> Vec<usize> {
    let servers = site.servers.iter();
    servers
        .map(|server| server.endpoint.arrivals().values().map(Vec::len).sum())
        .collect()
}

async fn play(case: Case, checked: Checked) -> Vec<String> {
    let mut site = Site::start(3, 4).await;
    (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
    let hosts: Vec<SocketAddr> = site
        .gateways
        .iter()
        .map(|gateway| SocketAddr::new(gateway.ip, 8161))
        .collect();
    Timer::after(Duration::from_secs(3)).await;
    let copy = site.store.copy();
    for (index, gateway) in site.gateways.iter().enumerate() {
        if !case.heard.contains(&index) {
            gateway.store_proxy.set_mode(Mode::Lose);
        }
    }
    // Endpoints 0 to 3 are in the north, which is evacuated; one of the south drains.
    let (drained, evacuated) = (4, 0..4);
    site.configure(&["/safe/", "/once/", "/added/"]);
    site.register(drained, "draining");
    site.evacuate("north", json!({"zone": "north"}));
    Timer::after(LOSS_TIME).await;
    let first = case.heard[0];
    let drained_id = site.servers[drained].endpoint.id().to_owned();
    wait_until("a host has heard of all changes", || async {
        let log = site.read_log(first);
        log.contains("\"event\":\"evacuation\",\"zones\":\"north\"")
            && is_draining(hosts[first], &drained_id).await
            && get_status(hosts[first], "/added/1", "first").await == Some(200)
    })
    .await;
    for _ in 0..case.drills {
        drill(&site, &copy).await;
    }
    let returned = Instant::now();
    for gateway in &site.gateways {
        gateway.store_proxy.set_mode(Mode::Pass);
    }
    for index in case.starts {
        site.gateways[*index].process = None;
        site.start_gateway(*index);
    }
    for index in case.starts {
        site.wait_until_ready(*index).await;
    }
    let mut last_older = vec![Duration::ZERO; hosts.len()];
    let mut before = None;
    let mut has_rewritten = false;
    let mut number = 0;
    while returned.elapsed() < PLAY_TIME {
        number += 1;
        for (index, host) in hosts.iter().enumerate() {
            let id = format!("added-{index}-{number}");
            if get_status(*host, "/added/1", &id).await != Some(200) {
                last_older[index] = returned.elapsed();
            }
        }
        if before.is_none() && returned.elapsed() > APPLY_TIME {
            before = Some(arrivals(&site));
        }
        if !has_rewritten && returned.elapsed() > ENDPOINTS_REWRITE_TIME {
            has_rewritten = true;
            site.register(drained, "draining");
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    let late: Vec<usize> = arrivals(&site)
        .iter()
        .zip(before.unwrap_or_default())
        .map(|(after, before)| after - before)
        .collect();
    let to_evacuated: usize = late[evacuated].iter().sum();
    println!(
        "{}: last answer by an older configuration after {last_older:.1?}; later than {APPLY_TIME:?}: \
         {} requests to the drained endpoint, {to_evacuated} to the evacuated zone",
        case.name, late[drained]
    );
    let mut broken = Vec::new();
    if checked == Checked::Drain {
        if late[drained] > 0 {
            let count = late[drained];
            broken.push(format!(
                "{}: {count} late requests to the drained endpoint",
                case.name
            ));
        }
        return broken;
    }
    if last_older.iter().any(|last| *last > APPLY_TIME) {
        broken.push(format!(
            "{}: last answer by an older configuration after {last_older:.1?}",
            case.name
        ));
    }
    if to_evacuated > 0 {
        broken.push(format!(
            "{}: {to_evacuated} late requests to the evacuated zone",
            case.name
        ));
    }
    broken
}

fn cases() -> [Case; 5] {
    let case = Case {
        name: "the north heard",
        heard: &[0, 1, 2],
        drills: 1,
        starts: &[],
    };
    [
        case,
        Case {
            name: "host 0 heard",
            heard: &[0],
            ..case
        },
        Case {
            name: "host 4 heard, two drills in a row",
            heard: &[4],
            drills: 2,
            ..case
        },
        Case {
            name: "host 5 heard, and host 1 starts again",
            heard: &[5],
            starts: &[1],
            ..case
        },
        Case {
            name: "host 2 heard, and all but three hosts start again",
            heard: &[2],
            starts: &[0, 3, 4],
            ..case
        },
    ]
}

#[test]
fn what_some_hosts_heard_of_is_lost_at_the_others() {
    let cases = cases().into_iter();
    site::play_all(cases.map(|case| play(case, Checked::ConfigurationAndEvacuation)));
}

#[test]
fn drain_that_some_hosts_heard_of_is_lost_at_the_others() {
    let cases = cases().into_iter();
    site::play_all(cases.map(|case| play(case, Checked::Drain)));
}
