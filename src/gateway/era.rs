//! A new era of the store: it came back from an older copy, and what was written since is lost.
//!
//! Each kind of object begins the era with its next list. What other programs wrote stays in force
//! until they have written it again; what this system wrote is written again by the hosts that know
//! it. A host that starts asks others what is in force before it uses a configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use smol::Timer;

use super::apply::apply_list;
use super::holdover::{HOLD_TIME, Holdover, Report};
use super::{Gateway, quarantine};
use crate::bound;
use crate::id::HostId;
use crate::message::{Connection, timeout};
use crate::platform::store::{Era, Event, Kind, Object};

/// Path on the control port under which hosts tell what they hold
const HOLDOVER_PATH: &str = "/holdover";

/// Number of other hosts that a starting host asks
const MAX_ASKED_HOSTS: usize = 3;

/// Timeout of such a request
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which a host that starts checks whether the store was read
const START_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Interval at which a running host checks whether the time after a restore is over
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum length of a response of another host, in bytes
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Begins an era of the store with the list of a kind, if it is a new one
pub fn begin(gateway: &Gateway, kind: Kind, era: Era, listed: &[Object]) {
    let now = Instant::now();
    let mirror = gateway.mirror.borrow();
    let previous = mirror.position(kind).era;
    let is_first = !mirror.was_read(kind) && !mirror.has_objects(kind);
    let mut holdover = gateway.holdover.borrow_mut();
    if is_first || era <= previous {
        return holdover.release_listed(kind, listed);
    }
    match kind {
        Kind::Configuration | Kind::Evacuations => {
            holdover.begin(now, kind, mirror.objects(kind), listed);
        }
        Kind::Endpoints => {
            let period = gateway.settings.borrow().restore_time;
            gateway.catalog.borrow_mut().begin_restore(now, period);
        }
        Kind::Hosts => gateway.fleet.borrow_mut().begin_restore(now),
        Kind::Quarantine => quarantine::begin_restore(gateway),
    }
    gateway.metrics.count_new_era(kind);
    let fields = [
        ("kind", kind.name().into()),
        ("era", era.into()),
        ("previous", previous.into()),
        ("held", holdover.objects(kind).count().into()),
    ];
    gateway.recorder.event("store-era", &fields);
}

/// Drops what a change written in the new era settles
pub fn settle(gateway: &Gateway, kind: Kind, event: &Event) {
    gateway.holdover.borrow_mut().release_changed(kind, event);
}

/// Returns whether a configuration of the store may be used: a host that starts first asks others for
/// a newer one
pub fn may_configure(gateway: &Gateway) -> bool {
    let is_starting = gateway.configuration.borrow().is_none();
    !is_starting || gateway.mirror.borrow().era() == 0 || gateway.knows_holdover.get()
}

/// Asks other hosts at the start, and gives up what is held for too long, forever
pub async fn maintain(gateway: Rc<Gateway>) {
    loop {
        let is_starting = gateway.configuration.borrow().is_none();
        Timer::after(match is_starting {
            true => START_CHECK_INTERVAL,
            false => CHECK_INTERVAL,
        })
        .await;
        let has_configuration = gateway.mirror.borrow().has_objects(Kind::Configuration);
        if has_configuration && !may_configure(&gateway) {
            ask_hosts(&gateway).await;
            gateway.knows_holdover.set(true);
            apply(&gateway, Kind::Configuration);
            apply(&gateway, Kind::Evacuations);
        }
        let now = Instant::now();
        let expired = gateway.holdover.borrow_mut().expire(now);
        for kind in expired {
            gateway
                .recorder
                .event("holdover-expired", &[("kind", kind.name().into())]);
            gateway.is_rollback_allowed.set(true);
            apply(&gateway, kind);
            gateway.is_rollback_allowed.set(false);
        }
        if gateway.catalog.borrow_mut().end_restore(now) {
            apply(&gateway, Kind::Endpoints);
        }
    }
}

/// Applies the mirror's objects of a kind, and those that are held
pub fn apply(gateway: &Gateway, kind: Kind) {
    let mut objects: Vec<Object> = gateway.mirror.borrow().objects(kind).cloned().collect();
    if kind == Kind::Configuration {
        objects.extend(gateway.holdover.borrow().objects(kind).cloned());
    }
    apply_list(gateway, kind, &objects);
}

