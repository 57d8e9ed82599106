//! One attempt of a request at one endpoint.
//!
//! Failures that prove that the request did not run are kept apart from those that do not. A
//! connection is reused only after a complete answer that states the request's id, is no refusal and
//! has no bytes behind it, and never for the same id.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use receive::Received;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use unbelieved::Unbelieved;

use super::limit::Permit;
use super::stream::RemainingBody;
use super::upload::{SendError, Upload};
use super::{Gateway, advice, idle};
use crate::answer::Distinction;
use crate::budget::memory::Hold;
use crate::catalog::Endpoint;
use crate::drain::Start;
use crate::id::RouteId;
use crate::message::{Connection, Request, Response, timeout};
use crate::placement::Outcome;
use crate::platform::header;

mod receive;
mod unbelieved;

#[cfg(test)]
mod tests;

/// Timeout for connecting to an endpoint; well above the delay between regions, but below the one
/// second after which a lost SYN is retransmitted
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Timeout for the connection that shows whether an endpoint is down; a round trip between regions
/// takes a fraction of it
const DOWN_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum idle time of a connection that carries a non-idempotent request; endpoints may drop
/// older ones, and after a reset it is unknown whether the request ran
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(800);

// The messages are values of the field `outcome` in the decision log.
/// Reason why an attempt produced no answer to pass on
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// no connection: {0}
    NotSent(String),
    /// endpoint takes no requests now
    Withheld,
    /// endpoint is full
    Shed(Refused),
    /// another endpoint has the address
    Misdirected(Refused),
    /// endpoint that was meant answers 421
    Disowned,
    /// connection broke: {0}
    Broken(String),
    /// endpoint ended: {0}
    Crashed(String),
    /// no answer in time
    TimedOut,
    /// left for another endpoint, as it took long
    Abandoned,
    /// caller broke off its request: {0}
    CallerAborted(String),
}

impl Failure {
    /// Returns whether the endpoint certainly did not run the request
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Withheld | Self::Shed(_) | Self::Misdirected(_)
        )
    }

    /// Returns the endpoint's answer that states that it did not run the request
    pub fn refused(&self) -> Option<Refused> {
        match self {
            Self::Shed(refused) | Self::Misdirected(refused) => Some(*refused),
            _ => None,
        }
    }
}

/// Answer that states that the endpoint did not run the request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Status of the answer
    pub status: u16,
    /// Whether it came on a connection that had been used before
    pub is_reused: bool,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let connection = if self.is_reused { "kept" } else { "new" };
        write!(formatter, "{} {connection}", self.status)
    }
}

/// Answer of an endpoint, complete or partly read
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Head of the answer
    pub head: Response,
    /// Part of the body that was buffered
    pub body: Vec<u8>,
    /// Part of the body that is still to be read
    pub remaining: Option<RemainingBody>,
    /// Memory of the buffered part
    pub memory: Hold,
}

/// Request in flight at an endpoint; counts as cancelled if it is dropped before it is finished
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
    endpoint: Endpoint,
    route: RouteId,
    rank: Option<usize>,
    started: Instant,
    /// Tells that others of its route may take as long, until the answer is passed on
    running: Start,
    permit: Permit,
    finished: bool,
}

impl InFlight {
    /// Registers a request in flight with the endpoint pool
    pub fn new(
        gateway: &Rc<Gateway>,
        endpoint: Endpoint,
        route: RouteId,
        rank: Option<usize>,
        permit: Permit,
    ) -> Self {
        let started = Instant::now();
        gateway.pool.borrow_mut().start(started, &endpoint.id);
        let running = gateway.longest.borrow_mut().start(started, &route);
        Self {
            gateway: gateway.clone(),
            endpoint,
            route,
            rank,
            started,
            running,
            permit,
            finished: false,
        }
    }

