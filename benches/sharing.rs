//! Compares strategies for sharing an endpoint's slots among the hosts of a zone in a seeded
//! simulation.
//!
//! Arrivals at random hosts form a Poisson process, service times are exponential. A strategy is a
//! set of owners, each with a [`Pool`], and a rule that selects the owner for a request of a host.
//! The optimistic strategy has no owners and relies on load shedding by the upstream. Prints one
//! row per size, load and strategy.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use tanagerpier::config::Endpoint;
use tanagerpier::id::EndpointId;
use tanagerpier::slot::{Admission, Lease, Outcome, Pool, Request, WaitId, WaitResult};
use tanagerpier::wire::Reason;

/// Mean time for which a request occupies its slot, in microseconds
const MEAN_SERVICE_TIME_MICROS: f64 = 10_000.0;

/// One-way latency between two hosts of a zone or a host and an upstream, in microseconds
const ONE_WAY_LATENCY_MICROS: u64 = 250;

/// Number of requests per simulation under `cargo bench`
const BENCH_REQUESTS: u32 = 200_000;

/// Number of requests per simulation under `cargo test`
const TEST_REQUESTS: u32 = 20_000;

/// Number of slots of each endpoint
const SLOTS_PER_ENDPOINT: u32 = 3;

/// Number of endpoints that the optimistic strategy tries before it refuses a request
const MAX_ATTEMPTS: u32 = 3;

/// Interval between ticks of the pools, in microseconds
const TICK_INTERVAL_MICROS: u64 = 50_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    OneOwner,
    SplitSlots,
    EndpointOwners,
    Optimistic,
}

const STRATEGIES: [Strategy; 4] = [
    Strategy::OneOwner,
    Strategy::SplitSlots,
    Strategy::EndpointOwners,
    Strategy::Optimistic,
];

#[derive(Clone, Copy)]
struct Size {
    hosts: usize,
    endpoints: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    arrived_at: u64,
    host: usize,
    service_time: u64,
    attempts: u32,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(Job),
    OwnerArrival(usize, Job),
    UpstreamArrival(usize, Job),
    Completion(usize, usize, Job),
    LoadReport(usize, usize, u32),
    Tick,
}

struct Simulation {
    strategy: Strategy,
    size: Size,
    rng: Rng,
    start_time: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_event_number: u64,
    pools: Vec<Pool>,
    waiting: BTreeMap<(usize, WaitId), Job>,
    in_flight: Vec<u32>,
    load_estimates: Vec<Vec<u32>>,
    wait_times: Histogram<u64>,
    refused: u32,
    overloads: u32,
}

impl Simulation {
    fn new(strategy: Strategy, size: Size, seed: u64) -> Self {
        let owners = match strategy {
            Strategy::OneOwner => 1,
            Strategy::SplitSlots => size.hosts.min(size.endpoints * SLOTS_PER_ENDPOINT as usize),
            Strategy::EndpointOwners => size.endpoints,
            Strategy::Optimistic => 0,
        };
        let start_time = Instant::now();
        let pools = (0..owners).map(|owner| {
            let mut pool = Pool::with_seed(seed);
            pool.configure(start_time, &owned_endpoints(strategy, size, owner, owners));
            pool
        });
        Self {
            strategy,
            size,
            rng: Rng::with_seed(seed),
            start_time,
            now: 0,
            events: BinaryHeap::new(),
            last_event_number: 0,
            pools: pools.collect(),
            waiting: BTreeMap::new(),
            in_flight: vec![0; size.endpoints],
            load_estimates: vec![vec![0; size.endpoints]; size.hosts],
            wait_times: Histogram::new(3).expect("a valid number of significant digits"),
            refused: 0,
            overloads: 0,
        }
    }

