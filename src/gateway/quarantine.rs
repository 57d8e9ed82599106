//! Requests that crashed endpoints: their records in the store and in the reports of other hosts.
//!
//! The host that saw a crash writes the record; the others do so only if it is still missing after a
//! random delay that grows with the fleet, so that the store receives few writes for each record.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use smol::Timer;

use super::{Gateway, apply, record as log_record};
use crate::id::EndpointId;
use crate::message::Request;
use crate::platform::store::{Error, Event, Kind, Object, Session};
use crate::platform::{header, record};
use crate::quarantine::{EndpointRun, Key, Keys, Record, Source};

/// Interval between two writes of a host to the store
const SAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay for each host of the fleet before a host writes a record that another host saw first
const SAVE_DELAY_PER_HOST: Duration = Duration::from_millis(20);

/// Minimum of that delay, longer than the way of a record from the store to all hosts
const MIN_SAVE_DELAY: Duration = Duration::from_millis(1000);

/// Time after which a write is repeated if the store does not show the record
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Interval at which obsolete records in the store are looked for
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts that delete an obsolete record in the first interval
const CLEANUP_HOSTS: f64 = 3.0;

/// Age of a record in the store from which it is deleted; longer than hosts use it, by more than
/// clocks differ
const MAX_STORED_AGE: Duration = Duration::from_secs(25 * 3600);

/// Computes the keys of a request; `body` is its body or the first part of it
pub fn keys(request: &Request, body: &[u8]) -> Keys {
    let caller = header::caller_id(&request.headers);
    Keys::new(caller, &request.method, &request.target, body)
}

/// Returns the time until a request is accepted again, if it is refused now
pub fn retry_after(gateway: &Gateway, now: Instant, keys: &Keys) -> Option<Duration> {
    keys.retry_after(&gateway.quarantine.borrow(), now)
}

/// Records that this host saw an endpoint crash with a request in flight; returns the number of
/// crashes that count
pub fn record_crash(gateway: &Gateway, now: Instant, keys: &Keys, run: EndpointRun) -> usize {
    let crashes = keys.record_crash(&mut gateway.quarantine.borrow_mut(), now, run);
    gateway.metrics.count_crash();
    gateway.send_news();
    crashes
}

/// Records that an endpoint gave no answer to a request
pub fn record_silence(gateway: &Gateway, keys: &Keys, run: EndpointRun, address: SocketAddr) {
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.record_silence(Instant::now(), *keys, run, address);
}

/// Records a complete answer to a request
pub fn record_success(gateway: &Gateway, keys: &Keys) {
    let mut quarantine = gateway.quarantine.borrow_mut();
    let cleared = keys.record_success(&mut quarantine, Instant::now());
    drop(quarantine);
    for key in cleared {
        gateway.send_news();
        let fields = [("key", log_record::format_key(key).into())];
        gateway.recorder.event("cleared", &fields);
    }
}

/// Marks a request as running on an endpoint while it exists
pub struct Running<'a> {
    gateway: &'a Gateway,
    keys: Keys,
    run: EndpointRun,
}

impl<'a> Running<'a> {
    /// Records that a request starts on an endpoint
    pub fn new(gateway: &'a Gateway, keys: Keys, run: EndpointRun) -> Self {
        keys.record_start(&mut gateway.quarantine.borrow_mut(), run);
        Self { gateway, keys, run }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut quarantine = self.gateway.quarantine.borrow_mut();
        self.keys.record_end(&mut quarantine, self.run);
    }
}

/// Records that an endpoint of the catalog started
///
/// An endpoint that had the same address and gave no answer has then crashed.
pub fn record_endpoint_start(gateway: &Gateway, id: &EndpointId) {
    let Some(endpoint) = gateway.catalog.borrow().get(id).cloned() else {
        return;
    };
    let mut quarantine = gateway.quarantine.borrow_mut();
    let crashed =
        quarantine.record_endpoint_start(Instant::now(), endpoint.run(), endpoint.address);
    drop(quarantine);
    for keys in crashed {
        gateway.metrics.count_crash();
        gateway.send_news();
        let fields = [
            ("key", log_record::format_key(keys.exact()).into()),
            ("started", id.as_str().into()),
        ];
        gateway.recorder.event("suspect", &fields);
    }
}

/// Merges what another host or the store tells of a request
pub fn merge(gateway: &Gateway, key: Key, record: &Record, source: Source) {
    let now = Instant::now();
    let delay = save_delay(gateway);
    let mut quarantine = gateway.quarantine.borrow_mut();
    if !quarantine.merge(now, key, record, source, delay) {
        return;
    }
    let refused_for = quarantine.retry_after(now, key, 1.0);
    drop(quarantine);
    let fields = [
        ("key", log_record::format_key(key).into()),
        ("source", format!("{source:?}").into()),
        ("crashes", record.crashed.len().into()),
        ("cleared", record.cleared.len().into()),
        ("age_ms", log_record::millis(record.age).into()),
        ("refused_ms", refused_for.map(log_record::millis).into()),
    ];
    gateway.recorder.event("suspect-told", &fields);
}

