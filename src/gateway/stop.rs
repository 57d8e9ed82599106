//! Planned stop: leave the directory, finish what runs, let callers go.
//!
//! The host goes on serving while callers may still name it, with `Connection: close` on each
//! answer. In the second half of the grace time it refuses what comes, since it could not finish
//! it, and ends once nothing runs.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::channel::Sender;
use smol::{Task, Timer};

use super::{Gateway, peers};

/// Part of the grace time in which new requests are served; what takes longer than the other half
/// would be cut
const SERVING: f64 = 0.5;

/// Time before the end of the grace time at which the process ends in any case
const MARGIN: Duration = Duration::from_millis(250);

/// Longest time for which open connections are waited for at the end; longer than a caller takes to
/// send on a connection that it has just opened
const LINGER: Duration = Duration::from_millis(500);

/// Pause between two looks at what still runs
const PAUSE: Duration = Duration::from_millis(25);

/// Run a planned stop; `listening` takes callers until `stop` is dropped
pub async fn stop(gateway: &Rc<Gateway>, listening: Task<()>, stop: Sender<()>) {
    let begun = Instant::now();
    gateway.stopping.set(true);
    gateway
        .recorder
        .event("stopping", &[("running", gateway.running.get().into())]);
    let grace = gateway.settings.borrow().grace_period;
    let leaver = gateway.clone();
    let leaving = gateway.spawn(async move { peers::leave(&leaver, begun + grace / 2).await });
    Timer::at(begun + grace.mul_f64(SERVING)).await;
    gateway.closing.set(true);
    let ends = begun + grace.saturating_sub(MARGIN);
    while Instant::now() < ends && gateway.running.get() > 0 {
        Timer::after(PAUSE).await;
    }
    // From here on callers find no listener and go elsewhere; those that are connected already are
    // still answered.
    drop(stop);
    listening.await;
    Timer::after(PAUSE).await;
    let ends = ends.min(Instant::now() + LINGER);
    while Instant::now() < ends && gateway.open.get() > 0 {
        Timer::after(PAUSE).await;
    }
    while Instant::now() < ends && gateway.running.get() > 0 {
        Timer::after(PAUSE).await;
    }
    drop(leaving);
    gateway
        .recorder
        .event("stopped", &[("running", gateway.running.get().into())]);
}