    /// Reports the outcome to the endpoint pool; only the first call has an effect
    pub fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = Instant::now();
        let mut longest = self.gateway.longest.borrow_mut();
        longest.end(&self.route, self.running);
        if !matches!(outcome, Outcome::Shed | Outcome::Misdirected) {
            longest.record(now, &self.route, now - self.started);
        }
        drop(longest);
        let mut pool = self.gateway.pool.borrow_mut();
        pool.finish(
            now,
            &self.endpoint,
            &self.route,
            self.rank,
            self.started,
            outcome,
        );
    }

    /// Returns whether the request may be sent now; seconds may have passed since the endpoint was
    /// chosen, also because this process stood still
    fn may_send(&self, limits: Limits) -> bool {
        let gateway = &self.gateway;
        let now = Instant::now();
        now < limits.deadline
            && advice::may_send(gateway, &self.endpoint, self.permit)
            && gateway.may_start(now, &self.route, limits.deadline)
    }

    /// Returns the time since the request was sent
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Logs and counts that the answer was broken off because of a limit
    pub fn record_broken_off(&self, reason: &'static str, bytes: u64) {
        self.gateway.metrics.count_broken_off();
        let fields = [
            ("endpoint", self.endpoint.id.as_str().into()),
            ("route", self.route.as_str().into()),
            ("reason", reason.into()),
            ("bytes", bytes.into()),
        ];
        self.gateway.recorder.event("answer-broken-off", &fields);
    }

    fn finish_with_status(&mut self, status: u16) {
        let outcome = match status {
            500..=599 => Outcome::Failed,
            _ => Outcome::Served(self.started.elapsed()),
        };
        self.finish(outcome);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// Limits of an attempt
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after which no answer is awaited
    pub deadline: Instant,
    /// Time after which the caller no longer waits, if it states one
    pub caller_deadline: Option<Instant>,
    /// Whether the request may run more than once
    pub idempotent: bool,
}

/// Sends a request to the endpoint of `in_flight` and reads the answer
pub async fn run(
    gateway: &Rc<Gateway>,
    mut in_flight: InFlight,
    request: &Request,
    upload: &mut Upload<'_>,
    limits: Limits,
) -> Result<EndpointAnswer, Failure> {
    let result = attempt(gateway, &mut in_flight, request, upload, limits).await;
    let endpoint = in_flight.endpoint.clone();
    let result = match result {
        Ok(received) => receive::read_answer(gateway, in_flight, received, limits).await,
        Err(failure) => {
            in_flight.finish(pool_outcome(&failure));
            Err(failure)
        }
    };
    let result = match result {
        Err(Failure::Broken(error)) if is_down(gateway, &endpoint).await => {
            Err(Failure::Crashed(error))
        }
        result => result,
    };
    if let Err(failure) = &result {
        log::debug!("attempt for {} failed: {failure}", request.target);
    }
    result
}

fn pool_outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::NotSent(_) | Failure::Broken(_) | Failure::Crashed(_) => Outcome::ConnectionFailed,
        Failure::Shed(_) => Outcome::Shed,
        Failure::Misdirected(_) | Failure::Disowned => Outcome::Misdirected,
        Failure::TimedOut | Failure::Abandoned => Outcome::Failed,
        Failure::Withheld | Failure::CallerAborted(_) => Outcome::Cancelled,
    }
}

/// Returns whether an endpoint refuses connections, right after one to it broke
///
/// A live endpoint that lost an answer or dropped a connection accepts a new one.
async fn is_down(gateway: &Gateway, endpoint: &Endpoint) -> bool {
    match Connection::connect(endpoint.address, DOWN_CHECK_TIMEOUT).await {
        Ok(connection) => {
            gateway.metrics.count_connection();
            let mut idle_connections = gateway.idle_connections.borrow_mut();
            let connection = idle::Connection::new(connection);
            idle_connections.put(Instant::now(), endpoint.address, connection, None);
            false
        }
        Err(error) if is_refused(&error) => {
            let mut pool = gateway.pool.borrow_mut();
            pool.eject(Instant::now(), &endpoint.id);
            true
        }
        Err(error) => {
            log::debug!("cannot tell whether {} is down: {error}", endpoint.id);
            false
        }
    }
}

/// Returns whether an error means that nothing listens at an address
fn is_refused(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
}

