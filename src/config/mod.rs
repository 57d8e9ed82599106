//! The steering configuration: one numbered document that operators change by patches.
//!
//! The platform holds one object, [`Revision`], of at most a megabyte. It carries the document, the
//! shares that a running shift started from, and the newest audit entries, so that a change and its
//! audit entry are written by one conditional update. A process applies only higher numbers.

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

/// Name of the platform object that holds the newest [`Revision`]
pub const OBJECT_NAME: &str = "tanagerpier-configuration";

/// Start of the names of the objects that keep older audit entries
pub const HISTORY_PREFIX: &str = "tanagerpier-history-";

/// Part of an entry zone's traffic that each upstream zone gets; the parts sum to 1
pub type Shares = BTreeMap<ZoneId, f64>;

/// One accepted configuration with what was recorded about it
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// Number of this configuration
    pub number: Version,
    /// What steers traffic
    pub document: Document,
    /// Shares that each service's newest shift started from
    #[serde(default, rename = "moves")]
    pub shift_starts: BTreeMap<ServiceId, ShiftStart>,
    /// Newest audit entries, oldest first
    #[serde(default)]
    pub audit: Vec<Audit>,
}

/// Start of a planned shift
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShiftStart {
    /// Shares before the change, by entry zone
    pub from: BTreeMap<ZoneId, Shares>,
    /// When the change was accepted, in milliseconds since the Unix epoch
    pub at: u64,
}

/// Record of one accepted change
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// Number that the change made
    pub number: Version,
    /// Random id of the patch, by which a lost answer is settled
    pub patch: CompactString,
    /// Operator who sent it
    pub who: CompactString,
    /// Reason that the operator gave
    pub why: CompactString,
    /// When it was accepted, in milliseconds since the Unix epoch
    pub at: u64,
    /// JSON merge patch that was applied
    pub change: serde_json::Value,
    /// JSON merge patch that leads back to the document before
    #[serde(default)]
    pub undo: serde_json::Value,
}

/// What steers traffic
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Availability zones by name
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Ranges of client blocks, ordered and without overlap
    #[serde(default)]
    pub blocks: Vec<BlockRange>,
    /// Services by name
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Byte budgets between regions, by `from/to`
    #[serde(default)]
    pub links: BTreeMap<CompactString, Link>,
    /// For a region, the others by nearness, for spill; those not named come last
    #[serde(default)]
    pub nearest: BTreeMap<RegionId, Vec<RegionId>>,
    /// How callers may cache a look-up
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

/// One availability zone
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region that the zone belongs to
    pub region: RegionId,
}

/// Client blocks that belong to a region
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockRange {
    /// First block of the range
    pub first: BlockId,
    /// Last block of the range, included
    pub last: BlockId,
    /// Region nearest to these clients
    pub region: RegionId,
}

/// Bytes that may cross between two regions
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Budget of all services together, in bytes a second
    pub bytes_per_second: u64,
}

/// One steered service
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Interactive requests or downloads, which are kept apart
    #[serde(default)]
    pub class: Class,
    /// HTTP methods that run at most once
    #[serde(default = "once_only")]
    pub once_only: BTreeSet<CompactString>,
    /// Upstream addresses by name
    #[serde(default)]
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Shares by entry zone; a zone that is absent keeps its traffic to itself
    #[serde(default)]
    pub shares: BTreeMap<ZoneId, Shares>,
    /// Most that a planned shift may move
    #[serde(default)]
    pub shift: Cap,
    /// Most that failures and lack of headroom may move
    #[serde(default = "spill")]
    pub spill: Cap,
    /// Longest time a request may take
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

/// Kind of work a service does
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short requests that a person waits for
    #[default]
    Interactive,
    /// Long answers with slots, link bytes and queues of their own
    Download,
}

/// One upstream address
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Availability zone of the upstream
    pub zone: ZoneId,
    /// TCP address of the upstream
    pub address: SocketAddr,
    /// Requests it may run at once
    pub slots: u32,
    /// Whether it is leaving and gets no new work
    #[serde(default)]
    pub draining: bool,
}

/// Most traffic that may move within a window
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Part of an entry zone's traffic, between 0 and 1
    pub share: f64,
    /// Requests a second into one upstream zone
    pub rate: f64,
    /// Time over which both are counted
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

/// Shares of an entry zone; all of its own traffic where none are set
pub fn effective_shares(service: &Service, entry: &ZoneId) -> Shares {
    let set = service.shares.get(entry).cloned();
    set.unwrap_or_else(|| [(entry.clone(), 1.0)].into())
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

/// Failures may move all of a zone's traffic, as far as the receiving zones admit it
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
