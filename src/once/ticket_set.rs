//! Tickets of one incarnation and their states.
//!
//! Only presented tickets are stored. Numbers below the floor are no longer fresh, so an entry
//! below the floor can be removed once its replay time has passed.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::{Admission, RunOutcome, Secret, Snapshot, SnapshotEntry, StoredResponse};

/// How long a ticket may be presented for the first time after it was issued
pub const TICKET_TTL: Duration = Duration::from_secs(120);

/// How long a finished ticket is stored
pub const REPLAY_TTL: Duration = Duration::from_secs(120);

/// Maximum number of presented tickets in a ticket set
pub const MAX_ENTRIES: usize = 50_000;

/// Maximum total size of the responses stored in a ticket set
pub const MAX_STORED_BYTES: usize = 16 << 20;

/// Interval between checkpoints of the issued numbers
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(super) struct TicketSet {
    pub(super) secret: Secret,
    fresh: bool,
    next: u64,
    floor: u64,
    // Next number to issue at the time of each checkpoint, oldest first.
    checkpoints: VecDeque<(Instant, u64)>,
    entries: BTreeMap<u64, Entry>,
    stored_bytes: usize,
    // Numbers of the tickets with stored responses, oldest first.
    served: VecDeque<u64>,
    imported_at: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    state: State,
    updated_at: Instant,
}

#[derive(Debug)]
enum State {
    Running,
    Served(StoredResponse),
    Spent,
    Unknown,
}

impl TicketSet {
    pub(super) fn new(secret: Secret) -> Self {
        Self {
            secret,
            fresh: true,
            next: 1,
            floor: 1,
            checkpoints: VecDeque::new(),
            entries: BTreeMap::new(),
            stored_bytes: 0,
            served: VecDeque::new(),
            imported_at: None,
        }
    }

    pub(super) fn with_snapshot(now: Instant, snapshot: Snapshot) -> Self {
        let mut tickets = Self::new(snapshot.secret);
        tickets.fresh = snapshot.fresh;
        tickets.floor = snapshot.floor;
        tickets.next = snapshot.next;
        tickets.checkpoints.push_back((now, snapshot.next));
        tickets.imported_at = Some(now);
        for (number, entry) in snapshot.entries {
            let state = match entry {
                SnapshotEntry::Served(response) => State::Served(response),
                SnapshotEntry::Spent => State::Spent,
                SnapshotEntry::Unknown => State::Unknown,
            };
            tickets.insert(number, state, now);
        }
        tickets
    }

    pub(super) fn issue(&mut self, now: Instant) -> u64 {
        if self
            .checkpoints
            .back()
            .is_none_or(|(at, _)| now >= *at + CHECKPOINT_INTERVAL)
        {
            self.checkpoints.push_back((now, self.next));
        }
        self.next += 1;
        self.next - 1
    }

    pub(super) fn begin(&mut self, now: Instant, number: u64, is_closed: bool) -> Admission {
        if let Some(entry) = self.entries.get(&number) {
            return match &entry.state {
                State::Running => Admission::Running,
                State::Served(response) => Admission::Replay(response.clone()),
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
                updated_at: now,
            },
        );
        Admission::Run
    }

    pub(super) fn finish(&mut self, now: Instant, number: u64, outcome: RunOutcome) {
        let Some(entry) = self.entries.get(&number) else {
            return;
        };
        let is_undecided = matches!(entry.state, State::Running | State::Unknown);
        assert!(
            is_undecided,
            "ticket {number} finished twice, so its request ran twice"
        );
        match outcome {
            RunOutcome::Served(response) => self.insert(number, State::Served(response), now),
            RunOutcome::Unknown => self.insert(number, State::Unknown, now),
            RunOutcome::NotRun => {
                self.entries.remove(&number);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((_, number)) = self
            .checkpoints
            .front()
            .filter(|(at, _)| now >= *at + TICKET_TTL)
        {
            // Numbers after this checkpoint were issued until the next one.
            self.floor = self
                .checkpoints
                .get(1)
                .map_or(self.next, |(_, next)| *next)
                .max(*number);
            self.checkpoints.pop_front();
        }
        let floor = self.floor;
        self.entries.retain(|number, entry| {
            matches!(entry.state, State::Running)
                || *number >= floor
                || now < entry.updated_at + REPLAY_TTL
        });
        let entries = &self.entries;
        self.served.retain(|number| entries.contains_key(number));
        self.stored_bytes = entries.values().map(Entry::stored_bytes).sum();
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let ttl = TICKET_TTL + REPLAY_TTL;
        self.entries.is_empty() && self.imported_at.is_some_and(|at| now >= at + ttl)
    }

    pub(super) fn running_count(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| matches!(entry.state, State::Running))
            .count()
    }

    pub(super) fn export(&mut self, fresh: bool) -> Snapshot {
        let snapshot_entry = |entry: &Entry| match &entry.state {
            State::Served(response) => SnapshotEntry::Served(response.clone()),
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
                .map(|(number, entry)| (*number, snapshot_entry(entry)))
                .collect(),
        }
    }

    fn insert(&mut self, number: u64, state: State, now: Instant) {
        if matches!(state, State::Served(_)) {
            self.served.push_back(number);
        }
        let entry = Entry {
            state,
            updated_at: now,
        };
        self.stored_bytes += entry.stored_bytes();
        self.entries.insert(number, entry);
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some(oldest) = self.served.pop_front() else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&oldest) else {
                continue;
            };
            self.stored_bytes -= entry.stored_bytes();
            entry.state = State::Spent;
        }
    }
}

impl Entry {
    fn stored_bytes(&self) -> usize {
        let State::Served(response) = &self.state else {
            return 0;
        };
        let header_bytes: usize = response
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        response.body.len() + header_bytes
    }
}
