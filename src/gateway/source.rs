//! Where a host reads the objects of the store: from the store itself, or from a host that does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Gateway, Settings};
use crate::fleet::{self, Fleet, LAG_TOLERANCE, LagDetector, Watermark};
use crate::id::HostId;
use crate::platform::store::Kind;
use crate::util::stable_hash;

/// Minimum and maximum wait of a watch at the store for kinds whose changes must be in force within
/// five seconds; leaves time for the timeout of the watch and for a list
const STORE_WAIT_RANGE: (Duration, Duration) =
    (Duration::from_millis(2000), Duration::from_millis(4000));

/// The same for the hosts, as callers may be told of a failed host for a few seconds more
const HOSTS_WAIT_RANGE: (Duration, Duration) =
    (Duration::from_millis(3000), Duration::from_millis(5000));

/// Wait of other watches; the store allows at most 30 s
const LONG_WAIT: Duration = Duration::from_secs(10);

/// Maximum wait of a watch whose answers are passed on; a fraction of the age at which a copy is not
/// served any more
const RELAYED_WAIT: Duration = Duration::from_millis(500);

/// Number of hosts besides the readers of the region that are tried before the store
const MAX_SUBSTITUTES: usize = 3;

/// Number of reports that a reader may miss before its followers switch to another
const MAX_MISSED_REPORTS: u32 = 4;

/// Minimum time before followers switch; reports of a busy host may be late
const MIN_READER_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a follower may stay behind its reader before it lists the kind; reading the changes takes
/// less, unless they lack something
const LIST_LAG_TOLERANCE: Duration = Duration::from_millis(1000);

/// Time per host of a region over which its followers spread lists that they need at the same time
const LIST_DELAY_PER_HOST: Duration = Duration::from_millis(5);

/// Share of the time in which a change must be in force that such a delay may take
const MAX_LIST_DELAY_SHARE: f64 = 0.1;

/// Source from which a kind is read
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Address of the store, or of the control port of a host
    pub address: SocketAddr,
    /// Whether the source is the store itself
    pub is_store: bool,
}

/// Returns the sources in the order in which they are tried
///
/// Two hosts of a region read the store and the others follow them. A host that cannot reach one
/// source tries the next, so in the end each host can fall back to the store. A host that started so
/// lately that not all others have reported to it asks the listed hosts that are likely to be readers.
///
/// If the store refuses the readers of a region, its hosts read from others there that it serves, and
/// its readers from those of other regions, whose copies they pass on.
pub fn sources(gateway: &Gateway) -> Vec<Source> {
    let settings = gateway.settings.borrow();
    let fleet = gateway.fleet.borrow();
    let store = Source {
        address: settings.store_address,
        is_store: true,
    };
    let hosts = match fleet.size() <= fleet::SMALL_FLEET_HOSTS {
        true => fleet.size(),
        false => fleet.count_in_region(&settings.region),
    };
    let reader_timeout =
        (fleet::load_report_interval(hosts) * MAX_MISSED_REPORTS).max(MIN_READER_TIMEOUT);
    let now = Instant::now();
    let readers = match now < gateway.started_at + reader_timeout {
        true => fleet.likely_readers(now, &settings.region),
        false => fleet.readers(now, &settings.region, reader_timeout),
    };
    let is_reader = readers.iter().any(|member| member.host == settings.host);
    let others = readers.iter().filter(|member| member.host != settings.host);
    let mut sources: Vec<Source> = others
        .filter_map(|member| member.control)
        .map(|address| Source {
            address,
            is_store: false,
        })
        .collect();
    // Spreads the followers over the readers.
    if stable_hash(&settings.host) % 2 == 1 {
        sources.reverse();
    }
    let substitutes = substitutes(&fleet, now, &settings, is_reader, &sources);
    if is_reader {
        sources.insert(0, store);
        sources.extend(substitutes);
        return sources;
    }
    // Readers that lose the store briefly are tried twice before all hosts fall back to the store.
    sources.extend(sources.clone());
    sources.extend(substitutes);
    sources.push(store);
    sources
}

/// Returns hosts that read the store though they are not readers of this region, nearest first
fn substitutes(
    fleet: &Fleet,
    now: Instant,
    settings: &Settings,
    is_reader: bool,
    readers: &[Source],
) -> Vec<Source> {
    let mut members: Vec<_> = fleet
        .store_readers(now)
        .map(|(member, _)| member)
        .filter(|member| is_reader || member.region == settings.region)
        .collect();
    // Spreads the hosts that need one over those that there are.
    members.sort_by_cached_key(|member| {
        let is_far = member.region != settings.region;
        (is_far, stable_hash(&(&settings.host, &member.host)))
    });
    let addresses = members.into_iter().filter_map(|member| member.control);
    addresses
        .map(|address| Source {
            address,
            is_store: false,
        })
        .filter(|source| !readers.contains(source))
        .take(MAX_SUBSTITUTES)
        .collect()
}

/// Returns whether a source is to be left for another one
///
/// A host that becomes a reader leaves the host that it followed at once: two hosts that start
/// together take each other for the reader until they have listed themselves, and neither would hear
/// of a change while each waits for the other. `was_reader` is whether it was one when it chose the
/// source, `is_served` whether the store serves it; a reader that the store refuses keeps its source.
pub fn is_replaced(source: Source, was_reader: bool, is_served: bool, sources: &[Source]) -> bool {
    let becomes_reader = sources[0].is_store && !was_reader && is_served;
    !source.is_store && (!sources.contains(&source) || becomes_reader)
}

