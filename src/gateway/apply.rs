//! Applies objects of the store, or of a copy of it, to what this host uses.

use std::time::{Duration, Instant};

use super::{Gateway, era, quarantine};
use crate::id::{EndpointId, HostId};
use crate::platform::record;
use crate::platform::store::{Event, Kind, Object};

/// Applies a complete list
pub fn apply_list(gateway: &Gateway, kind: Kind, objects: &[Object]) {
    let now = Instant::now();
    gateway.unreadable.borrow_mut().retain_listed(kind, objects);
    match kind {
        Kind::Configuration => objects
            .iter()
            .for_each(|object| apply_configuration(gateway, object)),
        Kind::Endpoints => {
            let zones = gateway.settings.borrow().zones.clone();
            let list = decode_all(gateway, kind, objects, |object| {
                record::decode_endpoint(object, &zones)
            });
            let started = gateway.catalog.borrow_mut().replace(now, list);
            for id in &started {
                gateway.pool.borrow_mut().remove_endpoint(id);
                quarantine::record_endpoint_start(gateway, id);
            }
            record_listed_starts(gateway, &started);
        }
        Kind::Evacuations => apply_evacuations(gateway),
        Kind::Hosts => {
            let list = decode_all(gateway, kind, objects, record::decode_member);
            gateway.fleet.borrow_mut().replace(now, list);
        }
        Kind::Quarantine => quarantine::apply_list(gateway, objects),
    }
}

/// Decodes the objects of a list that can be read
fn decode_all<T>(
    gateway: &Gateway,
    kind: Kind,
    objects: &[Object],
    decode: impl Fn(&Object) -> Option<T>,
) -> Vec<T> {
    let objects = objects.iter();
    let decoded = objects.filter_map(|object| decode_one(gateway, kind, object, &decode));
    decoded.collect()
}

/// Decodes an object, and records whether it can be read
pub fn decode_one<T>(
    gateway: &Gateway,
    kind: Kind,
    object: &Object,
    decode: impl Fn(&Object) -> Option<T>,
) -> Option<T> {
    let decoded = decode(object);
    match decoded {
        Some(_) => gateway.unreadable.borrow_mut().forget(kind, &object.name),
        None => gateway.record_unreadable(kind, Some(&object.name), "invalid content"),
    }
    decoded
}

/// Logs which endpoints a list showed as started
fn record_listed_starts(gateway: &Gateway, started: &[EndpointId]) {
    const MAX_IDS: usize = 20;
    if started.is_empty() {
        return;
    }
    let ids: Vec<&str> = started.iter().take(MAX_IDS).map(|id| id.as_str()).collect();
    let fields = [
        ("started", started.len().into()),
        ("endpoints", ids.join(" ").into()),
    ];
    gateway.recorder.event("endpoints-listed", &fields);
}

/// Applies one change
pub fn apply_event(gateway: &Gateway, kind: Kind, event: Event) {
    if let Event::Removed(name) = &event {
        gateway.unreadable.borrow_mut().forget(kind, name);
    }
    match (kind, event) {
        (Kind::Configuration, Event::Put(object)) => apply_configuration(gateway, &object),
        (Kind::Configuration, Event::Removed(name)) => {
            log::warn!("configuration {name} was deleted; keeping the current one");
        }
        (Kind::Endpoints, event) => apply_endpoint(gateway, event),
        (Kind::Evacuations, _) => apply_evacuations(gateway),
        (Kind::Hosts, Event::Put(object)) => {
            match decode_one(gateway, kind, &object, record::decode_member) {
                Some(member) => gateway.fleet.borrow_mut().put(Instant::now(), member),
                // The host itself notices that its entry is gone and writes it again.
                None => remove_host(gateway, &object.name),
            }
        }
        (Kind::Hosts, Event::Removed(name)) => remove_host(gateway, &name),
        (Kind::Quarantine, event) => quarantine::apply_event(gateway, event),
    }
}

fn remove_host(gateway: &Gateway, host: &HostId) {
    gateway.fleet.borrow_mut().remove(Instant::now(), host);
    gateway.pool.borrow_mut().remove_host(host);
}

fn apply_configuration(gateway: &Gateway, object: &Object) {
    if object.name != record::CONFIGURATION_NAME || !era::may_configure(gateway) {
        return;
    }
    match record::decode_configuration(object) {
        Ok(configuration) => {
            gateway.apply(configuration);
        }
        Err(error) => log::error!("configuration is invalid: {error}; keeping the current one"),
    }
}

fn apply_endpoint(gateway: &Gateway, event: Event) {
    let now = Instant::now();
    let zones = gateway.settings.borrow().zones.clone();
    let (name, endpoint) = match &event {
        Event::Put(object) => {
            let decode = |object: &Object| record::decode_endpoint(object, &zones);
            let endpoint = decode_one(gateway, Kind::Endpoints, object, decode);
            (&object.name, endpoint)
        }
        Event::Removed(name) => (name, None),
    };
    let mut catalog = gateway.catalog.borrow_mut();
    let Some(endpoint) = endpoint else {
        // An entry that became invalid removes its endpoint at once, like a deleted entry.
        catalog.remove(now, name);
        gateway
            .recorder
            .event("endpoint-gone", &[("endpoint", name.as_str().into())]);
        return;
    };
    let fields = [
        ("endpoint", name.as_str().into()),
        ("service", endpoint.service.as_str().into()),
        ("draining", endpoint.draining.into()),
        (
            "cold_ms",
            (endpoint.warmup_remaining.as_millis() as u64).into(),
        ),
    ];
    let change = catalog.put(now, endpoint);
    drop(catalog);
    match change {
        crate::catalog::Change::Started => {
            gateway.pool.borrow_mut().remove_endpoint(name);
            quarantine::record_endpoint_start(gateway, name);
            gateway.recorder.event("endpoint-started", &fields);
        }
        crate::catalog::Change::Updated => gateway.recorder.event("endpoint-changed", &fields),
        crate::catalog::Change::Unchanged => {}
        crate::catalog::Change::Outdated => {
            gateway.metrics.count_outdated();
            gateway.recorder.event("endpoint-entry-outdated", &fields);
        }
    }
}

fn apply_evacuations(gateway: &Gateway) {
    let zones = record::evacuated_zones(era::evacuations(gateway).iter());
    let configuration = gateway.configuration();
    let warmup = |service: &crate::id::ServiceId| {
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service));
        service.map_or(Duration::ZERO, |service| service.warmup)
    };
    let mut catalog = gateway.catalog.borrow_mut();
    if *catalog.evacuated_zones() != zones {
        let names: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
        gateway
            .recorder
            .event("evacuation", &[("zones", names.join(" ").into())]);
    }
    catalog.set_evacuated_zones(Instant::now(), zones, warmup);
}
