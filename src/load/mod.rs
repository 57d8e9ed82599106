//! Open-loop load generator that verifies every response and execution.
//!
//! Requests start at their scheduled times regardless of how slow responses are, and latencies are
//! measured from the scheduled time, which avoids coordinated omission. After the load, the
//! outcomes that callers received are compared with the executions that the upstream stand-ins
//! recorded.

pub mod args;
mod audit;
mod caller;
mod client;
pub mod closed;
mod report;
mod schedule;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

pub use audit::{CallerResult, Violations, audit};
pub use report::{LatencySummary, Report};
pub use schedule::{Arrival, Kind, Shape, WeightedService, schedule};

use crate::error::Error;

/// Target and shape of a load
#[derive(Clone, Debug)]
pub struct Plan {
    /// Caller addresses of entry hosts
    pub entry_addresses: Vec<SocketAddr>,
    /// Upstreams to send to without entry hosts; empty to send through entry hosts
    pub direct_addresses: Vec<SocketAddr>,
    /// Upstream stand-ins whose records are compared after the load
    pub upstream_addresses: Vec<SocketAddr>,
    /// Requests per second before the shape is applied
    pub rate: f64,
    /// Time over which requests start
    pub duration: Duration,
    /// How the load changes over its duration
    pub shape: Shape,
    /// Services and their weights
    pub services: Vec<WeightedService>,
    /// Ratio of at-most-once requests, between 0 and 1
    pub at_most_once_ratio: f64,
    /// Ratio of requests with the crash marker, between 0 and 1
    pub crash_ratio: f64,
    /// Number of client blocks that requests come from
    pub block_count: u32,
    /// Timeout of one attempt
    pub attempt_timeout: Duration,
    /// Time after which a caller abandons a request
    pub caller_timeout: Duration,
    /// Seed of the schedule
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entry_addresses: Vec::new(),
            direct_addresses: Vec::new(),
            upstream_addresses: Vec::new(),
            rate: 100.0,
            duration: Duration::from_secs(5),
            shape: Shape::Steady,
            services: vec![WeightedService::new("licence-portal", 1.0, 0)],
            at_most_once_ratio: 0.1,
            crash_ratio: 0.0,
            block_count: 50,
            attempt_timeout: Duration::from_secs(5),
            caller_timeout: Duration::from_secs(15),
            seed: 1,
        }
    }
}

/// How long to wait for upstreams to complete running requests after the load
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends the load, waits for all callers and compares their results with the upstreams' records
pub async fn run(plan: Plan) -> Result<Report, Error> {
    let plan = Arc::new(plan);
    let arrivals = schedule(&plan);
    let callers = caller::Callers::new(plan.clone());
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let scheduled_at = start + arrival.offset;
        if scheduled_at > Instant::now() {
            Timer::at(scheduled_at).await;
        }
        let callers = callers.clone();
        tasks.push(smol::spawn(async move {
            callers.send(arrival, scheduled_at).await
        }));
    }
    let send_duration = start.elapsed();
    for task in tasks {
        task.await;
    }
    let mut report = callers.report(send_duration);
    let records = audit::fetch_records(&plan.upstream_addresses, COMPLETION_TIMEOUT).await?;
    report.add_audit(&callers.results(), &records);
    Ok(report)
}
