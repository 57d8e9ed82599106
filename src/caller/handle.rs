//! Handlers of caller requests by path: `/lookup` and `/s/SERVICE/PATH`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http_types::{Request, Response};

use crate::caller::body::Body;
use crate::caller::head::Head;
use crate::caller::watch::Recorder;
use crate::caller::{answer, lookup};
use crate::config::Service;
use crate::entry::{Host, Outcome, execute, refusal, steer};
use crate::id::{RequestId, ServiceId};
use crate::once::Ticket;
use crate::wire::{self, Cause, Operation, Reason};

/// Handles one request and returns the response
pub async fn handle(host: &Arc<Host>, request: &Request, head: &Head, body: Body) -> Response {
    let path = head.target.split('?').next().unwrap_or_default();
    if path == "/lookup" {
        host.metrics.record_lookup();
        return lookup::handle(host, request, head);
    }
    match head.target.strip_prefix("/s/") {
        Some(path) => serve(host, request, head, path, body).await,
        None => answer::plain_text(404, "paths are /lookup and /s/SERVICE/PATH\n"),
    }
}

async fn serve(
    host: &Arc<Host>,
    request: &Request,
    head: &Head,
    path: &str,
    body: Body,
) -> Response {
    let started_at = Instant::now();
    let id = request_id(request);
    let (name, target) = split_path(path);
    let revision = host.revision();
    if revision.number == 0 {
        return refuse(request, Cause::NoService);
    }
    let Some(service) = revision.document.services.get(&name) else {
        return match ticket(request) {
            Some(_) => refuse(request, Cause::NoService),
            None => answer::unknown_service(&name, id),
        };
    };
    let Ok(timeout) = request_timeout(request, service) else {
        return answer::plain_text(400, "Pier-Deadline is not a number of milliseconds\n");
    };
    let deadline = started_at + timeout;
    let recorder = Recorder::new(host.metrics.clone(), name.clone(), id);
    let is_once_only = service.once_only.contains(&head.method);
    let wire_request = wire::Request {
        id,
        operation: Operation::Serve,
        service: name,
        method: head.method.clone(),
        target,
        headers: forwarded_headers(request),
        body: body.bytes,
        remaining: timeout,
        origin: host.settings.zone.clone(),
        reason: Reason::Share,
    };
    let outlasts_stop = !host.ends_before_stop(deadline);
    let outcome = match is_once_only {
        false if outlasts_stop => Outcome::NotRun(refusal(Cause::Stopping)),
        false => steer::steer(host, wire_request, deadline, true).await,
        true => match parse_ticket(host, request, &wire_request.service, id) {
            // An earlier request with the same ticket may have run.
            Ok(_) if outlasts_stop => Outcome::Unknown(refusal(Cause::Stopping)),
            Ok(ticket) => execute::dispatch(host, ticket, wire_request, deadline).await,
            Err(response) => return *response,
        },
    };
    drop(body.reservation);
    let issues_ticket = is_once_only && needs_new_ticket(&outcome) && !host.is_stopping();
    let mut response = answer::from_outcome(outcome, id, recorder);
    if issues_ticket {
        let ticket = host.issue_ticket(&service_id(path));
        response.insert_header("pier-ticket", ticket.to_string());
    }
    response
}

fn service_id(path: &str) -> ServiceId {
    split_path(path).0
}

/// Returns whether the ticket ran no request and is no longer usable
fn needs_new_ticket(outcome: &Outcome) -> bool {
    let Outcome::NotRun(refused) = outcome else {
        return false;
    };
    matches!(refused.cause, Cause::BadTicket | Cause::Stopping)
}

/// Splits a path into the service name and the path and query for the upstream
fn split_path(path: &str) -> (ServiceId, CompactString) {
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (name, target) = path.split_at(end);
    let target = match target.starts_with('/') {
        true => target.into(),
        false => compact_str::format_compact!("/{target}"),
    };
    (name.into(), target)
}

/// Returns the response to a request that is refused before its ticket is looked up
pub fn refuse(request: &Request, cause: Cause) -> Response {
    let id = request_id(request);
    match ticket(request) {
        // An earlier request with the same ticket may have run.
        Some(_) => answer::unknown(&refusal(cause), id),
        None => answer::not_run(&refusal(cause), id),
    }
}

/// Returns the ticket in the headers
fn ticket(request: &Request) -> Option<Ticket> {
    let header = request.header("pier-ticket").map(|values| values.last());
    header.and_then(|value| value.as_str().parse().ok())
}

/// Returns the ticket of a once-only request, or a refusal with a new ticket if it has none
fn parse_ticket(
    host: &Host,
    request: &Request,
    service: &ServiceId,
    id: RequestId,
) -> Result<Ticket, Box<Response>> {
    ticket(request).ok_or_else(|| {
        let mut response = answer::not_run(&refusal(Cause::BadTicket), id);
        if !host.is_stopping() {
            let ticket = host.issue_ticket(service);
            response.insert_header("pier-ticket", ticket.to_string());
        }
        Box::new(response)
    })
}

/// Returns the request id in the headers, or a random one
pub fn request_id(request: &Request) -> RequestId {
    let header = request.header("pier-request").map(|values| values.last());
    let id = header.and_then(|value| u64::from_str_radix(value.as_str(), 16).ok());
    id.unwrap_or_else(|| fastrand::u64(..))
}

/// Returns the lower of the caller's and the service's time limit
fn request_timeout(
    request: &Request,
    service: &Service,
) -> Result<Duration, std::num::ParseIntError> {
    let Some(values) = request.header("pier-deadline") else {
        return Ok(service.deadline);
    };
    let millis = values.last().as_str().parse()?;
    Ok(Duration::from_millis(millis).min(service.deadline))
}

/// Returns the headers that are forwarded to the upstream
fn forwarded_headers(request: &Request) -> Vec<wire::Header> {
    let mut headers = Vec::new();
    for (name, values) in request.iter() {
        let name = name.as_str();
        if answer::is_hop_by_hop(name) || name.starts_with("pier-") && name != "pier-ticket" {
            continue;
        }
        for value in values.iter() {
            headers.push((name.into(), value.as_str().into()));
        }
    }
    headers
}
