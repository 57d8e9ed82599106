//! Follows the store: one watch per kind of object, at the store or at a host that reads the store.
//!
//! A watch on a stalled connection shows no changes until it times out, so reports of other hosts
//! carry their revisions; a host that is behind opens its watch again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::{Gateway, era, peers, quarantine};
use crate::object::Backoff;
use crate::platform::record;
use crate::platform::store::{Error, Event, Kind, Object, Position, Session};
use crate::util::stable_hash;

/// How long a watch waits for a change; the store allows at most 30 s
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Minimum and maximum backoff after a failed call; a new configuration must be active within two
/// seconds
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(500));

/// Number of reports that a reader may miss before its followers switch to another
const MAX_MISSED_REPORTS: u32 = 4;

/// Minimum time before followers switch; reports of a busy host may be late
const MIN_READER_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which a follower checks that its source is still a reader
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after changes of kinds that change often, so that changes are read in batches; short
/// against the seconds for which a leaving endpoint still serves
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Time per host of a region over which its followers spread lists that they need at the same time
const LIST_DELAY_PER_HOST: Duration = Duration::from_millis(5);

/// Time after a failure at which the preferred source is tried again
const PREFERRED_SOURCE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Interval at which a starting host without data tries to fetch a mirror from other hosts
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(600);

/// Timeout for fetching a mirror from another host
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1600);

/// Source from which a kind is read
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    address: SocketAddr,
    /// Whether the source is the store itself
    is_store: bool,
}

/// Returns the sources in the order in which they are tried
///
/// Two hosts of a region read the store and the others follow them. A host that cannot reach one
/// source tries the next, so in the end each host can fall back to the store.
fn sources(gateway: &Gateway) -> Vec<Source> {
    let settings = gateway.settings.borrow();
    let fleet = gateway.fleet.borrow();
    let store = Source {
        address: settings.store_address,
        is_store: true,
    };
    let hosts = match fleet.size() <= peers::SMALL_FLEET_HOSTS {
        true => fleet.size(),
        false => fleet.count_in_region(&settings.region),
    };
    let reader_timeout =
        (peers::load_report_interval(hosts) * MAX_MISSED_REPORTS).max(MIN_READER_TIMEOUT);
    let readers = fleet.readers(Instant::now(), &settings.region, reader_timeout);
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
    if is_reader {
        sources.insert(0, store);
        return sources;
    }
    // Readers that lose the store briefly are tried twice before all hosts fall back to the store.
    sources.extend(sources.clone());
    sources.push(store);
    sources
}

/// Progress of following one kind
#[derive(Debug, Default)]
struct Progress {
    position: Option<Position>,
    /// Index in the list of sources
    source_index: usize,
    /// Number of consecutive failures
    failures: usize,
    last_failure: Option<Instant>,
}

/// Follows one kind forever; a message on `resync` switches to the store
pub async fn follow(gateway: Rc<Gateway>, kind: Kind, resync: Receiver<()>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut backoff = Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1);
    let mut progress = Progress::default();
    loop {
        let sources = sources(&gateway);
        if progress
            .last_failure
            .is_some_and(|failed_at| failed_at.elapsed() > PREFERRED_SOURCE_RETRY_DELAY)
        {
            progress.source_index = 0;
            progress.last_failure = None;
        }
        let source = sources[progress.source_index % sources.len()];
        session.set_address(source.address);
        session.set_states_era(!source.is_store);
        let polled =
            async { Some(poll_source(&gateway, &mut session, kind, &progress, source).await) };
        let is_store_listing = source.is_store && progress.position.is_none();
        let resync_requested = async {
            if is_store_listing {
                // The store's list contains the newer revisions, but may be slow on a busy link.
                // Restarting it at each change would never finish, so the message waits until the
                // list is complete. A list from a reader may be abandoned, as the reader may be too
                // busy to answer.
                return std::future::pending().await;
            }
            // The sender is never dropped while the process runs.
            let _ = resync.recv().await;
            log::info!("{kind:?}: other hosts have newer revisions; switching to the store");
            None
        };
        let source_replaced = async {
            if source.is_store {
                return std::future::pending().await;
            }
            while self::sources(&gateway).contains(&source) {
                Timer::after(SOURCE_CHECK_INTERVAL).await;
            }
            log::info!("{kind:?}: the reader is no longer a source; switching to the store");
            None
        };
        let result = resync_requested.or(polled).or(source_replaced).await;
        if source.is_store {
            gateway
                .metrics
                .count_store_calls(kind, session.take_call_count());
        }
        match result {
            Some(Ok(next)) => {
                backoff.record_success();
                progress.failures = 0;
                progress.position = Some(next);
                continue;
            }
            Some(Err(error @ (Error::Compacted | Error::NewEra(_)))) => {
                log::info!("{kind:?}: {error}; listing all objects again");
                progress.position = None;
                if !source.is_store {
                    // All followers of a reader notice at the same time.
                    Timer::after(list_delay(&gateway)).await;
                }
                continue;
            }
            Some(Err(error)) => {
                progress.failures += 1;
                gateway.mirror.borrow_mut().set_direct(kind, false);
                if progress.failures >= sources.len() {
                    mark_store_lost(&gateway, kind, &error);
                    Timer::after(backoff.record_failure(fastrand::f64())).await;
                } else if !source.is_store {
                    Timer::after(BATCH_DELAY).await;
                }
            }
            None => {
                progress.source_index = self::sources(&gateway)
                    .iter()
                    .position(|source| source.is_store)
                    .unwrap_or(0);
                progress.last_failure = Some(Instant::now());
                progress.position = None;
                session.disconnect();
                continue;
            }
        }
        session.disconnect();
        // A watch that is resumed right after it broke may miss the changes in between, as the
        // store drops its history; a list contains them.
        progress.position = None;
        // A watch at the store may break for a transient reason, so it is retried once.
        if !source.is_store || progress.failures > 1 {
            progress.source_index += 1;
        }
        progress.last_failure = Some(Instant::now());
    }
}

