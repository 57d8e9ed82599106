//! Planned stops.
//!
//! A stopping host tells the others at once, so that look-ups no longer offer it and its slots get
//! another owner. It goes on serving the callers that cached a look-up until that has run out,
//! hands its once-only table over, and ends when nothing runs any more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::stream::{Stream, StreamExt};

use crate::drain::{self, Phase, Progress};
use crate::entry::{Event, Host, handover};
use crate::peer::Link;

/// Time between looks at what still runs
const LOOK: Duration = Duration::from_millis(20);

/// Stop; a further signal ends the wait for callers that cached a look-up
pub async fn stop(host: &Arc<Host>, link: &Link, mut signals: impl Stream + Unpin) {
    let begun = Instant::now();
    host.begin_stop();
    host.record_event(Event::new("drain", &"planned stop begins"));
    let mut stop = drain::Stop::new(begun, lifetime(host), longest(host));
    let mut is_handed_over = false;
    loop {
        let progress = Progress {
            running: host.in_flight_count(),
            is_handed_over,
        };
        match stop.advance(Instant::now(), progress) {
            Phase::Done => break,
            Phase::HandingOver => {
                let limit = stop.deadline().unwrap_or(begun);
                handover::hand_over(host, link, limit).await;
                is_handed_over = true;
            }
            Phase::Serving if hurried(&mut signals).await => stop.skip_lookup_wait(Instant::now()),
            Phase::Serving => {}
            Phase::Draining => {
                Timer::after(LOOK).await;
            }
        }
    }
    let left = host.in_flight_count();
    let text = format!("planned stop took {:?}, {left} left", begun.elapsed());
    host.record_event(Event::new("drain", &text));
}

/// Whether a signal comes within a look
async fn hurried(signals: &mut (impl Stream + Unpin)) -> bool {
    let signal = async { signals.next().await.is_some() };
    let quiet = async {
        Timer::after(LOOK).await;
        false
    };
    smol::future::or(signal, quiet).await
}

/// Time for which callers may keep a look-up; zero for a host that never answered one
fn lifetime(host: &Host) -> Duration {
    let revision = host.revision();
    match revision.number {
        0 => Duration::ZERO,
        _ => revision.document.lookup_lifetime,
    }
}

/// Longest time that a request in progress may take
fn longest(host: &Host) -> Duration {
    let revision = host.revision();
    let services = revision.document.services.values();
    let longest = services.map(|service| service.deadline).max();
    longest.unwrap_or_default().max(drain::STOP_TIMEOUT)
}
