//! What this host knows of the store, and how fresh it is.
//!
//! A host that starts while the store is dark takes the mirror of another host instead.

use std::collections::BTreeMap;
use std::time::Instant;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::platform::store::{Kind, Object};

/// Objects as they were read, by kind and name
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Mirror {
    kinds: BTreeMap<Kind, BTreeMap<CompactString, Object>>,
    /// Newest revision of an object by kind, removals included
    newest: BTreeMap<Kind, u64>,
    #[serde(skip)]
    dark: BTreeMap<Kind, Instant>,
    #[serde(skip)]
    read: BTreeMap<Kind, Instant>,
}

impl Mirror {
    /// Take a whole list
    pub fn replace(&mut self, now: Instant, kind: Kind, objects: Vec<Object>, revision: u64) {
        let named = objects.into_iter().map(|object| (object.name.clone(), object));
        self.kinds.insert(kind, named.collect());
        self.fresh(now, kind);
        self.advance(kind, revision);
    }

    /// Take one object
    pub fn put(&mut self, kind: Kind, object: Object) {
        let objects = self.kinds.entry(kind).or_default();
        objects.insert(object.name.clone(), object);
    }

    /// Forget one object
    pub fn remove(&mut self, kind: Kind, name: &str) {
        if let Some(objects) = self.kinds.get_mut(&kind) {
            objects.remove(name);
        }
    }

    /// All objects of a kind
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.kinds.get(&kind).into_iter().flat_map(BTreeMap::values)
    }

    /// Note the revision up to which a kind is known
    pub fn advance(&mut self, kind: Kind, revision: u64) {
        let newest = self.newest.entry(kind).or_default();
        *newest = revision.max(*newest);
    }

    /// Revision up to which each kind is known
    pub fn newest(&self) -> &BTreeMap<Kind, u64> {
        &self.newest
    }

    /// A call about this kind succeeded; says for how long none did before
    pub fn fresh(&mut self, now: Instant, kind: Kind) -> Option<std::time::Duration> {
        self.read.insert(kind, now);
        let since = self.dark.remove(&kind)?;
        Some(now.saturating_duration_since(since))
    }

    /// A call about this kind failed; says whether that is new
    pub fn failed(&mut self, now: Instant, kind: Kind) -> bool {
        let mut new = false;
        self.dark.entry(kind).or_insert_with(|| {
            new = true;
            now
        });
        new
    }

    /// Whether some kind cannot be read now
    pub fn is_dark(&self) -> bool {
        !self.dark.is_empty()
    }

    /// Whether a kind was ever read from the store itself
    pub fn is_read(&self, kind: Kind) -> bool {
        self.read.contains_key(&kind)
    }
}
