//! A TCP connection with the bytes that were read ahead.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::{FutureExt, poll_once};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::{Error, Length, MAX_RESPONSE_HEAD_BYTES, Request, Response};

/// Bytes read from a socket at once
const READ: usize = 8 << 10;

/// Longest chunk head or trailer line, in bytes
const MAX_LINE: usize = 4 << 10;

/// Result of `work`, or `None` if it is not there at `deadline`
pub async fn timeout<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(late).await
}

/// Connection whose unread bytes are kept between messages
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    scanned: usize,
    chunk: Chunk,
}

/// Place within a chunked body
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Chunk {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

impl Connection {
    /// Connection on an open stream
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            scanned: 0,
            chunk: Chunk::Size,
        })
    }

    /// Open a connection
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(Instant::now() + limit, TcpStream::connect(address)).await;
        let stream = stream.ok_or(io::ErrorKind::TimedOut)??;
        Self::new(stream)
    }

    /// Write half, which can be used while the connection is read
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Whether bytes were read that no message has taken
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the other side has neither closed nor sent anything
    pub async fn is_idle(&self) -> bool {
        if self.has_unread_bytes() {
            return false;
        }
        let mut byte = [0];
        poll_once(self.stream.peek(&mut byte)).await.is_none()
    }

    /// Write all bytes before the deadline
    pub async fn write(&mut self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        let written = timeout(deadline, self.stream.write_all(bytes)).await;
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Head of the next request; `limit` in bytes
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Error> {
        let end = self.head(limit).await?;
        let parsed = Request::parse(&self.buffer[..end]);
        self.take(end);
        self.chunk = Chunk::Size;
        parsed
    }

    /// Whether a part of a next request was read
    pub fn has_partial_request(&self) -> bool {
        self.buffer
            .iter()
            .any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Wait for the first byte of a next request; `false` if the other side closed
    pub async fn wait_for_request(&mut self) -> io::Result<bool> {
        while !self.has_partial_request() {
            if self.fill().await? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Head of the final answer to a request with this method; interim answers are skipped
    pub async fn read_response(&mut self, method: &str) -> Result<Response, Error> {
        loop {
            let end = self.head(MAX_RESPONSE_HEAD_BYTES).await?;
            let parsed = Response::parse(&self.buffer[..end], method);
            self.take(end);
            self.chunk = Chunk::Size;
            let answer = parsed?;
            if answer.status >= 200 {
                return Ok(answer);
            }
        }
    }

    /// Next piece of a body; `None` at its end
    ///
    /// `length` counts down. Can be dropped at any point and called again.
    pub async fn read_body_part(&mut self, length: &mut Length) -> Result<Option<Vec<u8>>, Error> {
        match length {
            Length::Bytes(0) => Ok(None),
            Length::Bytes(left) => {
                if self.buffer.is_empty() && self.fill().await? == 0 {
                    return Err(Error::Truncated);
                }
                let piece = self.take_up_to(*left);
                *left -= piece.len() as u64;
                Ok(Some(piece))
            }
            Length::UntilClose => {
                if self.buffer.is_empty() && self.fill().await? == 0 {
                    *length = Length::Bytes(0);
                    return Ok(None);
                }
                Ok(Some(self.take_up_to(u64::MAX)))
            }
            Length::Chunked => {
                let piece = self.chunk().await?;
                if piece.is_none() {
                    *length = Length::Bytes(0);
                }
                Ok(piece)
            }
        }
    }

    /// Whole body of at most `limit` bytes
    pub async fn read_body(&mut self, mut length: Length, limit: usize) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        while let Some(piece) = self.read_body_part(&mut length).await? {
            if body.len() + piece.len() > limit {
                return Err(Error::TooLong(limit));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }

    /// Wait until the other side closes; bytes that it sends ahead are kept up to `limit`
    pub async fn wait_until_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    async fn head(&mut self, limit: usize) -> Result<usize, Error> {
        loop {
            let blank = self
                .buffer
                .iter()
                .take_while(|b| matches!(b, b'\r' | b'\n'));
            let blank = blank.count();
            if blank > 0 {
                self.take(blank);
            }
            let from = self.scanned.saturating_sub(3).min(self.buffer.len());
            let found = find(&self.buffer[from..], b"\r\n\r\n");
            if let Some(at) = found {
                let end = from + at + 4;
                return if end > limit {
                    Err(Error::TooLong(limit))
                } else {
                    Ok(end)
                };
            }
            self.scanned = self.buffer.len();
            if self.buffer.len() > limit {
                return Err(Error::TooLong(limit));
            }
            if self.fill().await? == 0 {
                return Err(match self.buffer.is_empty() {
                    true => Error::Closed,
                    false => Error::Truncated,
                });
            }
        }
    }

    async fn chunk(&mut self) -> Result<Option<Vec<u8>>, Error> {
        loop {
            match self.chunk {
                Chunk::Size => {
                    let parsed = httparse::parse_chunk_size(&self.buffer);
                    match parsed.map_err(|_| Error::Malformed("chunk size"))? {
                        httparse::Status::Complete((used, 0)) => {
                            self.take(used);
                            self.chunk = Chunk::Trailer;
                        }
                        httparse::Status::Complete((used, size)) => {
                            self.take(used);
                            self.chunk = Chunk::Data(size);
                        }
                        httparse::Status::Partial => self.more(MAX_LINE).await?,
                    }
                }
                Chunk::Data(0) => self.chunk = Chunk::DataEnd,
                Chunk::Data(left) => {
                    if self.buffer.is_empty() && self.fill().await? == 0 {
                        return Err(Error::Truncated);
                    }
                    let piece = self.take_up_to(left);
                    self.chunk = Chunk::Data(left - piece.len() as u64);
                    return Ok(Some(piece));
                }
                Chunk::DataEnd => {
                    if self.buffer.len() < 2 {
                        self.more(2).await?;
                        continue;
                    }
                    if !self.buffer.starts_with(b"\r\n") {
                        return Err(Error::Malformed("chunk end"));
                    }
                    self.take(2);
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => match find(&self.buffer, b"\r\n") {
                    Some(0) => {
                        self.take(2);
                        self.chunk = Chunk::Size;
                        return Ok(None);
                    }
                    Some(at) => self.take(at + 2),
                    None => self.more(MAX_LINE).await?,
                },
            }
        }
    }

    async fn more(&mut self, limit: usize) -> Result<(), Error> {
        if self.buffer.len() > limit {
            return Err(Error::Malformed("chunk line"));
        }
        match self.fill().await? {
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; READ];
        let count = self.stream.read(&mut piece).await?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn take(&mut self, count: usize) {
        self.buffer.drain(..count);
        self.scanned = 0;
    }

    fn take_up_to(&mut self, most: u64) -> Vec<u8> {
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        self.scanned = 0;
        if self.buffer.len() <= most {
            return std::mem::take(&mut self.buffer);
        }
        let rest = self.buffer.split_off(most);
        std::mem::replace(&mut self.buffer, rest)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
