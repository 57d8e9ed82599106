//! Status of a pool's endpoints, for the operators' port.

use std::time::{Duration, Instant};

use super::Pool;
use crate::config::Endpoint;
use crate::id::EndpointId;

/// Snapshot of one endpoint's slots
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus<'a> {
    /// Endpoint ID
    pub id: &'a EndpointId,
    /// Configuration of the endpoint
    pub config: &'a Endpoint,
    /// Slots in use
    pub busy: u32,
    /// Slots that may be in use now
    pub usable: u32,
    /// `ready`, or why the endpoint gets fewer requests
    pub state: &'static str,
    /// Age of the newest load report
    pub report_age: Option<Duration>,
}

impl Pool {
    /// Returns the current status of each endpoint
    pub fn endpoints(&self, now: Instant) -> impl Iterator<Item = EndpointStatus<'_>> {
        let takeover = self.is_taking_over(now);
        self.endpoints
            .iter()
            .map(move |(id, state)| EndpointStatus {
                id,
                config: &state.config,
                busy: state.busy(),
                usable: state.usable(now, takeover),
                state: if takeover {
                    "taking over"
                } else {
                    state.status(now)
                },
                report_age: state.report_age(now),
            })
    }
}
