//! Operator port of an entry host: metrics, status, explanations and events over HTTP.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /metrics` | metrics in the Prometheus text format |
//! | `GET /status` | [`Status`] |
//! | `GET /explain?service=S&block=B` | [`Explanation`]; 404 for an unknown service |
//! | `GET /events` | recent [`Event`]s, newest first |
//! | `GET /revision` | `config::Revision` in force |
//! | `GET /number` | number of that revision, for `pierctl apply --wait` |

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::Revision;
use crate::id::{BlockId, ServiceId};

mod explain;
pub mod metrics;
mod port;
mod status;

#[cfg(test)]
mod tests;

pub use explain::{Candidate, Exclusion, Explanation, Input, explain, zones};
pub use metrics::{Direction, Metrics, RequestResult};
pub use port::serve;
pub use status::{Call, Endpoint, Host, Service, Shift, Status, calls};

/// Event of traffic steering
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, in milliseconds since the Unix epoch
    pub at: u64,
    /// Kind of the event, such as `spill`
    pub kind: CompactString,
    /// Affected service; empty if the event concerns the whole host
    pub service: CompactString,
    /// Details, including the cause
    pub text: CompactString,
}

/// Function that explains the routing of a block; returns `None` for an unknown service
pub type Explain = dyn Fn(&ServiceId, BlockId) -> Option<Explanation> + Send + Sync;

/// Data sources of the operator port
#[derive(Clone)]
pub struct Source {
    /// Metrics of the process
    pub metrics: Metrics,
    /// Returns the current state of the host
    pub status: Arc<dyn Fn() -> Status + Send + Sync>,
    /// Explains the routing of a block
    pub explain: Arc<Explain>,
    /// Returns recent events, newest first
    pub events: Arc<dyn Fn() -> Vec<Event> + Send + Sync>,
    /// Returns the configuration in force
    pub revision: Arc<dyn Fn() -> Arc<Revision> + Send + Sync>,
}
