//! Memory of a process for requests, and what is done first when it is short.
//!
//! | level | held of the budget | what is done |
//! | --- | --- | --- |
//! | [`Level::Ample`] | up to a quarter | everything |
//! | [`Level::Tight`] | up to all of it | no more bytes are buffered that serve only a retry |
//! | [`Level::Short`] | more | new requests are refused as well |
//!
//! In the last sixteenth before that, requests of a route are refused that holds more than half of the
//! budget itself, so that callers of one route that do not read leave room for those of others.
//!
//! What was admitted may always go on, so that more than the budget can be held: by what each admitted
//! request may still buffer. A [`Hold`] says what its owner holds now and returns it when dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Part of a process's memory limit that requests may take; the rest is for the copy of the store,
/// for other hosts, and what the allocator adds
const REQUEST_RATIO: f64 = 0.4;

/// Part of the budget up to which bytes are buffered that serve only a retry
const BUFFER_RATIO: f64 = 0.25;

/// Part of the budget that is kept for routes which hold less than [`MAJOR_RATIO`] of it
const RESERVED_RATIO: f64 = 1.0 / 16.0;

/// Part of the budget from which on a route is refused what is kept for others
const MAJOR_RATIO: f64 = 0.5;

/// Memory limit below which a process is not started; two fifths of it hold some 400 requests in flight, or
/// those of one connection with all that is buffered for them
pub const MIN_PROCESS_BYTES: u64 = 16 << 20;

/// Memory of a request in flight without long bodies, in bytes: its tasks, heads and one piece of a body
pub const REQUEST_BYTES: usize = 16 << 10;

/// What a process may do with the memory that is left
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Everything
    #[default]
    Ample,
    /// Buffer nothing that serves only a retry
    Tight,
    /// Refuse new requests, too
    Short,
}

impl Level {
    /// Returns the name in logs
    pub fn name(self) -> &'static str {
        match self {
            Self::Ample => "ample",
            Self::Tight => "tight",
            Self::Short => "short",
        }
    }
}

fn request_bytes(memory_bytes: u64) -> usize {
    (memory_bytes as f64 * REQUEST_RATIO) as usize
}

/// Budget of all requests of a process, in bytes
#[derive(Debug)]
pub struct Budget {
    limit: Cell<usize>,
    held: Cell<usize>,
}

impl Budget {
    /// Creates the budget of a process that may have `memory_bytes` in all
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            limit: Cell::new(request_bytes(memory_bytes)),
            held: Cell::new(0),
        }
    }

    /// Changes what the process may have in all; what is held stays
    pub fn resize(&self, memory_bytes: u64) {
        self.limit.set(request_bytes(memory_bytes));
    }

    /// Returns the budget in bytes
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Returns the number of bytes that are held
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns what may be done now
    pub fn level(&self) -> Level {
        let held = self.held.get();
        let limit = self.limit.get();
        if held > limit {
            Level::Short
        } else if held as f64 > limit as f64 * BUFFER_RATIO {
            Level::Tight
        } else {
            Level::Ample
        }
    }

    /// Returns whether bytes may be buffered that serve only a retry
    pub fn allows_buffers(&self) -> bool {
        self.level() == Level::Ample
    }

    /// Returns whether a request that already holds its part may be served
    pub fn admits(&self) -> bool {
        self.level() != Level::Short
    }

    /// Returns the same for a request of a route that has `running` others in flight
    pub fn admits_route(&self, running: usize) -> bool {
        let limit = self.limit.get() as f64;
        let is_reserved = self.held.get() as f64 > limit * (1.0 - RESERVED_RATIO);
        let is_major = running.saturating_mul(REQUEST_BYTES) as f64 > limit * MAJOR_RATIO;
        self.admits() && !(is_reserved && is_major)
    }

    fn change(&self, from: usize, to: usize) {
        self.held.set((self.held.get() + to).saturating_sub(from));
    }
}

/// Bytes of a budget that one owner holds
#[derive(Debug)]
pub struct Hold {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Hold {
    /// Takes bytes of a budget, even if it is short
    pub fn new(budget: &Rc<Budget>, bytes: usize) -> Self {
        budget.change(0, bytes);
        Self {
            budget: budget.clone(),
            bytes,
        }
    }

    /// Changes the number of bytes held
    pub fn set(&mut self, bytes: usize) {
        self.budget.change(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.budget.change(self.bytes, 0);
    }
}
