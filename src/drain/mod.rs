//! Planned stops: the phases of a stopping host and the handover of its tickets.
//!
//! A stopping host first serves callers that still use it from a cached lookup, then hands over its
//! once-only table, then finishes requests in flight. [`Stop`] tracks the phase; [`Handover`]
//! selects the hosts that are offered the table, and the part of it that each may receive. [`Grace`]
//! tells which requests a host takes that has to end at a fixed time, by their limits and by the
//! [`Longest`] recent ones.

use std::time::{Duration, Instant};

pub use self::grace::Grace;
pub use self::handover::{Handover, Offer, OfferOutcome};
pub use self::longest::{Longest, Start};

mod grace;
mod handover;
mod longest;

#[cfg(test)]
mod tests;

/// How long a planned stop waits for requests in flight, unless a service has a longer deadline
pub const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time until other hosts have received the announcement of a stop and no longer offer the host
pub const PROPAGATION_DELAY: Duration = Duration::from_secs(2);

/// Phase of a planned stop
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves callers with a cached lookup, and runs its own tickets
    Serving,
    /// Runs no tickets and offers its once-only table to other hosts
    HandingOver,
    /// Forwards tickets to the successor and finishes requests in flight
    Draining,
    /// The process may exit
    Done,
}

/// Progress of a stopping host
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of requests in flight
    pub running: usize,
    /// Whether the once-only table was taken over, or no candidate is left
    pub is_handed_over: bool,
}

/// Planned stop of this host
#[derive(Clone, Debug)]
pub struct Stop {
    serve_until: Instant,
    timeout: Duration,
    deadline: Option<Instant>,
    phase: Phase,
}

impl Stop {
    /// Starts a planned stop
    ///
    /// `lookup_lifetime` is how long callers cache a lookup, or zero if this host answered none.
    /// `timeout` limits how long the handover and requests in flight may take after that.
    pub fn new(now: Instant, lookup_lifetime: Duration, timeout: Duration) -> Self {
        let cache_wait = match lookup_lifetime {
            Duration::ZERO => Duration::ZERO,
            lifetime => lifetime + PROPAGATION_DELAY,
        };
        Self {
            serve_until: now + cache_wait,
            timeout,
            deadline: None,
            phase: Phase::Serving,
        }
    }

    /// Stops waiting for callers with cached lookups
    pub fn skip_lookup_wait(&mut self, now: Instant) {
        self.serve_until = self.serve_until.min(now);
    }

    /// Updates and returns the phase, which never moves backwards
    pub fn advance(&mut self, now: Instant, progress: Progress) -> Phase {
        let before = self.phase;
        self.phase = self.next_phase(now, progress);
        assert!(
            self.phase >= before,
            "phase of a planned stop moved backwards"
        );
        self.phase
    }

    /// Deadline for requests in flight; `None` while the host still serves cached lookups
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    fn next_phase(&mut self, now: Instant, progress: Progress) -> Phase {
        if now < self.serve_until && self.phase == Phase::Serving {
            return Phase::Serving;
        }
        let deadline = *self.deadline.get_or_insert(now + self.timeout);
        if self.phase == Phase::Done || now >= deadline {
            return Phase::Done;
        }
        match (progress.is_handed_over, progress.running) {
            (false, _) => self.phase.max(Phase::HandingOver),
            (true, 0) => Phase::Done,
            (true, _) => Phase::Draining,
        }
    }
}
