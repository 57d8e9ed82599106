//! How the end of a body is found.

use super::{Error, Headers};

/// Length of a body
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// So many bytes, 0 without a body
    Bytes(u64),
    /// Chunked transfer coding
    Chunked,
    /// Ends with the connection; answers only
    UntilClose,
}

impl Length {
    /// Length of a request's body; contradictory headers are an error
    pub fn of_request(headers: &Headers) -> Result<Self, Error> {
        match (content_length(headers)?, chunked(headers)?) {
            (Some(_), true) => Err(Error::Malformed("Content-Length with Transfer-Encoding")),
            (_, true) => Ok(Self::Chunked),
            (length, false) => Ok(Self::Bytes(length.unwrap_or(0))),
        }
    }

    /// Length of the body of the answer to a request with this method
    pub fn of_response(method: &str, status: u16, headers: &Headers) -> Result<Self, Error> {
        if method == "HEAD" || status < 200 || status == 204 || status == 304 {
            return Ok(Self::Bytes(0));
        }
        match (content_length(headers)?, chunked(headers)?) {
            (Some(_), true) => Err(Error::Malformed("Content-Length with Transfer-Encoding")),
            (_, true) => Ok(Self::Chunked),
            (Some(length), false) => Ok(Self::Bytes(length)),
            (None, false) => Ok(Self::UntilClose),
        }
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, Error> {
    let mut found = None;
    for value in headers.values("content-length") {
        let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let length: u64 = value
            .parse()
            .ok()
            .filter(|_| digits)
            .ok_or(Error::Malformed("Content-Length"))?;
        if found.is_some_and(|other| other != length) {
            return Err(Error::Malformed("two lengths"));
        }
        found = Some(length);
    }
    Ok(found)
}

fn chunked(headers: &Headers) -> Result<bool, Error> {
    let mut values = headers.values("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    if values.next().is_some() || !value.eq_ignore_ascii_case("chunked") {
        return Err(Error::Malformed("Transfer-Encoding is not chunked"));
    }
    Ok(true)
}
