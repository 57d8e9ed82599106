//! Polling of entry hosts until a configuration is in force.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol::Timer;

use super::fleet::{Port, get_all};
use crate::error::Error;
use crate::id::{HostId, Version, ZoneId};

/// Delay between the first two polling rounds
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(10);

/// Maximum delay between two polling rounds
const MAX_POLL_DELAY: Duration = Duration::from_millis(250);

/// Number of consecutive rounds without a response after which a host counts as unreachable
const MAX_UNANSWERED_ROUNDS: u32 = 6;

/// Progress of a configuration on the entry hosts
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// Duration of the wait, in milliseconds
    pub millis: u64,
    /// Hosts by zone
    pub zones: BTreeMap<ZoneId, ZoneHosts>,
}

/// Hosts of one zone by the configuration that they reported
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneHosts {
    /// Hosts that reported the expected number or a higher one
    pub in_force: Vec<HostId>,
    /// Hosts that reported a lower number
    pub behind: Vec<HostId>,
    /// Hosts that did not respond
    pub unreached: Vec<HostId>,
}

/// Polling state of all hosts
#[derive(Debug)]
pub struct Poll {
    number: Version,
    hosts: Vec<(Port, HostState)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    InForce,
    Behind,
    /// Number of consecutive rounds without a response
    Unanswered(u32),
}

impl Poll {
    /// Creates the state before the first round
    pub fn new(number: Version, ports: Vec<Port>) -> Self {
        let hosts = ports
            .into_iter()
            .map(|port| (port, HostState::Unanswered(0)));
        Self {
            number,
            hosts: hosts.collect(),
        }
    }

    /// Returns the ports to poll in the next round
    ///
    /// Empty once every host has the configuration or counts as unreachable. As long as any other
    /// host remains, unreachable hosts are polled too.
    pub fn pending(&self) -> Vec<Port> {
        let is_open = |state: &HostState| match state {
            HostState::InForce => false,
            HostState::Behind => true,
            HostState::Unanswered(rounds) => *rounds < MAX_UNANSWERED_ROUNDS,
        };
        if !self.hosts.iter().any(|(_, state)| is_open(state)) {
            return Vec::new();
        }
        let polled = self
            .hosts
            .iter()
            .filter(|(_, state)| *state != HostState::InForce);
        polled.map(|(port, _)| port.clone()).collect()
    }

    /// Records the number that a host reported, or `None` if it did not respond
    pub fn record_response(&mut self, port: &Port, number: Option<Version>) {
        for (polled, state) in &mut self.hosts {
            if polled != port {
                continue;
            }
            *state = match (number, *state) {
                (Some(number), _) if number >= self.number => HostState::InForce,
                (Some(_), _) => HostState::Behind,
                (None, HostState::Unanswered(rounds)) => HostState::Unanswered(rounds + 1),
                (None, _) => HostState::Unanswered(1),
            };
        }
    }

    /// Returns the progress after `millis` milliseconds
    pub fn rollout(&self, millis: u64) -> Rollout {
        let mut zones: BTreeMap<ZoneId, ZoneHosts> = BTreeMap::new();
        for (port, state) in &self.hosts {
            let hosts = zones.entry(port.zone.clone()).or_default();
            let list = match state {
                HostState::InForce => &mut hosts.in_force,
                HostState::Behind => &mut hosts.behind,
                HostState::Unanswered(_) => &mut hosts.unreached,
            };
            list.push(port.host.clone());
        }
        Rollout { millis, zones }
    }
}

/// Polls the hosts until the number is in force on all reachable ones, or until `timeout`
pub async fn wait(ports: Vec<Port>, number: Version, timeout: Duration) -> Rollout {
    let started = Instant::now();
    let mut poll = Poll::new(number, ports);
    let mut delay = INITIAL_POLL_DELAY;
    loop {
        let pending = poll.pending();
        let results = get_all::<Version>(&pending, "/number").await;
        for (port, result) in pending.iter().zip(results) {
            poll.record_response(port, result.ok());
        }
        let elapsed = started.elapsed();
        if poll.pending().is_empty() || elapsed >= timeout {
            return poll.rollout(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
        }
        Timer::after(delay).await;
        delay = (delay * 2).min(MAX_POLL_DELAY);
    }
}

impl Rollout {
    /// Returns a summary with one line for each zone
    pub fn summary(&self) -> String {
        let mut text = format!("after {} ms:\n", self.millis);
        for (zone, hosts) in &self.zones {
            let ZoneHosts {
                in_force,
                behind,
                unreached,
            } = hosts;
            text += &format!("  zone {zone}: in force on {}", in_force.len());
            for (label, names) in [("behind", behind), ("not reached", unreached)] {
                if !names.is_empty() {
                    text += &format!(", {label}: {}", names.join(" "));
                }
            }
            text += "\n";
        }
        text
    }

    /// Returns an error that lists the zones with hosts that are behind or unreached
    pub fn check(&self, number: Version) -> Result<(), Error> {
        let incomplete = self
            .zones
            .iter()
            .filter(|(_, hosts)| !hosts.behind.is_empty() || !hosts.unreached.is_empty());
        let incomplete: Vec<&str> = incomplete.map(|(zone, _)| zone.as_str()).collect();
        if incomplete.is_empty() {
            return Ok(());
        }
        Err(Error::Partial(format!(
            "accepted as {number}, but not confirmed to be in force on all hosts of {}; \
             see pierctl status",
            incomplete.join(" ")
        )))
    }
}
