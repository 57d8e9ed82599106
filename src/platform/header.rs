//! Headers exchanged between callers, entry hosts and upstream endpoints.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::net::SocketAddr;
use std::time::Duration;

use crate::answer::{self, Distinction, Evidence, Verdict};
use crate::bound;
use crate::message::{Headers, Request, Response};
use crate::util::stable_hash;

/// Id of one attempt of a caller; endpoints echo it
const ATTEMPT_ID: &str = "Attempt-Id";

/// Remaining time for the request, in milliseconds
const REQUEST_DEADLINE: &str = "Request-Deadline";

/// Id of the only endpoint that may execute the request
const TARGET_INSTANCE: &str = "Target-Instance";

/// Proof that a response comes from an endpoint
const SERVER_SIGNATURE: &str = "Server-Signature";

/// Present on responses of endpoints that did not execute the request
const NOT_EXECUTED: &str = "Not-Executed";

/// Load of an endpoint as `running,waiting,slots`
const SERVER_LOAD: &str = "Server-Load";

/// Requests a second that an endpoint takes from all hosts together
const SERVER_LIMIT: &str = "Server-Limit";

/// Id of the responding endpoint
const INSTANCE_ID: &str = "Instance-Id";

/// Remaining warm-up time of an endpoint, in milliseconds
const WARMUP_MILLIS: &str = "Warmup-Ms";

/// Present on responses of an endpoint that leaves
const SERVER_LEAVING: &str = "Server-Leaving";

/// Beginnings of the names of headers in which endpoints state something about themselves
const STATEMENT_PREFIXES: [&str; 5] = ["Attempt-", "Instance-", "Not-", "Server-", "Warmup-"];

/// Names that begin so and are read, or belong to HTTP
const KNOWN_STATEMENTS: [&str; 9] = [
    ATTEMPT_ID,
    INSTANCE_ID,
    NOT_EXECUTED,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    SERVER_SIGNATURE,
    "Server-Timing",
    WARMUP_MILLIS,
];

/// Time in seconds after which a request may be sent again
const RETRY_AFTER: &str = "Retry-After";

/// Name of the cookie with the affinity key of a request
const AFFINITY_KEY: &str = "Affinity-Key";

/// Number of times that the store came back from an older copy; on all its responses
const STORE_ERA: &str = "Store-Era";

/// Returns the era of the store that a response states
pub fn store_era(headers: &Headers) -> Option<u64> {
    headers.get(STORE_ERA)?.trim().parse().ok()
}

/// Returns the header line that states the era of a host's copy of the store
pub fn store_era_line(era: u64) -> String {
    format!("{STORE_ERA}: {era}\r\n")
}

/// Returns the id of the caller's attempt
pub fn attempt_id(headers: &Headers) -> Option<&str> {
    headers.get(ATTEMPT_ID)
}

/// Adds the attempt id and the retry delay to a response that this host generates itself
pub fn push_reply_headers(
    headers: &mut Headers,
    attempt_id: Option<&str>,
    retry_after: Option<Duration>,
) {
    if let Some(attempt_id) = attempt_id {
        headers.push(ATTEMPT_ID, attempt_id);
    }
    if let Some(retry_after) = retry_after {
        headers.push(RETRY_AFTER, format!("{:.3}", retry_after.as_secs_f64()));
    }
}

/// Checks the headers that identify a request and limit its time; the error is the text of a refusal
pub fn check_request(headers: &Headers) -> Result<(), &'static str> {
    let attempt_ids = headers.texts(ATTEMPT_ID);
    if !attempt_ids.is_ok_and(|ids| matches!(ids[..], [] | [_]) && !ids.contains(&"")) {
        return Err("invalid Attempt-Id");
    }
    let deadlines = headers.texts(REQUEST_DEADLINE);
    match deadlines.is_ok_and(|deadlines| deadlines.len() <= 1) {
        true => Ok(()),
        false => Err("invalid Request-Deadline"),
    }
}

/// Returns how long the caller waits for a response
pub fn request_timeout(headers: &Headers) -> Option<Duration> {
    let millis = headers.get(REQUEST_DEADLINE)?.parse().ok()?;
    Some(bound::millis(millis))
}

/// Returns the hash of the affinity key of a request
pub fn affinity_key(headers: &Headers) -> Option<u64> {
    affinity_cookie(headers).map(|value| stable_hash(&value))
}

/// Returns what identifies the caller in the headers, to detect repeated requests
///
/// Other cookies may differ between repeats, and no header names the caller.
pub fn caller_id(headers: &Headers) -> &str {
    affinity_cookie(headers).unwrap_or_default()
}

fn affinity_cookie(headers: &Headers) -> Option<&str> {
    let cookies = headers.values("cookie").flat_map(|line| line.split(';'));
    let mut pairs = cookies.filter_map(|cookie| cookie.trim().split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == AFFINITY_KEY)?;
    Some(value)
}

/// Returns the headers of a request as it is sent to an endpoint
///
/// `Target-Instance` of the caller is always replaced; otherwise a caller could select an endpoint.
pub fn upstream_headers(request: &Request, endpoint: &str, remaining: Duration) -> Headers {
    let mut headers = request.headers.clone();
    headers.remove_hop_by_hop();
    for name in [
        REQUEST_DEADLINE,
        TARGET_INSTANCE,
        NOT_EXECUTED,
        SERVER_SIGNATURE,
    ] {
        headers.remove(name);
    }
    headers.push(REQUEST_DEADLINE, remaining.as_millis().max(1).to_string());
    headers.push(TARGET_INSTANCE, endpoint);
    headers
}

