//! HTTP port for callers: lookups and requests to services.
//!
//! `async-h1` parses and writes the messages. [`gate::Connection`] wraps each connection: it reads
//! a head of limited length, checks it with [`head::Head::parse`], rejects with a response what the
//! library would drop silently, passes on exactly the bytes of one request, and detects that the
//! caller has disconnected. `docs/design/caller.md` lists the faults that this prevents and those
//! that remain.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use smol::Timer;
use smol::net::TcpListener;

use crate::entry::Host;

pub mod answer;
pub mod body;
pub mod connection;
pub mod gate;
pub mod handle;
pub mod head;
pub mod lookup;
pub mod reader;
pub mod watch;

#[cfg(test)]
pub mod fake;
#[cfg(test)]
mod tests;

/// Limits of a caller port
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a request body
    pub max_body_bytes: usize,
    /// Maximum idle time of a connection between requests
    pub idle_timeout: Duration,
    /// Timeout of a request head, from its first byte
    pub head_timeout: Duration,
    /// Timeout of a request body
    pub body_timeout: Duration,
    /// Maximum time for which one write of a response may be blocked
    pub write_timeout: Duration,
    /// Maximum number of requests per connection
    pub max_requests: usize,
    /// Maximum number of open connections
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 64 << 10,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            max_requests: 10_000,
            max_connections: 4_096,
        }
    }
}

/// Delay after a failed accept, for example when no file descriptor is free
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until the task is dropped
pub async fn serve(host: Arc<Host>, listener: TcpListener, limits: Limits) {
    let open_count = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    "cannot accept a connection from a caller: {error}; raise the limit of open files"
                );
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let guard = OpenConnection::new(&open_count);
        if open_count.load(Ordering::Relaxed) > limits.max_connections {
            continue;
        }
        let host = host.clone();
        smol::spawn(async move {
            let _guard = guard;
            connection::serve(host, stream, limits).await;
        })
        .detach();
    }
}

/// Guard that counts one open connection until it is dropped
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
