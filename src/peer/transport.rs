//! Limits of the connections between entry hosts.

use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};

/// Silence after which a connection counts as broken at the latest
pub const IDLE: Duration = Duration::from_secs(2);

/// Interval at which the calling side probes a silent connection
///
/// A quarter of [`IDLE`], so that two probes in a row may be lost.
pub const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Exchanges that one host may have open at another
pub const STREAMS: u32 = 1024;

/// Bytes that wait for the reader of one exchange
pub const STREAM_WINDOW: u32 = 128 << 10;

/// Bytes that wait for all readers of one connection
pub const CONNECTION_WINDOW: u32 = 16 << 20;

/// Bytes of heartbeats that wait for their reader
const DATAGRAMS: usize = 64 << 10;

/// Which side of a connection a host is
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// It opened the connection and keeps it alive
    Caller,
    /// It was called
    Called,
}

/// Transport limits of one side
pub(super) fn config(side: Side) -> TransportConfig {
    let mut config = TransportConfig::default();
    // The first probe into the silence starts QUIC's idle time anew.
    let idle = IdleTimeout::try_from(IDLE - KEEP_ALIVE).expect("a short time is a valid timeout");
    config.max_idle_timeout(Some(idle));
    config.keep_alive_interval((side == Side::Caller).then_some(KEEP_ALIVE));
    config.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS));
    config.max_concurrent_uni_streams(VarInt::from_u32(1));
    config.stream_receive_window(VarInt::from_u32(STREAM_WINDOW));
    config.receive_window(VarInt::from_u32(CONNECTION_WINDOW));
    config.send_window(u64::from(CONNECTION_WINDOW));
    config.datagram_receive_buffer_size(Some(DATAGRAMS));
    config
}
