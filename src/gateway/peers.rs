//! Datagrams between entry hosts, and this host's entry in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::Sender;
use smol::net::UdpSocket;

use super::Gateway;
use crate::fleet::{Lag, Member, PING, Report, Stamp};
use crate::platform::record;
use crate::platform::store::{Error, Kind, Session};

/// Time between two reports of load within a region, for a few hosts
const LOAD: Duration = Duration::from_millis(100);

/// Time that each further host of the region adds to it, so that a host's cost stays bounded
const LOAD_EACH: Duration = Duration::from_millis(8);

/// Time between two reports of demand to hosts of other regions
const DEMAND: Duration = Duration::from_millis(1000);

/// Fleet in which load is told to all hosts
pub const SMALL: usize = 24;

/// Hosts of other regions that hear of the demand each time
const FAR: usize = 4;

/// Pause between two looks at the own entry and at silent hosts
const CHECK: Duration = Duration::from_millis(300);

/// Longest datagram that is read, in bytes
const MAX_DATAGRAM: usize = 16 << 10;

/// Gap in this host's own time that shows that it was paused
const PAUSED: Duration = Duration::from_millis(1200);

/// Read datagrams for ever
pub async fn listen(gateway: Rc<Gateway>, socket: UdpSocket, kicks: BTreeMap<Kind, Sender<()>>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut lag = Lag::new();
    loop {
        let (count, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("cannot read datagrams: {error}");
                Timer::after(CHECK).await;
                continue;
            }
        };
        let Ok((report, stamps)) = decode(&buffer[..count]) else {
            log::debug!("{from} sent a datagram that cannot be read");
            continue;
        };
        if !gateway.fleet.borrow().knows(&report.host, from.ip()) {
            continue;
        }
        let now = Instant::now();
        gateway.fleet.borrow_mut().hear(now, &report);
        if !report.running.is_empty() || report.region == gateway.settings.borrow().region {
            let mut pool = gateway.pool.borrow_mut();
            pool.record_host_report(now, report.host.clone(), report.running.clone());
        }
        if report.ping {
            send(&gateway, &socket, from, false).await;
        }
        compare(&gateway, now, &stamps, &mut lag, &kicks);
    }
}

/// Go on to another source for a kind that stays behind what other hosts know
fn compare(
    gateway: &Gateway,
    now: Instant,
    stamps: &BTreeMap<Kind, Stamp>,
    lag: &mut Lag<Kind>,
    kicks: &BTreeMap<Kind, Sender<()>>,
) {
    let own = gateway.mirror.borrow().stamps();
    for (kind, theirs) in stamps {
        let own = own.get(kind).copied().unwrap_or_default();
        if lag.hear(now, *kind, own, *theirs)
            && let Some(kick) = kicks.get(kind)
            && kick.try_send(()).is_err()
        {
            log::debug!("{kind:?}: already told that it is behind");
        }
    }
}

/// Time between two reports of load to so many hosts
pub fn interval(hosts: usize) -> Duration {
    LOAD + LOAD_EACH * hosts as u32
}

/// Tell hosts of the region what runs here, often; in a small fleet all hosts
pub async fn tell_near(gateway: Rc<Gateway>, socket: UdpSocket) {
    loop {
        let own = gateway.settings.borrow().clone();
        let small = gateway.fleet.borrow().size() <= SMALL;
        let near: Vec<SocketAddr> = gateway
            .fleet
            .borrow()
            .members()
            .filter(|member| small || member.region == own.region)
            .filter(|member| member.host != own.host)
            .map(|member| member.peer)
            .collect();
        Timer::after(interval(near.len())).await;
        gateway.measure(Instant::now());
        gateway.hear_self();
        for address in near {
            send(&gateway, &socket, address, false).await;
        }
    }
}

/// Ping the watched hosts, and tell some hosts of other regions the demand here
pub async fn tell_far(gateway: Rc<Gateway>, socket: UdpSocket) {
    let mut last = Instant::now();
    loop {
        Timer::after(PING).await;
        let watched: Vec<SocketAddr> = {
            let fleet = gateway.fleet.borrow();
            let watched = fleet.successors();
            watched.iter().map(|member| member.peer).collect()
        };
        for address in watched {
            send(&gateway, &socket, address, true).await;
        }
        if last.elapsed() < DEMAND {
            continue;
        }
        last = Instant::now();
        let own = gateway.settings.borrow().region.clone();
        let mut far: Vec<SocketAddr> = gateway
            .fleet
            .borrow()
            .members()
            .filter(|member| member.region != own)
            .map(|member| member.peer)
            .collect();
        fastrand::shuffle(&mut far);
        for address in far.into_iter().take(FAR) {
            send(&gateway, &socket, address, false).await;
        }
    }
}

