//! Named load shapes before one zone's slots: callers that come back when they are told to.
//!
//! A dawn surge is five times the usual load within a second; a renewal peak climbs above the
//! capacity for a minute with slow once-only requests. An event queue drives a pool; the
//! endpoints count what runs at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use fastrand::Rng;
use tanagerpier::config::Endpoint;
use tanagerpier::id::EndpointId;
use tanagerpier::slot::{Admission, Lease, Outcome, Pool, Request, WaitId, WaitResult};
use tanagerpier::wire::Reason;

/// Endpoints of the zone
const ENDPOINTS: usize = 12;

/// Slots of an endpoint
const SLOTS: u32 = 3;

/// Milliseconds between ticks of the pool
const TICK: u64 = 20;

/// Milliseconds that a caller waits for one answer
const PATIENCE: u64 = 5000;

struct Shape {
    name: &'static str,
    /// Mean service time, in milliseconds
    service: f64,
    /// Load in parts of the capacity at a second
    load: fn(f64) -> f64,
    /// Seconds between which the load is above the capacity
    above: (u64, u64),
    /// Seconds of the run
    length: u64,
    /// Most attempts for each request
    attempts: f64,
}

const SHAPES: [Shape; 2] = [
    Shape {
        name: "dawn surge",
        service: 20.0,
        load: |second| match second {
            10.0..20.0 => 3.0,
            _ => 0.6,
        },
        above: (11, 20),
        length: 90,
        attempts: 2.0,
    },
    Shape {
        name: "renewal peak",
        service: 150.0,
        load: |second| match second {
            0.0..30.0 => 0.5 + second / 30.0,
            30.0..60.0 => 1.5,
            60.0..90.0 => 1.5 - (second - 60.0) / 30.0,
            _ => 0.3,
        },
        above: (20, 60),
        length: 180,
        attempts: 2.0,
    },
];

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(u64),
    Done(usize, u64),
    Tick,
}

/// What came of one run
#[derive(Debug, Default)]
struct Sum {
    requests: u32,
    attempts: u32,
    served: u32,
    overloads: u32,
    /// Answers by second
    goodput: BTreeMap<u64, u32>,
    /// Attempts that are returns, by second
    returns: BTreeMap<u64, u32>,
    last: u64,
}

struct Run<'a> {
    shape: &'a Shape,
    fixed: bool,
    rng: Rng,
    base: Instant,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    pool: Pool,
    waiting: BTreeMap<WaitId, u64>,
    running: [u32; ENDPOINTS],
    sum: Sum,
}

impl<'a> Run<'a> {
    fn new(shape: &'a Shape, fixed: bool) -> Self {
        let base = Instant::now();
        let mut pool = Pool::with_seed(5);
        let endpoints = (0..ENDPOINTS).map(|index| {
            let endpoint = Endpoint {
                zone: "veneto-a".into(),
                address: ([127, 0, 0, 1], index as u16).into(),
                slots: SLOTS,
                draining: false,
            };
            (EndpointId::from(format!("e{index}")), endpoint)
        });
        pool.configure(base, &endpoints.collect());
        Self {
            shape,
            fixed,
            rng: Rng::with_seed(5),
            base,
            now: 0,
            queue: BinaryHeap::new(),
            number: 0,
            pool,
            waiting: BTreeMap::new(),
            running: [0; ENDPOINTS],
            sum: Sum::default(),
        }
    }

    /// Answers a second when all slots are busy
    fn capacity(&self) -> f64 {
        ENDPOINTS as f64 * f64::from(SLOTS) / self.shape.service * 1000.0
    }

