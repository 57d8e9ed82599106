//! What a connection has carried, and how the answer to its next request can be told from late copies
//! of earlier answers.

use std::collections::BTreeSet;

use crate::util::stable_hash;

/// Maximum number of requests on one connection; bounds the memory of their ids
const MAX_REQUESTS: usize = 256;

/// How the answer to a request is told from late copies of earlier answers on its connection
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distinction {
    /// There are no earlier answers
    First,
    /// By the id, which the connection has not carried before
    Id,
    /// By nothing
    Ambiguous,
}

/// Requests that a connection has carried
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct History {
    /// Hashes of their ids; two ids with one hash only cost another connection
    ids: BTreeSet<u64>,
    requests: usize,
}

impl History {
    /// Creates the history of a new connection
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how the answer to a request with this id would be told from earlier ones
    pub fn distinction(&self, id: Option<&str>) -> Distinction {
        match id {
            _ if self.requests == 0 => Distinction::First,
            Some(id) if !self.has_carried(id) => Distinction::Id,
            _ => Distinction::Ambiguous,
        }
    }

    /// Returns whether a request with this id may be sent on the connection
    pub fn may_carry(&self, id: Option<&str>) -> bool {
        !self.is_full() && self.distinction(id) != Distinction::Ambiguous
    }

    /// Returns whether a request with this id was sent on the connection
    pub fn has_carried(&self, id: &str) -> bool {
        self.ids.contains(&stable_hash(&id))
    }

    /// Returns whether the connection has carried as many requests as it may
    pub fn is_full(&self) -> bool {
        self.requests >= MAX_REQUESTS
    }

    /// Records a request that is sent on the connection
    pub fn record(&mut self, id: Option<&str>) {
        self.requests += 1;
        self.ids.extend(id.map(|id| stable_hash(&id)));
    }
}
