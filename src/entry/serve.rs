//! Requests that run on a slot of this zone.

use std::sync::Arc;
use std::time::Instant;

use smol::Timer;
use smol::channel::{Receiver, bounded};
use smol::future::FutureExt;

use crate::entry::reply::Body;
use crate::entry::run::Run;
use crate::entry::{Event, Host, LeaseResult, Outcome, Reply, lock, refusal};
use crate::id::{EndpointId, ServiceId};
use crate::quarantine;
use crate::slot::{Admission, Lease, Outcome as SlotOutcome, Request as SlotRequest, WaitId};
use crate::upstream::Error;
use crate::wire::{Cause, Refusal, Request};

/// Most endpoints of one zone that are tried for a request
pub const MAX_ENDPOINT_ATTEMPTS: usize = 3;

/// Runs a request on a slot of this zone if this host owns the slots of the service
pub async fn serve_if_owner(host: &Arc<Host>, request: &Request, deadline: Instant) -> Outcome {
    host.tick_if_overdue(Instant::now());
    match not_owner_refusal(host, &request.service) {
        Some(refused) => Outcome::NotRun(refused),
        None => serve_locally(host, request, deadline).await,
    }
}

/// Runs a request on a slot of this zone, trying another endpoint after each that did not run it
pub async fn serve_locally(host: &Arc<Host>, request: &Request, deadline: Instant) -> Outcome {
    let key = quarantine_key(request);
    let mut tried = Vec::new();
    let mut last_refusal = refusal(Cause::NoUpstream);
    while tried.len() < MAX_ENDPOINT_ATTEMPTS {
        if let Some(refused) = quarantine_refusal(host, request) {
            return Outcome::NotRun(refused);
        }
        let mut excluded = lock(&host.quarantine).excluded_endpoints(key);
        excluded.extend(tried.iter().cloned());
        let slot_request = SlotRequest {
            deadline,
            reason: request.reason,
            excluded,
        };
        let lease = match acquire_slot(host, &request.service, slot_request).await {
            Ok(lease) => lease,
            Err(refused) if tried.is_empty() => return Outcome::NotRun(refused),
            Err(_) => return Outcome::NotRun(last_refusal),
        };
        let endpoint = lease.endpoint.clone();
        match attempt(host, request, lease, deadline).await {
            Attempt::Finished(outcome) => return outcome,
            Attempt::TryNext(refused) => last_refusal = refused,
        }
        tried.push(endpoint);
    }
    Outcome::NotRun(last_refusal)
}

enum Attempt {
    Finished(Outcome),
    TryNext(Refusal),
}

async fn attempt(host: &Arc<Host>, request: &Request, lease: Lease, deadline: Instant) -> Attempt {
    let (endpoint, address) = (lease.endpoint.clone(), lease.address);
    let mut run = Run::new(
        host.clone(),
        request.service.clone(),
        quarantine_key(request),
        lease,
    );
    if Instant::now() >= deadline {
        return Attempt::Finished(Outcome::NotRun(refusal(Cause::TooLate)));
    }
    host.count_attempt();
    match host.upstreams.send(address, request, deadline).await {
        Ok(reply) => {
            if let Some(load) = reply.load {
                host.with_slots(&request.service, |slots| {
                    slots.pool.record_load(Instant::now(), &endpoint, load);
                });
            }
            let head = reply.head.clone();
            let body = Body::Local(Box::new(run.with_reply(reply)));
            Attempt::Finished(Outcome::Served(Reply { head, body }))
        }
        Err(Error::NotSent(..)) => {
            run.finish(SlotOutcome::ConnectionFailed);
            Attempt::TryNext(refusal(Cause::NoUpstream))
        }
        Err(Error::Shed(_, retry_after)) => {
            run.finish(SlotOutcome::Shed);
            let mut refused = refusal(Cause::NoHeadroom);
            refused.retry_after = retry_after.unwrap_or(refused.retry_after);
            Attempt::TryNext(refused)
        }
        Err(Error::Leaving(_)) => {
            run.finish(SlotOutcome::Leaving);
            Attempt::TryNext(refusal(Cause::NoUpstream))
        }
        Err(Error::InvalidResponse(..)) => {
            run.finish(SlotOutcome::ConnectionFailed);
            Attempt::Finished(Outcome::Unknown(refusal(Cause::Broken)))
        }
        Err(Error::Closed(_)) => {
            run.finish(SlotOutcome::ConnectionFailed);
            record_crash(host, request, &endpoint);
            Attempt::Finished(Outcome::Unknown(refusal(Cause::Broken)))
        }
        Err(Error::TimedOut(_)) => {
            run.finish(SlotOutcome::Cancelled);
            Attempt::Finished(Outcome::Unknown(refusal(Cause::TooLate)))
        }
    }
}

