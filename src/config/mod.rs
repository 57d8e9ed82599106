//! Steering configuration: a versioned document that operators change by JSON merge patches.
//!
//! The platform stores it as a single object, [`Revision`], of at most one megabyte. The object
//! holds the document, the start of each running shift and the newest audit entries, so one
//! conditional write updates the configuration and its audit log together. A process only applies a
//! revision with a higher number than its current one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::id::{BlockId, EndpointId, RegionId, ServiceId, Version, ZoneId};

mod accept;
mod check;
mod code;
mod locate;
mod merge;
mod plan;
mod store;
mod update;

#[cfg(test)]
mod tests;

pub use accept::{
    Accepted, InvalidDocument, MAX_AUDIT_ENTRIES, Patch, PatchError, accept, resolve_duplicate,
};
pub use check::{FieldError, SHARE_TOLERANCE, check, name_error};
pub use code::{Error, MAX_REVISION_BYTES, parse_patch};
pub use merge::{diff, merge};
pub use plan::{EndpointChange, ShiftPlan, endpoint_changes, moved_share, shift_plans};
pub use store::{Applied, Store};

/// Name of the platform object that stores the newest [`Revision`]
pub const OBJECT_NAME: &str = "tanagerpier-configuration";

/// Name prefix of the platform objects that store older audit entries
pub const HISTORY_PREFIX: &str = "tanagerpier-history-";

/// Fraction of an entry zone's traffic that each upstream zone receives; the fractions sum to 1
pub type Shares = BTreeMap<ZoneId, f64>;

/// Accepted configuration with its shift and audit records
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// Revision number; increases by 1 with each accepted patch
    pub number: Version,
    /// Configuration document
    pub document: Document,
    /// Start of the newest planned shift of each service
    #[serde(default, rename = "moves")]
    pub shift_starts: BTreeMap<ServiceId, ShiftStart>,
    /// Newest audit entries, oldest first
    #[serde(default)]
    pub audit: Vec<Audit>,
}

/// Starting point of a planned shift
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShiftStart {
    /// Shares before the change, by entry zone
    pub from: BTreeMap<ZoneId, Shares>,
    /// Time at which the change was accepted, in milliseconds since the Unix epoch
    pub at: u64,
}

/// Audit entry of an accepted patch
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// Number of the revision that the patch created
    pub number: Version,
    /// Random id of the patch; identifies a resent patch whose first answer was lost
    pub patch: CompactString,
    /// Operator who sent the patch
    pub who: CompactString,
    /// Reason given by the operator
    pub why: CompactString,
    /// Time at which the patch was accepted, in milliseconds since the Unix epoch
    pub at: u64,
    /// Applied JSON merge patch
    pub change: serde_json::Value,
    /// JSON merge patch that restores the previous document
    #[serde(default)]
    pub undo: serde_json::Value,
}

/// Configuration document
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Availability zones by name
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Ranges of client blocks, in ascending order and without overlap
    #[serde(default)]
    pub blocks: Vec<BlockRange>,
    /// Services by name
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Bandwidth limits between regions, by `from/to`
    #[serde(default)]
    pub links: BTreeMap<CompactString, Link>,
    /// Order in which each region spills to others, nearest first; unlisted regions come last
    #[serde(default)]
    pub nearest: BTreeMap<RegionId, Vec<RegionId>>,
    /// How long callers may cache a lookup
    #[serde(default = "lookup_lifetime", with = "humantime_serde")]
    pub lookup_lifetime: Duration,
}

impl Default for Document {
    fn default() -> Self {
        Self {
            zones: BTreeMap::new(),
            blocks: Vec::new(),
            services: BTreeMap::new(),
            links: BTreeMap::new(),
            nearest: BTreeMap::new(),
            lookup_lifetime: lookup_lifetime(),
        }
    }
}

/// Availability zone
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region that the zone belongs to
    pub region: RegionId,
}

/// Range of client blocks assigned to a region
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockRange {
    /// First block of the range
    pub first: BlockId,
    /// Last block of the range, inclusive
    pub last: BlockId,
    /// Region nearest to these clients
    pub region: RegionId,
}

/// Bandwidth limit between two regions
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Limit for all services together, in bytes per second
    pub bytes_per_second: u64,
}

/// Service whose traffic is steered
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Traffic class; classes have separate slots, link budgets and queues
    #[serde(default)]
    pub class: Class,
    /// HTTP methods whose requests run at most once
    #[serde(default = "once_only")]
    pub once_only: BTreeSet<CompactString>,
    /// Upstream endpoints by name
    #[serde(default)]
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Shares by entry zone; a zone without an entry serves all of its own traffic
    #[serde(default)]
    pub shares: BTreeMap<ZoneId, Shares>,
    /// Limit for planned shifts
    #[serde(default)]
    pub shift: Cap,
    /// Limit for spill caused by failures or lack of headroom
    #[serde(default = "spill")]
    pub spill: Cap,
    /// Request timeout
    #[serde(default = "deadline", with = "humantime_serde")]
    pub deadline: Duration,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            class: Class::default(),
            once_only: once_only(),
            endpoints: BTreeMap::new(),
            shares: BTreeMap::new(),
            shift: Cap::default(),
            spill: spill(),
            deadline: deadline(),
        }
    }
}

/// Traffic class of a service
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short requests with a user waiting for the answer
    #[default]
    Interactive,
    /// Large answers, with separate slots, link budgets and queues
    Download,
}

/// Upstream endpoint
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Availability zone of the upstream
    pub zone: ZoneId,
    /// TCP address of the upstream
    pub address: SocketAddr,
    /// Maximum number of concurrent requests
    pub slots: u32,
    /// Whether the endpoint is draining and receives no new requests
    #[serde(default)]
    pub draining: bool,
}

/// Limit on the traffic that may move within a time window
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Fraction of an entry zone's traffic, above 0 and at most 1
    pub share: f64,
    /// Requests per second into one upstream zone
    pub rate: f64,
    /// Time window to which both limits apply
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

/// Returns the shares of an entry zone; without configured shares, it serves all of its own traffic
pub fn effective_shares(service: &Service, entry: &ZoneId) -> Shares {
    let configured = service.shares.get(entry).cloned();
    configured.unwrap_or_else(|| [(entry.clone(), 1.0)].into())
}

impl Default for Cap {
    fn default() -> Self {
        Self {
            share: 0.1,
            rate: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Default spill limit: all of a zone's traffic may move if the receiving zones admit it
fn spill() -> Cap {
    Cap {
        share: 1.0,
        ..Cap::default()
    }
}

fn lookup_lifetime() -> Duration {
    Duration::from_secs(30)
}

fn once_only() -> BTreeSet<CompactString> {
    ["POST".into()].into()
}

fn deadline() -> Duration {
    Duration::from_secs(10)
}
