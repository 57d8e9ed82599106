//! Faults of a stand-in upstream, as its control address takes them.

use serde::{Deserialize, Serialize};

/// What an upstream says while it is leaving
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Leaving {
    /// It stays
    #[default]
    No,
    /// It says so and runs what comes
    Tell,
    /// It says so and refuses new work
    Refuse,
}

/// Health as `GET /health` answers it
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Requests running
    pub running: u32,
    /// Requests it runs at once
    pub slots: u32,
    /// Whether it is leaving
    pub leaving: bool,
}

/// Faults in force; parts are between 0 and 1
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service time in place of the planned one, in milliseconds
    pub service_ms: Option<u64>,
    /// First requests of the process that are slow
    pub cold_requests: u64,
    /// Time after the start in which requests are slow, in milliseconds
    pub cold_ms: u64,
    /// Times the service time of a cold request
    pub cold_factor: u32,
    /// Part of requests shed though a slot is free
    pub shed: f64,
    /// Drain in progress
    pub leaving: Leaving,
    /// Age of the health that is reported, in milliseconds
    pub health_lag_ms: u64,
    /// Health reported in place of the true one
    pub health: Option<Health>,
    /// Load header in place of the true one
    pub load: Option<String>,
    /// Text in target or body on which the process ends
    pub crash_marker: String,
    /// Part of answers that break off in the middle
    pub truncate: f64,
    /// Part of answers that come late
    pub late: f64,
    /// Delay of a late answer, in milliseconds
    pub late_ms: u64,
    /// Part of answers that are another request's
    pub crossed: f64,
    /// Part of answers followed by surplus bytes
    pub surplus: f64,
    /// Part of answers after which the connection closes without a word
    pub close: f64,
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
        }
    }
}
