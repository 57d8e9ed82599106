//! Message body length according to the framing headers.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use super::{Error, Headers};

/// How the length of a body is determined
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Number of remaining bytes; 0 if there is no body
    Bytes(u64),
    /// Chunked transfer coding
    Chunked,
    /// The body ends when the connection closes; responses only
    UntilClose,
}

impl Length {
    /// Returns the body length of a request; conflicting headers are an error
    pub fn of_request(headers: &Headers) -> Result<Self, Error> {
        match (content_length(headers)?, is_chunked(headers)?) {
            (Some(_), true) => Err(Error::Malformed("Content-Length with Transfer-Encoding")),
            (_, true) => Ok(Self::Chunked),
            (length, false) => Ok(Self::Bytes(length.unwrap_or(0))),
        }
    }

    /// Returns the body length of the response to a request with this method
    pub fn of_response(method: &str, status: u16, headers: &Headers) -> Result<Self, Error> {
        if method == "HEAD" || status < 200 || status == 204 || status == 304 {
            return Ok(Self::Bytes(0));
        }
        match (content_length(headers)?, is_chunked(headers)?) {
            (Some(_), true) => Err(Error::Malformed("Content-Length with Transfer-Encoding")),
            (_, true) => Ok(Self::Chunked),
            (Some(length), false) => Ok(Self::Bytes(length)),
            (None, false) => Ok(Self::UntilClose),
        }
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, Error> {
    let mut content_length = None;
    for value in headers.texts("Content-Length")? {
        let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let length: u64 = value
            .parse()
            .ok()
            .filter(|_| is_number)
            .ok_or(Error::Malformed("Content-Length"))?;
        if content_length.is_some_and(|previous| previous != length) {
            return Err(Error::Malformed("two lengths"));
        }
        content_length = Some(length);
    }
    Ok(content_length)
}

fn is_chunked(headers: &Headers) -> Result<bool, Error> {
    match headers.texts("Transfer-Encoding")?[..] {
        [] => Ok(false),
        [value] if value.eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(Error::Malformed("Transfer-Encoding is not chunked")),
    }
}
