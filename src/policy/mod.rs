//! Routes, services and limits in force on the platform, and the choice of a route.
//!
//! A document replaces the one before only if its version is higher, so that a delayed read never
//! takes a change back.

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
    /// Number of this configuration; it only rises
    pub version: Version,
    /// Services by name
    pub services: BTreeMap<ServiceId, Service>,
    /// What callers may send
    pub limits: Limits,
    hosts: BTreeMap<CompactString, Vec<Rc<Route>>>,
}

/// What callers may send, and how long they may take
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes
    pub max_head_bytes: usize,
    /// Longest body of a request, in bytes
    pub max_body_bytes: u64,
    /// Time that a head may take from its first byte on
    pub head_timeout: Duration,
    /// Time that a connection may be idle between requests
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that hold until a configuration states others
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How often a request may run
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Idempotent: may run more than once
    Idempotent,
    /// May run at most once
    AtMostOnce,
}

/// Where requests with one host and path prefix go
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route
    pub name: CompactString,
    /// Host header, in lower case
    pub host: CompactString,
    /// Start of the path
    pub path_prefix: CompactString,
    /// Whether a request may run again
    pub execution: Execution,
    /// Services with their weights
    pub services: Vec<WeightedService>,
    /// Longest time that a request is kept waiting
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full value
    pub latency_target: Option<Duration>,
    /// Rank, 0 the highest
    pub priority: u8,
    /// Most endpoints that one attempt of a caller may be sent to
    pub max_attempts: u32,
    /// Whether endpoints are faster for objects that they handled lately
    pub session_affinity: bool,
    /// Regions that may serve it; all if empty
    pub allowed_regions: Vec<RegionId>,
    /// Position of the weighted rotation
    pub rotation: Cell<u64>,
}

/// One service of a route
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that gets this part
    pub service: ServiceId,
    /// Part of the requests, relative to the other parts
    pub weight: f64,
}

/// What is known of a service
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check
    pub health_path: CompactString,
    /// Time for which an endpoint that started stays cold
    pub warmup: Duration,
    /// Requests a second that a cold endpoint tolerates, over the whole fleet
    pub warmup_rate: f64,
}

impl Document {
    /// Document with these routes
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: BTreeMap<CompactString, Vec<Rc<Route>>> = BTreeMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            services,
            limits,
            hosts,
        }
    }

    /// Route with the longest prefix of a path; the host without its port
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let host = host.to_ascii_lowercase();
        let bare = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(bare, _)| bare);
        let routes = self.hosts.get(host.as_str());
        let mut routes = routes.or_else(|| self.hosts.get(bare))?.iter();
        routes
            .find(|route| path.starts_with(route.path_prefix.as_str()))
            .cloned()
    }

    /// All routes
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}

impl Route {
    /// Service of the next request, in the proportions of the weights
    ///
    /// A golden-ratio sequence keeps the proportions within any short run, where independent draws
    /// would stray. A part that lacks room keeps its turn.
    pub fn next_service(&self) -> Option<&ServiceId> {
        // Fraction of the golden ratio in 64 bits, the most evenly spread step.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let rotation = self.rotation.get().wrapping_add(STEP);
        self.rotation.set(rotation);
        let total: f64 = self.services.iter().map(|part| part.weight).sum();
        let mut at = (rotation >> 11) as f64 / (1_u64 << 53) as f64 * total;
        for part in &self.services {
            if at < part.weight {
                return Some(&part.service);
            }
            at -= part.weight;
        }
        self.services.last().map(|part| &part.service)
    }
}
