//! What tests may choose about a deployment.

use std::time::Duration;

use super::STOP_GRACE_SECS;

/// Choices of a test; the rest of a deployment is the same for all
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of retries that the whole fleet may always make
    pub retry_slack: u32,
    /// Slots of an endpoint and the time that a request takes in one
    pub capacity: (usize, Duration),
    /// Seconds between SIGTERM and SIGKILL
    pub grace_secs: u64,
    /// Timeout of all routes, in milliseconds
    pub timeout_ms: u64,
    /// Number of hosts in the first region, `None` for as many as in the others
    pub first_region_hosts: Option<u8>,
    /// Time in which a configuration must be in force, in milliseconds
    pub config_apply_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retry_slack: 60,
            capacity: (3, Duration::from_millis(20)),
            grace_secs: STOP_GRACE_SECS,
            timeout_ms: 2500,
            first_region_hosts: None,
            config_apply_ms: 2000,
        }
    }
}
