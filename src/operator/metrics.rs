//! Metrics of an entry host by `opentelemetry`, exported in the Prometheus text format.
//!
//! Counters and histograms are updated on each event. Gauges, such as free slots, are read from
//! the [`Status`] of each scrape, so the time series of removed objects disappear.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::Status;
use crate::wire::Cause;

/// Upper bounds of the buckets of the latency histogram
const LATENCY_BUCKETS_SECONDS: [f64; 16] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Result of a request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// An upstream responded
    Served,
    /// The request was refused and not executed
    NotRun,
    /// The request may have been executed
    Unknown,
}

impl RequestResult {
    fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Direction of control traffic
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received by this host
    In,
    /// Sent by this host
    Out,
}

/// Instruments of an entry host and their exporter
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    latest_status: Arc<Mutex<Status>>,
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    moved: Counter<u64>,
    lookups: Counter<u64>,
    control_bytes: Counter<u64>,
    control_time: Counter<f64>,
}

/// Returns a registry and the provider whose meters it collects
pub fn exporter() -> (Registry, SdkMeterProvider) {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .scope_info_enabled(false)
        .without_target_info()
        .build()
        .expect("a new registry accepts the exporter");
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    (registry, provider)
}

/// Returns all metrics of a registry in the Prometheus text format
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    let result = TextEncoder::new().encode_utf8(&registry.gather(), &mut text);
    if let Err(error) = result {
        log::warn!("metrics cannot be encoded: {error}");
    }
    text
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Returns metrics that start at zero
    pub fn new() -> Self {
        let (registry, provider) = exporter();
        let meter = provider.meter("tanagerpier");
        let latest_status = Arc::default();
        register_gauges(&meter, &latest_status);
        let counter = |name, help| meter.u64_counter(name).with_description(help).build();
        Self {
            latency: meter
                .f64_histogram("pier_request_duration_seconds")
                .with_description("Time from a request's head to the end of its answer")
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .build(),
            refusals: counter("pier_refusals", "Requests refused, by cause"),
            retries: counter("pier_retries", "Second and later attempts"),
            moved: counter(
                "pier_moved",
                "Requests sent away from their share, by reason",
            ),
            lookups: counter("pier_lookups", "Look-ups answered"),
            control_bytes: counter("pier_control_bytes", "Bytes of control traffic"),
            control_time: meter
                .f64_counter("pier_control_seconds")
                .with_description("Processor time spent on control")
                .build(),
            registry,
            provider,
            latest_status,
        }
    }

    /// Records the result and duration of a caller's request
    pub fn record_request(&self, service: &str, result: RequestResult, duration: Duration) {
        let labels = [
            service_label(service),
            KeyValue::new("outcome", result.name()),
        ];
        self.latency.record(duration.as_secs_f64(), &labels);
    }

    /// Counts a refused request
    pub fn record_refusal(&self, service: &str, cause: Cause) {
        let labels = [
            service_label(service),
            KeyValue::new("cause", kebab_case_name(&cause)),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts a second or later attempt
    pub fn record_retry(&self, service: &str) {
        self.retries.add(1, &[service_label(service)]);
    }

    /// Counts a request that a shift or spill sent to another zone than its share
    pub fn record_moved(&self, service: &str, reason: crate::wire::Reason) {
        let labels = [
            service_label(service),
            KeyValue::new("reason", kebab_case_name(&reason)),
        ];
        self.moved.add(1, &labels);
    }

    /// Counts a served lookup
    pub fn record_lookup(&self) {
        self.lookups.add(1, &[]);
    }

    /// Counts bytes of control traffic
    pub fn record_control_bytes(&self, direction: Direction, bytes: u64) {
        let direction = match direction {
            Direction::In => "in",
            Direction::Out => "out",
        };
        let labels = [KeyValue::new("direction", direction)];
        self.control_bytes.add(bytes, &labels);
    }

    /// Adds processor time spent on control work
    pub fn record_control_time(&self, time: Duration) {
        self.control_time.add(time.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format, with the gauges read from `status`
    pub fn prometheus_text(&self, status: Status) -> String {
        *lock(&self.latest_status) = status;
        encode(&self.registry)
    }

    /// Shuts down the metrics provider
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("cannot shut down the metrics provider: {error}");
        }
    }
}

fn lock(status: &Mutex<Status>) -> MutexGuard<'_, Status> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}

fn service_label(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}

/// Returns the name of a unit variant in kebab case
fn kebab_case_name(variant: &impl std::fmt::Debug) -> String {
    let mut name = String::new();
    for character in format!("{variant:?}").chars() {
        if character.is_ascii_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.push(character.to_ascii_lowercase());
    }
    name
}

/// Registers the gauges that are read from the latest status
fn register_gauges(meter: &Meter, latest_status: &Arc<Mutex<Status>>) {
    let gauge = |name, help, read: fn(&Status) -> Vec<Point>| {
        let latest_status = latest_status.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(help)
            .with_callback(move |observer| {
                for (value, labels) in read(&lock(&latest_status)) {
                    observer.observe(value, &labels);
                }
            })
            .build();
    };
    gauge(
        "pier_configuration_number",
        "Number of the configuration in force",
        |status| vec![(status.config_number, vec![])],
    );
    gauge(
        "pier_configuration_age_milliseconds",
        "Time since the configuration was put in force",
        |status| vec![(status.config_age_ms, vec![])],
    );
    gauge(
        "pier_platform_age_milliseconds",
        "Time since the platform answered last",
        |status| {
            status
                .platform_age_ms
                .map(|age| (age, vec![]))
                .into_iter()
                .collect()
        },
    );
    gauge("pier_running", "Requests in progress", |status| {
        vec![(status.in_flight, vec![])]
    });
    gauge(
        "pier_waiting",
        "Requests that wait for a slot",
        waiting_points,
    );
    gauge("pier_slots_used", "Slots in use, by endpoint", |status| {
        slot_points(status, |endpoint| endpoint.used)
    });
    gauge(
        "pier_slots_free",
        "Slots that may be taken, by endpoint",
        |status| slot_points(status, |endpoint| endpoint.free),
    );
    gauge(
        "pier_headroom",
        "Free slots that this host owns, by service and region",
        headroom_points,
    );
    gauge("pier_hosts", "Entry hosts known, by state", host_points);
    gauge(
        "pier_platform_calls",
        "Calls to the platform, by kind",
        |status| call_points(status, |call| call.total.sent),
    );
    gauge(
        "pier_platform_failures",
        "Calls that the platform did not answer, by kind",
        |status| call_points(status, |call| call.total.failed),
    );
}

/// Value of a gauge and its labels
type Point = (u64, Vec<KeyValue>);

fn waiting_points(status: &Status) -> Vec<Point> {
    let point = |service: &super::Service| (service.waiting, vec![service_label(&service.service)]);
    status.services.iter().map(point).collect()
}

fn slot_points(status: &Status, read: fn(&super::Endpoint) -> u32) -> Vec<Point> {
    let mut points = Vec::new();
    for service in &status.services {
        for endpoint in &service.endpoints {
            let labels = vec![
                service_label(&service.service),
                KeyValue::new("endpoint", endpoint.endpoint.to_string()),
            ];
            points.push((read(endpoint).into(), labels));
        }
    }
    points
}

fn headroom_points(status: &Status) -> Vec<Point> {
    let mut sums = std::collections::BTreeMap::new();
    for service in &status.services {
        for endpoint in &service.endpoints {
            let sum: &mut u64 = sums
                .entry((&service.service, &endpoint.region))
                .or_default();
            *sum += u64::from(endpoint.free);
        }
    }
    let point = |((service, region), sum): ((&crate::id::ServiceId, &crate::id::RegionId), u64)| {
        let region = KeyValue::new("region", region.to_string());
        (sum, vec![service_label(service), region])
    };
    sums.into_iter().map(point).collect()
}

fn host_points(status: &Status) -> Vec<Point> {
    let mut counts = std::collections::BTreeMap::new();
    for host in &status.hosts {
        *counts.entry(kebab_case_name(&host.state)).or_insert(0_u64) += 1;
    }
    let point = |(state, count): (String, u64)| (count, vec![KeyValue::new("state", state)]);
    counts.into_iter().map(point).collect()
}

fn call_points(status: &Status, read: fn(&super::Call) -> u64) -> Vec<Point> {
    let point = |call: &super::Call| {
        let kind = KeyValue::new("kind", call.kind.name());
        (read(call), vec![kind])
    };
    status.platform.iter().map(point).collect()
}
