//! Requests that crash every endpoint that runs them, sent again and again to any `pier-gate`
//! process while ordinary requests run on the same endpoints.

mod site;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::id::EndpointId;
use tanagerpier::platform::standin::endpoint;
use tanagerpier::platform::standin::store::{Faults, Outage};

use site::Site;
use site::client::{self, AttemptLog};
use site::proxy::Mode;
use site::repeat::{Affinity, Body, Load, Schedule, repeat};

/// Number of crashes after which a request counts as one that crashes endpoints
const CRASHES: usize = 3;

/// Time after that crash until all hosts are to know of it
const STABLE: Duration = Duration::from_secs(3);

/// Number of times that it may be sent to an endpoint from then on
const MAX_LATE_SENDS: usize = 3;

/// Time until a crashed endpoint runs again
const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// Time after its crash until the entry of an endpoint is removed that does not start again
const ENTRY_TTL: Duration = Duration::from_millis(4500);

/// Longest time for which an ordinary request may be refused after a crash beside it
const MAX_REFUSAL: Duration = Duration::from_secs(12);

/// Most ordinary requests that may fail: those that run beside a crashing one
const MAX_FAILED_RATIO: f64 = 0.05;

/// What happens to the deployment meanwhile
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// Each host in turn is killed and started again, from the third second on
    Restarts,
    /// The store answers nobody from the first second to the tenth
    StoreAway,
    /// The store answers nobody, and each host in turn is killed and started again
    StoreAwayAndRestarts,
    /// The first host is cut off from the store from the first second to the tenth
    Cut,
    /// The first two hosts stand still for the first five seconds
    Pause,
    /// A proxy before each endpoint accepts connections also while the endpoint does not run
    Proxies,
    /// Endpoints that crash neither close connections nor answer, and start again under their id
    SilentCrashes,
    /// The same, but other endpoints start in their place, elsewhere
    SilentReplacement,
    /// Endpoints lose power: connections to them stay open without answers, also when they run again
    PowerLoss,
    /// Another service gets the address of an endpoint that crashed, and another endpoint starts
    /// elsewhere; the old entry stays for a while
    Replacement,
}

impl Disturbance {
    fn register(self, site: &mut Site, server: usize) {
        match self {
            Self::Proxies | Self::PowerLoss => site.register(server, "ready"),
            _ => site.register_without_proxy(server),
        }
    }

    fn is_silent(self) -> bool {
        matches!(
            self,
            Self::SilentCrashes | Self::SilentReplacement | Self::PowerLoss
        )
    }

    /// Returns the time until a crashed endpoint runs again
    fn restart_delay(self) -> Duration {
        match self {
            // The connection of the request that crashed it is still open then.
            Self::PowerLoss => RESTART_DELAY / 2,
            _ => RESTART_DELAY,
        }
    }

    fn is_replacing(self) -> bool {
        matches!(self, Self::SilentReplacement | Self::Replacement)
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    load: Load,
    /// Number of different requests of this kind at once
    requests: usize,
    disturbance: Disturbance,
    /// Slots of an endpoint, and the time that a request takes in one
    capacity: (usize, Duration),
    duration: Duration,
}

impl Case {
    fn new(name: &'static str, path: &'static str, body: Body) -> Self {
        let load = Load {
            path,
            body,
            affinity: Affinity::Same,
            schedule: Schedule::AtRandomHosts(SLOW),
        };
        Self {
            name,
            load,
            requests: 1,
            disturbance: Disturbance::None,
            capacity: (3, Duration::from_millis(20)),
            duration: Duration::from_secs(18),
        }
    }

    fn with_requests(self, requests: usize) -> Self {
        Self { requests, ..self }
    }

    fn with_disturbance(self, disturbance: Disturbance) -> Self {
        Self {
            disturbance,
            ..self
        }
    }

    fn with_affinity(mut self, affinity: Affinity) -> Self {
        self.load.affinity = affinity;
        self
    }

