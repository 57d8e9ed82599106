//! What callers and the platform ask an entry host for, apart from requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

/// A question to the directory or to the readiness port
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Which entry hosts a caller of a region should use
    Directory {
        /// Region of the caller, if it says so
        region: String,
    },
    /// Whether this host takes requests
    Readiness,
    /// Anything else
    Unknown,
}

/// Most addresses that a caller reads from an answer of the directory
pub const MAX_ADDRESSES: usize = 64;

/// Understand a path with its query
pub fn parse_request(method: &str, target: &str) -> Request {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/readiness") => Request::Readiness,
        ("GET", "/resolve") => Request::Directory {
            region: parameter(query, "region"),
        },
        _ => Request::Unknown,
    }
}

/// Body of an answer of the directory; `lifetime` is how long a caller may keep it
pub fn directory_body(addresses: &[SocketAddr], lifetime: Duration) -> String {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    json!({ "addresses": addresses, "ttl_s": lifetime.as_secs_f64() }).to_string()
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found
        .next()
        .map(|(_, value)| value.to_owned())
        .unwrap_or_default()
}