/// Returns how long a watch of a reader at another host waits for a change
///
/// The reader serves its copy only while it is fresh, and each response states how old the copy is.
pub fn relayed_watch_wait() -> Duration {
    RELAYED_WAIT.mul_f64(0.75 + 0.25 * fastrand::f64())
}

/// Returns how long a watch of a kind waits for a change
///
/// A watch at the store that waits on a connection which lost its response hears nothing until it
/// times out. The waits at the store are therefore short for kinds whose changes must be in force
/// within seconds, and random, so that the readers do not all wait at the same time: the first one
/// whose watch ends tells the others by its reports. Followers wait longer, since the reports of
/// their reader show them what they miss.
pub fn watch_wait(kind: Kind, is_store: bool) -> Duration {
    let (min, max) = match kind {
        Kind::Configuration | Kind::Endpoints | Kind::Evacuations if is_store => STORE_WAIT_RANGE,
        Kind::Hosts if is_store => HOSTS_WAIT_RANGE,
        _ => return LONG_WAIT,
    };
    min + (max - min).mul_f64(fastrand::f64())
}

/// Draws the delay after which a follower lists a kind again when all followers of a reader have to
///
/// Kinds of few objects are read at once: that costs the reader no more than a change of theirs.
pub fn list_delay(gateway: &Gateway, kind: Kind) -> Duration {
    if matches!(kind, Kind::Configuration | Kind::Evacuations) {
        return Duration::ZERO;
    }
    let settings = gateway.settings.borrow();
    let hosts = gateway.fleet.borrow().count_in_region(&settings.region) as u32;
    let max_delay = settings.apply_time.mul_f64(MAX_LIST_DELAY_SHARE);
    (LIST_DELAY_PER_HOST * hosts)
        .min(max_delay)
        .mul_f64(fastrand::f64())
}

/// Reason to read a kind again
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resync {
    /// The reader at this address has newer revisions: read what changed on a new connection, as the
    /// one to it may be lost
    Changes(SocketAddr),
    /// Its changes did not bring what it has: list the kind there
    Reader(SocketAddr),
    /// Other hosts have newer revisions than the source
    Store,
}

impl Resync {
    /// Returns the index of the source to read again
    pub fn index_in(self, sources: &[Source]) -> usize {
        let is_wanted = |source: &Source| match self {
            Self::Changes(address) | Self::Reader(address) => source.address == address,
            Self::Store => source.is_store,
        };
        sources.iter().position(is_wanted).unwrap_or(0)
    }
}

/// Detects kinds whose local state stays behind that of other hosts
#[derive(Debug, Default)]
pub struct LagMonitor {
    /// Behind what the source itself has read
    behind_source: LagDetector<Kind>,
    /// Still behind it, though the changes were read
    still_behind_source: LagDetector<Kind>,
    /// Behind hosts that this one does not follow
    behind_others: LagDetector<Kind>,
}

impl LagMonitor {
    /// Returns the kinds to read again after a report of another host, and from where
    ///
    /// A host that reads the store compares itself with all others. A follower that is behind its
    /// reader reads the changes again, and lists the kind only if that does not help: all followers
    /// are behind at the same time when one reader is slower than the other, and lists of all of them
    /// would slow down the other one. A follower that is behind other hosts only leaves the time to the
    /// reader, which reads the store for all its followers, and reads the store itself after that.
    pub fn observe(
        &mut self,
        gateway: &Gateway,
        now: Instant,
        host: &HostId,
        watermarks: &BTreeMap<Kind, Watermark>,
    ) -> Vec<(Kind, Resync)> {
        let mirror = gateway.mirror.borrow();
        let own = mirror.watermarks();
        let is_ahead = |(kind, remote): (&Kind, &Watermark)| {
            *remote > own.get(kind).copied().unwrap_or_default()
        };
        if !watermarks.iter().any(is_ahead) {
            return Vec::new();
        }
        let sources = sources(gateway);
        let is_reader = sources.first().is_some_and(|source| source.is_store);
        let control = {
            let fleet = gateway.fleet.borrow();
            let mut members = fleet.members();
            let member = members.find(|member| member.host == *host);
            member.and_then(|member| member.control)
        };
        let followed = sources
            .iter()
            .find(|source| !source.is_store && Some(source.address) == control);
        let mut resyncs = Vec::new();
        for (kind, remote) in watermarks {
            let mut changes_resync = None;
            let local = mirror.watermark_against(*kind, *remote);
            let begins_era = remote.era > local.era && !mirror.reads_store(now, *kind);
            let (detector, tolerance, resync) = match followed {
                _ if is_reader && !begins_era => {
                    (&mut self.behind_source, LAG_TOLERANCE, Resync::Store)
                }
                Some(source) if !is_reader && !begins_era => {
                    let detector = &mut self.behind_source;
                    if detector.observe(now, *kind, local, *remote, LAG_TOLERANCE) {
                        changes_resync = Some(Resync::Changes(source.address));
                    }
                    (
                        &mut self.still_behind_source,
                        LIST_LAG_TOLERANCE,
                        Resync::Reader(source.address),
                    )
                }
                _ => (
                    &mut self.behind_others,
                    gateway.era_lag_tolerance,
                    Resync::Store,
                ),
            };
            let is_late = detector.observe(now, *kind, local, *remote, tolerance);
            let resync = is_late.then_some(resync).or(changes_resync);
            resyncs.extend(resync.map(|resync| (*kind, resync)));
        }
        resyncs
    }
}