async fn attempt(
    gateway: &Rc<Gateway>,
    in_flight: &mut InFlight,
    request: &Request,
    upload: &mut Upload<'_>,
    limits: Limits,
) -> Result<Received, Failure> {
    let address = in_flight.endpoint.address;
    let max_idle = if limits.idempotent {
        Duration::MAX
    } else {
        MAX_IDLE_NON_IDEMPOTENT
    };
    let max_idle = max_idle.min(Duration::from_secs(3600));
    let attempt_id = header::attempt_id(&request.headers);
    record_repeated_id(gateway, in_flight, attempt_id);
    let idle =
        gateway
            .idle_connections
            .borrow_mut()
            .take(Instant::now(), address, max_idle, attempt_id);
    let mut broken = None;
    if let Some(idle) = idle
        && upload.can_resend()
        && idle.stream.is_idle().await
    {
        if !in_flight.may_send(limits) {
            return Err(Failure::Withheld);
        }
        let sent = send(idle, in_flight, request, upload, limits).await;
        // The endpoint may close an idle connection while the request is being sent on it.
        let error = match sent {
            Err(Failure::Broken(error)) => error,
            sent => return sent,
        };
        let may_send_again = limits.idempotent
            && upload.can_resend()
            && gateway.allow_retry(Instant::now(), &in_flight.endpoint.service);
        if !may_send_again {
            return Err(Failure::Broken(error));
        }
        let Some(permit) = gateway.acquire_permit(&in_flight.endpoint).await else {
            return Err(Failure::Broken(error));
        };
        in_flight.permit = permit;
        let fields = [
            ("id", attempt_id.unwrap_or("-").into()),
            ("endpoint", in_flight.endpoint.id.as_str().into()),
            ("error", error.as_str().into()),
        ];
        gateway.recorder.event("sent-again", &fields);
        broken = Some(error);
    }
    let limit = CONNECT_TIMEOUT.min(limits.deadline.saturating_duration_since(Instant::now()));
    let connection = Connection::connect(address, limit).await;
    let connection = connection.map_err(|error| {
        // A refused connection means that the endpoint is down; health checks decide when it is
        // back.
        let mut pool = gateway.pool.borrow_mut();
        pool.eject(Instant::now(), &in_flight.endpoint.id);
        match &broken {
            // The endpoint may have run what was sent on the kept connection.
            Some(cause) if is_refused(&error) => Failure::Crashed(cause.clone()),
            Some(cause) => Failure::Broken(cause.clone()),
            None => Failure::NotSent(error.to_string()),
        }
    })?;
    let connection = idle::Connection::new(connection);
    gateway.metrics.count_connection();
    // The answer to another request may have come meanwhile.
    if !in_flight.may_send(limits) {
        let mut idle_connections = gateway.idle_connections.borrow_mut();
        idle_connections.put(Instant::now(), address, connection, None);
        return Err(match broken {
            Some(cause) => Failure::Broken(cause),
            None => Failure::Withheld,
        });
    }
    send(connection, in_flight, request, upload, limits).await
}

/// Records that a kept connection has carried the id of a request before, so that it is not used
fn record_repeated_id(gateway: &Gateway, in_flight: &InFlight, attempt_id: Option<&str>) {
    let endpoint = &in_flight.endpoint;
    let idle_connections = gateway.idle_connections.borrow();
    let Some(attempt_id) =
        attempt_id.filter(|id| idle_connections.has_carried(endpoint.address, id))
    else {
        return;
    };
    gateway.metrics.count_repeated_id();
    let fields = [
        ("id", attempt_id.into()),
        ("endpoint", endpoint.id.as_str().into()),
    ];
    gateway.recorder.event("repeated-id", &fields);
}

async fn send(
    mut connection: idle::Connection,
    in_flight: &InFlight,
    request: &Request,
    upload: &mut Upload<'_>,
    limits: Limits,
) -> Result<Received, Failure> {
    let attempt_id = header::attempt_id(&request.headers);
    let distinction = connection.history.distinction(attempt_id);
    connection.history.record(attempt_id);
    let to_failure = |error: &dyn std::fmt::Display| Failure::Broken(error.to_string());
    let now = Instant::now();
    let time_left = limits.deadline.saturating_duration_since(now);
    let headers = header::upstream_headers(request, &in_flight.endpoint.id, time_left);
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
    headers.write(&mut head);
    head.extend_from_slice(upload.framing_header(&request.method).as_bytes());
    head.extend_from_slice(b"\r\n");
    // Sends a small request in one segment.
    if let Upload::Buffered(body) = upload {
        head.extend_from_slice(body);
    }
    let uploaded = std::cell::Cell::new(false);
    let mut writer = connection.stream.writer();
    let sending = async {
        writer
            .write_all(&head)
            .await
            .map_err(|error| to_failure(&error))?;
        if let Upload::Streamed { .. } = upload {
            let sent = upload.send(&mut writer).await;
            sent.map_err(|send_error| match send_error {
                SendError::Caller(error) => Failure::CallerAborted(error.to_string()),
                SendError::Endpoint(error) => to_failure(&error),
            })?;
        }
        uploaded.set(true);
        std::future::pending().await
    };
    let endpoint = &in_flight.endpoint.id;
    let notice = |answer: &Unbelieved<'_>| {
        unbelieved::record(in_flight, request, distinction, answer);
    };
    let stream = &mut connection.stream;
    let receiving = receive::read_head(stream, request, endpoint, distinction, notice);
    let answer = timeout(limits.deadline, receiving.or(sending)).await;
    let (head, verdict) = answer.unwrap_or(Err(Failure::TimedOut))?;
    Ok(Received {
        connection,
        head,
        verdict,
        uploaded: uploaded.get(),
        is_reused: distinction != Distinction::First,
    })
}
