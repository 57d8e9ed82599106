//! Start of a host while the store is unreachable: it uses the copy of another host.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::apply::apply_list;
use super::{Gateway, era};
use crate::platform::store::{Kind, Object};

/// Interval at which a starting host without data tries to fetch a mirror from other hosts
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(600);

/// Timeout for fetching a mirror from another host
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1600);

/// Fetches a mirror from other hosts while the store is unreachable and no data is known
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        Timer::after(BOOTSTRAP_INTERVAL).await;
        if gateway.configuration().is_some() && !gateway.catalog.borrow().is_empty() {
            return;
        }
        // A mirror is large; while the store answers, however slowly, it is the better source.
        if !gateway.mirror.borrow().is_store_unreachable() {
            continue;
        }
        let own_address = gateway.settings.borrow().control_address;
        let seeds = gateway.settings.borrow().seed_addresses.clone();
        for seed in seeds.into_iter().filter(|seed| Some(*seed) != own_address) {
            match era::fetch(seed, "/mirror", BOOTSTRAP_TIMEOUT).await {
                Ok(mirror) => {
                    adopt_mirror(&gateway, mirror);
                    break;
                }
                Err(error) => log::debug!("cannot fetch a mirror from {seed}: {error}"),
            }
        }
    }
}

/// Applies the mirror of another host to the kinds that were not read yet
fn adopt_mirror(gateway: &Gateway, peer_mirror: super::Mirror) {
    for kind in Kind::ALL {
        if gateway.mirror.borrow().was_read(kind) {
            continue;
        }
        let objects: Vec<Object> = peer_mirror.objects(kind).cloned().collect();
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.adopt(kind, objects.clone(), peer_mirror.position(kind).era);
        drop(mirror);
        apply_list(gateway, kind, &objects);
    }
    gateway.recorder.event("adopted", &[]);
}
