//! Endpoints of a pool as operators see them.

use std::time::{Duration, Instant};

use super::Pool;
use crate::config::Endpoint;
use crate::id::EndpointId;

/// Slots of one endpoint at one moment
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus<'a> {
    /// Name of the endpoint
    pub id: &'a EndpointId,
    /// Its configuration
    pub config: &'a Endpoint,
    /// Slots in use
    pub busy: u32,
    /// Slots that may be used
    pub usable: u32,
    /// `ready`, or why it gets less work
    pub state: &'static str,
    /// Age of its newest load report
    pub report_age: Option<Duration>,
}

impl Pool {
    /// Endpoints at this moment
    pub fn endpoints(&self, now: Instant) -> impl Iterator<Item = EndpointStatus<'_>> {
        let takeover = self.taking_over(now);
        self.seats.iter().map(move |(name, seat)| EndpointStatus {
            id: name,
            config: &seat.endpoint,
            busy: seat.busy(),
            usable: seat.allowed(now, takeover),
            state: if takeover {
                "taking over"
            } else {
                seat.state(now)
            },
            report_age: seat.report_age(now),
        })
    }
}
