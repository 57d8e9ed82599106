//! Answers to callers: outcomes as status and headers.

use http_types::headers::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http_types::{Response, StatusCode};

use crate::caller::reader::Reader;
use crate::caller::watch::Watch;
use crate::entry::reply::Body;
use crate::entry::{Outcome, Reply};
use crate::id::RequestId;
use crate::operator::RequestResult;
use crate::wire::{Cause, Refusal};

/// Answer that says what became of a request, counted by `watch`
pub fn outcome(outcome: Outcome, id: RequestId, mut watch: Watch) -> Response {
    match outcome {
        Outcome::Served(reply) => served(reply, id, watch),
        Outcome::NotRun(refused) => {
            watch.refused(RequestResult::NotRun, refused.cause);
            not_run(&refused, id)
        }
        Outcome::Unknown(refused) => {
            watch.refused(RequestResult::Unknown, refused.cause);
            unknown(&refused, id)
        }
    }
}

/// Answer of an upstream
fn served(reply: Reply, id: RequestId, mut watch: Watch) -> Response {
    let Ok(status) = StatusCode::try_from(reply.head.status) else {
        let text = "the upstream's status is not a registered one\n";
        return with(plain(502, text), "served", id);
    };
    let mut response = Response::new(status);
    for (name, value) in &reply.head.headers {
        if !hop(name) && !name.starts_with("pier-") {
            response.append_header(name.as_str(), value.as_str());
        }
    }
    let kind = response.header(CONTENT_TYPE).cloned();
    let length = reply
        .head
        .length
        .and_then(|length| usize::try_from(length).ok());
    response.set_body(match reply.body {
        Body::Buffered(Some(bytes)) => {
            watch.end(RequestResult::Served);
            http_types::Body::from_bytes(bytes)
        }
        body => http_types::Body::from_reader(Reader::new(body, length, watch), length),
    });
    response.remove_header(CONTENT_TYPE);
    if let Some(kind) = kind {
        response.insert_header(CONTENT_TYPE, &kind);
    }
    with(response, "served", id)
}

/// Answer to a request that was not run
pub fn not_run(refused: &Refusal, id: RequestId) -> Response {
    let status = match refused.cause {
        Cause::BadTicket => 409,
        Cause::Quarantined => 429,
        _ => 503,
    };
    refusal(status, "not-run", refused, id)
}

/// Answer to a request for a service that is not configured
pub fn unknown_service(name: &str, id: RequestId) -> Response {
    let text = format!("no service {name}; ask the operators for its name\n");
    let mut response = with(plain(404, &text), "not-run", id);
    response.insert_header("pier-cause", cause(Cause::NoService));
    response
}

fn unknown(refused: &Refusal, id: RequestId) -> Response {
    refusal(504, "unknown", refused, id)
}

fn refusal(status: u16, outcome: &str, refused: &Refusal, id: RequestId) -> Response {
    let seconds = refused.retry_after.as_millis().div_ceil(1000).max(1);
    let cause = cause(refused.cause);
    let text = format!("{outcome}: {cause}; come back in {seconds} s\n");
    let mut response = with(plain(status, &text), outcome, id);
    response.insert_header(RETRY_AFTER, seconds.to_string());
    response.insert_header("pier-cause", cause);
    response
}

fn with(mut response: Response, outcome: &str, id: RequestId) -> Response {
    response.insert_header("pier-outcome", outcome);
    response.insert_header("pier-request", format!("{id:016x}"));
    response
}

/// Answer with a line of text
pub fn plain(status: u16, text: &str) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(text);
    response
}

/// The same answer, after which the connection is closed
pub fn closed(mut response: Response) -> Response {
    response.insert_header(CONNECTION, "close");
    response
}

/// Whether a header belongs to one connection only
pub fn hop(name: &str) -> bool {
    const HOP: [&str; 11] = [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Name of a cause in headers
pub fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::NoHeadroom => "no-headroom",
        Cause::CapReached => "cap-reached",
        Cause::NotOwner => "not-owner",
        Cause::Quarantined => "quarantined",
        Cause::TooLate => "too-late",
        Cause::Stopping => "stopping",
        Cause::NoUpstream => "no-upstream",
        Cause::NoService => "no-service",
        Cause::LinkFull => "link-full",
        Cause::BadTicket => "bad-ticket",
        Cause::NoIssuer => "no-issuer",
        Cause::Running => "running",
        Cause::Broken => "broken",
        Cause::NoBudget => "no-budget",
        Cause::Spent => "spent",
    }
}
