//! Reads the answer to one attempt: skips answers to other requests, and keeps those apart that prove
//! that the request did not run.

use std::rc::Rc;
use std::time::Instant;

use super::super::stream::{self, RemainingBody};
use super::super::{Gateway, advice, idle};
use super::unbelieved::{self, Unbelieved};
use super::{EndpointAnswer, Failure, InFlight, Limits, Refused, pool_outcome};
use crate::answer::{Distinction, Verdict};
use crate::budget::memory::Hold;
use crate::message::{self, Connection, Length, Request, Response, timeout};
use crate::placement::Outcome;
use crate::platform::header;

/// Maximum number of answer bytes that are buffered before the answer is passed on; until then the
/// request can still be retried at another endpoint
const MAX_BUFFERED_BYTES: usize = 192 << 10;

/// Maximum number of answers to earlier requests that are skipped on one connection
pub const MAX_STRAY_ANSWERS: usize = 2;

/// Answer whose head was read
#[derive(Debug)]
pub struct Received {
    /// Connection with the rest of the answer
    pub connection: idle::Connection,
    /// Head of the answer
    pub head: Response,
    /// What it proves
    pub verdict: Verdict,
    /// Whether the request was sent to its end before the head came
    pub uploaded: bool,
    /// Whether the connection had been used before
    pub is_reused: bool,
}

/// Reads the head of the request's own answer, and what it proves; skips answers to other requests, and
/// passes each answer that is not believed to `notice`
pub async fn read_head(
    connection: &mut Connection,
    request: &Request,
    endpoint: &str,
    distinction: Distinction,
    notice: impl Fn(&Unbelieved<'_>),
) -> Result<(Response, Verdict), Failure> {
    let to_failure = |error: message::Error| Failure::Broken(error.to_string());
    for skipped in 0..=MAX_STRAY_ANSWERS {
        let head = connection.read_response(&request.method).await;
        let head = head.map_err(to_failure)?;
        let verdict = header::judge(request, endpoint, &head, distinction, skipped);
        let reason = match verdict {
            Verdict::Foreign => unbelieved::FOREIGN,
            Verdict::Unclear(reason) => reason,
            Verdict::Own | Verdict::NotRun => return Ok((head, verdict)),
        };
        notice(&Unbelieved {
            head: &head,
            reason,
            skipped,
        });
        match verdict {
            Verdict::Unclear(reason) => return Err(Failure::Broken(reason.to_owned())),
            _ => {
                let body = connection.read_body(head.length, MAX_BUFFERED_BYTES).await;
                body.map_err(to_failure)?;
            }
        }
    }
    Err(Failure::Broken("answers to other requests".to_owned()))
}

/// Reads the answer's body up to the buffer limit
pub async fn read_answer(
    gateway: &Rc<Gateway>,
    mut in_flight: InFlight,
    received: Received,
    limits: Limits,
) -> Result<EndpointAnswer, Failure> {
    let Received {
        mut connection,
        mut head,
        verdict,
        uploaded,
        is_reused,
    } = received;
    head.keep_alive &= uploaded;
    advice::heed(gateway, &in_flight.endpoint, &head);
    let mut length = head.length;
    let stream_limits = stream::Limits {
        caller_deadline: limits.caller_deadline,
        route_deadline: limits.deadline,
    };
    let deadline = limits.deadline.max(Instant::now()) + stream::IDLE_TIMEOUT;
    let deadline = match stream_limits.deadline(length) {
        Some(stream_deadline) => deadline.min(stream_deadline.max(Instant::now())),
        None => deadline,
    };
    let mut body = Vec::new();
    let mut memory = Hold::new(&gateway.memory, 0);
    let is_complete = loop {
        memory.set(body.capacity());
        let may_buffer = gateway.memory.allows_buffers() || length == Length::Bytes(0);
        if body.len() >= MAX_BUFFERED_BYTES || !(may_buffer || body.is_empty()) {
            break false;
        }
        let piece = timeout(deadline, connection.stream.read_body_part(&mut length)).await;
        match piece.unwrap_or(Err(message::Error::Truncated)) {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(error) => {
                in_flight.finish(Outcome::ConnectionFailed);
                return Err(Failure::Broken(error.to_string()));
            }
        }
    };
    if let Some(failure) = rejection(&head, verdict, &in_flight, is_reused) {
        // A copy of the refusal may still come, so the connection is not kept.
        in_flight.finish(pool_outcome(&failure));
        return Err(failure);
    }
    if (200..300).contains(&head.status) && !header::is_signed(&head) {
        in_flight.finish(Outcome::Failed);
        return Err(Failure::Broken("success without a signature".to_owned()));
    }
    if is_complete {
        keep_connection(gateway, &in_flight, &head, connection);
        in_flight.finish_with_status(head.status);
        return Ok(EndpointAnswer {
            head,
            body,
            remaining: None,
            memory,
        });
    }
    let remaining = RemainingBody::new(
        connection.stream,
        length,
        in_flight,
        stream_limits,
        body.len(),
    );
    Ok(EndpointAnswer {
        head,
        body,
        remaining: Some(remaining),
        memory,
    })
}

/// Returns why an answer is not passed on, unless it is
fn rejection(
    head: &Response,
    verdict: Verdict,
    in_flight: &InFlight,
    is_reused: bool,
) -> Option<Failure> {
    let refused = Refused {
        status: head.status,
        is_reused,
    };
    let is_misdirected = header::is_misdirected(head);
    if is_misdirected {
        let mut pool = in_flight.gateway.pool.borrow_mut();
        pool.eject(Instant::now(), &in_flight.endpoint.id);
    }
    match (verdict, is_misdirected) {
        (Verdict::NotRun, true) => Some(Failure::Misdirected(refused)),
        (Verdict::NotRun, false) => Some(Failure::Shed(refused)),
        (_, true) => Some(Failure::Disowned),
        (_, false) => None,
    }
}

fn keep_connection(
    gateway: &Gateway,
    in_flight: &InFlight,
    head: &Response,
    connection: idle::Connection,
) {
    // A copy of an answer without an id could not be told from a later one.
    let states_id = header::attempt_id(&head.headers).is_some();
    let may_go_on = head.keep_alive && states_id && !connection.history.is_full();
    if !may_go_on || connection.stream.has_unread_bytes() {
        return;
    }
    let keep_alive = header::keep_alive_timeout(&head.headers);
    let mut idle_connections = gateway.idle_connections.borrow_mut();
    idle_connections.put(
        Instant::now(),
        in_flight.endpoint.address,
        connection,
        keep_alive,
    );
}
