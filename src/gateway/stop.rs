//! Planned stop: leave the directory, finish the requests in flight, close the connections.
//!
//! The host keeps serving while callers may still have it in a directory answer, and sends
//! `Connection: close` with each answer. Requests that would not end before the process does are
//! refused ([`crate::drain::Grace`]). In the second half of the grace period the host ends once no
//! request is in flight.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::channel::Sender;
use smol::{Task, Timer};

use super::{Gateway, peers};
use crate::drain::Grace;

/// Time before the end of the grace period at which the process ends in any case
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Time before that at which the last requests end, so that their answers reach the callers
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Maximum wait for open connections at the end; longer than a caller takes to send a request on a
/// connection that it has just opened
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which requests in flight and open connections are checked
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Runs a planned stop; `accept_task` accepts callers until `stop_accepting` is dropped
pub async fn stop(gateway: &Rc<Gateway>, accept_task: Task<()>, stop_accepting: Sender<()>) {
    let started = Instant::now();
    let grace_period = gateway.settings.borrow().grace_period;
    let grace = Grace::new(started, grace_period, EXIT_MARGIN + ANSWER_MARGIN);
    gateway.stop.set(Some(grace));
    gateway.recorder.event(
        "stopping",
        &[("running", gateway.running_requests.get().into())],
    );
    let leaving_gateway = gateway.clone();
    let deregistration = gateway.spawn(async move {
        peers::remove_own_entry(&leaving_gateway, started + grace_period / 2).await
    });
    Timer::at(grace.serving_until).await;
    let deadline = started + grace_period.saturating_sub(EXIT_MARGIN);
    while Instant::now() < deadline && gateway.running_requests.get() > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
    gateway.stop.set(Some(grace.closed(Instant::now())));
    // From here on new connections are refused and callers try another host; connected callers are
    // still answered.
    drop(stop_accepting);
    accept_task.await;
    Timer::after(POLL_INTERVAL).await;
    let deadline = deadline.min(Instant::now() + LINGER_TIMEOUT);
    while Instant::now() < deadline && gateway.open_connections.get() > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
    while Instant::now() < deadline && gateway.running_requests.get() > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
    drop(deregistration);
    gateway.recorder.event(
        "stopped",
        &[("running", gateway.running_requests.get().into())],
    );
}
