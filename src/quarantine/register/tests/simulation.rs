//! A fleet of registers that exchange reports with loss, while hosts restart and the store is away.
//!
//! Requests that crash endpoints are sent at random hosts among ordinary ones. The simulation counts
//! by the platform's rule how often they reach endpoints, and what the reports cost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::super::*;
use crate::fleet::load_report_interval;

/// Step of the simulated time
const STEP: Duration = Duration::from_millis(100);

/// Time from a change of the store to its arrival at the hosts
const STORE_DELAY: Duration = Duration::from_millis(200);

/// Time for which a host must be undisturbed, and after the third crash, for the rule to count it
const STABLE: Duration = Duration::from_secs(3);

/// Number of times that a request may reach endpoints after that
const MAX_LATE: usize = 3;

/// Longest time for which an ordinary request may be refused
const MAX_REFUSAL: Duration = Duration::from_secs(10);

/// Number of hosts of other regions that get the demand report of each second
const DEMAND_REPORTS: usize = 4;

const LOSS_RATIO: f64 = 0.05;

/// Keys of the ordinary requests; those that crash endpoints have the keys from 0
const ORDINARY_KEYS: std::ops::Range<Key> = 1000..1050;

#[derive(Clone, Copy, Debug)]
struct Plan {
    name: &'static str,
    regions: usize,
    hosts_per_region: usize,
    seconds: u64,
    /// Number of requests that crash endpoints
    crashing: u64,
    /// Probability per second that a host restarts
    restart_rate: f64,
    /// Seconds from and to which the store is away
    outage: (u64, u64),
}

struct Host {
    region: usize,
    register: Register,
    restarted_at: Instant,
    next_report: Instant,
    next_demand_report: Instant,
}

#[derive(Debug, Default)]
struct Cost {
    late: BTreeMap<Key, usize>,
    crashes: BTreeMap<Key, usize>,
    store_writes: u64,
    /// Largest number of bytes of news that all hosts together received in a second
    peak_bytes: u64,
    total_bytes: u64,
    longest_refusal: Duration,
}

struct Fleet {
    plan: Plan,
    rng: Rng,
    hosts: Vec<Host>,
    store: BTreeMap<Key, Record>,
    /// Written and deleted records of the store, and when they reach the hosts
    pending: Vec<(Instant, Key)>,
    cost: Cost,
}

impl Fleet {
    fn new(plan: Plan, seed: u64, now: Instant) -> Self {
        let mut rng = Rng::with_seed(seed);
        let count = plan.regions * plan.hosts_per_region;
        let hosts = (0..count).map(|index| Host {
            region: index % plan.regions,
            register: Register::new(),
            restarted_at: now,
            next_report: now + Duration::from_millis(rng.u64(0..1000)),
            next_demand_report: now + Duration::from_millis(rng.u64(0..1000)),
        });
        Self {
            hosts: hosts.collect(),
            plan,
            store: BTreeMap::new(),
            pending: Vec::new(),
            cost: Cost::default(),
            rng,
        }
    }

    /// Sends the news of one host to another; returns their length in bytes
    fn tell(&mut self, now: Instant, sender: usize, receiver: usize) -> u64 {
        let to_own_region = self.hosts[sender].region == self.hosts[receiver].region;
        let news = self.hosts[sender].register.news(now, to_own_region);
        if news.is_empty() || self.rng.f64() < LOSS_RATIO {
            return 0;
        }
        let source = match to_own_region {
            true => Source::Region,
            false => Source::Elsewhere,
        };
        for (key, record) in &news {
            let delay = self.save_delay();
            let register = &mut self.hosts[receiver].register;
            register.merge(now, *key, record, source, delay);
        }
        let bytes = postcard::to_stdvec(&news).expect("news are encoded");
        bytes.len() as u64
    }

    fn save_delay(&mut self) -> Duration {
        let max_delay = Duration::from_millis(20) * self.hosts.len() as u32;
        let max_delay = max_delay.max(Duration::from_secs(1));
        Duration::from_millis(500) + max_delay.mul_f64(self.rng.f64())
    }

    /// Sends the reports that are due, and those of hosts that saw a crash; returns their bytes
    fn report(&mut self, now: Instant, urgent: &[usize]) -> u64 {
        let count = self.hosts.len();
        let mut bytes = 0;
        for sender in 0..count {
            if now >= self.hosts[sender].next_report || urgent.contains(&sender) {
                let interval = load_report_interval(self.plan.hosts_per_region - 1);
                self.hosts[sender].next_report = now + interval;
                let region = self.hosts[sender].region;
                for receiver in (region..count).step_by(self.plan.regions) {
                    if receiver != sender {
                        bytes += self.tell(now, sender, receiver);
                    }
                }
            }
            if now >= self.hosts[sender].next_demand_report {
                self.hosts[sender].next_demand_report = now + Duration::from_secs(1);
                for _ in 0..DEMAND_REPORTS {
                    let receiver = self.rng.usize(..count);
                    if self.hosts[receiver].region != self.hosts[sender].region {
                        bytes += self.tell(now, sender, receiver);
                    }
                }
            }
        }
        bytes
    }

