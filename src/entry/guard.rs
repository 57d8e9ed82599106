//! Guards that count requests in flight and buffered bytes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::entry::Host;

/// Most bytes of requests and responses that a host buffers at a time
pub const MAX_BUFFERED_BYTES: usize = 32 << 20;

impl Host {
    /// Counts a request in flight until the guard is dropped
    pub fn start_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight { host: self.clone() }
    }

    /// Reserves buffer space until the guard is dropped; `None` above [`MAX_BUFFERED_BYTES`]
    pub fn reserve_buffer(self: &Arc<Self>, bytes: usize) -> Option<BufferReservation> {
        let previous = self.buffered_bytes.fetch_add(bytes, Ordering::SeqCst);
        let reservation = BufferReservation {
            host: self.clone(),
            bytes,
        };
        (previous.saturating_add(bytes) <= MAX_BUFFERED_BYTES).then_some(reservation)
    }
}

/// Guard of one request in flight
#[derive(Debug)]
pub struct InFlight {
    host: Arc<Host>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.host.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Guard of reserved buffer space
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
