//! Configuration updates between hosts: the newer audit entries, or the whole revision.
//!
//! An audit entry contains the patch that created its revision, so a host can compute the next
//! revision from its own. It compares the resulting undo patch with that of the entry; if they
//! differ, its document differs from the sender's and it needs the whole revision.

use serde::{Deserialize, Serialize};

use super::accept::next_revision;
use super::{Audit, Error, Revision, diff, locate, merge};
use crate::id::Version;

/// Prefix that distinguishes an encoded [`Changes`] from a whole revision
const CHANGES_PREFIX: &[u8] = b"{\"since\":";

#[derive(Serialize, Deserialize)]
struct Changes {
    since: Vec<Audit>,
}

impl Revision {
    /// Encodes the update for a host whose revision has the given number
    pub fn update_since(&self, number: Version) -> Result<Vec<u8>, Error> {
        let since = self.audit.iter().filter(|entry| entry.number > number);
        let since: Vec<Audit> = since.cloned().collect();
        let first = since.first().map(|entry| entry.number);
        let whole = self.encode()?;
        if number == 0 || first != Some(number + 1) {
            return Ok(whole);
        }
        let changes = serde_json::to_vec(&Changes { since }).map_err(unreadable)?;
        debug_assert!(changes.starts_with(CHANGES_PREFIX));
        Ok(if changes.len() < whole.len() {
            changes
        } else {
            whole
        })
    }

    /// Returns the revision after applying an update from another host
    pub fn apply_update(&self, bytes: &[u8]) -> Result<Self, Error> {
        if !bytes.starts_with(CHANGES_PREFIX) {
            return Self::decode(bytes);
        }
        let changes: Changes = serde_json::from_slice(bytes).map_err(unreadable)?;
        let mut revision = self.clone();
        for entry in changes.since {
            if entry.number > revision.number {
                revision = revision.apply_entry(entry)?;
            }
        }
        Ok(revision)
    }

    fn apply_entry(&self, entry: Audit) -> Result<Self, Error> {
        let number = entry.number;
        let mismatch =
            || Error::Unreadable(format!("change {number} does not follow {}", self.number));
        if number != self.number + 1 {
            return Err(mismatch());
        }
        let before = serde_json::to_value(&self.document).map_err(unreadable)?;
        let document = locate::parse(&merge(&before, &entry.change)).map_err(|_| mismatch())?;
        let after = serde_json::to_value(&document).map_err(unreadable)?;
        if diff(&after, &before) != entry.undo {
            return Err(mismatch());
        }
        next_revision(self, document, entry).map(|(revision, _)| revision)
    }
}

fn unreadable(error: serde_json::Error) -> Error {
    Error::Unreadable(error.to_string())
}
