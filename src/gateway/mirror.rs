//! What this host knows of the store, and how fresh it is.
//!
//! A host that starts while the store is dark takes the mirror of another host instead.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender, bounded};

use crate::fleet::Stamp;
use crate::platform::store::{Event, Kind, Object};

/// Changes of a kind that are kept for hosts that follow this one; minutes of an ordinary day
const KEPT: usize = 2048;

/// Objects as they were read, by kind and name
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Mirror {
    kinds: BTreeMap<Kind, BTreeMap<CompactString, Object>>,
    /// Newest revision of an object by kind, removals included
    newest: BTreeMap<Kind, u64>,
    /// Newest revision of any object that was written, by kind
    #[serde(skip)]
    written: BTreeMap<Kind, u64>,
    #[serde(skip)]
    dark: BTreeMap<Kind, Instant>,
    #[serde(skip)]
    read: BTreeMap<Kind, Instant>,
    /// Kinds that this host follows at the store itself
    #[serde(skip)]
    direct: BTreeSet<Kind>,
    /// Newest changes with the revision at which each is known
    #[serde(skip)]
    history: BTreeMap<Kind, VecDeque<(u64, Event)>>,
    /// Revision from which the history is complete
    #[serde(skip)]
    floor: BTreeMap<Kind, u64>,
    #[serde(skip)]
    waiting: BTreeMap<Kind, Vec<Sender<()>>>,
}

/// What a host that follows this one is told
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Changes after its revision, and the revision to go on from
    Changes(Vec<Event>, u64),
    /// Nothing yet
    Nothing,
    /// The history does not reach back so far
    Compacted,
    /// This host does not know better itself
    Stale,
}

impl Mirror {
    /// Take a whole list
    pub fn replace(&mut self, now: Instant, kind: Kind, objects: Vec<Object>, revision: u64) {
        let written = objects.iter().map(|object| object.revision).max();
        self.write(kind, written.unwrap_or(0));
        let named = objects
            .into_iter()
            .map(|object| (object.name.clone(), object));
        self.kinds.insert(kind, named.collect());
        self.fresh(now, kind);
        self.history.remove(&kind);
        self.floor.insert(kind, revision);
        self.advance(kind, revision);
        self.wake(kind);
    }

    /// Take changes, which bring this kind up to a revision
    pub fn change(&mut self, kind: Kind, events: &[Event], revision: u64) {
        for event in events {
            match event {
                Event::Put(object) => self.put(kind, object.clone()),
                Event::Removed(name) => self.remove(kind, name),
            }
        }
        self.advance(kind, revision);
        let known = self.newest.get(&kind).copied().unwrap_or(revision);
        let history = self.history.entry(kind).or_default();
        history.extend(events.iter().map(|event| (known, event.clone())));
        while history.len() > KEPT
            && let Some((gone, _)) = history.pop_front()
        {
            self.floor.insert(kind, gone);
        }
        if !events.is_empty() {
            self.wake(kind);
        }
    }

    /// Changes after a revision, for a host that follows this one
    pub fn after(&self, kind: Kind, revision: u64) -> Told {
        if !self.direct.contains(&kind) || self.dark.contains_key(&kind) {
            return Told::Stale;
        }
        if self.floor.get(&kind).is_none_or(|floor| revision < *floor) {
            return Told::Compacted;
        }
        let newest = self.newest.get(&kind).copied().unwrap_or(0);
        let history = self.history.get(&kind).into_iter().flatten();
        let newer = history.filter(|(at, _)| *at > revision);
        let events: Vec<Event> = newer.map(|(_, event)| event.clone()).collect();
        match events.is_empty() {
            true => Told::Nothing,
            false => Told::Changes(events, newest),
        }
    }

    /// A message when this kind changes or cannot be followed any more
    pub fn wait(&mut self, kind: Kind) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let waiting = self.waiting.entry(kind).or_default();
        waiting.retain(|sender| !sender.is_closed());
        waiting.push(sender);
        receiver
    }

    /// Note whether a kind is followed at the store itself
    pub fn set_direct(&mut self, kind: Kind, direct: bool) {
        let changed = match direct {
            true => self.direct.insert(kind),
            false => self.direct.remove(&kind),
        };
        if changed {
            self.wake(kind);
        }
    }

    fn wake(&mut self, kind: Kind) {
        // Dropping a sender ends the wait of its receiver.
        self.waiting.remove(&kind);
    }

    /// Take one object
    pub fn put(&mut self, kind: Kind, object: Object) {
        self.write(kind, object.revision);
        let objects = self.kinds.entry(kind).or_default();
        objects.insert(object.name.clone(), object);
    }

    fn write(&mut self, kind: Kind, revision: u64) {
        let written = self.written.entry(kind).or_default();
        *written = revision.max(*written);
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

    /// How far the knowledge of each kind reaches
    pub fn stamps(&self) -> BTreeMap<Kind, Stamp> {
        let stamps = self.kinds.iter().map(|(kind, objects)| {
            let written = self.written.get(kind).copied().unwrap_or(0);
            (*kind, Stamp::new(written, objects.len()))
        });
        stamps.collect()
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

    /// This kind cannot be read; says whether that is new
    pub fn failed(&mut self, now: Instant, kind: Kind) -> bool {
        let mut new = false;
        self.dark.entry(kind).or_insert_with(|| {
            new = true;
            now
        });
        self.set_direct(kind, false);
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
