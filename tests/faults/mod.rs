//! Generates a random schedule of faults from a seed; the same seed gives the same schedule.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde_json::{Value, json};

/// Range of the time between the starts of two faults
const START_INTERVAL_MILLIS: std::ops::Range<u64> = 300..1800;

/// Range of the duration of a fault
const FAULT_DURATION_MILLIS: std::ops::Range<u64> = 500..4000;

/// Number of entries in the shuffled deck of faults; each is drawn once before any is drawn again
const DECK_SIZE: u32 = 15;

/// A change to the fleet
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Kills an entry host
    Kill(String),
    /// Starts an entry host
    Start(String),
    /// Sends a signal to an entry host
    Signal(String, &'static str),
    /// Begins a planned stop of an entry host
    Terminate(String),
    /// Starts an entry host after its planned stop has ended
    Replace(String),
    /// Changes the faults of the links between two zones, or between a zone and the platform
    Link(String, String, Value),
    /// Changes the faults of the platform
    Platform(Value),
    /// Changes the faults of an upstream
    Upstream(String, Value),
    /// Kills an upstream
    KillUpstream(String),
    /// Submits two concurrent patches on the same configuration number
    Race(u64),
    /// Sends a request repeatedly that crashes every upstream that executes it
    Crash(String),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(host) => write!(f, "kill {host}"),
            Self::Start(host) => write!(f, "start {host}"),
            Self::Signal(host, signal) => write!(f, "{signal} {host}"),
            Self::Terminate(host) => write!(f, "planned stop of {host}"),
            Self::Replace(host) => write!(f, "replace {host}"),
            Self::Link(one, other, faults) => write!(f, "link {one} {other} {faults}"),
            Self::Platform(faults) => write!(f, "platform {faults}"),
            Self::Upstream(name, faults) => write!(f, "upstream {name} {faults}"),
            Self::KillUpstream(name) => write!(f, "kill upstream {name}"),
            Self::Race(number) => write!(f, "operators race, {number}"),
            Self::Crash(host) => write!(f, "crash request to {host}"),
        }
    }
}

/// Targets of the generated faults
pub struct Targets {
    /// Names of zones
    pub zones: Vec<String>,
    /// Names of entry hosts
    pub hosts: Vec<String>,
    /// Names of upstreams
    pub upstreams: Vec<String>,
}

/// Returns the steps of all faults in order of time; every fault ends before `duration` is over
pub fn schedule(seed: u64, duration: Duration, targets: &Targets) -> Vec<(Duration, Step)> {
    let mut generator = Generator {
        random: fastrand::Rng::with_seed(seed),
        deck: Vec::new(),
        busy_until: BTreeMap::new(),
        steps: Vec::new(),
    };
    let duration_millis = duration.as_millis() as u64;
    let mut start = generator.random.u64(START_INTERVAL_MILLIS);
    while start + FAULT_DURATION_MILLIS.end < duration_millis {
        let end = start + generator.random.u64(FAULT_DURATION_MILLIS);
        generator.add_fault(start, end, targets);
        start += generator.random.u64(START_INTERVAL_MILLIS);
    }
    generator.steps.sort_by_key(|(time, _)| *time);
    generator.steps
}

struct Generator {
    random: fastrand::Rng,
    deck: Vec<u32>,
    busy_until: BTreeMap<String, u64>,
    steps: Vec<(Duration, Step)>,
}

impl Generator {
    fn add_fault(&mut self, start: u64, end: u64, targets: &Targets) {
        if self.deck.is_empty() {
            self.deck.extend(0..DECK_SIZE);
            self.random.shuffle(&mut self.deck);
        }
        match self.deck.pop().expect("the deck is not empty") {
            0 | 1 => self.add_host_fault(start, end, targets, Step::Kill, Step::Start),
            2 | 3 => {
                let pause = |host| Step::Signal(host, "STOP");
                let resume = |host| Step::Signal(host, "CONT");
                self.add_host_fault(start, end, targets, pause, resume);
            }
            4 | 5 => self.add_host_fault(start, end, targets, Step::Terminate, Step::Replace),
            6 => self.add_partition(start, end, targets),
            7 => self.add_poor_link(start, end, targets),
            8 | 9 => self.add_platform_fault(start, end),
            10 => self.add_upstream_fault(start, end, targets),
            11 => {
                let name = self.pick(&targets.upstreams);
                self.push(start, Step::KillUpstream(name));
            }
            12 | 13 => self.push(start, Step::Race(start)),
            _ => {
                let host = self.pick(&targets.hosts);
                self.push(start, Step::Crash(host));
            }
        }
    }

