//! Follows the store: one watch per kind of object, at the store or at a host that reads the store.
//!
//! A watch on a stalled connection shows no changes until it times out, so reports of other hosts
//! carry their revisions; a host that is behind opens its watch again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::apply::{apply_event, apply_list};
use super::origin::Origin;
use super::source::{
    Resync, Source, is_replaced, list_delay, relayed_watch_wait, sources, watch_wait,
};
use super::{Gateway, era, origin};
use crate::fleet::Watermark;
use crate::object::Backoff;
use crate::platform::store::{Consistency, Error, Kind, Object, Position, Session};

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

/// Interval at which a paused task checks whether the store serves this host
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How long a starting host waits for the list of hosts before it reads the other kinds
const HOSTS_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which it checks for that list
const HOSTS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time after a failure at which the preferred source is tried again
const PREFERRED_SOURCE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Progress of following one kind
#[derive(Debug, Default)]
struct Progress {
    position: Option<Position>,
    /// Source of the last answer
    answered_by: Option<Source>,
    /// The same, unless another one is to be tried
    pinned: Option<Source>,
    /// Index in the list of sources
    source_index: usize,
    /// Number of consecutive failures
    failures: usize,
    /// Whether a call to the store failed since the last success
    has_store_failed: bool,
    /// Whether a host answered since the last success that it has no fresh copy
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

    /// Returns to the preferred source some time after a failure, if it may have recovered
    fn prefer_first(&mut self, sources: &[Source], is_served: bool) {
        let is_due = self
            .last_failure
            .is_some_and(|failed_at| failed_at.elapsed() > PREFERRED_SOURCE_RETRY_DELAY);
        let is_fed = self.failures == 0;
        if is_due && (!sources[0].is_store || is_served || !is_fed) {
            self.source_index = 0;
            self.last_failure = None;
        }
        // The list changes while hosts come and go; a source that was found after a failure stays.
        if self.last_failure.is_some()
            && let Some(pinned) = self.pinned
            && let Some(index) = sources.iter().position(|source| *source == pinned)
        {
            self.source_index = index;
        }
    }

