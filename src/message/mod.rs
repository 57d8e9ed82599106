//! HTTP/1.1 messages for the gateway: `httparse` parses the heads, bodies are read in parts.
//!
//! `async-h1` is not used here: it loses pipelined requests, accepts truncated bodies as complete,
//! and cannot detect bytes that an upstream sends after its response (`docs/design/platform.md`).

use std::io;

use compact_str::CompactString;
use displaydoc::Display;

mod chunk;
mod connection;
mod head;
mod length;

#[cfg(test)]
mod tests;

pub use chunk::{Chunks, Progress};
pub use connection::{Connection, timeout};
pub use head::{Request, Response, has_second_status_line};
pub use length::Length;

/// Maximum accepted length of a response head; servers commonly stay below 16 KiB
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of header lines of a message; common servers allow 100
pub const MAX_HEADER_LINES: usize = 128;

// The gateway sends the text of a malformed request to the caller.
/// Reason why a message cannot be read
#[derive(Debug, Display)]
pub enum Error {
    /// connection closed between messages
    Closed,
    /// connection closed within a message
    Truncated,
    /// message exceeds the limit of {0} bytes
    TooLong(usize),
    /// malformed message: {0}
    Malformed(&'static str),
    /// connection failed: {0}
    Io(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Header lines in the order of their arrival; names are compared without regard to case
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(CompactString, Vec<u8>)>);

impl Headers {
    /// Creates an empty list of header lines
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the first value of a header if it is valid UTF-8
    pub fn get(&self, name: &str) -> Option<&str> {
        let has_name = |(key, _): &&(CompactString, Vec<u8>)| key.eq_ignore_ascii_case(name);
        let (_, value) = self.0.iter().find(has_name)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns the names of all header lines as received
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|(name, _)| name.as_str())
    }

    /// Returns all values of a header that are valid UTF-8
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(key, _)| key.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Returns the values of a header that must be text; any other value is an error
    pub fn texts(&self, name: &'static str) -> Result<Vec<&str>, Error> {
        let lines = self.0.iter();
        let lines = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        let texts = lines.map(|(_, value)| std::str::from_utf8(value).map(str::trim));
        texts
            .collect::<Result<_, _>>()
            .map_err(|_| Error::Malformed(name))
    }

    /// Returns the number of lines of a header, also of those that are not valid UTF-8
    pub fn count(&self, name: &str) -> usize {
        let lines = self.0.iter();
        lines
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .count()
    }

    /// Returns whether a comma-separated header contains a token
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(token))
    }

    /// Appends a header line
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.into(), value.into()));
    }

    /// Removes all lines of a header
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(key, _)| !key.eq_ignore_ascii_case(name));
    }

    /// Removes hop-by-hop headers, including framing headers and those that `Connection` lists
    pub fn remove_hop_by_hop(&mut self) {
        const HOP_BY_HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        let connection_options: Vec<String> = self
            .values("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str())
                && !connection_options.iter().any(|option| *option == name)
        });
    }

    /// Writes all header lines to `buffer`
    pub fn write(&self, buffer: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            buffer.extend_from_slice(name.as_bytes());
            buffer.extend_from_slice(b": ");
            buffer.extend_from_slice(value);
            buffer.extend_from_slice(b"\r\n");
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
