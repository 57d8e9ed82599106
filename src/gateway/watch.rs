//! Follows the store: one watch for each kind of object.
//!
//! A watch on a silent connection would show nothing for its whole wait, so other hosts' reports
//! carry the revisions that they know; a host that is behind opens its watch anew.

use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::Gateway;
use crate::message::Connection;
use crate::object::Backoff;
use crate::platform::record;
use crate::platform::store::{Error, Event, Kind, Object, Session};

/// Time for which a watch waits for a change; the store takes at most 30 s
const WAIT: Duration = Duration::from_secs(10);

/// Shortest and longest pause after a failed call; the configuration has two seconds to be in force
const PAUSES: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));

/// Time after which a starting host that knows nothing asks other hosts
const ASK: Duration = Duration::from_millis(600);

/// Longest time of one such question
const ASK_LIMIT: Duration = Duration::from_millis(800);

/// Longest answer of another host, in bytes
const MAX_MIRROR: usize = 8 << 20;

/// Follow one kind for ever; a message on `kick` opens the watch anew
pub async fn follow(gateway: Rc<Gateway>, kind: Kind, kick: Receiver<()>) {
    let mut session = Session::new(gateway.settings.borrow().store);
    let mut backoff = Backoff::new(PAUSES.0, PAUSES.1);
    let mut revision = None;
    loop {
        session.redirect(gateway.settings.borrow().store);
        let step = async { Some(step(&gateway, &mut session, kind, revision).await) };
        let kicked = async {
            // The sender lives as long as the process.
            let _ = kick.recv().await;
            None
        };
        let result = step.or(kicked).await;
        gateway.metrics.store_calls(kind, session.take_calls());
        match result {
            Some(Ok(next)) => {
                backoff.succeeded();
                revision = Some(next);
            }
            Some(Err(Error::Compacted)) => {
                log::info!("{kind:?}: history is gone, reading anew");
                revision = None;
            }
            Some(Err(error)) => {
                lost(&gateway, kind, &error);
                session.reset();
                Timer::after(backoff.failed(fastrand::f64())).await;
            }
            None => {
                log::info!("{kind:?}: other hosts know more, opening the watch anew");
                session.reset();
            }
        }
    }
}

async fn step(
    gateway: &Rc<Gateway>,
    session: &mut Session,
    kind: Kind,
    revision: Option<u64>,
) -> Result<u64, Error> {
    let Some(revision) = revision else {
        let (objects, revision) = session.list(kind).await?;
        regained(gateway, kind);
        let now = Instant::now();
        let mut mirror = gateway.mirror.borrow_mut();
        mirror.replace(now, kind, objects.clone(), revision);
        drop(mirror);
        replace(gateway, kind, &objects);
        return Ok(revision);
    };
    let (events, next) = session.watch(kind, revision, WAIT).await?;
    regained(gateway, kind);
    for event in events {
        change(gateway, kind, event);
    }
    gateway.mirror.borrow_mut().advance(kind, next);
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

fn regained(gateway: &Gateway, kind: Kind) {
    let now = Instant::now();
    let Some(dark) = gateway.mirror.borrow_mut().fresh(now, kind) else {
        return;
    };
    if kind == Kind::Endpoints {
        gateway.catalog.borrow_mut().recovered(now);
    }
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
            started.iter().for_each(|id| pool.forget(id));
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
    let mut mirror = gateway.mirror.borrow_mut();
    match &event {
        Event::Put(object) => mirror.put(kind, object.clone()),
        Event::Removed(name) => mirror.remove(kind, name),
    }
    drop(mirror);
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
            gateway.pool.borrow_mut().forget_host(&name);
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
        gateway.recorder.event("endpoint-gone", &[("endpoint", name.as_str().into())]);
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
            gateway.pool.borrow_mut().forget(name);
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
        let known = document.as_ref().and_then(|document| document.services.get(service));
        known.map_or(Duration::ZERO, |service| service.warmup)
    };
    let mut catalog = gateway.catalog.borrow_mut();
    if *catalog.evacuated() != zones {
        let names: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
        gateway.recorder.event("evacuation", &[("zones", names.join(" ").into())]);
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
        let own = gateway.settings.borrow().control;
        let seeds = gateway.settings.borrow().seeds.clone();
        for seed in seeds.into_iter().filter(|seed| Some(*seed) != own) {
            match ask(seed).await {
                Ok(mirror) => adopt(&gateway, mirror),
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

async fn ask(seed: std::net::SocketAddr) -> Result<super::Mirror, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let exchange = async {
        let connection = Connection::connect(seed, ASK_LIMIT).await;
        let mut connection = connection.map_err(|error| text(&error))?;
        let deadline = Instant::now() + ASK_LIMIT;
        let head = format!("GET /mirror HTTP/1.1\r\nHost: {seed}\r\nConnection: close\r\n\r\n");
        let written = connection.write(head.as_bytes(), deadline).await;
        written.map_err(|error| text(&error))?;
        let answer = connection.answer("GET").await.map_err(|error| text(&error))?;
        let body = connection.body(answer.length, MAX_MIRROR).await;
        let body = body.map_err(|error| text(&error))?;
        serde_json::from_slice(&body).map_err(|error| text(&error))
    };
    let late = crate::message::timeout(Instant::now() + ASK_LIMIT * 2, exchange).await;
    late.unwrap_or_else(|| Err("no answer in time".to_owned()))
}