    /// Writes what is due to the store, and delivers its changes
    fn exchange_with_store(&mut self, now: Instant, is_away: bool) {
        for index in 0..self.hosts.len() {
            let Some((key, record)) = self.hosts[index].register.next_unsaved(now) else {
                continue;
            };
            if is_away {
                let until = now + self.save_delay();
                self.hosts[index].register.postpone_save(key, until);
                continue;
            }
            self.cost.store_writes += 1;
            let stored = self.store.entry(key).or_default();
            stored.crashed.extend(&record.crashed);
            let until = now + Duration::from_secs(3);
            self.hosts[index].register.postpone_save(key, until);
            self.pending.push((now + STORE_DELAY, key));
        }
        if is_away {
            return;
        }
        let obsolete = |key: &Key, record: &Record| {
            let mut hosts = self.hosts.iter();
            hosts.any(|host| host.register.is_cleared(*key, &record.crashed))
        };
        let stored = std::mem::take(&mut self.store);
        let (deleted, kept): (BTreeMap<_, _>, _) = stored
            .into_iter()
            .partition(|(key, record)| obsolete(key, record));
        self.store = kept;
        let deleted = deleted.into_keys();
        self.pending
            .extend(deleted.map(|key| (now + STORE_DELAY, key)));
        let mut due = BTreeSet::new();
        self.pending.retain(|(at, key)| {
            let is_due = *at <= now;
            if is_due {
                due.insert(*key);
            }
            !is_due
        });
        for key in due {
            for index in 0..self.hosts.len() {
                let delay = self.save_delay();
                let register = &mut self.hosts[index].register;
                match self.store.get(&key) {
                    Some(record) => {
                        register.merge(now, key, record, Source::Store, delay);
                    }
                    None => register.forget(key),
                }
            }
        }
    }

    /// Restarts hosts, which read the store or the copy of it that another host has
    fn restart_hosts(&mut self, now: Instant) {
        let probability = self.plan.restart_rate * STEP.as_secs_f64();
        for host in &mut self.hosts {
            if self.rng.f64() >= probability {
                continue;
            }
            host.register = Register::new();
            host.restarted_at = now;
            for (key, record) in &self.store {
                host.register
                    .merge(now, *key, record, Source::Store, Duration::ZERO);
            }
        }
    }

    /// Sends each crashing request at a random host; returns the hosts that saw a crash
    fn send_crashing(
        &mut self,
        now: Instant,
        third_crash: &mut BTreeMap<Key, Instant>,
    ) -> Vec<usize> {
        let mut hosts = Vec::new();
        for key in 0..self.plan.crashing {
            let index = self.rng.usize(..self.hosts.len());
            let beside = self.rng.u64(ORDINARY_KEYS);
            let host = &mut self.hosts[index];
            let keys = request_keys(key);
            if keys.retry_after(&host.register, now).is_some() {
                continue;
            }
            let crashes = self.cost.crashes.entry(key).or_default();
            *crashes += 1;
            if *crashes == 3 {
                third_crash.insert(key, now);
            }
            let is_late = third_crash.get(&key).is_some_and(|at| now > *at + STABLE);
            if is_late && now > host.restarted_at + STABLE {
                *self.cost.late.entry(key).or_default() += 1;
            }
            let run = key << 32 | *crashes as u64;
            keys.record_crash(&mut host.register, now, run);
            request_keys(beside).record_crash(&mut host.register, now, run);
            hosts.push(index);
        }
        hosts
    }
}

/// Returns the keys of the request with a number, each with a caller and a path of its own
fn request_keys(number: Key) -> Keys {
    Keys::new(&number.to_string(), "GET", &format!("/{number}"), b"")
}

fn play(plan: Plan, seed: u64) -> Cost {
    let start = Instant::now();
    let mut fleet = Fleet::new(plan, seed, start);
    let mut third_crash: BTreeMap<Key, Instant> = BTreeMap::new();
    let mut refused_since: BTreeMap<Key, Instant> = BTreeMap::new();
    let mut second_bytes = 0;
    for step in 0..plan.seconds * 10 {
        let now = start + STEP * step as u32;
        let is_away = (plan.outage.0..plan.outage.1).contains(&(step / 10));
        fleet.restart_hosts(now);
        let urgent = fleet.send_crashing(now, &mut third_crash);
        for key in ORDINARY_KEYS {
            let index = fleet.rng.usize(..fleet.hosts.len());
            let register = &mut fleet.hosts[index].register;
            let keys = request_keys(key);
            if keys.retry_after(register, now).is_none() {
                refused_since.remove(&key);
                keys.record_success(register, now);
                continue;
            }
            let since = *refused_since.entry(key).or_insert(now);
            let refusal = now.saturating_duration_since(since);
            fleet.cost.longest_refusal = fleet.cost.longest_refusal.max(refusal);
        }
        let bytes = fleet.report(now, &urgent);
        fleet.exchange_with_store(now, is_away);
        fleet.cost.total_bytes += bytes;
        second_bytes += bytes;
        if step % 10 == 9 {
            fleet.cost.peak_bytes = fleet.cost.peak_bytes.max(second_bytes);
            second_bytes = 0;
        }
    }
    fleet.cost
}

