//! Signs of life of the hosts that others follow.
//!
//! Load pattern: a host that others read the store's objects from falls silent without closing a
//! connection. Nobody in its region hears of changes meanwhile, so no report shows the lag. Load
//! reports are rarer the more hosts a region has; pulses come at a share of the time in which a change
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

/// First bytes of a pulse; no report begins with 0, and no other datagram with these two
const MARKER: [u8; 2] = [0, 2];

/// Share of the time in which a change must be in force that passes between two pulses
const INTERVAL_SHARE: f64 = 0.1;

/// Share of that time after which a host that sent pulses and falls silent is left; one that is busy
/// may miss two pulses
const TIMEOUT_SHARE: f64 = 0.3;

/// Kinds of objects with a time by which their changes must be in force
const KINDS: [Kind; 3] = [Kind::Configuration, Kind::Endpoints, Kind::Evacuations];

/// Content of a pulse
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// Sender
    pub host: HostId,
    /// Whether others may still follow the sender; the last pulse says that they may not
    pub is_followed: bool,
    /// What the sender has read, each with its era
    marks: BTreeMap<Kind, (Era, Watermark)>,
}

impl Pulse {
    /// Creates a pulse that tells what its sender has read
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

    /// Encodes the pulse as a datagram
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MARKER.to_vec();
        bytes.extend(postcard::to_stdvec(self).expect("plain data is always encoded"));
        bytes
    }

    /// Decodes a datagram; returns `None` if it is not a pulse
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes.strip_prefix(&MARKER)?).ok()
    }
}

/// Returns how long a host that sent pulses may be silent before it is left
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

/// Sends pulses to the hosts of the region while they are to follow this one, forever
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
    let pulse = Pulse::new(host, is_followed, &gateway.mirror.borrow().watermarks()).encode();
    for address in recipients {
        if let Err(error) = socket.send_to(&pulse, address).await {
            log::debug!("cannot send a pulse to {address}: {error}");
        }
    }
}

/// Records a datagram if it is a pulse of a listed host, which is returned
pub fn receive(gateway: &Gateway, now: Instant, sender: SocketAddr, bytes: &[u8]) -> Option<Pulse> {
    let pulse = Pulse::decode(bytes)?;
    let timeout = timeout(gateway.settings.borrow().apply_time);
    let mut fleet = gateway.fleet.borrow_mut();
    if !fleet.is_member_address(&pulse.host, sender.ip()) {
        return None;
    }
    match pulse.is_followed {
        true => fleet.record_pulse(now, &pulse.host, timeout),
        false => fleet.forget_pulses(&pulse.host),
    }
    Some(pulse)
}
