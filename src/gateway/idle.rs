//! Idle connections to endpoints, kept for reuse.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::answer::History;
use crate::message;

/// Maximum number of idle connections per endpoint; about its number of slots
const MAX_PER_ENDPOINT: usize = 4;

/// Keep-alive timeout of endpoints that do not state one
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Time before the end of the keep-alive timeout at which a connection is no longer used
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(2);

/// Connection to an endpoint
#[derive(Debug)]
pub struct Connection {
    /// Its bytes in both directions
    pub stream: message::Connection,
    /// What it has carried
    pub history: History,
}

impl Connection {
    /// Creates a connection that has carried nothing
    pub fn new(stream: message::Connection) -> Self {
        Self {
            stream,
            history: History::new(),
        }
    }
}

/// Idle connections by address, oldest first
#[derive(Debug, Default)]
pub struct Connections(BTreeMap<SocketAddr, VecDeque<IdleConnection>>);

#[derive(Debug)]
struct IdleConnection {
    idle_since: Instant,
    expires_at: Instant,
    connection: Connection,
}

impl Connections {
    /// Adds a connection after a complete answer
    pub fn put(
        &mut self,
        now: Instant,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let ttl = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |keep_alive| {
            keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        if ttl.is_zero() {
            return;
        }
        let connections = self.0.entry(address).or_default();
        connections.push_back(IdleConnection {
            idle_since: now,
            expires_at: now + ttl,
            connection,
        });
        if connections.len() > MAX_PER_ENDPOINT {
            connections.pop_front();
        }
    }

    /// Returns whether a connection to an address has carried a request with this id
    pub fn has_carried(&self, address: SocketAddr, id: &str) -> bool {
        let mut connections = self.0.get(&address).into_iter().flatten();
        connections.any(|idle| idle.connection.history.has_carried(id))
    }

    /// Takes the newest connection that may carry a request with this id, if it was idle for at most
    /// `max_idle`
    pub fn take(
        &mut self,
        now: Instant,
        address: SocketAddr,
        max_idle: Duration,
        id: Option<&str>,
    ) -> Option<Connection> {
        let connections = self.0.get_mut(&address)?;
        let position = connections
            .iter()
            .rposition(|idle| idle.connection.history.may_carry(id))?;
        let newest = connections.get(position)?;
        let is_open = now < newest.expires_at;
        let is_recent = now <= newest.idle_since + max_idle;
        if is_open && !is_recent {
            return None;
        }
        let newest = connections.remove(position)?;
        is_open.then_some(newest.connection)
    }

    /// Closes expired connections
    pub fn expire(&mut self, now: Instant) {
        for connections in self.0.values_mut() {
            connections.retain(|idle| now < idle.expires_at);
        }
        self.0.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to an endpoint
    pub fn remove(&mut self, address: &SocketAddr) {
        self.0.remove(address);
    }

    /// Returns the number of idle connections
    pub fn len(&self) -> usize {
        self.0.values().map(VecDeque::len).sum()
    }
}
