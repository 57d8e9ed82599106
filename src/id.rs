//! Identifiers that several slices share, as plain aliases.

use compact_str::CompactString;

/// Name of a region, such as `bne`
pub type RegionId = CompactString;

/// Name of an availability zone, such as `bne-a`
pub type ZoneId = CompactString;

/// Name of an entry host
pub type HostId = CompactString;

/// Name of a steered service
pub type ServiceId = CompactString;

/// Name of a route
pub type RouteId = CompactString;

/// Name of one upstream address of a service
pub type EndpointId = CompactString;

/// Number of a block of clients
pub type BlockId = u32;

/// Number of an accepted configuration; it only rises
pub type Version = u64;

/// Random number drawn when a process starts
pub type Incarnation = u64;

/// Random number that follows one request across hosts
pub type RequestId = u64;