    fn add_host_fault(
        &mut self,
        start: u64,
        end: u64,
        targets: &Targets,
        begin_step: fn(String) -> Step,
        end_step: fn(String) -> Step,
    ) {
        let host = self.pick(&targets.hosts);
        if !self.reserve(&host, start, end) {
            return;
        }
        self.push(start, begin_step(host.clone()));
        self.push(end, end_step(host));
    }

    /// Partitions a zone from the other zones, the platform, or both
    fn add_partition(&mut self, start: u64, end: u64, targets: &Targets) {
        let zone = self.pick(&targets.zones);
        let others = targets.zones.iter().filter(|other| **other != zone);
        let platform = "platform".to_owned();
        let mut partitioned_from: Vec<String> = others.cloned().collect();
        match self.random.u32(0..3) {
            0 => partitioned_from.push(platform),
            1 => partitioned_from = vec![platform],
            _ => {}
        }
        for other in partitioned_from {
            let mut pair = [zone.clone(), other];
            pair.sort();
            let [one, other] = pair;
            if !self.reserve(&format!("{one}|{other}"), start, end) {
                continue;
            }
            let link_faults = |is_cut: bool| json!({ "cut": is_cut });
            self.push(
                start,
                Step::Link(one.clone(), other.clone(), link_faults(true)),
            );
            self.push(end, Step::Link(one, other, link_faults(false)));
        }
    }

    fn add_poor_link(&mut self, start: u64, end: u64, targets: &Targets) {
        let one = self.pick(&targets.zones);
        let other = self.pick(&targets.zones);
        if one == other || !self.reserve(&format!("poor {one} {other}"), start, end) {
            return;
        }
        let poor_quality =
            json!({"loss": self.random.f64() * 0.2, "delay_ms": self.random.u64(1..50)});
        let no_faults = json!({"loss": 0.0, "delay_ms": 0});
        self.push(start, Step::Link(one.clone(), other.clone(), poor_quality));
        self.push(end, Step::Link(one, other, no_faults));
    }

    fn add_platform_fault(&mut self, start: u64, end: u64) {
        let (begin_faults, end_faults) = match self.random.u32(0..7) {
            0 => (json!({"outage": "close"}), json!({"outage": "none"})),
            1 => (json!({"outage": "hang"}), json!({"outage": "none"})),
            2 => (json!({"outage": "error"}), json!({"outage": "none"})),
            3 => (json!({"delay_ms": 800}), json!({"delay_ms": 0})),
            4 => (json!({"lose_answers": 0.7}), json!({"lose_answers": 0.0})),
            5 => (json!({"old_reads": 0.7}), json!({"old_reads": 0.0})),
            _ => (json!({"hosts_lag_ms": 5000}), json!({"hosts_lag_ms": 0})),
        };
        if !self.reserve("platform", start, end) {
            return;
        }
        self.push(start, Step::Platform(begin_faults));
        self.push(end, Step::Platform(end_faults));
    }

    fn add_upstream_fault(&mut self, start: u64, end: u64, targets: &Targets) {
        let name = self.pick(&targets.upstreams);
        if !self.reserve(&name, start, end) {
            return;
        }
        let (begin_faults, end_faults) = match self.random.u32(0..7) {
            0 => (json!({"shed": 0.5}), json!({"shed": 0.0})),
            1 => (json!({"service_ms": 60}), json!({"service_ms": null})),
            2 => (json!({"leaving": "tell"}), json!({"leaving": "no"})),
            3 => (json!({"leaving": "refuse"}), json!({"leaving": "no"})),
            4 => (json!({"load": "0/3"}), json!({"load": null})),
            5 => (json!({"truncate": 0.2}), json!({"truncate": 0.0})),
            _ => (
                json!({"crossed": 0.2, "surplus": 0.2}),
                json!({"crossed": 0.0, "surplus": 0.0}),
            ),
        };
        self.push(start, Step::Upstream(name.clone(), begin_faults));
        self.push(end, Step::Upstream(name, end_faults));
    }

    fn pick(&mut self, names: &[String]) -> String {
        names[self.random.usize(0..names.len())].clone()
    }

    /// Reserves a target for a fault; returns `false` while another fault has reserved it
    fn reserve(&mut self, target: &str, start: u64, end: u64) -> bool {
        if self
            .busy_until
            .get(target)
            .is_some_and(|busy_until| *busy_until >= start)
        {
            return false;
        }
        self.busy_until.insert(target.to_owned(), end);
        true
    }

    fn push(&mut self, time_millis: u64, step: Step) {
        self.steps.push((Duration::from_millis(time_millis), step));
    }
}
