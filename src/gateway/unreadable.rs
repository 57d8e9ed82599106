//! Objects that other programs wrote and that cannot be read: each is logged once, and counted.

use std::collections::BTreeSet;

use compact_str::CompactString;

use super::Gateway;
use crate::platform::store::{Kind, Object};

/// Maximum number of objects that are remembered as logged
const MAX_OBJECTS: usize = 1000;

/// Names of the objects that cannot be read, by kind
#[derive(Debug, Default)]
pub struct Register(BTreeSet<(Kind, CompactString)>);

impl Register {
    /// Records that an object cannot be read; returns whether that was not known
    pub fn record(&mut self, kind: Kind, name: &str) -> bool {
        self.0.len() < MAX_OBJECTS && self.0.insert((kind, name.into()))
    }

    /// Records that an object can be read or is gone
    pub fn forget(&mut self, kind: Kind, name: &str) {
        if !self.0.is_empty() {
            self.0.remove(&(kind, name.into()));
        }
    }

    /// Forgets the objects of a kind that a complete list does not contain
    pub fn retain_listed(&mut self, kind: Kind, listed: &[Object]) {
        if self.0.is_empty() {
            return;
        }
        let names: BTreeSet<&str> = listed.iter().map(|object| object.name.as_str()).collect();
        self.0
            .retain(|(other, name)| *other != kind || names.contains(name.as_str()));
    }

    /// Returns the number of objects that cannot be read
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl Gateway {
    /// Records that an object cannot be read and names nothing to use
    pub(super) fn record_unreadable(&self, kind: Kind, name: Option<&str>, reason: &str) {
        let known_name = name.unwrap_or_default();
        if !self.unreadable.borrow_mut().record(kind, known_name) {
            return;
        }
        self.metrics.count_unreadable(kind);
        let fields = [
            ("kind", kind.name().into()),
            ("name", name.into()),
            ("reason", reason.into()),
        ];
        self.recorder.event("object-unreadable", &fields);
    }
}