/// Returns the head of a health check request
pub fn health_check_head(path: &str, address: SocketAddr) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
}

/// Returns what an answer proves about a request that was sent to an endpoint
///
/// `skipped` tells how many answers to other requests came on the connection since the request was
/// sent.
pub fn judge(
    request: &Request,
    endpoint: &str,
    response: &Response,
    distinction: Distinction,
    skipped: usize,
) -> Verdict {
    let Ok(stated_ids) = response.headers.texts(ATTEMPT_ID) else {
        return Verdict::Unclear("unreadable attempt id");
    };
    let sent_id = attempt_id(&request.headers);
    let refusals = refusals(response, endpoint);
    if refusals > 0 && sent_id.is_some() && stated_ids.is_empty() {
        return Verdict::Unclear("refusal without an attempt id");
    }
    answer::judge(&Evidence {
        sent_id,
        stated_ids: &stated_ids,
        distinction,
        skipped,
        status: response.status,
        refusals,
    })
}

/// Returns how often an answer states that the endpoint did not run the request
///
/// 421 alone states it only if another endpoint answers.
fn refusals(response: &Response, endpoint: &str) -> usize {
    let stated = response.headers.count(NOT_EXECUTED);
    if stated > 0 || !is_misdirected(response) {
        return stated;
    }
    let instances = response.headers.texts(INSTANCE_ID).unwrap_or_default();
    usize::from(matches!(instances[..], [instance] if instance != endpoint))
}

/// Returns all attempt ids that an answer states; none if one of them is unreadable
pub fn stated_ids(response: &Response) -> Vec<&str> {
    response.headers.texts(ATTEMPT_ID).unwrap_or_default()
}

/// Returns whether an answer claims that the request did not run; [`judge`] tells what it proves
pub fn is_not_executed(response: &Response) -> bool {
    response.headers.get(NOT_EXECUTED).is_some() || response.status == 421
}

/// Returns whether the endpoint answers that the request was meant for another one
pub fn is_misdirected(response: &Response) -> bool {
    response.status == 421
}

/// Returns whether the endpoint states that it leaves
pub fn is_leaving(response: &Response) -> bool {
    response.headers.get(SERVER_LEAVING) == Some("1") && !is_misdirected(response)
}

/// Returns how long an endpoint that turned a request away wants no further one
///
/// Fractions of seconds are allowed. The error is a text that states no such time, like a negative
/// number or a date.
pub fn requested_pause(response: &Response) -> Option<Result<Duration, &str>> {
    let text = response.headers.get(RETRY_AFTER)?;
    if response.status != 503 {
        return None;
    }
    let seconds: f64 = match text.trim().parse() {
        Ok(seconds) if seconds >= 0.0 => seconds,
        _ => return Some(Err(text)),
    };
    Some(Ok(bound::seconds(seconds)))
}

/// Returns the requests a second that an endpoint takes from all hosts together, if it states any
///
/// Fractions are allowed. The error is a text that is no such number, or the first of several.
pub fn stated_limit(headers: &Headers) -> Option<Result<f64, &str>> {
    let mut texts = headers.values(SERVER_LIMIT);
    let text = texts.next()?;
    let rate = text.trim().parse().ok();
    let rate = rate.filter(|rate: &f64| rate.is_finite() && *rate >= 0.0);
    match rate {
        Some(rate) if texts.next().is_none() => Some(Ok(rate)),
        _ => Some(Err(text)),
    }
}

/// Returns the names of headers in which an endpoint states something that nothing here reads
pub fn unknown_statements(headers: &Headers) -> impl Iterator<Item = &str> {
    let begins_with = |name: &str, prefix: &str| {
        let start = name.as_bytes().get(..prefix.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(prefix.as_bytes()))
    };
    headers.names().filter(move |name| {
        let mut prefixes = STATEMENT_PREFIXES.iter();
        let mut known = KNOWN_STATEMENTS.iter();
        prefixes.any(|prefix| begins_with(name, prefix))
            && !known.any(|known| name.eq_ignore_ascii_case(known))
    })
}

/// Returns whether the response carries the signature of an endpoint
pub fn is_signed(response: &Response) -> bool {
    response.headers.get(SERVER_SIGNATURE).is_some()
}

/// Returns the numbers of running and waiting requests that an endpoint reports
pub fn server_load(headers: &Headers) -> Option<(u32, u32)> {
    let mut numbers = headers
        .get(SERVER_LOAD)?
        .split(',')
        .map(|number| number.trim().parse());
    match (numbers.next()?, numbers.next()?) {
        (Ok(running), Ok(waiting)) => Some((bound::count(running), bound::count(waiting))),
        _ => None,
    }
}

/// Returns the id of the endpoint that responds to a health check
pub fn instance_id(headers: &Headers) -> Option<&str> {
    headers.get(INSTANCE_ID)
}

/// Returns the remaining warm-up time of the endpoint
pub fn warmup_remaining(headers: &Headers) -> Option<Duration> {
    let millis = headers.get(WARMUP_MILLIS)?.parse().ok()?;
    Some(bound::millis(millis))
}

/// Returns how long the endpoint keeps an idle connection open, if stated
pub fn keep_alive_timeout(headers: &Headers) -> Option<Duration> {
    let parameters = headers
        .values("keep-alive")
        .flat_map(|value| value.split(','));
    let mut pairs = parameters.filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = pairs.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let seconds = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(bound::duration(seconds))
}
