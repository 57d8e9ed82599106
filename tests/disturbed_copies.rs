//! Endpoints that refuse requests and write each refusal once more, while endpoints lose their addresses
//! to another service or hosts are reloaded and stopped, behind real `pier-gate` processes.

mod site;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::platform::standin::endpoint::{Endpoint, Faults, RefusalCopies};

use site::client::{self, Attempt, AttemptLog};
use site::options::Options;
use site::process::Process;
use site::{Site, once};

/// Part of the requests that endpoints refuse
const REFUSAL_RATIO: f64 = 0.4;

/// Tries of one request, all with the same attempt id
const TRIES: usize = 4;

/// Callers of each case, which pause between two requests
const CALLERS: usize = 16;
const PAUSE: Duration = Duration::from_millis(15);

/// Duration of the load of each case
const DURATION: Duration = Duration::from_secs(16);

/// Time between two endpoints that end; less than the platform lets pass before it gives an address to
/// another service
const END_INTERVAL: Duration = Duration::from_millis(1300);

/// Time after which the entry of an endpoint that ended is removed
const ENTRY_TTL: Duration = Duration::from_millis(4500);

/// Time between two reloads of all hosts
const RELOAD_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two planned stops
const STOP_INTERVAL: Duration = Duration::from_millis(2400);

/// Part of the requests that must be served
const MIN_SERVED_RATIO: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// Another service gets the address of an endpoint as soon as it has ended
    AddressReuse,
    /// Hosts get SIGHUP all the time, and SIGTERM in turn
    ReloadsAndStops,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    copies: RefusalCopies,
    disturbance: Disturbance,
}

fn set_faults(case: Case, endpoint: &Endpoint) {
    endpoint.set_faults(Faults {
        refusal_ratio: REFUSAL_RATIO,
        refusal_copies: case.copies,
        ..Faults::default()
    });
}

/// Gives the addresses of endpoints in turn to another service until `end`
async fn reuse_addresses(site: &mut Site, case: Case, end: Instant) {
    let mut removals: Vec<(Instant, String)> = Vec::new();
    let mut index = 0;
    while Instant::now() + END_INTERVAL * 2 < end {
        Timer::after(END_INTERVAL).await;
        let former = site.servers[index].endpoint.id().to_owned();
        site.replace_server(index).await;
        removals.push((Instant::now() + ENTRY_TTL, former));
        set_faults(case, &site.servers[index].endpoint);
        for other in &site.other_endpoints {
            set_faults(case, other);
        }
        site.register_without_proxy(index);
        let now = Instant::now();
        removals.retain(|(due, id)| {
            if *due <= now {
                site.store.remove("servers", id);
            }
            *due > now
        });
        index = (index + 1) % site.servers.len();
    }
}

/// Reloads all hosts again and again and stops one after the other until `end`
async fn reload_and_stop(site: &mut Site, end: Instant) -> Vec<String> {
    let mut broken = Vec::new();
    let mut stopping: Option<usize> = None;
    let mut next = 0;
    let mut stop_at = Instant::now() + STOP_INTERVAL;
    while Instant::now() < end {
        Timer::after(RELOAD_INTERVAL).await;
        for (index, gateway) in site.gateways.iter_mut().enumerate() {
            let process = gateway.process.as_mut().expect("the host was started");
            match process.has_exited() {
                false => process.signal("HUP"),
                true if stopping == Some(index) => {}
                true => return vec![format!("host {index} ended: {broken:?}")],
            }
        }
        if let Some(index) = stopping {
            let process = &mut site.gateways[index].process;
            if process.as_mut().is_some_and(Process::has_exited) {
                let mut process = process.take().expect("it was started");
                if !process.exits_successfully(RELOAD_INTERVAL).await {
                    broken.push(format!("host {index} did not end as planned"));
                }
                site.start_gateway(index);
                site.wait_until_ready(index).await;
                stopping = None;
                stop_at = Instant::now() + STOP_INTERVAL / 4;
            }
        } else if Instant::now() >= stop_at {
            let process = site.gateways[next].process.as_ref();
            process.expect("the host was started").signal("TERM");
            stopping = Some(next);
            next = (next + 1) % site.gateways.len();
        }
    }
    broken
}

/// Arrivals at endpoints by attempt id
type Arrivals = BTreeMap<String, Vec<Instant>>;

