//! Planned stops.
//!
//! A stopping host notifies the others at once, so that lookups no longer return it and its slots
//! get another owner. It serves callers with a cached lookup until that has expired, hands its ticket
//! table over, and exits when no request is in flight. What comes after that is refused.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::stream::{Stream, StreamExt};

use crate::drain::{self, Phase, Progress};
use crate::entry::{Event, Host, handover};
use crate::peer::Link;

/// Interval between checks of the requests in flight
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a planned stop; a further signal ends the wait for callers with a cached lookup
///
/// Returns the number of requests that are in flight at its deadline and will be cut off, 0 if it
/// ended before. Requests that come after it are refused.
pub async fn stop(host: &Arc<Host>, link: &Link, mut signals: impl Stream + Unpin) -> usize {
    let started_at = Instant::now();
    host.begin_stop();
    host.record_event(Event::new("drain", &"planned stop started"));
    let mut stop = drain::Stop::new(
        started_at,
        lookup_lifetime(host),
        max_request_duration(host),
    );
    let mut is_handed_over = false;
    loop {
        let progress = Progress {
            running: host.in_flight_count(),
            is_handed_over,
        };
        let phase = stop.advance(Instant::now(), progress);
        if let Some(deadline) = stop.deadline() {
            host.set_stops_at(deadline);
        }
        match phase {
            Phase::Done => break,
            Phase::HandingOver => {
                let deadline = stop.deadline().unwrap_or(started_at);
                handover::hand_over(host, link, deadline).await;
                is_handed_over = true;
            }
            Phase::Serving if received_signal(&mut signals).await => {
                stop.skip_lookup_wait(Instant::now())
            }
            Phase::Serving => {}
            Phase::Draining => {
                Timer::after(POLL_INTERVAL).await;
            }
        }
    }
    let remaining = finish_last_requests(host, stop.deadline().unwrap_or(started_at)).await;
    let text = format!(
        "planned stop took {:?}, {remaining} requests in flight",
        started_at.elapsed()
    );
    host.record_event(Event::new("drain", &text));
    remaining
}

/// Refuses new requests and waits for those that began meanwhile; returns how many are left at the
/// deadline
async fn finish_last_requests(host: &Host, deadline: Instant) -> usize {
    // Without this, a request that begins after the last count would be cut off.
    host.set_stops_at(Instant::now());
    loop {
        let remaining = host.in_flight_count();
        if remaining == 0 || Instant::now() >= deadline {
            return remaining;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Returns whether a signal arrives within one poll interval
async fn received_signal(signals: &mut (impl Stream + Unpin)) -> bool {
    let signal = async { signals.next().await.is_some() };
    let timeout = async {
        Timer::after(POLL_INTERVAL).await;
        false
    };
    smol::future::or(signal, timeout).await
}

/// Returns how long callers may cache a lookup; zero without a configuration, since the host has not
/// answered any then
fn lookup_lifetime(host: &Host) -> Duration {
    let revision = host.revision();
    match revision.number {
        0 => Duration::ZERO,
        _ => revision.document.lookup_lifetime,
    }
}

/// Returns the longest time that a request in flight may take
fn max_request_duration(host: &Host) -> Duration {
    let revision = host.revision();
    let services = revision.document.services.values();
    let max_deadline = services.map(|service| service.deadline).max();
    max_deadline.unwrap_or_default().max(drain::STOP_TIMEOUT)
}
