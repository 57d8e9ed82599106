//! The once-only table of a stopping host goes to one successor.
//!
//! `drain` decides who is offered what. From the export on nothing of the table is run here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::drain::{Handover, OfferOutcome};
use crate::entry::{Event, Host, lock};
use crate::id::HostId;
use crate::member::{HostInfo, State};
use crate::once::Snapshot;
use crate::peer::{Exchange, Link};
use crate::util;
use crate::wire::{Frame, Issuer};

/// Bytes of the table in one frame
const PART: usize = 1 << 20;

/// Most bytes of answers that are handed over
const MAX: usize = 32 << 20;

/// Longest encoded table that is taken over, in bytes
const MAX_ENCODED: usize = 64 << 20;

/// Longest time that a handover may take
const LIMIT: Duration = Duration::from_secs(5);

/// Pause between looks at a handover under way
const LOOK: Duration = Duration::from_millis(5);

/// Where the table of this host is
#[derive(Clone, Debug, Default)]
pub enum Location {
    /// Local
    #[default]
    Local,
    /// On its way
    Transferring,
    /// With a successor
    Successor(Box<HostInfo>),
    /// Nobody is known to have it
    Lost,
}

/// Where the table is, once that is settled; `None` at the deadline
pub async fn settled_location(host: &Host, deadline: Instant) -> Option<Location> {
    loop {
        let place = lock(&host.table_location).clone();
        if !matches!(place, Location::Transferring) {
            return Some(place);
        }
        if Instant::now() >= deadline {
            return None;
        }
        Timer::after(LOOK).await;
    }
}

/// Hand the table over once nothing of it runs
pub async fn hand_over(host: &Arc<Host>, link: &Link, limit: Instant) {
    *lock(&host.table_location) = Location::Transferring;
    while lock(&host.tickets).running_count() > 0 && Instant::now() < limit {
        Timer::after(LOOK).await;
    }
    let candidates = candidates(host);
    let snapshots = lock(&host.tickets).export(!candidates.is_empty());
    let names = candidates.iter().map(|listed| listed.host.clone());
    let mut handover = Handover::new(snapshots, names).with_max_bytes(MAX);
    while let Some(offer) = handover.next_offer() {
        let to = candidates.iter().find(|listed| listed.host == offer.to);
        let given = match to {
            Some(to) => give(link, to, &offer.snapshots).await,
            None => OfferOutcome::NotTaken,
        };
        log::info!("tickets offered to {}: {given:?}", offer.to);
        handover.record_outcome(given);
    }
    let successor = handover.successor();
    let successor = candidates
        .iter()
        .find(|listed| Some(&listed.host) == successor);
    let place = match successor {
        Some(successor) => Location::Successor(Box::new(successor.clone())),
        None => Location::Lost,
    };
    let text = match &place {
        Location::Successor(successor) => format!("tickets are with {}", successor.host),
        _ => "nobody took the tickets over".to_owned(),
    };
    host.record_event(Event::new("drain", &text));
    *lock(&host.table_location) = place;
}

/// Hosts to offer the table to, those of this zone first
fn candidates(host: &Host) -> Vec<HostInfo> {
    let view = lock(&host.view);
    let own = &host.settings.host;
    let live = view.hosts().values();
    let live = live.filter(|other| other.state == State::Live && other.info.host != *own);
    let mut live: Vec<&HostInfo> = live.map(|other| &other.info).collect();
    live.sort_by_cached_key(|other| {
        let score = util::stable_hash(&(own, &other.host));
        (other.zone != *view.zone(), std::cmp::Reverse(score))
    });
    live.into_iter().cloned().collect()
}

async fn give(link: &Link, to: &HostInfo, snapshots: &[Snapshot]) -> OfferOutcome {
    let bytes = match postcard::to_stdvec(snapshots) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!("once-only table cannot be encoded: {error}");
            return OfferOutcome::NotTaken;
        }
    };
    let late = async {
        Timer::after(LIMIT).await;
        OfferOutcome::Unknown
    };
    send(link, to, &bytes).or(late).await
}

/// A table whose last frame was not sent is certainly not taken
async fn send(link: &Link, to: &HostInfo, bytes: &[u8]) -> OfferOutcome {
    let mut parts = bytes.chunks(PART);
    let first = Frame::Handover(parts.next().unwrap_or_default().to_vec());
    let Ok(mut exchange) = link.open(to.peer, &to.host, &first).await else {
        return OfferOutcome::NotTaken;
    };
    for part in parts {
        if exchange
            .send(&Frame::Handover(part.to_vec()))
            .await
            .is_err()
        {
            return OfferOutcome::NotTaken;
        }
    }
    if exchange.send(&Frame::End).await.is_err() {
        return OfferOutcome::Unknown;
    }
    match exchange.next().await {
        Ok(Some(Frame::Done)) => OfferOutcome::Taken,
        Ok(Some(_)) => OfferOutcome::NotTaken,
        Ok(None) | Err(_) => OfferOutcome::Unknown,
    }
}

/// Take over the table of a stopping host
pub async fn accept(
    host: &Arc<Host>,
    exchange: &mut Exchange,
    first: Vec<u8>,
    from: &HostId,
) -> Frame {
    let Some(bytes) = collect(exchange, first).await else {
        return Frame::Unsupported;
    };
    let snapshots = match postcard::from_bytes::<Vec<Snapshot>>(&bytes) {
        Ok(snapshots) => snapshots,
        Err(error) => {
            log::warn!("once-only table of {from} cannot be read: {error}");
            return Frame::Unsupported;
        }
    };
    if !matches!(*lock(&host.table_location), Location::Local) {
        return Frame::Unsupported;
    }
    host.record_event(Event::new(
        "drain",
        &format!("took the tickets of {from} over"),
    ));
    let now = Instant::now();
    for snapshot in &snapshots {
        let issuer = Issuer {
            host: snapshot.issuer.clone(),
            incarnation: snapshot.incarnation,
        };
        lock(&host.taken_over).insert(issuer, now);
    }
    lock(&host.tickets).import(now, snapshots);
    Frame::Done
}

async fn collect(exchange: &mut Exchange, first: Vec<u8>) -> Option<Vec<u8>> {
    let mut bytes = first;
    loop {
        match exchange.next().await {
            Ok(Some(Frame::Handover(part))) if bytes.len() + part.len() <= MAX_ENCODED => {
                bytes.extend(part);
            }
            Ok(Some(Frame::End)) => return Some(bytes),
            _ => return None,
        }
    }
}
