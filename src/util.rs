//! Helpers for stable hashing, rendezvous hashing and wall-clock time.

use std::hash::{Hash, Hasher};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use siphasher::sip::SipHasher13;

/// Returns a hash that is the same on every host and in every build
pub fn stable_hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the candidate with the highest rendezvous hash for `key`
///
/// Removing any other candidate does not change the result.
pub fn rendezvous<'a, K: Hash, C: Hash + Ord>(
    key: &K,
    candidates: impl IntoIterator<Item = &'a C>,
) -> Option<&'a C> {
    candidates
        .into_iter()
        .max_by_key(|candidate| (stable_hash(&(key, candidate)), *candidate))
}

/// Returns the milliseconds since the Unix epoch, or 0 for an earlier time
pub fn unix_millis(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
