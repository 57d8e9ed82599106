//! Simulates overload of the slots of one zone by callers that retry after the advertised delay.
//!
//! In the dawn surge, load rises to five times its usual level within a second. In the renewal
//! peak, slow at-most-once requests exceed the capacity for a minute. A discrete-event simulation
//! drives a pool and counts the concurrent requests of each endpoint.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use fastrand::Rng;
use tanagerpier::config::Endpoint;
use tanagerpier::id::EndpointId;
use tanagerpier::slot::{Admission, Lease, Outcome, Pool, Request, WaitId, WaitResult};
use tanagerpier::wire::Reason;

/// Number of endpoints in the zone
const ENDPOINT_COUNT: usize = 12;

/// Number of slots of each endpoint
const SLOTS_PER_ENDPOINT: u32 = 3;

/// Interval between ticks of the pool
const TICK_INTERVAL_MILLIS: u64 = 20;

/// Time until the deadline of each attempt
const REQUEST_TIMEOUT_MILLIS: u64 = 5000;

struct LoadShape {
    name: &'static str,
    /// Mean service time in milliseconds
    mean_service_millis: f64,
    /// Returns the load at a time in seconds, as a ratio to the capacity
    load_ratio: fn(f64) -> f64,
    /// Start and end of the time above the capacity, in seconds
    overload_seconds: (u64, u64),
    /// Time during which requests arrive, in seconds
    duration_seconds: u64,
    /// Maximum mean number of attempts per request
    max_attempt_ratio: f64,
}

const LOAD_SHAPES: [LoadShape; 2] = [
    LoadShape {
        name: "dawn surge",
        mean_service_millis: 20.0,
        load_ratio: |second| match second {
            10.0..20.0 => 3.0,
            _ => 0.6,
        },
        overload_seconds: (11, 20),
        duration_seconds: 90,
        max_attempt_ratio: 2.0,
    },
    LoadShape {
        name: "renewal peak",
        mean_service_millis: 150.0,
        load_ratio: |second| match second {
            0.0..30.0 => 0.5 + second / 30.0,
            30.0..60.0 => 1.5,
            60.0..90.0 => 1.5 - (second - 60.0) / 30.0,
            _ => 0.3,
        },
        overload_seconds: (20, 60),
        duration_seconds: 180,
        max_attempt_ratio: 2.0,
    },
];

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(u64),
    Finish(usize, u64),
    Tick,
}

/// Results of one simulation
#[derive(Debug, Default)]
struct Summary {
    requests: u32,
    attempts: u32,
    served: u32,
    slot_violations: u32,
    /// Served requests by second
    goodput: BTreeMap<u64, u32>,
    /// Retries by second
    retries: BTreeMap<u64, u32>,
    last_served_second: u64,
}

struct Simulation<'a> {
    shape: &'a LoadShape,
    /// Whether callers retry after a fixed second instead of the advertised delay
    has_fixed_delay: bool,
    rng: Rng,
    started: Instant,
    now_millis: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    pool: Pool,
    waiting: BTreeMap<WaitId, u64>,
    in_flight: [u32; ENDPOINT_COUNT],
    summary: Summary,
}

impl<'a> Simulation<'a> {
    fn new(shape: &'a LoadShape, has_fixed_delay: bool) -> Self {
        let started = Instant::now();
        let mut pool = Pool::with_seed(5);
        let endpoints = (0..ENDPOINT_COUNT).map(|index| {
            let endpoint = Endpoint {
                zone: "veneto-a".into(),
                address: ([127, 0, 0, 1], index as u16).into(),
                slots: SLOTS_PER_ENDPOINT,
                draining: false,
            };
            (EndpointId::from(format!("e{index}")), endpoint)
        });
        pool.configure(started, &endpoints.collect());
        Self {
            shape,
            has_fixed_delay,
            rng: Rng::with_seed(5),
            started,
            now_millis: 0,
            queue: BinaryHeap::new(),
            event_count: 0,
            pool,
            waiting: BTreeMap::new(),
            in_flight: [0; ENDPOINT_COUNT],
            summary: Summary::default(),
        }
    }

    /// Returns the requests served per second when all slots are busy
    fn capacity(&self) -> f64 {
        ENDPOINT_COUNT as f64 * f64::from(SLOTS_PER_ENDPOINT) / self.shape.mean_service_millis
            * 1000.0
    }

