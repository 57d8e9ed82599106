//! Requests that bring down the upstreams that run them.
//!
//! A request becomes a suspect when an upstream dies under it, and is refused for a term once a
//! second one does. Others that ran on the first upstream are suspects too, so two suspects never
//! share an upstream: the second death then tells which of them it was. A whole answer clears.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::id::EndpointId;

#[cfg(test)]
mod tests;

/// Stable hash of service, method, target and body
pub type Key = u64;

/// Deaths after which a request is refused
pub const CRASH_THRESHOLD: usize = 2;

/// Time for which a request stays refused
pub const REFUSAL_TTL: Duration = Duration::from_secs(60);

/// Time after which a suspect is forgotten
pub const SUSPECT_TTL: Duration = Duration::from_secs(20);

/// Time by which a refusal taken from the owner of the slots ends earlier than there
const MARGIN: Duration = Duration::from_secs(2);

/// Most suspects, and most refused requests, that a host remembers
pub const MAX_KEYS: usize = 4096;

/// Key of a request
pub fn key(service: &str, method: &str, target: &str, body: &[u8]) -> Key {
    let mut hasher = SipHasher13::new();
    (service, method, target, body).hash(&mut hasher);
    hasher.finish()
}

/// Suspected and refused requests of one host
#[derive(Debug, Default)]
pub struct Tracker {
    suspects: BTreeMap<Key, Suspect>,
    refused: BTreeMap<Key, Refusal>,
}

#[derive(Debug)]
struct Refusal {
    until: Instant,
    is_own: bool,
}

#[derive(Debug)]
struct Suspect {
    deaths: Vec<EndpointId>,
    runs_on: Vec<EndpointId>,
    until: Instant,
}

impl Tracker {
    /// Empty list
    pub fn new() -> Self {
        Self::default()
    }

    /// An upstream died with this request in flight
    pub fn record_crash(&mut self, now: Instant, key: Key, endpoint: &EndpointId) {
        if !self.suspects.contains_key(&key) && self.suspects.len() >= MAX_KEYS {
            self.expire(now);
            if self.suspects.len() >= MAX_KEYS {
                return;
            }
        }
        let suspect = self.suspects.entry(key).or_insert_with(|| Suspect {
            deaths: Vec::new(),
            runs_on: Vec::new(),
            until: now,
        });
        suspect.until = now + SUSPECT_TTL;
        if !suspect.deaths.contains(endpoint) {
            suspect.deaths.push(endpoint.clone());
        }
        if suspect.deaths.len() >= CRASH_THRESHOLD {
            self.suspects.remove(&key);
            self.refuse(now, key, true, REFUSAL_TTL);
        }
    }

    /// The request was answered whole
    pub fn record_success(&mut self, key: Key) {
        self.suspects.remove(&key);
    }

    /// Endpoints that the request must not use
    ///
    /// A suspect stays away from those it was blamed for and those where another suspect runs.
    pub fn excluded_endpoints(&self, key: Key) -> Vec<EndpointId> {
        let Some(suspect) = self.suspects.get(&key) else {
            return Vec::new();
        };
        let others = self.suspects.iter().filter(|(other, _)| **other != key);
        let others = others.flat_map(|(_, other)| &other.runs_on);
        others.chain(&suspect.deaths).cloned().collect()
    }

    /// The request starts at an endpoint
    pub fn record_start(&mut self, key: Key, endpoint: &EndpointId) {
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.runs_on.push(endpoint.clone());
        }
    }

    /// The request ended at an endpoint, however it went
    pub fn record_end(&mut self, key: Key, endpoint: &EndpointId) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        if let Some(place) = suspect.runs_on.iter().position(|on| on == endpoint) {
            suspect.runs_on.swap_remove(place);
        }
    }

    /// Time until the request is taken again, if it is refused now
    pub fn retry_after(&mut self, now: Instant, key: Key) -> Option<Duration> {
        let until = self.refused.get(&key)?.until;
        if until <= now {
            self.refused.remove(&key);
            return None;
        }
        Some(until - now)
    }

    /// Refuse a request that the owner of the slots refuses for `term`
    ///
    /// It ends earlier than there, or the two hosts would renew each other's refusal for ever.
    pub fn adopt_refusal(&mut self, now: Instant, key: Key, term: Duration) {
        let term = term.saturating_sub(MARGIN);
        if !term.is_zero() && !self.refused.contains_key(&key) {
            self.refuse(now, key, true, term);
        }
    }

    /// Refused keys to tell zone peers
    ///
    /// Learned keys are left out, or two hosts would renew each other's for ever.
    pub fn own_refusals(&self) -> Vec<Key> {
        let own = self.refused.iter().filter(|(_, refusal)| refusal.is_own);
        own.map(|(key, _)| *key).collect()
    }

    /// Take the keys that a zone peer refuses
    pub fn merge_refusals(&mut self, now: Instant, keys: &[Key]) {
        for key in keys {
            if !self.refused.contains_key(key) {
                self.refuse(now, *key, false, REFUSAL_TTL);
            }
        }
    }

    /// Forget suspects and refusals whose terms are over
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| now < suspect.until);
        self.refused.retain(|_, refusal| now < refusal.until);
    }

    fn refuse(&mut self, now: Instant, key: Key, is_own: bool, term: Duration) {
        if self.refused.len() >= MAX_KEYS {
            self.expire(now);
        }
        if self.refused.len() < MAX_KEYS {
            self.refused.insert(
                key,
                Refusal {
                    until: now + term,
                    is_own,
                },
            );
        }
    }
}
