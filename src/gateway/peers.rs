//! Load reports between entry hosts, and this host's entry in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::net::UdpSocket;

use super::datagram::{Message, decode, encode};
use super::source::{LagMonitor, Resync};
use super::{Gateway, heartbeat, holdover_sync, limit, quarantine};
use crate::fleet::{
    Member, PING_INTERVAL, Report, SMALL_FLEET_HOSTS, Watermark, load_report_interval,
};
use crate::id::{HostId, RegionId, ServiceId};
use crate::platform::record;
use crate::platform::store::{Error, Kind, Session};
use crate::quarantine::Source;

/// Interval of demand reports to hosts of other regions
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Number of hosts of other regions that get each demand report
const DEMAND_REPORT_HOSTS: usize = 4;

/// Interval at which this host's entry and silent hosts are checked
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum length of a datagram, in bytes
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Gap between two checks that shows that this process was paused
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1200);

/// Receives reports from other hosts, forever
pub async fn receive_reports(
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    resync_senders: BTreeMap<Kind, Sender<Resync>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut lag = LagMonitor::default();
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("cannot receive datagrams: {error}");
                Timer::after(CHECK_INTERVAL).await;
                continue;
            }
        };
        let heartbeat = heartbeat::receive(&gateway, Instant::now(), sender, &buffer[..length]);
        if let Some(heartbeat) = heartbeat {
            let watermarks = heartbeat.watermarks();
            request_resyncs(
                &gateway,
                &mut lag,
                &heartbeat.host,
                &watermarks,
                &resync_senders,
            );
            continue;
        }
        if limit::receive(&gateway, &socket, sender, &buffer[..length]).await {
            continue;
        }
        let Ok(message) = decode(&buffer[..length]) else {
            log::debug!("cannot decode a datagram from {sender}");
            continue;
        };
        let report = &message.report;
        if !gateway
            .fleet
            .borrow()
            .is_member_address(&report.host, sender.ip())
        {
            continue;
        }
        let is_own_region = report.region == gateway.settings.borrow().region;
        record(&gateway, Instant::now(), &message);
        if report.ping {
            send_reports(&gateway, &socket, &[(sender, is_own_region)], false).await;
        }
        request_resyncs(
            &gateway,
            &mut lag,
            &message.report.host,
            &message.watermarks,
            &resync_senders,
        );
    }
}

/// Records what a listed host tells; of a report that is older than the last one, only what is true
/// whenever it comes
pub(super) fn record(gateway: &Gateway, now: Instant, message: &Message) {
    let report = &message.report;
    let is_own_region = report.region == gateway.settings.borrow().region;
    let source = match is_own_region {
        true => Source::Region,
        false => Source::Elsewhere,
    };
    for (key, record) in &message.suspects {
        quarantine::merge(gateway, *key, record, source);
    }
    {
        let mut fleet = gateway.fleet.borrow_mut();
        if !fleet.record_sequence(now, &report.host, message.sequence) {
            return fleet.record_sign_of_life(now, &report.host);
        }
        fleet.record_report(now, report);
        if message.cannot_read_store {
            fleet.record_reader_failure(now, &report.host);
        }
        match message.reads_store {
            true => fleet.record_store_reader(now, &report.host),
            false => fleet.forget_store_reader(&report.host),
        }
        if let Some((host, age)) = &message.store_reader
            && let Some(at) = now.checked_sub(*age)
        {
            fleet.record_store_reader_heard(at, host);
        }
        if !message.region_demand.is_empty() && !is_own_region {
            let demand = message.region_demand.clone();
            fleet.record_region_demand(now, report.region.clone(), demand);
        }
    }
    let own = match message.held {
        0 => 0,
        _ => holdover_sync::own_digest(gateway),
    };
    let eras = message.watermarks.values().map(|watermark| watermark.era);
    let era = eras.max().unwrap_or(0);
    let mut offers = gateway.offers.borrow_mut();
    offers.record(now, &report.host, message.held, own, era);
    drop(offers);
    if !report.running.is_empty() || is_own_region {
        let mut pool = gateway.pool.borrow_mut();
        pool.record_host_report(now, report.host.clone(), report.running.clone());
    }
    gateway.record_limit_news(now, &message.limits);
}

/// Has the kinds read again that stay behind what another host has read
fn request_resyncs(
    gateway: &Gateway,
    lag: &mut LagMonitor,
    host: &HostId,
    watermarks: &BTreeMap<Kind, Watermark>,
    resync_senders: &BTreeMap<Kind, Sender<Resync>>,
) {
    for (kind, resync) in lag.observe(gateway, Instant::now(), host, watermarks) {
        if let Some(resync_sender) = resync_senders.get(&kind)
            && resync_sender.try_send(resync).is_err()
        {
            log::debug!("{kind:?}: a resync is already pending");
        }
    }
}