async fn poll_source(
    gateway: &Rc<Gateway>,
    session: &mut Session,
    kind: Kind,
    progress: &Progress,
    source: Source,
) -> Result<Position, Error> {
    let Some(position) = progress.position else {
        let (objects, position) = session.list(kind).await?;
        if position.era < gateway.mirror.borrow().era() {
            return Err(Error::OldEra(position.era));
        }
        era::begin(gateway, kind, position.era, &objects);
        mark_store_regained(gateway, kind, source);
        let now = Instant::now();
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.replace(now, kind, objects.clone(), position);
        drop(mirror);
        apply_list(gateway, kind, &objects);
        return Ok(position);
    };
    let (events, next) = session.watch(kind, position, WATCH_WAIT).await?;
    mark_store_regained(gateway, kind, source);
    gateway
        .mirror
        .borrow_mut()
        .apply_changes(kind, &events, next.revision);
    let has_changes = !events.is_empty();
    for event in events {
        era::settle(gateway, kind, &event);
        apply_event(gateway, kind, event);
    }
    if has_changes && source.is_store && matches!(kind, Kind::Endpoints | Kind::Hosts) {
        // Batches changes that follow each other closely.
        Timer::after(BATCH_DELAY).await;
    }
    Ok(next)
}

/// Draws the delay after which a follower lists a kind again when all followers of a reader have to
fn list_delay(gateway: &Gateway) -> Duration {
    let region = gateway.settings.borrow().region.clone();
    let hosts = gateway.fleet.borrow().count_in_region(&region) as u32;
    (LIST_DELAY_PER_HOST * hosts).mul_f64(fastrand::f64())
}

fn mark_store_lost(gateway: &Gateway, kind: Kind, error: &Error) {
    if gateway
        .mirror
        .borrow_mut()
        .mark_unreachable(Instant::now(), kind)
    {
        let fields = [
            ("kind", format!("{kind:?}").into()),
            ("error", error.to_string().into()),
        ];
        gateway.recorder.event("store-lost", &fields);
    }
}

fn mark_store_regained(gateway: &Gateway, kind: Kind, source: Source) {
    let now = Instant::now();
    gateway
        .mirror
        .borrow_mut()
        .set_direct(kind, source.is_store);
    let Some(outage) = gateway.mirror.borrow_mut().mark_read(now, kind) else {
        return;
    };
    if kind == Kind::Endpoints {
        gateway.catalog.borrow_mut().record_outage_end(now);
    }
    let fields = [
        ("kind", format!("{kind:?}").into()),
        ("dark_ms", (outage.as_millis() as u64).into()),
    ];
    gateway.recorder.event("store-regained", &fields);
}