    fn run(&mut self, load: f64, requests: u32) {
        let capacity =
            self.size.endpoints as f64 * f64::from(SLOTS_PER_ENDPOINT) / MEAN_SERVICE_TIME_MICROS;
        let mean_interval = 1.0 / (capacity * load);
        let mut arrival_time = 0.0;
        for _ in 0..requests {
            arrival_time += self.exponential(mean_interval);
            let job = Job {
                arrived_at: arrival_time as u64,
                host: self.rng.usize(..self.size.hosts),
                service_time: self.exponential(MEAN_SERVICE_TIME_MICROS) as u64,
                attempts: 0,
            };
            self.schedule(job.arrived_at, Event::Arrival(job));
        }
        self.schedule(TICK_INTERVAL_MICROS, Event::Tick);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            self.handle_event(event);
        }
        assert!(
            self.waiting.is_empty(),
            "a request is still waiting at the end of the simulation"
        );
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival(job) if self.strategy == Strategy::Optimistic => {
                self.try_upstream(job, 0)
            }
            Event::Arrival(job) => {
                let owner = self.choose_owner(job.host);
                let network_delay = self.network_delay(job.host, owner);
                self.schedule(self.now + network_delay, Event::OwnerArrival(owner, job));
            }
            Event::OwnerArrival(owner, job) => self.admit(owner, job),
            Event::UpstreamArrival(upstream, job) => self.arrive_at_upstream(upstream, job),
            Event::Completion(owner, upstream, job) => self.finish_job(owner, upstream, job),
            Event::LoadReport(host, endpoint, load) => self.load_estimates[host][endpoint] = load,
            Event::Tick => {
                for owner in 0..self.pools.len() {
                    let now = self.instant();
                    let wait_results = self.pools[owner].tick(now);
                    self.apply_wait_results(owner, wait_results);
                }
                if !self.events.is_empty() {
                    self.schedule(self.now + TICK_INTERVAL_MICROS, Event::Tick);
                }
            }
        }
    }

    fn choose_owner(&mut self, host: usize) -> usize {
        match self.strategy {
            Strategy::SplitSlots => host % self.pools.len(),
            Strategy::EndpointOwners => {
                let owner = self.less_loaded_of_two(host);
                self.load_estimates[host][owner] += 1;
                owner
            }
            _ => 0,
        }
    }

    fn less_loaded_of_two(&mut self, host: usize) -> usize {
        let (first, second) = (self.random_endpoint(), self.random_endpoint());
        if self.load_estimates[host][second] < self.load_estimates[host][first] {
            second
        } else {
            first
        }
    }

    fn random_endpoint(&mut self) -> usize {
        self.rng.usize(..self.size.endpoints)
    }

    fn network_delay(&self, host: usize, owner: usize) -> u64 {
        if host == owner {
            0
        } else {
            ONE_WAY_LATENCY_MICROS
        }
    }

    fn admit(&mut self, owner: usize, job: Job) {
        let now = self.instant();
        let request = Request {
            deadline: now + Duration::from_secs(5),
            reason: Reason::Share,
            excluded: Vec::new(),
        };
        match self.pools[owner].admit(now, request) {
            Admission::Granted(lease) => self.start_job(owner, &lease, job),
            Admission::Queued(wait) => {
                self.waiting.insert((owner, wait), job);
            }
            Admission::Refused(..) => self.refused += 1,
        }
    }

    fn apply_wait_results(&mut self, owner: usize, wait_results: Vec<WaitResult>) {
        for wait_result in wait_results {
            let job = self.waiting.remove(&(owner, wait_result.wait_id));
            let job = job.expect("the wait result belongs to a waiting request");
            match wait_result.result {
                Ok(lease) => self.start_job(owner, &lease, job),
                Err(_) => self.refused += 1,
            }
        }
    }

    fn start_job(&mut self, owner: usize, lease: &Lease, job: Job) {
        let upstream = usize::from(lease.address.port());
        self.in_flight[upstream] += 1;
        if self.in_flight[upstream] > SLOTS_PER_ENDPOINT {
            self.overloads += 1;
        }
        // the owner's response crosses the network back to the host
        self.record_wait(self.now + self.network_delay(job.host, owner) - job.arrived_at);
        self.schedule(
            self.now + job.service_time,
            Event::Completion(owner, upstream, job),
        );
    }

    fn finish_job(&mut self, owner: usize, upstream: usize, job: Job) {
        self.in_flight[upstream] -= 1;
        let mut load = self.in_flight[upstream];
        if self.strategy != Strategy::Optimistic {
            let now = self.instant();
            let lease = Lease {
                endpoint: endpoint_id(upstream),
                address: endpoint_address(upstream),
            };
            let outcome = Outcome::Served(Duration::from_micros(job.service_time));
            let wait_results = self.pools[owner].release(now, &lease, outcome);
            self.apply_wait_results(owner, wait_results);
            let headroom = self.pools[owner].headroom(now);
            load = headroom.busy + headroom.waiting;
        }
        self.schedule(
            self.now + ONE_WAY_LATENCY_MICROS,
            Event::LoadReport(job.host, upstream, load),
        );
    }

    fn try_upstream(&mut self, job: Job, delay: u64) {
        let upstream = self.less_loaded_of_two(job.host);
        self.load_estimates[job.host][upstream] += 1;
        self.schedule(
            self.now + delay + ONE_WAY_LATENCY_MICROS,
            Event::UpstreamArrival(upstream, job),
        );
    }

    fn arrive_at_upstream(&mut self, upstream: usize, mut job: Job) {
        if self.in_flight[upstream] < SLOTS_PER_ENDPOINT {
            self.in_flight[upstream] += 1;
            // the latency to the upstream is the same in every strategy and is not part of the wait
            self.record_wait(self.now - ONE_WAY_LATENCY_MICROS - job.arrived_at);
            self.schedule(
                self.now + job.service_time,
                Event::Completion(0, upstream, job),
            );
            return;
        }
        self.overloads += 1;
        self.load_estimates[job.host][upstream] = SLOTS_PER_ENDPOINT;
        job.attempts += 1;
        if job.attempts == MAX_ATTEMPTS {
            self.refused += 1;
            return;
        }
        self.try_upstream(job, ONE_WAY_LATENCY_MICROS);
    }

    fn record_wait(&mut self, wait: u64) {
        self.wait_times
            .record(wait)
            .expect("the histogram resizes itself");
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.last_event_number += 1;
        self.events
            .push(Reverse((time, self.last_event_number, event)));
    }

    fn instant(&self) -> Instant {
        self.start_time + Duration::from_micros(self.now)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }
}

