//! Ways to share an endpoint's slots among the hosts of a zone, compared in one seeded run.
//!
//! Poisson arrivals at random hosts, exponential service. A way is a set of owners, each with a
//! [`Pool`], and a rule which owner a host sends a request to; the optimistic way has no owners
//! and counts on the upstream to shed. Prints one row a way, load and size.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use tanagerpier::config::Endpoint;
use tanagerpier::id::EndpointId;
use tanagerpier::slot::{Admission, Lease, Outcome, Pool, Request, WaitId, WaitResult};
use tanagerpier::wire::Reason;

/// Mean time that a request holds its slot, in microseconds
const SERVICE: f64 = 10_000.0;

/// One way between two hosts of a zone or a host and an upstream, in microseconds
const HOP: u64 = 250;

/// Requests in one run of `cargo bench`
const REQUESTS: u32 = 200_000;

/// Requests in one run of `cargo test`
const TEST_REQUESTS: u32 = 20_000;

/// Slots of an endpoint
const SLOTS: u32 = 3;

/// Endpoints that the optimistic way tries before it refuses
const TRIES: u32 = 3;

/// Time between ticks of the pools, in microseconds
const TICK: u64 = 50_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    OneOwner,
    SplitSlots,
    EndpointOwners,
    Optimistic,
}

const WAYS: [Way; 4] = [
    Way::OneOwner,
    Way::SplitSlots,
    Way::EndpointOwners,
    Way::Optimistic,
];

#[derive(Clone, Copy)]
struct Size {
    hosts: usize,
    endpoints: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    arrived: u64,
    host: usize,
    work: u64,
    tries: u32,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(Job),
    AtOwner(usize, Job),
    AtUpstream(usize, Job),
    Done(usize, usize, Job),
    Heard(usize, usize, u32),
    Tick,
}

struct Run {
    way: Way,
    size: Size,
    rng: Rng,
    base: Instant,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    pools: Vec<Pool>,
    waiting: BTreeMap<(usize, WaitId), Job>,
    running: Vec<u32>,
    known: Vec<Vec<u32>>,
    waits: Histogram<u64>,
    refused: u32,
    overloads: u32,
}

impl Run {
    fn new(way: Way, size: Size, seed: u64) -> Self {
        let owners = match way {
            Way::OneOwner => 1,
            Way::SplitSlots => size.hosts.min(size.endpoints * SLOTS as usize),
            Way::EndpointOwners => size.endpoints,
            Way::Optimistic => 0,
        };
        let base = Instant::now();
        let pools = (0..owners).map(|owner| {
            let mut pool = Pool::with_seed(seed);
            pool.configure(base, &owned(way, size, owner, owners));
            pool
        });
        Self {
            way,
            size,
            rng: Rng::with_seed(seed),
            base,
            now: 0,
            queue: BinaryHeap::new(),
            number: 0,
            pools: pools.collect(),
            waiting: BTreeMap::new(),
            running: vec![0; size.endpoints],
            known: vec![vec![0; size.endpoints]; size.hosts],
            waits: Histogram::new(3).expect("three digits"),
            refused: 0,
            overloads: 0,
        }
    }

