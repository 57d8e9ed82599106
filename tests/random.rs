//! Fault-injection test that runs a random schedule against real processes and checks invariants
//! from the upstreams' request records.
//!
//! `PIER_SEED` sets the seed and `PIER_SECONDS` the duration. The schedule is printed; the same
//! seed and duration give the same schedule.

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

/// Seed that is used if `PIER_SEED` is unset
const DEFAULT_SEED: u64 = 7;

/// Duration that is used if `PIER_SECONDS` is unset
const DEFAULT_DURATION_SECS: u64 = 30;

/// Interval at which the fleet is polled
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time until an accepted configuration is in force on all hosts
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(16);

/// Longest time that a graceful stop may take
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time that `pierctl` may take to report the outcome of a patch
const PATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of times that a client sends a crash request
const MAX_CRASH_REQUESTS: usize = 4;

#[test]
fn invariants_hold_under_random_faults() {
    let seed = env_or("PIER_SEED", DEFAULT_SEED);
    let duration = Duration::from_secs(env_or("PIER_SECONDS", DEFAULT_DURATION_SECS));
    let services = [Service::portal(1), Service::packs(1)];
    let mut run = Run::new(Fleet::new(Layout::new(
        &["bne", "tsv", "cns"],
        2,
        &services,
    )));
    let steps = schedule(seed, duration, &run.targets());
    println!(
        "seed {seed}, {} s, {} steps",
        duration.as_secs(),
        steps.len()
    );
    for (offset, step) in &steps {
        println!("{:8.3} s {step}", offset.as_secs_f64());
    }
    let plan = Plan {
        seed,
        rate: 100.0,
        duration,
        at_most_once_ratio: 0.3,
        block_count: 3000,
        ..run.fleet.load_plan()
    };
    let load =
        thread::spawn(|| smol::block_on(load::run(plan)).expect("upstream records are readable"));
    run.inject_faults(steps);
    run.end_faults();
    while !load.is_finished() {
        run.poll();
    }
    let report = load.join().expect("the load thread does not panic");
    println!(
        "{}",
        serde_json::to_string(&report).expect("the report serializes to JSON")
    );
    run.check_patches();
    run.wait_until_in_force();
    assert!(report.has_no_violations(), "seed {seed}: {report:?}");
    assert_eq!(report.idempotent_given_up, 0, "seed {seed}: {report:?}");
    run.assert_recovered(seed);
}

fn env_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse().expect("the variable is an integer")
    })
}

/// State of the fleet during fault injection
struct Run {
    fleet: Fleet,
    started_at: Instant,
    paused_hosts: BTreeSet<String>,
    /// Start time of each graceful stop
    stopping_hosts: BTreeMap<String, Instant>,
    /// Hosts whose scheduled fault was skipped because they were stopping
    skipped_hosts: BTreeSet<String>,
    /// Last number of the configuration in force on each host
    numbers_in_force: BTreeMap<String, u64>,
    patch_processes: Vec<Child>,
    crash_clients: Vec<thread::JoinHandle<()>>,
}

impl Run {
    fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            started_at: Instant::now(),
            paused_hosts: BTreeSet::new(),
            stopping_hosts: BTreeMap::new(),
            skipped_hosts: BTreeSet::new(),
            numbers_in_force: BTreeMap::new(),
            patch_processes: Vec::new(),
            crash_clients: Vec::new(),
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

