//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use displaydoc::Display;
use serde::Deserialize;

use crate::gateway::Settings;
use crate::retry::Bound;

/// Variable with the path of the settings file
pub const PATH_VARIABLE: &str = "TANAGERPIER_NODE_FILE";

/// Path of the settings file where the variable is not set
pub const DEFAULT_PATH: &str = "/etc/tanagerpier/node.yaml";

/// Why the settings file cannot be used
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read settings {0}: {1}
    Unreadable(String, std::io::Error),
    /// settings {0}: {1}
    Malformed(String, String),
}

impl std::error::Error for Error {}

/// Settings file; fields that are not used here are ignored, as new ones may come
#[derive(Debug, Deserialize)]
struct Node {
    node_name: CompactString,
    ip: IpAddr,
    zone: CompactString,
    region: CompactString,
    #[serde(default)]
    zones: BTreeMap<CompactString, CompactString>,
    listen: Listen,
    /// First and last port that are free for traffic between hosts
    internal_ports: [u16; 2],
    /// Control addresses of up to three hosts, which may be stale
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    bounds: Bounds,
    platform: Store,
}

#[derive(Debug, Deserialize)]
struct Listen {
    /// Where callers send requests
    frontend: SocketAddr,
    /// Where the platform asks whether this host is ready
    readiness: SocketAddr,
    control_plane: Option<SocketAddr>,
    directory: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct Limits {
    cpu_share: f64,
    memory_mb: u64,
    max_fds: usize,
    link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            memory_mb: 256,
            max_fds: 1024,
            link_mbps: 1000.0,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct Bounds {
    /// Time between SIGTERM and SIGKILL
    grace_s: f64,
    /// Longest lifetime of a directory answer that counts
    ttl_max_s: f64,
    retry_ratio: f64,
    retry_window_s: f64,
    /// Second attempts of the whole fleet beyond the ratio
    retry_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            ttl_max_s: 5.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Store {
    address: SocketAddr,
}

/// Read the settings file
pub fn read(path: &Path) -> Result<Settings, Error> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Error::Unreadable(name.clone(), e))?;
    parse(&text).map_err(|error| Error::Malformed(name, error))
}

/// Parse the text of a settings file
pub fn parse(text: &str) -> Result<Settings, String> {
    let node: Node = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
    let seconds = |value: f64| Duration::try_from_secs_f64(value).map_err(|e| e.to_string());
    let [first, last] = node.internal_ports;
    if last < first {
        return Err(format!("internal_ports: {first} is above {last}"));
    }
    Ok(Settings {
        host: node.node_name,
        zone: node.zone,
        region: node.region,
        zones: node.zones,
        caller_address: node.listen.frontend,
        readiness_address: node.listen.readiness,
        control_address: node.listen.control_plane,
        directory_address: node.listen.directory,
        peer_address: SocketAddr::new(node.ip, first),
        seed_addresses: node.seeds,
        store_address: node.platform.address,
        // A host carries requests in proportion to its core; a narrow link binds it before that.
        weight: node.limits.cpu_share.min(node.limits.link_mbps / 100.0),
        memory_bytes: node.limits.memory_mb << 20,
        max_descriptors: node.limits.max_fds,
        grace_period: seconds(node.bounds.grace_s)?,
        max_directory_ttl: seconds(node.bounds.ttl_max_s)?,
        retry_bound: Bound {
            ratio: node.bounds.retry_ratio,
            slack: node.bounds.retry_slack,
            window: seconds(node.bounds.retry_window_s)?,
        },
    })
}