/// Reports the local load to the hosts of the region, in a small fleet to all hosts
pub async fn report_load(gateway: Rc<Gateway>, socket: UdpSocket) {
    loop {
        let settings = gateway.settings.borrow().clone();
        let is_small = gateway.fleet.borrow().size() <= SMALL_FLEET_HOSTS;
        let recipients: Vec<Recipient> = gateway
            .fleet
            .borrow()
            .members()
            .filter(|member| is_small || member.region == settings.region)
            .filter(|member| member.host != settings.host)
            .map(|member| (member.peer, member.region == settings.region))
            .collect();
        let interval = async {
            Timer::after(load_report_interval(recipients.len())).await;
        };
        let urgent_news = async {
            // The sender is dropped only with the gateway.
            let _ = gateway.urgent_news.1.recv().await;
        };
        interval.or(urgent_news).await;
        gateway.observe_demand(Instant::now());
        gateway.record_own_demand();
        send_reports(&gateway, &socket, &recipients, false).await;
    }
}

/// Pings the watched hosts, and reports the local demand to some hosts of other regions
pub async fn ping_and_report_demand(gateway: Rc<Gateway>, socket: UdpSocket) {
    let mut last_report = Instant::now();
    loop {
        Timer::after(PING_INTERVAL).await;
        let home_region = gateway.settings.borrow().region.clone();
        let watched: Vec<Recipient> = {
            let fleet = gateway.fleet.borrow();
            let watched = fleet.successors();
            let watched = watched.iter();
            watched
                .map(|member| (member.peer, member.region == home_region))
                .collect()
        };
        send_reports(&gateway, &socket, &watched, true).await;
        if last_report.elapsed() < DEMAND_REPORT_INTERVAL {
            continue;
        }
        last_report = Instant::now();
        let mut recipients: Vec<Recipient> = gateway
            .fleet
            .borrow()
            .members()
            .filter(|member| member.region != home_region)
            .map(|member| (member.peer, false))
            .collect();
        fastrand::shuffle(&mut recipients);
        recipients.truncate(DEMAND_REPORT_HOSTS);
        send_reports(&gateway, &socket, &recipients, false).await;
    }
}

/// Address of a host, and whether it is in the region of this one
type Recipient = (SocketAddr, bool);

/// Sends a report of this moment to each recipient
async fn send_reports(gateway: &Gateway, socket: &UdpSocket, recipients: &[Recipient], ping: bool) {
    let mut reports: BTreeMap<bool, Vec<u8>> = BTreeMap::new();
    for (address, to_own_region) in recipients {
        let report = reports
            .entry(*to_own_region)
            .or_insert_with(|| encode_report(gateway, *to_own_region, ping));
        if let Err(error) = socket.send_to(report, address).await {
            log::debug!("cannot send a report to {address}: {error}");
        }
    }
}

fn encode_report(gateway: &Gateway, to_own_region: bool, ping: bool) -> Vec<u8> {
    let now = Instant::now();
    let settings = gateway.settings.borrow();
    let report = Report {
        host: settings.host.clone(),
        region: settings.region.clone(),
        ping,
        demand: gateway.demand(),
        running: gateway.pool.borrow().host_report(),
    };
    let quarantine = gateway.quarantine.borrow();
    let message = Message {
        report,
        watermarks: gateway.mirror.borrow().watermarks(),
        suspects: quarantine.news(now, to_own_region),
        cannot_read_store: cannot_serve_reads(gateway, now),
        reads_store: gateway
            .mirror
            .borrow()
            .reads_store(now, Kind::Configuration),
        store_reader: known_store_reader(gateway, now),
        held: holdover_sync::own_digest(gateway),
        region_demand: match to_own_region {
            true => BTreeMap::new(),
            false => region_demand(gateway, &settings.region),
        },
        limits: gateway.limit_news(now),
        sequence: gateway.next_sequence(),
    };
    encode(&message)
}

/// Returns whether this host failed to read the store lately and has no copy for others to read
fn cannot_serve_reads(gateway: &Gateway, now: Instant) -> bool {
    let host = &gateway.settings.borrow().host;
    gateway.fleet.borrow().has_failed_as_reader(now, host)
        && !gateway
            .mirror
            .borrow()
            .is_followable(now, Kind::Configuration)
}

/// Returns another host that reads the store, and how long ago it was known to
///
/// Only a host that the store does not serve passes this on: hosts that it serves need not know.
fn known_store_reader(gateway: &Gateway, now: Instant) -> Option<(HostId, Duration)> {
    if !gateway.contact.get().is_lost() {
        return None;
    }
    let fleet = gateway.fleet.borrow();
    let latest = fleet.store_readers(now).min_by_key(|(_, age)| *age);
    latest.map(|(member, age)| (member.host.clone(), age))
}

