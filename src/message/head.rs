//! Heads of requests and answers.

use compact_str::CompactString;

use super::{Error, Headers, Length, MAX_HEADER_LINES};

/// Head of a request
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method as it was sent
    pub method: CompactString,
    /// Path and query as they were sent
    pub target: CompactString,
    /// Header lines
    pub headers: Headers,
    /// Length of the body
    pub length: Length,
    /// Whether the sender keeps the connection open for more
    pub keep_alive: bool,
}

/// Head of an answer
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status
    pub status: u16,
    /// Header lines
    pub headers: Headers,
    /// Length of the body
    pub length: Length,
    /// Whether the sender keeps the connection open for more
    pub keep_alive: bool,
}

impl Request {
    /// Parse a whole head, its empty line included
    pub fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Request::new(&mut lines);
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
        let headers = collect(parsed.headers);
        if version == 1 && headers.values("host").count() != 1 {
            return Err(Error::Malformed("not exactly one Host"));
        }
        Ok(Self {
            method,
            target,
            length: Length::of_request(&headers)?,
            keep_alive: keeps(version, &headers),
            headers,
        })
    }

    /// Path without the query
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl Response {
    /// Parse a whole head of the answer to a request with this method
    pub fn parse(bytes: &[u8], method: &str) -> Result<Self, Error> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed
            .parse(bytes)
            .map_err(|_| Error::Malformed("answer head"))?;
        let (Some(code), Some(version)) = (parsed.code, parsed.version) else {
            return Err(Error::Malformed("status line"));
        };
        if status.is_partial() || !(100..=599).contains(&code) {
            return Err(Error::Malformed("answer head"));
        }
        let headers = collect(parsed.headers);
        let length = Length::of_response(method, code, &headers)?;
        Ok(Self {
            status: code,
            keep_alive: keeps(version, &headers) && length != Length::UntilClose,
            headers,
            length,
        })
    }
}

fn collect(lines: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::new();
    for line in lines {
        headers.push(line.name, line.value);
    }
    headers
}

fn keeps(version: u8, headers: &Headers) -> bool {
    version == 1 && !headers.has_token("connection", "close")
}
