//! Spreads what hosts hold over after the store came back from an older copy.
//!
//! A host that had not heard of a change before the store lost it cannot learn it from the store any
//! more. So reports carry a digest of what their sender holds, and a host that hears of another digest
//! than its own fetches what it stands for and adds it to its own. What the store has settled since
//! is not taken over again.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;

use super::holdover::{Digest, Report, digest};
use super::{Gateway, era};
use crate::id::HostId;
use crate::platform::store::{Era, Kind};

/// Interval at which a host looks for what others hold; draws up to twice as long, so that hosts do
/// not all fetch from the first one that holds something
const SYNC_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which the same digest is fetched again if it still differs from the own one; doubled
/// each time. A host that has not read the store's new era may not take over everything at once.
const REFETCH_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of digests that are remembered as fetched
const MAX_FETCHED: usize = 256;

/// What other hosts hold, as their reports say
#[derive(Debug, Default)]
pub struct Offers {
    /// Digests by host that differ from this host's own
    by_host: BTreeMap<HostId, Digest>,
    /// Digests that this host has fetched: when it may do so again, and the delay after that
    fetched: BTreeMap<Digest, (Instant, Duration)>,
    /// Latest era of the store that another host has read
    latest_era: Era,
}

impl Offers {
    /// Records what a host's report says; `own` is this host's digest
    pub fn record(&mut self, now: Instant, host: &HostId, offered: Digest, own: Digest, era: Era) {
        if era > self.latest_era {
            self.latest_era = era;
            self.fetched.clear();
        }
        let is_fetched = self
            .fetched
            .get(&offered)
            .is_some_and(|(until, _)| now < *until);
        if offered == 0 || offered == own || is_fetched {
            self.by_host.remove(host);
            return;
        }
        self.by_host.insert(host.clone(), offered);
    }

    /// Takes one of the offers; `random` selects it
    pub fn take(&mut self, random: usize) -> Option<(HostId, Digest)> {
        let count = self.by_host.len();
        let (host, _) = self.by_host.iter().nth(random.checked_rem(count)?)?;
        let host = host.clone();
        let offered = self.by_host.remove(&host)?;
        Some((host, offered))
    }

    /// Records that what a digest stands for was fetched
    pub fn record_fetched(&mut self, now: Instant, fetched: Digest) {
        if self.fetched.len() >= MAX_FETCHED {
            self.fetched.clear();
        }
        let last = self.fetched.get(&fetched);
        let delay = last.map_or(REFETCH_DELAY, |(_, delay)| *delay);
        self.fetched.insert(fetched, (now + delay, delay * 2));
        self.by_host.retain(|_, offered| *offered != fetched);
    }

    /// Returns the latest era of the store that another host has read
    pub fn latest_era(&self) -> Era {
        self.latest_era
    }
}

/// Returns the digest of what this host holds
///
/// A host that has not read the latest era of the store yet holds all that it has read before.
pub fn own_digest(gateway: &Gateway) -> Digest {
    let now = Instant::now();
    let mirror = gateway.mirror.borrow();
    let latest_era = gateway.offers.borrow().latest_era().max(mirror.era());
    let holdover = gateway.holdover.borrow();
    let kinds = [Kind::Configuration, Kind::Evacuations];
    let held = kinds.into_iter().flat_map(|kind| {
        let is_before = mirror.position(kind).era < latest_era;
        let known = mirror.objects(kind).filter(move |_| is_before);
        let held = holdover.objects(kind).chain(known);
        held.map(move |object| (kind, object))
    });
    let catalog = gateway.catalog.borrow();
    let withdrawn = match catalog.restore_remaining(now).is_zero() {
        true => Vec::new(),
        false => catalog.withdrawn(),
    };
    digest(held, &withdrawn)
}

/// Fetches what other hosts hold, forever
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        Timer::after(SYNC_INTERVAL.mul_f64(1.0 + fastrand::f64())).await;
        let offer = gateway.offers.borrow_mut().take(fastrand::usize(..));
        let Some((host, offered)) = offer else {
            continue;
        };
        let address = {
            let fleet = gateway.fleet.borrow();
            let mut members = fleet.members();
            let member = members.find(|member| member.host == host);
            member.and_then(|member| member.control)
        };
        let Some(address) = address else {
            continue;
        };
        match era::fetch_report(&gateway, address).await {
            Ok(report) => {
                let now = Instant::now();
                gateway.offers.borrow_mut().record_fetched(now, offered);
                adopt(&gateway, &host, report);
            }
            Err(error) => log::info!("cannot ask {host} what it holds: {error}"),
        }
    }
}

/// Adds what another host holds to what this one does
fn adopt(gateway: &Gateway, host: &HostId, mut report: Report) {
    let latest_era = gateway.offers.borrow().latest_era();
    let has_begun = gateway.mirror.borrow().position(Kind::Endpoints).era >= latest_era;
    if has_begun {
        let remaining = gateway.catalog.borrow().restore_remaining(Instant::now());
        report.restore_remaining = report.restore_remaining.min(remaining);
    }
    era::adopt(gateway, host, report);
    for kind in [Kind::Configuration, Kind::Evacuations] {
        era::apply(gateway, kind);
    }
}
