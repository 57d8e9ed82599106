//! Follows the store: one watch for each kind of object, at the store or at a host that reads it.
//!
//! A watch on a silent connection would show nothing for its whole wait, so other hosts' reports
//! carry the revisions that they know; a host that is behind opens its watch anew.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::{Gateway, peers};
use crate::message::Connection;
use crate::object::Backoff;
use crate::platform::record;
use crate::platform::store::{Error, Event, Kind, Object, Session};
use crate::util::stable_hash;

/// Time for which a watch waits for a change; the store takes at most 30 s
const WAIT: Duration = Duration::from_secs(10);

/// Shortest and longest pause after a failed call; the configuration has two seconds to be in force
const PAUSES: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(500));

/// Reports of a reader that may be missed before this host follows another
const MISSED: u32 = 4;

/// Least time for that; a busy host may be late with its reports
const LEAST_TERM: Duration = Duration::from_millis(700);

/// Time between two looks at whether the source is still one to follow
const LOOK: Duration = Duration::from_millis(200);

/// Pause after changes of kinds that change often; short against the seconds that a leaving
/// endpoint still serves
const BATCH: Duration = Duration::from_millis(150);

/// Time after a failure at which the preferred source is tried again
const PREFER: Duration = Duration::from_secs(4);

/// Time after which a starting host that knows nothing asks other hosts
const ASK: Duration = Duration::from_millis(600);

/// Longest time of one such question
const ASK_LIMIT: Duration = Duration::from_millis(800);

/// Longest answer of another host, in bytes
const MAX_MIRROR: usize = 8 << 20;

/// Where a kind is read
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Source {
    address: SocketAddr,
    /// Whether it is the store itself
    direct: bool,
}

/// Sources in the order in which they are tried
///
/// Two hosts of a region read the store and the others follow those. Who cannot reach one goes on
/// to the next, so that in the end each host reads the store.
fn sources(gateway: &Gateway) -> Vec<Source> {
    let settings = gateway.settings.borrow();
    let fleet = gateway.fleet.borrow();
    let store = Source {
        address: settings.store_address,
        direct: true,
    };
    let hosts = match fleet.size() <= peers::SMALL {
        true => fleet.size(),
        false => fleet.near(&settings.region),
    };
    let term = (peers::interval(hosts) * MISSED).max(LEAST_TERM);
    let readers = fleet.readers(Instant::now(), &settings.region, term);
    let reads = readers.iter().any(|member| member.host == settings.host);
    let others = readers.iter().filter(|member| member.host != settings.host);
    let mut sources: Vec<Source> = others
        .filter_map(|member| member.control)
        .map(|address| Source {
            address,
            direct: false,
        })
        .collect();
    // Followers spread over the readers.
    if stable_hash(&settings.host) % 2 == 1 {
        sources.reverse();
    }
    if reads {
        sources.insert(0, store);
        return sources;
    }
    // Readers that lose the store for a moment are asked twice before all turn to the store.
    sources.extend(sources.clone());
    sources.push(store);
    sources
}

/// Progress of following one kind
#[derive(Debug, Default)]
struct Progress {
    revision: Option<u64>,
    /// Position in the list of sources
    turn: usize,
    /// Failures in a row
    failures: usize,
    failed: Option<Instant>,
}

/// Follow one kind for ever; a message on `kick` goes on to the next source
pub async fn follow(gateway: Rc<Gateway>, kind: Kind, kick: Receiver<()>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut backoff = Backoff::new(PAUSES.0, PAUSES.1);
    let mut progress = Progress::default();
    loop {
        let sources = sources(&gateway);
        if progress.failed.is_some_and(|at| at.elapsed() > PREFER) {
            progress.turn = 0;
            progress.failed = None;
        }
        let source = sources[progress.turn % sources.len()];
        session.redirect(source.address);
        let step = async { Some(step(&gateway, &mut session, kind, &progress, source).await) };
        let lists = source.direct && progress.revision.is_none();
        let kicked = async {
            if lists {
                // The store's list brings what others know, though slowly over a busy link. To begin
                // it anew with each of their changes would never end. The message waits for its end.
                // A reader may be too busy to answer, so its list may be left.
                return std::future::pending().await;
            }
            // The sender lives as long as the process.
            let _ = kick.recv().await;
            log::info!("{kind:?}: other hosts know more, asking the store");
            None
        };
        let replaced = async {
            if source.direct {
                return std::future::pending().await;
            }
            while self::sources(&gateway).contains(&source) {
                Timer::after(LOOK).await;
            }
            log::info!("{kind:?}: the reader is silent, going on to another");
            None
        };
        let result = kicked.or(step).or(replaced).await;
        if source.direct {
            gateway.metrics.store_calls(kind, session.take_calls());
        }
        match result {
            Some(Ok(next)) => {
                backoff.record_success();
                progress.failures = 0;
                progress.revision = Some(next);
                continue;
            }
            Some(Err(Error::Compacted)) => {
                log::info!("{kind:?}: history is gone, reading anew");
                progress.revision = None;
                continue;
            }
            Some(Err(error)) => {
                progress.failures += 1;
                gateway.mirror.borrow_mut().set_direct(kind, false);
                if progress.failures >= sources.len() {
                    lost(&gateway, kind, &error);
                    Timer::after(backoff.record_failure(fastrand::f64())).await;
                } else if !source.direct {
                    Timer::after(BATCH).await;
                }
            }
            None => {
                progress.turn = self::sources(&gateway)
                    .iter()
                    .position(|s| s.direct)
                    .unwrap_or(0);
                progress.failed = Some(Instant::now());
                progress.revision = None;
                session.reset();
                continue;
            }
        }
        session.reset();
        // A watch that goes on right after one was cut may hear nothing of what came in between,
        // as the store drops its history; a list tells.
        progress.revision = None;
        // A watch at the store may be cut for no lasting reason.
        if !source.direct || progress.failures > 1 {
            progress.turn += 1;
        }
        progress.failed = Some(Instant::now());
    }
}

