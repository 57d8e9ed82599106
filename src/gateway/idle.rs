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
    /// Open connection without unread bytes
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

    /// Takes the newest connection that was idle for at most `max_idle`
    pub fn take(
        &mut self,
        now: Instant,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<Connection> {
        let connections = self.0.get_mut(&address)?;
        let newest = connections.pop_back()?;
        if now < newest.expires_at && now <= newest.idle_since + max_idle {
            return Some(newest.connection);
        }
        if now < newest.expires_at {
            connections.push_back(newest);
        }
        None
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
