//! Settings of an entry host on the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{HostId, RegionId, ZoneId};
use crate::retry::Limit;

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
    pub caller: SocketAddr,
    /// TCP address where the platform asks whether this host is ready
    pub ready: SocketAddr,
    /// TCP address where a starting host may ask for what this one knows
    pub control: Option<SocketAddr>,
    /// TCP address where callers ask which hosts to use
    pub directory: Option<SocketAddr>,
    /// UDP address for other entry hosts
    pub peer: SocketAddr,
    /// Control addresses of some hosts, which may be stale
    pub seeds: Vec<SocketAddr>,
    /// TCP address of the store
    pub store: SocketAddr,
    /// Requests that this host can carry, relative to others
    pub weight: f64,
    /// Memory that the process may use, in bytes
    pub memory: u64,
    /// Descriptors that the process may open
    pub descriptors: usize,
    /// Time between SIGTERM and the end of the process
    pub grace: Duration,
    /// Longest lifetime of a directory answer
    pub lookup_most: Duration,
    /// Bound on second attempts of the whole fleet
    pub retries: Limit,
}
