//! Headers between callers, this system and upstream endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Headers, Request, Response};
use crate::util::stable_hash;

/// Id of one attempt of a caller, echoed by the endpoint
const ATTEMPT: &str = "Attempt-Id";

/// Milliseconds that are left for the request
const DEADLINE: &str = "Request-Deadline";

/// Id of the one endpoint that may run the request
const TARGET: &str = "Target-Instance";

/// Proof that an answer comes from an endpoint
const SIGNATURE: &str = "Server-Signature";

/// Present on answers of endpoints that did not run the request
const NOT_RUN: &str = "Not-Executed";

/// `running,waiting,slots` of an endpoint
const LOAD: &str = "Server-Load";

/// Id of the endpoint that answers
const INSTANCE: &str = "Instance-Id";

/// Milliseconds for which an endpoint stays cold
const WARMUP: &str = "Warmup-Ms";

/// Cookie that names the object of a request
const OBJECT: &str = "Affinity-Key";

/// Id of the attempt
pub fn attempt_id(headers: &Headers) -> Option<&str> {
    headers.get(ATTEMPT)
}

/// Name the attempt in an answer of this system, and when the caller may come back
pub fn push_reply_headers(headers: &mut Headers, attempt: Option<&str>, back: Option<Duration>) {
    if let Some(attempt) = attempt {
        headers.push(ATTEMPT, attempt);
    }
    if let Some(back) = back {
        headers.push("Retry-After", format!("{:.3}", back.as_secs_f64()));
    }
}

/// Time for which the caller waits
pub fn request_timeout(headers: &Headers) -> Option<Duration> {
    let millis = headers.get(DEADLINE)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Hash of the object that a request concerns
pub fn affinity_key(headers: &Headers) -> Option<u64> {
    let cookies = headers.values("cookie").flat_map(|line| line.split(';'));
    let mut named = cookies.filter_map(|cookie| cookie.trim().split_once('='));
    let (_, value) = named.find(|(name, _)| *name == OBJECT)?;
    Some(stable_hash(&value))
}

/// Caller of a request as far as its headers tell, for recognizing a request that comes again
pub fn caller_id(headers: &Headers) -> &str {
    headers.get("cookie").unwrap_or_default()
}

/// Headers of a request on its way to an endpoint
///
/// A caller could name an endpoint itself, so that header never passes.
pub fn upstream_headers(request: &Request, endpoint: &str, left: Duration) -> Headers {
    let mut headers = request.headers.clone();
    headers.remove_hop_by_hop();
    for name in [DEADLINE, TARGET, NOT_RUN, SIGNATURE] {
        headers.remove(name);
    }
    headers.push(DEADLINE, left.as_millis().max(1).to_string());
    headers.push(TARGET, endpoint);
    headers
}

/// Head of a health check
pub fn health_check_head(path: &str, address: SocketAddr) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
}

/// Whether the endpoint says that it did not run the request
pub fn is_not_executed(answer: &Response) -> bool {
    answer.headers.get(NOT_RUN).is_some() || answer.status == 421
}

/// Whether another endpoint has the address
pub fn is_misdirected(answer: &Response) -> bool {
    answer.status == 421
}

/// Whether the answer proves to come from an endpoint
pub fn is_signed(answer: &Response) -> bool {
    answer.headers.get(SIGNATURE).is_some()
}

/// Running and waiting requests that an endpoint reports
pub fn server_load(headers: &Headers) -> Option<(u32, u32)> {
    let mut parts = headers
        .get(LOAD)?
        .split(',')
        .map(|part| part.trim().parse());
    match (parts.next()?, parts.next()?) {
        (Ok(running), Ok(waiting)) => Some((running, waiting)),
        _ => None,
    }
}

/// Id of the endpoint that answers a health check
pub fn instance_id(headers: &Headers) -> Option<&str> {
    headers.get(INSTANCE)
}

/// Time for which the endpoint stays cold
pub fn warmup_remaining(headers: &Headers) -> Option<Duration> {
    let millis = headers.get(WARMUP)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Time for which an idle connection stays open, where the endpoint states it
pub fn keep_alive_timeout(headers: &Headers) -> Option<Duration> {
    let parts = headers
        .values("keep-alive")
        .flat_map(|value| value.split(','));
    let mut named = parts.filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = named.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