    fn inject_faults(&mut self, steps: Vec<(Duration, Step)>) {
        self.started_at = Instant::now();
        for (offset, step) in steps {
            while self.started_at.elapsed() < offset {
                self.poll();
            }
            self.apply(step);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Kill(host) | Step::Signal(host, "STOP") | Step::Terminate(host)
                if self.stopping_hosts.contains_key(&host) =>
            {
                println!("{host} is still stopping");
                self.skipped_hosts.insert(host);
            }
            Step::Start(host) | Step::Signal(host, _) | Step::Replace(host)
                if self.skipped_hosts.remove(&host) => {}
            Step::Kill(host) => self.fleet.kill_host(&host),
            Step::Start(host) => self.start_host(&host),
            Step::Signal(host, signal) => {
                self.fleet.signal_host(&host, signal);
                match signal {
                    "STOP" => self.paused_hosts.insert(host),
                    _ => self.paused_hosts.remove(&host),
                };
            }
            Step::Terminate(host) => {
                self.fleet.begin_host_stop(&host);
                self.stopping_hosts.insert(host, Instant::now());
            }
            // `replace_stopped_hosts` replaces the host when its graceful stop has ended.
            Step::Replace(_) => {}
            Step::Link(one, other, faults) => self.fleet.set_link_faults(&one, &other, &faults),
            Step::Platform(faults) => self.fleet.set_platform_faults(&faults),
            Step::Upstream(name, faults) => {
                self.fleet.restart_exited_upstreams();
                self.fleet.set_upstream_faults(&name, &faults);
            }
            Step::KillUpstream(name) => self.fleet.kill_upstream(&name),
            Step::Race(number) => self.start_competing_patches(number),
            Step::Crash(host) => self.send_crash_requests(&host),
        }
    }

    fn start_host(&mut self, host: &str) {
        self.numbers_in_force.remove(host);
        self.fleet.start_host(host);
    }

    fn replace_host(&mut self, host: &str) {
        let stop_started_at = self
            .stopping_hosts
            .remove(host)
            .expect("the host is stopping");
        let remaining = DRAIN_TIMEOUT.saturating_sub(stop_started_at.elapsed());
        assert!(
            self.fleet.wait_for_exit(host, remaining),
            "{host} did not exit successfully within {DRAIN_TIMEOUT:?}"
        );
        self.start_host(host);
    }

    /// Replaces the hosts whose graceful stop has ended or exceeds the timeout
    fn replace_stopped_hosts(&mut self) {
        for (host, stop_started_at) in self.stopping_hosts.clone() {
            if self.fleet.has_host_exited(&host) || stop_started_at.elapsed() > DRAIN_TIMEOUT {
                self.replace_host(&host);
            }
        }
    }

    /// Starts two patches based on the same revision, unless the platform does not respond
    fn start_competing_patches(&mut self, number: u64) {
        let target = format!("/objects/{OBJECT_NAME}");
        let Some(response) = fleet::try_get(self.fleet.platform_address, &target) else {
            return;
        };
        let Ok(revision) = serde_json::from_slice::<Revision>(&response.body) else {
            return;
        };
        for lifetime in [1 + number % 2, 3 + number % 2] {
            let patch = format!("lookup_lifetime: {lifetime}s");
            let mut command = self.fleet.patch_command(revision.number, &patch);
            let command: &mut Command = command.stdout(Stdio::piped()).stderr(Stdio::piped());
            self.patch_processes
                .push(command.spawn().expect("pierctl starts"));
        }
    }

    fn send_crash_requests(&mut self, host: &str) {
        let address = self.fleet.hosts[host].info.caller;
        let client_index = self.crash_clients.len();
        let target = format!("/s/licence-portal/item?key=crash-{client_index}&mark=crash-me");
        self.crash_clients.push(thread::spawn(move || {
            for _ in 0..MAX_CRASH_REQUESTS {
                let response = fleet::try_get(address, &target);
                if response.is_some_and(|response| response.status() == 429) {
                    return;
                }
            }
        }));
    }

    /// Checks that the configuration number in force never decreases while a process runs
    fn poll(&mut self) {
        thread::sleep(POLL_INTERVAL);
        self.fleet.restart_exited_upstreams();
        self.replace_stopped_hosts();
        for (name, number) in self.read_numbers_in_force() {
            let previous = self
                .numbers_in_force
                .insert(name.clone(), number)
                .unwrap_or(0);
            assert!(
                previous <= number,
                "{name} went from {previous} to {number}"
            );
        }
    }

