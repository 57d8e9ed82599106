//! One randomised run over real processes: faults by seed, promises checked from the records.
//!
//! `PIER_SEED` picks the faults and `PIER_SECONDS` the length; the schedule is printed, and the
//! same seed gives the same one.

mod faults;
mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use faults::{Step, Targets, schedule};
use fleet::{Fleet, Layout, Service};
use tanagerpier::config::{OBJECT_NAME, Revision};
use tanagerpier::load::{self, Plan};

/// Seed if none is given
const SEED: u64 = 7;

/// Length if none is given, in seconds
const SECONDS: u64 = 30;

/// Time between two looks at the fleet
const TICK: Duration = Duration::from_millis(50);

/// Time in which an accepted configuration has to be in force everywhere
const IN_FORCE: Duration = Duration::from_secs(16);

/// Longest time that a planned stop may take
const DRAIN: Duration = Duration::from_secs(30);

/// Longest time that an operator's patch may stay unsettled
const SETTLE: Duration = Duration::from_secs(60);

/// Times that the caller of a crash request sends it
const CRASH_SENDS: usize = 4;

#[test]
fn promises_hold_under_random_faults() {
    let seed = number("PIER_SEED", SEED);
    let length = Duration::from_secs(number("PIER_SECONDS", SECONDS));
    let services = [Service::portal(1), Service::packs(1)];
    let mut run = Run::new(Fleet::new(Layout::new(
        &["bne", "tsv", "cns"],
        2,
        &services,
    )));
    let steps = schedule(seed, length, &run.targets());
    println!("seed {seed}, {} s, {} steps", length.as_secs(), steps.len());
    for (at, step) in &steps {
        println!("{:8.3} s {step}", at.as_secs_f64());
    }
    let plan = Plan {
        seed,
        rate: 100.0,
        duration: length,
        at_most_once_ratio: 0.3,
        block_count: 3000,
        ..run.fleet.load_plan()
    };
    let load = thread::spawn(|| smol::block_on(load::run(plan)).expect("records are read"));
    run.faults(steps);
    run.heal();
    while !load.is_finished() {
        run.tick();
    }
    let report = load.join().expect("the load ends");
    println!("{}", serde_json::to_string(&report).expect("plain data"));
    run.settle_operators();
    run.await_in_force();
    assert!(report.has_no_violations(), "seed {seed}: {report:?}");
    assert_eq!(report.idempotent_given_up, 0, "seed {seed}: {report:?}");
    run.serves_all_again(seed);
}

fn number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |text| text.parse().expect("a number"))
}

/// The fleet and what is known of it while faults come and go
struct Run {
    fleet: Fleet,
    begun: Instant,
    paused: BTreeSet<String>,
    stopping: BTreeMap<String, Instant>,
    spared: BTreeSet<String>,
    numbers: BTreeMap<String, u64>,
    operators: Vec<Child>,
    crashing: Vec<thread::JoinHandle<()>>,
}

