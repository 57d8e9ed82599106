//! Handover of a stopping host's ticket table to one successor.
//!
//! `drain` decides which host is offered which tickets. Once the table is exported, none of its
//! tickets runs here any more.

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

/// Bytes of the encoded table in one frame
const FRAME_BYTES: usize = 1 << 20;

/// Most bytes of stored responses that are handed over
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Largest encoded table that is accepted
const MAX_ENCODED_BYTES: usize = 64 << 20;

/// How long the offer to one host may take
const OFFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between checks of a handover in progress
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Location of this host's ticket table
#[derive(Clone, Debug, Default)]
pub enum Location {
    /// On this host
    #[default]
    Local,
    /// Being handed over
    Transferring,
    /// On a successor
    Successor(Box<HostInfo>),
    /// On no known host
    Lost,
}

/// Returns the location once no handover is in progress; `None` at the deadline
pub async fn settled_location(host: &Host, deadline: Instant) -> Option<Location> {
    loop {
        let location = lock(&host.table_location).clone();
        if !matches!(location, Location::Transferring) {
            return Some(location);
        }
        if Instant::now() >= deadline {
            return None;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Hands the table over once none of its tickets runs, or at the deadline
pub async fn hand_over(host: &Arc<Host>, link: &Link, deadline: Instant) {
    *lock(&host.table_location) = Location::Transferring;
    while lock(&host.tickets).running_count() > 0 && Instant::now() < deadline {
        Timer::after(POLL_INTERVAL).await;
    }
    let candidates = candidates(host);
    let snapshots = lock(&host.tickets).export(!candidates.is_empty());
    let names = candidates.iter().map(|candidate| candidate.host.clone());
    let mut handover = Handover::new(snapshots, names).with_max_bytes(MAX_RESPONSE_BYTES);
    while let Some(offer) = handover.next_offer() {
        let recipient = candidates
            .iter()
            .find(|candidate| candidate.host == offer.to);
        let outcome = match recipient {
            Some(recipient) => offer_tickets(link, recipient, &offer.snapshots).await,
            None => OfferOutcome::NotTaken,
        };
        log::info!("offered tickets to {}: {outcome:?}", offer.to);
        handover.record_outcome(outcome);
    }
    let successor = handover.successor();
    let successor = candidates
        .iter()
        .find(|candidate| Some(&candidate.host) == successor);
    let location = match successor {
        Some(successor) => Location::Successor(Box::new(successor.clone())),
        None => Location::Lost,
    };
    let text = match &location {
        Location::Successor(successor) => format!("handed tickets over to {}", successor.host),
        _ => "no host took the tickets over".to_owned(),
    };
    host.record_event(Event::new("drain", &text));
    *lock(&host.table_location) = location;
}

/// Returns the live hosts to offer the table to, those of this zone first
fn candidates(host: &Host) -> Vec<HostInfo> {
    let view = lock(&host.view);
    let own_host = &host.settings.host;
    let others = view.hosts().values();
    let others = others.filter(|other| other.state == State::Live && other.info.host != *own_host);
    let mut candidates: Vec<&HostInfo> = others.map(|other| &other.info).collect();
    candidates.sort_by_cached_key(|other| {
        let score = util::stable_hash(&(own_host, &other.host));
        (other.zone != *view.zone(), std::cmp::Reverse(score))
    });
    candidates.into_iter().cloned().collect()
}

async fn offer_tickets(link: &Link, to: &HostInfo, snapshots: &[Snapshot]) -> OfferOutcome {
    let bytes = match postcard::to_stdvec(snapshots) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!("cannot encode the ticket table: {error}");
            return OfferOutcome::NotTaken;
        }
    };
    let timeout = async {
        Timer::after(OFFER_TIMEOUT).await;
        OfferOutcome::Unknown
    };
    send_table(link, to, &bytes).or(timeout).await
}

/// Sends the encoded table; one whose last frame was not sent is certainly not taken
async fn send_table(link: &Link, to: &HostInfo, bytes: &[u8]) -> OfferOutcome {
    let mut chunks = bytes.chunks(FRAME_BYTES);
    let first = Frame::Handover(chunks.next().unwrap_or_default().to_vec());
    let Ok(mut exchange) = link.open(to.peer, &to.host, &first).await else {
        return OfferOutcome::NotTaken;
    };
    for chunk in chunks {
        if exchange
            .send(&Frame::Handover(chunk.to_vec()))
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

/// Accepts the table of a stopping host; returns the frame to reply with
pub async fn accept(
    host: &Arc<Host>,
    exchange: &mut Exchange,
    first: Vec<u8>,
    from: &HostId,
) -> Frame {
    let Some(bytes) = receive_table(exchange, first).await else {
        return Frame::Unsupported;
    };
    let snapshots = match postcard::from_bytes::<Vec<Snapshot>>(&bytes) {
        Ok(snapshots) => snapshots,
        Err(error) => {
            log::warn!("cannot decode the ticket table of {from}: {error}");
            return Frame::Unsupported;
        }
    };
    if !matches!(*lock(&host.table_location), Location::Local) {
        return Frame::Unsupported;
    }
    host.record_event(Event::new(
        "drain",
        &format!("took over the tickets of {from}"),
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

async fn receive_table(exchange: &mut Exchange, first: Vec<u8>) -> Option<Vec<u8>> {
    let mut bytes = first;
    loop {
        match exchange.next().await {
            Ok(Some(Frame::Handover(chunk))) if bytes.len() + chunk.len() <= MAX_ENCODED_BYTES => {
                bytes.extend(chunk);
            }
            Ok(Some(Frame::End)) => return Some(bytes),
            _ => return None,
        }
    }
}
