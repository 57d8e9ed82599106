//! Signs of life of the hosts that others follow.
//!
//! Load pattern: a host that others read the store's objects from falls silent without closing a
//! connection. Nobody in its region hears of changes meanwhile, so no report shows the lag. Load
//! reports are rarer the more hosts a region has; heartbeats come at a share of the time in which a change
//! must be in force, whatever the number of hosts, and only from the few hosts that are followed.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::UdpSocket;

use super::Gateway;
use super::source::sources;
use crate::fleet::Watermark;
use crate::id::HostId;
use crate::platform::store::{Era, Kind};

/// First bytes of a heartbeat; no report begins with 0, and no other datagram with these two
const MARKER: [u8; 2] = [0, 2];

/// Share of the time in which a change must be in force that passes between two heartbeats
const INTERVAL_SHARE: f64 = 0.1;

/// Share of that time after which a host that sent heartbeats and falls silent is left; one that is busy
/// may miss two heartbeats
const TIMEOUT_SHARE: f64 = 0.3;

/// Kinds of objects with a time by which their changes must be in force
const KINDS: [Kind; 3] = [Kind::Configuration, Kind::Endpoints, Kind::Evacuations];

/// Content of a heartbeat
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender
    pub host: HostId,
    /// Whether others may still follow the sender; the last heartbeat says that they may not
    pub is_followed: bool,
    /// What the sender has read, each with its era
    marks: BTreeMap<Kind, (Era, Watermark)>,
}

impl Heartbeat {
    /// Creates a heartbeat that tells what its sender has read
    pub fn new(host: HostId, is_followed: bool, read: &BTreeMap<Kind, Watermark>) -> Self {
        let marks = read.iter().filter(|(kind, _)| KINDS.contains(kind));
        Self {
            host,
            is_followed,
            marks: marks
                .map(|(kind, mark)| (*kind, (mark.era, mark.with_era(0))))
                .collect(),
        }
    }

    /// Returns what the sender has read
    pub fn watermarks(&self) -> BTreeMap<Kind, Watermark> {
        let marks = self.marks.iter();
        marks
            .map(|(kind, (era, mark))| (*kind, mark.with_era(*era)))
            .collect()
    }

    /// Encodes the heartbeat as a datagram
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MARKER.to_vec();
        bytes.extend(postcard::to_stdvec(self).expect("plain data is always encoded"));
        bytes
    }

    /// Decodes a datagram; returns `None` if it is not a heartbeat
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes.strip_prefix(&MARKER)?).ok()
    }
}

/// Returns how long a host that sent heartbeats may be silent before it is left
pub fn timeout(apply_time: Duration) -> Duration {
    apply_time.mul_f64(TIMEOUT_SHARE)
}

/// Returns whether the hosts of the region are to follow this one, and it serves them
fn is_followed(gateway: &Gateway) -> bool {
    let is_reader = sources(gateway)
        .first()
        .is_some_and(|source| source.is_store);
    let mirror = gateway.mirror.borrow();
    is_reader && mirror.is_followable(Instant::now(), Kind::Configuration)
}

/// Sends heartbeats to the hosts of the region while they are to follow this one, forever
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let mut was_followed = false;
    loop {
        let apply_time = gateway.settings.borrow().apply_time;
        Timer::after(apply_time.mul_f64(INTERVAL_SHARE)).await;
        let is_followed = is_followed(&gateway);
        if is_followed || was_followed {
            send(&gateway, &socket, is_followed).await;
        }
        was_followed = is_followed;
    }
}

async fn send(gateway: &Gateway, socket: &UdpSocket, is_followed: bool) {
    let (host, region) = {
        let settings = gateway.settings.borrow();
        (settings.host.clone(), settings.region.clone())
    };
    let recipients: Vec<SocketAddr> = {
        let fleet = gateway.fleet.borrow();
        let members = fleet.members();
        let others = members.filter(|member| member.region == region && member.host != host);
        others.map(|member| member.peer).collect()
    };
    let heartbeat =
        Heartbeat::new(host, is_followed, &gateway.mirror.borrow().watermarks()).encode();
    for address in recipients {
        if let Err(error) = socket.send_to(&heartbeat, address).await {
            log::debug!("cannot send a heartbeat to {address}: {error}");
        }
    }
}

/// Records a datagram if it is a heartbeat of a listed host, which is returned
pub fn receive(
    gateway: &Gateway,
    now: Instant,
    sender: SocketAddr,
    bytes: &[u8],
) -> Option<Heartbeat> {
    let heartbeat = Heartbeat::decode(bytes)?;
    let timeout = timeout(gateway.settings.borrow().apply_time);
    let mut fleet = gateway.fleet.borrow_mut();
    if !fleet.is_member_address(&heartbeat.host, sender.ip()) {
        return None;
    }
    match heartbeat.is_followed {
        true => fleet.record_heartbeat(now, &heartbeat.host, timeout),
        false => fleet.forget_heartbeats(&heartbeat.host),
    }
    Some(heartbeat)
}
