//! Heads of requests and responses.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use compact_str::CompactString;

use super::{Error, Headers, Length, MAX_HEADER_LINES};

/// Head of a request
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method as received
    pub method: CompactString,
    /// Path and query as received
    pub target: CompactString,
    /// Header lines
    pub headers: Headers,
    /// Length of the body
    pub length: Length,
    /// Whether the sender keeps the connection open after this message
    pub keep_alive: bool,
}

/// Head of a response
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status
    pub status: u16,
    /// Header lines
    pub headers: Headers,
    /// Length of the body
    pub length: Length,
    /// Whether the sender keeps the connection open after this message
    pub keep_alive: bool,
}

impl Request {
    /// Parses a complete head including its empty line
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let mut header_lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Request::new(&mut header_lines);
        let status = parsed.parse(bytes).map_err(|error| match error {
            httparse::Error::TooManyHeaders => Error::TooLong(bytes.len()),
            _ => Error::Malformed("request head"),
        })?;
        if status.is_partial() {
            return Err(Error::Malformed("request head"));
        }
        let (Some(method), Some(target), Some(version)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(Error::Malformed("request line"));
        };
        if !target.starts_with('/') {
            return Err(Error::Malformed("request target"));
        }
        let (method, target) = (method.into(), target.into());
        let headers = copy_headers(parsed.headers);
        let hosts = headers.texts("Host")?.len();
        if hosts > 1 || (version == 1 && hosts == 0) {
            return Err(Error::Malformed("not exactly one Host"));
        }
        Ok(Self {
            method,
            target,
            length: Length::of_request(&headers)?,
            keep_alive: is_keep_alive(version, &headers),
            headers,
        })
    }

    /// Returns the path without the query
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl Response {
    /// Parses the complete head of the response to a request with this method
    pub fn parse(bytes: &[u8], method: &str) -> Result<Self, Error> {
        if has_second_status_line(bytes) {
            return Err(Error::Malformed("status line within a head"));
        }
        let mut header_lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Response::new(&mut header_lines);
        let status = parsed
            .parse(bytes)
            .map_err(|_| Error::Malformed("invalid response head"))?;
        let (Some(code), Some(version)) = (parsed.code, parsed.version) else {
            return Err(Error::Malformed("incomplete status line"));
        };
        if status.is_partial() || !(100..=599).contains(&code) {
            return Err(Error::Malformed("invalid response head"));
        }
        let headers = copy_headers(parsed.headers);
        let length = Length::of_response(method, code, &headers)?;
        Ok(Self {
            status: code,
            keep_alive: is_keep_alive(version, &headers) && length != Length::UntilClose,
            headers,
            length,
        })
    }
}

/// Returns whether a response head has a status line behind its start
///
/// It is then the first part of an earlier response with another one right behind it.
pub fn has_second_status_line(head: &[u8]) -> bool {
    let behind_start = head.get(1..).unwrap_or_default();
    behind_start.windows(10).any(|window| match window {
        [b'H', b'T', b'T', b'P', b'/', b'1', b'.', minor, b' ', code] => {
            minor.is_ascii_digit() && code.is_ascii_digit()
        }
        _ => false,
    })
}

fn copy_headers(lines: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::new();
    for line in lines {
        headers.push(line.name, line.value);
    }
    headers
}

fn is_keep_alive(version: u8, headers: &Headers) -> bool {
    version == 1 && !headers.has_token("connection", "close")
}
