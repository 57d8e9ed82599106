//! Health of the upstreams whose slots this host owns.
//!
//! A leaving upstream is learned here within [`PROBE_INTERVAL`] even when it gets no requests.

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

/// Time between two probes of an upstream
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for an answer
const LIMIT: Duration = Duration::from_millis(500);

/// Answer of an upstream to a probe
#[derive(Clone, Copy, Debug, Deserialize)]
struct Health {
    running: u32,
    slots: u32,
    #[serde(default)]
    leaving: bool,
}

/// Probe the owned upstreams for ever
pub async fn run(host: Arc<Host>) {
    loop {
        Timer::after(PROBE_INTERVAL.mul_f64(0.9 + 0.2 * fastrand::f64())).await;
        for (service, endpoint, address) in owned(&host) {
            let host = host.clone();
            smol::spawn(async move { probe(&host, &service, &endpoint, address).await }).detach();
        }
        leaving(&host).await;
    }
}

/// Take the platform's list of leaving upstreams, where this host watches for its zone
async fn leaving(host: &Host) {
    if !lock(&host.view).is_watcher() {
        return;
    }
    let Ok(addresses) = host.platform.leaving_upstreams().await else {
        return;
    };
    let now = Instant::now();
    for (service, endpoint, address) in owned(host) {
        if addresses.contains(&address) {
            host.with_slots(&service, |slots| slots.pool.mark_leaving(now, &endpoint));
        }
    }
}

/// Endpoints of this zone whose slots this host owns
fn owned(host: &Host) -> Vec<(ServiceId, EndpointId, SocketAddr)> {
    let revision = host.revision();
    let view = lock(&host.view);
    let mut owned = Vec::new();
    for (name, service) in &revision.document.services {
        if view.owned_since(name).is_none() {
            continue;
        }
        for (endpoint, seat) in &service.endpoints {
            if seat.zone == host.settings.zone && !seat.draining {
                owned.push((name.clone(), endpoint.clone(), seat.address));
            }
        }
    }
    owned
}

async fn probe(host: &Host, service: &ServiceId, endpoint: &EndpointId, address: SocketAddr) {
    let request = http::request(Method::Get, address, "/health");
    let answer = http::call(address, request, LIMIT).await;
    let health = answer.map(|answer| serde_json::from_slice::<Health>(&answer.body));
    let now = Instant::now();
    host.with_slots(service, |slots| match health {
        Err(_) => slots.pool.record_failure(now, endpoint),
        Ok(Err(_)) => log::debug!("{endpoint} of {service} does not tell its health"),
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
