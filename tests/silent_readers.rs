//! Hosts whose sources of the configuration fall silent without closing a connection, with real
//! `pier-gate` processes.
//!
//! Two hosts of a region read the store and the others follow them. What is asked of the others is a
//! share of the time in which a change must be in force, whatever the number of hosts of the region.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;

use site::options::Options;
use site::status::reads_store;
use site::{REGIONS, Site, get_status};

/// Time in which a configuration is in force at a host in touch, on the small and on the large sites
const SMALL_APPLY_MS: u64 = 2000;
const LARGE_APPLY_MS: u64 = 3000;

/// Share of that time if one reader is silent, and if all readers of a region are
const ONE_SHARE: f64 = 0.5;
const ALL_SHARE: f64 = 0.75;

/// Number of hosts of a region that read the store once it is settled who follows whom
const READERS: usize = 2;

/// Time in which that is settled after a start
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Time for which it must not change; a host that found another source keeps it for four seconds
const SETTLED_TIME: Duration = Duration::from_secs(5);

/// Time from the silence to the change
const CHANGE_DELAY: Duration = Duration::from_millis(100);

/// Interval at which each host is asked
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Hosts that are paused, which keeps their connections open
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Paused {
    OneReader,
    Readers,
    ReadersAndThird,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    hosts: u8,
    apply_ms: u64,
    paused: Paused,
    /// Number of changes, 200 ms apart
    changes: usize,
}

/// Waits until only the readers of the first region read the store; returns them and the others
async fn settled(site: &Site) -> (Vec<usize>, Vec<usize>) {
    let start = Instant::now();
    let hosts: Vec<usize> = (0..site.gateways.len())
        .filter(|host| site.gateways[*host].region == REGIONS[0])
        .collect();
    let mut previous = Vec::new();
    let mut unchanged_since = start;
    loop {
        Timer::after(Duration::from_millis(500)).await;
        let mut readers = Vec::new();
        let mut others = Vec::new();
        for host in &hosts {
            match reads_store(site, *host).await {
                true => readers.push(*host),
                false => others.push(*host),
            }
        }
        if readers != previous {
            unchanged_since = Instant::now();
            previous.clone_from(&readers);
        }
        let is_settled = readers.len() == READERS && unchanged_since.elapsed() > SETTLED_TIME;
        if is_settled || start.elapsed() > SETTLE_TIMEOUT {
            let time = unchanged_since - start;
            println!("readers {readers:?}, the same since {time:.1?} after the start");
            return (readers, others);
        }
    }
}