    fn run(mut self) -> Sum {
        let mut at = 0.0;
        loop {
            let rate = self.capacity() * (self.shape.load)(at / 1000.0);
            at += -(1.0 - self.rng.f64()).ln() * 1000.0 / rate;
            if at >= (self.shape.length * 1000) as f64 {
                break;
            }
            self.sum.requests += 1;
            self.at(at as u64, Event::Ask(0));
        }
        self.at(TICK, Event::Tick);
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            self.now = now;
            match event {
                Event::Ask(tries) => self.ask(tries),
                Event::Done(endpoint, work) => self.done(endpoint, work),
                Event::Tick => {
                    let now = self.instant();
                    let grants = self.pool.tick(now);
                    self.grants(grants);
                    if !self.queue.is_empty() {
                        self.at(self.now + TICK, Event::Tick);
                    }
                }
            }
        }
        assert!(self.waiting.is_empty(), "a request was forgotten");
        self.sum
    }

    fn ask(&mut self, tries: u64) {
        self.sum.attempts += 1;
        if tries > 0 {
            *self.sum.returns.entry(self.now / 1000).or_default() += 1;
        }
        let now = self.instant();
        let ask = Request {
            deadline: now + Duration::from_millis(PATIENCE),
            reason: Reason::Share,
            excluded: Vec::new(),
        };
        match self.pool.admit(now, ask) {
            Admission::Granted(lease) => self.start(&lease),
            Admission::Queued(wait) => {
                self.waiting.insert(wait, tries);
            }
            Admission::Refused(_, after) => self.come_back(tries, after),
        }
    }

    fn grants(&mut self, grants: Vec<WaitResult>) {
        for grant in grants {
            let tries = self.waiting.remove(&grant.wait_id).expect("it waited");
            match grant.result {
                Ok(lease) => self.start(&lease),
                Err((_, after)) => self.come_back(tries, after),
            }
        }
    }

    /// Callers are told whole seconds
    fn come_back(&mut self, tries: u64, after: Duration) {
        let seconds = if self.fixed {
            1.0
        } else {
            after.as_secs_f64().ceil()
        };
        let at = self.now + (seconds * 1000.0) as u64;
        self.at(at, Event::Ask(tries + 1));
    }

    fn start(&mut self, lease: &Lease) {
        let endpoint = usize::from(lease.address.port());
        self.running[endpoint] += 1;
        if self.running[endpoint] > SLOTS {
            self.sum.overloads += 1;
        }
        let work = -(1.0 - self.rng.f64()).ln() * self.shape.service;
        let work = work.round() as u64;
        self.at(self.now + work, Event::Done(endpoint, work));
    }

    fn done(&mut self, endpoint: usize, work: u64) {
        self.running[endpoint] -= 1;
        self.sum.served += 1;
        self.sum.last = self.now / 1000;
        *self.sum.goodput.entry(self.now / 1000).or_default() += 1;
        let lease = Lease {
            endpoint: EndpointId::from(format!("e{endpoint}")),
            address: ([127, 0, 0, 1], endpoint as u16).into(),
        };
        let now = self.instant();
        let verdict = Outcome::Served(Duration::from_millis(work));
        let grants = self.pool.release(now, &lease, verdict);
        self.grants(grants);
    }

    fn at(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }
}

#[test]
fn surges_are_served_at_capacity_without_overload() {
    for shape in &SHAPES {
        let capacity = Run::new(shape, false).capacity();
        let fixed = Run::new(shape, true).run();
        let told = Run::new(shape, false).run();
        let (from, to) = shape.above;
        for (way, sum) in [("after 1 s", &fixed), ("when told", &told)] {
            let busiest = sum.returns.values().max().copied().unwrap_or_default();
            let answers = (from..to).filter_map(|second| sum.goodput.get(&second));
            let goodput = f64::from(answers.sum::<u32>()) / (to - from) as f64;
            println!(
                "{}, back {way}: {} requests, {} attempts, {busiest} return in the busiest second, \
                 {goodput:.0} answers a second at capacity {capacity}, last in second {}",
                shape.name, sum.requests, sum.attempts, sum.last,
            );
            assert!(goodput >= capacity * 0.97, "{}: {goodput}", shape.name);
        }
        let Sum {
            requests, attempts, ..
        } = told;
        assert_eq!(told.served, requests, "{}", shape.name);
        assert_eq!(told.overloads, 0, "{}", shape.name);
        let ratio = f64::from(attempts) / f64::from(requests);
        assert!(ratio <= shape.attempts, "{}: {ratio}", shape.name);
        assert!(attempts * 3 < fixed.attempts, "{}: {attempts}", shape.name);
    }
}
