//! Response bodies of the upstream stand-in, which a load generator can verify byte by byte.

use std::pin::Pin;
use std::task::{Context, Poll};

use serde::{Deserialize, Serialize};
use smol::io::{self, AsyncRead};

/// First line of a response body, encoded as JSON
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstLine {
    /// Name of the endpoint that executed the request
    pub endpoint: String,
    /// Request ID
    pub request: String,
    /// Idempotency key
    pub key: String,
    /// Stable hash of the request body
    pub body_hash: u64,
}

/// Encodes a line with its line feed
pub fn encode(line: &FirstLine) -> Vec<u8> {
    let mut text = serde_json::to_vec(line).expect("the line serializes to JSON");
    text.push(b'\n');
    text
}

/// Returns the padding byte at a position of the body
pub fn padding_byte(position: usize) -> u8 {
    b'a' + (position % 23) as u8
}

/// Reader of a line and its padding that drops its guard before it returns the last byte
#[derive(Debug)]
pub struct PaddedBody<T> {
    text: Vec<u8>,
    position: usize,
    size: usize,
    fail_at: Option<usize>,
    guard: Option<T>,
}

impl<T> PaddedBody<T> {
    /// Creates a reader of `size` bytes that start with `text`
    pub fn new(text: Vec<u8>, size: usize, guard: T) -> Self {
        Self {
            text,
            position: 0,
            size,
            fail_at: None,
            guard: Some(guard),
        }
    }

    /// Makes the reader fail after half of its bytes if `is_truncated`
    pub fn with_truncation(mut self, is_truncated: bool) -> Self {
        self.fail_at = is_truncated.then_some(self.size / 2);
        self
    }
}

impl<T: Unpin> AsyncRead for PaddedBody<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let end = this.fail_at.unwrap_or(this.size);
        if this.position == end && end < this.size {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let count = buffer.len().min(end - this.position);
        for (offset, byte) in buffer[..count].iter_mut().enumerate() {
            let index = this.position + offset;
            *byte = this
                .text
                .get(index)
                .copied()
                .unwrap_or_else(|| padding_byte(index));
        }
        this.position += count;
        if this.position == this.size {
            this.guard = None;
        }
        Poll::Ready(Ok(count))
    }
}