/// Returns the demand of this host's region, by service
fn region_demand(gateway: &Gateway, region: &RegionId) -> BTreeMap<ServiceId, f32> {
    let now = Instant::now();
    let fleet = gateway.fleet.borrow();
    let own = gateway.demand();
    let demand = own.keys().map(|service| {
        let by_region = fleet.demand_by_region(now, service);
        let busy = by_region.get(region).copied().unwrap_or(0.0);
        (service.clone(), busy as f32)
    });
    demand.collect()
}

/// Maintains this host's entry in the store, and removes the entries of silent hosts
pub async fn maintain_entry(gateway: Rc<Gateway>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut last_check = Instant::now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        session.set_address(gateway.settings.borrow().store_address);
        let now = Instant::now();
        if now.saturating_duration_since(last_check) > PAUSE_THRESHOLD {
            gateway.fleet.borrow_mut().restart_timeouts(now);
        }
        last_check = now;
        if gateway.is_stopping() {
            return;
        }
        if gateway.is_ready()
            && gateway.mirror.borrow().was_read(Kind::Hosts)
            && !is_own_entry_current(&gateway)
            && gateway.enter_store(now).is_zero()
            && let Err(error) = write_own_entry(&gateway, &mut session).await
        {
            gateway.record_store_error(Instant::now(), &error);
            log::debug!("cannot write this host's entry: {error}");
            session.disconnect();
        }
        let silent = gateway.fleet.borrow_mut().unresponsive_members(now);
        for member in silent {
            remove_silent_host(&gateway, &mut session, &member).await;
            last_check = Instant::now();
        }
        gateway
            .metrics
            .count_store_calls(Kind::Hosts, session.take_call_count());
    }
}

fn is_own_entry_current(gateway: &Gateway) -> bool {
    let entry = own_entry(gateway);
    let fleet = gateway.fleet.borrow();
    fleet.own_member().is_some_and(|listed| {
        let revision = listed.revision;
        Member { revision, ..entry } == *listed
    })
}

async fn write_own_entry(gateway: &Gateway, session: &mut Session) -> Result<(), Error> {
    let entry = own_entry(gateway);
    let stored = gateway.fleet.borrow().own_member().cloned();
    let spec = record::encode_member(&entry);
    let result = match stored {
        Some(_) => session.replace(Kind::Hosts, &entry.host, &spec).await,
        None => session.create(Kind::Hosts, &entry.host, &spec).await,
    };
    match result {
        Err(Error::Conflict) => session.replace(Kind::Hosts, &entry.host, &spec).await?,
        Err(Error::NotFound) => session.create(Kind::Hosts, &entry.host, &spec).await?,
        result => result?,
    }
    gateway.record_store_success();
    // Until the watch returns the entry's revision, another write would be redundant.
    gateway.fleet.borrow_mut().put(Instant::now(), entry);
    gateway.recorder.event("registered", &[]);
    Ok(())
}

fn own_entry(gateway: &Gateway) -> Member {
    let settings = gateway.settings.borrow();
    Member {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        caller: settings.caller_address,
        peer: settings.peer_address,
        control: settings.control_address,
        incarnation: gateway.incarnation,
        weight: settings.weight,
        revision: 0,
    }
}

async fn remove_silent_host(gateway: &Gateway, session: &mut Session, member: &Member) {
    if !gateway.mirror.borrow().is_current(Kind::Hosts) {
        // The revision of the entry is of an earlier era, so the deletion could hit another one.
        return;
    }
    let fields = [("host", member.host.as_str().into())];
    gateway.recorder.event("host-silent", &fields);
    let revision = Some(member.revision).filter(|revision| *revision > 0);
    let now = Instant::now();
    gateway
        .fleet
        .borrow_mut()
        .mark_unresponsive(now, &member.host);
    gateway.pool.borrow_mut().remove_host(&member.host);
    // The watch removes the member from the list. A conflict means that the host wrote its entry
    // anew.
    if let Err(error) = session.delete(Kind::Hosts, &member.host, revision).await {
        log::debug!("cannot delete the entry of host {}: {error}", member.host);
        session.disconnect();
    }
}

/// Removes this host's entry before a planned stop
pub async fn remove_own_entry(gateway: &Gateway, deadline: Instant) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let host = gateway.settings.borrow().host.clone();
    while Instant::now() < deadline {
        match session.delete(Kind::Hosts, &host, None).await {
            Ok(()) => return,
            Err(error) => log::debug!("cannot delete this host's entry: {error}"),
        }
        session.disconnect();
        Timer::after(CHECK_INTERVAL).await;
    }
}
