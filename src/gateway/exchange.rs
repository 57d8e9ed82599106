//! One attempt at one endpoint.
//!
//! The outcome keeps apart what proves that the request did not run from what does not. A
//! connection is kept only after an answer that was read whole with nothing after it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;

use super::Gateway;
use super::upload::{Unsent, Upload};
use crate::catalog::Endpoint;
use crate::id::RouteId;
use crate::message::{self, Answer, Connection, Length, Request, timeout};
use crate::placement::Outcome;
use crate::platform::header;

/// Longest time for opening a connection to an endpoint; far over the delay between regions, and
/// short of the second after which a lost opening packet is sent again
pub const OPEN: Duration = Duration::from_millis(450);

/// Longest idle time of a connection that carries a request which must not run twice; endpoints may
/// forget older ones, and a reset would leave open whether it ran
const FRESH: Duration = Duration::from_millis(800);

/// Bytes of an answer that are collected before it is passed on; until then another endpoint can
/// still be asked
const COLLECT: usize = 192 << 10;

/// Time beyond the deadline in which an answer that has begun is still taken whole
const FINISH: Duration = Duration::from_millis(1500);

/// Answers to earlier requests that are skipped on one connection
const STRAY: usize = 2;

/// Why an attempt gave no answer to pass on
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// no connection: {0}
    NotSent(String),
    /// endpoint is full
    Shed,
    /// another endpoint has the address
    Misdirected,
    /// connection broke: {0}
    Broken(String),
    /// no answer in time
    Late,
    /// left for another endpoint, as it took long
    Left,
    /// caller broke off its request: {0}
    Caller(String),
}

impl Failure {
    /// Whether the endpoint certainly did not run the request
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Shed | Self::Misdirected)
    }
}

/// An answer, whole or with the rest still to come
#[derive(Debug)]
pub struct Relay {
    /// Head of the endpoint's answer
    pub head: Answer,
    /// Body as far as it was collected
    pub body: Vec<u8>,
    /// What is still to come
    pub rest: Option<Rest>,
}

/// Rest of an answer
#[derive(Debug)]
pub struct Rest {
    connection: Connection,
    length: Length,
    place: Place,
    until: Instant,
}

/// A request's place at an endpoint; dropped early, it counts as cancelled
#[derive(Debug)]
pub struct Place {
    gateway: Rc<Gateway>,
    endpoint: Endpoint,
    route: RouteId,
    rank: Option<usize>,
    begun: Instant,
    ended: bool,
}

impl Place {
    /// Take a place
    pub fn new(
        gateway: &Rc<Gateway>,
        endpoint: Endpoint,
        route: RouteId,
        rank: Option<usize>,
    ) -> Self {
        let begun = Instant::now();
        gateway.pool.borrow_mut().start(begun, &endpoint.id);
        Self {
            gateway: gateway.clone(),
            endpoint,
            route,
            rank,
            begun,
            ended: false,
        }
    }

    /// Give the place back
    pub fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut pool = self.gateway.pool.borrow_mut();
        let now = Instant::now();
        pool.finish(
            now,
            &self.endpoint,
            &self.route,
            self.rank,
            self.begun,
            outcome,
        );
    }

    fn served(&mut self, status: u16) {
        let outcome = match status {
            500..=599 => Outcome::Failed,
            _ => Outcome::Served(self.begun.elapsed()),
        };
        self.end(outcome);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}

/// When an attempt ends
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// When no answer is waited for any more
    pub until: Instant,
    /// Whether the request may run again
    pub idempotent: bool,
}

/// Send a request to the endpoint of a place and read the answer
pub async fn run(
    gateway: &Rc<Gateway>,
    mut place: Place,
    request: &Request,
    upload: &mut Upload<'_>,
    limits: Limits,
) -> Result<Relay, Failure> {
    let result = attempt(gateway, &mut place, request, upload, limits).await;
    let result = match result {
        Ok((connection, head, clean)) => {
            collect(gateway, place, connection, head, clean, limits).await
        }
        Err(failure) => {
            place.end(outcome(&failure));
            Err(failure)
        }
    };
    if let Err(failure) = &result {
        log::debug!("{}: {failure}", request.target);
    }
    result
}

fn outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::NotSent(_) | Failure::Broken(_) => Outcome::ConnectionFailed,
        Failure::Shed => Outcome::Shed,
        Failure::Misdirected => Outcome::Misdirected,
        Failure::Late | Failure::Left => Outcome::Failed,
        Failure::Caller(_) => Outcome::Cancelled,
    }
}

async fn attempt(
    gateway: &Rc<Gateway>,
    place: &mut Place,
    request: &Request,
    upload: &mut Upload<'_>,
    limits: Limits,
) -> Result<(Connection, Answer, bool), Failure> {
    let address = place.endpoint.address;
    let age = if limits.idempotent {
        Duration::MAX
    } else {
        FRESH
    };
    let age = age.min(Duration::from_secs(3600));
    let kept = gateway.idle.borrow_mut().take(Instant::now(), address, age);
    if let Some(kept) = kept
        && upload.is_whole()
        && kept.is_quiet().await
    {
        let sent = send(kept, place, request, upload, limits).await;
        // An endpoint may close a kept connection just as a request is sent on it.
        match sent {
            Err(Failure::Broken(_)) if limits.idempotent && upload.is_whole() => {}
            sent => return sent,
        }
    }
    let limit = OPEN.min(limits.until.saturating_duration_since(Instant::now()));
    let connection = Connection::connect(address, limit).await;
    let connection = connection.map_err(|error| {
        // A refused connection says that the endpoint is down; leave it to the health check.
        let mut pool = gateway.pool.borrow_mut();
        pool.eject(Instant::now(), &place.endpoint.id);
        Failure::NotSent(error.to_string())
    })?;
    gateway.metrics.connection();
    send(connection, place, request, upload, limits).await
}

