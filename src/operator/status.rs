//! State of an entry host as operators see it; ages are in milliseconds.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::Shares;
use crate::id::{EndpointId, HostId, Incarnation, RegionId, ServiceId, Version, ZoneId};
use crate::member::State;
use crate::object::{Client, Kind, Total};

/// State of one entry host
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host
    pub host: HostId,
    /// Its availability zone
    pub zone: ZoneId,
    /// Random number of its process
    pub incarnation: Incarnation,
    /// Time since the process started
    pub age_ms: u64,
    /// Number of the configuration in force, 0 without one
    pub number: Version,
    /// Time since that number was put in force
    pub number_age_ms: u64,
    /// Time since the platform answered last; `None` if it never did
    pub platform_age_ms: Option<u64>,
    /// Whether a planned stop has begun
    pub stopping: bool,
    /// Requests in progress
    pub running: u64,
    /// Attempts sent to upstreams and other hosts
    pub attempts: u64,
    /// Calls to the platform by kind
    pub platform: Vec<Call>,
    /// Entry hosts that this one knows
    pub hosts: Vec<Host>,
    /// Services that are steered here
    pub services: Vec<Service>,
}

/// Calls to the platform of one kind
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Kind of the call
    pub kind: Kind,
    /// How many
    pub total: Total,
}

/// What the host knows of an entry host
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name
    pub host: HostId,
    /// Its availability zone
    pub zone: ZoneId,
    /// Live, leaving or dead
    pub state: State,
    /// Configuration number of its newest heartbeat
    pub number: Version,
    /// Age of that heartbeat; `None` if it is only known from the platform's list
    pub heard_ms: Option<u64>,
}

/// One service as steered by the host
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name
    pub service: ServiceId,
    /// Shares in force now for traffic that enters here
    pub shares: Shares,
    /// Shares that the configuration asks for
    pub target: Shares,
    /// Shift under way, if the two differ
    pub shift: Option<Shift>,
    /// Host that owns the service's slots in this zone
    pub owner: Option<HostId>,
    /// Requests that wait for a slot here
    pub waiting: u64,
    /// Endpoints whose slots this host owns, empty if another host does
    pub endpoints: Vec<Endpoint>,
}

/// A planned shift under way
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shift {
    /// Time since it was accepted
    pub age_ms: u64,
    /// Shortest time that the cap leaves it
    pub left_ms: u64,
}

/// Slots of one endpoint
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name
    pub endpoint: EndpointId,
    /// Region of its zone
    pub region: RegionId,
    /// Slots in use by requests of this system
    pub used: u32,
    /// Slots that may be taken now
    pub free: u32,
    /// Slots configured
    pub slots: u32,
    /// `ready`, or why it gets no new work
    pub state: CompactString,
    /// Age of its newest load report; `None` without one
    pub report_ms: Option<u64>,
}

/// Calls of a client so far, by kind
pub fn calls(client: &Client) -> Vec<Call> {
    let call = |kind| Call {
        kind,
        total: client.counters().total(kind),
    };
    Kind::ALL.into_iter().map(call).collect()
}