    fn run(mut self) -> Summary {
        let mut arrival_millis = 0.0;
        loop {
            let rate = self.capacity() * (self.shape.load_ratio)(arrival_millis / 1000.0);
            arrival_millis += -(1.0 - self.rng.f64()).ln() * 1000.0 / rate;
            if arrival_millis >= (self.shape.duration_seconds * 1000) as f64 {
                break;
            }
            self.summary.requests += 1;
            self.schedule(arrival_millis as u64, Event::Arrive(0));
        }
        self.schedule(TICK_INTERVAL_MILLIS, Event::Tick);
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            self.now_millis = now;
            match event {
                Event::Arrive(retry_count) => self.admit(retry_count),
                Event::Finish(endpoint, service_millis) => {
                    self.finish_request(endpoint, service_millis)
                }
                Event::Tick => {
                    let now = self.instant();
                    let results = self.pool.tick(now);
                    self.process_results(results);
                    if !self.queue.is_empty() {
                        self.schedule(self.now_millis + TICK_INTERVAL_MILLIS, Event::Tick);
                    }
                }
            }
        }
        assert!(
            self.waiting.is_empty(),
            "requests still wait after the last event"
        );
        self.summary
    }

    fn admit(&mut self, retry_count: u64) {
        self.summary.attempts += 1;
        if retry_count > 0 {
            *self
                .summary
                .retries
                .entry(self.now_millis / 1000)
                .or_default() += 1;
        }
        let now = self.instant();
        let request = Request {
            deadline: now + Duration::from_millis(REQUEST_TIMEOUT_MILLIS),
            reason: Reason::Share,
            excluded: Vec::new(),
        };
        match self.pool.admit(now, request) {
            Admission::Granted(lease) => self.start(&lease),
            Admission::Queued(wait_id) => {
                self.waiting.insert(wait_id, retry_count);
            }
            Admission::Refused(_, retry_after) => self.schedule_retry(retry_count, retry_after),
        }
    }

    fn process_results(&mut self, results: Vec<WaitResult>) {
        for wait_result in results {
            let retry_count = self
                .waiting
                .remove(&wait_result.wait_id)
                .expect("result is for a queued request");
            match wait_result.result {
                Ok(lease) => self.start(&lease),
                Err((_, retry_after)) => self.schedule_retry(retry_count, retry_after),
            }
        }
    }

    /// Schedules a retry; Retry-After has a resolution of whole seconds, rounded up
    fn schedule_retry(&mut self, retry_count: u64, retry_after: Duration) {
        let seconds = if self.has_fixed_delay {
            1.0
        } else {
            retry_after.as_secs_f64().ceil()
        };
        let retry_millis = self.now_millis + (seconds * 1000.0) as u64;
        self.schedule(retry_millis, Event::Arrive(retry_count + 1));
    }

    fn start(&mut self, lease: &Lease) {
        let endpoint = usize::from(lease.address.port());
        self.in_flight[endpoint] += 1;
        if self.in_flight[endpoint] > SLOTS_PER_ENDPOINT {
            self.summary.slot_violations += 1;
        }
        let service_millis = -(1.0 - self.rng.f64()).ln() * self.shape.mean_service_millis;
        let service_millis = service_millis.round() as u64;
        self.schedule(
            self.now_millis + service_millis,
            Event::Finish(endpoint, service_millis),
        );
    }

    fn finish_request(&mut self, endpoint: usize, service_millis: u64) {
        self.in_flight[endpoint] -= 1;
        self.summary.served += 1;
        self.summary.last_served_second = self.now_millis / 1000;
        *self
            .summary
            .goodput
            .entry(self.now_millis / 1000)
            .or_default() += 1;
        let lease = Lease {
            endpoint: EndpointId::from(format!("e{endpoint}")),
            address: ([127, 0, 0, 1], endpoint as u16).into(),
        };
        let now = self.instant();
        let outcome = Outcome::Served(Duration::from_millis(service_millis));
        let results = self.pool.release(now, &lease, outcome);
        self.process_results(results);
    }

    fn schedule(&mut self, at_millis: u64, event: Event) {
        self.event_count += 1;
        self.queue
            .push(Reverse((at_millis, self.event_count, event)));
    }

    fn instant(&self) -> Instant {
        self.started + Duration::from_millis(self.now_millis)
    }
}

#[test]
fn overload_is_served_at_capacity_when_callers_honor_retry_after() {
    for shape in &LOAD_SHAPES {
        let capacity = Simulation::new(shape, false).capacity();
        let fixed = Simulation::new(shape, true).run();
        let advertised = Simulation::new(shape, false).run();
        let (from, to) = shape.overload_seconds;
        for (delay, summary) in [("after 1 s", &fixed), ("as advertised", &advertised)] {
            let peak_retries = summary.retries.values().max().copied().unwrap_or_default();
            let served_counts = (from..to).filter_map(|second| summary.goodput.get(&second));
            let goodput = f64::from(served_counts.sum::<u32>()) / (to - from) as f64;
            println!(
                "{}, retries {delay}: {} requests, {} attempts, {peak_retries} retries in the \
                 busiest second, {goodput:.0} served per second at capacity {capacity}, last \
                 served in second {}",
                shape.name, summary.requests, summary.attempts, summary.last_served_second,
            );
            assert!(goodput >= capacity * 0.97, "{}: {goodput}", shape.name);
        }
        let Summary {
            requests, attempts, ..
        } = advertised;
        assert_eq!(advertised.served, requests, "{}", shape.name);
        assert_eq!(advertised.slot_violations, 0, "{}", shape.name);
        let ratio = f64::from(attempts) / f64::from(requests);
        assert!(ratio <= shape.max_attempt_ratio, "{}: {ratio}", shape.name);
        assert!(attempts * 3 < fixed.attempts, "{}: {attempts}", shape.name);
    }
}
