//! Simulates endpoint selection under load: a fleet that starts with cold caches under more load
//! than it can serve without them, a rolling release at peak, and slow endpoints.
//!
//! A simulated endpoint has slots, a bounded FIFO queue, and an LRU cache of affinity keys that
//! shortens the service time.

use std::collections::{BTreeMap, VecDeque};

use super::*;

/// Rate of all hosts together; 1.5 times the capacity of the endpoints with cold caches
const REQUESTS_PER_SECOND: f64 = 90.0;
const ENDPOINTS: usize = 12;
const SLOTS: u32 = 3;
const QUEUE_CAPACITY: usize = 9;
const KEYS: u64 = 52;
const CACHE_CAPACITY: usize = 21;
const COLD_SERVICE_TIME: Duration = Duration::from_millis(640);
const WARM_SERVICE_TIME: Duration = Duration::from_millis(192);
const TARGET_LATENCY: Duration = Duration::from_millis(400);
const HOSTS: usize = 4;
const STEP: Duration = Duration::from_millis(5);

/// Simulated endpoint
#[derive(Default)]
struct Server {
    /// Running requests, each with the time at which it ends
    running: Vec<(Instant, Job)>,
    waiting: VecDeque<Job>,
    cache: VecDeque<u64>,
    /// Factor on the service time; 0 counts as 1
    slowdown: u32,
}

#[derive(Clone)]
struct Job {
    host: usize,
    key: u64,
    rank: usize,
    sent_at: Instant,
}

impl Server {
    fn run(&mut self, now: Instant, job: Job) {
        let cached = self.cache.iter().position(|key| *key == job.key);
        if let Some(index) = cached {
            self.cache.remove(index);
        }
        self.cache.push_back(job.key);
        if self.cache.len() > CACHE_CAPACITY {
            self.cache.pop_front();
        }
        let service_time = if cached.is_some() {
            WARM_SERVICE_TIME
        } else {
            COLD_SERVICE_TIME
        };
        self.running
            .push((now + service_time * self.slowdown.max(1), job));
    }

    fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}

/// Number of requests by outcome
#[derive(Debug, Default)]
struct Counts {
    in_time: u32,
    late: u32,
    shed: u32,
}

impl Counts {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.in_time + self.late + self.shed)
    }
}

/// Simulates `seconds` of load on hosts that keep each key on `affinity_set_size` endpoints
///
/// The first `slow_endpoints` endpoints are slower, and `rolling_release` replaces the endpoints in
/// turn.
fn simulate(
    seconds: u64,
    affinity_set_size: usize,
    slow_endpoints: usize,
    rolling_release: bool,
) -> Counts {
    let mut rng = fastrand::Rng::with_seed(7);
    let start = Instant::now();
    let mut endpoints = endpoints(ENDPOINTS);
    let mut servers: BTreeMap<EndpointId, Server> = endpoints
        .iter()
        .map(|endpoint| (endpoint.id.clone(), Server::default()))
        .collect();
    for endpoint in endpoints.iter().take(slow_endpoints) {
        servers
            .get_mut(&endpoint.id)
            .expect("each endpoint has a server")
            .slowdown = 6;
    }
    let mut pools: Vec<Pool> = (0..HOSTS).map(|_| Pool::new()).collect();
    let mut counts = Counts::default();
    let mut due_requests = 0.0;
    let steps = seconds * 1000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = start + STEP * step as u32;
        if rolling_release && step % 200 == 199 {
            replace_one(&mut endpoints, &mut servers, step);
        }
        finish_jobs(now, &endpoints, &mut servers, &mut pools, &mut counts);
        if step % 20 == 0 {
            exchange_reports(now, &mut pools);
        }
        due_requests += REQUESTS_PER_SECOND * STEP.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let job = (rng.usize(..HOSTS), rng.u64(..KEYS));
            arrive(
                now,
                job,
                affinity_set_size,
                &endpoints,
                &mut servers,
                &mut pools,
                &mut counts,
            );
        }
    }
    counts
}

