//! Results of one load, printed as one line of JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::audit::{self, CallerResult, audit};
use crate::id::ServiceId;
use crate::standin::record;

/// Histogram of latencies in microseconds
pub type LatencyHistogram = Histogram<u64>;

/// Latency percentiles of served requests
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Requests with a complete response
    pub served: u64,
    /// Median, in milliseconds
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds
    pub p999_ms: f64,
    /// Maximum, in milliseconds
    pub max_ms: f64,
}

impl LatencySummary {
    /// Summarizes a histogram
    pub fn new(latencies: &LatencyHistogram) -> Self {
        let quantile_millis = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            served: latencies.len(),
            p50_ms: quantile_millis(0.5),
            p99_ms: quantile_millis(0.99),
            p999_ms: quantile_millis(0.999),
            max_ms: latencies.max() as f64 / 1000.0,
        }
    }
}

/// Results of one load
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the schedule
    pub seed: u64,
    /// Time over which requests started, in seconds
    pub seconds: f64,
    /// Requests started per second
    pub offered_rate: f64,
    /// Requests served per second
    pub served_rate: f64,
    /// Requests started
    pub requests: u64,
    /// Requests with a complete response
    pub served: u64,
    /// Abandoned requests whose last outcome is "not run"
    pub not_run: u64,
    /// Abandoned requests that may have been executed
    pub unknown: u64,
    /// Abandoned idempotent requests, also counted in `not_run` or `unknown`
    pub idempotent_given_up: u64,
    /// Complete responses that belong to another request or have wrong bytes
    pub wrong_or_partial: u64,
    /// At-most-once requests that ran more than once
    pub doubled: u64,
    /// At-most-once requests that ran although the caller was told that they had not
    pub not_run_but_ran: u64,
    /// At-most-once requests that were served but never ran
    pub served_but_not_ran: u64,
    /// Requests that arrived at an upstream without a free slot
    pub over_slots: u64,
    /// Attempts, including the first of each request
    pub attempts: u64,
    /// Lookup requests sent
    pub lookups: u64,
    /// Attempts and failed lookups, by result
    #[serde(rename = "ends")]
    pub attempt_results: BTreeMap<CompactString, u64>,
    /// Latencies of all services
    pub all: LatencySummary,
    /// Latencies by service
    pub services: BTreeMap<ServiceId, LatencySummary>,
    /// Requests that reached the upstreams, by outcome
    pub upstream: BTreeMap<record::Outcome, u64>,
    /// Keys of requests that violated a guarantee, limited to a few of each kind
    pub broken_keys: Vec<String>,
}

/// Maximum number of reported keys per kind of violation
const MAX_KEYS_PER_VIOLATION: usize = 10;

impl Report {
    /// Sets the duration of the load and the rates over it
    pub fn with_duration(mut self, duration: Duration) -> Self {
        self.seconds = duration.as_secs_f64();
        self.offered_rate = self.requests as f64 / self.seconds.max(f64::MIN_POSITIVE);
        self.served_rate = self.served as f64 / self.seconds.max(f64::MIN_POSITIVE);
        self
    }

    /// Adds the result of the comparison with the upstreams' records
    pub fn add_audit(&mut self, results: &[CallerResult], records: &[record::Report]) {
        if records.is_empty() {
            return;
        }
        let audit::Violations {
            doubled,
            not_run_but_ran,
            served_but_not_ran,
        } = audit(results, records);
        self.doubled = doubled.len() as u64;
        self.not_run_but_ran = not_run_but_ran.len() as u64;
        self.served_but_not_ran = served_but_not_ran.len() as u64;
        for record in records {
            self.over_slots += record.over_slots;
            for (outcome, count) in &record.counts {
                *self.upstream.entry(*outcome).or_default() += count;
            }
        }
        let keys = doubled.into_iter().take(MAX_KEYS_PER_VIOLATION);
        let keys = keys.chain(not_run_but_ran.into_iter().take(MAX_KEYS_PER_VIOLATION));
        let keys = keys.chain(served_but_not_ran.into_iter().take(MAX_KEYS_PER_VIOLATION));
        self.broken_keys = keys.collect();
    }

    /// Returns whether no request violated a guarantee
    pub fn has_no_violations(&self) -> bool {
        let violations = self.wrong_or_partial
            + self.doubled
            + self.not_run_but_ran
            + self.served_but_not_ran
            + self.over_slots;
        violations == 0
    }
}
