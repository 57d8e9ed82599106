//! Configuration updates, and the timer of the periodic work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::config::{OBJECT_NAME, Revision};
use crate::entry::{Host, lock};
use crate::object::Backoff;

/// Longest wait of one watch request
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks whether this host has become a watcher of its zone
const WATCHER_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Slot ticks per tick of the membership view
const SLOT_TICKS_PER_VIEW_TICK: u32 = 5;

/// Interval between slot ticks
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Applies configuration updates in an endless loop
///
/// Two watchers per zone query the platform; the other hosts receive updates with heartbeats.
pub async fn watch_configuration(host: Arc<Host>) {
    let mut version = 0;
    let mut backoff = Backoff::default();
    loop {
        if host.revision().number > 0 && !lock(&host.view).is_watcher() {
            Timer::after(WATCHER_POLL_INTERVAL).await;
            continue;
        }
        let read = match version {
            0 => host.platform.read(OBJECT_NAME).await,
            _ => {
                host.platform
                    .watch(OBJECT_NAME, version, WATCH_TIMEOUT)
                    .await
            }
        };
        let has_failed = match read {
            Ok(Some(object)) => {
                version = object.version;
                apply_json(&host, &object.body);
                false
            }
            Ok(None) => version == 0,
            Err(error) => {
                log::debug!("{error}");
                true
            }
        };
        if has_failed {
            Timer::after(backoff.record_failure(fastrand::f64())).await;
            continue;
        }
        backoff.record_success();
        host.record_platform_contact();
    }
}

/// Puts a configuration in force that is encoded as JSON
pub fn apply_json(host: &Host, body: &[u8]) -> bool {
    match Revision::decode(body) {
        Ok(revision) => host.apply(revision),
        Err(error) => {
            log::warn!("cannot decode the configuration: {error}; check the platform's object");
            false
        }
    }
}

/// Applies an update from another host; returns `false` if the full configuration is needed
pub fn apply_update(host: &Host, update: &[u8]) -> bool {
    match host.revision().apply_update(update) {
        Ok(revision) => {
            host.apply(revision);
            true
        }
        Err(error) => {
            log::warn!("cannot apply the update from a peer: {error}");
            false
        }
    }
}

/// Ticks the slots, and less often the membership view, in an endless loop
pub async fn run_clock(host: Arc<Host>) {
    let mut ticks = 0_u32;
    loop {
        Timer::after(TICK_INTERVAL).await;
        ticks = ticks.wrapping_add(1);
        let start = Instant::now();
        host.tick_slots(start);
        if ticks.is_multiple_of(SLOT_TICKS_PER_VIEW_TICK) {
            host.tick(start);
        }
        host.metrics.record_control_time(start.elapsed());
    }
}
