//! Local copy of the store's objects, with the revision up to which each kind is current.
//!
//! A host that starts while the store is unreachable loads the mirror of another host instead.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender, bounded};

use super::origin::Origin;
use crate::fleet::Watermark;
use crate::platform::store::{CopyAge, Era, Event, Kind, Object, Position};

/// Number of changes per kind that are kept for followers; covers minutes of normal traffic
const MAX_HISTORY_EVENTS: usize = 2048;

/// Number of lists per kind over which the history goes on
const MAX_GAPS: usize = 16;

/// Copy of the store's objects
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Mirror {
    /// Objects by kind and name
    #[serde(rename = "kinds")]
    objects: BTreeMap<Kind, BTreeMap<CompactString, Object>>,
    /// Revision up to which each kind is current, deletions included
    #[serde(rename = "newest")]
    revisions: BTreeMap<Kind, u64>,
    /// Era of the store in which each kind was read
    #[serde(default)]
    eras: BTreeMap<Kind, Era>,
    /// Highest revision of any object written, by kind
    #[serde(skip)]
    written_revisions: BTreeMap<Kind, u64>,
    /// Revision of the last complete list, by kind; no older write is missing
    #[serde(skip)]
    listed_revisions: BTreeMap<Kind, u64>,
    /// Start of the outage of each kind that cannot be read
    #[serde(skip)]
    unreachable_since: BTreeMap<Kind, Instant>,
    /// Time of the last successful read, by kind
    #[serde(skip)]
    last_read: BTreeMap<Kind, Instant>,
    /// Origin of the copy of each kind
    #[serde(skip)]
    origins: BTreeMap<Kind, Origin>,
    /// Kinds that followers may read here, as long as the copy is fresh
    #[serde(skip)]
    served: BTreeSet<Kind>,
    /// Latest changes, each with the revision at which it was applied
    #[serde(skip)]
    history: BTreeMap<Kind, VecDeque<(u64, Event)>>,
    /// Revision from which the history is complete
    #[serde(skip)]
    history_start: BTreeMap<Kind, u64>,
    /// Revisions between which the history has differences only, in order. Objects that were written
    /// and removed in between are not in it, so a follower that was told some of that has to list.
    #[serde(skip)]
    gaps: BTreeMap<Kind, VecDeque<(u64, u64)>>,
    /// Followers that wait for a change, by kind
    #[serde(skip)]
    waiters: BTreeMap<Kind, Vec<Sender<()>>>,
}

/// Reply to a follower that asks for changes after a revision
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Changes after that revision, and the revision to continue from
    Changes(Vec<Event>, u64),
    /// No changes yet
    Unchanged,
    /// The history does not reach back to that revision
    Compacted,
    /// This host has no fresh copy of the kind
    Unavailable,
}

impl Mirror {
    /// Replaces all objects of a kind by a complete list
    ///
    /// The history goes on with the differences if the list is a later state, so that not all followers
    /// have to list the kind, too, after this host did.
    pub fn replace(&mut self, now: Instant, kind: Kind, objects: Vec<Object>, position: Position) {
        let Position { era, revision } = position;
        if self.eras.insert(kind, era).unwrap_or(0) != era {
            // Revisions of another era cannot be compared with these.
            self.revisions.remove(&kind);
            self.written_revisions.remove(&kind);
            self.listed_revisions.remove(&kind);
            self.history_start.remove(&kind);
        }
        let known_revision = self.revisions.get(&kind).copied();
        self.listed_revisions.insert(kind, revision);
        let latest_written = objects.iter().map(|object| object.revision).max();
        self.record_written(kind, latest_written.unwrap_or(0));
        let objects_by_name = objects
            .into_iter()
            .map(|object| (object.name.clone(), object));
        let listed: BTreeMap<CompactString, Object> = objects_by_name.collect();
        let previous = self.objects.insert(kind, listed).unwrap_or_default();
        self.mark_read(now, kind);
        self.advance_revision(kind, revision);
        if self.history_start.contains_key(&kind)
            && let Some(known_revision) = known_revision.filter(|known| *known <= revision)
        {
            let events = differences(&previous, &self.objects[&kind]);
            self.extend_history(kind, &events);
            self.add_gap(kind, (known_revision, revision));
        } else {
            self.history.remove(&kind);
            self.gaps.remove(&kind);
            self.history_start.insert(kind, revision);
        }
        self.notify(kind);
    }

    /// Adopts the objects of a kind that another host read in an era of the store
    pub fn adopt(&mut self, kind: Kind, objects: Vec<Object>, era: Era) {
        self.eras.insert(kind, era);
        objects
            .into_iter()
            .for_each(|object| self.put(kind, object));
    }

    /// Applies changes that bring a kind up to a revision of the same era
    pub fn apply_changes(&mut self, kind: Kind, events: &[Event], revision: u64) {
        for event in events {
            match event {
                Event::Put(object) => self.put(kind, object.clone()),
                Event::Removed(name) => self.remove(kind, name),
            }
        }
        self.advance_revision(kind, revision);
        self.extend_history(kind, events);
        if !events.is_empty() {
            self.notify(kind);
        }
    }

