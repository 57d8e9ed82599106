//! Status report of an entry host for operators; ages are in milliseconds.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::Shares;
use crate::id::{EndpointId, HostId, Incarnation, RegionId, ServiceId, Version, ZoneId};
use crate::member::State;
use crate::object::{Client, Kind, Total};

/// Status of an entry host
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host
    pub host: HostId,
    /// Availability zone of the host
    pub zone: ZoneId,
    /// Random number that identifies the process
    pub incarnation: Incarnation,
    /// Time since the process started
    pub age_ms: u64,
    /// Number of the configuration in force; 0 without one
    #[serde(rename = "number")]
    pub config_number: Version,
    /// Time since that configuration took effect
    #[serde(rename = "number_age_ms")]
    pub config_age_ms: u64,
    /// Time since the last response of the platform; `None` if there was none
    pub platform_age_ms: Option<u64>,
    /// Whether a planned stop is in progress
    pub stopping: bool,
    /// Number of requests in flight
    #[serde(rename = "running")]
    pub in_flight: u64,
    /// Number of attempts sent to upstreams and other hosts
    pub attempts: u64,
    /// Calls to the platform by kind
    pub platform: Vec<Call>,
    /// Entry hosts in the membership of this host
    pub hosts: Vec<Host>,
    /// Services that this host steers
    pub services: Vec<Service>,
}

/// Calls to the platform of one kind
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Kind of the call
    pub kind: Kind,
    /// Number of calls
    pub total: Total,
}

/// Entry host as seen by the reporting host
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host
    pub host: HostId,
    /// Availability zone of the host
    pub zone: ZoneId,
    /// Membership state: live, leaving or dead
    pub state: State,
    /// Configuration number in its latest heartbeat
    #[serde(rename = "number")]
    pub config_number: Version,
    /// Age of that heartbeat; `None` if the host is only in the platform's list
    #[serde(rename = "heard_ms")]
    pub heartbeat_age_ms: Option<u64>,
}

/// Status of a service at the reporting host
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service
    pub service: ServiceId,
    /// Shares in force for traffic that enters at this host
    pub shares: Shares,
    /// Configured shares
    pub target: Shares,
    /// Planned shift in progress, if the two differ
    pub shift: Option<Shift>,
    /// Host that owns the service's slots in this zone
    pub owner: Option<HostId>,
    /// Number of requests that wait for a slot at this host
    pub waiting: u64,
    /// Endpoints of the service; empty unless this host owns their slots
    pub endpoints: Vec<Endpoint>,
}

/// Planned shift in progress
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shift {
    /// Time since the shift was accepted
    pub age_ms: u64,
    /// Shortest time to the end of the shift that the cap allows
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}

/// Slots of one endpoint
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint
    pub endpoint: EndpointId,
    /// Region of the endpoint's zone
    pub region: RegionId,
    /// Number of slots in use by requests of this system
    pub used: u32,
    /// Number of slots available to new requests
    pub free: u32,
    /// Number of configured slots
    pub slots: u32,
    /// `ready`, or the reason for which the endpoint receives no new requests
    pub state: CompactString,
    /// Age of the latest load report; `None` without one
    #[serde(rename = "report_ms")]
    pub report_age_ms: Option<u64>,
}

/// Returns the number of calls of a client, by kind
pub fn calls(client: &Client) -> Vec<Call> {
    let call = |kind| Call {
        kind,
        total: client.counters().total(kind),
    };
    Kind::ALL.into_iter().map(call).collect()
}
