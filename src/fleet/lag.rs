//! Detects that this host's copy of the store lags behind the copies of other hosts.
//!
//! Load pattern: a watch stalls without being closed, while other hosts still receive changes. Their
//! reports carry a [`Watermark`] of their copy. Hosts that lag themselves report old watermarks in
//! between, which do not show that this host caught up. Each newer watermark triggers at most one
//! full read.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How long other hosts may be ahead: a change needs this time to pass through a reader
pub const LAG_TOLERANCE: Duration = Duration::from_millis(350);

/// Position that a host's copy of one kind of objects has reached; a greater one is newer
///
/// Revisions are given out again in a new era of the store, so the era comes first.
///
/// If two copies have the same newest write, the one with fewer objects includes one more removal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Watermark {
    /// Era of the store; datagrams carry it apart from the other fields
    #[serde(skip)]
    pub era: u64,
    /// Newest revision of any written object
    pub written: u64,
    /// `u32::MAX` less the number of objects, so that a removal raises the watermark
    pub absent: u32,
}

impl Watermark {
    /// Creates the watermark of a copy with this many objects, in the store's first era
    pub fn new(written: u64, objects: usize) -> Self {
        let objects = u32::try_from(objects).unwrap_or(u32::MAX);
        let absent = u32::MAX - objects;
        Self {
            era: 0,
            written,
            absent,
        }
    }

    /// Returns this watermark in an era of the store
    pub fn with_era(self, era: u64) -> Self {
        Self { era, ..self }
    }
}

/// Watermarks of other hosts that this host has not reached, by kind of object
#[derive(Clone, Debug)]
pub struct LagDetector<K> {
    /// Watermark to reach, and when it was first observed
    pending: BTreeMap<K, (Watermark, Instant)>,
    /// Highest watermark for which a full read was already triggered
    triggered: BTreeMap<K, Watermark>,
}

impl<K: Ord + Copy> LagDetector<K> {
    /// Creates a detector without pending watermarks
    pub fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            triggered: BTreeMap::new(),
        }
    }

    /// Records another host's watermark; returns whether this host should do a full read of the kind
    ///
    /// `tolerance` is how long other hosts may be ahead.
    pub fn observe(
        &mut self,
        now: Instant,
        kind: K,
        local: Watermark,
        remote: Watermark,
        tolerance: Duration,
    ) -> bool {
        if let Some((target, _)) = self.pending.get(&kind)
            && local >= *target
        {
            self.pending.remove(&kind);
        }
        let triggered = self.triggered.get(&kind).copied().unwrap_or_default();
        if remote <= local || remote <= triggered {
            return false;
        }
        let (target, since) = *self.pending.entry(kind).or_insert((remote, now));
        if now.saturating_duration_since(since) < tolerance {
            return false;
        }
        self.pending.remove(&kind);
        self.triggered.insert(kind, target.max(remote));
        true
    }
}

impl<K: Ord + Copy> Default for LagDetector<K> {
    fn default() -> Self {
        Self::new()
    }
}