fn check(plan: Plan, seed: u64) -> Cost {
    let cost = play(plan, seed);
    let name = plan.name;
    for (key, late) in &cost.late {
        assert!(
            *late <= MAX_LATE,
            "{name}, seed {seed}: request {key} reached endpoints {late} times later than \
             {STABLE:?} after its third crash; {cost:?}"
        );
    }
    assert!(
        cost.longest_refusal <= MAX_REFUSAL,
        "{name}, seed {seed}: an ordinary request was refused for {:?}",
        cost.longest_refusal
    );
    cost
}

/// Guards against hosts that each let a request crash endpoints, as they do not hear of each other
///
/// The bound holds also for hosts that the store does not reach, which the platform's rule exempts.
#[test]
fn fleet_stops_a_crashing_request_after_its_third_crash() {
    let plan = Plan {
        name: "calm",
        regions: 3,
        hosts_per_region: 4,
        seconds: 40,
        crashing: 2,
        restart_rate: 0.0,
        outage: (0, 0),
    };
    let plans = [
        plan,
        Plan {
            name: "restarts",
            restart_rate: 0.1,
            ..plan
        },
        Plan {
            name: "store away",
            outage: (1, 20),
            ..plan
        },
        Plan {
            name: "store away and restarts",
            restart_rate: 0.1,
            outage: (1, 20),
            ..plan
        },
        Plan {
            name: "many regions",
            regions: 26,
            hosts_per_region: 8,
            crashing: 4,
            ..plan
        },
    ];
    for plan in plans {
        for seed in 1..6 {
            check(plan, seed);
        }
    }
}

/// Returns the resident memory of this process, in bytes
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages = statm.split(' ').nth(1).expect("statm has a second field");
    pages.parse::<u64>().expect("a number of pages") * 4096
}

/// Prints the memory of a full register and the time of what a request costs there
#[test]
#[ignore = "measurement, prints figures of docs/CAPACITY.md"]
fn cost_of_a_full_register() {
    let now = Instant::now();
    let before = resident_bytes();
    let mut register = Register::new();
    for key in 0..MAX_KEYS as u64 {
        for run in 0..MAX_CRASHES as u64 {
            register.record_crash(now, key, run);
        }
    }
    register.record_success(now, Key::MAX);
    let bytes = resident_bytes() - before;
    let rounds = 1_000_000;
    let started = Instant::now();
    for key in 0..rounds {
        std::hint::black_box(register.retry_after(now, std::hint::black_box(key << 20), 1.0));
        register.record_success(now, Key::MAX - key);
    }
    let request = started.elapsed() / rounds as u32;
    let started = Instant::now();
    for _ in 0..100 {
        std::hint::black_box((
            register.news(now + NEWS_TTL, true),
            register.next_unsaved(now),
        ));
    }
    let report = started.elapsed() / 100;
    println!("{MAX_KEYS} records: {bytes} bytes; {request:?} a request, {report:?} a report");
}

/// Prints what the reports of a fleet of the target size cost
#[test]
#[ignore = "measurement, prints figures of docs/CAPACITY.md"]
fn cost_of_crash_records() {
    let shapes = [
        (8, 1, (0, 0)),
        (104, 1, (0, 0)),
        (104, 8, (0, 0)),
        (104, 1, (1, 30)),
        (104, 8, (1, 30)),
    ];
    for (hosts_per_region, crashing, outage) in shapes {
        let plan = Plan {
            name: "target",
            regions: 26,
            hosts_per_region,
            seconds: 40,
            crashing,
            restart_rate: 0.0,
            outage,
        };
        let hosts = (plan.regions * hosts_per_region) as u64;
        let cost = check(plan, 1);
        println!(
            "{hosts} hosts, {crashing} crashing requests, store away {outage:?}: crashes {:?}, \
             {} writes; news received by a host: peak {} B/s, mean {} B/s over {} s",
            cost.crashes,
            cost.store_writes,
            cost.peak_bytes / hosts,
            cost.total_bytes / hosts / plan.seconds,
            plan.seconds
        );
    }
}