    /// Chooses the store for a host whose readers cannot read it, once the store is known to serve it
    fn prefer_store(&mut self, sources: &[Source], is_served: bool) {
        if self.is_reader_lost
            && is_served
            && let Some(index) = sources.iter().position(|source| source.is_store)
        {
            self.source_index = index;
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
        gateway.mirror.borrow_mut().set_served(kind, false);
        progress.is_reader_lost |= matches!(error, Error::Rejected(_) | Error::Behind(_));
        let mut without_source = gateway.without_source.borrow_mut();
        without_source.entry(kind).or_insert(now);
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
    if progress.failures > 1 || gateway.contact.get().is_lost() {
        gateway.mirror.borrow_mut().set_served(kind, false);
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

/// Follows one kind forever; a message on `resync` makes it list the kind again
pub async fn follow(gateway: Rc<Gateway>, kind: Kind, resync: Receiver<Resync>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut backoff = Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1);
    let mut progress = Progress::default();
    // Message that arrived during a list
    let deferred = Cell::new(None);
    if kind != Kind::Hosts {
        wait_for_hosts(&gateway).await;
    }
    loop {
        let sources = sources(&gateway);
        let is_reader = sources[0].is_store;
        let is_served = gateway.contact.get().is_served(Instant::now());
        progress.prefer_first(&sources, is_served);
        if !is_reader {
            progress.prefer_store(&sources, is_served);
        }
        let source = sources[progress.source_index % sources.len()];
        if source.is_store {
            let wait = gateway.enter_store(Instant::now());
            if !wait.is_zero() {
                Timer::after(wait.min(STORE_GATE_INTERVAL)).await;
                // Another host may be able to read it.
                progress.source_index += 1;
                progress.pinned = None;
                continue;
            }
        }
        session.set_address(source.address);
        session.set_states_era(!source.is_store);
        if progress.answered_by != Some(source) {
            // Nobody may follow this host until the new source has answered.
            gateway.mirror.borrow_mut().set_served(kind, false);
        }
        let polled = async {
            let polled = poll_source(&gateway, &mut session, kind, &progress, source, is_reader);
            Step::Finished(polled.await)
        };
        let is_listing = progress.position.is_none();
        let resync_requested = async {
            if source.is_store && is_listing {
                // The store's list contains the newer revisions, but may be slow on a busy link.
                // Restarting it at each change would never finish, so the message waits until the
                // list is complete. A list from a reader may be abandoned for the store, as the reader
                // may be too busy to answer.
                return std::future::pending().await;
            }
            if !is_listing && let Some(resync) = deferred.take() {
                return Step::Resync(resync);
            }
            loop {
                // The sender is never dropped while the process runs.
                let Ok(resync) = resync.recv().await else {
                    continue;
                };
                if let Resync::Changes(address) | Resync::Reader(address) = resync
                    && is_listing
                {
                    deferred.set(Some(Resync::Changes(address)));
                    continue;
                }
                log::info!("{kind:?}: other hosts have newer revisions: {resync:?}");
                break Step::Resync(resync);
            }
        };
        let source_replaced = source_replaced(&gateway, source, is_reader);
        let store_read = source.is_store.then(|| StoreRead::new(&gateway));
        let result = resync_requested.or(polled).or(source_replaced).await;
        drop(store_read);
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
                gateway.without_source.borrow_mut().remove(&kind);
                backoff.record_success();
                progress.failures = 0;
                progress.is_reader_lost = false;
                progress.has_store_failed = false;
                progress.pinned = Some(source);
                progress.position = Some(next);
                continue;
            }
            Step::Finished(Err(error @ (Error::Compacted | Error::NewEra(_)))) => {
                log::info!("{kind:?}: {error}; listing all objects again");
                progress.position = None;
                if !source.is_store {
                    // All followers of a reader notice at the same time.
                    Timer::after(list_delay(&gateway, kind)).await;
                }
                continue;
            }
            Step::Finished(Err(error)) => {
                progress.pinned = None;
                progress.failures += 1;
                record_source_failure(&gateway, kind, source, &mut progress, &error);
                let may_prefer_store = !source.is_store && progress.is_reader_lost;
                if progress.failures >= sources.len() {
                    mark_store_lost(&gateway, kind, &error);
                    let delay = backoff.record_failure(fastrand::f64());
                    pause(&gateway, delay, may_prefer_store).await;
                } else if !source.is_store && gateway.mirror.borrow().was_read(kind) {
                    pause(&gateway, READER_RETRY_DELAY, may_prefer_store).await;
                }
            }
            Step::SourceReplaced => {
                origin::record_source_left(&gateway, kind, source);
                progress.pinned = None;
                progress.source_index = 0;
                progress.forget_position_at(self::sources(&gateway)[0]);
                session.disconnect();
                continue;
            }
            Step::Resync(resync) => {
                let sources = self::sources(&gateway);
                // A reader that the store refuses reads again from the host that it follows.
                if !(resync == Resync::Store && gateway.contact.get().is_lost()) {
                    progress.pinned = None;
                    progress.source_index = resync.index_in(&sources);
                }
                progress.last_failure = Some(Instant::now());
                progress.position = match resync {
                    Resync::Changes(_) => gateway.mirror.borrow().resume_position(kind),
                    Resync::Reader(_) | Resync::Store => None,
                };
                progress.forget_position_at(sources[progress.source_index % sources.len()]);
                session.disconnect();
                continue;
            }
        }
        session.disconnect();
        // A watch at the store may break for a transient reason, so it is retried once.
        let is_lost = gateway.contact.get().is_lost();
        if !source.is_store || progress.failures > 1 || is_lost {
            progress.source_index += 1;
        }
        let next = sources[progress.source_index % sources.len()];
        let was_read = gateway.mirror.borrow().was_read(kind);
        if next.is_store && !is_reader && was_read && progress.is_reader_lost {
            // The readers can be reached, so hosts that can read the store replace them.
            progress.source_index = 0;
        }
        progress.forget_position_at(sources[progress.source_index % sources.len()]);
        progress.last_failure = Some(Instant::now());
    }
}

/// Waits after a failed call; a host whose readers cannot read the store goes on as soon as the store
/// serves it
async fn pause(gateway: &Gateway, delay: Duration, may_prefer_store: bool) {
    let end = Instant::now() + delay;
    while Instant::now() < end {
        Timer::at(end.min(Instant::now() + CONTACT_CHECK_INTERVAL)).await;
        if may_prefer_store && gateway.contact.get().is_served(Instant::now()) {
            return;
        }
    }
}

/// Counts a read under way at the store while it exists
struct StoreRead<'a>(&'a Gateway);

