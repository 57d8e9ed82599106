//! Describes the zones, hosts and services of a fleet.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Map, Value, json};
use tanagerpier::load::WeightedService;

use super::Upstream;

/// Spill cap in requests per second into one zone, for a layout that sets a spill share
const SPILL_RATE_PER_SECOND: f64 = 1000.0;

/// An availability zone
#[derive(Clone)]
pub struct Zone {
    /// Name of the zone
    pub name: String,
    /// Region of the zone
    pub region: String,
    /// Number of entry hosts in the zone
    pub hosts: usize,
}

/// A service with the same number of endpoints in each zone
#[derive(Clone)]
pub struct Service {
    /// Name of the service
    pub name: String,
    /// Number of endpoints per zone
    pub endpoints: usize,
    /// Number of slots per endpoint
    pub slots: u32,
    /// Time for which a request occupies its slot
    pub service_time: Duration,
    /// Relative weight in the load
    pub weight: f64,
    /// Size of a response body
    pub response_bytes: usize,
    /// Traffic class, `interactive` or `download`
    pub class: &'static str,
}

/// Zones, services and settings of a fleet
#[derive(Clone)]
pub struct Layout {
    /// Zones with their number of hosts
    pub zones: Vec<Zone>,
    /// Services with endpoints in every zone
    pub services: Vec<Service>,
    /// How long callers may cache a lookup
    pub lookup_lifetime: Duration,
    /// Share of a zone's traffic that a failure may move, or `None` for the default
    pub spill_share: Option<f64>,
}

impl Service {
    /// Returns the service for lookups and renewals of licences
    pub fn portal(endpoints: usize) -> Self {
        Self {
            name: "licence-portal".to_owned(),
            endpoints,
            slots: 3,
            service_time: Duration::from_millis(10),
            weight: 9.0,
            response_bytes: 500,
            class: "interactive",
        }
    }

    /// Returns the service for downloads
    pub fn packs(endpoints: usize) -> Self {
        Self {
            name: "pack-library".to_owned(),
            endpoints,
            slots: 3,
            service_time: Duration::from_millis(20),
            weight: 1.0,
            response_bytes: 100_000,
            class: "download",
        }
    }

    /// Returns the service with its weight for a load plan
    pub fn weighted_service(&self) -> WeightedService {
        WeightedService::new(&self.name, self.weight, self.response_bytes)
    }
}

impl Layout {
    /// Returns a layout with zones `a` and `b` in each region and the same number of hosts in each
    pub fn new(regions: &[&str], hosts: usize, services: &[Service]) -> Self {
        let zones = regions.iter().flat_map(|region| {
            ["a", "b"].map(|suffix| Zone {
                name: format!("{region}-{suffix}"),
                region: (*region).to_owned(),
                hosts,
            })
        });
        Self {
            zones: zones.collect(),
            services: services.to_vec(),
            lookup_lifetime: Duration::from_secs(2),
            spill_share: None,
        }
    }

    /// Sets the share of a zone's traffic that a failure may move to other zones
    pub fn with_spill_share(mut self, share: f64) -> Self {
        self.spill_share = Some(share);
        self
    }

    /// Returns the name, service and zone of each endpoint
    pub fn endpoints(&self) -> Vec<(String, Service, String)> {
        let mut endpoints = Vec::new();
        for service in &self.services {
            for zone in &self.zones {
                for number in 1..=service.endpoints {
                    let name = format!("{}-{}-{number}", service.name, zone.name);
                    endpoints.push((name, service.clone(), zone.name.clone()));
                }
            }
        }
        endpoints
    }

    /// Returns the service of an endpoint
    pub fn service_of(&self, endpoint: &str) -> Service {
        let mut services = self.services.iter();
        let service = services.find(|service| endpoint.starts_with(&service.name));
        service.expect("a known endpoint").clone()
    }

    /// Returns the initial configuration document
    pub fn document(&self, upstreams: &BTreeMap<String, Upstream>) -> Value {
        let mut services = Map::new();
        for (name, service, zone) in self.endpoints() {
            let entry = services.entry(service.name.clone());
            let entry = entry.or_insert_with(|| json!({"class": service.class, "endpoints": {}}));
            if let Some(share) = self.spill_share {
                entry["spill"] =
                    json!({"share": share, "rate": SPILL_RATE_PER_SECOND, "window": "1s"});
            }
            let address = upstreams[&name].address;
            entry["endpoints"][&name] =
                json!({"zone": zone, "address": address, "slots": service.slots});
        }
        let zones = self.zones.iter();
        let zones = zones.map(|zone| (zone.name.clone(), json!({"region": zone.region})));
        let mut regions: Vec<&str> = self.zones.iter().map(|zone| zone.region.as_str()).collect();
        regions.dedup();
        let blocks = regions.iter().enumerate().map(|(index, region)| {
            json!({"first": index * 1000, "last": index * 1000 + 999, "region": region})
        });
        json!({
            "lookup_lifetime": format!("{}s", self.lookup_lifetime.as_secs()),
            "zones": zones.collect::<Map<String, Value>>(),
            "blocks": blocks.collect::<Vec<Value>>(),
            "services": services,
        })
    }
}

/// Creates a temporary directory for a fleet and returns its path
pub fn create_directory() -> PathBuf {
    let name = format!("pier-{}-{:x}", std::process::id(), fastrand::u64(..));
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).expect("directory is created");
    path
}