async fn send(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr, ping: bool) {
    let report = {
        let settings = gateway.settings.borrow();
        Report {
            host: settings.host.clone(),
            region: settings.region.clone(),
            ping,
            demand: gateway.demand(),
            running: gateway.pool.borrow().host_report(),
        }
    };
    let stamps = gateway.mirror.borrow().stamps();
    match encode(&report, &stamps) {
        Ok(bytes) => {
            if let Err(error) = socket.send_to(&bytes, to).await {
                log::debug!("no datagram to {to}: {error}");
            }
        }
        Err(error) => log::error!("a report cannot be encoded: {error}"),
    }
}

fn encode(report: &Report, stamps: &BTreeMap<Kind, Stamp>) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&(report, stamps))
}

fn decode(bytes: &[u8]) -> Result<(Report, BTreeMap<Kind, Stamp>), postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Keep the own entry in the store, and withdraw those of hosts that stay silent
pub async fn register(gateway: Rc<Gateway>) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let mut last = Instant::now();
    loop {
        Timer::after(CHECK).await;
        session.redirect(gateway.settings.borrow().store_address);
        let now = Instant::now();
        if now.saturating_duration_since(last) > PAUSED {
            gateway.fleet.borrow_mut().paused(now);
        }
        last = now;
        if gateway.is_stopping() {
            return;
        }
        if gateway.is_ready()
            && gateway.mirror.borrow().is_read(Kind::Hosts)
            && let Err(error) = enter(&gateway, &mut session).await
        {
            log::debug!("own entry is not written: {error}");
            session.reset();
        }
        let silent = gateway.fleet.borrow_mut().silent(now);
        for member in silent {
            withdraw(&gateway, &mut session, &member).await;
            last = Instant::now();
        }
        gateway
            .metrics
            .store_calls(Kind::Hosts, session.take_calls());
    }
}

async fn enter(gateway: &Gateway, session: &mut Session) -> Result<(), Error> {
    let own = member(gateway);
    let current = gateway.fleet.borrow().own().cloned();
    let same = |listed: &Member| {
        Member {
            revision: listed.revision,
            ..own.clone()
        } == *listed
    };
    if current.as_ref().is_some_and(same) {
        return Ok(());
    }
    let spec = record::from_member(&own);
    let written = match current {
        Some(_) => session.replace(Kind::Hosts, &own.host, &spec).await,
        None => session.create(Kind::Hosts, &own.host, &spec).await,
    };
    match written {
        Err(Error::Conflict) => session.replace(Kind::Hosts, &own.host, &spec).await?,
        Err(Error::Missing) => session.create(Kind::Hosts, &own.host, &spec).await?,
        written => written?,
    }
    // Until the watch tells the revision, a further write would be the same.
    gateway.fleet.borrow_mut().put(own);
    gateway.recorder.event("registered", &[]);
    Ok(())
}

fn member(gateway: &Gateway) -> Member {
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

async fn withdraw(gateway: &Gateway, session: &mut Session, member: &Member) {
    let fields = [("host", member.host.as_str().into())];
    gateway.recorder.event("host-silent", &fields);
    let revision = Some(member.revision).filter(|revision| *revision > 0);
    let now = Instant::now();
    gateway.fleet.borrow_mut().lose(now, &member.host);
    gateway.pool.borrow_mut().remove_host(&member.host);
    // The watch tells when the entry is gone. A conflict means that the host wrote it anew.
    if let Err(error) = session.delete(Kind::Hosts, &member.host, revision).await {
        log::debug!("entry of {} is not withdrawn: {error}", member.host);
        session.reset();
    }
}

/// Withdraw the own entry before a planned stop
pub async fn leave(gateway: &Gateway, limit: Instant) {
    let mut session = Session::new(gateway.settings.borrow().store_address);
    let host = gateway.settings.borrow().host.clone();
    while Instant::now() < limit {
        match session.delete(Kind::Hosts, &host, None).await {
            Ok(()) => return,
            Err(error) => log::debug!("own entry is not withdrawn: {error}"),
        }
        session.reset();
        Timer::after(CHECK).await;
    }
}