    fn run(&mut self, load: f64, requests: u32) {
        let capacity = self.size.endpoints as f64 * f64::from(SLOTS) / SERVICE;
        let gap = 1.0 / (capacity * load);
        let mut at = 0.0;
        for _ in 0..requests {
            at += self.exponential(gap);
            let job = Job {
                arrived: at as u64,
                host: self.rng.usize(..self.size.hosts),
                work: self.exponential(SERVICE) as u64,
                tries: 0,
            };
            self.at(job.arrived, Event::Arrive(job));
        }
        self.at(TICK, Event::Tick);
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            self.now = now;
            self.step(event);
        }
        assert!(self.waiting.is_empty(), "a request was forgotten");
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(job) if self.way == Way::Optimistic => self.try_upstream(job, 0),
            Event::Arrive(job) => {
                let owner = self.choose(job.host);
                let hop = self.hop(job.host, owner);
                self.at(self.now + hop, Event::AtOwner(owner, job));
            }
            Event::AtOwner(owner, job) => self.admit(owner, job),
            Event::AtUpstream(upstream, job) => self.arrive_upstream(upstream, job),
            Event::Done(owner, upstream, job) => self.done(owner, upstream, job),
            Event::Heard(host, endpoint, load) => self.known[host][endpoint] = load,
            Event::Tick => {
                for owner in 0..self.pools.len() {
                    let now = self.instant();
                    let grants = self.pools[owner].tick(now);
                    self.grants(owner, grants);
                }
                if !self.queue.is_empty() {
                    self.at(self.now + TICK, Event::Tick);
                }
            }
        }
    }

    fn choose(&mut self, host: usize) -> usize {
        match self.way {
            Way::SplitSlots => host % self.pools.len(),
            Way::EndpointOwners => {
                let owner = self.better_of_two(host);
                self.known[host][owner] += 1;
                owner
            }
            _ => 0,
        }
    }

    fn better_of_two(&mut self, host: usize) -> usize {
        let (a, b) = (self.random_endpoint(), self.random_endpoint());
        if self.known[host][b] < self.known[host][a] {
            b
        } else {
            a
        }
    }

    fn random_endpoint(&mut self) -> usize {
        self.rng.usize(..self.size.endpoints)
    }

    fn hop(&self, host: usize, owner: usize) -> u64 {
        if host == owner { 0 } else { HOP }
    }

    fn admit(&mut self, owner: usize, job: Job) {
        let now = self.instant();
        let ask = Request {
            deadline: now + Duration::from_secs(5),
            reason: Reason::Share,
            excluded: Vec::new(),
        };
        match self.pools[owner].admit(now, ask) {
            Admission::Granted(lease) => self.start(owner, &lease, job),
            Admission::Queued(wait) => {
                self.waiting.insert((owner, wait), job);
            }
            Admission::Refused(..) => self.refused += 1,
        }
    }

    fn grants(&mut self, owner: usize, grants: Vec<WaitResult>) {
        for grant in grants {
            let job = self.waiting.remove(&(owner, grant.wait_id));
            let job = job.expect("a grant for a waiting request");
            match grant.result {
                Ok(lease) => self.start(owner, &lease, job),
                Err(_) => self.refused += 1,
            }
        }
    }

    fn start(&mut self, owner: usize, lease: &Lease, job: Job) {
        let upstream = usize::from(lease.address.port());
        self.running[upstream] += 1;
        if self.running[upstream] > SLOTS {
            self.overloads += 1;
        }
        // the answer makes the hop back
        self.record(self.now + self.hop(job.host, owner) - job.arrived);
        self.at(self.now + job.work, Event::Done(owner, upstream, job));
    }

    fn done(&mut self, owner: usize, upstream: usize, job: Job) {
        self.running[upstream] -= 1;
        let mut load = self.running[upstream];
        if self.way != Way::Optimistic {
            let now = self.instant();
            let lease = Lease {
                endpoint: name(upstream),
                address: address(upstream),
            };
            let verdict = Outcome::Served(Duration::from_micros(job.work));
            let grants = self.pools[owner].release(now, &lease, verdict);
            self.grants(owner, grants);
            let headroom = self.pools[owner].headroom(now);
            load = headroom.busy + headroom.waiting;
        }
        self.at(self.now + HOP, Event::Heard(job.host, upstream, load));
    }

    fn try_upstream(&mut self, job: Job, after: u64) {
        let upstream = self.better_of_two(job.host);
        self.known[job.host][upstream] += 1;
        self.at(self.now + after + HOP, Event::AtUpstream(upstream, job));
    }

    fn arrive_upstream(&mut self, upstream: usize, mut job: Job) {
        if self.running[upstream] < SLOTS {
            self.running[upstream] += 1;
            // the way to the upstream is no wait, it is there in every way
            self.record(self.now - HOP - job.arrived);
            self.at(self.now + job.work, Event::Done(0, upstream, job));
            return;
        }
        self.overloads += 1;
        self.known[job.host][upstream] = SLOTS;
        job.tries += 1;
        if job.tries == TRIES {
            self.refused += 1;
            return;
        }
        self.try_upstream(job, HOP);
    }

    fn record(&mut self, wait: u64) {
        self.waits.record(wait).expect("a histogram that grows");
    }

    fn at(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }
}

fn owned(way: Way, size: Size, owner: usize, owners: usize) -> BTreeMap<EndpointId, Endpoint> {
    let mut endpoints = BTreeMap::new();
    for index in 0..size.endpoints {
        let slots = match way {
            Way::SplitSlots => (0..SLOTS as usize)
                .filter(|slot| (index * SLOTS as usize + slot) % owners == owner)
                .count() as u32,
            Way::EndpointOwners if index != owner => 0,
            _ => SLOTS,
        };
        if slots > 0 {
            let endpoint = Endpoint {
                zone: "bne-a".into(),
                address: address(index),
                slots,
                draining: false,
            };
            endpoints.insert(name(index), endpoint);
        }
    }
    endpoints
}

fn name(index: usize) -> EndpointId {
    EndpointId::from(format!("e{index}"))
}

fn address(index: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], index as u16).into()
}

fn main() {
    let bench = std::env::args().any(|arg| arg == "--bench");
    let requests = if bench { REQUESTS } else { TEST_REQUESTS };
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
    println!("| hosts | slots | load | way | p50 ms | p99 ms | refused | overloads |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in sizes {
        for load in [0.50, 0.80, 0.95] {
            for way in WAYS {
                let mut run = Run::new(way, size, 42);
                run.run(load, requests);
                let ms = |quantile| run.waits.value_at_quantile(quantile) as f64 / 1000.0;
                println!(
                    "| {} | {} | {load:.2} | {way:?} | {:.2} | {:.1} | {:.3} % | {:.2} % |",
                    size.hosts,
                    size.endpoints * SLOTS as usize,
                    ms(0.50),
                    ms(0.99),
                    f64::from(run.refused) * 100.0 / f64::from(requests),
                    f64::from(run.overloads) * 100.0 / f64::from(requests),
                );
                if way != Way::Optimistic {
                    assert_eq!(run.overloads, 0, "{way:?} passed an endpoint's slots");
                }
            }
        }
    }
}
