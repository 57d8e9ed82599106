//! Rest of an answer's body that is passed on while it is read, and when it is broken off.
//!
//! A broken endpoint may send bytes without end. A long download is no fault, so a body is not
//! broken off for its duration alone:
//!
//! | body | ends at the latest |
//! | --- | --- |
//! | any | when the caller's deadline has passed, as nobody waits for it any more |
//! | without a length | at the timeout of the route, if the caller states no deadline |
//! | without a length | after [`MAX_UNSIZED_BYTES`] |
//! | with a length, no deadline | when the endpoint sends nothing for [`IDLE_TIMEOUT`], but not before the timeout of the route |
//!
//! What was passed on by then never looks complete to the caller. An endpoint counts as failed if
//! its body had no length, since only then it could have gone on for ever.

use std::time::{Duration, Instant};

use super::exchange::{Failure, InFlight};
use crate::message::{self, Connection, Length, timeout};
use crate::placement::Outcome;

/// How long an endpoint may send nothing in the middle of a body
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time past a deadline after which a body is broken off; covers the way to the caller and back
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_millis(250);

/// Maximum length of a body whose end the endpoint does not state; the largest that the platform has
const MAX_UNSIZED_BYTES: u64 = 64 << 20;

/// When a body is broken off
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time after which the caller no longer waits, if it states one
    pub caller_deadline: Option<Instant>,
    /// Time after which the route allows no further waiting
    pub route_deadline: Instant,
}

impl Limits {
    /// Returns the time at which a body is broken off, `None` if only silence ends it
    pub fn deadline(&self, length: Length) -> Option<Instant> {
        let deadline = match (self.caller_deadline, length) {
            (Some(caller_deadline), _) => caller_deadline,
            (None, Length::Bytes(_)) => return None,
            (None, Length::Chunked | Length::UntilClose) => self.route_deadline,
        };
        Some(deadline + DEADLINE_GRACE_PERIOD)
    }

    /// Returns until when the next piece of a body is awaited
    ///
    /// Silence alone is no reason to break off a body for which a caller may still wait.
    pub fn silence_deadline(&self, now: Instant, length: Length) -> Instant {
        let silence_deadline = || self.route_deadline.max(now + IDLE_TIMEOUT);
        self.deadline(length).unwrap_or_else(silence_deadline)
    }

    /// Returns whether a body of this many bytes so far may be endless
    pub fn is_too_long(length: Length, bytes: u64) -> bool {
        !matches!(length, Length::Bytes(_)) && bytes > MAX_UNSIZED_BYTES
    }
}

/// Part of an answer's body that is still to be read
#[derive(Debug)]
pub struct RemainingBody {
    connection: Connection,
    length: Length,
    in_flight: InFlight,
    limits: Limits,
    bytes_read: u64,
    /// Time for which the endpoint was waited for; the caller may take pieces slowly
    busy: Duration,
}

impl RemainingBody {
    /// Creates the rest of a body of which `bytes_read` bytes were read
    pub fn new(
        connection: Connection,
        length: Length,
        in_flight: InFlight,
        limits: Limits,
        bytes_read: usize,
    ) -> Self {
        Self {
            busy: in_flight.elapsed(),
            connection,
            length,
            in_flight,
            limits,
            bytes_read: bytes_read as u64,
        }
    }

    /// Returns the length of the whole body, if the answer states one
    pub fn total_length(&self) -> Option<u64> {
        match self.length {
            Length::Bytes(left) => Some(left + self.bytes_read),
            _ => None,
        }
    }

    /// Returns the time at which the body is broken off, `None` if only silence ends it
    pub fn deadline(&self) -> Option<Instant> {
        self.limits.deadline(self.length)
    }

    /// Reads the next piece; `None` after the end of a complete answer
    pub async fn next_piece(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        let now = Instant::now();
        let deadline = self.deadline();
        if deadline.is_some_and(|deadline| deadline <= now) {
            return Err(self.break_off("body lasts longer than the request"));
        }
        if Limits::is_too_long(self.length, self.bytes_read) {
            return Err(self.break_off("body without a length is too long"));
        }
        let wait_until = self.limits.silence_deadline(now, self.length);
        let piece = timeout(wait_until, self.connection.read_body_part(&mut self.length)).await;
        self.busy += now.elapsed();
        match piece.unwrap_or(Err(message::Error::Truncated)) {
            Ok(Some(piece)) => {
                self.bytes_read += piece.len() as u64;
                Ok(Some(piece))
            }
            Ok(None) => {
                self.in_flight.finish(Outcome::Relayed {
                    busy: self.busy,
                    total: self.in_flight.elapsed(),
                });
                Ok(None)
            }
            Err(error) => {
                self.in_flight.finish(Outcome::ConnectionFailed);
                Err(Failure::Broken(error.to_string()))
            }
        }
    }

    /// Ends the exchange because of a limit
    pub fn break_off(&mut self, reason: &'static str) -> Failure {
        let outcome = match self.length {
            Length::Bytes(_) => Outcome::Cancelled,
            Length::Chunked | Length::UntilClose => Outcome::ConnectionFailed,
        };
        self.in_flight.finish(outcome);
        self.in_flight.record_broken_off(reason, self.bytes_read);
        Failure::Broken(reason.to_owned())
    }
}
