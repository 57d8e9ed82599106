//! Requests to the directory and readiness ports of an entry host, and directory responses.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

/// Request to the directory port or the readiness port
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Lists entry hosts for callers of a region
    Directory {
        /// Region of the caller; empty if not given
        region: String,
    },
    /// Checks whether this host accepts requests
    Readiness,
    /// Any other method or path
    Unknown,
}

/// Maximum number of addresses that callers read from a directory response
pub const MAX_ADDRESSES: usize = 64;

/// Parses the method and target of a request to the directory or readiness port
pub fn parse_request(method: &str, target: &str) -> Request {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/readiness") => Request::Readiness,
        ("GET", "/resolve") => Request::Directory {
            region: query_parameter(query, "region"),
        },
        _ => Request::Unknown,
    }
}

/// Returns the body of a directory response; callers may cache it for `ttl`
pub fn directory_body(addresses: &[SocketAddr], ttl: Duration) -> String {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    json!({ "addresses": addresses, "ttl_s": ttl.as_secs_f64() }).to_string()
}

fn query_parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut matches = pairs.filter(|(key, _)| *key == name);
    matches
        .next()
        .map(|(_, value)| value.to_owned())
        .unwrap_or_default()
}
