//! How a host's copy of a kind descends from the store: when the store gave the answer that it rests
//! on, and through how many hosts it came.

use std::time::{Duration, Instant};

use super::Gateway;
use super::source::Source;
use crate::id::HostId;
use crate::platform::store::{CopyAge, Kind};

/// Age of the store's answer from which a copy is not served to other hosts
///
/// A reader hears from the store several times within it, or knows that the store does not answer.
const MAX_SERVED_AGE: Duration = Duration::from_millis(1500);

/// Number of hosts between the store and one that serves its copy
///
/// A host that follows such a copy serves none, so hosts that follow each other find out at once.
const MAX_SERVED_HOPS: u8 = 1;

/// Origin of a copy
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Time of the store's answer
    pub answered_at: Instant,
    /// Number of other hosts between the store and this one
    pub hops: u8,
}

impl Origin {
    /// Returns the origin of what the store itself just answered
    pub fn new(now: Instant) -> Self {
        Self {
            answered_at: now,
            hops: 0,
        }
    }

    /// Returns the origin of what another host just answered from a copy of its own
    pub fn with_copy(now: Instant, copy: CopyAge) -> Self {
        Self {
            answered_at: now.checked_sub(copy.age).unwrap_or(now),
            hops: copy.hops.saturating_add(1),
        }
    }

    /// Returns the age of the store's answer
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.answered_at)
    }

    /// Returns until when the copy may be served to other hosts, `None` if it came through too many
    pub fn fresh_until(&self) -> Option<Instant> {
        (self.hops <= MAX_SERVED_HOPS).then(|| self.answered_at + MAX_SERVED_AGE)
    }

    /// Returns what to tell a host that reads this copy
    pub fn copy_age(&self, now: Instant) -> CopyAge {
        CopyAge {
            age: self.age(now),
            hops: self.hops,
        }
    }
}

/// Returns the name of a source in the log
fn source_name(gateway: &Gateway, source: Source) -> HostId {
    if source.is_store {
        return "store".into();
    }
    let host = gateway.fleet.borrow().host_at(source.address);
    host.unwrap_or_else(|| source.address.to_string().into())
}

/// Logs that a host is not followed any more, and how long it has been silent
pub fn record_source_left(gateway: &Gateway, kind: Kind, source: Source) {
    let name = source_name(gateway, source);
    let silence = gateway.fleet.borrow().silence(Instant::now(), &name);
    let fields = [
        ("kind", kind.name().into()),
        ("source", name.as_str().into()),
        (
            "silent_ms",
            silence.map(|time| time.as_millis() as u64).into(),
        ),
    ];
    gateway.recorder.event("source-left", &fields);
}

/// Logs that a kind is read from another source than before
pub fn record_source(gateway: &Gateway, kind: Kind, source: Source) {
    let name = source_name(gateway, source);
    let origin = gateway.mirror.borrow().origin(kind);
    let now = Instant::now();
    let age = origin.map(|origin| origin.age(now).as_millis() as u64);
    let fields = [
        ("kind", kind.name().into()),
        ("source", name.as_str().into()),
        ("store_age_ms", age.into()),
        ("hops", origin.map(|origin| origin.hops).into()),
    ];
    gateway.recorder.event("source", &fields);
}