/// Returns how long after `changed_at` a host answers for the last time as an older configuration
/// allows: without the added route, or with the removed one
async fn last_older_answer(
    host: SocketAddr,
    added: String,
    removed: String,
    changed_at: Instant,
    limit: Duration,
) -> Duration {
    let mut last = Duration::ZERO;
    let mut number = 0;
    while changed_at.elapsed() < limit {
        number += 1;
        let sent_at = changed_at.elapsed();
        let id = format!("{}-{number}", host.ip());
        let added = get_status(host, &added, &format!("a-{id}")).await;
        let removed = get_status(host, &removed, &format!("r-{id}")).await;
        if added == Some(404) || removed == Some(200) {
            last = sent_at;
        } else if added == Some(200) && removed == Some(404) {
            return last;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    limit
}

async fn play(case: Case) -> Vec<String> {
    let options = Options {
        first_region_hosts: Some(case.hosts),
        config_apply_ms: case.apply_ms,
        ..Options::default()
    };
    let mut site = Site::start_with(2, 2, options).await;
    site.configure(&["/safe/", "/once/", "/old/"]);
    let (readers, mut others) = settled(&site).await;
    let mut paused = match case.paused {
        Paused::OneReader => readers[..1].to_vec(),
        Paused::Readers | Paused::ReadersAndThird => readers,
    };
    if case.paused == Paused::ReadersAndThird {
        let third = others.len() / 3;
        paused.extend(others.drain(..third));
    }
    for host in &paused {
        let process = site.gateways[*host].process.as_ref();
        process.expect("the host runs").signal("STOP");
    }
    Timer::after(CHANGE_DELAY).await;
    for change in 1..case.changes {
        site.configure(&["/safe/", "/once/", "/old/", &format!("/early-{change}/")]);
        Timer::after(Duration::from_millis(200)).await;
    }
    site.configure(&["/safe/", "/once/", "/added/"]);
    let changed_at = Instant::now();
    let share = if case.paused == Paused::OneReader {
        ONE_SHARE
    } else {
        ALL_SHARE
    };
    let bound = Duration::from_millis(case.apply_ms).mul_f64(share);
    let observers: Vec<_> = others
        .iter()
        .map(|host| {
            let address = SocketAddr::new(site.gateways[*host].ip, 8161);
            let (added, removed) = ("/added/x".to_owned(), "/old/x".to_owned());
            smol::spawn(last_older_answer(
                address,
                added,
                removed,
                changed_at,
                4 * bound,
            ))
        })
        .collect();
    let mut times = Vec::new();
    for observer in observers {
        times.push(observer.await);
    }
    times.sort();
    let late = times.iter().filter(|time| **time > bound).count();
    let last = times.last().copied().unwrap_or_default();
    let middle = times.get(times.len() / 2).copied().unwrap_or_default();
    println!(
        "{}: {} hosts: last older answer after {last:.2?}, middle {middle:.2?}; {late} of {} late",
        case.name,
        case.hosts,
        times.len()
    );
    if late == 0 {
        return Vec::new();
    }
    vec![format!(
        "{}: {late} of {} hosts answer by the older configuration later than {bound:?}, the last after {last:?}",
        case.name,
        times.len()
    )]
}

const LARGE_REGION: Case = Case {
    name: "all readers of a large region are paused",
    hosts: 65,
    apply_ms: LARGE_APPLY_MS,
    paused: Paused::Readers,
    changes: 1,
};

const SMALL_REGIONS: [Case; 4] = [
    Case {
        name: "one reader of a small region is paused",
        hosts: 6,
        apply_ms: SMALL_APPLY_MS,
        paused: Paused::OneReader,
        changes: 1,
    },
    Case {
        name: "all readers of a small region are paused",
        hosts: 6,
        apply_ms: SMALL_APPLY_MS,
        paused: Paused::Readers,
        changes: 1,
    },
    Case {
        name: "a third of a region is paused with its readers",
        hosts: 12,
        apply_ms: SMALL_APPLY_MS,
        paused: Paused::ReadersAndThird,
        changes: 1,
    },
    Case {
        name: "two changes while all readers are paused",
        hosts: 12,
        apply_ms: SMALL_APPLY_MS,
        paused: Paused::Readers,
        changes: 2,
    },
];

// Followers must notice a silent reader in the same time in a region of any size.
#[test]
fn change_reaches_a_large_region_late_when_its_readers_are_silent() {
    site::play_all([LARGE_REGION].into_iter().map(play));
}

#[test]
fn change_reaches_a_small_region_late_when_its_readers_are_silent() {
    site::play_all(SMALL_REGIONS.into_iter().map(play));
}

// A hundred hosts and more, for runs by hand: as many processes as the machine bears.
#[test]
#[ignore = "measurement with a hundred processes and more"]
fn times_of_a_change_in_large_regions() {
    for hosts in [65, 100, 200] {
        for paused in [Paused::OneReader, Paused::Readers, Paused::ReadersAndThird] {
            let case = Case {
                name: match paused {
                    Paused::OneReader => "one reader",
                    Paused::Readers => "all readers",
                    Paused::ReadersAndThird => "all readers and a third",
                },
                hosts,
                paused,
                ..LARGE_REGION
            };
            site::collect([case].into_iter().map(play))
                .iter()
                .for_each(|broken| println!("{broken}"));
        }
    }
}
