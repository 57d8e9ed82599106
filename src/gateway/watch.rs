//! Follows the store: one watch per kind of object, at the store or at a host that reads the store.
//!
//! A watch on a stalled connection shows no changes until it times out, so reports of other hosts
//! carry their revisions; a host that is behind opens its watch again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::apply::{apply_event, apply_list};
use super::origin::Origin;
use super::source::{Resync, Source, is_replaced, sources, watch_wait};
use super::{Gateway, era, origin};
use crate::object::Backoff;
use crate::platform::store::{Consistency, Error, Kind, Position, Session};

/// Minimum and maximum backoff after a failed call; a new configuration must be active within two
/// seconds
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(500));

/// Interval at which a task checks whether the store may be called again
const STORE_GATE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a follower checks that its source is still a reader
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after changes of kinds that change often, so that changes are read in batches; a fraction
/// of the seconds for which a leaving endpoint still serves
const BATCH_DELAY: Duration = Duration::from_millis(400);

/// Delay after a failure at a reader
const READER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long a starting host waits for the list of hosts before it reads the other kinds
const HOSTS_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which it checks for that list
const HOSTS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time per host of a region over which its followers spread lists that they need at the same time
const LIST_DELAY_PER_HOST: Duration = Duration::from_millis(5);

/// Time after a failure at which the preferred source is tried again
const PREFERRED_SOURCE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Progress of following one kind
#[derive(Debug, Default)]
struct Progress {
    position: Option<Position>,
    /// Source of the last answer
    answered_by: Option<Source>,
    /// Index in the list of sources
    source_index: usize,
    /// Number of consecutive failures
    failures: usize,
    /// Whether a call to the store failed since the last success
    has_store_failed: bool,
    /// Whether a reader answered since the last success that it does not read the store itself
    is_reader_lost: bool,
    last_failure: Option<Instant>,
}

impl Progress {
    /// Prepares for continuing at another source, or at the same one after a failure
    ///
    /// A watch at the store that is resumed right after it broke may miss the changes in between, as
    /// the store drops its history; a list contains them. Hosts say so if their history has a gap.
    fn forget_position_at(&mut self, next: Source) {
        if next.is_store {
            self.position = None;
        }
    }
}

/// Waits until the list of hosts is read, as one of them may have what this host needs
async fn wait_for_hosts(gateway: &Gateway) {
    let deadline = Instant::now() + HOSTS_TIMEOUT;
    while !gateway.mirror.borrow().was_read(Kind::Hosts) && Instant::now() < deadline {
        Timer::after(HOSTS_CHECK_INTERVAL).await;
    }
}

/// Waits until this host may call the store
async fn wait_for_store(gateway: &Gateway) {
    loop {
        let wait = gateway.enter_store(Instant::now());
        if wait.is_zero() {
            return;
        }
        Timer::after(wait.min(STORE_GATE_INTERVAL)).await;
    }
}

/// Records a failed call, so that sources are avoided that fail all followers alike
fn record_source_failure(
    gateway: &Gateway,
    kind: Kind,
    source: Source,
    progress: &mut Progress,
    error: &Error,
) {
    let now = Instant::now();
    if !source.is_store {
        progress.is_reader_lost |= matches!(error, Error::Rejected(_));
        if matches!(error, Error::Unreachable(_)) {
            let mut fleet = gateway.fleet.borrow_mut();
            if let Some(host) = fleet.host_at(source.address) {
                fleet.record_reader_failure(now, &host);
            }
        }
        return;
    }
    progress.has_store_failed = true;
    gateway.record_store_error(now, error);
    // Followers go on with what they have while a broken watch is replaced.
    if progress.failures > 1 {
        gateway.mirror.borrow_mut().set_direct(kind, false);
        let own = gateway.settings.borrow().host.clone();
        gateway.fleet.borrow_mut().record_reader_failure(now, &own);
    }
}

/// What ended a call to a source
enum Step {
    /// The call itself, with its result
    Finished(Result<Position, Error>),
    /// A reason to list the kind again
    Resync(Resync),
    /// The host that was followed is no reader any more, or this host became one
    SourceReplaced,
}

/// Returns the index of the source to read again
fn index_of(sources: &[Source], resync: Resync) -> usize {
    let is_wanted = |source: &Source| match resync {
        Resync::Reader(address) => source.address == address,
        Resync::Store => source.is_store,
    };
    sources.iter().position(is_wanted).unwrap_or(0)
}