/// Applies a complete list
pub fn apply_list(gateway: &Gateway, kind: Kind, objects: &[Object]) {
    let now = Instant::now();
    match kind {
        Kind::Configuration => objects
            .iter()
            .for_each(|object| apply_configuration(gateway, object)),
        Kind::Endpoints => {
            let zones = gateway.settings.borrow().zones.clone();
            let list = objects
                .iter()
                .filter_map(|object| record::decode_endpoint(object, &zones));
            let started = gateway.catalog.borrow_mut().replace(now, list.collect());
            for id in &started {
                gateway.pool.borrow_mut().remove_endpoint(id);
                quarantine::record_endpoint_start(gateway, id);
            }
        }
        Kind::Evacuations => apply_evacuations(gateway),
        Kind::Hosts => {
            let list = objects.iter().filter_map(record::decode_member).collect();
            gateway.fleet.borrow_mut().replace(list);
        }
        Kind::Quarantine => quarantine::apply_list(gateway, objects),
    }
}

/// Applies one change
fn apply_event(gateway: &Gateway, kind: Kind, event: Event) {
    match (kind, event) {
        (Kind::Configuration, Event::Put(object)) => apply_configuration(gateway, &object),
        (Kind::Configuration, Event::Removed(name)) => {
            log::warn!("configuration {name} was deleted; keeping the current one");
        }
        (Kind::Endpoints, event) => apply_endpoint(gateway, event),
        (Kind::Evacuations, _) => apply_evacuations(gateway),
        (Kind::Hosts, Event::Put(object)) => match record::decode_member(&object) {
            Some(member) => gateway.fleet.borrow_mut().put(member),
            None => log::warn!("cannot read the entry of host {}", object.name),
        },
        (Kind::Hosts, Event::Removed(name)) => {
            gateway.fleet.borrow_mut().remove(Instant::now(), &name);
            gateway.pool.borrow_mut().remove_host(&name);
        }
        (Kind::Quarantine, event) => quarantine::apply_event(gateway, event),
    }
}

fn apply_configuration(gateway: &Gateway, object: &Object) {
    if object.name != record::CONFIGURATION_NAME || !era::may_configure(gateway) {
        return;
    }
    match record::decode_configuration(object) {
        Ok(configuration) => {
            gateway.apply(configuration);
        }
        Err(error) => log::error!("configuration is invalid: {error}; keeping the current one"),
    }
}

fn apply_endpoint(gateway: &Gateway, event: Event) {
    let now = Instant::now();
    let zones = gateway.settings.borrow().zones.clone();
    let (name, endpoint) = match &event {
        Event::Put(object) => (&object.name, record::decode_endpoint(object, &zones)),
        Event::Removed(name) => (name, None),
    };
    let mut catalog = gateway.catalog.borrow_mut();
    let Some(endpoint) = endpoint else {
        // An entry that became invalid removes its endpoint at once, like a deleted entry.
        catalog.remove(now, name);
        gateway
            .recorder
            .event("endpoint-gone", &[("endpoint", name.as_str().into())]);
        return;
    };
    let fields = [
        ("endpoint", name.as_str().into()),
        ("service", endpoint.service.as_str().into()),
        ("draining", endpoint.draining.into()),
        (
            "cold_ms",
            (endpoint.warmup_remaining.as_millis() as u64).into(),
        ),
    ];
    let change = catalog.put(now, endpoint);
    drop(catalog);
    match change {
        crate::catalog::Change::Started => {
            gateway.pool.borrow_mut().remove_endpoint(name);
            quarantine::record_endpoint_start(gateway, name);
            gateway.recorder.event("endpoint-started", &fields);
        }
        crate::catalog::Change::Updated => gateway.recorder.event("endpoint-changed", &fields),
        crate::catalog::Change::Unchanged => {}
    }
}

fn apply_evacuations(gateway: &Gateway) {
    let zones = record::evacuated_zones(era::evacuations(gateway).iter());
    let configuration = gateway.configuration();
    let warmup = |service: &crate::id::ServiceId| {
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service));
        service.map_or(Duration::ZERO, |service| service.warmup)
    };
    let mut catalog = gateway.catalog.borrow_mut();
    if *catalog.evacuated_zones() != zones {
        let names: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
        gateway
            .recorder
            .event("evacuation", &[("zones", names.join(" ").into())]);
    }
    catalog.set_evacuated_zones(Instant::now(), zones, warmup);
}

/// Fetches a mirror from other hosts while the store is unreachable and no data is known
pub async fn bootstrap(gateway: Rc<Gateway>) {
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