    /// Adds changes at the current revision of a kind to its history
    fn extend_history(&mut self, kind: Kind, events: &[Event]) {
        let revision = self.revisions.get(&kind).copied().unwrap_or(0);
        let history = self.history.entry(kind).or_default();
        history.extend(events.iter().map(|event| (revision, event.clone())));
        while history.len() > MAX_HISTORY_EVENTS
            && let Some((dropped_revision, _)) = history.pop_front()
        {
            let start = self.history_start.entry(kind).or_default();
            *start = dropped_revision.max(*start);
        }
    }

    /// Adds a gap to the history of a kind, which forgets what was before the oldest one if they are
    /// many
    fn add_gap(&mut self, kind: Kind, gap: (u64, u64)) {
        let gaps = self.gaps.entry(kind).or_default();
        gaps.push_back(gap);
        if gaps.len() > MAX_GAPS
            && let Some((_, end)) = gaps.pop_front()
        {
            let start = self.history_start.entry(kind).or_default();
            *start = end.max(*start);
        }
    }

    /// Returns whether a follower has to list a kind, as the history does not tell all after a revision
    fn is_compacted(&self, kind: Kind, revision: u64) -> bool {
        let starts_later = |start: &u64| revision < *start;
        let mut gaps = self.gaps.get(&kind).into_iter().flatten();
        self.history_start.get(&kind).is_none_or(starts_later)
            || gaps.any(|(start, end)| *start < revision && revision < *end)
    }

    /// Returns whether followers may read a kind here
    pub fn is_followable(&self, now: Instant, kind: Kind) -> bool {
        self.fresh_until(kind).is_some_and(|until| now < until)
    }

    /// Returns until when followers may read a kind here if the store says nothing more, `None` if
    /// they may not
    pub fn fresh_until(&self, kind: Kind) -> Option<Instant> {
        if !self.served.contains(&kind) || self.unreachable_since.contains_key(&kind) {
            return None;
        }
        self.origin(kind)?.fresh_until()
    }

    /// Returns whether a kind is read from the store itself
    pub fn reads_store(&self, now: Instant, kind: Kind) -> bool {
        let is_direct = self.origin(kind).is_some_and(|origin| origin.hops == 0);
        is_direct && self.is_followable(now, kind)
    }

    /// Records that the store answers, so that open watches at it would show changes
    pub fn confirm(&mut self, now: Instant) {
        for kind in &self.served {
            if let Some(origin) = self.origins.get_mut(kind).filter(|origin| origin.hops == 0) {
                *origin = Origin::new(now);
            }
        }
    }

    /// Returns the changes after a position, for a follower
    pub fn changes_after(&self, now: Instant, kind: Kind, position: Position) -> Update {
        let Position { era, revision } = position;
        if !self.is_followable(now, kind) {
            return Update::Unavailable;
        }
        if era != self.position(kind).era {
            return Update::Compacted;
        }
        if self.is_compacted(kind, revision) {
            return Update::Compacted;
        }
        let latest_revision = self.revisions.get(&kind).copied().unwrap_or(0);
        let history = self.history.get(&kind).into_iter().flatten();
        let newer_events = history.filter(|(event_revision, _)| *event_revision > revision);
        let events: Vec<Event> = newer_events.map(|(_, event)| event.clone()).collect();
        match events.is_empty() {
            true => Update::Unchanged,
            false => Update::Changes(events, latest_revision),
        }
    }

