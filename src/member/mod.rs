//! Membership of entry hosts: which hosts exist, which are live and which one owns a duty.
//!
//! A [`View`] combines the platform's list of hosts, which lags behind, with direct heartbeats. The
//! list adds hosts and marks those that leave. Heartbeats decide which hosts of this host's zone are
//! live; a host of another zone counts as live while it is listed and reachable. Rendezvous hashing
//! assigns each duty of a zone to one of its live hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, Version, ZoneId};
use crate::wire::Issuer;

mod agent;
mod duty;
#[cfg(test)]
mod tests;
mod view;

pub use agent::{Agent, Getter, Handler, Hooks, MAX_QUARANTINED, MAX_TAKEN_OVER};
pub use view::View;

/// Interval between heartbeats within a zone
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a host of this zone may be silent before it counts as dead
///
/// A process that was paused for longer gives up the slots and tickets that it owned.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between heartbeats to hosts of other zones
pub const CROSS_ZONE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts of other zones that each host sends heartbeats to
pub const CROSS_ZONE_PEERS: usize = 3;

/// How long a host of another zone counts as dead after it could not be reached
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(3);

/// How long a host of another zone is kept after it was removed from the list
pub const UNLISTED_TTL: Duration = Duration::from_secs(10);

/// How long a stopped or dead host is remembered
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// Number of hosts in a zone that poll the platform
pub const WATCHERS_PER_ZONE: usize = 2;

/// Last known state of a host
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Heartbeats arrive within the timeout, or the host is listed and none is due yet
    Live,
    /// Stopping; accepts no new duties
    Leaving,
    /// No heartbeat within the timeout, or unreachable from another zone
    Dead,
    /// Newly listed in this zone; no heartbeat received yet
    Joining,
}

/// Entry of the platform's list of hosts
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host
    pub host: HostId,
    /// Availability zone of the host
    pub zone: ZoneId,
    /// Address for other entry hosts (UDP)
    pub peer: SocketAddr,
    /// Address for callers (TCP)
    pub caller: SocketAddr,
    /// Address of the operators' port (TCP), if the platform lists one
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// Whether the host is about to stop
    #[serde(default)]
    pub leaving: bool,
}

/// State that a [`View`] keeps of one entry host
#[derive(Clone, Debug)]
pub struct Host {
    /// Entry from the platform's list or from the host's own heartbeat
    pub info: HostInfo,
    /// Last known state
    pub state: State,
    /// Incarnation in the newest heartbeat
    pub incarnation: Incarnation,
    /// Configuration number in the newest heartbeat
    pub config_number: Version,
    /// When the last heartbeat or acknowledgement arrived
    pub last_heard: Option<Instant>,
    /// Hash of the host's own list of hosts
    pub list_hash: u64,
    /// Issuers whose tickets the host took over
    pub taken_over: Vec<Issuer>,
    past_incarnations: Vec<Incarnation>,
    tracked_since: Instant,
    unlisted_since: Option<Instant>,
    unreachable_since: Option<Instant>,
    reported_leaving: bool,
    leaving_until: Option<Instant>,
}

/// Change to a view
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The host is now live
    Joined(HostId),
    /// The host became silent or unreachable without announcing a stop
    Died(HostId),
    /// The host stopped as planned or was removed from the list
    Left(HostId),
    /// A new process runs under the host's name
    Restarted(HostId),
    /// This process was paused beyond the timeout and lost its slots and tickets
    Woke,
}

impl Host {
    fn new(now: Instant, info: HostInfo, state: State) -> Self {
        Self {
            info,
            state,
            incarnation: 0,
            config_number: 0,
            last_heard: None,
            list_hash: 0,
            taken_over: Vec::new(),
            past_incarnations: Vec::new(),
            tracked_since: now,
            unlisted_since: None,
            unreachable_since: None,
            reported_leaving: false,
            leaving_until: None,
        }
    }

    /// Returns the time since the last heartbeat, or since the host was first listed
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heard.unwrap_or(self.tracked_since))
    }
}