/// Records that `endpoint` crashed with the request in flight
pub fn record_crash(host: &Host, request: &Request, endpoint: &EndpointId) {
    let now = Instant::now();
    let key = quarantine_key(request);
    let mut quarantine = lock(&host.quarantine);
    let was_quarantined = quarantine.retry_after(now, key).is_some();
    quarantine.record_crash(now, key, endpoint);
    let is_quarantined = quarantine.retry_after(now, key).is_some();
    drop(quarantine);
    if is_quarantined && !was_quarantined {
        let text = format!(
            "request {:016x} key {key:016x}, last crash at {endpoint}",
            request.id
        );
        host.record_event(Event::new("quarantine", &text).with_service(&request.service));
    }
}

/// Returns the refusal of a request that crashed upstreams, if it is quarantined
pub fn quarantine_refusal(host: &Host, request: &Request) -> Option<Refusal> {
    let retry_after =
        lock(&host.quarantine).retry_after(Instant::now(), quarantine_key(request))?;
    Some(Refusal {
        cause: Cause::Quarantined,
        retry_after,
        alternative_host: None,
    })
}

/// Returns the quarantine key of a request
pub fn quarantine_key(request: &Request) -> quarantine::Key {
    let Request {
        service,
        method,
        target,
        body,
        ..
    } = request;
    quarantine::key(service, method, target, body)
}

/// Returns the refusal of a request whose service's slots another host of this zone owns
pub fn not_owner_refusal(host: &Host, service: &ServiceId) -> Option<Refusal> {
    let view = lock(&host.view);
    let owner = view.owner(&host.settings.zone, service)?;
    let owner = owner.info.host.clone();
    if owner == host.settings.host {
        return None;
    }
    let mut refused = refusal(Cause::NotOwner);
    refused.alternative_host = Some(owner);
    Some(refused)
}

async fn acquire_slot(host: &Arc<Host>, service: &ServiceId, request: SlotRequest) -> LeaseResult {
    let deadline = request.deadline;
    let admission = host.with_slots(service, |slots| {
        match slots.pool.admit(Instant::now(), request) {
            Admission::Granted(lease) => Err(Ok(lease)),
            Admission::Refused(cause, retry_after) => Err(Err(Refusal {
                cause,
                retry_after,
                alternative_host: None,
            })),
            Admission::Queued(wait_id) => {
                let (sender, receiver) = bounded(1);
                slots.add_waiter(wait_id, sender);
                Ok((wait_id, receiver))
            }
        }
    });
    let (wait_id, receiver) = match admission {
        None => return Err(refusal(Cause::NoService)),
        Some(Err(result)) => return result,
        Some(Ok(queued)) => queued,
    };
    let wait = QueuedWait {
        host: host.clone(),
        service: service.clone(),
        wait_id,
        receiver,
    };
    wait.result(deadline).await
}

/// Place in the slot queue; dropping it cancels the wait and releases a slot granted meanwhile
struct QueuedWait {
    host: Arc<Host>,
    service: ServiceId,
    wait_id: WaitId,
    receiver: Receiver<LeaseResult>,
}

impl QueuedWait {
    async fn result(self, deadline: Instant) -> LeaseResult {
        let result = async { self.receiver.recv().await.ok() };
        let timeout = async {
            Timer::at(deadline).await;
            None
        };
        let result = result.or(timeout).await;
        result.unwrap_or_else(|| Err(refusal(Cause::TooLate)))
    }
}

impl Drop for QueuedWait {
    fn drop(&mut self) {
        let now = Instant::now();
        self.host.with_slots(&self.service, |slots| {
            slots.cancel_wait(self.wait_id);
            if let Ok(Ok(lease)) = self.receiver.try_recv() {
                let grants = slots.pool.release(now, &lease, SlotOutcome::Cancelled);
                slots.deliver(now, grants);
            }
        });
    }
}