async fn step(
    gateway: &Rc<Gateway>,
    session: &mut Session,
    kind: Kind,
    progress: &Progress,
    source: Source,
) -> Result<u64, Error> {
    let Some(revision) = progress.revision else {
        let (objects, revision) = session.list(kind).await?;
        regained(gateway, kind, source);
        let now = Instant::now();
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.replace(now, kind, objects.clone(), revision);
        drop(mirror);
        replace(gateway, kind, &objects);
        return Ok(revision);
    };
    let (events, next) = session.watch(kind, revision, WAIT).await?;
    regained(gateway, kind, source);
    gateway.mirror.borrow_mut().change(kind, &events, next);
    let some = !events.is_empty();
    for event in events {
        change(gateway, kind, event);
    }
    if some && source.direct && matches!(kind, Kind::Endpoints | Kind::Hosts) {
        // Changes that come one after the other are read together.
        Timer::after(BATCH).await;
    }
    Ok(next)
}

fn lost(gateway: &Gateway, kind: Kind, error: &Error) {
    if gateway.mirror.borrow_mut().failed(Instant::now(), kind) {
        let fields = [
            ("kind", format!("{kind:?}").into()),
            ("error", error.to_string().into()),
        ];
        gateway.recorder.event("store-lost", &fields);
    }
}

fn regained(gateway: &Gateway, kind: Kind, source: Source) {
    let now = Instant::now();
    gateway.mirror.borrow_mut().set_direct(kind, source.direct);
    let Some(dark) = gateway.mirror.borrow_mut().fresh(now, kind) else {
        return;
    };
    let fields = [
        ("kind", format!("{kind:?}").into()),
        ("dark_ms", (dark.as_millis() as u64).into()),
    ];
    gateway.recorder.event("store-regained", &fields);
}

/// Put a whole list in force
fn replace(gateway: &Gateway, kind: Kind, objects: &[Object]) {
    let now = Instant::now();
    match kind {
        Kind::Configuration => objects.iter().for_each(|object| configure(gateway, object)),
        Kind::Endpoints => {
            let zones = gateway.settings.borrow().zones.clone();
            let list = objects.iter().filter_map(|o| record::endpoint(o, &zones));
            let started = gateway.catalog.borrow_mut().replace(now, list.collect());
            let mut pool = gateway.pool.borrow_mut();
            started.iter().for_each(|id| pool.remove_endpoint(id));
        }
        Kind::Evacuations => evacuate(gateway),
        Kind::Hosts => {
            let list = objects.iter().filter_map(record::member).collect();
            gateway.fleet.borrow_mut().replace(list);
        }
    }
}

/// Put one change in force
fn change(gateway: &Gateway, kind: Kind, event: Event) {
    match (kind, event) {
        (Kind::Configuration, Event::Put(object)) => configure(gateway, &object),
        (Kind::Configuration, Event::Removed(name)) => {
            log::warn!("configuration {name} was removed; the one in force stays");
        }
        (Kind::Endpoints, event) => endpoint(gateway, event),
        (Kind::Evacuations, _) => evacuate(gateway),
        (Kind::Hosts, Event::Put(object)) => match record::member(&object) {
            Some(member) => gateway.fleet.borrow_mut().put(member),
            None => log::warn!("entry of host {} cannot be read", object.name),
        },
        (Kind::Hosts, Event::Removed(name)) => {
            gateway.fleet.borrow_mut().remove(&name);
            gateway.pool.borrow_mut().remove_host(&name);
        }
    }
}

