//! Once-only requests: tickets, and the table of the host that issued them.
//!
//! A ticket names its issuer's incarnation, and only that process may run it. Two hosts can so
//! never both run one ticket, whatever is cut off or paused. A crash voids the tickets of the
//! process. A planned stop hands its [`Snapshot`] to one successor and from then on runs none of it.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use compact_str::CompactString;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use crate::id::{HostId, Incarnation, ServiceId};
use crate::wire::Header;

pub use self::book::{MAX_ENTRIES, MAX_STORED_BYTES, REPLAY_TTL, TICKET_TTL};

use self::book::Book;

mod book;

#[cfg(test)]
mod tests;

/// Key of the hash that seals tickets
pub type Secret = [u8; 16];

/// Right to run one once-only request
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// Host that issued it
    pub issuer: HostId,
    /// Incarnation of the issuer
    pub incarnation: Incarnation,
    /// Service that it is for
    pub service: ServiceId,
    /// Number within the incarnation
    pub number: u64,
    /// Keyed hash over the other fields
    pub seal: u64,
}

/// Whole answer kept for replay
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status
    pub status: u16,
    /// Headers to pass on
    pub headers: Vec<Header>,
    /// Whole body
    pub body: Vec<u8>,
}

/// What a presented ticket allows
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it now, then call [`Table::finish`]
    Run,
    /// It ran; answer with this
    Replay(StoredResponse),
    /// It ran, but its answer is no longer kept
    Spent,
    /// It is running
    Running,
    /// It may have run
    Unknown,
    /// Not run: too many tickets are remembered; the ticket stays fresh
    Full,
    /// Forged, of another service or of another incarnation
    Invalid,
    /// The table was handed over and runs nothing
    Stopping,
}

/// How a run ended
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Whole answer
    Served(StoredResponse),
    /// Proved not run; the ticket is fresh again
    NotRun,
    /// May have run
    Unknown,
}

/// How a handed-over ticket ended
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotEntry {
    /// Whole answer
    Served(StoredResponse),
    /// It ran, but its answer is no longer kept
    Spent,
    /// It may have run
    Unknown,
}

/// Tickets of one incarnation, for the host that takes them over
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Host that issued the tickets
    pub issuer: HostId,
    /// Incarnation of the issuer
    pub incarnation: Incarnation,
    /// Key that seals the tickets
    pub secret: Secret,
    /// Whether tickets that were never presented may still be run
    pub fresh: bool,
    /// Lowest number that may still be presented for the first time
    pub floor: u64,
    /// First number that was never issued
    pub next: u64,
    /// Presented tickets by number
    pub entries: BTreeMap<u64, SnapshotEntry>,
}

/// Tickets of one process, and those that it took over
#[derive(Debug)]
pub struct Table {
    own: Key,
    books: BTreeMap<Key, Book>,
    is_closed: bool,
}

type Key = (HostId, Incarnation);

