//! Choice of the zone that runs a request, and what follows a refusal or a break.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::entry::{Event, Host, Outcome, lock, refusal, remote, serve};
use crate::id::HostId;
use crate::member::HostInfo;
use crate::route::Candidate;
use crate::wire::{Cause, Duty, Reason, Refusal, Request};

/// Zones that one request is offered to
pub const MAX_ZONE_ATTEMPTS: usize = 4;

/// Hosts of one zone that one request is offered to
const OWNERS: usize = 3;

/// Run a request in the zones that policy permits, in order
///
/// `again` says whether it may run a second time after a break.
pub async fn steer(
    host: &Arc<Host>,
    mut request: Request,
    deadline: Instant,
    again: bool,
) -> Outcome {
    request.duty = Duty::Serve;
    if let Some(refused) = refused_now(host, &request, deadline) {
        return Outcome::NotRun(refused);
    }
    let revision = host.revision();
    let choices = host.route(&revision, &request.service);
    let mut last = refusal(Cause::NoUpstream);
    last.retry_after = host.retry_after(&request.service);
    let mut broke = None;
    host.with_retry_budget(&request.service, |budget| budget.deposit());
    let mut choices: VecDeque<Candidate> = choices.into_iter().take(MAX_ZONE_ATTEMPTS).collect();
    let mut tried = 0;
    let mut spilled = false;
    while let Some(choice) = choices.pop_front() {
        if Instant::now() >= deadline {
            last = refusal(Cause::TooLate);
            break;
        }
        if broke.is_some() && !host.with_retry_budget(&request.service, |budget| budget.withdraw())
        {
            break;
        }
        if choice.reason == Reason::Spill && !spilled {
            spilled = host.take_spill_token(&request.service);
            if !spilled {
                break;
            }
        }
        if tried > 0 {
            host.metrics.retry(&request.service);
        }
        note(host, &request, &choice, &last, tried);
        tried += 1;
        request.reason = choice.reason;
        match offer(host, &choice, &mut request, deadline).await {
            Outcome::Served(reply) => {
                if choice.reason != Reason::Share {
                    host.metrics.moved(&request.service, choice.reason);
                }
                host.record_response(&request.service, &choice.zone);
                return Outcome::Served(reply);
            }
            Outcome::NotRun(refused) if refused.cause == Cause::Quarantined => {
                let key = serve::quarantine_key(&request);
                lock(&host.quarantine).adopt_refusal(Instant::now(), key, refused.retry_after);
                last = refused;
                break;
            }
            Outcome::NotRun(refused) => {
                host.record_refusal(&request.service, &choice.zone, refused.cause);
                last = refused;
            }
            Outcome::Unknown(refused) if !again => return Outcome::Unknown(refused),
            Outcome::Unknown(refused) => {
                // The zone that saw an upstream die knows which upstreams the repeat has to avoid.
                if broke.is_none() {
                    choices.push_front(choice);
                }
                broke = Some(refused);
            }
        }
        if let Some(refused) = refused_now(host, &request, deadline) {
            last = refused;
            break;
        }
    }
    last.instead = None;
    if last.cause != Cause::Quarantined {
        // Another zone may take it sooner than the one that refused last.
        last.retry_after = last.retry_after.min(host.retry_after(&request.service));
    }
    match broke {
        None => Outcome::NotRun(last),
        Some(_) if last.cause == Cause::Quarantined => Outcome::Unknown(last),
        Some(refused) => Outcome::Unknown(refused),
    }
}

fn note(host: &Host, request: &Request, choice: &Candidate, last: &Refusal, tried: usize) {
    if choice.reason != Reason::Spill && tried == 0 {
        return;
    }
    let key = (request.service.clone(), choice.zone.clone());
    let Some(count) = lock(&host.spill_counter).record(Instant::now(), key) else {
        return;
    };
    let cause = last.cause;
    let text = format!("to {}: {count} requests, last for {cause:?}", choice.zone);
    host.record_event(Event::new("spill", &text).with_service(&request.service));
}

fn refused_now(host: &Host, request: &Request, deadline: Instant) -> Option<Refusal> {
    if Instant::now() >= deadline {
        return Some(refusal(Cause::TooLate));
    }
    serve::quarantine_refusal(host, request)
}

/// Offer a request to the owner of one zone's slots
///
/// An owner that cannot be reached is passed over, since the zone's next owner may be there.
async fn offer(
    host: &Arc<Host>,
    choice: &Candidate,
    request: &mut Request,
    deadline: Instant,
) -> Outcome {
    let mut passed: Vec<HostId> = Vec::new();
    while passed.len() < OWNERS {
        let owner = owner(host, choice, request);
        let Some(owner) = owner.filter(|owner| !passed.contains(&owner.host)) else {
            break;
        };
        let Some(outcome) = offer_to(host, &owner, request, deadline).await else {
            passed.push(owner.host);
            continue;
        };
        let Outcome::NotRun(refused) = outcome else {
            return outcome;
        };
        return follow(host, &owner, refused, request, deadline).await;
    }
    Outcome::NotRun(refusal(Cause::NoUpstream))
}

/// Offer a refused request to the host that was named instead
async fn follow(
    host: &Arc<Host>,
    owner: &HostInfo,
    refused: Refusal,
    request: &mut Request,
    deadline: Instant,
) -> Outcome {
    let instead = refused.instead.as_ref().filter(|name| **name != owner.host);
    if host.is_stopping() && instead == Some(&host.settings.host) {
        // The next owner has not heard yet that this host leaves.
        return serve::serve_locally(host, request, deadline).await;
    }
    let Some(other) = instead.and_then(|name| host_info(host, name)) else {
        return Outcome::NotRun(refused);
    };
    let outcome = offer_to(host, &other, request, deadline).await;
    outcome.unwrap_or(Outcome::NotRun(refused))
}

/// Offer a request to one host; `None` if it was not reached
async fn offer_to(
    host: &Arc<Host>,
    owner: &HostInfo,
    request: &mut Request,
    deadline: Instant,
) -> Option<Outcome> {
    if owner.host == host.settings.host {
        return Some(serve::serve_if_owner(host, request, deadline).await);
    }
    remote::forward(host, owner, request, deadline).await
}

fn owner(host: &Host, choice: &Candidate, request: &Request) -> Option<HostInfo> {
    let view = lock(&host.view);
    let owner = view.owner(&choice.zone, &request.service)?;
    Some(owner.info.clone())
}

/// Entry of a known host
pub fn host_info(host: &Host, name: &HostId) -> Option<HostInfo> {
    let view = lock(&host.view);
    view.hosts().get(name).map(|host| host.info.clone())
}