/// Marks all records as not stored, since the store came back from an older copy; they are written
/// again after delays that spread the writes over the fleet
pub fn begin_restore(gateway: &Gateway) {
    let now = Instant::now();
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.mark_unsaved(|| now + save_delay(gateway));
}

/// Applies a complete list of the store's records
pub fn apply_list(gateway: &Gateway, objects: &[Object]) {
    let now = SystemTime::now();
    let records = objects
        .iter()
        .filter_map(|object| decode(gateway, object, now));
    let records: Vec<(Key, Record)> = records.collect();
    let listed: BTreeSet<Key> = records.iter().map(|(key, _)| *key).collect();
    gateway.quarantine.borrow_mut().retain_stored(&listed);
    for (key, record) in records {
        merge(gateway, key, &record, Source::Store);
    }
}

/// Applies one change of the store's records
pub fn apply_event(gateway: &Gateway, event: Event) {
    match event {
        Event::Put(object) => {
            if let Some((key, record)) = decode(gateway, &object, SystemTime::now()) {
                merge(gateway, key, &record, Source::Store);
            }
        }
        Event::Removed(name) => {
            if let Some(key) = record::quarantine_key(&name) {
                gateway.quarantine.borrow_mut().forget(key);
            }
        }
    }
}

fn decode(gateway: &Gateway, object: &Object, now: SystemTime) -> Option<(Key, Record)> {
    let decode = |object: &Object| record::decode_quarantine(object, now);
    let decoded = apply::decode_one(gateway, Kind::Quarantine, object, decode);
    decoded.filter(|(_, record)| record.age < MAX_STORED_AGE)
}

/// Keeps the store's records complete, forever
pub async fn maintain_records(gateway: Rc<Gateway>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut last_cleanup = Instant::now();
    loop {
        Timer::after(SAVE_INTERVAL).await;
        session.set_address(gateway.settings.borrow().store_address);
        let now = Instant::now();
        let unsaved = gateway.quarantine.borrow().next_unsaved(now);
        if let Some((key, record)) = unsaved {
            save(&gateway, &mut session, key, &record).await;
        } else if last_cleanup.elapsed() > CLEANUP_INTERVAL {
            last_cleanup = now;
            delete_obsolete(&gateway, &mut session).await;
        }
        gateway
            .metrics
            .count_store_calls(Kind::Quarantine, session.take_call_count());
    }
}

async fn save(gateway: &Gateway, session: &mut Session, key: Key, record: &Record) {
    let postpone = |delay: Duration| {
        let until = Instant::now() + delay;
        gateway.quarantine.borrow_mut().postpone_save(key, until);
    };
    if !gateway.mirror.borrow().is_readable(Kind::Quarantine) {
        return postpone(save_delay(gateway));
    }
    let name = record::quarantine_name(key);
    let spec = record::encode_quarantine(record, SystemTime::now());
    let is_stored = gateway.mirror.borrow().contains(Kind::Quarantine, &name);
    let result = match is_stored {
        true => session.replace(Kind::Quarantine, &name, &spec).await,
        false => session.create(Kind::Quarantine, &name, &spec).await,
    };
    match result {
        // The watch then shows the record, or the one of another host to be merged with.
        Ok(()) | Err(Error::Conflict) => postpone(SAVE_RETRY_DELAY),
        Err(error) => {
            log::debug!("cannot write the record of request {name}: {error}");
            session.disconnect();
            postpone(save_delay(gateway));
        }
    }
}

/// Deletes records of requests that succeeded since, and old ones
async fn delete_obsolete(gateway: &Gateway, session: &mut Session) {
    let hosts = gateway.fleet.borrow().size() as f64;
    if fastrand::f64() >= CLEANUP_HOSTS / hosts
        || !gateway.mirror.borrow().is_readable(Kind::Quarantine)
    {
        return;
    }
    for (name, revision) in obsolete_records(gateway) {
        let deleted = session
            .delete(Kind::Quarantine, &name, Some(revision))
            .await;
        // A conflict means that another host wrote a newer record.
        if let Err(error) = deleted {
            log::debug!("cannot delete the record of request {name}: {error}");
            session.disconnect();
            return;
        }
    }
}

fn obsolete_records(gateway: &Gateway) -> Vec<(compact_str::CompactString, u64)> {
    let now = SystemTime::now();
    let mirror = gateway.mirror.borrow();
    let quarantine = gateway.quarantine.borrow();
    let is_obsolete = |object: &&Object| {
        record::decode_quarantine(object, now).is_some_and(|(key, record)| {
            record.age >= MAX_STORED_AGE || quarantine.is_cleared(key, &record.crashed)
        })
    };
    let obsolete = mirror.objects(Kind::Quarantine).filter(is_obsolete);
    obsolete
        .map(|object| (object.name.clone(), object.revision))
        .collect()
}

/// Draws the delay after which this host writes a record that another host saw first
fn save_delay(gateway: &Gateway) -> Duration {
    let hosts = gateway.fleet.borrow().size() as u32;
    let max_delay = (SAVE_DELAY_PER_HOST * hosts).max(MIN_SAVE_DELAY);
    MIN_SAVE_DELAY / 2 + max_delay.mul_f64(fastrand::f64())
}
