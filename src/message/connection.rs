//! TCP connection with a buffer of received bytes that no message has consumed yet.

use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::{FutureExt, poll_once, yield_now};
use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::TcpStream;

use super::{Chunks, Error, Length, MAX_RESPONSE_HEAD_BYTES, Progress, Request, Response, find};

/// Maximum number of bytes per read from the socket
const READ_BYTES: usize = 8 << 10;

/// Maximum number of reads in a row for which the socket had bytes, before other tasks get a turn
const MAX_READY_READS: u8 = 4;

/// Maximum number of interim responses before the final one; servers send one or two
const MAX_INTERIM_RESPONSES: usize = 16;

/// Awaits `future`; returns `None` if it is not ready at `deadline`
pub async fn timeout<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(expired).await
}

/// Connection that keeps unread bytes between messages
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Length of the buffered prefix without the end of a head
    scanned: usize,
    chunks: Chunks,
    /// Number of reads since this task waited
    ready_reads: u8,
}

impl Connection {
    /// Creates a connection from an open stream
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self::with_received(stream, Vec::new()))
    }

    /// Creates a connection on which bytes were received that no message has consumed
    pub fn with_received(stream: TcpStream, buffer: Vec<u8>) -> Self {
        Self {
            stream,
            buffer,
            scanned: 0,
            chunks: Chunks::new(),
            ready_reads: 0,
        }
    }

    /// Connects to an address
    pub async fn connect(address: SocketAddr, timeout_after: Duration) -> io::Result<Self> {
        let stream = timeout(Instant::now() + timeout_after, TcpStream::connect(address)).await;
        let stream = stream.ok_or(io::ErrorKind::TimedOut)??;
        Self::new(stream)
    }

    /// Returns a write half that can be used while the connection is read
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns whether received bytes have not been consumed by a message
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the peer has neither closed the connection nor sent unread bytes
    pub async fn is_idle(&self) -> bool {
        if self.has_unread_bytes() {
            return false;
        }
        let mut byte = [0];
        poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// Writes all bytes; fails with `TimedOut` at the deadline
    pub async fn write(&mut self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        let written = timeout(deadline, self.stream.write_all(bytes)).await;
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads the head of the next request, of at most `max_bytes`
    pub async fn read_request(&mut self, max_bytes: usize) -> Result<Request, Error> {
        let end = self.read_head(max_bytes).await?;
        let parsed = Request::parse(&self.buffer[..end]);
        self.consume(end);
        self.chunks = Chunks::new();
        parsed
    }

    /// Returns whether the first bytes of the next request have been received
    pub fn has_partial_request(&self) -> bool {
        self.buffer
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Waits for the first byte of the next request; returns `false` if the peer closes first
    pub async fn wait_for_request(&mut self) -> io::Result<bool> {
        while !self.has_partial_request() {
            self.consume(self.buffer.len());
            if self.fill().await? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads the head of the final response to a request with this method; skips interim responses
    pub async fn read_response(&mut self, method: &str) -> Result<Response, Error> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let end = self.read_head(MAX_RESPONSE_HEAD_BYTES).await?;
            let parsed = Response::parse(&self.buffer[..end], method);
            self.consume(end);
            self.chunks = Chunks::new();
            let response = parsed?;
            if response.status >= 200 {
                return Ok(response);
            }
        }
        Err(Error::Malformed("too many interim responses"))
    }

    /// Reads the next part of a body; returns `None` at the end of the body
    ///
    /// Subtracts the part from `length`. Cancel safe: after the future is dropped, the next call
    /// continues without loss.
    pub async fn read_body_part(&mut self, length: &mut Length) -> Result<Option<Vec<u8>>, Error> {
        match length {
            Length::Bytes(0) => Ok(None),
            Length::Bytes(remaining) => {
                if self.buffer.is_empty() && self.fill().await? == 0 {
                    return Err(Error::Truncated);
                }
                let part = self.take_up_to(*remaining);
                *remaining -= part.len() as u64;
                Ok(Some(part))
            }
            Length::UntilClose => {
                if self.buffer.is_empty() && self.fill().await? == 0 {
                    *length = Length::Bytes(0);
                    return Ok(None);
                }
                Ok(Some(self.take_up_to(u64::MAX)))
            }
            Length::Chunked => {
                let part = self.read_chunked_part().await?;
                if part.is_none() {
                    *length = Length::Bytes(0);
                }
                Ok(part)
            }
        }
    }

    /// Reads a complete body of at most `max_bytes`
    pub async fn read_body(
        &mut self,
        mut length: Length,
        max_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        while let Some(part) = self.read_body_part(&mut length).await? {
            if body.len() + part.len() > max_bytes {
                return Err(Error::TooLong(max_bytes));
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Waits until the peer closes the connection; buffers early bytes
    ///
    /// Stops reading and never returns once `max_buffered` bytes have arrived.
    pub async fn wait_until_closed(&mut self, max_buffered: usize) {
        while self.buffer.len() < max_buffered {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Buffers the next head and returns its length
    async fn read_head(&mut self, max_bytes: usize) -> Result<usize, Error> {
        let mut skipped = 0;
        loop {
            let line_breaks = self
                .buffer
                .iter()
                .take_while(|byte| matches!(byte, b'\r' | b'\n'));
            let line_breaks = line_breaks.count();
            if line_breaks > 0 {
                self.consume(line_breaks);
                skipped += line_breaks;
            }
            if skipped > max_bytes {
                return Err(Error::TooLong(max_bytes));
            }
            let start = self.scanned.saturating_sub(3).min(self.buffer.len());
            let position = find(&self.buffer[start..], b"\r\n\r\n");
            if let Some(position) = position {
                let end = start + position + 4;
                return if end > max_bytes {
                    Err(Error::TooLong(max_bytes))
                } else {
                    Ok(end)
                };
            }
            self.scanned = self.buffer.len();
            if self.buffer.len() > max_bytes {
                return Err(Error::TooLong(max_bytes));
            }
            if self.fill().await? == 0 {
                return Err(match self.buffer.is_empty() {
                    true => Error::Closed,
                    false => Error::Truncated,
                });
            }
        }
    }

    /// Reads the data of all chunks that are buffered, so that many small ones are passed on at once
    async fn read_chunked_part(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let mut part = Vec::new();
        loop {
            let (used, progress) = self.chunks.decode(&self.buffer, &mut part);
            self.consume(used);
            if !part.is_empty() {
                // An error, or the end, is found again by the next call.
                return Ok(Some(part));
            }
            match progress? {
                Progress::Partial => {
                    if self.fill().await? == 0 {
                        return Err(Error::Truncated);
                    }
                }
                Progress::Complete => {
                    self.chunks = Chunks::new();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads from the socket into the buffer; returns 0 at the end of the stream
    async fn fill(&mut self) -> io::Result<usize> {
        if self.ready_reads >= MAX_READY_READS {
            // A sender that is always ahead never makes this task wait.
            self.ready_reads = 0;
            yield_now().await;
        }
        let mut has_waited = false;
        let count = poll_fn(|context| {
            // An array that lives across an await is part of every task that reads.
            let mut received = [0; READ_BYTES];
            let stream = Pin::new(&mut self.stream);
            let Poll::Ready(count) = stream.poll_read(context, &mut received) else {
                has_waited = true;
                return Poll::Pending;
            };
            let count = count?;
            self.buffer.extend_from_slice(&received[..count]);
            Poll::Ready(io::Result::Ok(count))
        })
        .await?;
        self.ready_reads = if has_waited { 0 } else { self.ready_reads + 1 };
        Ok(count)
    }

    fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
        self.scanned = 0;
    }

    fn take_up_to(&mut self, max_bytes: u64) -> Vec<u8> {
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        self.scanned = 0;
        if self.buffer.len() <= max_bytes {
            return std::mem::take(&mut self.buffer);
        }
        let remaining = self.buffer.split_off(max_bytes);
        std::mem::replace(&mut self.buffer, remaining)
    }
}
