//! Metrics of an entry host by `opentelemetry`, in the Prometheus text format.
//!
//! What happens is counted as it happens. What merely is, such as free slots, is read from the
//! newest [`Status`] when the metrics are asked for, so figures of what is gone disappear.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::Status;
use crate::wire::Cause;

/// Bounds of the latency histogram, in seconds
const LATENCIES: [f64; 16] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// How a request ended
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    /// Answered by an upstream
    Served,
    /// Refused, and not run
    NotRun,
    /// It may have run
    Unknown,
}

impl Result {
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
    /// To this host
    In,
    /// From this host
    Out,
}

/// Recording functions and the exporter behind them
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    status: Arc<Mutex<Status>>,
    latency: Histogram<f64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    shifts: Counter<u64>,
    lookups: Counter<u64>,
    control_bytes: Counter<u64>,
    control_time: Counter<f64>,
}

/// A registry, and the provider whose meters it collects
pub fn exporter() -> (Registry, SdkMeterProvider) {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .scope_info_enabled(false)
        .without_target_info()
        .build()
        .expect("a new registry takes the exporter");
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    (registry, provider)
}

/// All metrics of a registry in the text format
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    let encoded = TextEncoder::new().encode_utf8(&registry.gather(), &mut text);
    if let Err(error) = encoded {
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
    /// Metrics that count from zero
    pub fn new() -> Self {
        let (registry, provider) = exporter();
        let meter = provider.meter("tanagerpier");
        let status = Arc::default();
        observe(&meter, &status);
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Self {
            latency: meter
                .f64_histogram("pier_request_duration_seconds")
                .with_description("Time from a request's head to the end of its answer")
                .with_boundaries(LATENCIES.to_vec())
                .build(),
            refusals: counter("pier_refusals", "Requests refused, by cause"),
            retries: counter("pier_retries", "Second and later attempts"),
            shifts: counter(
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
            status,
        }
    }

    /// A request of a caller ended
    pub fn request(&self, service: &str, result: Result, time: Duration) {
        let labels = [
            service_label(service),
            KeyValue::new("outcome", result.name()),
        ];
        self.latency.record(time.as_secs_f64(), &labels);
    }

    /// A request was refused
    pub fn refusal(&self, service: &str, cause: Cause) {
        let labels = [service_label(service), KeyValue::new("cause", name(&cause))];
        self.refusals.add(1, &labels);
    }

    /// A request was tried again
    pub fn retry(&self, service: &str) {
        self.retries.add(1, &[service_label(service)]);
    }

    /// A request was sent away from its share by a shift or a spill
    pub fn moved(&self, service: &str, reason: crate::wire::Reason) {
        let labels = [
            service_label(service),
            KeyValue::new("reason", name(&reason)),
        ];
        self.shifts.add(1, &labels);
    }

    /// A look-up was answered
    pub fn lookup(&self) {
        self.lookups.add(1, &[]);
    }

    /// Bytes of control traffic went in or out
    pub fn control(&self, direction: Direction, bytes: u64) {
        let direction = match direction {
            Direction::In => "in",
            Direction::Out => "out",
        };
        let labels = [KeyValue::new("direction", direction)];
        self.control_bytes.add(bytes, &labels);
    }

    /// Processor time was spent on control
    pub fn control_time(&self, time: Duration) {
        self.control_time.add(time.as_secs_f64(), &[]);
    }

    /// All metrics as text, with the figures of `status`
    pub fn text(&self, status: Status) -> String {
        *lock(&self.status) = status;
        encode(&self.registry)
    }

    /// Stop counting
    pub fn close(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("metrics: {error}");
        }
    }
}

fn lock(status: &Mutex<Status>) -> MutexGuard<'_, Status> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}

fn service_label(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}

/// Name of a unit variant in kebab case
fn name(variant: &impl std::fmt::Debug) -> String {
    let mut name = String::new();
    for c in format!("{variant:?}").chars() {
        if c.is_ascii_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.push(c.to_ascii_lowercase());
    }
    name
}

/// Register what is read from the newest status
fn observe(meter: &Meter, status: &Arc<Mutex<Status>>) {
    let gauge = |name, text, read: fn(&Status) -> Vec<Point>| {
        let status = status.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(text)
            .with_callback(move |observer| {
                for (value, labels) in read(&lock(&status)) {
                    observer.observe(value, &labels);
                }
            })
            .build();
    };
    gauge(
        "pier_configuration_number",
        "Number of the configuration in force",
        |status| vec![(status.number, vec![])],
    );
    gauge(
        "pier_configuration_age_milliseconds",
        "Time since the configuration was put in force",
        |status| vec![(status.number_age_ms, vec![])],
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
        vec![(status.running, vec![])]
    });
    gauge("pier_waiting", "Requests that wait for a slot", waiting);
    gauge("pier_slots_used", "Slots in use, by endpoint", |status| {
        slots(status, |endpoint| endpoint.used)
    });
    gauge(
        "pier_slots_free",
        "Slots that may be taken, by endpoint",
        |status| slots(status, |endpoint| endpoint.free),
    );
    gauge(
        "pier_headroom",
        "Free slots that this host owns, by service and region",
        headroom,
    );
    gauge("pier_hosts", "Entry hosts known, by state", hosts);
    gauge(
        "pier_platform_calls",
        "Calls to the platform, by kind",
        |status| calls(status, |call| call.total.sent),
    );
    gauge(
        "pier_platform_failures",
        "Calls that the platform did not answer, by kind",
        |status| calls(status, |call| call.total.failed),
    );
}

/// A value and its labels
type Point = (u64, Vec<KeyValue>);

fn waiting(status: &Status) -> Vec<Point> {
    let point = |service: &super::Service| (service.waiting, vec![service_label(&service.service)]);
    status.services.iter().map(point).collect()
}

fn slots(status: &Status, read: fn(&super::Endpoint) -> u32) -> Vec<Point> {
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

fn headroom(status: &Status) -> Vec<Point> {
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

fn hosts(status: &Status) -> Vec<Point> {
    let mut counts = std::collections::BTreeMap::new();
    for host in &status.hosts {
        *counts.entry(name(&host.state)).or_insert(0_u64) += 1;
    }
    let point = |(state, count): (String, u64)| (count, vec![KeyValue::new("state", state)]);
    counts.into_iter().map(point).collect()
}

fn calls(status: &Status, read: fn(&super::Call) -> u64) -> Vec<Point> {
    let point = |call: &super::Call| {
        let kind = KeyValue::new("kind", call.kind.name());
        (read(call), vec![kind])
    };
    status.platform.iter().map(point).collect()
}
