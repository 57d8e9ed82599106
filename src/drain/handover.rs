//! Selects the hosts that are offered the once-only table of a stopping host.
//!
//! Only one host may receive fresh tickets, which were never presented and may still run. They are
//! offered to the next host only if the previous one certainly did not take the table. After an
//! offer with an unknown outcome, later hosts receive stored responses to replay and no tickets to
//! run.

use std::collections::VecDeque;

use crate::id::HostId;
use crate::once::{Snapshot, SnapshotEntry};

/// Maximum number of hosts to which a table is offered
const MAX_OFFERS: usize = 3;

/// Outcome of an offer
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The other host has taken over the table
    Taken,
    /// The other host certainly did not take over the table
    NotTaken,
    /// The other host may have taken over the table
    Unknown,
}

/// Offer of a table to one host
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Host that is offered the table
    pub to: HostId,
    /// Contents of the table
    pub snapshots: Vec<Snapshot>,
}

/// Handover of an exported table
#[derive(Debug)]
pub struct Handover {
    snapshots: Vec<Snapshot>,
    candidates: VecDeque<HostId>,
    pending: Option<HostId>,
    successor: Option<HostId>,
}

impl Handover {
    /// Creates a handover of an exported table to one of the candidates, best first
    pub fn new(snapshots: Vec<Snapshot>, candidates: impl IntoIterator<Item = HostId>) -> Self {
        Self {
            snapshots,
            candidates: candidates.into_iter().take(MAX_OFFERS).collect(),
            pending: None,
            successor: None,
        }
    }

    /// Drops stored responses, lowest ticket numbers first, until the rest take at most `max_bytes`
    #[must_use]
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Self {
        let entries = self
            .snapshots
            .iter()
            .flat_map(|snapshot| snapshot.entries.values());
        let mut total_bytes: usize = entries.map(stored_bytes).sum();
        let snapshots = self.snapshots.iter_mut();
        for entry in snapshots.flat_map(|snapshot| snapshot.entries.values_mut()) {
            if total_bytes <= max_bytes {
                break;
            }
            let freed_bytes = stored_bytes(entry);
            if freed_bytes > 0 {
                total_bytes -= freed_bytes;
                *entry = SnapshotEntry::Spent;
            }
        }
        self
    }

    /// Returns the next offer, or `None` if the table was taken or no candidate is left
    pub fn next_offer(&mut self) -> Option<Offer> {
        assert!(
            self.pending.is_none(),
            "the previous offer is still pending"
        );
        if self.successor.is_some() {
            return None;
        }
        let to = self.candidates.pop_front()?;
        self.pending = Some(to.clone());
        let snapshots = self.snapshots.clone();
        Some(Offer { to, snapshots })
    }

    /// Records the outcome of the pending offer
    pub fn record_outcome(&mut self, outcome: OfferOutcome) {
        let to = self.pending.take();
        match outcome {
            OfferOutcome::Taken => self.successor = to,
            OfferOutcome::NotTaken => {}
            OfferOutcome::Unknown => {
                for snapshot in &mut self.snapshots {
                    snapshot.fresh = false;
                }
            }
        }
    }

    /// Host that has taken over the table
    pub fn successor(&self) -> Option<&HostId> {
        self.successor.as_ref()
    }

    /// Whether the table was taken or no candidate is left
    pub fn is_finished(&self) -> bool {
        self.pending.is_none() && (self.successor.is_some() || self.candidates.is_empty())
    }
}

fn stored_bytes(entry: &SnapshotEntry) -> usize {
    match entry {
        SnapshotEntry::Served(response) => {
            let headers = response.headers.iter();
            let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            response.body.len() + header_bytes
        }
        SnapshotEntry::Spent | SnapshotEntry::Unknown => 0,
    }
}
