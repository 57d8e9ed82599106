//! Exchange of frames with another host on one QUIC stream.

use std::future::Future;
use std::net::SocketAddr;

use quinn::{Connection, RecvStream, SendStream, VarInt};

use crate::peer::Error;
use crate::peer::pool::Guard;
use crate::wire::{self, Frame};

/// QUIC error code of a cancelled stream
const CANCELLED_CODE: VarInt = VarInt::from_u32(1);

/// Maximum number of bytes of one read from a stream
const MAX_READ_BYTES: usize = 64 << 10;

/// Number of frame bytes that an exchange transferred
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ByteCount {
    /// Bytes sent
    pub sent: u64,
    /// Bytes received
    pub received: u64,
}

/// Stream to another host
///
/// Dropping an exchange before the last frame of the other side was read cancels it there.
#[derive(Debug)]
pub struct Exchange {
    peer: SocketAddr,
    send: SendStream,
    recv: RecvStream,
    buffer: wire::Buffer,
    has_partial_send: bool,
    byte_count: ByteCount,
    connection: Connection,
    _guard: Option<Guard>,
}

impl Exchange {
    pub(super) fn new(
        connection: Connection,
        (send, recv): (SendStream, RecvStream),
        guard: Option<Guard>,
    ) -> Self {
        Self {
            peer: connection.remote_address(),
            send,
            recv,
            buffer: wire::Buffer::new(),
            has_partial_send: false,
            byte_count: ByteCount::default(),
            connection,
            _guard: guard,
        }
    }

    /// Returns the address of the other side
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the frame bytes since the last call, without transport overhead
    pub fn take_byte_count(&mut self) -> ByteCount {
        std::mem::take(&mut self.byte_count)
    }

    /// Returns the number of packets received on the connection, acknowledgements included
    pub fn received_packets(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Sends a frame; waits while the receive window of the other side is full
    ///
    /// A dropped call may leave a partial frame on the stream, so later sends fail.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = wire::encode(frame).map_err(|error| self.connection_lost(&error))?;
        self.send_bytes(&bytes).await
    }

    pub(super) async fn send_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.has_partial_send {
            self.cancel();
            return Err(self.connection_lost(&"a previous frame was sent only in part"));
        }
        self.has_partial_send = true;
        self.byte_count.sent += bytes.len() as u64;
        let result = self.send.write_all(bytes).await;
        self.has_partial_send = false;
        result.map_err(|error| self.connection_lost(&error))
    }

    /// Returns the next frame of the other side; `None` at the end of the stream
    ///
    /// Cancellation safe. After a frame that cannot be decoded, the exchange sends
    /// [`Frame::Unsupported`] and fails.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            match self.buffer.next_frame() {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) => {}
                Err(error) => return Err(self.reject(&error).await),
            }
            let chunk = self.recv.read_chunk(MAX_READ_BYTES, true).await;
            match chunk.map_err(|error| self.connection_lost(&error))? {
                Some(chunk) => {
                    self.byte_count.received += chunk.bytes.len() as u64;
                    self.buffer.push(&chunk.bytes);
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(self.connection_lost(&"stream ended inside a frame")),
            }
        }
    }

    /// Closes the sending direction; the other side can still send
    pub fn finish(&mut self) {
        if self.send.finish().is_err() {
            log::debug!("stream to {} is already closed", self.peer);
        }
    }

    /// Cancels the exchange on both sides
    pub fn cancel(&mut self) {
        let reset = self.send.reset(CANCELLED_CODE);
        let stopped = self.recv.stop(CANCELLED_CODE);
        if reset.is_err() && stopped.is_err() {
            log::debug!("stream to {} was closed before the cancellation", self.peer);
        }
    }

    /// Waits until the other side cancels the exchange or the connection is lost
    ///
    /// Also returns when the other side has acknowledged a finished stream. The future does not
    /// borrow the exchange, so it can run concurrently with [`Exchange::send`].
    pub fn closed(&self) -> impl Future<Output = ()> + Send + 'static {
        let stopped = self.send.stopped();
        async move {
            if let Err(error) = stopped.await {
                log::debug!("exchange was closed: {error}");
            }
        }
    }

    async fn reject(&mut self, error: &wire::Error) -> Error {
        if let Err(send_error) = self.send(&Frame::Unsupported).await {
            log::debug!("cannot report an undecodable frame: {send_error}");
        }
        self.finish();
        self.connection_lost(error)
    }

    fn connection_lost(&self, cause: &dyn std::fmt::Display) -> Error {
        Error::ConnectionLost(self.peer, cause.to_string())
    }
}
