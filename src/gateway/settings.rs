//! Settings of an entry host on the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{HostId, RegionId, ZoneId};
use crate::retry::Bound;

/// Identity and listen addresses of this process, and the platform's limits for it
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host, unique in the fleet
    pub host: HostId,
    /// Availability zone of this host
    pub zone: ZoneId,
    /// Region of that zone
    pub region: RegionId,
    /// Regions of all zones
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// TCP address for callers
    pub caller_address: SocketAddr,
    /// TCP address for the platform's readiness checks
    pub readiness_address: SocketAddr,
    /// TCP address from which other hosts read the mirror of the store
    pub control_address: Option<SocketAddr>,
    /// TCP address of the directory, where callers look up hosts
    pub directory_address: Option<SocketAddr>,
    /// UDP address for other entry hosts
    pub peer_address: SocketAddr,
    /// Control addresses of some other hosts; may be stale
    pub seed_addresses: Vec<SocketAddr>,
    /// TCP address of the store
    pub store_address: SocketAddr,
    /// Capacity for requests, relative to other hosts
    pub weight: f64,
    /// Memory limit of the process, in bytes
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors
    pub max_descriptors: usize,
    /// Time in which an acknowledged configuration must be in force
    pub apply_time: Duration,
    /// Time between SIGTERM and the end of the process
    pub grace_period: Duration,
    /// How long an endpoint may receive requests after the store acknowledged that it leaves
    pub drain_time: Duration,
    /// Time after which all live endpoints have written their entries again to a restored store
    pub restore_time: Duration,
    /// Maximum lifetime of a directory answer
    pub max_directory_ttl: Duration,
    /// Limit on retries of the whole fleet
    pub retry_bound: Bound,
}
