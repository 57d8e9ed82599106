//! QUIC transport limits of the connections between entry hosts.

use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};

/// Longest time without received packets before a connection counts as lost
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the client side probes a silent connection
///
/// A quarter of [`IDLE_TIMEOUT`], so that a connection survives the loss of two probes in a row.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of exchanges that one host may have open at another
pub const MAX_STREAMS: u32 = 1024;

/// Maximum number of unread bytes of one exchange
pub const STREAM_WINDOW_BYTES: u32 = 128 << 10;

/// Maximum number of unread bytes of all exchanges of one connection
pub const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Size of the receive buffer for datagrams, which carry heartbeats
const DATAGRAM_BUFFER_BYTES: usize = 64 << 10;

/// Side of a connection
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// Side that opened the connection and sends the keep-alive probes
    Client,
    /// Side that accepted the connection
    Server,
}

/// Returns the transport configuration of one side
pub(super) fn config(side: Side) -> TransportConfig {
    let mut config = TransportConfig::default();
    // The first probe after the last received packet restarts the QUIC idle timer, so one
    // interval is subtracted.
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT - KEEP_ALIVE_INTERVAL)
        .expect("the timeout is short enough for QUIC");
    config.max_idle_timeout(Some(idle));
    config.keep_alive_interval((side == Side::Client).then_some(KEEP_ALIVE_INTERVAL));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    config.max_concurrent_uni_streams(VarInt::from_u32(1));
    config.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    config.receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES));
    config.send_window(u64::from(CONNECTION_WINDOW_BYTES));
    config.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    config
}
