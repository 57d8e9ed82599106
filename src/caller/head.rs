//! Validation of a request head before the HTTP library parses it.
//!
//! Only what `async-h1` parses incorrectly or drops without a response is checked here.

use std::str::FromStr;

use compact_str::CompactString;
use http_types::{Method, Url};

/// Maximum length of a request head; the library accepts less than 8 KiB
pub const MAX_HEAD_BYTES: usize = (8 << 10) - 64;

/// Maximum number of header lines
pub const MAX_HEADER_LINES: usize = 100;

/// Properties of a request that the connection needs
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Method as received
    pub method: CompactString,
    /// Path and query as received
    pub target: CompactString,
    /// Length of the body
    pub body_length: Length,
    /// Whether the caller waits for `100 Continue` before it sends the body
    pub expects_continue: bool,
}

/// Length of a request body
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Number of bytes, 0 without a body
    Bytes(u64),
    /// Unknown until the last chunk
    Chunked,
}

/// HTTP status and reason with which a request is rejected
pub type Rejection = (u16, &'static str);

impl Head {
    /// Parses and validates a complete head, including the empty line at its end
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejection> {
        let text = std::str::from_utf8(bytes).map_err(|_| (400, "head is not UTF-8"))?;
        let text = text
            .strip_suffix("\r\n\r\n")
            .ok_or((400, "head ends early"))?;
        let mut lines = text.split("\r\n");
        let (method, target) = parse_request_line(lines.next().unwrap_or_default())?;
        let mut host_count = 0;
        let mut host = "";
        let mut length = None;
        let mut is_chunked = false;
        let mut expects_continue = false;
        for (index, line) in lines.enumerate() {
            if index >= MAX_HEADER_LINES {
                return Err((431, "too many header lines"));
            }
            let (name, value) = parse_header(line)?;
            match name.to_ascii_lowercase().as_str() {
                "host" => {
                    host_count += 1;
                    host = value;
                }
                "content-length" if length.is_some() => {
                    return Err((400, "more than one Content-Length"));
                }
                "content-length" => length = Some(parse_content_length(value)?),
                "transfer-encoding" if is_chunked => {
                    return Err((400, "more than one Transfer-Encoding"));
                }
                "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => is_chunked = true,
                "transfer-encoding" => return Err((501, "Transfer-Encoding is not chunked")),
                "upgrade" => return Err((501, "no upgrade is offered")),
                "expect" if value.eq_ignore_ascii_case("100-continue") => expects_continue = true,
                "expect" => return Err((417, "Expect is not 100-continue")),
                _ => {}
            }
        }
        if host_count != 1 || host.is_empty() {
            return Err((400, "not exactly one Host"));
        }
        Url::parse(&format!("http://{host}{target}")).map_err(|_| (400, "bad Host or path"))?;
        let body_length = match (length, is_chunked) {
            (Some(_), true) => return Err((400, "Content-Length with Transfer-Encoding")),
            (_, true) => Length::Chunked,
            (length, false) => Length::Bytes(length.unwrap_or(0)),
        };
        Ok(Self {
            method: method.into(),
            target: target.into(),
            body_length,
            expects_continue,
        })
    }
}

fn parse_request_line(line: &str) -> Result<(&str, &str), Rejection> {
    let mut words = line.split(' ');
    let (method, target, version) = match (words.next(), words.next(), words.next()) {
        (Some(method), Some(target), Some(version)) if words.next().is_none() => {
            (method, target, version)
        }
        _ => return Err((400, "bad request line")),
    };
    if method.is_empty() || !method.bytes().all(is_token_byte) {
        return Err((400, "bad method"));
    }
    if version != "HTTP/1.1" {
        return Err((505, "not HTTP/1.1"));
    }
    let is_known = Method::from_str(method).is_ok_and(|parsed| parsed.as_ref() == method);
    if !is_known || method == "CONNECT" {
        return Err((501, "method is not supported"));
    }
    if !target.starts_with('/') || !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err((400, "bad path"));
    }
    Ok((method, target))
}

fn parse_header(line: &str) -> Result<(&str, &str), Rejection> {
    let (name, value) = line
        .split_once(':')
        .ok_or((400, "header without a colon"))?;
    if name.is_empty() || !name.bytes().all(is_token_byte) {
        return Err((400, "bad header name"));
    }
    if value
        .bytes()
        .any(|byte| byte != b'\t' && byte.is_ascii_control())
    {
        return Err((400, "bad header value"));
    }
    Ok((name, value.trim_matches([' ', '\t'])))
}

fn parse_content_length(value: &str) -> Result<u64, Rejection> {
    let has_only_digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    let length = value.parse().ok().filter(|_| has_only_digits);
    length.ok_or((400, "bad Content-Length"))
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
