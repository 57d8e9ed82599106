//! Requests of callers by path: `/lookup` and `/s/SERVICE/PATH`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http_types::{Request, Response};

use crate::caller::body::Body;
use crate::caller::head::Head;
use crate::caller::watch::Watch;
use crate::caller::{answer, lookup};
use crate::config::Service;
use crate::entry::{Host, Outcome, execute, refusal, steer};
use crate::id::{RequestId, ServiceId};
use crate::once::Ticket;
use crate::wire::{self, Cause, Operation, Reason};

/// Answer one request
pub async fn handle(host: &Arc<Host>, request: &Request, head: &Head, body: Body) -> Response {
    let path = head.target.split('?').next().unwrap_or_default();
    if path == "/lookup" {
        host.metrics.record_lookup();
        return lookup::answer(host, request, head);
    }
    match head.target.strip_prefix("/s/") {
        Some(rest) => serve(host, request, head, rest, body).await,
        None => answer::plain(404, "paths are /lookup and /s/SERVICE/PATH\n"),
    }
}

async fn serve(
    host: &Arc<Host>,
    request: &Request,
    head: &Head,
    rest: &str,
    body: Body,
) -> Response {
    let began = Instant::now();
    let id = id(request);
    let (name, target) = split(rest);
    let revision = host.revision();
    if revision.number == 0 {
        return answer::not_run(&refusal(Cause::NoService), id);
    }
    let Some(service) = revision.document.services.get(&name) else {
        return answer::unknown_service(&name, id);
    };
    let Ok(limit) = deadline(request, service) else {
        return answer::plain(400, "Pier-Deadline is not a number of milliseconds\n");
    };
    let deadline = began + limit;
    let watch = Watch::new(host.metrics.clone(), name.clone(), id);
    let once = service.once_only.contains(&head.method);
    let wire = wire::Request {
        id,
        operation: Operation::Serve,
        service: name,
        method: head.method.clone(),
        target,
        headers: passed(request),
        body: body.bytes,
        remaining: limit,
        origin: host.settings.zone.clone(),
        reason: Reason::Share,
    };
    let outcome = match once {
        false => steer::steer(host, wire, deadline, true).await,
        true => match ticket(host, request, &wire.service, id) {
            Ok(ticket) => execute::dispatch(host, ticket, wire, deadline).await,
            Err(response) => return *response,
        },
    };
    drop(body.held);
    let fresh = once && wants_ticket(&outcome) && !host.is_stopping();
    let mut response = answer::outcome(outcome, id, watch);
    if fresh {
        let ticket = host.issue_ticket(&service_id(rest));
        response.insert_header("pier-ticket", ticket.to_string());
    }
    response
}

fn service_id(rest: &str) -> ServiceId {
    split(rest).0
}

/// Whether the ticket that was presented can run nothing any more, and ran nothing
fn wants_ticket(outcome: &Outcome) -> bool {
    let Outcome::NotRun(refused) = outcome else {
        return false;
    };
    matches!(refused.cause, Cause::BadTicket | Cause::Stopping)
}

/// Service name, and path with query at the upstream
fn split(rest: &str) -> (ServiceId, CompactString) {
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, target) = rest.split_at(end);
    let target = match target.starts_with('/') {
        true => target.into(),
        false => compact_str::format_compact!("/{target}"),
    };
    (name.into(), target)
}

/// Ticket of a once-only request, or the answer for want of one
fn ticket(
    host: &Host,
    request: &Request,
    service: &ServiceId,
    id: RequestId,
) -> Result<Ticket, Box<Response>> {
    let presented = request.header("pier-ticket").map(|values| values.last());
    let parsed = presented.and_then(|value| value.as_str().parse().ok());
    parsed.ok_or_else(|| {
        let mut response = answer::not_run(&refusal(Cause::BadTicket), id);
        if !host.is_stopping() {
            let ticket = host.issue_ticket(service);
            response.insert_header("pier-ticket", ticket.to_string());
        }
        Box::new(response)
    })
}

/// Request id that the caller gave, or a new one
pub fn id(request: &Request) -> RequestId {
    let given = request.header("pier-request").map(|values| values.last());
    let given = given.and_then(|value| u64::from_str_radix(value.as_str(), 16).ok());
    given.unwrap_or_else(|| fastrand::u64(..))
}

/// Time that the caller and the service allow
fn deadline(request: &Request, service: &Service) -> Result<Duration, std::num::ParseIntError> {
    let Some(values) = request.header("pier-deadline") else {
        return Ok(service.deadline);
    };
    let millis = values.last().as_str().parse()?;
    Ok(Duration::from_millis(millis).min(service.deadline))
}

/// Headers that go on to the upstream
fn passed(request: &Request) -> Vec<wire::Header> {
    let mut passed = Vec::new();
    for (name, values) in request.iter() {
        let name = name.as_str();
        if answer::hop(name) || name.starts_with("pier-") && name != "pier-ticket" {
            continue;
        }
        for value in values.iter() {
            passed.push((name.into(), value.as_str().into()));
        }
    }
    passed
}