async fn send(
    mut connection: Connection,
    place: &Place,
    request: &Request,
    upload: &mut Upload<'_>,
    limits: Limits,
) -> Result<(Connection, Answer, bool), Failure> {
    let broken = |error: &dyn std::fmt::Display| Failure::Broken(error.to_string());
    let now = Instant::now();
    let left = limits.until.saturating_duration_since(now);
    let headers = header::forwarded(request, &place.endpoint.id, left);
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
    headers.write(&mut head);
    head.extend_from_slice(upload.framing(&request.method).as_bytes());
    head.extend_from_slice(b"\r\n");
    // One segment for a small request.
    if let Upload::Whole(body) = upload {
        head.extend_from_slice(body);
    }
    let uploaded = std::cell::Cell::new(false);
    let mut out = connection.writer();
    let sending = async {
        out.write_all(&head).await.map_err(|error| broken(&error))?;
        if let Upload::Stream { .. } = upload {
            let sent = upload.send(&mut out).await;
            sent.map_err(|unsent| match unsent {
                Unsent::Caller(error) => Failure::Caller(error.to_string()),
                Unsent::Endpoint(error) => broken(&error),
            })?;
        }
        uploaded.set(true);
        std::future::pending().await
    };
    let receiving = async {
        for _ in 0..=STRAY {
            let answer = connection.answer(&request.method).await;
            let answer = answer.map_err(|error| broken(&error))?;
            let own = header::attempt(&request.headers);
            match header::attempt(&answer.headers) {
                Some(other) if own.is_some_and(|own| own != other) => {
                    let body = connection.body(answer.length, COLLECT).await;
                    body.map_err(|error| broken(&error))?;
                }
                _ => return Ok(answer),
            }
        }
        Err(broken(&"answers to other requests"))
    };
    let answer = timeout(limits.until, receiving.or(sending)).await;
    let answer = answer.unwrap_or(Err(Failure::Late))?;
    Ok((connection, answer, uploaded.get()))
}

/// Read the answer's body as far as it is collected
async fn collect(
    gateway: &Rc<Gateway>,
    mut place: Place,
    mut connection: Connection,
    mut head: Answer,
    uploaded: bool,
    limits: Limits,
) -> Result<Relay, Failure> {
    head.keep &= uploaded;
    observe(gateway, &place, &head);
    let mut length = head.length;
    let until = limits.until.max(Instant::now()) + FINISH;
    let mut body = Vec::new();
    let whole = loop {
        if body.len() >= COLLECT {
            break false;
        }
        let piece = timeout(until, connection.piece(&mut length)).await;
        match piece.unwrap_or(Err(message::Error::Truncated)) {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(error) => {
                place.end(Outcome::ConnectionFailed);
                return Err(Failure::Broken(error.to_string()));
            }
        }
    };
    if let Some(failure) = refusal(&head, &place) {
        if whole {
            keep(gateway, &place, &head, connection);
        }
        place.end(outcome(&failure));
        return Err(failure);
    }
    if (200..300).contains(&head.status) && !header::is_signed(&head) {
        place.end(Outcome::Failed);
        return Err(Failure::Broken("success without a signature".to_owned()));
    }
    if whole {
        keep(gateway, &place, &head, connection);
        place.served(head.status);
        return Ok(Relay {
            head,
            body,
            rest: None,
        });
    }
    let rest = Rest {
        connection,
        length,
        place,
        until,
    };
    Ok(Relay {
        head,
        body,
        rest: Some(rest),
    })
}

fn refusal(head: &Answer, place: &Place) -> Option<Failure> {
    if header::is_misdirected(head) {
        let mut pool = place.gateway.pool.borrow_mut();
        pool.eject(Instant::now(), &place.endpoint.id);
        return Some(Failure::Misdirected);
    }
    header::is_not_run(head).then_some(Failure::Shed)
}

/// Learn load and coldness from an answer
fn observe(gateway: &Gateway, place: &Place, head: &Answer) {
    let now = Instant::now();
    let id = &place.endpoint.id;
    if let Some((running, waiting)) = header::load(&head.headers) {
        let mut pool = gateway.pool.borrow_mut();
        pool.record_load(now, id, running.saturating_sub(1), waiting);
    }
    if let Some(left) = header::warmup(&head.headers) {
        gateway.catalog.borrow_mut().chill(now, id, left);
    }
}

fn keep(gateway: &Gateway, place: &Place, head: &Answer, connection: Connection) {
    if !head.keep || connection.has_surplus() {
        return;
    }
    let stated = header::keep_alive(&head.headers);
    let mut idle = gateway.idle.borrow_mut();
    idle.put(Instant::now(), place.endpoint.address, connection, stated);
}

impl Rest {
    /// Whether the end of the answer shows by its length
    pub fn length(&self, collected: usize) -> Option<u64> {
        match self.length {
            Length::Bytes(left) => Some(left + collected as u64),
            _ => None,
        }
    }

    /// Next piece; `None` at the end of a whole answer
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        // A slow caller may make this long; only silence of the endpoint counts.
        let until = self.until.max(Instant::now() + FINISH);
        let piece = timeout(until, self.connection.piece(&mut self.length)).await;
        match piece.unwrap_or(Err(message::Error::Truncated)) {
            Ok(Some(piece)) => Ok(Some(piece)),
            Ok(None) => {
                self.place.end(Outcome::Served(self.place.begun.elapsed()));
                Ok(None)
            }
            Err(error) => {
                self.place.end(Outcome::ConnectionFailed);
                Err(Failure::Broken(error.to_string()))
            }
        }
    }
}