    fn read_numbers_in_force(&self) -> BTreeMap<String, u64> {
        let hosts = self.fleet.hosts.iter();
        let reachable = hosts.filter(|(name, host)| {
            host.process.is_some()
                && !self.paused_hosts.contains(*name)
                && !self.stopping_hosts.contains_key(*name)
        });
        let numbers = reachable.filter_map(|(name, host)| {
            let operator_address = host.info.operator?;
            let response = fleet::try_get_within(operator_address, "/number", POLL_INTERVAL)?;
            let number = String::from_utf8(response.body).ok()?;
            Some((name.clone(), number.trim().parse().ok()?))
        });
        numbers.collect()
    }

    /// Ends all faults and waits until every host is ready
    fn end_faults(&mut self) {
        for host in std::mem::take(&mut self.paused_hosts) {
            self.fleet.signal_host(&host, "CONT");
        }
        for host in self.stopping_hosts.keys().cloned().collect::<Vec<_>>() {
            self.replace_host(&host);
        }
        self.fleet.restart_exited_upstreams();
        let names: Vec<String> = self.fleet.hosts.keys().cloned().collect();
        for name in names {
            if self.fleet.hosts[&name].process.is_none() {
                self.start_host(&name);
            }
            self.fleet.wait_until_ready(&name);
        }
        for client in std::mem::take(&mut self.crash_clients) {
            client.join().expect("the crash client does not panic");
        }
    }

    /// Checks that each accepted patch has a unique number and is in the audit records
    fn check_patches(&mut self) {
        let mut accepted = Vec::new();
        let deadline = Instant::now() + PATCH_TIMEOUT;
        for mut process in std::mem::take(&mut self.patch_processes) {
            while process
                .try_wait()
                .expect("the process state is readable")
                .is_none()
            {
                assert!(
                    Instant::now() < deadline,
                    "pierctl did not finish within {PATCH_TIMEOUT:?}"
                );
                thread::sleep(POLL_INTERVAL);
            }
            let output = process.wait_with_output().expect("the output is readable");
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            if let Some(number) = text.trim().strip_prefix("accepted as ") {
                accepted.push(number.parse::<u64>().expect("pierctl prints an integer"));
            }
        }
        println!("accepted {accepted:?}");
        let distinct: BTreeSet<u64> = accepted.iter().copied().collect();
        assert_eq!(distinct.len(), accepted.len(), "{accepted:?}");
        let revision = self.fetch_revision();
        let recorded: BTreeSet<u64> = revision.audit.iter().map(|entry| entry.number).collect();
        assert!(distinct.is_subset(&recorded), "{distinct:?} {recorded:?}");
    }

    fn fetch_revision(&self) -> Revision {
        let target = format!("/objects/{OBJECT_NAME}");
        let response = fleet::get(self.fleet.platform_address, &target);
        serde_json::from_slice(&response.body).expect("the platform returns a revision")
    }

    fn wait_until_in_force(&mut self) {
        let newest = self.fetch_revision().number;
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            self.poll();
            let host_count = self.fleet.hosts.len();
            let updated_count = self
                .numbers_in_force
                .values()
                .filter(|number| **number == newest)
                .count();
            if updated_count == host_count {
                return;
            }
            let numbers = &self.numbers_in_force;
            assert!(
                Instant::now() < deadline,
                "not all hosts have {newest} in force: {numbers:?}"
            );
        }
    }

    /// Checks that the fleet serves every request after all faults have ended
    fn assert_recovered(&mut self, seed: u64) {
        let plan = Plan {
            seed: seed ^ 1 << 63,
            duration: Duration::from_secs(3),
            at_most_once_ratio: 0.3,
            block_count: 3000,
            ..self.fleet.load_plan()
        };
        let report = smol::block_on(load::run(plan)).expect("upstream records are readable");
        println!(
            "{}",
            serde_json::to_string(&report).expect("the report serializes to JSON")
        );
        assert!(report.has_no_violations(), "seed {seed}: {report:?}");
        assert_eq!(report.served, report.requests, "seed {seed}: {report:?}");
    }
}
