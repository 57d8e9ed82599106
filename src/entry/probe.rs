//! Health probes of the upstreams whose slots this host owns.
//!
//! They detect a leaving upstream within about [`PROBE_INTERVAL`] even when it gets no requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Method;
use serde::Deserialize;
use smol::Timer;

use crate::entry::{Host, lock};
use crate::http;
use crate::id::{EndpointId, ServiceId};
use crate::slot::Load;

/// Mean interval between two probes of an upstream
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an upstream may take to respond to a probe
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Response body of an upstream to a probe
#[derive(Clone, Copy, Debug, Deserialize)]
struct Health {
    running: u32,
    slots: u32,
    #[serde(default)]
    leaving: bool,
}

/// Probes the owned upstreams in an endless loop
pub async fn run(host: Arc<Host>) {
    loop {
        Timer::after(PROBE_INTERVAL.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        for (service, endpoint, address) in owned_endpoints(&host) {
            let host = host.clone();
            smol::spawn(async move { probe(&host, &service, &endpoint, address).await }).detach();
        }
        mark_leaving_endpoints(&host).await;
    }
}

/// Marks the upstreams that the platform lists as leaving, if this host is a watcher of its zone
async fn mark_leaving_endpoints(host: &Host) {
    if !lock(&host.view).is_watcher() {
        return;
    }
    let Ok(leaving_addresses) = host.platform.leaving_upstreams().await else {
        return;
    };
    let now = Instant::now();
    for (service, endpoint, address) in owned_endpoints(host) {
        if leaving_addresses.contains(&address) {
            host.with_slots(&service, |slots| slots.pool.mark_leaving(now, &endpoint));
        }
    }
}

/// Returns the endpoints of this zone whose slots this host owns
fn owned_endpoints(host: &Host) -> Vec<(ServiceId, EndpointId, SocketAddr)> {
    let revision = host.revision();
    let view = lock(&host.view);
    let mut owned = Vec::new();
    for (name, service) in &revision.document.services {
        if view.owned_since(name).is_none() {
            continue;
        }
        for (id, endpoint) in &service.endpoints {
            if endpoint.zone == host.settings.zone && !endpoint.draining {
                owned.push((name.clone(), id.clone(), endpoint.address));
            }
        }
    }
    owned
}

async fn probe(host: &Host, service: &ServiceId, endpoint: &EndpointId, address: SocketAddr) {
    let request = http::request(Method::Get, address, "/health");
    let response = http::call(address, request, PROBE_TIMEOUT).await;
    let health = response.map(|response| serde_json::from_slice::<Health>(&response.body));
    let now = Instant::now();
    host.with_slots(service, |slots| match health {
        Err(_) => slots.pool.record_failure(now, endpoint),
        Ok(Err(_)) => log::debug!("health response of {endpoint} of {service} is not valid"),
        Ok(Ok(health)) if health.leaving => slots.pool.mark_leaving(now, endpoint),
        Ok(Ok(health)) => {
            let load = Load {
                running: health.running,
                slots: health.slots,
            };
            slots.pool.record_load(now, endpoint, load);
        }
    });
}
