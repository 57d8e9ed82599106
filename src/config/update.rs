//! What a host sends to another one that has a lower number: the changes since, or all of it.
//!
//! An audit entry holds the patch that made its number, so a host works the next revision out from
//! its own; the patch that leads back has to fit as well, or the whole revision is needed.

use serde::{Deserialize, Serialize};

use super::accept::next_revision;
use super::{Audit, Error, Revision, diff, locate, merge};
use crate::id::Version;

/// Start of the bytes that hold changes instead of a whole revision
const CHANGES: &[u8] = b"{\"since\":";

#[derive(Serialize, Deserialize)]
struct Changes {
    since: Vec<Audit>,
}

impl Revision {
    /// Bytes for a host that has number `above`
    pub fn update_since(&self, above: Version) -> Result<Vec<u8>, Error> {
        let since = self.audit.iter().filter(|entry| entry.number > above);
        let since: Vec<Audit> = since.cloned().collect();
        let first = since.first().map(|entry| entry.number);
        let whole = self.encode()?;
        if above == 0 || first != Some(above + 1) {
            return Ok(whole);
        }
        let changes = serde_json::to_vec(&Changes { since }).map_err(stored)?;
        debug_assert!(changes.starts_with(CHANGES));
        Ok(if changes.len() < whole.len() {
            changes
        } else {
            whole
        })
    }

    /// Revision after an update that another host sent
    pub fn apply_update(&self, bytes: &[u8]) -> Result<Self, Error> {
        if !bytes.starts_with(CHANGES) {
            return Self::decode(bytes);
        }
        let changes: Changes = serde_json::from_slice(bytes).map_err(stored)?;
        let mut revision = self.clone();
        for entry in changes.since {
            if entry.number > revision.number {
                revision = revision.next(entry)?;
            }
        }
        Ok(revision)
    }

    fn next(&self, entry: Audit) -> Result<Self, Error> {
        let number = entry.number;
        let misfit =
            || Error::Unreadable(format!("change {number} does not follow {}", self.number));
        if number != self.number + 1 {
            return Err(misfit());
        }
        let before = serde_json::to_value(&self.document).map_err(stored)?;
        let document = locate::read(&merge(&before, &entry.change)).map_err(|_| misfit())?;
        let after = serde_json::to_value(&document).map_err(stored)?;
        if diff(&after, &before) != entry.undo {
            return Err(misfit());
        }
        next_revision(self, document, entry).map(|(revision, _)| revision)
    }
}

fn stored(error: serde_json::Error) -> Error {
    Error::Unreadable(error.to_string())
}
