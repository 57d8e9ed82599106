//! Decoding of store objects into the types of this crate.
//!
//! Other programs write to the store too. An object with missing or mistyped fields is rejected as
//! a whole; the other objects stay in use.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::{Value, json};

use super::store::Object;
use crate::bound;
use crate::catalog::Endpoint;
use crate::fleet::Member;
use crate::id::{RegionId, ZoneId};
use crate::policy::{Document, Execution, Limits, Route, Service, WeightedService};
use crate::quarantine;
use crate::util::unix_millis;

/// Name of the object that holds the current configuration
pub const CONFIGURATION_NAME: &str = "main";

/// Maximum number of endpoints that a host tries per attempt of a caller, if a route has no limit
const DEFAULT_MAX_ATTEMPTS: u32 = 2;

/// Priority of routes without one; usual values are 0 to 3
const DEFAULT_PRIORITY: u8 = 2;

#[derive(Deserialize)]
struct ConfigurationSpec {
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
    /// `safe` and `download` requests may be retried; all others are executed at most once
    kind: CompactString,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    priority: Option<u8>,
    service: Option<CompactString>,
    #[serde(default)]
    traffic_split: Vec<TrafficSplitEntry>,
    max_attempts: Option<u32>,
    #[serde(default)]
    session_affinity: bool,
    /// Regions that may serve the route; empty means all
    #[serde(default)]
    allowed_regions: Vec<RegionId>,
}

#[derive(Deserialize)]
struct TrafficSplitEntry {
    service: CompactString,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceEntry {
    #[serde(default)]
    health_path: CompactString,
    #[serde(default)]
    warmup_s: f64,
    /// Maximum requests per second to an endpoint that is warming up
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
struct EndpointSpec {
    service: CompactString,
    address: CompactString,
    zone: CompactString,
    state: CompactString,
    /// Number of slots
    max_concurrency: u32,
    #[serde(default)]
    warmup_left_ms: f64,
    /// Start time of the endpoint in Unix milliseconds
    born: Option<u64>,
    /// Number of entries that this run of the endpoint wrote so far
    #[serde(default)]
    sequence: Value,
}

/// Returns the version of the operator's configuration; `None` if the object has none
pub fn configuration_version(object: &Object) -> Option<u64> {
    object.spec.get("version")?.as_u64()
}

/// Decodes the operator's configuration; the error states why it is invalid
pub fn decode_configuration(object: &Object) -> Result<Document, String> {
    let spec = ConfigurationSpec::deserialize(&object.spec).map_err(|error| error.to_string())?;
    let mut routes = Vec::new();
    for (name, value) in spec.routes {
        let entry = RouteEntry::deserialize(&value);
        routes.push(decode_route(
            &name,
            entry.map_err(|error| format!("route {name}: {error}"))?,
        )?);
    }
    let services = spec.services.into_iter().map(|(name, entry)| {
        let service = Service {
            health_path: entry.health_path,
            warmup: bound::seconds(entry.warmup_s),
            warmup_rate: bound::ratio(entry.warmup_per_s),
        };
        (name, service)
    });
    let defaults = Limits::default();
    let limits = Limits {
        max_head_bytes: spec
            .limits
            .max_header_bytes
            .unwrap_or(defaults.max_head_bytes),
        max_body_bytes: spec
            .limits
            .max_body_bytes
            .unwrap_or(defaults.max_body_bytes),
        head_timeout: millis_or(spec.limits.header_timeout_ms, defaults.head_timeout),
        idle_timeout: millis_or(spec.limits.idle_timeout_ms, defaults.idle_timeout),
    };
    Ok(Document::new(
        spec.version,
        routes,
        services.collect(),
        limits,
    ))
}

fn decode_route(name: &CompactString, entry: RouteEntry) -> Result<Route, String> {
    let mut services: Vec<WeightedService> = entry
        .traffic_split
        .into_iter()
        .map(|split| WeightedService {
            service: split.service,
            weight: bound::ratio(split.weight),
        })
        .collect();
    if let Some(service) = entry.service.filter(|_| services.is_empty()) {
        let weight = 1.0;
        services.push(WeightedService { service, weight });
    }
    if services.is_empty() {
        return Err(format!(
            "route {name}: service or traffic_split is required"
        ));
    }
    let execution = match entry.kind.as_str() {
        "safe" | "download" => Execution::Idempotent,
        _ => Execution::AtMostOnce,
    };
    let from_millis = |millis: f64| bound::seconds(millis / 1000.0);
    Ok(Route {
        name: name.clone(),
        host: entry.host.to_ascii_lowercase(),
        path_prefix: entry.path_prefix,
        execution,
        services,
        timeout: entry
            .timeout_ms
            .map(from_millis)
            .filter(|timeout| !timeout.is_zero()),
        latency_target: entry.target_latency_ms.map(from_millis),
        priority: entry.priority.unwrap_or(DEFAULT_PRIORITY),
        max_attempts: entry.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        session_affinity: entry.session_affinity,
        allowed_regions: entry.allowed_regions,
        // A random start keeps the rotations of the hosts from running in lockstep.
        rotation: Cell::new(fastrand::u64(..)),
    })
}

/// Decodes an upstream endpoint; `None` if the object is invalid or its state is not usable
pub fn decode_endpoint(object: &Object, zones: &BTreeMap<ZoneId, RegionId>) -> Option<Endpoint> {
    let entry = EndpointSpec::deserialize(&object.spec).ok()?;
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
        slots: bound::count(entry.max_concurrency),
        draining,
        start_unix_millis: entry.born,
        sequence: entry.sequence.as_u64().unwrap_or(0),
        warmup_remaining: bound::seconds(entry.warmup_left_ms / 1000.0),
    })
}