/// Replaces one endpoint, if it is idle, by a new one with an empty cache
fn replace_one(endpoints: &mut [Endpoint], servers: &mut BTreeMap<EndpointId, Server>, step: u64) {
    let index = (step / 200) as usize % endpoints.len();
    let is_idle = servers[&endpoints[index].id].load() == 0;
    if is_idle {
        endpoints[index] = endpoint(&format!("n{step}"));
        servers.insert(endpoints[index].id.clone(), Server::default());
    }
}

fn finish_jobs(
    now: Instant,
    endpoints: &[Endpoint],
    servers: &mut BTreeMap<EndpointId, Server>,
    pools: &mut [Pool],
    counts: &mut Counts,
) {
    for endpoint in endpoints {
        let server = servers
            .get_mut(&endpoint.id)
            .expect("each endpoint has a server");
        let (done, running) = server
            .running
            .drain(..)
            .partition(|(end_time, _)| *end_time <= now);
        server.running = running;
        let done: Vec<(Instant, Job)> = done;
        for (_, job) in done {
            if let Some(next) = server.waiting.pop_front() {
                server.run(now, next);
            }
            let latency = now - job.sent_at;
            match latency <= TARGET_LATENCY {
                true => counts.in_time += 1,
                false => counts.late += 1,
            }
            let pool = &mut pools[job.host];
            pool.record_load(
                now,
                &endpoint.id,
                server.running.len() as u32,
                server.waiting.len() as u32,
            );
            pool.finish(
                now,
                endpoint,
                &ROUTE,
                Some(job.rank),
                job.sent_at,
                Outcome::Served(latency),
            );
        }
    }
}

fn exchange_reports(now: Instant, pools: &mut [Pool]) {
    let reports: Vec<_> = pools.iter().map(Pool::host_report).collect();
    for (index, pool) in pools.iter_mut().enumerate() {
        for (other, report) in reports
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
            pool.record_host_report(now, format!("host-{other}").into(), report.clone());
        }
    }
}

fn arrive(
    now: Instant,
    (host, key): (usize, u64),
    affinity_set_size: usize,
    endpoints: &[Endpoint],
    servers: &mut BTreeMap<EndpointId, Server>,
    pools: &mut [Pool],
    counts: &mut Counts,
) {
    let pool = &mut pools[host];
    let Some(choice) = pool.choose(now, &request(key, affinity_set_size, &[]), endpoints.iter())
    else {
        counts.shed += 1;
        return;
    };
    let server = servers
        .get_mut(&choice.id)
        .expect("each endpoint has a server");
    let job = Job {
        host,
        key,
        rank: choice.rank,
        sent_at: now,
    };
    if server.running.len() < SLOTS as usize {
        pool.start(now, &choice.id);
        server.run(now, job);
    } else if server.waiting.len() < QUEUE_CAPACITY {
        pool.start(now, &choice.id);
        server.waiting.push_back(job);
    } else {
        counts.shed += 1;
    }
}

#[test]
fn a_cold_fleet_under_overload_warms_up_only_with_affinity() {
    let without_affinity = simulate(20, ENDPOINTS, 0, false);
    let with_affinity = simulate(20, 2, 0, false);
    println!("without affinity: {without_affinity:?}, two endpoints per key: {with_affinity:?}");
    // Without affinity the caches stay cold: most requests wait for slots held by cold requests.
    assert!(
        without_affinity.share_in_time() < 0.5,
        "{without_affinity:?}"
    );
    // In the first seconds all requests are cold in any case; the later ones meet the target.
    assert!(with_affinity.share_in_time() > 0.7, "{with_affinity:?}");
    assert!(with_affinity.share_in_time() > 1.5 * without_affinity.share_in_time());
}

#[test]
fn a_rolling_release_at_peak_keeps_most_keys_cached() {
    let with_affinity = simulate(20, 2, 0, true);
    println!("rolling release: {with_affinity:?}");
    assert!(with_affinity.share_in_time() > 0.6, "{with_affinity:?}");
}

#[test]
fn slow_endpoints_get_few_requests() {
    let with_affinity = simulate(20, 2, 2, false);
    println!("two of twelve endpoints slow: {with_affinity:?}");
    assert!(with_affinity.share_in_time() > 0.5, "{with_affinity:?}");
}
