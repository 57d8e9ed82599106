//! Who is offered the once-only table of a stopping host, and what of it.
//!
//! The right to run tickets that were never presented goes to one host only. It moves on to the
//! next after an offer that certainly was not taken. After an offer whose end is unknown, later
//! hosts get the answers to replay and nothing to run.

use std::collections::VecDeque;

use crate::id::HostId;
use crate::once::{Snapshot, SnapshotEntry};

/// Hosts that a table is offered to
const OFFERS: usize = 3;

/// How an offer ended
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The other host has the table
    Taken,
    /// The other host certainly has nothing of it
    NotTaken,
    /// The other host may have it
    Unknown,
}

/// Table for one host
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Host to offer it to
    pub to: HostId,
    /// What it gets
    pub snapshots: Vec<Snapshot>,
}

/// Handover of one table
#[derive(Debug)]
pub struct Handover {
    snapshots: Vec<Snapshot>,
    candidates: VecDeque<HostId>,
    open: Option<HostId>,
    successor: Option<HostId>,
}

impl Handover {
    /// Handover of an exported table to one of the candidates, the best first
    pub fn new(snapshots: Vec<Snapshot>, candidates: impl IntoIterator<Item = HostId>) -> Self {
        Self {
            snapshots,
            candidates: candidates.into_iter().take(OFFERS).collect(),
            open: None,
            successor: None,
        }
    }

    /// The same with answers left out, those of the lowest numbers first, until the kept ones
    /// take at most `bytes`
    #[must_use]
    pub fn with_max_bytes(mut self, bytes: usize) -> Self {
        let kept = self
            .snapshots
            .iter()
            .flat_map(|snapshot| snapshot.entries.values());
        let mut total: usize = kept.map(size).sum();
        let entries = self.snapshots.iter_mut();
        for ended in entries.flat_map(|snapshot| snapshot.entries.values_mut()) {
            if total <= bytes {
                break;
            }
            let freed = size(ended);
            if freed > 0 {
                total -= freed;
                *ended = SnapshotEntry::Spent;
            }
        }
        self
    }

    /// Next host to offer the table to; `None` when it was taken or nobody is left
    pub fn next_offer(&mut self) -> Option<Offer> {
        assert!(self.open.is_none(), "the offer before has not ended");
        if self.successor.is_some() {
            return None;
        }
        let to = self.candidates.pop_front()?;
        self.open = Some(to.clone());
        let snapshots = self.snapshots.clone();
        Some(Offer { to, snapshots })
    }

    /// Learn how the open offer ended
    pub fn record_outcome(&mut self, given: OfferOutcome) {
        let to = self.open.take();
        match given {
            OfferOutcome::Taken => self.successor = to,
            OfferOutcome::NotTaken => {}
            OfferOutcome::Unknown => {
                for snapshot in &mut self.snapshots {
                    snapshot.fresh = false;
                }
            }
        }
    }

    /// Host that has the table
    pub fn successor(&self) -> Option<&HostId> {
        self.successor.as_ref()
    }

    /// Whether nothing is left to offer
    pub fn is_finished(&self) -> bool {
        self.open.is_none() && (self.successor.is_some() || self.candidates.is_empty())
    }
}

fn size(ended: &SnapshotEntry) -> usize {
    match ended {
        SnapshotEntry::Served(kept) => {
            let headers = kept.headers.iter();
            let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            kept.body.len() + headers
        }
        SnapshotEntry::Spent | SnapshotEntry::Unknown => 0,
    }
}
