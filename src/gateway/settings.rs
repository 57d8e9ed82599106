//! Settings of an entry host on the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{HostId, RegionId, ZoneId};
use crate::retry::Bound;

/// Who this process is, where it listens, and the platform's bounds that it keeps
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host, unique in the fleet
    pub host: HostId,
    /// Availability zone of this host
    pub zone: ZoneId,
    /// Region of the zone
    pub region: RegionId,
    /// Regions of all zones
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// TCP address that callers use
    pub caller_address: SocketAddr,
    /// TCP address where the platform asks whether this host is ready
    pub readiness_address: SocketAddr,
    /// TCP address where a starting host may ask for what this one knows
    pub control_address: Option<SocketAddr>,
    /// TCP address where callers ask which hosts to use
    pub directory_address: Option<SocketAddr>,
    /// UDP address for other entry hosts
    pub peer_address: SocketAddr,
    /// Control addresses of some hosts, which may be stale
    pub seed_addresses: Vec<SocketAddr>,
    /// TCP address of the store
    pub store_address: SocketAddr,
    /// Requests that this host can carry, relative to others
    pub weight: f64,
    /// Memory that the process may use, in bytes
    pub memory_bytes: u64,
    /// Descriptors that the process may open
    pub max_descriptors: usize,
    /// Time between SIGTERM and the end of the process
    pub grace_period: Duration,
    /// Longest lifetime of a directory answer
    pub max_directory_ttl: Duration,
    /// Bound on second attempts of the whole fleet
    pub retry_bound: Bound,
}
