//! Counters and latency histograms of the gateway, exported in the Prometheus text format.

use std::time::{Duration, Instant};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use serde_json::json;

use super::Gateway;
use super::exchange::Refused;
use super::record::millis;
use crate::limit::Verdict;
use crate::operator::metrics::{encode, exporter};
use crate::platform::store::Kind;
use crate::quarantine::CRASH_THRESHOLD;

/// Bucket bounds of the latency histogram, in seconds
const LATENCY_BOUNDS_SECONDS: [f64; 12] =
    [0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Instruments of the gateway and their exporter
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    request_duration: Histogram<f64>,
    connections: Counter<u64>,
    probes: Counter<u64>,
    store_calls: Counter<u64>,
    store_checks: Counter<u64>,
    crashes: Counter<u64>,
    refused: Counter<u64>,
    repeated_ids: Counter<u64>,
    unbelieved: Counter<u64>,
    broken_off: Counter<u64>,
    new_eras: Counter<u64>,
    panics: Counter<u64>,
    unreadable: Counter<u64>,
    outdated: Counter<u64>,
    unknown_headers: Counter<u64>,
    stated_limits: Counter<u64>,
    permits: Counter<u64>,
    state_gauge: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics that start at zero
    pub fn new() -> Self {
        let (registry, provider) = exporter();
        let meter = provider.meter("tanagerpier");
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            request_duration: meter
                .f64_histogram("pier_gate_request_duration_seconds")
                .with_description("Time from a request's head to the decision on its answer")
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build(),
            connections: counter("pier_gate_connections", "Connections opened to endpoints"),
            probes: counter("pier_gate_probes", "Health checks sent"),
            store_calls: counter("pier_gate_store_calls", "Calls to the store, by kind"),
            store_checks: counter(
                "pier_gate_store_checks",
                "Small reads that show whether the store serves this host",
            ),
            crashes: counter(
                "pier_gate_endpoint_crashes",
                "Attempts during which the endpoint ended",
            ),
            refused: counter(
                "pier_gate_refused_attempts",
                "Attempts that endpoints stated not to have run, by status and connection",
            ),
            repeated_ids: counter(
                "pier_gate_repeated_ids",
                "Attempts for which a kept connection was passed over, as it had carried their id",
            ),
            unbelieved: counter(
                "pier_gate_unbelieved_answers",
                "Answers that were not believed to be the request's own, by what was done and why",
            ),
            broken_off: counter(
                "pier_gate_answers_broken_off",
                "Answers that were broken off because they exceeded a limit",
            ),
            new_eras: counter(
                "pier_gate_store_eras",
                "Times that the store came back from an older copy, by kind of object",
            ),
            panics: counter(
                "pier_gate_panics",
                "Panics that ended a request, a connection or a loop, by task",
            ),
            unreadable: counter(
                "pier_gate_unreadable_objects",
                "Objects of the store that cannot be read, by kind; each once",
            ),
            outdated: counter(
                "pier_gate_outdated_entries",
                "Entries of endpoints that came after later ones of the same run",
            ),
            unknown_headers: counter(
                "pier_gate_unknown_headers",
                "Headers in which endpoints state something that is not understood, by name",
            ),
            stated_limits: counter(
                "pier_gate_stated_limits",
                "Answers in which endpoints state a limit for all hosts, by whether it is a number",
            ),
            permits: counter(
                "pier_gate_permits",
                "Requests for a place within an endpoint's limit, by verdict",
            ),
            state_gauge: meter
                .u64_gauge("pier_gate_state")
                .with_description("What this host knows and does now, by item")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Records the status and duration of a request
    pub fn observe_request(&self, route: &str, status: u16, duration: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.request_duration
            .record(duration.as_secs_f64(), &labels);
    }

    /// Counts a connection opened to an endpoint
    pub fn count_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a health check
    pub fn count_probe(&self) {
        self.probes.add(1, &[]);
    }

    /// Counts an attempt during which the endpoint ended
    pub fn count_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts an attempt that an endpoint stated not to have run
    pub fn count_refused(&self, refused: Refused) {
        let labels = [
            KeyValue::new("status", i64::from(refused.status)),
            KeyValue::new("reused", refused.is_reused),
        ];
        self.refused.add(1, &labels);
    }

    /// Counts a request for which a kept connection was passed over, as it had carried the id
    pub fn count_repeated_id(&self) {
        self.repeated_ids.add(1, &[]);
    }

    /// Counts an answer that was not believed
    pub fn count_unbelieved(&self, done: &'static str, reason: &'static str) {
        let labels = [KeyValue::new("done", done), KeyValue::new("reason", reason)];
        self.unbelieved.add(1, &labels);
    }

    /// Counts an answer that was broken off because it exceeded a limit
    pub fn count_broken_off(&self) {
        self.broken_off.add(1, &[]);
    }

    /// Counts a new era of the store for a kind of object
    pub fn count_new_era(&self, kind: Kind) {
        self.new_eras.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts a panic of a task
    pub fn count_panic(&self, task: &'static str) {
        self.panics.add(1, &[KeyValue::new("task", task)]);
    }

    /// Counts an object of the store that cannot be read
    pub fn count_unreadable(&self, kind: Kind) {
        self.unreadable
            .add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts an endpoint's entry that came after a later one
    pub fn count_outdated(&self) {
        self.outdated.add(1, &[]);
    }

    /// Counts a header in which an endpoint states something that is not understood
    pub fn count_unknown_header(&self, name: &str) {
        self.unknown_headers
            .add(1, &[KeyValue::new("name", name.to_owned())]);
    }

    /// Counts an answer in which an endpoint states a limit
    pub fn count_stated_limit(&self, is_number: bool) {
        self.stated_limits
            .add(1, &[KeyValue::new("valid", is_number)]);
    }

    /// Counts the verdict on a request for a place within an endpoint's limit
    pub fn count_permit(&self, verdict: Verdict) {
        let verdict = match verdict {
            Verdict::Granted => "granted",
            Verdict::Exhausted(_) => "exhausted",
            Verdict::NotOwner => "undecided",
            Verdict::Unlimited => "unlimited",
        };
        self.permits.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts calls to the store
    pub fn count_store_calls(&self, kind: Kind, count: u64) {
        if count > 0 {
            self.store_calls
                .add(count, &[KeyValue::new("kind", kind.name())]);
        }
    }

    /// Counts small reads that show whether the store serves this host
    pub fn count_store_checks(&self, count: u64) {
        self.store_checks.add(count, &[]);
    }

    /// Returns all metrics in the Prometheus text format
    pub fn prometheus_text(&self, gateway: &Gateway) -> String {
        for (item, value) in state_items(gateway) {
            self.state_gauge
                .record(value, &[KeyValue::new("item", item)]);
        }
        encode(&self.registry)
    }

    /// Returns this host's view of its state, hosts and endpoints as JSON
    pub fn status_json(&self, gateway: &Gateway) -> String {
        let now = Instant::now();
        let pool = gateway.pool.borrow();
        let catalog = gateway.catalog.borrow();
        let endpoints = catalog.endpoints().map(|endpoint| {
            let limit = gateway.limits.rate(endpoint);
            let owner = limit.and_then(|_| gateway.permit_owner(now, endpoint));
            let endpoint_state = pool.endpoint(&endpoint.id);
            json!({
                "endpoint": endpoint.id,
                "service": endpoint.service,
                "zone": endpoint.zone,
                "slots": endpoint.slots,
                "draining": endpoint.draining,
                "cold": catalog.is_cold(now, &endpoint.id),
                "running": endpoint_state.map_or(0, |endpoint_state| endpoint_state.running()),
                "left_out": endpoint_state.is_some_and(|endpoint_state| endpoint_state.is_ejected(now)),
                "limit_per_second": limit,
                "limit_owner": owner.map(|owner| owner.host),
                "failing": endpoint_state.map_or(0.0, |endpoint_state| endpoint_state.failure_rate(now)),
            })
        });
        let fleet = gateway.fleet.borrow();
        let hosts: Vec<&str> = fleet.members().map(|member| member.host.as_str()).collect();
        let state: std::collections::BTreeMap<_, _> = state_items(gateway).into_iter().collect();
        json!({
            "state": state,
            "hosts": hosts,
            "shares": gateway.shares(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
        .to_string()
    }
}

fn state_items(gateway: &Gateway) -> Vec<(&'static str, u64)> {
    vec![
        ("configuration_version", gateway.configuration_version()),
        ("store_era", gateway.mirror.borrow().era()),
        (
            "reads_store",
            u64::from(
                gateway
                    .mirror
                    .borrow()
                    .reads_store(Instant::now(), Kind::Configuration),
            ),
        ),
        ("held_objects", gateway.holdover.borrow().len() as u64),
        (
            "configuration_age_ms",
            gateway.configuration_age().map_or(0, millis),
        ),
        ("endpoints", gateway.catalog.borrow().len() as u64),
        (
            "leaving_endpoints",
            gateway.catalog.borrow().leaving_count() as u64,
        ),
        ("limited_endpoints", gateway.limits.count() as u64),
        (
            "unreadable_objects",
            gateway.unreadable.borrow().len() as u64,
        ),
        ("hosts", gateway.fleet.borrow().size() as u64),
        (
            "store_dark",
            u64::from(gateway.mirror.borrow().is_store_unreachable()),
        ),
        ("ready", u64::from(gateway.is_ready())),
        ("running", gateway.running_requests.get() as u64),
        ("request_memory_bytes", gateway.memory.held() as u64),
        ("request_memory_limit_bytes", gateway.memory.limit() as u64),
        ("caller_connections", gateway.open_connections.get() as u64),
        (
            "idle_connections",
            gateway.idle_connections.borrow().len() as u64,
        ),
        (
            "suspect_requests",
            gateway.quarantine.borrow().count(1) as u64,
        ),
        (
            "quarantined_requests",
            gateway.quarantine.borrow().count(CRASH_THRESHOLD) as u64,
        ),
        ("log_lines_lost", super::log::lost_lines()),
    ]
}
