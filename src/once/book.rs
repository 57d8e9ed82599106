//! Tickets of one incarnation: which may run, which ran, which may be forgotten.
//!
//! Only presented tickets are stored. Numbers below the floor are no longer fresh, so an entry may
//! be dropped once it ended long ago and lies below the floor.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::{Admission, RunOutcome, Secret, Snapshot, SnapshotEntry, StoredResponse};

/// Time within which a ticket has to be presented first
pub const TICKET_TTL: Duration = Duration::from_secs(120);

/// Time for which an ended ticket is remembered
pub const REPLAY_TTL: Duration = Duration::from_secs(120);

/// Most presented tickets that a book remembers
pub const MAX_ENTRIES: usize = 50_000;

/// Most bytes of answers that a book keeps
pub const MAX_STORED_BYTES: usize = 16 << 20;

/// Time between two marks of the numbers issued
const MARK: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(super) struct Book {
    pub(super) secret: Secret,
    fresh: bool,
    next: u64,
    floor: u64,
    marks: VecDeque<(Instant, u64)>,
    entries: BTreeMap<u64, Entry>,
    kept: usize,
    // Numbers whose answers are kept, the oldest first.
    ends: VecDeque<u64>,
    since: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    state: State,
    at: Instant,
}

#[derive(Debug)]
enum State {
    Running,
    Served(StoredResponse),
    Spent,
    Unknown,
}

impl Book {
    pub(super) fn new(secret: Secret) -> Self {
        Self {
            secret,
            fresh: true,
            next: 1,
            floor: 1,
            marks: VecDeque::new(),
            entries: BTreeMap::new(),
            kept: 0,
            ends: VecDeque::new(),
            since: None,
        }
    }

    pub(super) fn with_snapshot(now: Instant, snapshot: Snapshot) -> Self {
        let mut book = Self::new(snapshot.secret);
        book.fresh = snapshot.fresh;
        book.floor = snapshot.floor;
        book.next = snapshot.next;
        book.marks.push_back((now, snapshot.next));
        book.since = Some(now);
        for (number, ended) in snapshot.entries {
            let state = match ended {
                SnapshotEntry::Served(kept) => State::Served(kept),
                SnapshotEntry::Spent => State::Spent,
                SnapshotEntry::Unknown => State::Unknown,
            };
            book.put(number, state, now);
        }
        book
    }

    pub(super) fn issue(&mut self, now: Instant) -> u64 {
        if self.marks.back().is_none_or(|(at, _)| now >= *at + MARK) {
            self.marks.push_back((now, self.next));
        }
        self.next += 1;
        self.next - 1
    }

    pub(super) fn begin(&mut self, now: Instant, number: u64, is_closed: bool) -> Admission {
        if let Some(entry) = self.entries.get(&number) {
            return match &entry.state {
                State::Running => Admission::Running,
                State::Served(kept) => Admission::Replay(kept.clone()),
                State::Spent => Admission::Spent,
                State::Unknown => Admission::Unknown,
            };
        }
        if number >= self.next {
            return Admission::Invalid;
        }
        if is_closed {
            return Admission::Stopping;
        }
        if number < self.floor || !self.fresh {
            return Admission::Unknown;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return Admission::Full;
        }
        self.entries.insert(
            number,
            Entry {
                state: State::Running,
                at: now,
            },
        );
        Admission::Run
    }

    pub(super) fn finish(&mut self, now: Instant, number: u64, finish: RunOutcome) {
        let Some(entry) = self.entries.get(&number) else {
            return;
        };
        let is_open = matches!(entry.state, State::Running | State::Unknown);
        assert!(is_open, "ticket {number} ended twice: it ran twice");
        match finish {
            RunOutcome::Served(kept) => self.put(number, State::Served(kept), now),
            RunOutcome::Unknown => self.put(number, State::Unknown, now),
            RunOutcome::NotRun => {
                self.entries.remove(&number);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((_, number)) = self.marks.front().filter(|(at, _)| now >= *at + TICKET_TTL) {
            // The numbers of a mark were issued until the next mark.
            self.floor = self
                .marks
                .get(1)
                .map_or(self.next, |(_, next)| *next)
                .max(*number);
            self.marks.pop_front();
        }
        let floor = self.floor;
        self.entries.retain(|number, entry| {
            matches!(entry.state, State::Running) || *number >= floor || now < entry.at + REPLAY_TTL
        });
        let entries = &self.entries;
        self.ends.retain(|number| entries.contains_key(number));
        self.kept = entries.values().map(Entry::size).sum();
    }

    pub(super) fn is_over(&self, now: Instant) -> bool {
        let term = TICKET_TTL + REPLAY_TTL;
        self.entries.is_empty() && self.since.is_some_and(|since| now >= since + term)
    }

    pub(super) fn running(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| matches!(entry.state, State::Running))
            .count()
    }

    pub(super) fn export(&mut self, fresh: bool) -> Snapshot {
        let ended = |entry: &Entry| match &entry.state {
            State::Served(kept) => SnapshotEntry::Served(kept.clone()),
            State::Spent => SnapshotEntry::Spent,
            State::Running | State::Unknown => SnapshotEntry::Unknown,
        };
        Snapshot {
            issuer: CompactString::default(),
            incarnation: 0,
            secret: self.secret,
            fresh: fresh && self.fresh,
            floor: self.floor,
            next: self.next,
            entries: self
                .entries
                .iter()
                .map(|(number, entry)| (*number, ended(entry)))
                .collect(),
        }
    }

    fn put(&mut self, number: u64, state: State, at: Instant) {
        if matches!(state, State::Served(_)) {
            self.ends.push_back(number);
        }
        let entry = Entry { state, at };
        self.kept += entry.size();
        self.entries.insert(number, entry);
        while self.kept > MAX_STORED_BYTES {
            let Some(oldest) = self.ends.pop_front() else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&oldest) else {
                continue;
            };
            self.kept -= entry.size();
            entry.state = State::Spent;
        }
    }
}

impl Entry {
    fn size(&self) -> usize {
        let State::Served(kept) = &self.state else {
            return 0;
        };
        let headers: usize = kept
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        kept.body.len() + headers
    }
}
