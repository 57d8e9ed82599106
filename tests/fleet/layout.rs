//! What a fleet consists of: zones, hosts and services.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Map, Value, json};
use tanagerpier::load::WeightedService;

use super::Upstream;

/// Requests a second that a failure may move into one zone, where a layout sets the cap
const SPILL_RATE: f64 = 1000.0;

/// One availability zone
#[derive(Clone)]
pub struct Site {
    /// Name of the zone
    pub zone: String,
    /// Its region
    pub region: String,
    /// Entry hosts in it
    pub hosts: usize,
}

/// One service with the same endpoints in each zone
#[derive(Clone)]
pub struct Service {
    /// Name of the service
    pub name: String,
    /// Endpoints a zone
    pub endpoints: usize,
    /// Slots of an endpoint
    pub slots: u32,
    /// Time that a request takes
    pub time: Duration,
    /// Part of the load
    pub weight: f64,
    /// Bytes of an answer
    pub size: usize,
    /// `interactive` or `download`
    pub class: &'static str,
}

/// What a fleet consists of
#[derive(Clone)]
pub struct Layout {
    /// Zones with their hosts
    pub zones: Vec<Site>,
    /// Services
    pub services: Vec<Service>,
    /// Time for which callers keep a look-up
    pub lookup_lifetime: Duration,
    /// Part of a zone's traffic that a failure may move; `None` for the product's own
    pub spill: Option<f64>,
}

impl Service {
    /// Lookups and renewals
    pub fn portal(endpoints: usize) -> Self {
        Self {
            name: "licence-portal".to_owned(),
            endpoints,
            slots: 3,
            time: Duration::from_millis(10),
            weight: 9.0,
            size: 500,
            class: "interactive",
        }
    }

    /// Downloads
    pub fn packs(endpoints: usize) -> Self {
        Self {
            name: "pack-library".to_owned(),
            endpoints,
            slots: 3,
            time: Duration::from_millis(20),
            weight: 1.0,
            size: 100_000,
            class: "download",
        }
    }

    /// Part of a load
    pub fn mix(&self) -> WeightedService {
        WeightedService::new(&self.name, self.weight, self.size)
    }
}

impl Layout {
    /// Zones `a` and `b` of each region, with the same number of hosts
    pub fn new(regions: &[&str], hosts: usize, services: &[Service]) -> Self {
        let both = regions.iter().flat_map(|region| {
            ["a", "b"].map(|end| Site {
                zone: format!("{region}-{end}"),
                region: (*region).to_owned(),
                hosts,
            })
        });
        Self {
            zones: both.collect(),
            services: services.to_vec(),
            lookup_lifetime: Duration::from_secs(2),
            spill: None,
        }
    }

    /// The same layout where a failure may move this part of a zone's traffic
    pub fn with_spill(mut self, share: f64) -> Self {
        self.spill = Some(share);
        self
    }

    /// Name, service and zone of each endpoint
    pub fn endpoints(&self) -> Vec<(String, Service, String)> {
        let mut all = Vec::new();
        for service in &self.services {
            for site in &self.zones {
                for number in 1..=service.endpoints {
                    let name = format!("{}-{}-{number}", service.name, site.zone);
                    all.push((name, service.clone(), site.zone.clone()));
                }
            }
        }
        all
    }

    /// Service of an endpoint
    pub fn service_of(&self, endpoint: &str) -> Service {
        let mut services = self.services.iter();
        let found = services.find(|service| endpoint.starts_with(&service.name));
        found.expect("a known endpoint").clone()
    }

    /// First configuration
    pub fn document(&self, upstreams: &BTreeMap<String, Upstream>) -> Value {
        let mut services = Map::new();
        for (name, service, zone) in self.endpoints() {
            let entry = services.entry(service.name.clone());
            let entry = entry.or_insert_with(|| json!({"class": service.class, "endpoints": {}}));
            if let Some(share) = self.spill {
                entry["spill"] = json!({"share": share, "rate": SPILL_RATE, "window": "1s"});
            }
            let address = upstreams[&name].address;
            entry["endpoints"][&name] =
                json!({"zone": zone, "address": address, "slots": service.slots});
        }
        let zones = self.zones.iter();
        let zones = zones.map(|site| (site.zone.clone(), json!({"region": site.region})));
        let mut regions: Vec<&str> = self.zones.iter().map(|s| s.region.as_str()).collect();
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

/// New directory of a fleet
pub fn directory() -> PathBuf {
    let name = format!("pier-{}-{:x}", std::process::id(), fastrand::u64(..));
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}
