//! Randomized soak: real hosts under faults from outside, in series and overlapping.
//!
//! One seed gives one schedule. A short run plays in CI; more by hand:
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 cargo test --release --test soak -- --nocapture`, where
//! `SOAK_FIRST` is the first seed (0 draws fresh ones). `docs/FINDINGS.md` lists seeds that failed.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use smol::Timer;
use tanagerpier::platform::standin::{endpoint, store};

use site::client::{self, Attempt, AttemptLog};
use site::proxy::Mode;
use site::{Site, wait_until};

/// Seeds that failed once; played first in each run
///
/// 213: a host that wrote its entry again was withdrawn again at once, for ever.
const KEPT: [u64; 1] = [213];

/// Time after which a leaving endpoint gets nothing more; the platform's bound
const DRAIN: Duration = Duration::from_secs(2);

/// Time after the last fault in which the deployment has to be as before
const RECOVERY: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Terminate,
    Kill,
    Pause,
    StoreOutage(store::Outage),
    StoreLoses,
    StoreCompacts,
    StoreLink(Mode),
    ServerLink(Mode),
    ServerFaults,
    ServerCrash,
    Drain,
    Configure,
}

const FAULTS: [Fault; 20] = [
    Fault::Terminate,
    Fault::Kill,
    Fault::Pause,
    Fault::StoreOutage(store::Outage::Unavailable),
    Fault::StoreOutage(store::Outage::Unresponsive),
    Fault::StoreOutage(store::Outage::Reset),
    Fault::StoreLoses,
    Fault::StoreCompacts,
    Fault::StoreLink(Mode::Silent),
    Fault::StoreLink(Mode::Reset),
    Fault::StoreLink(Mode::OneWay),
    Fault::StoreLink(Mode::Delay),
    Fault::ServerLink(Mode::Silent),
    Fault::ServerLink(Mode::Reset),
    Fault::ServerLink(Mode::OneWay),
    Fault::ServerLink(Mode::Delay),
    Fault::ServerFaults,
    Fault::ServerCrash,
    Fault::Drain,
    Fault::Configure,
];

/// What a fault needs for its end
enum Undo {
    Launch(usize),
    Resume(usize),
    StoreLink(usize),
    ServerLink(usize),
    Server(usize),
    Store,
    Return(usize),
}

async fn strike(site: &mut Site, fault: Fault, rng: &mut Rng) -> Option<Undo> {
    let gate = rng.usize(..site.gateways.len());
    let server = rng.usize(..site.servers.len());
    match fault {
        Fault::Terminate | Fault::Kill | Fault::Pause => {
            // One that was struck before may be gone already.
            let process = site.gateways[gate].process.as_mut()?;
            if process.has_exited() {
                return None;
            }
            match fault {
                Fault::Terminate => process.signal("TERM"),
                Fault::Kill => process.kill(),
                _ => process.signal("STOP"),
            }
            Some(match fault {
                Fault::Pause => Undo::Resume(gate),
                _ => Undo::Launch(gate),
            })
        }
        Fault::StoreOutage(outage) => {
            site.store.set_faults(store::Faults {
                outage,
                ..store::Faults::default()
            });
            Some(Undo::Store)
        }
        Fault::StoreLoses => {
            site.store.set_faults(store::Faults {
                lost_response_ratio: 0.5,
                delay: Duration::from_millis(80),
                ..store::Faults::default()
            });
            Some(Undo::Store)
        }
        Fault::StoreCompacts => {
            site.store.compact();
            None
        }
        Fault::StoreLink(mode) => {
            site.gateways[gate].store_proxy.set_mode(mode);
            Some(Undo::StoreLink(gate))
        }
        Fault::ServerLink(mode) => {
            site.servers[server].proxy.set_mode(mode);
            Some(Undo::ServerLink(server))
        }
        Fault::ServerFaults => {
            site.servers[server].endpoint.set_faults(endpoint::Faults {
                lost_response_ratio: 0.2,
                truncated_ratio: 0.1,
                extra_response_ratio: 0.1,
                error_ratio: 0.2,
                slowdown_factor: 4,
            });
            Some(Undo::Server(server))
        }
        Fault::ServerCrash => {
            // Dropping its task ends the endpoint and its connections.
            drop(site.servers[server].task.take()?);
            Some(Undo::Server(server))
        }
        Fault::Drain => {
            let ready = site
                .servers
                .iter()
                .filter(|server| server.draining_since.is_none())
                .count();
            if ready <= 2 || site.servers[server].draining_since.is_some() {
                return None;
            }
            site.register(server, "draining");
            Some(Undo::Return(server))
        }
        Fault::Configure => {
            site.configure(&["/safe/", "/once/", &format!("/v{}/", site.version + 1)]);
            None
        }
    }
}

async fn mend(site: &mut Site, undo: Undo) {
    match undo {
        Undo::Launch(gate) => {
            let limit = Duration::from_secs(site::STOP_GRACE_SECS + 1);
            if let Some(mut process) = site.gateways[gate].process.take() {
                process.exits_successfully(limit).await;
            }
            site.start_gateway(gate);
        }
        Undo::Resume(gate) => {
            if let Some(process) = &mut site.gateways[gate].process
                && !process.has_exited()
            {
                process.signal("CONT");
            }
        }
        Undo::StoreLink(gate) => site.gateways[gate].store_proxy.set_mode(Mode::Pass),
        Undo::ServerLink(server) => site.servers[server].proxy.set_mode(Mode::Pass),
        Undo::Server(index) => {
            let server = &mut site.servers[index];
            server.endpoint.set_faults(endpoint::Faults::default());
            if server.task.is_none() {
                let started = server.endpoint.start(server.address).await;
                server.task = started.ok().map(|(_, task)| task);
            }
        }
        Undo::Store => site.store.set_faults(store::Faults::default()),
        Undo::Return(server) => site.register(server, "ready"),
    }
}

/// Play one seed; panics where a promise is broken
async fn play(seed: u64, seconds: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut site = Site::start(2, 3).await;
    let log = AttemptLog::default();
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers: Vec<smol::Task<()>> = (0..12)
        .map(|turn| {
            let gate = SocketAddr::new(site.gateways[turn % site.gateways.len()].ip, 8161);
            let pause = Duration::from_millis(25);
            let caller =
                client::send_requests(gate, seed << 8 | turn as u64, end, pause, log.clone());
            smol::spawn(caller)
        })
        .collect();
    let mut pending: Vec<(Instant, Undo)> = Vec::new();
    let mut drains: Vec<(usize, Instant, Instant)> = Vec::new();
    let mut schedule = Vec::new();
    while Instant::now() < end - Duration::from_secs(2) {
        let now = Instant::now();
        while let Some(at) = pending.iter().position(|(due, _)| *due <= now) {
            let (_, undo) = pending.remove(at);
            if let Undo::Return(server) = undo
                && let Some(drained) = site.servers[server].draining_since
            {
                drains.push((server, drained, now));
            }
            mend(&mut site, undo).await;
        }
        if pending.len() < 3 {
            let fault = FAULTS[rng.usize(..FAULTS.len())];
            let lasts = Duration::from_millis(rng.u64(300..3500));
            schedule.push(fault);
            if let Some(undo) = strike(&mut site, fault, &mut rng).await {
                pending.push((now + lasts, undo));
            }
        }
        Timer::after(Duration::from_millis(rng.u64(100..900))).await;
    }
    for (_, undo) in pending {
        mend(&mut site, undo).await;
    }
    println!("seed {seed}: {schedule:?}");
    for caller in callers {
        caller.await;
    }
    check(&site, &log, &drains);
    recovered(&mut site).await;
}

/// Promises that hold whatever fails
fn check(site: &Site, log: &AttemptLog, drains: &[(usize, Instant, Instant)]) {
    let attempts: Vec<Attempt> = log.lock().expect("no panic").clone();
    let served = attempts
        .iter()
        .filter(|attempt| attempt.result == Ok(200))
        .count();
    println!("{served} of {} attempts served", attempts.len());
    assert!(
        served * 4 > attempts.len(),
        "served {served} of {}",
        attempts.len()
    );
    let runs: Vec<_> = site
        .servers
        .iter()
        .map(|server| server.endpoint.run_starts())
        .collect();
    for attempt in attempts.iter().filter(|attempt| attempt.at_most_once) {
        let ran: usize = runs
            .iter()
            .filter_map(|runs| runs.get(&attempt.id).map(Vec::len))
            .sum();
        assert!(ran <= 1, "{attempt:?} ran {ran} times");
        if matches!(attempt.result, Ok(408 | 421 | 429 | 503)) {
            assert_eq!(ran, 0, "{attempt:?} was said not to have run");
        }
    }
    for attempt in &attempts {
        let known = attempt.result != Ok(404) && attempt.result != Ok(400);
        assert!(known, "{attempt:?} was denied");
    }
    // Only a host that was cut off or stopped meanwhile may not have heard of a leaving endpoint,
    // and there are few of its requests.
    for (server, drained, returned) in drains {
        let late = runs[*server].values().flatten();
        let late = late
            .filter(|at| **at > *drained + DRAIN && **at < *returned)
            .count();
        println!("endpoint {server} drained, {late} late requests");
    }
}

/// All hosts serve again, with the newest configuration
async fn recovered(site: &mut Site) {
    let last = format!("/last{}/", site.version);
    site.configure(&["/safe/", "/once/", &last]);
    let start = Instant::now();
    for index in 0..site.gateways.len() {
        let address = SocketAddr::new(site.gateways[index].ip, 8161);
        let target = format!("{last}1");
        wait_until("a host serves the newest route", || async {
            site::get(address, &target)
                .await
                .is_some_and(|(status, _)| status == 200)
        })
        .await;
    }
    assert!(
        start.elapsed() < RECOVERY,
        "recovered after {:?}",
        start.elapsed()
    );
    wait_until("the directory names all hosts", || async {
        site.resolve(0, "north").await.len() == 2 && site.resolve(0, "south").await.len() == 2
    })
    .await;
}

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

#[test]
fn promises_hold_under_random_faults() {
    let count = setting("SOAK_SEEDS", 1);
    let seconds = setting("SOAK_SECONDS", 12);
    let first = match setting("SOAK_FIRST", 1) {
        0 => fastrand::u64(1..1 << 40),
        first => first,
    };
    for seed in KEPT.into_iter().chain(first..first + count) {
        smol::block_on(play(seed, seconds));
    }
}
