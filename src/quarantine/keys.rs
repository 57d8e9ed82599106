//! Keys under which the crashes of one request count.
//!
//! Repeats of a request have the same caller, path and body, but their query may change, and what
//! names the caller may change or be missing. So a request has up to three keys, from narrow to
//! wide. A complete answer to any request clears all keys that it has, so the crashes of one caller's
//! request on a path that serves others do not add up for the others.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use super::{CRASH_THRESHOLD, EndpointRun, Key, Register, key};

#[cfg(test)]
mod tests;

/// Part of a refusal that applies to all callers of a path after three crashes
///
/// Callers whose requests crashed nothing may be among them, so they may try again after minutes.
const SHARED_REFUSAL_RATIO: f64 = 1.0 / 12.0;

/// Number of crashes after which [`SHARED_REFUSAL_RATIO`] applies
const SHARED_REFUSAL_CRASHES: usize = CRASH_THRESHOLD + 1;

/// Keys of one request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    exact: Key,
    path: Key,
    shared: Key,
}

impl Keys {
    /// Computes the keys of a request; `body` is its body or the first part of it
    pub fn new(caller: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let path = target.split('?').next().unwrap_or_default();
        let mut hasher = SipHasher13::new();
        // The order of the fields keeps this key apart from those with a caller.
        (method, path, body, "any caller").hash(&mut hasher);
        Self {
            exact: key(caller, method, target, body),
            path: key(caller, method, path, body),
            shared: hasher.finish(),
        }
    }

    /// Returns the key of exactly this request
    pub fn exact(&self) -> Key {
        self.exact
    }

    /// Returns the keys of this caller's request, with its query and without
    fn of_caller(&self) -> impl Iterator<Item = Key> + use<> {
        let path = Some(self.path).filter(|path| *path != self.exact);
        std::iter::once(self.exact).chain(path)
    }

    fn all(&self) -> impl Iterator<Item = Key> + use<> {
        self.of_caller().chain([self.shared])
    }

    /// Records that this host saw an endpoint crash with the request in flight; returns the number
    /// of crashes that count
    ///
    /// Further crashes of one caller's request do not count for other callers, unless requests of
    /// several callers of the path crashed endpoints already.
    pub fn record_crash(&self, register: &mut Register, now: Instant, run: EndpointRun) -> usize {
        let crashes = self
            .of_caller()
            .map(|key| register.record_crash(now, key, run));
        let crashes = crashes.max().unwrap_or(0);
        if crashes == 1 || register.crash_count(self.shared) >= CRASH_THRESHOLD {
            return crashes.max(register.record_crash(now, self.shared, run));
        }
        crashes
    }

    /// Records a complete answer to the request; returns the keys whose crashes it cleared
    pub fn record_success(&self, register: &mut Register, now: Instant) -> Vec<Key> {
        self.all()
            .filter(|key| register.record_success(now, *key))
            .collect()
    }

    /// Records that the request starts on an endpoint
    pub fn record_start(&self, register: &mut Register, run: EndpointRun) {
        self.all().for_each(|key| register.record_start(key, run));
    }

    /// Records that the request ended on an endpoint, with any outcome
    pub fn record_end(&self, register: &mut Register, run: EndpointRun) {
        self.all().for_each(|key| register.record_end(key, run));
    }

    /// Returns the time until the request is accepted again, if it is refused now
    pub fn retry_after(&self, register: &Register, now: Instant) -> Option<Duration> {
        let ratio = match register.crash_count(self.shared) {
            SHARED_REFUSAL_CRASHES => SHARED_REFUSAL_RATIO,
            _ => 1.0,
        };
        let own = self
            .of_caller()
            .filter_map(|key| register.retry_after(now, key, 1.0));
        own.chain(register.retry_after(now, self.shared, ratio))
            .max()
    }

    /// Returns the endpoint runs that the request must not use
    pub fn excluded_runs(&self, register: &Register) -> BTreeSet<EndpointRun> {
        let keys: Vec<Key> = self.all().collect();
        register.excluded_runs(&keys)
    }
}
