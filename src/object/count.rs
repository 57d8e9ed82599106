//! Counters of platform calls by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Kind of platform call
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Read of an object
    Read,
    /// Read that waits for a newer version of an object
    Watch,
    /// Conditional write of an object
    Write,
    /// List of entry hosts
    Hosts,
    /// List of leaving upstreams
    Upstreams,
}

impl Kind {
    /// All kinds in declaration order
    pub const ALL: [Self; 5] = [
        Self::Read,
        Self::Watch,
        Self::Write,
        Self::Hosts,
        Self::Upstreams,
    ];

    /// Returns the label in metrics
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

/// Number of calls of one kind
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Requests sent; a call sends one to each address that it tries
    pub sent: u64,
    /// Calls for which no address gave a usable response
    pub failed: u64,
}

/// Call counters by kind since the process started
#[derive(Debug, Default)]
pub struct Counters {
    sent: [AtomicU64; Kind::ALL.len()],
    failed: [AtomicU64; Kind::ALL.len()],
}

impl Counters {
    /// Counts a request
    pub fn record_call(&self, kind: Kind) {
        self.sent[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call for which no address gave a usable response
    pub fn record_failure(&self, kind: Kind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls of one kind
    pub fn total(&self, kind: Kind) -> Total {
        Total {
            sent: self.sent[kind as usize].load(Ordering::Relaxed),
            failed: self.failed[kind as usize].load(Ordering::Relaxed),
        }
    }
}