fn configure(gateway: &Gateway, object: &Object) {
    if object.name != record::CONFIGURATION {
        return;
    }
    match record::document(object) {
        Ok(document) => {
            gateway.apply(document);
        }
        Err(error) => log::error!("configuration cannot be used: {error}; the old one stays"),
    }
}

fn endpoint(gateway: &Gateway, event: Event) {
    let now = Instant::now();
    let zones = gateway.settings.borrow().zones.clone();
    let (name, found) = match &event {
        Event::Put(object) => (&object.name, record::endpoint(object, &zones)),
        Event::Removed(name) => (name, None),
    };
    let mut catalog = gateway.catalog.borrow_mut();
    let Some(found) = found else {
        // An entry that was spoilt by another writer ends at once, like one that was withdrawn.
        catalog.remove(now, name);
        gateway
            .recorder
            .event("endpoint-gone", &[("endpoint", name.as_str().into())]);
        return;
    };
    let fields = [
        ("endpoint", name.as_str().into()),
        ("service", found.service.as_str().into()),
        ("draining", found.draining.into()),
        ("cold_ms", (found.warmup_left.as_millis() as u64).into()),
    ];
    let change = catalog.put(now, found);
    drop(catalog);
    match change {
        crate::catalog::Change::Started => {
            gateway.pool.borrow_mut().remove_endpoint(name);
            gateway.recorder.event("endpoint-started", &fields);
        }
        crate::catalog::Change::Updated => gateway.recorder.event("endpoint-changed", &fields),
        crate::catalog::Change::Same => {}
    }
}

fn evacuate(gateway: &Gateway) {
    let mirror = gateway.mirror.borrow();
    let zones = record::evacuated(mirror.objects(Kind::Evacuations).map(|object| &object.name));
    drop(mirror);
    let document = gateway.document();
    let warmup = |service: &crate::id::ServiceId| {
        let known = document
            .as_ref()
            .and_then(|document| document.services.get(service));
        known.map_or(Duration::ZERO, |service| service.warmup)
    };
    let mut catalog = gateway.catalog.borrow_mut();
    if *catalog.evacuated() != zones {
        let names: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
        gateway
            .recorder
            .event("evacuation", &[("zones", names.join(" ").into())]);
    }
    catalog.evacuate(Instant::now(), zones, warmup);
}

/// Ask other hosts while the store does not answer and nothing is known
pub async fn ask_others(gateway: Rc<Gateway>) {
    loop {
        Timer::after(ASK).await;
        if gateway.document().is_some() && !gateway.catalog.borrow().is_empty() {
            return;
        }
        // A mirror is large; while the store answers, however slowly, it is the better source.
        if !gateway.mirror.borrow().is_dark() {
            continue;
        }
        let own = gateway.settings.borrow().control_address;
        let seeds = gateway.settings.borrow().seed_addresses.clone();
        for seed in seeds.into_iter().filter(|seed| Some(*seed) != own) {
            match ask(seed).await {
                Ok(mirror) => {
                    adopt(&gateway, mirror);
                    break;
                }
                Err(error) => log::debug!("{seed} gives no mirror: {error}"),
            }
        }
    }
}

/// Put in force what another host knows, as far as the store was not read yet
fn adopt(gateway: &Gateway, other: super::Mirror) {
    for kind in Kind::ALL {
        if gateway.mirror.borrow().is_read(kind) {
            continue;
        }
        let objects: Vec<Object> = other.objects(kind).cloned().collect();
        for object in &objects {
            gateway.mirror.borrow_mut().put(kind, object.clone());
        }
        replace(gateway, kind, &objects);
    }
    gateway.recorder.event("adopted", &[]);
}

async fn ask(seed: SocketAddr) -> Result<super::Mirror, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let exchange = async {
        let connection = Connection::connect(seed, ASK_LIMIT).await;
        let mut connection = connection.map_err(|error| text(&error))?;
        let deadline = Instant::now() + ASK_LIMIT;
        let head = format!("GET /mirror HTTP/1.1\r\nHost: {seed}\r\nConnection: close\r\n\r\n");
        let written = connection.write(head.as_bytes(), deadline).await;
        written.map_err(|error| text(&error))?;
        let answer = connection
            .answer("GET")
            .await
            .map_err(|error| text(&error))?;
        let body = connection.body(answer.length, MAX_MIRROR).await;
        let body = body.map_err(|error| text(&error))?;
        serde_json::from_slice(&body).map_err(|error| text(&error))
    };
    let late = crate::message::timeout(Instant::now() + ASK_LIMIT * 2, exchange).await;
    late.unwrap_or_else(|| Err("no answer in time".to_owned()))
}
