//! Type aliases for identifiers that several modules use.

use compact_str::CompactString;

/// Name of a region, such as `bne`
pub type RegionId = CompactString;

/// Name of an availability zone, such as `bne-a`
pub type ZoneId = CompactString;

/// Name of an entry host
pub type HostId = CompactString;

/// Name of a service whose traffic is steered
pub type ServiceId = CompactString;

/// Name of a route
pub type RouteId = CompactString;

/// Name of an upstream endpoint of a service
pub type EndpointId = CompactString;

/// Number of a block of clients
pub type BlockId = u32;

/// Number of an accepted configuration; increases with each accepted change
pub type Version = u64;

/// Random number that identifies one run of a process; generated at its start
pub type Incarnation = u64;

/// Random number that identifies one request on all hosts that handle it
pub type RequestId = u64;
