//! Revision in force in this process.

use std::sync::Arc;

use super::Revision;
use crate::id::Version;

/// Result of applying a revision, by comparing its number with the number in force
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The revision is newer and now in force
    Newer,
    /// The same number was already in force
    Same,
    /// A higher number is in force, so the revision was ignored
    Older,
}

/// Holds the revision in force; its number never decreases
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: Arc<Revision>,
}

impl Store {
    /// Creates a store without a configuration, at number 0
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force
    pub fn revision(&self) -> &Arc<Revision> {
        &self.revision
    }

    /// Number in force; 0 before the first configuration
    pub fn number(&self) -> Version {
        self.revision.number
    }

    /// Puts a revision in force if its number is higher
    pub fn apply(&mut self, revision: Revision) -> Applied {
        let before = self.number();
        if revision.number < before {
            return Applied::Older;
        }
        if revision.number == before {
            return Applied::Same;
        }
        self.revision = Arc::new(revision);
        assert!(self.number() > before, "configuration number decreased");
        Applied::Newer
    }
}
