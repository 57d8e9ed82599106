//! Responses to callers: status, headers and body of each outcome.

use http_types::headers::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http_types::{Response, StatusCode};

use crate::caller::reader::Reader;
use crate::caller::watch::Recorder;
use crate::entry::reply::Body;
use crate::entry::{Outcome, Reply};
use crate::id::RequestId;
use crate::operator::RequestResult;
use crate::wire::{Cause, Refusal};

/// Returns the response for an outcome and records the outcome in the metrics
pub fn from_outcome(outcome: Outcome, id: RequestId, mut recorder: Recorder) -> Response {
    match outcome {
        Outcome::Served(reply) => from_reply(reply, id, recorder),
        Outcome::NotRun(refused) => {
            recorder.record_refusal(RequestResult::NotRun, refused.cause);
            not_run(&refused, id)
        }
        Outcome::Unknown(refused) => {
            recorder.record_refusal(RequestResult::Unknown, refused.cause);
            unknown(&refused, id)
        }
    }
}

/// Returns the response that forwards an upstream's response
fn from_reply(reply: Reply, id: RequestId, mut recorder: Recorder) -> Response {
    let Ok(status) = StatusCode::try_from(reply.head.status) else {
        let text = "the upstream's status is not a registered one\n";
        return with_outcome(plain_text(502, text), "served", id);
    };
    let mut response = Response::new(status);
    for (name, value) in &reply.head.headers {
        if !is_hop_by_hop(name) && !name.starts_with("pier-") {
            response.append_header(name.as_str(), value.as_str());
        }
    }
    let content_type = response.header(CONTENT_TYPE).cloned();
    let length = reply
        .head
        .length
        .and_then(|length| usize::try_from(length).ok());
    response.set_body(match reply.body {
        Body::Buffered(Some(bytes)) => {
            recorder.finish(RequestResult::Served);
            http_types::Body::from_bytes(bytes)
        }
        body => http_types::Body::from_reader(Reader::new(body, length, recorder), length),
    });
    response.remove_header(CONTENT_TYPE);
    if let Some(content_type) = content_type {
        response.insert_header(CONTENT_TYPE, &content_type);
    }
    with_outcome(response, "served", id)
}

/// Returns the response to a request that was not run
pub fn not_run(refused: &Refusal, id: RequestId) -> Response {
    let status = match refused.cause {
        Cause::BadTicket => 409,
        Cause::Quarantined => 429,
        _ => 503,
    };
    refusal(status, "not-run", refused, id)
}

/// Returns the response to a request without a ticket for a service that is not configured
pub fn unknown_service(name: &str, id: RequestId) -> Response {
    let text = format!("no service {name}; ask the operators for its name\n");
    let mut response = with_outcome(plain_text(404, &text), "not-run", id);
    response.insert_header("pier-cause", cause_name(Cause::NoService));
    response
}

/// Returns the response to a request that may have run
pub fn unknown(refused: &Refusal, id: RequestId) -> Response {
    refusal(504, "unknown", refused, id)
}

fn refusal(status: u16, outcome: &str, refused: &Refusal, id: RequestId) -> Response {
    let seconds = refused.retry_after.as_millis().div_ceil(1000).max(1);
    let cause = cause_name(refused.cause);
    let text = format!("{outcome}: {cause}; come back in {seconds} s\n");
    let mut response = with_outcome(plain_text(status, &text), outcome, id);
    response.insert_header(RETRY_AFTER, seconds.to_string());
    response.insert_header("pier-cause", cause);
    response
}

fn with_outcome(mut response: Response, outcome: &str, id: RequestId) -> Response {
    response.insert_header("pier-outcome", outcome);
    response.insert_header("pier-request", format!("{id:016x}"));
    response
}

/// Returns a response with a plain-text body
pub fn plain_text(status: u16, text: &str) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(text);
    response
}

/// Adds the header that closes the connection after the response
pub fn with_connection_close(mut response: Response) -> Response {
    response.insert_header(CONNECTION, "close");
    response
}

/// Returns whether a header applies to one connection only
pub fn is_hop_by_hop(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 11] = [
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
    HOP_BY_HOP
        .iter()
        .any(|header| name.eq_ignore_ascii_case(header))
}

/// Returns the name of a cause in headers
pub fn cause_name(cause: Cause) -> &'static str {
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
