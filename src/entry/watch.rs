//! Configuration from the platform, and the clock of the decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::config::{OBJECT_NAME, Revision};
use crate::entry::{Host, lock};
use crate::object::Backoff;

/// Longest wait of one watch
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between looks whether this host is to ask the platform
const LOOK: Duration = Duration::from_secs(1);

/// Ticks of the slots for one of the view on other hosts
const SLOW: u32 = 5;

/// Time between ticks of the decisions
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Follow the configuration for ever
///
/// Two hosts of a zone ask the platform; the others hear of a new number by their heartbeats.
pub async fn watch_configuration(host: Arc<Host>) {
    let mut version = 0;
    let mut backoff = Backoff::default();
    loop {
        if host.revision().number > 0 && !lock(&host.view).is_watcher() {
            Timer::after(LOOK).await;
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
        let failed = match read {
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
        if failed {
            Timer::after(backoff.record_failure(fastrand::f64())).await;
            continue;
        }
        backoff.record_success();
        host.record_platform_contact();
    }
}

/// Put a configuration in force that came as JSON
pub fn apply_json(host: &Host, body: &[u8]) -> bool {
    match Revision::decode(body) {
        Ok(revision) => host.apply(revision),
        Err(error) => {
            log::warn!("configuration cannot be read: {error}; check the platform's object");
            false
        }
    }
}

/// Put in force what another host sent; `false` if all of the configuration is needed
pub fn apply_update(host: &Host, update: &[u8]) -> bool {
    match host.revision().apply_update(update) {
        Ok(revision) => {
            host.apply(revision);
            true
        }
        Err(error) => {
            log::warn!("update from a peer: {error}");
            false
        }
    }
}

/// Let waits expire for ever
pub async fn run_clock(host: Arc<Host>) {
    let mut ticks = 0_u32;
    loop {
        Timer::after(TICK_INTERVAL).await;
        ticks = ticks.wrapping_add(1);
        let start = Instant::now();
        host.tick_slots(start);
        if ticks.is_multiple_of(SLOW) {
            host.tick(start);
        }
        host.metrics.control_time(start.elapsed());
    }
}