/// Follows one kind forever; a message on `resync` makes it list the kind again
pub async fn follow(gateway: Rc<Gateway>, kind: Kind, resync: Receiver<Resync>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut backoff = Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1);
    let mut progress = Progress::default();
    if kind != Kind::Hosts {
        wait_for_hosts(&gateway).await;
    }
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
        if source.is_store {
            wait_for_store(&gateway).await;
        }
        let polled = async {
            Step::Finished(poll_source(&gateway, &mut session, kind, &progress, source).await)
        };
        let is_listing = progress.position.is_none();
        let source_index = progress.source_index;
        let resync_requested = async {
            if source.is_store && is_listing {
                // The store's list contains the newer revisions, but may be slow on a busy link.
                // Restarting it at each change would never finish, so the message waits until the
                // list is complete. A list from a reader may be abandoned, as the reader may be too
                // busy to answer.
                return std::future::pending().await;
            }
            loop {
                // The sender is never dropped while the process runs.
                let Ok(resync) = resync.recv().await else {
                    continue;
                };
                if !is_listing || resync != Resync::Reader(source.address) {
                    log::info!("{kind:?}: other hosts have newer revisions: {resync:?}");
                    break Step::Resync(resync);
                }
            }
        };
        let source_replaced = async {
            while !is_replaced(source, source_index, &self::sources(&gateway)) {
                Timer::after(SOURCE_CHECK_INTERVAL).await;
            }
            Step::SourceReplaced
        };
        let result = resync_requested.or(polled).or(source_replaced).await;
        let calls = session.take_call_count();
        if source.is_store {
            gateway.metrics.count_store_calls(kind, calls);
        }
        match result {
            Step::Finished(Ok(next)) => {
                if progress.answered_by != Some(source) {
                    progress.answered_by = Some(source);
                    origin::record_source(&gateway, kind, source);
                }
                backoff.record_success();
                progress.failures = 0;
                progress.is_reader_lost = false;
                progress.has_store_failed = false;
                progress.position = Some(next);
                continue;
            }
            Step::Finished(Err(error @ (Error::Compacted | Error::NewEra(_)))) => {
                log::info!("{kind:?}: {error}; listing all objects again");
                progress.position = None;
                if !source.is_store {
                    // All followers of a reader notice at the same time.
                    Timer::after(list_delay(&gateway)).await;
                }
                continue;
            }
            Step::Finished(Err(error)) => {
                progress.failures += 1;
                record_source_failure(&gateway, kind, source, &mut progress, &error);
                if progress.failures >= sources.len() {
                    mark_store_lost(&gateway, kind, &error);
                    Timer::after(backoff.record_failure(fastrand::f64())).await;
                } else if !source.is_store && gateway.mirror.borrow().was_read(kind) {
                    Timer::after(READER_RETRY_DELAY).await;
                }
            }
            Step::SourceReplaced => {
                log::info!("{kind:?}: the followed host is no longer the source");
                progress.source_index = 0;
                progress.forget_position_at(self::sources(&gateway)[0]);
                session.disconnect();
                continue;
            }
            Step::Resync(resync) => {
                progress.source_index = index_of(&self::sources(&gateway), resync);
                progress.last_failure = Some(Instant::now());
                progress.position = None;
                session.disconnect();
                continue;
            }
        }
        session.disconnect();
        // A watch at the store may break for a transient reason, so it is retried once.
        if !source.is_store || progress.failures > 1 {
            progress.source_index += 1;
        }
        let is_follower = !sources[0].is_store;
        let next = sources[progress.source_index % sources.len()];
        let was_read = gateway.mirror.borrow().was_read(kind);
        if next.is_store && is_follower && was_read && progress.is_reader_lost {
            // The readers can be reached, so hosts that can read the store replace them.
            progress.source_index = 0;
            progress.is_reader_lost = false;
        }
        progress.forget_position_at(sources[progress.source_index % sources.len()]);
        progress.last_failure = Some(Instant::now());
    }
}

/// Returns how current the list of a kind must be
///
/// A host that starts knows nothing yet, so an older list takes nothing back, and the watch that
/// follows tells what came after it. All hosts of a fleet may start at once, and lists are most of
/// their calls. The configuration and the evacuations are one call each.
fn list_consistency(
    gateway: &Gateway,
    kind: Kind,
    progress: &Progress,
    source: Source,
) -> Consistency {
    let is_start = !gateway.mirror.borrow().was_read(kind) && !progress.has_store_failed;
    match kind {
        Kind::Endpoints | Kind::Hosts | Kind::Quarantine if is_start && source.is_store => {
            Consistency::Serializable
        }
        _ => Consistency::Linearizable,
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
        let consistency = list_consistency(gateway, kind, progress, source);
        let (objects, position) = session.list(kind, consistency).await?;
        if position.era < gateway.mirror.borrow().era() {
            return Err(Error::OldEra(position.era));
        }
        era::begin(gateway, kind, position.era, &objects);
        mark_store_regained(gateway, kind, source);
        set_origin(gateway, session, kind, source);
        let now = Instant::now();
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.replace(now, kind, objects.clone(), position);
        drop(mirror);
        apply_list(gateway, kind, &objects);
        return Ok(position);
    };
    let (events, next) = session
        .watch(kind, position, watch_wait(kind, source.is_store))
        .await?;
    mark_store_regained(gateway, kind, source);
    set_origin(gateway, session, kind, source);
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

/// Records from whom the last answer came and how old it is
fn set_origin(gateway: &Gateway, session: &Session, kind: Kind, source: Source) {
    let now = Instant::now();
    let origin = match source.is_store {
        true => Origin::new(now),
        false => Origin::with_copy(now, session.copy_age().unwrap_or_default()),
    };
    gateway.mirror.borrow_mut().set_origin(kind, origin);
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
    if source.is_store {
        gateway.record_store_success();
    }
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
