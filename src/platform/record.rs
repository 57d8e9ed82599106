//! Objects of the store, decoded into the product's types.
//!
//! Entries may come from other writers. One with fields that are missing or of another type names
//! nothing to use; the others hold.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::{Value, json};

use super::store::Object;
use crate::catalog::Endpoint;
use crate::fleet::Member;
use crate::id::{RegionId, ZoneId};
use crate::policy::{Document, Execution, Limits, Route, Service, WeightedService};

/// Name of the object with the newest configuration
pub const CONFIGURATION_NAME: &str = "main";

/// Endpoints that one host may use at most per attempt where a route does not say
const ATTEMPTS: u32 = 2;

/// Rank of routes that do not say theirs, between the usual 0 to 3
const PRIORITY: u8 = 2;

#[derive(Deserialize)]
struct Config {
    version: u64,
    #[serde(default)]
    routes: BTreeMap<CompactString, Value>,
    #[serde(default)]
    services: BTreeMap<CompactString, ServiceEntry>,
    #[serde(default)]
    limits: LimitsEntry,
}

#[derive(Deserialize)]
struct RouteEntry {
    host: CompactString,
    path_prefix: CompactString,
    /// What may be repeated: `safe` and `download` may, all else at most once
    kind: CompactString,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    priority: Option<u8>,
    service: Option<CompactString>,
    #[serde(default)]
    traffic_split: Vec<PartEntry>,
    max_attempts: Option<u32>,
    #[serde(default)]
    session_affinity: bool,
    /// Only regions that may serve it; empty means all
    #[serde(default)]
    allowed_regions: Vec<RegionId>,
}

#[derive(Deserialize)]
struct PartEntry {
    service: CompactString,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceEntry {
    #[serde(default)]
    health_path: CompactString,
    #[serde(default)]
    warmup_s: f64,
    /// Requests a second that a cold endpoint tolerates
    #[serde(default)]
    warmup_per_s: f64,
}

#[derive(Default, Deserialize)]
struct LimitsEntry {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<u64>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
struct EndpointEntry {
    service: CompactString,
    address: CompactString,
    zone: CompactString,
    state: CompactString,
    /// Slots of the endpoint
    max_concurrency: u32,
    #[serde(default)]
    warmup_left_ms: f64,
    /// Unix milliseconds of the endpoint's start
    born: Option<u64>,
}

/// Configuration of the operator; `Err` says why it cannot be used
pub fn decode_configuration(object: &Object) -> Result<Document, String> {
    let config = Config::deserialize(&object.spec).map_err(|error| error.to_string())?;
    let mut routes = Vec::new();
    for (name, value) in config.routes {
        let entry = RouteEntry::deserialize(&value);
        routes.push(route(
            &name,
            entry.map_err(|error| format!("route {name}: {error}"))?,
        )?);
    }
    let services = config.services.into_iter().map(|(name, entry)| {
        let service = Service {
            health_path: entry.health_path,
            warmup: seconds(entry.warmup_s),
            warmup_rate: entry.warmup_per_s,
        };
        (name, service)
    });
    let own = Limits::default();
    let limits = Limits {
        max_head_bytes: config.limits.max_header_bytes.unwrap_or(own.max_head_bytes),
        max_body_bytes: config.limits.max_body_bytes.unwrap_or(own.max_body_bytes),
        head_timeout: millis(config.limits.header_timeout_ms, own.head_timeout),
        idle_timeout: millis(config.limits.idle_timeout_ms, own.idle_timeout),
    };
    Ok(Document::new(
        config.version,
        routes,
        services.collect(),
        limits,
    ))
}

fn route(name: &CompactString, entry: RouteEntry) -> Result<Route, String> {
    let mut services: Vec<WeightedService> = entry
        .traffic_split
        .into_iter()
        .map(|part| WeightedService {
            service: part.service,
            weight: part.weight.max(0.0),
        })
        .collect();
    if let Some(service) = entry.service.filter(|_| services.is_empty()) {
        let weight = 1.0;
        services.push(WeightedService { service, weight });
    }
    if services.is_empty() {
        return Err(format!("route {name}: neither service nor traffic_split"));
    }
    let execution = match entry.kind.as_str() {
        "safe" | "download" => Execution::Idempotent,
        _ => Execution::AtMostOnce,
    };
    let time = |millis: f64| seconds(millis / 1000.0);
    Ok(Route {
        name: name.clone(),
        host: entry.host.to_ascii_lowercase(),
        path_prefix: entry.path_prefix,
        execution,
        services,
        timeout: entry.timeout_ms.map(time).filter(|time| !time.is_zero()),
        latency_target: entry.target_latency_ms.map(time),
        priority: entry.priority.unwrap_or(PRIORITY),
        max_attempts: entry.max_attempts.unwrap_or(ATTEMPTS).max(1),
        session_affinity: entry.session_affinity,
        allowed_regions: entry.allowed_regions,
        // Hosts begin their rotations at different places, so that they do not run in step.
        rotation: Cell::new(fastrand::u64(..)),
    })
}

/// Upstream endpoint; `None` if the entry names none to use
pub fn decode_endpoint(object: &Object, zones: &BTreeMap<ZoneId, RegionId>) -> Option<Endpoint> {
    let entry = EndpointEntry::deserialize(&object.spec).ok()?;
    let draining = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    let region = zones.get(&entry.zone).cloned();
    Some(Endpoint {
        id: object.name.clone(),
        service: entry.service,
        address: entry.address.parse().ok()?,
        region: region.unwrap_or_else(|| entry.zone.clone()),
        zone: entry.zone,
        slots: entry.max_concurrency,
        draining,
        start_unix_millis: entry.born,
        warmup_remaining: seconds(entry.warmup_left_ms / 1000.0),
    })
}

/// Zones that are evacuated; each has an object of its name
pub fn evacuated_zones<'a>(names: impl Iterator<Item = &'a CompactString>) -> BTreeSet<ZoneId> {
    names.cloned().collect()
}

/// Entry of this host
pub fn encode_member(member: &Member) -> Value {
    json!({
        "zone": member.zone,
        "region": member.region,
        "caller": member.caller.to_string(),
        "peer": member.peer.to_string(),
        "control": member.control.map(|control| control.to_string()),
        "incarnation": member.incarnation,
        "weight": member.weight,
    })
}

/// Entry of an entry host; `None` if it cannot be read
pub fn decode_member(object: &Object) -> Option<Member> {
    let spec = &object.spec;
    Some(Member {
        host: object.name.clone(),
        zone: spec["zone"].as_str()?.into(),
        region: spec["region"].as_str()?.into(),
        caller: spec["caller"].as_str()?.parse().ok()?,
        peer: spec["peer"].as_str()?.parse().ok()?,
        control: spec["control"].as_str().and_then(|text| text.parse().ok()),
        incarnation: spec["incarnation"].as_u64()?,
        weight: spec["weight"].as_f64()?,
        revision: object.revision,
    })
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::ZERO)
}

fn millis(value: Option<u64>, default: Duration) -> Duration {
    value.map_or(default, Duration::from_millis)
}
