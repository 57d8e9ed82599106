//! Requests on this zone's own slots.

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

/// Endpoints that one request is offered to within a zone
pub const MAX_ENDPOINT_ATTEMPTS: usize = 3;

/// Run a request on a slot of this zone if this host owns the slots
pub async fn serve_if_owner(host: &Arc<Host>, request: &Request, deadline: Instant) -> Outcome {
    host.tick_if_overdue(Instant::now());
    match disowned(host, &request.service) {
        Some(refused) => Outcome::NotRun(refused),
        None => serve_locally(host, request, deadline).await,
    }
}

/// Run a request on a slot of this zone
pub async fn serve_locally(host: &Arc<Host>, request: &Request, deadline: Instant) -> Outcome {
    let key = quarantine_key(request);
    let mut tried = Vec::new();
    let mut last = refusal(Cause::NoUpstream);
    while tried.len() < MAX_ENDPOINT_ATTEMPTS {
        if let Some(refused) = quarantine_refusal(host, request) {
            return Outcome::NotRun(refused);
        }
        let mut avoid = lock(&host.quarantine).excluded_endpoints(key);
        avoid.extend(tried.iter().cloned());
        let ask = SlotRequest {
            deadline,
            reason: request.reason,
            excluded: avoid,
        };
        let lease = match take(host, &request.service, ask).await {
            Ok(lease) => lease,
            Err(refused) if tried.is_empty() => return Outcome::NotRun(refused),
            Err(_) => return Outcome::NotRun(last),
        };
        let endpoint = lease.endpoint.clone();
        match attempt(host, request, lease, deadline).await {
            Attempt::Ended(outcome) => return outcome,
            Attempt::Next(refused) => last = refused,
        }
        tried.push(endpoint);
    }
    Outcome::NotRun(last)
}

enum Attempt {
    Ended(Outcome),
    Next(Refusal),
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
        return Attempt::Ended(Outcome::NotRun(refusal(Cause::TooLate)));
    }
    host.count_attempt();
    match host.upstreams.run(address, request, deadline).await {
        Ok(reply) => {
            if let Some(load) = reply.load {
                host.with_slots(&request.service, |slots| {
                    slots.pool.record_load(Instant::now(), &endpoint, load);
                });
            }
            let head = reply.head.clone();
            let body = Body::Local(Box::new(run.with_reply(reply)));
            Attempt::Ended(Outcome::Served(Reply { head, body }))
        }
        Err(Error::NotSent(..)) => {
            run.finish(SlotOutcome::ConnectionFailed);
            Attempt::Next(refusal(Cause::NoUpstream))
        }
        Err(Error::Shed(_, after)) => {
            run.finish(SlotOutcome::Shed);
            let mut refused = refusal(Cause::NoHeadroom);
            refused.retry_after = after.unwrap_or(refused.retry_after);
            Attempt::Next(refused)
        }
        Err(Error::Leaving(_)) => {
            run.finish(SlotOutcome::Leaving);
            Attempt::Next(refusal(Cause::NoUpstream))
        }
        Err(Error::Broken(..)) => {
            run.finish(SlotOutcome::ConnectionFailed);
            Attempt::Ended(Outcome::Unknown(refusal(Cause::Broken)))
        }
        Err(Error::Closed(_)) => {
            run.finish(SlotOutcome::ConnectionFailed);
            record_crash(host, request, &endpoint);
            Attempt::Ended(Outcome::Unknown(refusal(Cause::Broken)))
        }
        Err(Error::Late(_)) => {
            run.finish(SlotOutcome::Cancelled);
            Attempt::Ended(Outcome::Unknown(refusal(Cause::TooLate)))
        }
    }
}

/// Record that `place` died with the request in flight
pub fn record_crash(host: &Host, request: &Request, place: &EndpointId) {
    let now = Instant::now();
    let key = quarantine_key(request);
    let mut list = lock(&host.quarantine);
    let before = list.retry_after(now, key).is_some();
    list.record_crash(now, key, place);
    let after = list.retry_after(now, key).is_some();
    drop(list);
    if after && !before {
        let text = format!(
            "request {:016x} key {key:016x}, last at {place}",
            request.id
        );
        host.record_event(Event::new("quarantine", &text).with_service(&request.service));
    }
}

/// Refusal of a request that brought upstreams down
pub fn quarantine_refusal(host: &Host, request: &Request) -> Option<Refusal> {
    let retry_after =
        lock(&host.quarantine).retry_after(Instant::now(), quarantine_key(request))?;
    Some(Refusal {
        cause: Cause::Quarantined,
        retry_after,
        instead: None,
    })
}

/// Quarantine key of a request
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

fn disowned(host: &Host, service: &ServiceId) -> Option<Refusal> {
    let view = lock(&host.view);
    let owner = view.owner(&host.settings.zone, service)?;
    let owner = owner.info.host.clone();
    if owner == host.settings.host {
        return None;
    }
    let mut refused = refusal(Cause::NotOwner);
    refused.instead = Some(owner);
    Some(refused)
}

async fn take(host: &Arc<Host>, service: &ServiceId, ask: SlotRequest) -> LeaseResult {
    let deadline = ask.deadline;
    let waiting = host.with_slots(service, |slots| {
        match slots.pool.admit(Instant::now(), ask) {
            Admission::Granted(lease) => Err(Ok(lease)),
            Admission::Refused(cause, retry_after) => Err(Err(Refusal {
                cause,
                retry_after,
                instead: None,
            })),
            Admission::Queued(wait) => {
                let (sender, receiver) = bounded(1);
                slots.add_waiter(wait, sender);
                Ok((wait, receiver))
            }
        }
    });
    let (wait, receiver) = match waiting {
        None => return Err(refusal(Cause::NoService)),
        Some(Err(decided)) => return decided,
        Some(Ok(waiting)) => waiting,
    };
    let place = Place {
        host: host.clone(),
        service: service.clone(),
        wait,
        receiver,
    };
    place.granted(deadline).await
}

/// Place in a queue, left when dropped
struct Place {
    host: Arc<Host>,
    service: ServiceId,
    wait: WaitId,
    receiver: Receiver<LeaseResult>,
}

impl Place {
    async fn granted(self, deadline: Instant) -> LeaseResult {
        let told = async { self.receiver.recv().await.ok() };
        let late = async {
            Timer::at(deadline).await;
            None
        };
        let told = told.or(late).await;
        told.unwrap_or_else(|| Err(refusal(Cause::TooLate)))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = Instant::now();
        self.host.with_slots(&self.service, |slots| {
            slots.cancel_wait(self.wait);
            if let Ok(Ok(lease)) = self.receiver.try_recv() {
                let grants = slots.pool.release(now, &lease, SlotOutcome::Cancelled);
                slots.deliver(now, grants);
            }
        });
    }
}
