//! Routes, services and limits that the platform configures, and the choice of a route.
//!
//! A document replaces the previous one only if its version is higher, so that a delayed read never
//! reverts a change.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::{RegionId, ServiceId, Version};

#[cfg(test)]
mod tests;

/// Configuration in force
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Version of this configuration; it only increases
    pub version: Version,
    /// Services by name
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on the requests of callers
    pub limits: Limits,
    routes_by_host: BTreeMap<CompactString, Vec<Rc<Route>>>,
}

/// Limits on the size and duration of requests
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head
    pub max_head_bytes: usize,
    /// Maximum size of a request body
    pub max_body_bytes: u64,
    /// How long a request head may take from its first byte on
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply where the configuration sets none
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How often a request may be executed
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Idempotent: may be executed more than once
    Idempotent,
    /// May be executed at most once
    AtMostOnce,
}

/// Rule for the requests with one host and path prefix
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route
    pub name: CompactString,
    /// `Host` header to match, in lower case
    pub host: CompactString,
    /// Path prefix to match
    pub path_prefix: CompactString,
    /// Whether a request may be executed more than once
    pub execution: Execution,
    /// Services among which requests are split
    pub services: Vec<WeightedService>,
    /// Longest time that a request may wait for its response
    pub timeout: Option<Duration>,
    /// Time within which a response has its full value
    pub latency_target: Option<Duration>,
    /// Priority, 0 is the highest
    pub priority: u8,
    /// Maximum number of endpoints that one attempt of a caller may be sent to
    pub max_attempts: u32,
    /// Whether endpoints are faster for objects that they handled recently
    pub session_affinity: bool,
    /// Regions that may serve the requests; all if empty
    pub allowed_regions: Vec<RegionId>,
    /// Position in the sequence that picks services
    pub rotation: Cell<u64>,
}

/// Service of a route with its weight
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that receives the requests
    pub service: ServiceId,
    /// Fraction of the requests, relative to the weights of the other services
    pub weight: f64,
}

/// Settings of a service
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check
    pub health_path: CompactString,
    /// How long an endpoint stays cold after its start
    pub warmup: Duration,
    /// Requests per second that a cold endpoint tolerates from the whole fleet
    pub warmup_rate: f64,
}

impl Document {
    /// Creates a document
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, Service>,
        limits: Limits,
    ) -> Self {
        let mut routes_by_host: BTreeMap<CompactString, Vec<Rc<Route>>> = BTreeMap::new();
        for route in routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            routes_by_host,
        }
    }

    /// Returns the route of a host with the longest prefix of a path
    ///
    /// The port of the host is ignored if no route names it.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let host = host.to_ascii_lowercase();
        let host_name = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(host_name, _)| host_name);
        let routes = self.routes_by_host.get(host.as_str());
        let mut routes = routes
            .or_else(|| self.routes_by_host.get(host_name))?
            .iter();
        routes
            .find(|route| path.starts_with(route.path_prefix.as_str()))
            .cloned()
    }

    /// Returns all routes
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes_by_host.values().flatten()
    }
}

impl Route {
    /// Returns the service of the next request, in proportion to the weights
    ///
    /// A golden-ratio sequence keeps the proportions within any short run, where independent random
    /// draws would deviate. A service without free capacity is not skipped.
    pub fn next_service(&self) -> Option<&ServiceId> {
        // Fractional part of the golden ratio in 64 bits, which spreads the positions most evenly.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let position = self.rotation.get().wrapping_add(STEP);
        self.rotation.set(position);
        let total_weight: f64 = self.services.iter().map(|weighted| weighted.weight).sum();
        let mut point = (position >> 11) as f64 / (1_u64 << 53) as f64 * total_weight;
        for weighted in &self.services {
            if point < weighted.weight {
                return Some(&weighted.service);
            }
            point -= weighted.weight;
        }
        self.services.last().map(|weighted| &weighted.service)
    }
}