impl Table {
    /// Empty table of a process, with a secret of its own
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        let mut secret = Secret::default();
        getrandom::fill(&mut secret).expect("the system gives random bytes");
        Self::with_secret(host, incarnation, secret)
    }

    /// Empty table whose tickets are sealed with `secret`
    pub fn with_secret(host: HostId, incarnation: Incarnation, secret: Secret) -> Self {
        let own = (host, incarnation);
        let books = [(own.clone(), Book::new(secret))].into();
        Self {
            own,
            books,
            is_closed: false,
        }
    }

    /// Issue a ticket for a service
    pub fn issue(&mut self, now: Instant, service: &ServiceId) -> Ticket {
        let book = self
            .books
            .get_mut(&self.own)
            .expect("the own book is never dropped");
        let (issuer, incarnation) = self.own.clone();
        let service = service.clone();
        let mut ticket = Ticket {
            issuer,
            incarnation,
            service,
            number: book.issue(now),
            seal: 0,
        };
        ticket.seal = seal(&book.secret, &ticket);
        ticket
    }

    /// Whether this process decides about the ticket
    pub fn owns(&self, ticket: &Ticket) -> bool {
        self.books
            .contains_key(&(ticket.issuer.clone(), ticket.incarnation))
    }

    /// Decide what a presented ticket allows
    pub fn begin(&mut self, now: Instant, ticket: &Ticket, service: &ServiceId) -> Admission {
        let key = (ticket.issuer.clone(), ticket.incarnation);
        let Some(book) = self.books.get_mut(&key) else {
            return Admission::Invalid;
        };
        if ticket.service != *service || ticket.seal != seal(&book.secret, ticket) {
            return Admission::Invalid;
        }
        let begin = book.begin(now, ticket.number, self.is_closed);
        assert!(
            begin != Admission::Run || !self.is_closed,
            "a handed-over table runs nothing"
        );
        begin
    }

    /// Record how a run ended
    ///
    /// An end that was unknown may become known later.
    pub fn finish(&mut self, now: Instant, ticket: &Ticket, finish: RunOutcome) {
        let key = (ticket.issuer.clone(), ticket.incarnation);
        if let Some(book) = self.books.get_mut(&key) {
            book.finish(now, ticket.number, finish);
        }
    }

    /// Forget what ended long ago; a forgotten ticket never becomes fresh again
    pub fn expire(&mut self, now: Instant) {
        for book in self.books.values_mut() {
            book.expire(now);
        }
        let own = &self.own;
        self.books
            .retain(|key, book| key == own || !book.is_over(now));
    }

    /// Tickets that are running
    pub fn running_count(&self) -> usize {
        self.books.values().map(Book::running).sum()
    }

    /// Close the table for good and give what a successor needs
    ///
    /// Only one successor may ever be given `fresh` tickets, since two could both run one.
    pub fn export(&mut self, fresh: bool) -> Vec<Snapshot> {
        let fresh = fresh && !self.is_closed;
        self.is_closed = true;
        let snapshots = self.books.iter_mut().map(|((issuer, incarnation), book)| {
            let mut snapshot = book.export(fresh);
            snapshot.issuer = issuer.clone();
            snapshot.incarnation = *incarnation;
            snapshot
        });
        snapshots.collect()
    }

    /// Take over the tickets of a stopping host
    pub fn import(&mut self, now: Instant, snapshots: Vec<Snapshot>) {
        for snapshot in snapshots {
            let key = (snapshot.issuer.clone(), snapshot.incarnation);
            if key != self.own {
                self.books
                    .entry(key)
                    .or_insert_with(|| Book::with_snapshot(now, snapshot));
            }
        }
    }
}

/// Ticket text that cannot be read
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// malformed ticket; send a look-up to get a new one
    Malformed,
}

impl std::error::Error for Error {}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            issuer,
            incarnation,
            service,
            number,
            seal,
        } = self;
        write!(f, "{issuer}.{incarnation:x}.{service}.{number:x}.{seal:x}")
    }
}

impl std::str::FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parts: Vec<&str> = text.split('.').collect();
        let &[issuer, incarnation, service, number, seal] = parts.as_slice() else {
            return Err(Error::Malformed);
        };
        let hexadecimal = |part| u64::from_str_radix(part, 16).map_err(|_| Error::Malformed);
        Ok(Self {
            issuer: CompactString::from(issuer),
            incarnation: hexadecimal(incarnation)?,
            service: CompactString::from(service),
            number: hexadecimal(number)?,
            seal: hexadecimal(seal)?,
        })
    }
}

fn seal(secret: &Secret, ticket: &Ticket) -> u64 {
    let mut hasher = SipHasher24::new_with_key(secret);
    let Ticket {
        issuer,
        incarnation,
        service,
        number,
        seal: _,
    } = ticket;
    (issuer, incarnation, service, number).hash(&mut hasher);
    hasher.finish()
}
