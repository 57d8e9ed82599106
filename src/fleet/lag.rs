//! Recognizes that this host's knowledge of the store stays behind that of others.
//!
//! Load pattern: a watch goes silent without an end, while other hosts hear of changes. Their
//! reports carry a [`Stamp`] of what they know. Hosts that are behind themselves report old ones in
//! between, which says nothing. Each newer stamp leads to one fresh read, not to more.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time for which others may know more; a change takes that long to pass through a reader
pub const LAG_TOLERANCE: Duration = Duration::from_millis(350);

/// How far the knowledge of one kind of objects reaches; the greater the newer
///
/// Of two hosts that know the same newest write, the one that knows fewer objects has seen a removal
/// more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Watermark {
    /// Newest revision of any object that was written
    pub written: u64,
    /// Objects that are not there, counted down from the greatest number
    pub absent: u32,
}

impl Watermark {
    /// Stamp of so many objects
    pub fn new(written: u64, objects: usize) -> Self {
        let objects = u32::try_from(objects).unwrap_or(u32::MAX);
        let absent = u32::MAX - objects;
        Self { written, absent }
    }
}

/// What others know and this host does not, by kind of object
#[derive(Clone, Debug)]
pub struct LagDetector<K> {
    ahead: BTreeMap<K, (Watermark, Instant)>,
    settled: BTreeMap<K, Watermark>,
}

impl<K: Ord + Copy> LagDetector<K> {
    /// Nobody known to be ahead
    pub fn new() -> Self {
        Self {
            ahead: BTreeMap::new(),
            settled: BTreeMap::new(),
        }
    }

    /// Another host's stamp came; says whether this host should read the kind afresh
    pub fn observe(&mut self, now: Instant, kind: K, own: Watermark, theirs: Watermark) -> bool {
        if let Some((target, _)) = self.ahead.get(&kind)
            && own >= *target
        {
            self.ahead.remove(&kind);
        }
        let settled = self.settled.get(&kind).copied().unwrap_or_default();
        if theirs <= own || theirs <= settled {
            return false;
        }
        let (target, since) = *self.ahead.entry(kind).or_insert((theirs, now));
        if now.saturating_duration_since(since) < LAG_TOLERANCE {
            return false;
        }
        self.ahead.remove(&kind);
        self.settled.insert(kind, target.max(theirs));
        true
    }
}

impl<K: Ord + Copy> Default for LagDetector<K> {
    fn default() -> Self {
        Self::new()
    }
}
