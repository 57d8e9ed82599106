//! Faults of the upstream stand-in, set through `PUT /control`.

use serde::{Deserialize, Serialize};

/// How an upstream drains
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Leaving {
    /// It does not drain
    #[default]
    No,
    /// It announces that it is leaving and executes new requests
    #[serde(rename = "tell")]
    Announce,
    /// It announces that it is leaving and refuses new requests
    Refuse,
}

/// Response to `GET /health`
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Number of running requests
    pub running: u32,
    /// Maximum number of concurrent requests
    pub slots: u32,
    /// Whether the upstream is leaving
    pub leaving: bool,
}

/// Active faults; ratios are between 0 and 1
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service time that overrides the configured one, in milliseconds
    pub service_ms: Option<u64>,
    /// Number of first requests of the process that are slow
    pub cold_requests: u64,
    /// Time after the start during which requests are slow, in milliseconds
    pub cold_ms: u64,
    /// Factor on the service time of a slow request
    pub cold_factor: u32,
    /// Ratio of requests shed although a slot is free
    pub shed: f64,
    /// Drain mode
    pub leaving: Leaving,
    /// Delay of the reported health, in milliseconds
    pub health_lag_ms: u64,
    /// Health that overrides the actual one
    pub health: Option<Health>,
    /// Value that overrides the actual `Load` header
    pub load: Option<String>,
    /// Text in the request target or body that makes the process exit
    pub crash_marker: String,
    /// Ratio of responses truncated after half of the body
    pub truncate: f64,
    /// Ratio of responses sent late
    pub late: f64,
    /// Delay of a late response, in milliseconds
    pub late_ms: u64,
    /// Ratio of responses that belong to the previous request
    pub crossed: f64,
    /// Ratio of responses followed by surplus bytes
    pub surplus: f64,
    /// Ratio of responses after which the connection closes without `Connection: close`
    pub close: f64,
    /// Ratio of requests that were refused and arrive again on the same connection before whose
    /// response a copy of the refusal is sent
    pub copied_refusals: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            service_ms: None,
            cold_requests: 0,
            cold_ms: 0,
            cold_factor: 5,
            shed: 0.0,
            leaving: Leaving::No,
            health_lag_ms: 0,
            health: None,
            load: None,
            crash_marker: "crash-me".to_owned(),
            truncate: 0.0,
            late: 0.0,
            late_ms: 1000,
            crossed: 0.0,
            surplus: 0.0,
            close: 0.0,
            copied_refusals: 0.0,
        }
    }
}
