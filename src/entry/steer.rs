//! Zone selection for a request, with further attempts after a refusal or a lost connection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::entry::{Event, Host, Outcome, lock, refusal, remote, serve};
use crate::id::HostId;
use crate::member::HostInfo;
use crate::route::Candidate;
use crate::wire::{Cause, Operation, Reason, Refusal, Request};

/// Most zones that are tried for a request
pub const MAX_ZONE_ATTEMPTS: usize = 4;

/// Most hosts of one zone that are tried for a request
const MAX_HOST_ATTEMPTS: usize = 3;

/// Tries a request in the zones that policy permits, in order
///
/// `is_repeatable` is whether it may run again after an attempt with an unknown outcome.
pub async fn steer(
    host: &Arc<Host>,
    mut request: Request,
    deadline: Instant,
    is_repeatable: bool,
) -> Outcome {
    request.operation = Operation::Serve;
    if let Some(refused) = immediate_refusal(host, &request, deadline) {
        return Outcome::NotRun(refused);
    }
    let revision = host.revision();
    let candidates = host.route(&revision, &request.service);
    let mut last_refusal = refusal(Cause::NoUpstream);
    last_refusal.retry_after = host.retry_after(&request.service);
    let mut unknown_refusal = None;
    host.with_retry_budget(&request.service, |budget| budget.deposit());
    let mut candidates: VecDeque<Candidate> =
        candidates.into_iter().take(MAX_ZONE_ATTEMPTS).collect();
    let mut attempts = 0;
    let mut has_spill_token = false;
    while let Some(candidate) = candidates.pop_front() {
        if Instant::now() >= deadline {
            last_refusal = refusal(Cause::TooLate);
            break;
        }
        if unknown_refusal.is_some()
            && !host.with_retry_budget(&request.service, |budget| budget.withdraw())
        {
            break;
        }
        if candidate.reason == Reason::Spill && !has_spill_token {
            has_spill_token = host.take_spill_token(&request.service);
            if !has_spill_token {
                break;
            }
        }
        if attempts > 0 {
            host.metrics.record_retry(&request.service);
        }
        record_spill(host, &request, &candidate, &last_refusal, attempts);
        attempts += 1;
        request.reason = candidate.reason;
        match offer(host, &candidate, &mut request, deadline).await {
            Outcome::Served(reply) => {
                if candidate.reason != Reason::Share {
                    host.metrics
                        .record_moved(&request.service, candidate.reason);
                }
                host.record_response(&request.service, &candidate.zone);
                return Outcome::Served(reply);
            }
            Outcome::NotRun(refused) if refused.cause == Cause::Quarantined => {
                let key = serve::quarantine_key(&request);
                lock(&host.quarantine).adopt_refusal(Instant::now(), key, refused.retry_after);
                last_refusal = refused;
                break;
            }
            Outcome::NotRun(refused) => {
                host.record_refusal(&request.service, &candidate.zone, refused.cause);
                last_refusal = refused;
            }
            Outcome::Unknown(refused) if !is_repeatable => return Outcome::Unknown(refused),
            Outcome::Unknown(refused) => {
                // Retries in the same zone first, since only its hosts exclude the crashed upstream.
                if unknown_refusal.is_none() {
                    candidates.push_front(candidate);
                }
                unknown_refusal = Some(refused);
            }
        }
        if let Some(refused) = immediate_refusal(host, &request, deadline) {
            last_refusal = refused;
            break;
        }
    }
    last_refusal.alternative_host = None;
    if last_refusal.cause != Cause::Quarantined {
        // Another zone may have headroom sooner than the one that refused last.
        last_refusal.retry_after = last_refusal
            .retry_after
            .min(host.retry_after(&request.service));
    }
    match unknown_refusal {
        None => Outcome::NotRun(last_refusal),
        Some(_) if last_refusal.cause == Cause::Quarantined => Outcome::Unknown(last_refusal),
        Some(refused) => Outcome::Unknown(refused),
    }
}

/// Records an event for a spilled request, at most one per interval and zone
fn record_spill(
    host: &Host,
    request: &Request,
    candidate: &Candidate,
    last_refusal: &Refusal,
    attempts: usize,
) {
    if candidate.reason != Reason::Spill && attempts == 0 {
        return;
    }
    let key = (request.service.clone(), candidate.zone.clone());
    let Some(count) = lock(&host.spill_counter).record(Instant::now(), key) else {
        return;
    };
    let cause = last_refusal.cause;
    let text = format!(
        "to {}: {count} requests, last cause {cause:?}",
        candidate.zone
    );
    host.record_event(Event::new("spill", &text).with_service(&request.service));
}

fn immediate_refusal(host: &Host, request: &Request, deadline: Instant) -> Option<Refusal> {
    if Instant::now() >= deadline {
        return Some(refusal(Cause::TooLate));
    }
    serve::quarantine_refusal(host, request)
}

/// Offers a request to the host that owns the service's slots in one zone
///
/// An owner that cannot be reached is skipped, since the zone's next owner may be available.
async fn offer(
    host: &Arc<Host>,
    candidate: &Candidate,
    request: &mut Request,
    deadline: Instant,
) -> Outcome {
    let mut unreachable: Vec<HostId> = Vec::new();
    while unreachable.len() < MAX_HOST_ATTEMPTS {
        let owner = slot_owner(host, candidate, request);
        let Some(owner) = owner.filter(|owner| !unreachable.contains(&owner.host)) else {
            break;
        };
        let Some(outcome) = offer_to(host, &owner, request, deadline).await else {
            unreachable.push(owner.host);
            continue;
        };
        let Outcome::NotRun(refused) = outcome else {
            return outcome;
        };
        return offer_to_alternative(host, &owner, refused, request, deadline).await;
    }
    Outcome::NotRun(refusal(Cause::NoUpstream))
}

/// Offers a refused request to the host that the refusal names instead
async fn offer_to_alternative(
    host: &Arc<Host>,
    owner: &HostInfo,
    refused: Refusal,
    request: &mut Request,
    deadline: Instant,
) -> Outcome {
    let instead = refused
        .alternative_host
        .as_ref()
        .filter(|name| **name != owner.host);
    if host.is_stopping() && instead == Some(&host.settings.host) {
        // The next owner has not received the notice yet that this host is leaving.
        return serve::serve_locally(host, request, deadline).await;
    }
    let Some(alternative) = instead.and_then(|name| host_info(host, name)) else {
        return Outcome::NotRun(refused);
    };
    let outcome = offer_to(host, &alternative, request, deadline).await;
    outcome.unwrap_or(Outcome::NotRun(refused))
}

/// Offers a request to one host; `None` if it cannot be reached
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

fn slot_owner(host: &Host, candidate: &Candidate, request: &Request) -> Option<HostInfo> {
    let view = lock(&host.view);
    let owner = view.owner(&candidate.zone, &request.service)?;
    Some(owner.info.clone())
}

/// Returns the addresses and zone of a host of the membership view
pub fn host_info(host: &Host, name: &HostId) -> Option<HostInfo> {
    let view = lock(&host.view);
    view.hosts().get(name).map(|host| host.info.clone())
}
