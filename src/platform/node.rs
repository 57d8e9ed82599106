//! Settings file that the platform writes for each process.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use displaydoc::Display;
use serde::Deserialize;

use crate::bound;
use crate::budget::memory::MIN_PROCESS_BYTES;
use crate::gateway::Settings;
use crate::retry::Bound;

/// Environment variable with the path of the settings file
pub const PATH_VARIABLE: &str = "TANAGERPIER_NODE_FILE";

/// Path of the settings file if [`PATH_VARIABLE`] is not set
pub const DEFAULT_PATH: &str = "/etc/tanagerpier/node.yaml";

/// Number of missed heartbeats after which the platform removes the entry of an endpoint, and one for
/// the way
const RESTORE_HEARTBEATS: f64 = 4.0;

fn default_heartbeat_millis() -> f64 {
    1500.0
}

/// Reason why the settings file cannot be used
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read settings file {0}: {1}
    Unreadable(String, std::io::Error),
    /// settings file {0} is invalid: {1}
    Malformed(String, String),
}

impl std::error::Error for Error {}

/// Content of the settings file; unused fields are ignored, since the platform may add new ones
#[derive(Debug, Deserialize)]
struct SettingsFile {
    node_name: CompactString,
    ip: IpAddr,
    zone: CompactString,
    region: CompactString,
    #[serde(default)]
    zones: BTreeMap<CompactString, CompactString>,
    listen: ListenAddresses,
    /// First and last port of the range reserved for traffic between hosts
    internal_ports: [u16; 2],
    /// Control addresses of up to three other hosts; they may be stale
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Interval at which endpoints write their entries
    #[serde(default = "default_heartbeat_millis")]
    heartbeat_ms: f64,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    bounds: Bounds,
    platform: StoreAddress,
}

#[derive(Debug, Deserialize)]
struct ListenAddresses {
    /// Address for requests of callers
    frontend: SocketAddr,
    /// Address for the platform's readiness checks
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
    /// Time in which an acknowledged configuration must be in force
    config_apply_ms: f64,
    /// Time between SIGTERM and SIGKILL
    grace_s: f64,
    /// Time after which an endpoint that leaves receives no more requests
    drain_ms: f64,
    /// Maximum effective TTL of a directory response
    ttl_max_s: f64,
    /// Allowed retries per request
    retry_ratio: f64,
    retry_window_s: f64,
    /// Retries that the whole fleet may send beyond the ratio
    retry_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            config_apply_ms: 2000.0,
            grace_s: 6.0,
            drain_ms: 2000.0,
            ttl_max_s: 5.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
        }
    }
}

#[derive(Debug, Deserialize)]
struct StoreAddress {
    address: SocketAddr,
}

/// Reads and parses the settings file
pub fn read(path: &Path) -> Result<Settings, Error> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::Unreadable(path_text.clone(), error))?;
    parse(&text).map_err(|error| Error::Malformed(path_text, error))
}

/// Parses the text of a settings file
pub fn parse(text: &str) -> Result<Settings, String> {
    let file: SettingsFile = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
    let seconds = |value: f64| {
        let seconds = Duration::try_from_secs_f64(value).map_err(|error| error.to_string());
        seconds.map(bound::duration)
    };
    let [first_port, last_port] = file.internal_ports;
    if last_port < first_port {
        return Err(format!(
            "internal_ports: first port {first_port} is greater than last port {last_port}"
        ));
    }
    let memory_bytes = memory_bytes(file.limits.memory_mb)?;
    Ok(Settings {
        host: file.node_name,
        zone: file.zone,
        region: file.region,
        zones: file.zones,
        caller_address: file.listen.frontend,
        readiness_address: file.listen.readiness,
        control_address: file.listen.control_plane,
        directory_address: file.listen.directory,
        peer_address: SocketAddr::new(file.ip, first_port),
        seed_addresses: file.seeds,
        store_address: file.platform.address,
        // The capacity of a host is proportional to its CPU share, unless its link is the
        // bottleneck: a link of 100 Mbit/s counts as much as a whole core.
        weight: bound::ratio(file.limits.cpu_share.min(file.limits.link_mbps / 100.0)),
        memory_bytes,
        max_descriptors: file.limits.max_fds,
        apply_time: seconds(file.bounds.config_apply_ms / 1000.0)?,
        grace_period: seconds(file.bounds.grace_s)?,
        drain_time: seconds(file.bounds.drain_ms / 1000.0)?,
        restore_time: seconds(file.heartbeat_ms / 1000.0 * RESTORE_HEARTBEATS)?,
        max_directory_ttl: seconds(file.bounds.ttl_max_s)?,
        retry_bound: Bound {
            ratio: file.bounds.retry_ratio,
            slack: file.bounds.retry_slack,
            window: seconds(file.bounds.retry_window_s)?,
        },
    })
}

/// Returns a memory limit in bytes; too small a one would refuse all requests
fn memory_bytes(megabytes: u64) -> Result<u64, String> {
    let bytes = megabytes.checked_mul(1 << 20);
    let bytes = bytes.filter(|bytes| *bytes >= MIN_PROCESS_BYTES);
    bytes.ok_or_else(|| {
        let min = MIN_PROCESS_BYTES >> 20;
        let max = u64::MAX >> 20;
        format!("limits.memory_mb: {megabytes} is not between {min} and {max}")
    })
}