impl Run {
    fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            begun: Instant::now(),
            paused: BTreeSet::new(),
            stopping: BTreeMap::new(),
            spared: BTreeSet::new(),
            numbers: BTreeMap::new(),
            operators: Vec::new(),
            crashing: Vec::new(),
        }
    }

    fn targets(&self) -> Targets {
        let hosts = self.fleet.hosts.values();
        let zones: BTreeSet<String> = hosts.map(|host| host.info.zone.to_string()).collect();
        Targets {
            zones: zones.into_iter().collect(),
            hosts: self.fleet.hosts.keys().cloned().collect(),
            upstreams: self.fleet.upstreams.keys().cloned().collect(),
        }
    }

    fn faults(&mut self, steps: Vec<(Duration, Step)>) {
        self.begun = Instant::now();
        for (at, step) in steps {
            while self.begun.elapsed() < at {
                self.tick();
            }
            self.take(step);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Kill(host) | Step::Signal(host, "STOP") | Step::Terminate(host)
                if self.stopping.contains_key(&host) =>
            {
                println!("{host} is still stopping");
                self.spared.insert(host);
            }
            Step::Start(host) | Step::Signal(host, _) | Step::Replace(host)
                if self.spared.remove(&host) => {}
            Step::Kill(host) => self.fleet.kill_host(&host),
            Step::Start(host) => self.start(&host),
            Step::Signal(host, signal) => {
                self.fleet.signal_host(&host, signal);
                match signal {
                    "STOP" => self.paused.insert(host),
                    _ => self.paused.remove(&host),
                };
            }
            Step::Terminate(host) => {
                self.fleet.begin_host_stop(&host);
                self.stopping.insert(host, Instant::now());
            }
            // It is replaced as soon as its planned stop has ended.
            Step::Replace(_) => {}
            Step::Link(one, other, faults) => self.fleet.set_link_faults(&one, &other, &faults),
            Step::Platform(faults) => self.fleet.set_platform_faults(&faults),
            Step::Upstream(name, faults) => {
                self.fleet.restart_exited_upstreams();
                self.fleet.set_upstream_faults(&name, &faults);
            }
            Step::KillUpstream(name) => self.fleet.kill_upstream(&name),
            Step::Race(number) => self.race(number),
            Step::Crash(host) => self.crash(&host),
        }
    }

    fn start(&mut self, host: &str) {
        self.numbers.remove(host);
        self.fleet.start_host(host);
    }

    fn replace(&mut self, host: &str) {
        let begun = self.stopping.remove(host).expect("stopped before");
        let left = DRAIN.saturating_sub(begun.elapsed());
        assert!(
            self.fleet.wait_for_exit(host, left),
            "{host} did not end well"
        );
        self.start(host);
    }

    /// Replace the hosts whose planned stop has ended or takes too long
    fn replace_ended(&mut self) {
        for (host, begun) in self.stopping.clone() {
            if self.fleet.has_host_exited(&host) || begun.elapsed() > DRAIN {
                self.replace(&host);
            }
        }
    }

    /// Two operators on the number that the platform has, if it answers
    fn race(&mut self, number: u64) {
        let target = format!("/objects/{OBJECT_NAME}");
        let Some(answer) = fleet::try_get(self.fleet.platform_address, &target) else {
            return;
        };
        let Ok(revision) = serde_json::from_slice::<Revision>(&answer.body) else {
            return;
        };
        for lifetime in [1 + number % 2, 3 + number % 2] {
            let patch = format!("lookup_lifetime: {lifetime}s");
            let mut command = self.fleet.patch_command(revision.number, &patch);
            let command: &mut Command = command.stdout(Stdio::piped()).stderr(Stdio::piped());
            self.operators.push(command.spawn().expect("pierctl runs"));
        }
    }

    fn crash(&mut self, host: &str) {
        let address = self.fleet.hosts[host].info.caller;
        let key = self.crashing.len();
        let target = format!("/s/licence-portal/item?key=crash-{key}&mark=crash-me");
        self.crashing.push(thread::spawn(move || {
            for _ in 0..CRASH_SENDS {
                let answer = fleet::try_get(address, &target);
                if answer.is_some_and(|answer| answer.status() == 429) {
                    return;
                }
            }
        }));
    }

    /// Look at what hosts have in force: it never falls while a process lives
    fn tick(&mut self) {
        thread::sleep(TICK);
        self.fleet.restart_exited_upstreams();
        self.replace_ended();
        for (name, number) in self.numbers_now() {
            let before = self.numbers.insert(name.clone(), number).unwrap_or(0);
            assert!(before <= number, "{name} went from {before} to {number}");
        }
    }

    fn numbers_now(&self) -> BTreeMap<String, u64> {
        let hosts = self.fleet.hosts.iter();
        let awake = hosts.filter(|(name, host)| {
            host.process.is_some()
                && !self.paused.contains(*name)
                && !self.stopping.contains_key(*name)
        });
        let numbers = awake.filter_map(|(name, host)| {
            let operator = host.info.operator?;
            let answer = fleet::try_get_within(operator, "/number", TICK)?;
            let number = String::from_utf8(answer.body).ok()?;
            Some((name.clone(), number.trim().parse().ok()?))
        });
        numbers.collect()
    }

    /// End all faults
    fn heal(&mut self) {
        for host in std::mem::take(&mut self.paused) {
            self.fleet.signal_host(&host, "CONT");
        }
        for host in self.stopping.keys().cloned().collect::<Vec<_>>() {
            self.replace(&host);
        }
        self.fleet.restart_exited_upstreams();
        let names: Vec<String> = self.fleet.hosts.keys().cloned().collect();
        for name in names {
            if self.fleet.hosts[&name].process.is_none() {
                self.start(&name);
            }
            self.fleet.wait_until_ready(&name);
        }
        for crashing in std::mem::take(&mut self.crashing) {
            crashing.join().expect("the caller ends");
        }
    }

    /// Each number is given once, and no accepted patch is missing
    fn settle_operators(&mut self) {
        let mut accepted = Vec::new();
        let end = Instant::now() + SETTLE;
        for mut operator in std::mem::take(&mut self.operators) {
            while operator.try_wait().expect("a child").is_none() {
                assert!(Instant::now() < end, "a patch stays unsettled");
                thread::sleep(TICK);
            }
            let output = operator.wait_with_output().expect("a child");
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            if let Some(number) = text.trim().strip_prefix("accepted as ") {
                accepted.push(number.parse::<u64>().expect("a number"));
            }
        }
        println!("accepted {accepted:?}");
        let distinct: BTreeSet<u64> = accepted.iter().copied().collect();
        assert_eq!(distinct.len(), accepted.len(), "{accepted:?}");
        let revision = self.revision();
        let recorded: BTreeSet<u64> = revision.audit.iter().map(|entry| entry.number).collect();
        assert!(distinct.is_subset(&recorded), "{distinct:?} {recorded:?}");
    }

    fn revision(&self) -> Revision {
        let target = format!("/objects/{OBJECT_NAME}");
        let answer = fleet::get(self.fleet.platform_address, &target);
        serde_json::from_slice(&answer.body).expect("a revision")
    }

    fn await_in_force(&mut self) {
        let newest = self.revision().number;
        let end = Instant::now() + IN_FORCE;
        loop {
            self.tick();
            let hosts = self.fleet.hosts.len();
            let there = self.numbers.values().filter(|n| **n == newest).count();
            if there == hosts {
                return;
            }
            let numbers = &self.numbers;
            assert!(Instant::now() < end, "not all at {newest}: {numbers:?}");
        }
    }

    /// After all faults the fleet serves each request
    fn serves_all_again(&mut self, seed: u64) {
        let plan = Plan {
            seed: seed ^ 1 << 63,
            duration: Duration::from_secs(3),
            at_most_once_ratio: 0.3,
            block_count: 3000,
            ..self.fleet.load_plan()
        };
        let report = smol::block_on(load::run(plan)).expect("records are read");
        println!("{}", serde_json::to_string(&report).expect("plain data"));
        assert!(report.has_no_violations(), "seed {seed}: {report:?}");
        assert_eq!(report.served, report.requests, "seed {seed}: {report:?}");
    }
}
