//! Counters and latency histograms of a gateway, by `opentelemetry` in the Prometheus text format.

use std::time::{Duration, Instant};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use serde_json::json;

use super::Gateway;
use crate::operator::metrics::{encode, exporter};
use crate::platform::store::Kind;

/// Bounds of the latency histogram, in seconds
const LATENCIES: [f64; 12] = [0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Recording functions and the exporter behind them
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    latency: Histogram<f64>,
    connections: Counter<u64>,
    probes: Counter<u64>,
    calls: Counter<u64>,
    gauge: Gauge<u64>,
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
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Self {
            latency: meter
                .f64_histogram("pier_gate_request_duration_seconds")
                .with_description("Time from a request's head to the decision on its answer")
                .with_boundaries(LATENCIES.to_vec())
                .build(),
            connections: counter("pier_gate_connections", "Connections opened to endpoints"),
            probes: counter("pier_gate_probes", "Health checks sent"),
            calls: counter("pier_gate_store_calls", "Calls to the store, by kind"),
            gauge: meter
                .u64_gauge("pier_gate_state")
                .with_description("What this host knows and does now, by item")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// A request ended with this status
    pub fn request(&self, route: &str, status: u16, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// A connection to an endpoint was opened
    pub fn connection(&self) {
        self.connections.add(1, &[]);
    }

    /// An endpoint was asked for its health
    pub fn probe(&self) {
        self.probes.add(1, &[]);
    }

    /// Calls to the store were sent
    pub fn store_calls(&self, kind: Kind, count: u64) {
        if count > 0 {
            self.calls.add(count, &[KeyValue::new("kind", kind.name())]);
        }
    }

    /// All metrics as text
    pub fn text(&self, gateway: &Gateway) -> String {
        for (item, value) in items(gateway) {
            self.gauge.record(value, &[KeyValue::new("item", item)]);
        }
        encode(&self.registry)
    }

    /// What this host believes, as JSON
    pub fn status(&self, gateway: &Gateway) -> String {
        let now = Instant::now();
        let pool = gateway.pool.borrow();
        let catalog = gateway.catalog.borrow();
        let endpoints = catalog.all().map(|end| {
            let seat = pool.endpoint(&end.id);
            json!({
                "endpoint": end.id,
                "service": end.service,
                "zone": end.zone,
                "slots": end.slots,
                "draining": end.draining,
                "cold": catalog.is_cold(now, &end.id),
                "running": seat.map_or(0, |seat| seat.running()),
                "left_out": seat.is_some_and(|seat| seat.is_ejected(now)),
                "failing": seat.map_or(0.0, |seat| seat.failure_rate(now)),
            })
        });
        let fleet = gateway.fleet.borrow();
        let hosts: Vec<&str> = fleet.members().map(|member| member.host.as_str()).collect();
        let state: std::collections::BTreeMap<_, _> = items(gateway).into_iter().collect();
        json!({
            "state": state,
            "hosts": hosts,
            "shares": gateway.shares(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
        .to_string()
    }
}

fn items(gateway: &Gateway) -> Vec<(&'static str, u64)> {
    vec![
        ("configuration_version", gateway.version()),
        ("endpoints", gateway.catalog.borrow().len() as u64),
        ("hosts", gateway.fleet.borrow().size() as u64),
        ("store_dark", u64::from(gateway.mirror.borrow().is_dark())),
        ("ready", u64::from(gateway.is_ready())),
        ("running", gateway.running.get() as u64),
        ("caller_connections", gateway.open.get() as u64),
        ("idle_connections", gateway.idle.borrow().len() as u64),
        ("log_lines_lost", super::log::lost()),
    ]
}
