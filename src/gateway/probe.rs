//! Health checks of endpoints that are left out.
//!
//! Only those are asked, and only once per time out, since each check takes a slot of the endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;

use super::Gateway;
use crate::catalog::Endpoint;
use crate::message::{Connection, timeout};
use crate::platform::header;

/// Pause between two looks for endpoints to ask
const PAUSE: Duration = Duration::from_millis(100);

/// Longest time of a health check
const LIMIT: Duration = Duration::from_millis(1000);

/// Ask endpoints that are left out, for ever
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        Timer::after(PAUSE).await;
        let now = Instant::now();
        for id in gateway.catalog.borrow_mut().expire(now) {
            gateway.pool.borrow_mut().remove_endpoint(&id);
        }
        gateway.idle.borrow_mut().expire(now);
        gateway.expire_chills(now);
        gateway.expire_objects(now);
        gateway.quarantine.borrow_mut().expire(now);
        let due = gateway.pool.borrow_mut().due_probes(now);
        for id in due {
            let known = gateway.catalog.borrow().get(&id).cloned();
            match known {
                Some(endpoint) => {
                    let prober = gateway.clone();
                    gateway
                        .spawn(async move { ask(&prober, &endpoint).await })
                        .detach();
                }
                None => gateway.pool.borrow_mut().remove_endpoint(&id),
            }
        }
    }
}

async fn ask(gateway: &Gateway, endpoint: &Endpoint) {
    gateway.metrics.probe();
    let good = timeout(Instant::now() + LIMIT, check(gateway, endpoint)).await;
    let good = good.unwrap_or(false);
    let mut pool = gateway.pool.borrow_mut();
    pool.record_probe(Instant::now(), &endpoint.id, good);
    drop(pool);
    let fields = [
        ("endpoint", endpoint.id.as_str().into()),
        ("good", good.into()),
    ];
    gateway.recorder.event("probe", &fields);
}

async fn check(gateway: &Gateway, endpoint: &Endpoint) -> bool {
    let document = gateway.document();
    let service = document
        .as_ref()
        .and_then(|d| d.services.get(&endpoint.service));
    let path = service.map_or("/", |service| service.health_path.as_str());
    let Ok(mut connection) = Connection::connect(endpoint.address, LIMIT).await else {
        return false;
    };
    let head = header::health_check(path, endpoint.address);
    if connection
        .write(head.as_bytes(), Instant::now() + LIMIT)
        .await
        .is_err()
    {
        return false;
    }
    let Ok(answer) = connection.answer("GET").await else {
        return false;
    };
    let same = header::instance(&answer.headers).is_none_or(|id| id == endpoint.id);
    if let Some(left) = header::warmup(&answer.headers).filter(|_| same) {
        let mut catalog = gateway.catalog.borrow_mut();
        catalog.chill(Instant::now(), &endpoint.id, left);
    }
    // A full endpoint turns checks away like requests, and is alive.
    same && (answer.status == 200 || header::is_not_run(&answer))
}