impl<'a> StoreRead<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        gateway.store_reads.set(gateway.store_reads.get() + 1);
        Self(gateway)
    }
}

impl Drop for StoreRead<'_> {
    fn drop(&mut self) {
        self.0.store_reads.set(self.0.store_reads.get() - 1);
    }
}

/// Completes when a source is to be left, or when the store turns out not to answer
async fn source_replaced(gateway: &Gateway, source: Source, was_reader: bool) -> Step {
    loop {
        Timer::after(SOURCE_CHECK_INTERVAL).await;
        let contact = gateway.contact.get();
        if source.is_store && contact.is_lost() {
            let error = Error::Unresponsive("the store does not answer checks".to_owned());
            return Step::Finished(Err(error));
        }
        let is_served = contact.is_served(Instant::now());
        if is_replaced(source, was_reader, is_served, &sources(gateway)) {
            return Step::SourceReplaced;
        }
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
    is_reader: bool,
) -> Result<Position, Error> {
    let Some(position) = progress.position else {
        let consistency = list_consistency(gateway, kind, progress, source);
        let listed = session.list(kind, consistency).await;
        record_unreadable(gateway, session, kind);
        let (objects, position) = listed?;
        if position.era < gateway.mirror.borrow().era() {
            return Err(Error::OldEra(position.era));
        }
        if !source.is_store && is_behind(gateway, kind, &objects, position) {
            return Err(Error::Behind(position.revision));
        }
        era::begin(gateway, kind, position.era, &objects);
        mark_store_regained(gateway, kind, source);
        set_origin(gateway, session, kind, source, is_reader);
        let now = Instant::now();
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.replace(now, kind, objects.clone(), position);
        drop(mirror);
        apply_list(gateway, kind, &objects);
        return Ok(position);
    };
    let wait = match is_reader && !source.is_store {
        true => relayed_watch_wait(),
        false => watch_wait(kind, source.is_store),
    };
    let watched = session.watch(kind, position, wait).await;
    record_unreadable(gateway, session, kind);
    let (events, next) = watched?;
    mark_store_regained(gateway, kind, source);
    set_origin(gateway, session, kind, source, is_reader);
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

fn record_unreadable(gateway: &Gateway, session: &mut Session, kind: Kind) {
    for object in session.take_unreadable() {
        gateway.record_unreadable(kind, object.name.as_deref(), &object.reason);
    }
}

/// Returns whether the list of another host lacks changes that this host has read
pub fn is_behind(gateway: &Gateway, kind: Kind, listed: &[Object], position: Position) -> bool {
    let mirror = gateway.mirror.borrow();
    let known = mirror.position(kind);
    if position.era != known.era || position.revision >= known.revision {
        return false;
    }
    let written = listed.iter().map(|object| object.revision).max();
    let listed = Watermark::new(written.unwrap_or(0), listed.len()).with_era(position.era);
    listed < mirror.watermarks().get(&kind).copied().unwrap_or_default()
}

/// Records from whom the last answer came and how old it is, and whether this host passes it on
fn set_origin(gateway: &Gateway, session: &Session, kind: Kind, source: Source, is_reader: bool) {
    let now = Instant::now();
    let origin = match source.is_store {
        true => Origin::new(now),
        false => Origin::with_copy(now, session.copy_age().unwrap_or_default()),
    };
    let mut mirror = gateway.mirror.borrow_mut();
    mirror.set_origin(kind, origin);
    mirror.set_served(kind, source.is_store || is_reader);
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
