//! Which entry hosts are there, and which of them holds a duty.
//!
//! The platform's lagging list and direct heartbeats together make a [`View`]. The list adds hosts
//! and marks those that leave. In this host's zone heartbeats decide who is live; a host of another
//! zone counts as live while it is listed and can be reached. A duty falls to a live host of its
//! zone by rendezvous hashing.

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

/// Interval of heartbeats inside a zone
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a host of this zone counts as dead, and a pause after which a host gives up
/// what it held
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of heartbeats to hosts of other zones
pub const CROSS_ZONE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Hosts of other zones that one host sends heartbeats to
pub const CROSS_ZONE_PEERS: usize = 3;

/// Time for which a host of another zone is passed over after it could not be reached
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which a host of another zone is kept after it vanished from the list
pub const UNLISTED_TTL: Duration = Duration::from_secs(10);

/// Time for which the end of a host is remembered
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// Hosts of a zone that ask the platform
pub const WATCHERS_PER_ZONE: usize = 2;

/// What a host last was known to be
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Heard within the term, or listed as live and not yet expected to answer
    Live,
    /// Stopping; takes no new duties
    Leaving,
    /// Silent for longer than the term
    Dead,
    /// Newly listed in this zone and not yet heard
    Joining,
}

/// One entry of the platform's list of hosts
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host
    pub host: HostId,
    /// Its availability zone
    pub zone: ZoneId,
    /// Address for other entry hosts (UDP)
    pub peer: SocketAddr,
    /// Address for callers (TCP)
    pub caller: SocketAddr,
    /// Address of the operators' port (TCP), where the platform knows it
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// Whether it is about to stop
    #[serde(default)]
    pub leaving: bool,
}

/// What is known of one entry host
#[derive(Clone, Debug)]
pub struct Host {
    /// Entry of the platform's list, or the same as told by the host itself
    pub info: HostInfo,
    /// Live, leaving or dead
    pub state: State,
    /// Incarnation of its newest heartbeat
    pub incarnation: Incarnation,
    /// Configuration number of its newest heartbeat
    pub config_number: Version,
    /// When it was last heard
    pub last_heard: Option<Instant>,
    /// Number of the list of hosts that it knows
    pub list_hash: u64,
    /// Tickets that it took over
    pub taken_over: Vec<Issuer>,
    former: Vec<Incarnation>,
    since: Instant,
    missing: Option<Instant>,
    avoided: Option<Instant>,
    told_leaving: bool,
    stops_until: Option<Instant>,
}

/// Change of a view
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The host is live now
    Joined(HostId),
    /// The host fell silent without a word
    Died(HostId),
    /// The host stopped as planned or vanished from the list
    Left(HostId),
    /// Another process goes on under the name of the host
    Restarted(HostId),
    /// This process was paused for longer than the term; what it held is lost
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
            former: Vec::new(),
            since: now,
            missing: None,
            avoided: None,
            told_leaving: false,
            stops_until: None,
        }
    }

    /// Time since it was last heard or first listed
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heard.unwrap_or(self.since))
    }
}