    /// Returns a channel that closes when this kind changes or can no longer be followed here
    pub fn subscribe(&mut self, kind: Kind) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let waiters = self.waiters.entry(kind).or_default();
        waiters.retain(|sender| !sender.is_closed());
        waiters.push(sender);
        receiver
    }

    /// Sets whether followers may read a kind here, as long as the copy is fresh
    pub fn set_served(&mut self, kind: Kind, is_served: bool) {
        let changed = match is_served {
            true => self.served.insert(kind),
            false => self.served.remove(&kind),
        };
        if changed {
            self.notify(kind);
        }
    }

    /// Sets the origin of the copy of a kind
    pub fn set_origin(&mut self, kind: Kind, origin: Origin) {
        self.origins.insert(kind, origin);
    }

    /// Returns the origin of the copy of a kind, `None` if it was never read
    pub fn origin(&self, kind: Kind) -> Option<Origin> {
        self.origins.get(&kind).copied()
    }

    /// Returns the age of the copy of a kind to tell a follower
    pub fn copy_age(&self, now: Instant, kind: Kind) -> CopyAge {
        let origin = self.origin(kind);
        origin.map_or_else(CopyAge::default, |origin| origin.copy_age(now))
    }

    fn notify(&mut self, kind: Kind) {
        // Dropping the senders closes the channels of all waiters.
        self.waiters.remove(&kind);
    }

    /// Stores one object
    pub fn put(&mut self, kind: Kind, object: Object) {
        self.record_written(kind, object.revision);
        let objects = self.objects.entry(kind).or_default();
        objects.insert(object.name.clone(), object);
    }

    fn record_written(&mut self, kind: Kind, revision: u64) {
        let written_entry = self.written_revisions.entry(kind).or_default();
        *written_entry = revision.max(*written_entry);
    }

    /// Removes one object
    pub fn remove(&mut self, kind: Kind, name: &str) {
        if let Some(objects) = self.objects.get_mut(&kind) {
            objects.remove(name);
        }
    }

    /// Returns all objects of a kind
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.objects
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Returns whether any object of a kind is known, read or adopted from another host
    pub fn has_objects(&self, kind: Kind) -> bool {
        self.objects(kind).next().is_some()
    }

    /// Returns whether an object exists
    pub fn contains(&self, kind: Kind, name: &str) -> bool {
        let objects = self.objects.get(&kind);
        objects.is_some_and(|objects| objects.contains_key(name))
    }

    /// Returns a summary of each kind that other hosts compare with their own
    pub fn watermarks(&self) -> BTreeMap<Kind, Watermark> {
        let watermarks = self.objects.iter().map(|(kind, objects)| {
            let written_revision = self.written_revisions.get(kind).copied().unwrap_or(0);
            let watermark = Watermark::new(written_revision, objects.len());
            (*kind, watermark.with_era(self.position(*kind).era))
        });
        watermarks.collect()
    }

    /// Returns the summary of a kind to compare with that of another host
    ///
    /// The other host may know the revision of an object that was written and removed before this
    /// host's last list, which does not contain it. The list has that write all the same.
    pub fn watermark_against(&self, kind: Kind, remote: Watermark) -> Watermark {
        let mut local = self.watermarks().get(&kind).copied().unwrap_or_default();
        let listed = self.listed_revisions.get(&kind).copied().unwrap_or(0);
        if remote.era == local.era && remote.written <= listed {
            local.written = local.written.max(remote.written);
        }
        local
    }

    /// Raises the revision up to which a kind is current
    pub fn advance_revision(&mut self, kind: Kind, revision: u64) {
        let revision_entry = self.revisions.entry(kind).or_default();
        *revision_entry = revision.max(*revision_entry);
    }

    /// Returns the position up to which a kind is current
    pub fn position(&self, kind: Kind) -> Position {
        Position {
            era: self.eras.get(&kind).copied().unwrap_or(0),
            revision: self.revisions.get(&kind).copied().unwrap_or(0),
        }
    }

    /// Returns the position from which another host tells what this one lacks, `None` if the kind was
    /// not read yet
    ///
    /// A watch at the store may have gone past a change that it did not tell, so the position is that of
    /// the newest known write, or of the last list.
    pub fn resume_position(&self, kind: Kind) -> Option<Position> {
        let position = self.position(kind);
        let written = self.written_revisions.get(&kind).copied();
        let known = written.max(self.listed_revisions.get(&kind).copied());
        self.was_read(kind).then_some(Position {
            revision: position.revision.min(known.unwrap_or(0)),
            ..position
        })
    }

    /// Returns the latest era of the store that any kind was read in
    pub fn era(&self) -> Era {
        self.eras.values().copied().max().unwrap_or(0)
    }

    /// Records a successful read of a kind; returns how long the kind was unreachable before
    pub fn mark_read(&mut self, now: Instant, kind: Kind) -> Option<std::time::Duration> {
        self.last_read.insert(kind, now);
        let since = self.unreachable_since.remove(&kind)?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that a kind cannot be read; returns whether it could be read before
    pub fn mark_unreachable(&mut self, now: Instant, kind: Kind) -> bool {
        let mut is_new = false;
        self.unreachable_since.entry(kind).or_insert_with(|| {
            is_new = true;
            now
        });
        self.set_served(kind, false);
        is_new
    }

    /// Returns whether any kind cannot be read at the moment
    pub fn is_store_unreachable(&self) -> bool {
        !self.unreachable_since.is_empty()
    }

    /// Returns whether a kind was read in the current era and can be read at the moment
    pub fn is_readable(&self, kind: Kind) -> bool {
        self.is_current(kind) && self.was_read(kind) && !self.unreachable_since.contains_key(&kind)
    }

    /// Returns whether a kind was read in the current era of the store
    pub fn is_current(&self, kind: Kind) -> bool {
        self.position(kind).era == self.era()
    }

    /// Returns whether a kind was ever read from a source this host follows
    pub fn was_read(&self, kind: Kind) -> bool {
        self.last_read.contains_key(&kind)
    }
}

/// Returns the changes that lead from one state of a kind to another
fn differences(
    previous: &BTreeMap<CompactString, Object>,
    current: &BTreeMap<CompactString, Object>,
) -> Vec<Event> {
    let removed = previous
        .keys()
        .filter(|name| !current.contains_key(*name))
        .map(|name| Event::Removed(name.clone()));
    let put = current
        .values()
        .filter(|object| previous.get(&object.name) != Some(*object))
        .map(|object| Event::Put(object.clone()));
    removed.chain(put).collect()
}
