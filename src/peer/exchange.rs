//! One stream between two hosts.

use std::future::Future;
use std::net::SocketAddr;

use quinn::{Connection, RecvStream, SendStream, VarInt};

use crate::peer::Error;
use crate::peer::pool::Use;
use crate::wire::{self, Frame};

/// Code of a stream that its side gave up
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Largest read at once, in bytes
const READ: usize = 64 << 10;

/// Bytes of frames that went over an exchange
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moved {
    /// Bytes sent
    pub sent: u64,
    /// Bytes received
    pub received: u64,
}

/// One stream to another host
///
/// Dropping it before the other side's last frame was read cancels the exchange there.
#[derive(Debug)]
pub struct Exchange {
    to: SocketAddr,
    send: SendStream,
    recv: RecvStream,
    buffer: wire::Buffer,
    sending: bool,
    moved: Moved,
    connection: Connection,
    _use: Option<Use>,
}

impl Exchange {
    pub(super) fn new(
        connection: Connection,
        (send, recv): (SendStream, RecvStream),
        used: Option<Use>,
    ) -> Self {
        Self {
            to: connection.remote_address(),
            send,
            recv,
            buffer: wire::Buffer::new(),
            sending: false,
            moved: Moved::default(),
            connection,
            _use: used,
        }
    }

    /// Address of the other side
    pub fn peer(&self) -> SocketAddr {
        self.to
    }

    /// Bytes of frames since the last call, without what the transport adds
    pub fn take_moved(&mut self) -> Moved {
        std::mem::take(&mut self.moved)
    }

    /// Packets that came from the other side on the connection, acknowledgements included
    pub fn packets(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Send a further frame; waits while the other side does not read
    ///
    /// A call that is dropped before its end leaves the exchange broken.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = wire::encode(frame).map_err(|error| self.broken(&error))?;
        self.send_bytes(&bytes).await
    }

    pub(super) async fn send_bytes(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.sending {
            self.cancel();
            return Err(self.broken(&"a frame was left half sent"));
        }
        self.sending = true;
        self.moved.sent += bytes.len() as u64;
        let sent = self.send.write_all(bytes).await;
        self.sending = false;
        sent.map_err(|error| self.broken(&error))
    }

    /// Next frame of the other side, `None` at the end of the stream
    ///
    /// Can be dropped at any point and called again. A frame that cannot be decoded is answered
    /// with [`Frame::Unsupported`] and breaks the exchange.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            match self.buffer.next_frame() {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) => {}
                Err(error) => return Err(self.reject(&error).await),
            }
            let chunk = self.recv.read_chunk(READ, true).await;
            match chunk.map_err(|error| self.broken(&error))? {
                Some(chunk) => {
                    self.moved.received += chunk.bytes.len() as u64;
                    self.buffer.push(&chunk.bytes);
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(self.broken(&"the stream ended inside a frame")),
            }
        }
    }

    /// Say that no further frame follows; the other side can still send
    pub fn finish(&mut self) {
        if self.send.finish().is_err() {
            log::debug!("stream to {} was closed before its end", self.to);
        }
    }

    /// Tell the other side to stop working on it
    pub fn cancel(&mut self) {
        let reset = self.send.reset(CANCELLED);
        let stopped = self.recv.stop(CANCELLED);
        if reset.is_err() && stopped.is_err() {
            log::debug!("stream to {} was closed before it was cancelled", self.to);
        }
    }

    /// Wait until the other side cancels or the connection breaks
    ///
    /// It also ends when the other side has read a finished stream whole. Needs no hold on the
    /// exchange, so that it can run beside [`Exchange::send`].
    pub fn gone(&self) -> impl Future<Output = ()> + Send + 'static {
        let stopped = self.send.stopped();
        async move {
            if let Err(error) = stopped.await {
                log::debug!("exchange ended: {error}");
            }
        }
    }

    async fn reject(&mut self, error: &wire::Error) -> Error {
        if let Err(failed) = self.send(&Frame::Unsupported).await {
            log::debug!("cannot answer an unreadable frame: {failed}");
        }
        self.finish();
        self.broken(error)
    }

    fn broken(&self, why: &dyn std::fmt::Display) -> Error {
        Error::Broken(self.to, why.to_string())
    }
}
