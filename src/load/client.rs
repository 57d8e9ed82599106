//! HTTP client with keep-alive connections that checks response bodies while it reads them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_h1::client::{Encoder, decode};
use http_types::Request;
use smol::Timer;
use smol::future::{FutureExt, poll_once};
use smol::io::{self, AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::http;
use crate::standin::response::{FirstLine, padding_byte};

/// Maximum length of the first line of a response, in bytes
const MAX_LINE_BYTES: usize = 64 << 10;

/// Size of the read buffer, in bytes
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Failure of a request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened
    Unreachable,
    /// A reused connection failed before the complete response head
    Stale,
    /// A new connection failed before the complete response head
    ConnectionFailed,
    /// The response body is incomplete
    Truncated,
    /// The complete response did not arrive within the timeout
    TimedOut,
}

/// Complete response
#[derive(Debug)]
pub struct Response {
    /// Status and headers
    pub head: http_types::Response,
    /// First line of the body
    pub first_line: Vec<u8>,
    /// Length of the body, in bytes
    pub body_bytes: usize,
    /// Whether all bytes after the first line match the padding pattern
    pub has_valid_padding: bool,
}

impl Response {
    /// Returns the HTTP status code
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// Returns the last value of a header
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// Returns whether the body is valid and belongs to the request with this key
    pub fn is_valid_for(&self, key: &str, min_bytes: usize) -> bool {
        let Ok(line) = serde_json::from_slice::<FirstLine>(&self.first_line) else {
            return false;
        };
        line.key == key && self.has_valid_padding && self.body_bytes >= min_bytes
    }
}

/// Pool of idle connections shared by all callers
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>,
}

impl Client {
    /// Creates a client without connections
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and reads the complete response
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(Failure::TimedOut)
        };
        self.send_without_timeout(address, request)
            .or(timed_out)
            .await
    }

    async fn send_without_timeout(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Response, Failure> {
        let reused = self.take_idle(address).await;
        let head_failure = match reused {
            Some(_) => Failure::Stale,
            None => Failure::ConnectionFailed,
        };
        let mut stream = match reused {
            Some(stream) => stream,
            None => http::connect(address)
                .await
                .map_err(|_| Failure::Unreachable)?,
        };
        let sent = io::copy(Encoder::new(request), &mut stream).await;
        sent.map_err(|_| head_failure)?;
        stream.flush().await.map_err(|_| head_failure)?;
        let head = decode(stream.clone()).await.map_err(|_| head_failure)?;
        let response = read_response(head).await?;
        if response.header("connection") != Some("close") {
            self.store_idle(address, stream);
        }
        Ok(response)
    }

    async fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let stream = self.lock().get_mut(&address)?.pop()?;
            let mut byte = [0];
            if poll_once(stream.peek(&mut byte)).await.is_none() {
                return Some(stream);
            }
        }
    }

    fn store_idle(&self, address: SocketAddr, stream: TcpStream) {
        self.lock().entry(address).or_default().push(stream);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<TcpStream>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_response(mut head: http_types::Response) -> Result<Response, Failure> {
    let content_length = head.len();
    let mut body = head.take_body();
    let mut response = Response {
        head,
        first_line: Vec::new(),
        body_bytes: 0,
        has_valid_padding: true,
    };
    let mut is_line_complete = false;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = body
            .read(&mut buffer)
            .await
            .map_err(|_| Failure::Truncated)?;
        if count == 0 {
            break;
        }
        for byte in &buffer[..count] {
            if is_line_complete {
                response.has_valid_padding &= *byte == padding_byte(response.body_bytes);
            } else if *byte == b'\n' || response.first_line.len() >= MAX_LINE_BYTES {
                is_line_complete = true;
            } else {
                response.first_line.push(*byte);
            }
            response.body_bytes += 1;
        }
    }
    match content_length {
        Some(length) if length != response.body_bytes => Err(Failure::Truncated),
        _ => Ok(response),
    }
}
