//! Once-only requests: tickets, and the table of the host that issued them.
//!
//! A ticket names the incarnation of its issuer, and only that process may run it, so two hosts
//! never run the same ticket, even during a network partition or a pause. A crash invalidates all
//! tickets of the process. In a planned stop the process exports its [`Snapshot`]s to one successor
//! and runs none of the tickets afterwards.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use compact_str::CompactString;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use crate::id::{HostId, Incarnation, ServiceId};
use crate::wire::Header;

pub use self::ticket_set::{MAX_ENTRIES, MAX_STORED_BYTES, REPLAY_TTL, TICKET_TTL};

use self::ticket_set::TicketSet;

mod ticket_set;

#[cfg(test)]
mod tests;

/// Key of the keyed hash that authenticates tickets
pub type Secret = [u8; 16];

/// Permission to run one once-only request
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// Host that issued the ticket
    pub issuer: HostId,
    /// Incarnation of the issuer
    pub incarnation: Incarnation,
    /// Service that the ticket is valid for
    pub service: ServiceId,
    /// Sequence number within the incarnation
    pub number: u64,
    /// Keyed hash of the other fields
    pub seal: u64,
}

/// Complete response stored for replay
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code
    pub status: u16,
    /// Headers to forward
    pub headers: Vec<Header>,
    /// Complete body
    pub body: Vec<u8>,
}

/// Decision about a presented ticket
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request must run now, followed by [`Table::finish`]
    Run,
    /// The request ran; replay the stored response
    Replay(StoredResponse),
    /// The request ran, but its response is no longer stored
    Spent,
    /// The request is in flight
    Running,
    /// The request may have run
    Unknown,
    /// The table is full; the request does not run and the ticket stays fresh
    Full,
    /// The ticket is forged, or belongs to another service or incarnation
    Invalid,
    /// The table was exported, so no request runs
    Stopping,
}

/// Outcome of a run
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request ran and its response is complete
    Served(StoredResponse),
    /// The request certainly did not run; the ticket is fresh again
    NotRun,
    /// The request may have run
    Unknown,
}

/// State of a presented ticket in a snapshot
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotEntry {
    /// The request ran and its response is stored
    Served(StoredResponse),
    /// The request ran, but its response is no longer stored
    Spent,
    /// The request may have run
    Unknown,
}

/// Tickets of one incarnation, exported for the successor of its host
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Host that issued the tickets
    pub issuer: HostId,
    /// Incarnation of the issuer
    pub incarnation: Incarnation,
    /// Key that authenticates the tickets
    pub secret: Secret,
    /// Whether tickets that were never presented may still run
    pub fresh: bool,
    /// Lowest number that may still be presented for the first time
    pub floor: u64,
    /// Next number to issue; it and all higher ones were never issued
    pub next: u64,
    /// Presented tickets by number
    pub entries: BTreeMap<u64, SnapshotEntry>,
}

/// Tickets issued by this process, and those imported from stopping hosts
#[derive(Debug)]
pub struct Table {
    own_key: Key,
    tickets: BTreeMap<Key, TicketSet>,
    is_closed: bool,
}

type Key = (HostId, Incarnation);

impl Table {
    /// Creates an empty table with a random secret
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        let mut secret = Secret::default();
        getrandom::fill(&mut secret).expect("system random source is available");
        Self::with_secret(host, incarnation, secret)
    }

    /// Creates an empty table whose tickets are authenticated with `secret`
    pub fn with_secret(host: HostId, incarnation: Incarnation, secret: Secret) -> Self {
        let own_key = (host, incarnation);
        let tickets = [(own_key.clone(), TicketSet::new(secret))].into();
        Self {
            own_key,
            tickets,
            is_closed: false,
        }
    }

    /// Issues a ticket for a service
    pub fn issue(&mut self, now: Instant, service: &ServiceId) -> Ticket {
        let own_tickets = self
            .tickets
            .get_mut(&self.own_key)
            .expect("the own tickets are never removed");
        let (issuer, incarnation) = self.own_key.clone();
        let service = service.clone();
        let mut ticket = Ticket {
            issuer,
            incarnation,
            service,
            number: own_tickets.issue(now),
            seal: 0,
        };
        ticket.seal = seal(&own_tickets.secret, &ticket);
        ticket
    }

    /// Returns whether this process is responsible for the ticket
    pub fn owns(&self, ticket: &Ticket) -> bool {
        self.tickets
            .contains_key(&(ticket.issuer.clone(), ticket.incarnation))
    }

    /// Decides whether the request of a presented ticket runs, and marks it as in flight if so
    pub fn begin(&mut self, now: Instant, ticket: &Ticket, service: &ServiceId) -> Admission {
        let key = (ticket.issuer.clone(), ticket.incarnation);
        let Some(tickets) = self.tickets.get_mut(&key) else {
            return Admission::Invalid;
        };
        if ticket.service != *service || ticket.seal != seal(&tickets.secret, ticket) {
            return Admission::Invalid;
        }
        let admission = tickets.begin(now, ticket.number, self.is_closed);
        assert!(
            admission != Admission::Run || !self.is_closed,
            "an exported table admitted a request"
        );
        admission
    }

    /// Records the outcome of a run
    ///
    /// An unknown outcome may be replaced later by a known one.
    pub fn finish(&mut self, now: Instant, ticket: &Ticket, outcome: RunOutcome) {
        let key = (ticket.issuer.clone(), ticket.incarnation);
        if let Some(tickets) = self.tickets.get_mut(&key) {
            tickets.finish(now, ticket.number, outcome);
        }
    }

    /// Removes expired entries; a removed ticket never becomes fresh again
    pub fn expire(&mut self, now: Instant) {
        for tickets in self.tickets.values_mut() {
            tickets.expire(now);
        }
        let own_key = &self.own_key;
        self.tickets
            .retain(|key, tickets| key == own_key || !tickets.is_expired(now));
    }

    /// Returns the number of tickets whose requests are in flight
    pub fn running_count(&self) -> usize {
        self.tickets.values().map(TicketSet::running_count).sum()
    }

    /// Closes the table permanently and returns its snapshots for a successor
    ///
    /// Only the first export may include `fresh` tickets, because two successors could otherwise
    /// run the same one.
    pub fn export(&mut self, fresh: bool) -> Vec<Snapshot> {
        let fresh = fresh && !self.is_closed;
        self.is_closed = true;
        let snapshots = self
            .tickets
            .iter_mut()
            .map(|((issuer, incarnation), tickets)| {
                let mut snapshot = tickets.export(fresh);
                snapshot.issuer = issuer.clone();
                snapshot.incarnation = *incarnation;
                snapshot
            });
        snapshots.collect()
    }

    /// Imports the tickets of a stopping host
    pub fn import(&mut self, now: Instant, snapshots: Vec<Snapshot>) {
        for snapshot in snapshots {
            let key = (snapshot.issuer.clone(), snapshot.incarnation);
            if key != self.own_key {
                self.tickets
                    .entry(key)
                    .or_insert_with(|| TicketSet::with_snapshot(now, snapshot));
            }
        }
    }
}

/// Reason why a ticket cannot be parsed
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// malformed ticket; request a lookup to get a new one
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
        let parse_hex = |part| u64::from_str_radix(part, 16).map_err(|_| Error::Malformed);
        Ok(Self {
            issuer: CompactString::from(issuer),
            incarnation: parse_hex(incarnation)?,
            service: CompactString::from(service),
            number: parse_hex(number)?,
            seal: parse_hex(seal)?,
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
