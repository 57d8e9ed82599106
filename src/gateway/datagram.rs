//! Content of the reports between entry hosts, and its encoding.

#![deny(
    clippy::arithmetic_side_effects,
    clippy::indexing_slicing,
    clippy::unchecked_time_subtraction,
    clippy::unwrap_used
)]

use std::collections::BTreeMap;
use std::time::Duration;

use super::holdover::Digest;
use crate::bound;
use crate::fleet::{Report, Watermark};
use crate::id::{HostId, ServiceId};
use crate::platform::store::{Era, Kind};
use crate::quarantine::{EndpointRun, Key, Record};

/// Content of a datagram
#[derive(Debug, PartialEq)]
pub struct Message {
    /// Load and demand of the sender
    pub report: Report,
    /// What the sender has read of the store
    pub watermarks: BTreeMap<Kind, Watermark>,
    /// News of requests that crashed endpoints
    pub suspects: Vec<(Key, Record)>,
    /// Whether the sender tried to read the store lately and could not
    pub cannot_read_store: bool,
    /// Demand of the sender's region, by service; sent to other regions only
    pub region_demand: BTreeMap<ServiceId, f32>,
    /// Whether the sender reads the store itself
    pub reads_store: bool,
    /// Another host that reads the store, and how long ago that was known
    pub store_reader: Option<(HostId, Duration)>,
    /// Digest of what the sender holds since the store came back from an older copy
    pub held: Digest,
    /// Limits of endpoints about which the sender decides
    pub limits: Vec<LimitNews>,
    /// Number of the report, higher than those of earlier ones of the sender; 0 if it states none
    pub sequence: u64,
}

/// Run of an endpoint, the requests a second that it takes, and the age of that in milliseconds
pub type LimitNews = (EndpointRun, Option<f64>, u64);

/// Encodes a message in parts, of which hosts of earlier versions read only the first one or two
///
/// The oldest of them do not know [`Kind::Quarantine`], so its watermark is in the second part. The
/// third has the eras of the watermarks, if the store states any, the fourth whether the sender cannot
/// read the store and the demand of its region, the fifth whether it reads the store, who else does,
/// and what it holds, and the sixth limits of endpoints, if there is any of it to tell. The seventh is
/// the number of the report.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut watermarks = message.watermarks.clone();
    let quarantine = watermarks.remove(&Kind::Quarantine);
    let known = postcard::to_stdvec(&(&message.report, watermarks));
    let added = postcard::to_stdvec(&(quarantine, &message.suspects));
    let mut bytes = known.expect("plain data is always encoded");
    bytes.extend(added.expect("plain data is always encoded"));
    let eras = message
        .watermarks
        .iter()
        .map(|(kind, mark)| (*kind, mark.era));
    let eras: BTreeMap<Kind, Era> = eras.filter(|(_, era)| *era > 0).collect();
    let has_seventh_part = message.sequence > 0;
    let has_sixth_part = has_seventh_part || !message.limits.is_empty();
    let has_fifth_part = has_sixth_part
        || message.reads_store
        || message.store_reader.is_some()
        || message.held != 0;
    let has_fourth_part =
        has_fifth_part || message.cannot_read_store || !message.region_demand.is_empty();
    if !eras.is_empty() || has_fourth_part {
        bytes.extend(postcard::to_stdvec(&eras).expect("plain data is always encoded"));
    }
    if has_fourth_part {
        let fourth = postcard::to_stdvec(&(message.cannot_read_store, &message.region_demand));
        bytes.extend(fourth.expect("plain data is always encoded"));
    }
    if has_fifth_part {
        let reader = message.store_reader.as_ref();
        let reader = reader.map(|(host, age)| (host, age.as_millis() as u64));
        let fifth = postcard::to_stdvec(&(message.reads_store, reader, message.held));
        bytes.extend(fifth.expect("plain data is always encoded"));
    }
    if has_sixth_part {
        let sixth = postcard::to_stdvec(&message.limits);
        bytes.extend(sixth.expect("plain data is always encoded"));
    }
    if has_seventh_part {
        let seventh = postcard::to_stdvec(&message.sequence);
        bytes.extend(seventh.expect("plain data is always encoded"));
    }
    bytes
}

/// Decodes a message, also one of an earlier version
pub fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
    let ((mut report, mut watermarks), rest): ((Report, BTreeMap<Kind, Watermark>), _) =
        postcard::take_from_bytes(bytes)?;
    let mut suspects: Vec<(Key, Record)> = Vec::new();
    let mut cannot_read_store = false;
    let mut region_demand = BTreeMap::new();
    let mut reads_store = false;
    let mut store_reader: Option<(HostId, u64)> = None;
    let mut held = 0;
    let mut limits = Vec::new();
    let mut sequence = 0;
    if !rest.is_empty() {
        let (added, rest) = postcard::take_from_bytes(rest)?;
        let quarantine: Option<Watermark>;
        (quarantine, suspects) = added;
        watermarks.extend(quarantine.map(|watermark| (Kind::Quarantine, watermark)));
        let (eras, rest): (BTreeMap<Kind, Era>, _) = match rest.is_empty() {
            true => (BTreeMap::new(), rest),
            false => postcard::take_from_bytes(rest)?,
        };
        if !rest.is_empty() {
            let (fourth, rest) = postcard::take_from_bytes(rest)?;
            (cannot_read_store, region_demand) = fourth;
            if !rest.is_empty() {
                let (fifth, rest) = postcard::take_from_bytes(rest)?;
                (reads_store, store_reader, held) = fifth;
                if !rest.is_empty() {
                    let (sixth, rest) = postcard::take_from_bytes(rest)?;
                    limits = sixth;
                    if !rest.is_empty() {
                        sequence = postcard::from_bytes(rest)?;
                    }
                }
            }
        }
        for (kind, watermark) in &mut watermarks {
            watermark.era = eras.get(kind).copied().unwrap_or(0);
        }
    }
    report.demand = bounded_demand(report.demand);
    for running in report.running.values_mut() {
        *running = bound::count(*running);
    }
    for (_, record) in &mut suspects {
        record.age = bound::duration(record.age);
    }
    Ok(Message {
        report,
        watermarks,
        suspects,
        cannot_read_store,
        region_demand: bounded_demand(region_demand),
        reads_store,
        store_reader: store_reader.map(|(host, age)| (host, bound::millis(age))),
        held,
        limits,
        sequence,
    })
}

fn bounded_demand(demand: BTreeMap<ServiceId, f32>) -> BTreeMap<ServiceId, f32> {
    let bounded = |(service, slots)| (service, bound::ratio(f64::from(slots)) as f32);
    demand.into_iter().map(bounded).collect()
}
