//! Requests that are forwarded to another entry host.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::entry::reply::{Body, BodyError};
use crate::entry::{Host, Outcome, Reply, lock, refusal};
use crate::member::{HostInfo, State};
use crate::peer::{Error, Exchange};
use crate::wire::{Cause, Frame, Operation, Request};

/// How long a response from another host may pause between two frames
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks whether the host that runs a request is dead
const LIVENESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Response body that streams from another host; dropping it early cancels the request there
#[derive(Debug)]
pub struct Stream {
    exchange: Exchange,
    remaining_bytes: Option<u64>,
    is_complete: bool,
}

impl Stream {
    fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            remaining_bytes: None,
            is_complete: false,
        }
    }

    /// Returns the next chunk of the body, `None` once it is complete
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        if self.is_complete {
            return Ok(None);
        }
        let frame = self.exchange.next();
        let timeout = async {
            Timer::after(STREAM_IDLE_TIMEOUT).await;
            Ok(None)
        };
        match frame.or(timeout).await {
            Ok(Some(Frame::Body(bytes))) => {
                let length = bytes.len() as u64;
                self.remaining_bytes = self
                    .remaining_bytes
                    .map(|remaining| remaining.saturating_sub(length));
                self.is_complete = self.remaining_bytes == Some(0);
                Ok(Some(bytes))
            }
            Ok(Some(Frame::End)) => {
                self.is_complete = true;
                Ok(None)
            }
            Ok(other) => Err(BodyError(format!(
                "unexpected {}",
                describe(other.as_ref())
            ))),
            Err(error) => Err(BodyError(error.to_string())),
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.is_complete {
            self.exchange.cancel();
        }
    }
}

fn describe(frame: Option<&Frame>) -> &'static str {
    match frame {
        None => "end of the stream or timeout",
        Some(Frame::Unknown(_)) => "report of a lost upstream",
        Some(_) => "frame",
    }
}

/// Forwards a request to another host and waits for the start of its response
///
/// Returns `None` if the host cannot be reached and nothing was sent.
pub async fn forward(
    host: &Arc<Host>,
    to: &HostInfo,
    request: &mut Request,
    deadline: Instant,
) -> Option<Outcome> {
    let link = lock(&host.link).clone()?;
    request.remaining = deadline.saturating_duration_since(Instant::now());
    if request.remaining.is_zero() {
        return Some(not_taken(&request.operation, Cause::TooLate));
    }
    host.count_attempt();
    let first = Frame::Request(request.clone());
    let opened = async { Some(link.open(to.peer, &to.host, &first).await) };
    let opened = opened.or(timeout_at(deadline)).await;
    let stream = match opened {
        Some(Ok(exchange)) => Stream::new(exchange),
        Some(Err(Error::ConnectionLost(..))) => {
            return Some(Outcome::Unknown(refusal(Cause::Broken)));
        }
        Some(Err(error)) => {
            log::debug!("{error}");
            lock(&host.view).mark_unreachable(Instant::now(), &to.host);
            return None;
        }
        None => return Some(Outcome::Unknown(refusal(Cause::TooLate))),
    };
    let result = await_outcome(stream, &request.operation, deadline)
        .or(host_death(host, to))
        .await;
    if let Wait::HostLost(Outcome::Unknown(refused)) = &result
        && refused.cause == Cause::Broken
    {
        lock(&host.view).mark_unreachable(Instant::now(), &to.host);
    }
    let (Wait::Reported(outcome) | Wait::HostLost(outcome)) = result;
    Some(outcome)
}

/// Returns the outcome of a request that the other host did not take
///
/// Only the holder of a ticket knows whether an earlier request with it ran.
fn not_taken(operation: &Operation, cause: Cause) -> Outcome {
    match operation {
        Operation::Serve => Outcome::NotRun(refusal(cause)),
        Operation::Execute(_) => Outcome::Unknown(refusal(cause)),
    }
}

/// How the wait for an outcome ended
enum Wait {
    /// The other host reported the outcome
    Reported(Outcome),
    /// The other host was lost, which does not mean that an upstream failed
    HostLost(Outcome),
}

/// Waits until missed heartbeats mark the other host as dead
///
/// Never returns for a host of another zone: it counts as dead after a single failed call, which
/// does not mean that the requests it runs are lost.
async fn host_death(host: &Host, to: &HostInfo) -> Wait {
    if to.zone != host.settings.zone {
        return std::future::pending().await;
    }
    loop {
        Timer::after(LIVENESS_POLL_INTERVAL).await;
        let view = lock(&host.view);
        let peer = view.hosts().get(&to.host);
        if peer.is_none_or(|peer| peer.state == State::Dead) {
            return Wait::HostLost(Outcome::Unknown(refusal(Cause::Broken)));
        }
    }
}

async fn await_outcome(mut stream: Stream, operation: &Operation, deadline: Instant) -> Wait {
    let lost = |cause| Wait::HostLost(Outcome::Unknown(refusal(cause)));
    let frame = async { Some(stream.exchange.next().await) };
    let frame = match frame.or(timeout_at(deadline)).await {
        Some(Ok(Some(frame))) => frame,
        Some(_) => return lost(Cause::Broken),
        None => return lost(Cause::TooLate),
    };
    let outcome = match frame {
        Frame::Answer(head) => {
            stream.remaining_bytes = head.length;
            stream.is_complete = head.length == Some(0);
            let body = Body::Remote(stream);
            return Wait::Reported(Outcome::Served(Reply { head, body }));
        }
        Frame::Refused(refused) => Outcome::NotRun(refused),
        Frame::Unknown(refused) => Outcome::Unknown(refused),
        Frame::Unsupported => not_taken(operation, Cause::NoUpstream),
        _ => return lost(Cause::Broken),
    };
    stream.is_complete = true;
    Wait::Reported(outcome)
}

async fn timeout_at<T>(deadline: Instant) -> Option<T> {
    Timer::at(deadline).await;
    None
}
