//! Settings of an entry host, read from a YAML file.
//!
//! Settings identify the process and its addresses; the rules that steer traffic are in the
//! configuration that the platform stores.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::id::{HostId, ZoneId};

mod check;

#[cfg(test)]
mod tests;

pub use check::{Error, check};

/// Settings of a `pier-entry` process
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, unique in the fleet
    pub host: HostId,
    /// Availability zone of this host
    pub zone: ZoneId,
    /// TCP address for callers
    #[serde(rename = "caller")]
    pub caller_address: SocketAddr,
    /// UDP address for other entry hosts
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
    /// TCP address of the operator port
    #[serde(rename = "operator")]
    pub operator_address: SocketAddr,
    /// Addresses of the platform's object API
    #[serde(rename = "platform")]
    pub platform_addresses: Vec<SocketAddr>,
    /// Peer addresses of hosts in this zone, used while the platform is unreachable
    #[serde(default)]
    #[serde(rename = "seeds")]
    pub seed_addresses: Vec<SocketAddr>,
    /// Key files for connections between entry hosts
    pub keys: Keys,
    /// Format and level of the logs
    #[serde(default)]
    pub log: Log,
}

/// Key material for mutual authentication between entry hosts
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// PEM file with the certificate of this host
    pub certificate: PathBuf,
    /// PEM file with the private key of this host
    pub private_key: PathBuf,
    /// PEM files with the certificates of trusted authorities
    pub authorities: Vec<PathBuf>,
}

/// Format and level of the logs
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Plain text or JSON lines
    pub format: LogFormat,
    /// Level such as `info`, or a `flexi_logger` specification
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

/// Format of a log line
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of plain text per event
    Text,
    /// One JSON object per event
    Json,
}