fn owned_endpoints(
    strategy: Strategy,
    size: Size,
    owner: usize,
    owners: usize,
) -> BTreeMap<EndpointId, Endpoint> {
    let mut endpoints = BTreeMap::new();
    for index in 0..size.endpoints {
        let slots = match strategy {
            Strategy::SplitSlots => (0..SLOTS_PER_ENDPOINT as usize)
                .filter(|slot| (index * SLOTS_PER_ENDPOINT as usize + slot) % owners == owner)
                .count() as u32,
            Strategy::EndpointOwners if index != owner => 0,
            _ => SLOTS_PER_ENDPOINT,
        };
        if slots > 0 {
            let endpoint = Endpoint {
                zone: "bne-a".into(),
                address: endpoint_address(index),
                slots,
                draining: false,
            };
            endpoints.insert(endpoint_id(index), endpoint);
        }
    }
    endpoints
}

fn endpoint_id(index: usize) -> EndpointId {
    EndpointId::from(format!("e{index}"))
}

fn endpoint_address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], index as u16).into()
}

fn main() {
    let is_bench = std::env::args().any(|arg| arg == "--bench");
    let requests = if is_bench {
        BENCH_REQUESTS
    } else {
        TEST_REQUESTS
    };
    let sizes = [
        Size {
            hosts: 2,
            endpoints: 5,
        },
        Size {
            hosts: 36,
            endpoints: 10,
        },
        Size {
            hosts: 36,
            endpoints: 36,
        },
    ];
    println!("| hosts | slots | load | strategy | p50 ms | p99 ms | refused | overloads |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in sizes {
        for load in [0.50, 0.80, 0.95] {
            for strategy in STRATEGIES {
                let mut simulation = Simulation::new(strategy, size, 42);
                simulation.run(load, requests);
                let ms =
                    |quantile| simulation.wait_times.value_at_quantile(quantile) as f64 / 1000.0;
                println!(
                    "| {} | {} | {load:.2} | {strategy:?} | {:.2} | {:.1} | {:.3} % | {:.2} % |",
                    size.hosts,
                    size.endpoints * SLOTS_PER_ENDPOINT as usize,
                    ms(0.50),
                    ms(0.99),
                    f64::from(simulation.refused) * 100.0 / f64::from(requests),
                    f64::from(simulation.overloads) * 100.0 / f64::from(requests),
                );
                if strategy != Strategy::Optimistic {
                    assert_eq!(
                        simulation.overloads, 0,
                        "{strategy:?} exceeded an endpoint's slots"
                    );
                }
            }
        }
    }
}