/// Asks a few hosts what they hold, until one knows the time before the era
async fn ask_hosts(gateway: &Gateway) {
    let own_address = gateway.settings.borrow().control_address;
    let mut addresses: Vec<SocketAddr> = {
        let fleet = gateway.fleet.borrow();
        let members = fleet.members();
        members.filter_map(|member| member.control).collect()
    };
    if addresses.is_empty() {
        addresses = gateway.settings.borrow().seed_addresses.clone();
    }
    addresses.retain(|address| Some(*address) != own_address);
    fastrand::shuffle(&mut addresses);
    addresses.truncate(MAX_ASKED_HOSTS);
    for address in addresses {
        match fetch_report(gateway, address).await {
            Ok(report) => {
                let is_witness = report.is_witness;
                let host = gateway.fleet.borrow().host_at(address);
                adopt(gateway, &host.unwrap_or_default(), report);
                if is_witness {
                    return;
                }
            }
            Err(error) => log::info!("cannot ask {address} what is in force: {error}"),
        }
    }
}

/// Asks a host what it holds
pub async fn fetch_report(gateway: &Gateway, host: SocketAddr) -> Result<Report, String> {
    let latest_era = gateway.offers.borrow().latest_era();
    let era = latest_era.max(gateway.mirror.borrow().era());
    let path = format!("{HOLDOVER_PATH}?era={era}");
    fetch(host, &path, ASK_TIMEOUT).await
}

/// Parses the target of a request for what this host holds; returns the era that the caller reads
pub fn parse_request(method: &str, target: &str) -> Option<Era> {
    let query = target
        .strip_prefix(HOLDOVER_PATH)
        .filter(|_| method == "GET")?;
    query.strip_prefix("?era=")?.parse().ok()
}

/// Returns what to tell a host that reads the store in `era`
///
/// This host may not have begun that era yet. All that it has read is then from before.
pub fn report(gateway: &Gateway, era: Era) -> Report {
    let now = Instant::now();
    let mirror = gateway.mirror.borrow();
    let is_before = |kind| mirror.position(kind).era < era && mirror.has_objects(kind);
    let mut report = gateway.holdover.borrow().report(now);
    for kind in [Kind::Configuration, Kind::Evacuations] {
        if is_before(kind) {
            let objects = report.objects.entry(kind).or_default();
            objects.extend(mirror.objects(kind).cloned());
            report.remaining = HOLD_TIME;
            report.is_witness = true;
        }
    }
    let catalog = gateway.catalog.borrow();
    report.withdrawn = catalog.withdrawn();
    report.restore_remaining = match is_before(Kind::Endpoints) {
        true => gateway.settings.borrow().restore_time,
        false => catalog.restore_remaining(now),
    };
    report.limits = gateway.all_limits(now);
    report
}

/// Adopts what another host holds, unless the store's copy settles it
pub fn adopt(gateway: &Gateway, host: &HostId, mut report: Report) {
    let now = Instant::now();
    let withdrawn = std::mem::take(&mut report.withdrawn);
    gateway.catalog.borrow_mut().adopt_withdrawn(
        now,
        withdrawn,
        bound::duration(report.restore_remaining),
    );
    gateway.record_limit_news(now, &report.limits);
    let mut holdover = gateway.holdover.borrow_mut();
    holdover.adopt(now, report);
    let mirror = gateway.mirror.borrow();
    for kind in [Kind::Configuration, Kind::Evacuations] {
        let listed: Vec<Object> = mirror.objects(kind).cloned().collect();
        holdover.release_listed(kind, &listed);
    }
    let fields = [
        ("host", host.as_str().into()),
        ("held", holdover.len().into()),
    ];
    gateway.recorder.event("holdover-adopted", &fields);
}

/// Fetches a JSON document from the control port of another host
pub async fn fetch<T: DeserializeOwned>(
    host: SocketAddr,
    path: &str,
    time_limit: Duration,
) -> Result<T, String> {
    let to_text = |error: &dyn std::fmt::Display| error.to_string();
    let deadline = Instant::now() + time_limit;
    let exchange = async {
        let connection = Connection::connect(host, time_limit).await;
        let mut connection = connection.map_err(|error| to_text(&error))?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
        let written = connection.write(head.as_bytes(), deadline).await;
        written.map_err(|error| to_text(&error))?;
        let answer = connection.read_response("GET").await;
        let answer = answer.map_err(|error| to_text(&error))?;
        if answer.status != 200 {
            return Err(format!("status {}", answer.status));
        }
        let body = connection
            .read_body(answer.length, MAX_RESPONSE_BYTES)
            .await;
        let body = body.map_err(|error| to_text(&error))?;
        serde_json::from_slice(&body).map_err(|error| to_text(&error))
    };
    let result = timeout(deadline, exchange).await;
    result.unwrap_or_else(|| Err("request timed out".to_owned()))
}

/// Returns the names of the evacuations that are in force
pub fn evacuations(gateway: &Gateway) -> Vec<compact_str::CompactString> {
    let mirror = gateway.mirror.borrow();
    let holdover: &Holdover = &gateway.holdover.borrow();
    let objects = mirror.objects(Kind::Evacuations);
    let objects = objects.chain(holdover.objects(Kind::Evacuations));
    objects.map(|object| object.name.clone()).collect()
}