/// Returns one line for each try that was passed on and got no answer, and for each one that got none
/// from hosts that run all the time
fn unanswered(case: Case, attempts: &[Attempt], arrivals: &Arrivals) -> Vec<String> {
    let is_passed_on = |attempt: &Attempt| {
        let times = arrivals.get(&attempt.id).into_iter().flatten();
        // No try follows one without an answer.
        times.copied().any(|at| at >= attempt.sent_at)
    };
    let is_excused = |attempt: &Attempt| match case.disturbance {
        Disturbance::AddressReuse => false,
        // A request may cross the close of its connection, and a host that has ended accepts none.
        Disturbance::ReloadsAndStops => !is_passed_on(attempt),
    };
    let unanswered = attempts.iter().filter(|attempt| attempt.result.is_err());
    let unanswered = unanswered.filter(|attempt| !is_excused(attempt));
    unanswered
        .map(|attempt| format!("no answer: {attempt:?}"))
        .collect()
}

async fn play(case: Case) -> Vec<String> {
    let options = Options {
        retry_slack: 10_000,
        ..Options::default()
    };
    let hosts = match case.disturbance {
        Disturbance::AddressReuse => 1,
        Disturbance::ReloadsAndStops => 2,
    };
    let mut site = Site::start_with(hosts, 3, options).await;
    for index in 0..site.servers.len() {
        site.register_without_proxy(index);
        set_faults(case, &site.servers[index].endpoint);
    }
    Timer::after(Duration::from_millis(500)).await;
    let log = AttemptLog::default();
    let end = Instant::now() + DURATION;
    let callers = (0..CALLERS).map(|number| {
        let host = SocketAddr::new(site.gateways[number % site.gateways.len()].ip, 8161);
        let seed = number as u64;
        let requests = client::send_with_tries(TRIES, host, seed, end, PAUSE, log.clone());
        smol::spawn(requests)
    });
    let callers: Vec<_> = callers.collect();
    let mut broken = Vec::new();
    match case.disturbance {
        Disturbance::AddressReuse => reuse_addresses(&mut site, case, end).await,
        Disturbance::ReloadsAndStops => broken.extend(reload_and_stop(&mut site, end).await),
    }
    for caller in callers {
        caller.await;
    }
    let attempts = log.lock().expect("no caller panicked").clone();
    let endpoints = site.servers.iter().map(|server| &server.endpoint);
    let endpoints: Vec<&Endpoint> = endpoints.chain(&site.former_endpoints).collect();
    let run_starts: Vec<_> = endpoints
        .iter()
        .map(|endpoint| endpoint.run_starts())
        .collect();
    let mut arrivals = Arrivals::new();
    for (id, times) in endpoints.iter().flat_map(|endpoint| endpoint.arrivals()) {
        arrivals.entry(id).or_default().extend(times);
    }
    broken.extend(once::violations(&attempts, &run_starts));
    for other in &site.other_endpoints {
        let runs = other.run_starts().into_keys();
        broken.extend(runs.map(|id| format!("{id} was run by another service")));
    }
    broken.extend(unanswered(case, &attempts, &arrivals));
    let mut results: BTreeMap<Result<u16, &str>, usize> = BTreeMap::new();
    for attempt in &attempts {
        *results.entry(attempt.result).or_default() += 1;
    }
    let tries = once::tries_by_id(&attempts);
    let is_served = |tries: &&Vec<&Attempt>| tries.iter().any(|attempt| attempt.result == Ok(200));
    let served = tries.values().filter(is_served).count();
    if (served as f64) < MIN_SERVED_RATIO * tries.len() as f64 {
        broken.push(format!("{served} of {} requests served", tries.len()));
    }
    println!(
        "{case:?}: {served} of {} served, tries {results:?}, {} others, {} broken",
        tries.len(),
        site.other_endpoints.len(),
        broken.len()
    );
    broken
}

fn play_all(disturbance: Disturbance) {
    let copies = [RefusalCopies::SameAttempt, RefusalCopies::NextAnswer];
    let cases = copies.map(|copies| Case {
        copies,
        disturbance,
    });
    site::play_all(cases.into_iter().map(play));
}

// What another service answers at a reused address must not count as the answer of the former endpoint.
#[test]
fn reused_address_makes_once_only_requests_run_twice() {
    play_all(Disturbance::AddressReuse);
}

// A host that is reloaded or stops must neither forget a request nor believe the copy of a refusal.
#[test]
fn reloads_and_stops_make_once_only_requests_run_twice() {
    play_all(Disturbance::ReloadsAndStops);
}
