//! Calls to the platform, counted by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Kind of a call
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Read of an object
    Read,
    /// Waiting read of an object
    Watch,
    /// Conditional write
    Write,
    /// Read of the list of hosts
    Hosts,
    /// Read of the list of leaving upstreams
    Upstreams,
}

impl Kind {
    /// All kinds in order
    pub const ALL: [Self; 5] = [
        Self::Read,
        Self::Watch,
        Self::Write,
        Self::Hosts,
        Self::Upstreams,
    ];

    /// Name in metrics
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Write => "write",
            Self::Hosts => "hosts",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Calls of one kind
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Calls sent
    pub sent: u64,
    /// Calls that no address answered
    pub failed: u64,
}

/// Calls by kind since the start of the process
#[derive(Debug, Default)]
pub struct Counters {
    sent: [AtomicU64; Kind::ALL.len()],
    failed: [AtomicU64; Kind::ALL.len()],
}

impl Counters {
    /// Count one call
    pub fn record_call(&self, kind: Kind) {
        self.sent[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Count one call that no address answered
    pub fn record_failure(&self, kind: Kind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls of one kind
    pub fn total(&self, kind: Kind) -> Total {
        Total {
            sent: self.sent[kind as usize].load(Ordering::Relaxed),
            failed: self.failed[kind as usize].load(Ordering::Relaxed),
        }
    }
}
