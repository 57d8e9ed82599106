//! Idle connections to upstreams, kept for reuse.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::future;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// Maximum number of idle connections per upstream
const MAX_PER_UPSTREAM: usize = 8;

/// Time after which an idle connection is no longer used
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Open connection without a request
#[derive(Debug)]
pub struct Connection {
    /// Open stream without unread bytes
    pub stream: TcpStream,
    /// Whether a response on it stated the id of its request
    pub states_ids: bool,
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

    /// Takes the most recently used connection that was idle for less than `max_idle`
    pub fn take(
        &mut self,
        now: Instant,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<Connection> {
        let connections = self.by_address.get_mut(&address)?;
        while let Some((connection, idle_since)) = connections.pop() {
            if now >= idle_since + max_idle.min(IDLE_TIMEOUT) {
                connections.clear();
                break;
            }
            if is_reusable(&connection.stream) {
                return Some(connection);
            }
        }
        self.by_address.remove(&address);
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
