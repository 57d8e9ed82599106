//! Counts of what is in progress, given back when a guard is dropped.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::entry::Host;

/// Bytes of callers' requests that one host holds at a time
pub const MAX_BUFFERED_BYTES: usize = 32 << 20;

impl Host {
    /// Count a request until the guard is dropped
    pub fn start_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight { host: self.clone() }
    }

    /// Room for `bytes` of a held request until the guard is dropped
    pub fn reserve_buffer(self: &Arc<Self>, bytes: usize) -> Option<BufferReservation> {
        let before = self.buffered_bytes.fetch_add(bytes, Ordering::SeqCst);
        let held = BufferReservation {
            host: self.clone(),
            bytes,
        };
        (before.saturating_add(bytes) <= MAX_BUFFERED_BYTES).then_some(held)
    }
}

/// One request in progress
#[derive(Debug)]
pub struct InFlight {
    host: Arc<Host>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.host.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Bytes of one request that is held whole
#[derive(Debug)]
pub struct BufferReservation {
    host: Arc<Host>,
    bytes: usize,
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.host
            .buffered_bytes
            .fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
