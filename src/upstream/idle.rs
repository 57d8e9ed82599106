//! Idle connections to upstreams, kept for reuse.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::future;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::answer::History;

/// Maximum number of idle connections per upstream
const MAX_PER_UPSTREAM: usize = 8;

/// Time after which an idle connection is no longer used
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Open connection without a request
#[derive(Debug)]
pub struct Connection {
    /// Open stream without unread bytes
    pub stream: TcpStream,
    /// What it has carried
    pub history: History,
}

impl Connection {
    /// Creates a connection that has carried nothing
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            history: History::new(),
        }
    }
}

/// Idle connections by address, most recently used last
#[derive(Debug, Default)]
pub struct Connections {
    by_address: BTreeMap<SocketAddr, Vec<(Connection, Instant)>>,
}

impl Connections {
    /// Adds a connection after a complete response
    pub fn put(&mut self, now: Instant, address: SocketAddr, connection: Connection) {
        let connections = self.by_address.entry(address).or_default();
        connections.retain(|(_, idle_since)| now < *idle_since + IDLE_TIMEOUT);
        if connections.len() < MAX_PER_UPSTREAM {
            connections.push((connection, now));
        }
    }

    /// Takes the most recently used connection that may carry a request with this id, if it was idle
    /// for less than `max_idle`
    pub fn take(
        &mut self,
        now: Instant,
        address: SocketAddr,
        max_idle: Duration,
        id: &str,
    ) -> Option<Connection> {
        let connections = self.by_address.get_mut(&address)?;
        let may_carry = |(connection, _): &(Connection, _)| connection.history.may_carry(Some(id));
        while let Some(position) = connections.iter().rposition(may_carry) {
            let (connection, idle_since) = connections.remove(position);
            if now >= idle_since + max_idle.min(IDLE_TIMEOUT) {
                // Those before it have been idle for even longer.
                connections.drain(..position);
                break;
            }
            if is_reusable(&connection.stream) {
                return Some(connection);
            }
        }
        if connections.is_empty() {
            self.by_address.remove(&address);
        }
        None
    }
}

/// Returns whether the connection is open and has no unread bytes
fn is_reusable(stream: &TcpStream) -> bool {
    let mut stream = stream.clone();
    let mut byte = [0];
    let pending_read = future::poll_once(stream.read(&mut byte));
    future::block_on(pending_read).is_none()
}
