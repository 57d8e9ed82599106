//! Requests that another entry host runs or decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::entry::reply::{Body, BodyError};
use crate::entry::{Host, Outcome, Reply, lock, refusal};
use crate::member::{HostInfo, State};
use crate::peer::{Error, Exchange};
use crate::wire::{Cause, Frame, Request};

/// Longest silence within an answer from another host
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between looks whether a host that is to answer counts as dead
const LOOK: Duration = Duration::from_millis(50);

/// Answer that streams from another host; dropping it early cancels the work there
#[derive(Debug)]
pub struct Stream {
    exchange: Exchange,
    left: Option<u64>,
    ended: bool,
}

impl Stream {
    fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            left: None,
            ended: false,
        }
    }

    /// Next piece of the answer, `None` once it is whole
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        if self.ended {
            return Ok(None);
        }
        let frame = self.exchange.next();
        let late = async {
            Timer::after(STREAM_IDLE_TIMEOUT).await;
            Ok(None)
        };
        match frame.or(late).await {
            Ok(Some(Frame::Body(bytes))) => {
                let length = bytes.len() as u64;
                self.left = self.left.map(|left| left.saturating_sub(length));
                self.ended = self.left == Some(0);
                Ok(Some(bytes))
            }
            Ok(Some(Frame::End)) => {
                self.ended = true;
                Ok(None)
            }
            Ok(other) => Err(BodyError(format!("unexpected {}", kind(other.as_ref())))),
            Err(error) => Err(BodyError(error.to_string())),
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.ended {
            self.exchange.cancel();
        }
    }
}

fn kind(frame: Option<&Frame>) -> &'static str {
    match frame {
        None => "end of the stream",
        Some(Frame::Unknown(_)) => "loss of the upstream",
        Some(_) => "frame",
    }
}

/// Send a request to another host and wait for the start of its answer
///
/// `None` means that the host was not reached and nothing was sent.
pub async fn forward(
    host: &Arc<Host>,
    to: &HostInfo,
    request: &mut Request,
    deadline: Instant,
) -> Option<Outcome> {
    let link = lock(&host.link).clone()?;
    request.remaining = deadline.saturating_duration_since(Instant::now());
    if request.remaining.is_zero() {
        return Some(Outcome::NotRun(refusal(Cause::TooLate)));
    }
    host.count_attempt();
    let first = Frame::Request(request.clone());
    let opened = async { Some(link.open(to.peer, &to.host, &first).await) };
    let opened = opened.or(late(deadline)).await;
    let stream = match opened {
        Some(Ok(exchange)) => Stream::new(exchange),
        Some(Err(Error::Broken(..))) => return Some(Outcome::Unknown(refusal(Cause::Broken))),
        Some(Err(error)) => {
            log::debug!("{error}");
            lock(&host.view).mark_unreachable(Instant::now(), &to.host);
            return None;
        }
        None => return Some(Outcome::Unknown(refusal(Cause::TooLate))),
    };
    let outcome = started(stream, deadline).or(died(host, to)).await;
    if let Ended::Lost(Outcome::Unknown(refused)) = &outcome
        && refused.cause == Cause::Broken
    {
        lock(&host.view).mark_unreachable(Instant::now(), &to.host);
    }
    let (Ended::Told(outcome) | Ended::Lost(outcome)) = outcome;
    Some(outcome)
}

/// How the wait for an answer ended
enum Ended {
    /// The other host said so
    Told(Outcome),
    /// The other host was lost, which says nothing about the upstream
    Lost(Outcome),
}

/// Wait until heartbeats of the zone say that the other host is dead
///
/// Of a host of another zone a single failed call is known only, which says nothing about the
/// requests that it has.
async fn died(host: &Host, to: &HostInfo) -> Ended {
    if to.zone != host.settings.zone {
        return std::future::pending().await;
    }
    loop {
        Timer::after(LOOK).await;
        let view = lock(&host.view);
        let known = view.hosts().get(&to.host);
        if known.is_none_or(|known| known.state == State::Dead) {
            return Ended::Lost(Outcome::Unknown(refusal(Cause::Broken)));
        }
    }
}

async fn started(mut stream: Stream, deadline: Instant) -> Ended {
    let lost = |cause| Ended::Lost(Outcome::Unknown(refusal(cause)));
    let frame = async { Some(stream.exchange.next().await) };
    let frame = match frame.or(late(deadline)).await {
        Some(Ok(Some(frame))) => frame,
        Some(_) => return lost(Cause::Broken),
        None => return lost(Cause::TooLate),
    };
    let outcome = match frame {
        Frame::Answer(head) => {
            stream.left = head.length;
            stream.ended = head.length == Some(0);
            let body = Body::Remote(stream);
            return Ended::Told(Outcome::Served(Reply { head, body }));
        }
        Frame::Refused(refused) => Outcome::NotRun(refused),
        Frame::Unknown(refused) => Outcome::Unknown(refused),
        Frame::Unsupported => Outcome::NotRun(refusal(Cause::NoUpstream)),
        _ => return lost(Cause::Broken),
    };
    stream.ended = true;
    Ended::Told(outcome)
}

async fn late<T>(deadline: Instant) -> Option<T> {
    Timer::at(deadline).await;
    None
}
