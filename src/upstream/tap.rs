//! Connection that limits how many response bytes the HTTP library can read.
//!
//! `async-h1` reads ahead into a buffer that is dropped with the response, so unexpected bytes on
//! a reused connection would go unnoticed. A [`Connection`] returns only the head, then at most the
//! length of the body, and keeps any further bytes.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::message;

/// Maximum length of a response head
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum number of bytes per read from the socket while reading the head
const READ_BYTES: usize = 8 * 1024;

/// Number of reads of a chunked body after which other tasks run
///
/// The decoder of `async-h1` reads chunk sizes and trailers in one poll; deadlines would not be
/// seen while an upstream sends as fast as it is read.
const READS_PER_YIELD: u32 = 16;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// Clonable connection with the state of one response
#[derive(Clone, Debug)]
pub struct Connection {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    head: Vec<u8>,
    buffered: Vec<u8>,
    /// Number of reads of a chunked body since other tasks ran
    reads: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Head,
    Body(u64),
    Chunked,
}

impl Connection {
    /// Creates a connection on which no response byte was read
    pub fn new(stream: TcpStream) -> Self {
        let state = State {
            phase: Phase::Head,
            head: Vec::new(),
            buffered: Vec::new(),
            reads: 0,
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns whether any response byte was received
    pub fn has_response_bytes(&self) -> bool {
        !self.lock().head.is_empty()
    }

    /// Allows reading `length` bytes of body, or everything if it is chunked
    pub fn set_body_length(&self, length: Option<u64>) {
        self.lock().phase = length.map_or(Phase::Chunked, Phase::Body);
    }

    /// Returns the stream if the response was read completely and no further bytes were received
    pub fn reusable_stream(&self) -> Option<TcpStream> {
        let state = self.lock();
        let is_complete = state.phase == Phase::Body(0) && state.buffered.is_empty();
        is_complete.then(|| self.stream.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take_head(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let previous_length = self.head.len();
        self.head.extend_from_slice(bytes);
        let search_start = previous_length.saturating_sub(HEAD_END.len());
        let end = self.head[search_start..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        let Some(end) = end else {
            if self.head.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("response head exceeds 8 KiB"));
            }
            return self.check_ascii(bytes.len());
        };
        let end = search_start + end + HEAD_END.len();
        self.buffered = self.head.split_off(end);
        if message::has_second_status_line(&self.head) {
            return Err(invalid_data("status line within a response head"));
        }
        self.phase = Phase::Body(0);
        self.check_ascii(end - previous_length)
    }

    fn is_yield_due(&mut self) -> bool {
        self.reads = (self.reads + 1) % READS_PER_YIELD;
        self.reads == 0
    }

    /// Returns `count` if the head is ASCII; `http_types` panics on other header values
    fn check_ascii(&self, count: usize) -> io::Result<usize> {
        if !self.head.is_ascii() {
            return Err(invalid_data("response head is not ASCII"));
        }
        Ok(count)
    }
}

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let phase = self.lock().phase;
        let limit = match phase {
            Phase::Head => return self.poll_head(context, buffer),
            Phase::Chunked if self.lock().is_yield_due() => {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Phase::Chunked => buffer.len(),
            Phase::Body(remaining) => buffer
                .len()
                .min(usize::try_from(remaining).unwrap_or(usize::MAX)),
        };
        if limit == 0 {
            return Poll::Ready(Ok(0));
        }
        let mut count = self.take_buffered(&mut buffer[..limit]);
        if count == 0 {
            count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..limit]))?;
        }
        let mut state = self.lock();
        if let Phase::Body(remaining) = state.phase {
            state.phase = Phase::Body(remaining - count as u64);
        }
        Poll::Ready(Ok(count))
    }
}

impl Connection {
    fn poll_head(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let limit = buffer.len().min(READ_BYTES);
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..limit]))?;
        Poll::Ready(self.lock().take_head(&buffer[..count]))
    }

    fn take_buffered(&self, buffer: &mut [u8]) -> usize {
        let mut state = self.lock();
        let count = state.buffered.len().min(buffer.len());
        buffer[..count].copy_from_slice(&state.buffered[..count]);
        state.buffered.drain(..count);
        count
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
