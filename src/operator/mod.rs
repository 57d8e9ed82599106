//! The operators' port of an entry host: metrics, status, explanations and events.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /metrics` | metrics in the Prometheus text format |
//! | `GET /status` | [`Status`] |
//! | `GET /explain?service=S&block=B` | [`Explanation`]; 404 for an unknown service |
//! | `GET /events` | the newest [`Event`]s, newest first |
//! | `GET /revision` | the `config::Revision` in force |
//! | `GET /number` | its number, for `pierctl apply --wait` |

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

pub use explain::{Choice, Explanation, Known, RuledOut, explain, zones};
pub use metrics::{Direction, Metrics, Result as Ended};
pub use port::serve;
pub use status::{Call, Endpoint, Host, Service, Shift, Status, calls};

/// One steering event
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened, in milliseconds since the Unix epoch
    pub at: u64,
    /// What happened, such as `spill`
    pub kind: CompactString,
    /// Service that it concerns, empty for the whole host
    pub service: CompactString,
    /// Details with the cause
    pub text: CompactString,
}

/// Function that explains a block, or gives `None` for an unknown service
pub type Explain = dyn Fn(&ServiceId, BlockId) -> Option<Explanation> + Send + Sync;

/// Where the port gets its answers from
#[derive(Clone)]
pub struct Source {
    /// Metrics of the process
    pub metrics: Metrics,
    /// State of the host now
    pub status: Arc<dyn Fn() -> Status + Send + Sync>,
    /// Explanation for a block
    pub explain: Arc<Explain>,
    /// Newest events, newest first
    pub events: Arc<dyn Fn() -> Vec<Event> + Send + Sync>,
    /// Configuration in force
    pub revision: Arc<dyn Fn() -> Arc<Revision> + Send + Sync>,
}
