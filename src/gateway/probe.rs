//! Health checks of ejected endpoints.
//!
//! Only ejected endpoints are checked, once per ejection period, since each check occupies a slot
//! of the endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;

use super::limit::Permit;
use super::{Gateway, advice};
use crate::catalog::Endpoint;
use crate::message::{Connection, timeout};
use crate::platform::header;

/// Interval between two scans for endpoints to check
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a health check
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Checks ejected endpoints and drops expired state, forever
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        Timer::after(SCAN_INTERVAL).await;
        let now = Instant::now();
        for id in gateway.catalog.borrow_mut().expire(now) {
            gateway.pool.borrow_mut().remove_endpoint(&id);
        }
        gateway.idle_connections.borrow_mut().expire(now);
        gateway.expire_cold_buckets(now);
        gateway.maintain_limits(now);
        gateway.record_memory_level();
        gateway.expire_affinity_keys(now);
        gateway.quarantine.borrow_mut().expire(now);
        let due = gateway.pool.borrow_mut().due_probes(now);
        for id in due {
            let found = gateway.catalog.borrow().get(&id).cloned();
            match found {
                Some(endpoint) => {
                    let prober = gateway.clone();
                    gateway
                        .spawn(async move { probe_endpoint(&prober, &endpoint).await })
                        .detach();
                }
                None => gateway.pool.borrow_mut().remove_endpoint(&id),
            }
        }
    }
}

async fn probe_endpoint(gateway: &Gateway, endpoint: &Endpoint) {
    let Some(permit) = gateway.acquire_permit(endpoint).await else {
        gateway.pool.borrow_mut().postpone_probe(&endpoint.id);
        return;
    };
    gateway.metrics.count_probe();
    let healthy = timeout(
        Instant::now() + PROBE_TIMEOUT,
        is_healthy(gateway, endpoint, permit),
    )
    .await;
    let Some(healthy) = healthy.unwrap_or(Some(false)) else {
        gateway.pool.borrow_mut().postpone_probe(&endpoint.id);
        return;
    };
    let mut pool = gateway.pool.borrow_mut();
    pool.record_probe(Instant::now(), &endpoint.id, healthy);
    drop(pool);
    let fields = [
        ("endpoint", endpoint.id.as_str().into()),
        ("good", healthy.into()),
    ];
    gateway.recorder.event("probe", &fields);
}

/// Returns whether an endpoint is healthy, `None` if the check must not be sent any more
async fn is_healthy(gateway: &Gateway, endpoint: &Endpoint, permit: Permit) -> Option<bool> {
    let configuration = gateway.configuration();
    let service = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(&endpoint.service));
    let path = service.map_or("/", |service| service.health_path.as_str());
    let Ok(mut connection) = Connection::connect(endpoint.address, PROBE_TIMEOUT).await else {
        return Some(false);
    };
    if !gateway.limits.allows(Instant::now(), endpoint, permit) {
        return None;
    }
    let head = header::health_check_head(path, endpoint.address);
    if connection
        .write(head.as_bytes(), Instant::now() + PROBE_TIMEOUT)
        .await
        .is_err()
    {
        return Some(false);
    }
    let Ok(answer) = connection.read_response("GET").await else {
        return Some(false);
    };
    let is_same_endpoint = header::instance_id(&answer.headers).is_none_or(|id| id == endpoint.id);
    if is_same_endpoint {
        advice::heed(gateway, endpoint, &answer);
    }
    // An endpoint at capacity rejects checks like requests, but is alive.
    Some(is_same_endpoint && (answer.status == 200 || header::is_not_executed(&answer)))
}
