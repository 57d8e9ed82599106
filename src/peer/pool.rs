//! Pool of the connections that this host opened, one to each other host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use quinn::{Connection, VarInt};
use smol::Timer;

use crate::id::HostId;
use crate::peer::Error;

/// Time after which a connection without exchanges is closed
pub const UNUSED_TIMEOUT: Duration = Duration::from_secs(20);

/// QUIC error code of a connection that is no longer needed
pub(super) const CLOSED_CODE: VarInt = VarInt::from_u32(0);

/// Address and name of a host
pub(super) type Key = (SocketAddr, HostId);

/// Pool of open connections
#[derive(Debug, Default)]
pub(super) struct Pool {
    entries: Mutex<BTreeMap<Key, Arc<Entry>>>,
}

/// Connection to one host, if one is open
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// Most recent failure to open the connection; locked while one is being opened
    pub(super) last_failure: smol::lock::Mutex<Option<Failure>>,
    pooled: Mutex<Option<Pooled>>,
}

/// Failed attempt to open a connection
#[derive(Debug)]
pub(super) struct Failure {
    /// Time at which the attempt failed
    pub(super) at: Instant,
    /// Cause of the failure, for logs and callers
    pub(super) cause: String,
}

#[derive(Clone, Debug)]
struct Pooled {
    connection: Connection,
    usage: Arc<Mutex<Usage>>,
}

#[derive(Debug)]
struct Usage {
    active: usize,
    last_used: Instant,
}

/// Guard that prevents a connection from being closed as unused
#[derive(Debug)]
pub(super) struct Guard {
    usage: Arc<Mutex<Usage>>,
}

impl Pool {
    /// Returns the entry of a host, creating it if needed
    pub(super) fn entry(&self, key: &Key) -> Arc<Entry> {
        let mut entries = lock(&self.entries);
        entries.entry(key.clone()).or_default().clone()
    }

    /// Removes entries that have no connection and no users
    pub(super) fn remove_unused(&self) {
        let mut entries = lock(&self.entries);
        entries.retain(|_, entry| Arc::strong_count(entry) > 1 || lock(&entry.pooled).is_some());
    }
}

impl Entry {
    /// Returns the open connection, if there is one
    pub(super) fn connection(&self) -> Option<(Connection, Guard)> {
        let mut slot = lock(&self.pooled);
        let pooled = slot.as_ref()?;
        if pooled.connection.close_reason().is_some() {
            *slot = None;
            return None;
        }
        let guard = Guard::new(&pooled.usage);
        Some((pooled.connection.clone(), guard))
    }

    /// Adds a new connection and closes it once it is unused
    pub(super) fn insert(self: &Arc<Self>, connection: Connection) -> Guard {
        let usage = Usage {
            active: 0,
            last_used: Instant::now(),
        };
        let pooled = Pooled {
            connection,
            usage: Arc::new(Mutex::new(usage)),
        };
        let guard = Guard::new(&pooled.usage);
        *lock(&self.pooled) = Some(pooled.clone());
        smol::spawn(close_when_unused(self.clone(), pooled)).detach();
        guard
    }
}

impl Guard {
    fn new(usage: &Arc<Mutex<Usage>>) -> Self {
        lock(usage).active += 1;
        Self {
            usage: usage.clone(),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut usage = lock(&self.usage);
        usage.active -= 1;
        usage.last_used = Instant::now();
    }
}

async fn close_when_unused(entry: Arc<Entry>, pooled: Pooled) {
    loop {
        Timer::after(UNUSED_TIMEOUT / 4).await;
        if pooled.connection.close_reason().is_some() {
            return;
        }
        let mut current = lock(&entry.pooled);
        let usage = lock(&pooled.usage);
        if usage.active > 0 || usage.last_used.elapsed() < UNUSED_TIMEOUT {
            continue;
        }
        let is_same =
            |other: &Pooled| other.connection.stable_id() == pooled.connection.stable_id();
        if current.as_ref().is_some_and(is_same) {
            *current = None;
        }
        pooled.connection.close(CLOSED_CODE, b"unused");
        return;
    }
}

/// Returns the error for a caller that waited for another caller's failed attempt
pub(super) fn not_opened(address: SocketAddr, failure: &Failure) -> Error {
    Error::NotSent(address, failure.cause.clone())
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
