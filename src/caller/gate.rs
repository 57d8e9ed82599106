//! Caller connection that passes exactly one request at a time to the HTTP library.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::yield_now;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use smol::net::TcpStream;

use crate::caller::head::{self, Head, Length, Rejection};
use crate::entry::lock;
use crate::message::{self, Chunks, Progress};

/// Maximum number of bytes per read, and of pipelined requests after which reading pauses
const READ_BYTES: usize = 8 << 10;

/// Caller connection, shared by the library and the task that waits for a disconnect
#[derive(Clone, Debug)]
pub struct Connection {
    stream: TcpStream,
    write_timeout: Duration,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes read from the socket and not yet passed to the library
    buffered: Vec<u8>,
    /// Number of bytes of the current request that the library may still read
    remaining: u64,
    /// Timeout of the write that is blocked
    write_timer: Option<Timer>,
}

/// Reason why no head was read
#[derive(Debug)]
pub enum HeadError {
    /// The caller closed the connection or was idle for too long
    Closed,
    /// The request is rejected and the connection closed
    Rejected(Rejection),
}

impl Connection {
    /// Creates the state of a new connection
    pub fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            stream,
            write_timeout,
            state: Arc::default(),
        }
    }

    /// Reads the next head and allows the library to read it and its body
    pub async fn read_head(
        &mut self,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> std::result::Result<Head, HeadError> {
        let mut deadline = Instant::now() + idle_timeout;
        let mut is_started = false;
        loop {
            let (end, length) = self.lock().find_head_end();
            if let Some(end) = end {
                return self.accept_head(end).map_err(HeadError::Rejected);
            }
            if length >= head::MAX_HEAD_BYTES {
                return Err(HeadError::Rejected((431, "head is too long")));
            }
            if length > 0 && !is_started {
                is_started = true;
                deadline = Instant::now() + head_timeout;
            }
            let read = self.read_more();
            let timeout = async {
                Timer::at(deadline).await;
                Err(Error::from(ErrorKind::TimedOut))
            };
            match smol::future::or(read, timeout).await {
                Ok(0) => return Err(HeadError::Closed),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::TimedOut && is_started => {
                    return Err(HeadError::Rejected((408, "head took too long")));
                }
                Err(_) => return Err(HeadError::Closed),
            }
        }
    }

    fn accept_head(&mut self, end: usize) -> std::result::Result<Head, Rejection> {
        let mut state = self.lock();
        if end > head::MAX_HEAD_BYTES {
            return Err((431, "head is too long"));
        }
        let head = Head::parse(&state.buffered[..end])?;
        let mut end = end;
        if head.expects_continue {
            // `send_continue` replies to them.
            end = state.remove_lines(end, b"expect");
        }
        let body_bytes = match head.body_length {
            Length::Bytes(bytes) => bytes,
            Length::Chunked => {
                // `read_chunks` reads the body.
                end = state.remove_lines(end, b"transfer-encoding");
                0
            }
        };
        state.remaining = (end as u64).saturating_add(body_bytes);
        Ok(head)
    }

    /// Reads the complete chunked body of the current request, of at most `max_bytes`
    ///
    /// The library does not get it: its decoder takes the next request for trailers, and does not
    /// wait for trailers that arrive in parts.
    pub async fn read_chunks(
        &mut self,
        max_bytes: usize,
    ) -> std::result::Result<Vec<u8>, message::Error> {
        let mut chunks = Chunks::new();
        let mut body = Vec::new();
        loop {
            let progress = self.lock().decode(&mut chunks, &mut body)?;
            if body.len() > max_bytes {
                return Err(message::Error::TooLong(max_bytes));
            }
            if progress == Progress::Complete {
                return Ok(body);
            }
            if self.read_more().await? == 0 {
                return Err(message::Error::Truncated);
            }
            // A sender that is always ahead never makes this task wait.
            yield_now().await;
        }
    }

    /// Ends the current request: the library reads no further bytes
    pub fn end_request(&self) {
        self.lock().remaining = 0;
    }

    /// Sends `100 Continue` to a caller that waits for it before it sends the body
    pub async fn send_continue(&mut self) -> Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Rejects a request that the library does not receive, and closes the connection
    ///
    /// States no outcome: its ticket, if it has one, is not known.
    pub async fn reject(&mut self, (status, reason): Rejection) {
        let phrase = http_types::StatusCode::try_from(status);
        let phrase = phrase.map_or("Error", |status| status.canonical_reason());
        let length = reason.len() + 1;
        let text = format!(
            "HTTP/1.1 {status} {phrase}\r\nconnection: close\r\ncontent-type: text/plain\r\n\
             content-length: {length}\r\n\r\n{reason}\n"
        );
        if self.write_all(text.as_bytes()).await.is_ok() {
            self.close_lingering().await;
        }
    }

    /// Shuts down writing and discards further bytes before it closes; closing at once would reset
    /// the connection and could lose the last response
    pub async fn close_lingering(&mut self) {
        const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
        const MAX_DRAINED_BYTES: usize = 256 << 10;
        if self.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let mut stream = self.stream.clone();
        let drain = async {
            let mut buffer = [0; READ_BYTES];
            let mut total = 0;
            while let Ok(read @ 1..) = stream.read(&mut buffer).await {
                total += read;
                if total > MAX_DRAINED_BYTES {
                    return;
                }
            }
        };
        let timeout = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        smol::future::or(drain, timeout).await;
    }

    /// Waits until the caller disconnects; must be called only after its request was read completely
    pub async fn wait_until_closed(&mut self) {
        loop {
            if self.lock().buffered.len() >= READ_BYTES {
                return std::future::pending().await;
            }
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    async fn read_more(&mut self) -> Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let read = self.stream.read(&mut buffer).await?;
        self.lock().buffered.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    /// Returns the end of the head if it is complete, and the number of buffered bytes
    fn find_head_end(&mut self) -> (Option<usize>, usize) {
        while self.buffered.starts_with(b"\r\n") {
            self.buffered.drain(..2);
        }
        let position = self
            .buffered
            .windows(4)
            .position(|window| window == b"\r\n\r\n");
        (position.map(|position| position + 4), self.buffered.len())
    }

    /// Decodes the buffered bytes of a chunked body
    fn decode(
        &mut self,
        chunks: &mut Chunks,
        body: &mut Vec<u8>,
    ) -> std::result::Result<Progress, message::Error> {
        let (used, progress) = chunks.decode(&self.buffered, body);
        self.buffered.drain(..used);
        progress
    }

    /// Removes the lines of a header from a head and returns its new end
    fn remove_lines(&mut self, end: usize, header: &[u8]) -> usize {
        let lines = self.buffered[..end].split_inclusive(|byte| *byte == b'\n');
        let is_removed = |line: &&[u8]| {
            let name = line.split(|byte| *byte == b':').next();
            name.is_some_and(|name| name.eq_ignore_ascii_case(header))
        };
        let retained: Vec<u8> = lines
            .filter(|line| !is_removed(line))
            .flatten()
            .copied()
            .collect();
        let new_end = retained.len();
        self.buffered.splice(..end, retained);
        new_end
    }

    /// Moves buffered bytes that the library may read into `buffer`
    fn take_buffered(&mut self, buffer: &mut [u8]) -> usize {
        let remaining = usize::try_from(self.remaining).unwrap_or(usize::MAX);
        let length = self.buffered.len().min(buffer.len()).min(remaining);
        buffer[..length].copy_from_slice(&self.buffered[..length]);
        self.buffered.drain(..length);
        self.remaining = self.remaining.saturating_sub(length as u64);
        length
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let remaining = {
            let mut state = self.lock();
            if state.remaining == 0 {
                return Poll::Ready(Ok(0));
            }
            if !state.buffered.is_empty() {
                return Poll::Ready(Ok(state.take_buffered(buffer)));
            }
            usize::try_from(state.remaining).unwrap_or(usize::MAX)
        };
        let length = buffer.len().min(remaining);
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]))?;
        if read == 0 {
            return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
        }
        let mut state = self.lock();
        state.remaining = state.remaining.saturating_sub(read as u64);
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            self.lock().write_timer = None;
            return Poll::Ready(written);
        }
        let write_timeout = self.write_timeout;
        let mut state = self.lock();
        let timer = state
            .write_timer
            .get_or_insert_with(|| Timer::after(write_timeout));
        ready!(Pin::new(timer).poll(context));
        state.write_timer = None;
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
