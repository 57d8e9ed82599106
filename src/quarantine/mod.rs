//! Quarantine of requests that crash upstreams.
//!
//! A request becomes a suspect when an upstream crashes while running it, and is refused
//! temporarily once a second upstream does. Other requests in flight on the crashed upstream become
//! suspects as well, so two suspects are never placed on the same upstream: a second crash then
//! identifies its cause. A complete response clears a suspect.
//!
//! [`Tracker`] is what one `pier-entry` host knows of its zone; [`Register`] is what the `pier-gate`
//! hosts of a whole fleet know together.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::id::EndpointId;

mod doubt;
mod keys;
mod register;

#[cfg(test)]
mod tests;

pub use keys::Keys;
pub use register::{EndpointRun, Record, Register, Source};

/// Stable hash of what identifies a request
pub type Key = u64;

/// Number of endpoints with crashes after which a request is refused
pub const CRASH_THRESHOLD: usize = 2;

/// How long a request is refused
pub const REFUSAL_TTL: Duration = Duration::from_secs(60);

/// How long a request stays suspect after its last crash
pub const SUSPECT_TTL: Duration = Duration::from_secs(20);

/// How much earlier an adopted refusal ends than that of the slot owner
const ADOPTED_REFUSAL_MARGIN: Duration = Duration::from_secs(2);

/// Maximum number of suspects, and of refused requests, on a host
pub const MAX_KEYS: usize = 4096;

/// Computes the key of a request; `scope` is the service or the caller that sends it
pub fn key(scope: &str, method: &str, target: &str, body: &[u8]) -> Key {
    let mut hasher = SipHasher13::new();
    (scope, method, target, body).hash(&mut hasher);
    hasher.finish()
}

/// Suspect and refused requests of one host
#[derive(Debug, Default)]
pub struct Tracker {
    suspects: BTreeMap<Key, Suspect>,
    refused: BTreeMap<Key, Refusal>,
}

#[derive(Debug)]
struct Refusal {
    expires_at: Instant,
    is_own: bool,
}

#[derive(Debug)]
struct Suspect {
    crashed: Vec<EndpointId>,
    running_on: Vec<EndpointId>,
    expires_at: Instant,
}

impl Tracker {
    /// Creates an empty tracker
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint crashed with this request in flight
    pub fn record_crash(&mut self, now: Instant, key: Key, endpoint: &EndpointId) {
        if !self.suspects.contains_key(&key) && self.suspects.len() >= MAX_KEYS {
            self.expire(now);
            if self.suspects.len() >= MAX_KEYS {
                return;
            }
        }
        let suspect = self.suspects.entry(key).or_insert_with(|| Suspect {
            crashed: Vec::new(),
            running_on: Vec::new(),
            expires_at: now,
        });
        suspect.expires_at = now + SUSPECT_TTL;
        if !suspect.crashed.contains(endpoint) {
            suspect.crashed.push(endpoint.clone());
        }
        if suspect.crashed.len() >= CRASH_THRESHOLD {
            self.suspects.remove(&key);
            self.refuse(now, key, true, REFUSAL_TTL);
        }
    }

    /// Records a complete response to the request
    pub fn record_success(&mut self, key: Key) {
        self.suspects.remove(&key);
    }

    /// Returns the endpoints that the request must not use
    ///
    /// For a suspect, these are the endpoints that crashed while running it and those on which
    /// another suspect is running.
    pub fn excluded_endpoints(&self, key: Key) -> Vec<EndpointId> {
        let Some(suspect) = self.suspects.get(&key) else {
            return Vec::new();
        };
        let others = self.suspects.iter().filter(|(other, _)| **other != key);
        let occupied = others.flat_map(|(_, other)| &other.running_on);
        occupied.chain(&suspect.crashed).cloned().collect()
    }

    /// Records that the request starts on an endpoint
    pub fn record_start(&mut self, key: Key, endpoint: &EndpointId) {
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.running_on.push(endpoint.clone());
        }
    }

    /// Records that the request ended on an endpoint, with any outcome
    pub fn record_end(&mut self, key: Key, endpoint: &EndpointId) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        if let Some(index) = suspect.running_on.iter().position(|id| id == endpoint) {
            suspect.running_on.swap_remove(index);
        }
    }

    /// Returns the time until the request is accepted again, if it is refused now
    pub fn retry_after(&mut self, now: Instant, key: Key) -> Option<Duration> {
        let expires_at = self.refused.get(&key)?.expires_at;
        if expires_at <= now {
            self.refused.remove(&key);
            return None;
        }
        Some(expires_at - now)
    }

    /// Adopts a refusal of the slot owner that is still valid for `duration`
    ///
    /// The adopted refusal ends earlier than the owner's; otherwise the two hosts would renew each
    /// other's refusals indefinitely.
    pub fn adopt_refusal(&mut self, now: Instant, key: Key, duration: Duration) {
        let duration = duration.saturating_sub(ADOPTED_REFUSAL_MARGIN);
        if !duration.is_zero() && !self.refused.contains_key(&key) {
            self.refuse(now, key, true, duration);
        }
    }

    /// Returns the refused keys to send to zone peers
    ///
    /// Keys received from peers are excluded; otherwise two hosts would renew each other's refusals
    /// indefinitely.
    pub fn own_refusals(&self) -> Vec<Key> {
        let own = self.refused.iter().filter(|(_, refusal)| refusal.is_own);
        own.map(|(key, _)| *key).collect()
    }

    /// Refuses the keys received from a zone peer
    pub fn merge_refusals(&mut self, now: Instant, keys: &[Key]) {
        for key in keys {
            if !self.refused.contains_key(key) {
                self.refuse(now, *key, false, REFUSAL_TTL);
            }
        }
    }

    /// Removes expired suspects and refusals
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        self.refused.retain(|_, refusal| now < refusal.expires_at);
    }

    fn refuse(&mut self, now: Instant, key: Key, is_own: bool, duration: Duration) {
        if self.refused.len() >= MAX_KEYS {
            self.expire(now);
        }
        if self.refused.len() < MAX_KEYS {
            self.refused.insert(
                key,
                Refusal {
                    expires_at: now + duration,
                    is_own,
                },
            );
        }
    }
}