    fn with_schedule(mut self, schedule: Schedule) -> Self {
        self.load.schedule = schedule;
        self
    }
}

/// Pause between two repeats of a request
const SLOW: Duration = Duration::from_millis(900);
const FAST: Duration = Duration::from_millis(150);

/// Slots and service time at which ordinary requests wait for each other
const BUSY: (usize, Duration) = (1, Duration::from_millis(90));

/// The pause of a request that the same host gets again long after
const LONG_REST: Schedule = Schedule::AtFirstHost {
    pause: FAST,
    burst: Duration::from_secs(2),
    rest: Duration::from_secs(44),
};

/// Applies the part of a disturbance that is due; `step` counts the parts already applied
async fn disturb(site: &mut Site, disturbance: Disturbance, elapsed: Duration, step: &mut usize) {
    let second = elapsed.as_secs();
    let outage = |outage| Faults {
        outage,
        ..Faults::default()
    };
    let store_away = matches!(
        disturbance,
        Disturbance::StoreAway | Disturbance::StoreAwayAndRestarts
    );
    if store_away && (1..10).contains(&second) {
        site.store.set_faults(outage(Outage::Unavailable));
    } else if store_away {
        site.store.set_faults(outage(Outage::None));
    }
    match disturbance {
        Disturbance::Cut => {
            let mode = match (1..10).contains(&second) {
                true => Mode::Silent,
                false => Mode::Pass,
            };
            site.gateways[0].store_proxy.set_mode(mode);
        }
        Disturbance::Pause if *step == 0 || (*step == 1 && second >= 5) => {
            let signal = ["STOP", "CONT"][*step];
            *step += 1;
            for gateway in &site.gateways[..2] {
                let process = gateway.process.as_ref().expect("the gateway runs");
                process.signal(signal);
            }
        }
        Disturbance::Restarts | Disturbance::StoreAwayAndRestarts
            if second >= 3 + 2 * *step as u64 && *step < site.gateways.len() =>
        {
            let index = *step;
            *step += 1;
            site.gateways[index].process = None;
            site.start_gateway(index);
        }
        _ => {}
    }
}

/// What endpoints saw of one crashing request
#[derive(Debug, Default)]
struct Sighting {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// Returns what endpoints saw of each crashing request, by its name
fn sightings(site: &Site) -> BTreeMap<String, Sighting> {
    let mut sightings: BTreeMap<String, Sighting> = BTreeMap::new();
    let name = |id: &str| {
        let crashing = id.starts_with(endpoint::CRASH_MARKER);
        let name = id.rsplit_once('-').filter(|_| crashing);
        name.map(|(name, _)| name.to_owned())
    };
    let running = site.servers.iter().map(|server| &server.endpoint);
    for endpoint in running.chain(&site.former_endpoints) {
        for (id, arrivals) in endpoint.arrivals() {
            if let Some(name) = name(&id) {
                sightings.entry(name).or_default().arrivals.extend(arrivals);
            }
        }
        for (id, crash) in endpoint.crashes() {
            if let Some(name) = name(&id) {
                sightings.entry(name).or_default().crashes.push(crash);
            }
        }
    }
    sightings
        .values_mut()
        .for_each(|sighting| sighting.crashes.sort());
    sightings
}

/// Returns the longest time for which requests with one target got 429 and nothing else
fn longest_refusal(log: &AttemptLog) -> Duration {
    let attempts = log.lock().expect("no client panicked").clone();
    let mut refused_since: BTreeMap<(bool, u32), Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for attempt in &attempts {
        let key = (attempt.at_most_once, attempt.object);
        match attempt.result {
            Ok(429) => {
                let since = *refused_since.entry(key).or_insert(attempt.sent_at);
                longest = longest.max(attempt.sent_at.saturating_duration_since(since));
            }
            Ok(200) => {
                refused_since.remove(&key);
            }
            _ => {}
        }
    }
    longest
}

/// Sets how an endpoint behaves when it crashes
fn set_crash_kind(site: &Site, index: usize, disturbance: Disturbance) {
    site.servers[index].endpoint.set_faults(endpoint::Faults {
        silent_crash: disturbance.is_silent(),
        ..endpoint::Faults::default()
    });
}

/// Plays a case; returns what broke
async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start_with_capacity(3, 5, case.capacity).await;
    for index in 0..site.servers.len() {
        case.disturbance.register(&mut site, index);
        set_crash_kind(&site, index, case.disturbance);
        if matches!(case.disturbance, Disturbance::PowerLoss) {
            site.servers[index].proxy.hide_target_loss();
        }
    }
    let log = AttemptLog::default();
    let started = Instant::now();
    let end = started + case.duration;
    let hosts: Vec<SocketAddr> = site
        .gateways
        .iter()
        .map(|gateway| SocketAddr::new(gateway.ip, 8161))
        .collect();
    let pause = Duration::from_millis(60);
    let ordinary: Vec<smol::Task<()>> = (0..12)
        .map(|number| {
            let host = hosts[number % hosts.len()];
            smol::spawn(client::send_requests(
                host,
                number as u64,
                end,
                pause,
                log.clone(),
            ))
        })
        .collect();
    // Hosts then have open connections to the endpoints.
    Timer::after(Duration::from_millis(500)).await;
    let repeats: Vec<smol::Task<()>> = (0..case.requests)
        .map(|number| {
            let name = format!("{}-{number}", endpoint::CRASH_MARKER);
            smol::spawn(repeat(hosts.clone(), case.load, name, number as u64, end))
        })
        .collect();
    let mut crashed: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut outdated_entries: Vec<(EndpointId, Instant)> = Vec::new();
    let mut step = 0;
    while Instant::now() < end {
        disturb(&mut site, case.disturbance, started.elapsed(), &mut step).await;
        for index in 0..site.servers.len() {
            if !site.servers[index].endpoint.is_crashed() {
                continue;
            }
            let crashed_at = *crashed.entry(index).or_insert_with(Instant::now);
            if crashed_at.elapsed() <= case.disturbance.restart_delay() {
                continue;
            }
            crashed.remove(&index);
            if case.disturbance.is_replacing() {
                let id = site.servers[index].endpoint.id().into();
                outdated_entries.push((id, crashed_at + ENTRY_TTL));
                site.replace_server(index).await;
            } else {
                site.restart_server(index).await;
            }
            case.disturbance.register(&mut site, index);
            set_crash_kind(&site, index, case.disturbance);
        }
        let now = Instant::now();
        outdated_entries.retain(|(id, until)| {
            if *until <= now {
                site.store.remove("servers", id);
            }
            now < *until
        });
        Timer::after(Duration::from_millis(20)).await;
    }
    for task in repeats.into_iter().chain(ordinary) {
        task.await;
    }
    check(&site, &log, case)
}

fn check(site: &Site, log: &AttemptLog, case: Case) -> Vec<String> {
    let mut broken = Vec::new();
    let mut summary = Vec::new();
    for (request, sighting) in &sightings(site) {
        let times = &sighting.arrivals;
        let late = match sighting.crashes.get(CRASHES - 1) {
            Some(third) => times.iter().filter(|time| **time > *third + STABLE).count(),
            None => 0,
        };
        summary.push(format!(
            "{} ({late} late, {} crashes)",
            times.len(),
            sighting.crashes.len()
        ));
        if late > MAX_LATE_SENDS {
            broken.push(format!(
                "{}: {request} reached endpoints {} times, {late} of them later than {STABLE:?} \
                 after the third crash",
                case.name,
                times.len()
            ));
        }
    }
    let attempts = log.lock().expect("no client panicked").clone();
    let failed = attempts
        .iter()
        .filter(|attempt| attempt.result != Ok(200))
        .count();
    let refusal = longest_refusal(log);
    println!(
        "{}: endpoints reached {summary:?}; {failed} of {} ordinary requests failed; refused for \
         at most {refusal:?}",
        case.name,
        attempts.len()
    );
    // Clients of a host that is killed or stands still cannot be served.
    let is_calm = matches!(case.disturbance, Disturbance::None);
    if is_calm && failed as f64 > MAX_FAILED_RATIO * attempts.len() as f64 {
        broken.push(format!(
            "{}: {failed} of {} ordinary requests failed",
            case.name,
            attempts.len()
        ));
    }
    if refusal > MAX_REFUSAL {
        broken.push(format!(
            "{}: an ordinary request was refused for {refusal:?}",
            case.name
        ));
    }
    broken
}

/// Plays the cases, or the one that the variable `CASE` names; panics with what broke
fn play_all(cases: &[Case]) {
    let only = std::env::var("CASE").ok();
    let cases: Vec<Case> = cases
        .iter()
        .filter(|case| only.as_ref().is_none_or(|only| case.name == only))
        .copied()
        .collect();
    let names: BTreeSet<&str> = cases.iter().map(|case| case.name).collect();
    assert_eq!(names.len(), cases.len(), "each case has a name of its own");
    let mut broken = Vec::new();
    // A few deployments at a time, so that none of them waits for the processor.
    for batch in cases.chunks(4) {
        let plays: Vec<_> = batch
            .iter()
            .map(|case| {
                let case = *case;
                std::thread::spawn(move || smol::block_on(play(case)))
            })
            .collect();
        for play in plays {
            broken.extend(play.join().expect("the deployment runs"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn request_that_crashed_three_endpoints_is_sent_again() {
    use Body::{Alternating, Chunked, Empty, WithLength};
    let fast = Schedule::AtRandomHosts(FAST);
    let cases = [
        Case::new("idempotent", "/safe/", Empty),
        Case::new("at most once", "/once/", WithLength),
        Case::new("chunked body", "/once/", Chunked),
        Case::new("other framing", "/once/", Alternating),
        Case::new("two kinds", "/once/", Alternating)
            .with_requests(4)
            .with_schedule(fast)
            .with_disturbance(Disturbance::Restarts),
        Case::new("several at once", "/safe/", Empty).with_requests(3),
        Case::new("at a high rate", "/once/", WithLength).with_schedule(fast),
        Case::new("restarts", "/once/", WithLength).with_disturbance(Disturbance::Restarts),
        Case::new("store away", "/once/", WithLength).with_disturbance(Disturbance::StoreAway),
        Case::new("store away and restarts", "/safe/", Empty)
            .with_disturbance(Disturbance::StoreAwayAndRestarts),
        Case::new("cut off host", "/once/", WithLength).with_disturbance(Disturbance::Cut),
        Case::new("hosts that pause", "/safe/", Empty)
            .with_schedule(fast)
            .with_disturbance(Disturbance::Pause),
        Case::new("endpoints behind proxies", "/once/", WithLength)
            .with_disturbance(Disturbance::Proxies),
        Case::new("silent crashes", "/safe/", Empty).with_disturbance(Disturbance::SilentCrashes),
        Case::new("silent crashes, at most once", "/once/", WithLength)
            .with_disturbance(Disturbance::SilentCrashes),
        Case::new("silent crashes and replacement", "/once/", WithLength)
            .with_disturbance(Disturbance::SilentReplacement),
        Case::new("power loss", "/safe/", Empty).with_disturbance(Disturbance::PowerLoss),
        Case::new("power loss, at most once", "/once/", WithLength)
            .with_disturbance(Disturbance::PowerLoss),
        Case::new("replacement", "/safe/", Empty).with_disturbance(Disturbance::Replacement),
        Case::new("replacement, at most once", "/once/", WithLength)
            .with_disturbance(Disturbance::Replacement),
        Case {
            capacity: BUSY,
            ..Case::new("requests that wait", "/safe/", Empty).with_schedule(fast)
        },
        Case {
            duration: Duration::from_secs(50),
            ..Case::new("the same host later", "/safe/", Empty).with_schedule(LONG_REST)
        },
        Case::new("no affinity key", "/safe/", Empty).with_affinity(Affinity::None),
    ];
    play_all(&cases);
}

#[test]
fn request_that_crashed_three_endpoints_is_sent_again_with_another_affinity_key() {
    let cases = [
        Case::new("another affinity key", "/safe/", Body::Empty).with_affinity(Affinity::Changing),
        Case::new(
            "another affinity key, at most once",
            "/once/",
            Body::WithLength,
        )
        .with_affinity(Affinity::Changing),
    ];
    play_all(&cases);
}
