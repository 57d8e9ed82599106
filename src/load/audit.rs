//! Comparison of the outcomes that callers received with the executions that upstreams recorded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::Method;
use smol::Timer;

use crate::error::Error;
use crate::http;
use crate::standin::record;

/// Timeout of one request for a record
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between polls of the number of running requests
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Last outcome that a caller received for an at-most-once request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastOutcome {
    /// A complete response
    Served,
    /// The request was not executed
    NotRun,
    /// The request may have been executed, or no response was received
    Unknown,
}

/// Outcomes that a caller received for one at-most-once request
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResult {
    /// Idempotency key of the request
    pub key: String,
    /// Last outcome
    pub last: LastOutcome,
    /// Times of all "not run" outcomes, in milliseconds since the Unix epoch
    pub not_run_at: Vec<u64>,
}

/// Keys of requests that violated a guarantee
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Keys that ran more than once
    pub doubled: Vec<String>,
    /// Keys that ran before a "not run" outcome, or that ran although "not run" was the last
    /// outcome before the caller abandoned the request
    pub not_run_but_ran: Vec<String>,
    /// Keys that were served but never ran
    pub served_but_not_ran: Vec<String>,
}

/// Compares the callers' results with the upstreams' records
pub fn audit(results: &[CallerResult], records: &[record::Report]) -> Violations {
    let mut run_times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let entries = records.iter().flat_map(|record| &record.entries);
    for entry in entries.filter(|entry| entry.outcome == record::Outcome::Ran) {
        run_times.entry(&entry.key).or_default().push(entry.at);
    }
    let mut violations = Violations::default();
    for result in results {
        let runs = run_times
            .get(result.key.as_str())
            .map_or(&[][..], Vec::as_slice);
        if runs.len() > 1 {
            violations.doubled.push(result.key.clone());
        }
        if result.last == LastOutcome::Served && runs.is_empty() {
            violations.served_but_not_ran.push(result.key.clone());
        }
        let ran_before = |not_run_at: &u64| runs.iter().any(|run_at| run_at < not_run_at);
        let is_contradicted = result.not_run_at.iter().any(ran_before);
        if is_contradicted || result.last == LastOutcome::NotRun && !runs.is_empty() {
            violations.not_run_but_ran.push(result.key.clone());
        }
    }
    violations
}

/// Fetches the record of each upstream, once it has no running requests or the timeout ends
pub async fn fetch_records(
    upstreams: &[SocketAddr],
    timeout: Duration,
) -> Result<Vec<record::Report>, Error> {
    let deadline = Instant::now() + timeout;
    let mut records = Vec::new();
    for address in upstreams {
        loop {
            let report = fetch_record(*address).await?;
            if report.running == 0 || Instant::now() >= deadline {
                records.push(report);
                break;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
    Ok(records)
}

/// Fetches the record of one upstream
pub async fn fetch_record(address: SocketAddr) -> Result<record::Report, Error> {
    let request = http::request(Method::Get, address, "/record");
    let response = http::call(address, request, FETCH_TIMEOUT).await;
    let response = response.map_err(|error| Error::Unavailable(error.to_string()))?;
    let report = serde_json::from_slice(&response.body);
    report.map_err(|error| Error::Unavailable(format!("invalid record of {address}: {error}")))
}
