//! Planned stops: when a stopping host hands its tickets over, and when it may end.
//!
//! A stopping host goes on serving callers that have it from a cached look-up, then hands its
//! once-only table over, then finishes what runs. [`Stop`] says which of these it is at;
//! [`Handover`] says which host may be offered the table, and what of it.

use std::time::{Duration, Instant};

pub use self::handover::{Handover, Offer, OfferOutcome};

mod handover;

#[cfg(test)]
mod tests;

/// Longest time a planned stop waits for running requests
pub const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for other hosts to hear of a stop and to offer the host no more
pub const PROPAGATION_DELAY: Duration = Duration::from_secs(2);

/// What a stopping host is at
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves callers that have it from a cached look-up, and runs its tickets
    Serving,
    /// Runs no ticket any more and offers its table to others
    HandingOver,
    /// Passes tickets on and finishes what runs
    Draining,
    /// May end
    Done,
}

/// What is still to do at a stopping host
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Requests in progress
    pub running: usize,
    /// Whether the once-only table was taken over, or nobody is left to take it
    pub is_handed_over: bool,
}

/// One planned stop
#[derive(Clone, Debug)]
pub struct Stop {
    serve_until: Instant,
    limit: Duration,
    end_by: Option<Instant>,
    phase: Phase,
}

impl Stop {
    /// Begin to stop
    ///
    /// `lifetime` is how long callers keep a look-up, zero where none was answered. `limit` is how
    /// long requests and handover may take after that.
    pub fn new(now: Instant, lifetime: Duration, limit: Duration) -> Self {
        let cached = match lifetime {
            Duration::ZERO => Duration::ZERO,
            lifetime => lifetime + PROPAGATION_DELAY,
        };
        Self {
            serve_until: now + cached,
            limit,
            end_by: None,
            phase: Phase::Serving,
        }
    }

    /// Wait no longer for callers with cached look-ups
    pub fn skip_lookup_wait(&mut self, now: Instant) {
        self.serve_until = self.serve_until.min(now);
    }

    /// Phase at this moment; phases only follow one another
    pub fn advance(&mut self, now: Instant, progress: Progress) -> Phase {
        let before = self.phase;
        self.phase = self.follow(now, progress);
        assert!(self.phase >= before, "a planned stop went back");
        self.phase
    }

    /// Moment at which it ends whatever runs, once it hands over
    pub fn deadline(&self) -> Option<Instant> {
        self.end_by
    }

    fn follow(&mut self, now: Instant, progress: Progress) -> Phase {
        if now < self.serve_until && self.phase == Phase::Serving {
            return Phase::Serving;
        }
        let end_by = *self.end_by.get_or_insert(now + self.limit);
        if self.phase == Phase::Done || now >= end_by {
            return Phase::Done;
        }
        match (progress.is_handed_over, progress.running) {
            (false, _) => self.phase.max(Phase::HandingOver),
            (true, 0) => Phase::Done,
            (true, _) => Phase::Draining,
        }
    }
}
