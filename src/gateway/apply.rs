//! Applies objects of the store, or of a copy of it, to what this host uses.

use std::time::{Duration, Instant};

use super::{Gateway, era, quarantine};
use crate::id::EndpointId;
use crate::platform::record;
use crate::platform::store::{Event, Kind, Object};

/// Applies a complete list
pub fn apply_list(gateway: &Gateway, kind: Kind, objects: &[Object]) {
    let now = Instant::now();
    match kind {
        Kind::Configuration => objects
            .iter()
            .for_each(|object| apply_configuration(gateway, object)),
        Kind::Endpoints => {
            let zones = gateway.settings.borrow().zones.clone();
            let list = objects
                .iter()
                .filter_map(|object| record::decode_endpoint(object, &zones));
            let started = gateway.catalog.borrow_mut().replace(now, list.collect());
            for id in &started {
                gateway.pool.borrow_mut().remove_endpoint(id);
                quarantine::record_endpoint_start(gateway, id);
            }
            record_listed_starts(gateway, &started);
        }
        Kind::Evacuations => apply_evacuations(gateway),
        Kind::Hosts => {
            let list = objects.iter().filter_map(record::decode_member).collect();
            gateway.fleet.borrow_mut().replace(now, list);
        }
        Kind::Quarantine => quarantine::apply_list(gateway, objects),
    }
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
    match (kind, event) {
        (Kind::Configuration, Event::Put(object)) => apply_configuration(gateway, &object),
        (Kind::Configuration, Event::Removed(name)) => {
            log::warn!("configuration {name} was deleted; keeping the current one");
        }
        (Kind::Endpoints, event) => apply_endpoint(gateway, event),
        (Kind::Evacuations, _) => apply_evacuations(gateway),
        (Kind::Hosts, Event::Put(object)) => match record::decode_member(&object) {
            Some(member) => gateway.fleet.borrow_mut().put(Instant::now(), member),
            None => log::warn!("cannot read the entry of host {}", object.name),
        },
        (Kind::Hosts, Event::Removed(name)) => {
            gateway.fleet.borrow_mut().remove(Instant::now(), &name);
            gateway.pool.borrow_mut().remove_host(&name);
        }
        (Kind::Quarantine, event) => quarantine::apply_event(gateway, event),
    }
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
        Event::Put(object) => (&object.name, record::decode_endpoint(object, &zones)),
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
