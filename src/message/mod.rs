//! HTTP/1.1 messages for the gateway: heads by `httparse`, bodies as streams of pieces.
//!
//! `async-h1` is not used on this path. It loses pipelined requests, takes bodies that end early
//! for whole ones, and gives no way to see bytes that an upstream sends after its answer
//! (`docs/design/platform.md`).

use std::io;

use compact_str::CompactString;
use displaydoc::Display;

mod connection;
mod head;
mod length;

#[cfg(test)]
mod tests;

pub use connection::{Connection, timeout};
pub use head::{Request, Response};
pub use length::Length;

/// Longest head of an answer that is accepted, in bytes; servers commonly stay below 16 KiB
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 << 10;

/// Most header lines of a message; common servers allow 100
pub const MAX_HEADER_LINES: usize = 128;

/// Why a message cannot be read
#[derive(Debug, Display)]
pub enum Error {
    /// connection closed between messages
    Closed,
    /// connection closed within a message
    Truncated,
    /// head is longer than {0} bytes
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

/// Header lines in the order in which they came
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(CompactString, Vec<u8>)>);

impl Headers {
    /// No header lines
    pub fn new() -> Self {
        Self::default()
    }

    /// First value of a header, without regard to case
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(own, _): &&(CompactString, Vec<u8>)| own.eq_ignore_ascii_case(name);
        let (_, value) = self.0.iter().find(named)?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// All values of a header that are text
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(own, _)| own.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Whether a comma separated header contains a word
    pub fn has_token(&self, name: &str, word: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(word))
    }

    /// Append a header line
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.into(), value.into()));
    }

    /// Remove all lines of a header
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(own, _)| !own.eq_ignore_ascii_case(name));
    }

    /// Remove what concerns one connection only: framing, connection options and what they name
    pub fn remove_hop_by_hop(&mut self) {
        const HOP: [&str; 9] = [
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
        let named: Vec<String> = self
            .values("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP.contains(&name.as_str()) && !named.iter().any(|other| *other == name)
        });
    }

    /// Write all lines
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
