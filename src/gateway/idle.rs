//! Kept connections to endpoints.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::message::Connection;

/// Most kept connections to one endpoint; about its slots
const MOST: usize = 4;

/// Time for which a connection is kept where the endpoint does not state one
const TERM: Duration = Duration::from_secs(5);

/// Time before the stated end at which a connection is not used any more
const MARGIN: Duration = Duration::from_secs(2);

/// Kept connections by address, oldest first
#[derive(Debug, Default)]
pub struct Idle(BTreeMap<SocketAddr, VecDeque<Kept>>);

#[derive(Debug)]
struct Kept {
    since: Instant,
    until: Instant,
    connection: Connection,
}

impl Idle {
    /// Keep a connection after a whole answer
    pub fn put(
        &mut self,
        now: Instant,
        address: SocketAddr,
        connection: Connection,
        stated: Option<Duration>,
    ) {
        let term = stated.map_or(TERM, |stated| stated.saturating_sub(MARGIN));
        if term.is_zero() {
            return;
        }
        let kept = self.0.entry(address).or_default();
        kept.push_back(Kept {
            since: now,
            until: now + term,
            connection,
        });
        if kept.len() > MOST {
            kept.pop_front();
        }
    }

    /// Newest connection that was idle for at most `age`
    pub fn take(&mut self, now: Instant, address: SocketAddr, age: Duration) -> Option<Connection> {
        let kept = self.0.get_mut(&address)?;
        let last = kept.pop_back()?;
        if now < last.until && now <= last.since + age {
            return Some(last.connection);
        }
        if now < last.until {
            kept.push_back(last);
        }
        None
    }

    /// Close what was kept for too long
    pub fn expire(&mut self, now: Instant) {
        for kept in self.0.values_mut() {
            kept.retain(|kept| now < kept.until);
        }
        self.0.retain(|_, kept| !kept.is_empty());
    }

    /// Close all connections to an endpoint
    pub fn forget(&mut self, address: &SocketAddr) {
        self.0.remove(address);
    }

    /// Number of kept connections
    pub fn len(&self) -> usize {
        self.0.values().map(VecDeque::len).sum()
    }
}
