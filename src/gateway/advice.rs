//! What endpoints state about themselves in their answers: load, warm-up, that they leave, that they
//! want no requests for a while, and how many requests they take.
//!
//! Each host heeds what it was told itself. Telling the others does not pay: an endpoint that leaves
//! answers each of them the same, and its entry in the store follows. Only a limit on the requests of
//! all hosts together needs them to agree (`super::limit`).

use std::time::{Duration, Instant};

use super::limit::Permit;
use super::{Gateway, record};
use crate::catalog::Endpoint;
use crate::message::Response;
use crate::platform::header;

/// Longest time for which an endpoint gets no requests because it asked so; a longer one is taken for
/// a mistake, which must not take the endpoint out of use for good
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// Part of the requested time, and its maximum, by which a host extends it at random, so that hosts
/// do not return together
const PAUSE_JITTER: (f64, Duration) = (0.25, Duration::from_secs(2));

/// Time after a pause for which the endpoint gets requests at the rate of a cold one
const RETURN_PERIOD: Duration = Duration::from_secs(1);

/// Records what the head of an answer states about the endpoint
pub fn heed(gateway: &Gateway, endpoint: &Endpoint, head: &Response) {
    if header::is_misdirected(head) {
        // Another endpoint has the address.
        return;
    }
    let now = Instant::now();
    let id = &endpoint.id;
    if let Some((running, waiting)) = header::server_load(&head.headers) {
        let mut pool = gateway.pool.borrow_mut();
        pool.record_load(now, id, running.saturating_sub(1), waiting);
    }
    if let Some(warmup_left) = header::warmup_remaining(&head.headers) {
        gateway.catalog.borrow_mut().mark_cold(now, id, warmup_left);
    }
    if header::is_leaving(head) && gateway.catalog.borrow_mut().mark_leaving(now, endpoint) {
        let fields = [("endpoint", id.as_str().into())];
        gateway.recorder.event("endpoint-leaving", &fields);
    }
    gateway.record_unknown_headers(endpoint, &head.headers);
    heed_limit(gateway, now, endpoint, head);
    match header::requested_pause(head) {
        None => {}
        Some(Ok(pause)) => pause_endpoint(gateway, now, endpoint, pause),
        Some(Err(text)) => {
            let fields = [
                ("endpoint", id.as_str().into()),
                ("text", text.into()),
                ("reason", "not a number of seconds".into()),
            ];
            gateway.recorder.event("pause-ignored", &fields);
        }
    }
}

fn heed_limit(gateway: &Gateway, now: Instant, endpoint: &Endpoint, head: &Response) {
    match header::stated_limit(&head.headers) {
        // Other answers may come from something that does not know the limit.
        None if !(200..300).contains(&head.status) => {}
        None => gateway.record_limit(now, endpoint, None),
        Some(Ok(rate)) => {
            gateway.metrics.count_stated_limit(true);
            gateway.record_limit(now, endpoint, Some(rate));
        }
        Some(Err(text)) => {
            gateway.metrics.count_stated_limit(false);
            let fields = [
                ("endpoint", endpoint.id.as_str().into()),
                ("text", text.into()),
                ("reason", "not a number of requests a second".into()),
            ];
            gateway.recorder.event("limit-ignored", &fields);
        }
    }
}

fn pause_endpoint(gateway: &Gateway, now: Instant, endpoint: &Endpoint, requested: Duration) {
    let id = &endpoint.id;
    let pause = requested.min(MAX_PAUSE);
    if pause.is_zero() {
        return;
    }
    let (ratio, max_jitter) = PAUSE_JITTER;
    let jitter = pause.mul_f64(ratio).min(max_jitter);
    let pause = pause + jitter.mul_f64(fastrand::f64());
    gateway.pool.borrow_mut().pause(id, now + pause);
    let mut catalog = gateway.catalog.borrow_mut();
    catalog.extend_cold(now, id, pause + RETURN_PERIOD);
    let fields = [
        ("endpoint", id.as_str().into()),
        ("requested_ms", record::millis(requested).into()),
        ("paused_ms", record::millis(pause).into()),
    ];
    gateway.recorder.event("endpoint-paused", &fields);
}

/// Returns whether a request that was meant for an endpoint may still be sent to it
///
/// Seconds may have passed since the endpoint was chosen, if the request is sent once more.
pub fn may_send(gateway: &Gateway, endpoint: &Endpoint, permit: Permit) -> bool {
    let now = Instant::now();
    let is_paused = gateway
        .pool
        .borrow()
        .pause_remaining(now, &endpoint.id)
        .is_some();
    let catalog = gateway.catalog.borrow();
    !is_paused
        && gateway.limits.allows(now, endpoint, permit)
        && catalog.accepts(endpoint)
        && catalog.may_use_leaving(now, endpoint)
}