/// Returns the evacuated zones; each has an object with its name
pub fn evacuated_zones<'a>(names: impl Iterator<Item = &'a CompactString>) -> BTreeSet<ZoneId> {
    names.cloned().collect()
}

/// Encodes the store entry of an entry host
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

/// Decodes an entry host; `None` if the object is invalid
pub fn decode_member(object: &Object) -> Option<Member> {
    let spec = &object.spec;
    Some(Member {
        host: object.name.clone(),
        zone: spec["zone"].as_str()?.into(),
        region: spec["region"].as_str()?.into(),
        caller: spec["caller"].as_str()?.parse().ok()?,
        peer: spec["peer"].as_str()?.parse().ok()?,
        control: spec["control"]
            .as_str()
            .and_then(|address| address.parse().ok()),
        incarnation: spec["incarnation"].as_u64()?,
        weight: bound::ratio(spec["weight"].as_f64()?),
        revision: object.revision,
    })
}

/// Returns the name of the object that holds the record of a request
pub fn quarantine_name(key: quarantine::Key) -> CompactString {
    format!("{key:016x}").into()
}

/// Returns the request whose record has this name; `None` if the name is invalid
pub fn quarantine_key(name: &str) -> Option<quarantine::Key> {
    u64::from_str_radix(name, 16).ok()
}

/// Encodes the record of a request that crashed endpoints; `now` is the time of day
pub fn encode_quarantine(record: &quarantine::Record, now: SystemTime) -> Value {
    let runs = record.crashed.iter().map(|run| format!("{run:016x}"));
    let age = u64::try_from(record.age.as_millis()).unwrap_or(u64::MAX);
    json!({
        "crashed": runs.collect::<Vec<_>>(),
        "last_crash_unix_ms": unix_millis(now).saturating_sub(age),
    })
}

/// Decodes the record of a request that crashed endpoints; `None` if the object is invalid
///
/// A crash in the future, by a clock that differs, counts as one of this moment.
pub fn decode_quarantine(
    object: &Object,
    now: SystemTime,
) -> Option<(quarantine::Key, quarantine::Record)> {
    let runs = object.spec.get("crashed")?.as_array()?;
    let parse_run = |run: &Value| u64::from_str_radix(run.as_str()?, 16).ok();
    let crashed: Option<BTreeSet<quarantine::EndpointRun>> = runs.iter().map(parse_run).collect();
    let last_crash = object.spec.get("last_crash_unix_ms")?.as_u64()?;
    let record = quarantine::Record {
        crashed: crashed?,
        cleared: BTreeSet::new(),
        age: bound::millis(unix_millis(now).saturating_sub(last_crash)),
    };
    Some((quarantine_key(&object.name)?, record))
}

fn millis_or(value: Option<u64>, default: Duration) -> Duration {
    value.map_or(default, bound::millis)
}
