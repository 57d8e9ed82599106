//! Tasks that carry the decisions of a [`View`] out: heartbeats, the list of hosts, and
//! configurations that another host has first.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;
use smol::stream::StreamExt;

use crate::id::{HostId, Version};
use crate::member::{CROSS_ZONE_HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL, HostInfo, View};
use crate::object;
use crate::peer::{self, Exchange, Link, Moved};
use crate::wire::{Frame, Heartbeat, Issuer};

/// Most quarantined keys in one heartbeat
pub const MAX_QUARANTINED: usize = 64;

/// Most tickets taken over in one heartbeat
pub const MAX_TAKEN_OVER: usize = 64;

/// Time after which a host drives a pair itself that the other side should drive
const UNDRIVEN: Duration = Duration::from_millis(1200);

/// Time from a heartbeat to the look for its acknowledgement
const LOOK: Duration = Duration::from_millis(75);

/// Pause before a host that could not be reached is tried again
const RETRY: Duration = Duration::from_secs(2);

/// Longest wait for an answer from another host
const ANSWER: Duration = Duration::from_secs(5);

/// Shortest and longest time between two reads of the platform's list
const LIST: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Time between two reads of the platform's list for each host on it
const LIST_PER_HOST: Duration = Duration::from_millis(10);

/// Shortest and longest pause after a failed call of the platform
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Function that tells the agent something
pub type Getter<T> = Box<dyn Fn() -> T + Send + Sync>;

/// Function that the agent tells something
pub type Handler<T> = Box<dyn Fn(T) + Send + Sync>;

/// Function that the agent asks about something
pub type Query<A, T> = Box<dyn Fn(A) -> T + Send + Sync>;

/// What the rest of the process tells the agent and is told by it
pub struct Hooks {
    /// Number of the configuration in force
    pub config_number: Getter<Version>,
    /// Bytes that lead from a number to the configuration in force; from 0 all of it
    pub config_update: Query<Version, Option<Vec<u8>>>,
    /// Put a configuration in force if its number is higher; `false` if all of it is needed
    pub apply_config: Query<Vec<u8>, bool>,
    /// Quarantined keys to tell others
    pub quarantined_keys: Getter<Vec<u64>>,
    /// Quarantined keys that another host told
    pub add_quarantined_keys: Handler<Vec<u64>>,
    /// Issuers whose tickets were taken over
    pub taken_over: Getter<Vec<Issuer>>,
    /// Bytes of control frames that went to or came from other hosts
    pub count_control_bytes: Handler<Moved>,
}

/// Membership of one process
pub struct Agent {
    link: Link,
    view: Arc<Mutex<View>>,
    hooks: Hooks,
    host: HostId,
    beating: Mutex<BTreeSet<Target>>,
    driven: Mutex<BTreeMap<HostId, Instant>>,
    fetching: AtomicBool,
    listing: AtomicBool,
    cut_off: AtomicBool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    host: HostId,
    address: SocketAddr,
    far: bool,
}

/// What a driven stream waits for
enum Wake {
    /// Time to send a heartbeat
    Beat,
    /// Time to look for the acknowledgement
    Look,
    /// Something came
    Frame(Box<Result<Option<Frame>, peer::Error>>),
}

impl Agent {
    /// Agent of a process
    pub fn new(link: Link, view: Arc<Mutex<View>>, hooks: Hooks) -> Self {
        let host = lock(&view).own_host().clone();
        Self {
            link,
            view,
            hooks,
            host,
            beating: Mutex::default(),
            driven: Mutex::default(),
            fetching: AtomicBool::new(false),
            listing: AtomicBool::new(false),
            cut_off: AtomicBool::new(false),
        }
    }

    /// Send heartbeats and keep the list of hosts, for ever
    ///
    /// `seeds` are addresses of hosts to ask while neither the platform nor a heartbeat has told
    /// about any host.
    pub async fn run(self: Arc<Self>, platform: object::Client, seeds: Vec<SocketAddr>) {
        let list = self.clone().follow_list(platform, seeds);
        smol::spawn(list).detach();
        loop {
            for target in self.targets() {
                self.beat(target);
            }
            Timer::after(HEARTBEAT_INTERVAL / 2).await;
        }
    }

    /// Answer frames about membership and configuration
    ///
    /// `host` is the name in the certificate of the other side.
    pub async fn handle(self: Arc<Self>, mut exchange: Exchange, first: Frame, host: HostId) {
        let answered = match first {
            Frame::Heartbeat(_) => self.listen(&mut exchange, first, &host).await,
            Frame::Fetch(number) => exchange.send(&self.revision(number)).await,
            Frame::List(number) => exchange.send(&self.list(number)).await,
            _ => exchange.send(&Frame::Unsupported).await,
        };
        if let Err(error) = answered {
            log::debug!("{host}: {error}");
        }
    }

    /// Whether this process is one of those of its zone that ask the platform
    pub fn is_watcher(&self) -> bool {
        lock(&self.view).is_watcher()
    }

    fn targets(&self) -> Vec<Target> {
        lock(&self.driven).retain(|_, last| last.elapsed() <= UNDRIVEN);
        let view = lock(&self.view);
        let near = view.zone_peers().map(|host| target(&host.info, false));
        let far = view.cross_zone_peers().into_iter();
        let far = far.map(|name| target(&view.hosts()[name].info, true));
        let all: Vec<Target> = near.chain(far).collect();
        drop(view);
        all.into_iter()
            .filter(|target| self.drives(target))
            .collect()
    }

    /// Whether this host opens the stream of the pair
    ///
    /// Inside a zone the lower name does, and the higher one while it is not being driven.
    fn drives(&self, target: &Target) -> bool {
        if target.far || self.host < target.host {
            return true;
        }
        let driven = lock(&self.driven);
        let last = driven.get(&target.host);
        last.is_none_or(|last| last.elapsed() > UNDRIVEN)
    }

    fn wants(&self, target: &Target) -> bool {
        let view = lock(&self.view);
        let known = view.hosts().get(&target.host);
        let same = known.is_some_and(|host| host.info.peer == target.address);
        let near = !target.far || view.cross_zone_peers().contains(&&target.host);
        drop(view);
        same && near && self.drives(target)
    }

    fn beat(self: &Arc<Self>, target: Target) {
        if !lock(&self.beating).insert(target.clone()) {
            return;
        }
        let agent = self.clone();
        let beats = async move {
            while agent.wants(&target) {
                if let Err(error) = agent.drive(&target).await {
                    log::debug!("heartbeat: {error}");
                }
            }
            lock(&agent.beating).remove(&target);
        };
        smol::spawn(beats).detach();
    }

    /// Send heartbeats until the stream breaks
    ///
    /// The other side is heard by its own heartbeats, which it sends when they change, and by its
    /// acknowledgements in between.
    async fn drive(self: &Arc<Self>, target: &Target) -> Result<(), peer::Error> {
        let Target { host, address, far } = target;
        let interval = if *far {
            CROSS_ZONE_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let mut said = self.heartbeat();
        let first = Frame::Heartbeat(said.clone());
        let mut exchange = match self.link.open(*address, host, &first).await {
            Ok(exchange) => exchange,
            Err(error) => {
                lock(&self.view).mark_unreachable(Instant::now(), host);
                Timer::after(RETRY).await;
                return Err(error);
            }
        };
        let (mut heard, mut packets) = (None, exchange.packets());
        let mut beats = Timer::interval(interval);
        let mut looks = Timer::interval_at(Instant::now() + LOOK, interval);
        loop {
            (self.hooks.count_control_bytes)(exchange.take_moved());
            let beat = async { beats.next().await.map(|_| Wake::Beat) };
            let look = async { looks.next().await.map(|_| Wake::Look) };
            let frame = async { Some(Wake::Frame(Box::new(exchange.next().await))) };
            match frame.or(beat).or(look).await {
                Some(Wake::Frame(frame)) => {
                    if !self.take(&mut heard, (*frame)?, host) {
                        return Ok(());
                    }
                }
                Some(Wake::Beat) if self.wants(target) => {
                    exchange.send(&self.beat_after(&mut said)).await?;
                }
                Some(Wake::Look) => {
                    let before = std::mem::replace(&mut packets, exchange.packets());
                    if let Some(heartbeat) = heard.as_ref().filter(|_| packets > before) {
                        self.heard(heartbeat);
                    }
                }
                Some(Wake::Beat) | None => return Ok(()),
            }
        }
    }

    /// Frame that says how this host is, short where nothing changed
    fn beat_after(&self, said: &mut Heartbeat) -> Frame {
        let heartbeat = self.heartbeat();
        if *said == heartbeat {
            return Frame::Same;
        }
        said.clone_from(&heartbeat);
        Frame::Heartbeat(heartbeat)
    }

    /// Take a frame that should be a heartbeat; says whether it is one
    fn take(
        self: &Arc<Self>,
        last: &mut Option<Heartbeat>,
        frame: Option<Frame>,
        host: &HostId,
    ) -> bool {
        match frame {
            Some(Frame::Heartbeat(heartbeat)) if heartbeat.host == *host => {
                *last = Some(heartbeat);
            }
            Some(Frame::Same) if last.is_some() => {}
            Some(frame) => {
                log::warn!("{host} sent {frame:?} in place of its heartbeat");
                return false;
            }
            None => return false,
        }
        if let Some(heartbeat) = last {
            self.heard(heartbeat);
        }
        true
    }

    fn heartbeat(&self) -> Heartbeat {
        let number = (self.hooks.config_number)();
        let mut held = (self.hooks.taken_over)();
        let mut quarantined = (self.hooks.quarantined_keys)();
        held.truncate(MAX_TAKEN_OVER);
        quarantined.truncate(MAX_QUARANTINED);
        lock(&self.view).heartbeat(number, &held, &quarantined)
    }

    /// Take heartbeats and answer with one of this host when it changed
    ///
    /// The transport's acknowledgements tell the other side that this process runs.
    async fn listen(
        self: Arc<Self>,
        exchange: &mut Exchange,
        first: Frame,
        host: &HostId,
    ) -> Result<(), peer::Error> {
        let mut heard = None;
        let mut frame = Some(first);
        let mut said = self.heartbeat();
        exchange.send(&Frame::Heartbeat(said.clone())).await?;
        while self.take(&mut heard, frame, host) {
            lock(&self.driven).insert(host.clone(), Instant::now());
            match self.beat_after(&mut said) {
                Frame::Same => {}
                changed => exchange.send(&changed).await?,
            }
            (self.hooks.count_control_bytes)(exchange.take_moved());
            frame = exchange.next().await?;
        }
        Ok(())
    }

    fn heard(self: &Arc<Self>, heartbeat: &Heartbeat) {
        let mut view = lock(&self.view);
        view.record_heartbeat(Instant::now(), heartbeat);
        let near = heartbeat.zone == *view.zone();
        let follows = !view.is_watcher() || self.cut_off.load(Ordering::Relaxed);
        let followed = view.list_source();
        let followed = followed.is_some_and(|host| host.info.host == heartbeat.host);
        let other_list = view.list_hash() != heartbeat.listing;
        drop(view);
        (self.hooks.add_quarantined_keys)(heartbeat.quarantined.clone());
        if heartbeat.number > (self.hooks.config_number)() {
            self.fetch(heartbeat);
        }
        if near && follows && followed && other_list {
            self.fetch_list(heartbeat);
        }
    }

    fn fetch(self: &Arc<Self>, from: &Heartbeat) {
        if self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let (agent, to, host) = (self.clone(), from.peer, from.host.clone());
        let fetch = async move {
            let number = (agent.hooks.config_number)();
            if !agent.fetch_above(to, &host, number).await {
                agent.fetch_above(to, &host, 0).await;
            }
            agent.fetching.store(false, Ordering::SeqCst);
        };
        smol::spawn(fetch).detach();
    }

    /// Fetch a configuration above a number; `false` if all of it is needed
    async fn fetch_above(&self, to: SocketAddr, host: &HostId, number: Version) -> bool {
        match self.ask(to, host, &Frame::Fetch(number)).await {
            Ok(Some(Frame::Revision(bytes))) => return (self.hooks.apply_config)(bytes),
            Ok(_) => log::debug!("{host} has no newer configuration"),
            Err(error) => log::debug!("{error}"),
        }
        true
    }

    fn fetch_list(self: &Arc<Self>, from: &Heartbeat) {
        if self.listing.swap(true, Ordering::SeqCst) {
            return;
        }
        let (agent, to, host) = (self.clone(), from.peer, from.host.clone());
        let fetch = async move {
            agent.ask_list(to, &host).await;
            agent.listing.store(false, Ordering::SeqCst);
        };
        smol::spawn(fetch).detach();
    }

    async fn ask_list(&self, to: SocketAddr, host: &HostId) {
        let known = lock(&self.view).list_hash();
        match self.ask(to, host, &Frame::List(known)).await {
            Ok(Some(Frame::Listing(listed))) => {
                lock(&self.view).apply_list(Instant::now(), &listed);
            }
            Ok(_) => log::debug!("{host} has no other list of hosts"),
            Err(error) => log::debug!("{error}"),
        }
    }

    async fn ask(
        &self,
        to: SocketAddr,
        host: &HostId,
        frame: &Frame,
    ) -> Result<Option<Frame>, peer::Error> {
        let answer = async {
            let mut exchange = self.link.open(to, host, frame).await?;
            let answer = exchange.next().await;
            (self.hooks.count_control_bytes)(exchange.take_moved());
            answer
        };
        let late = async {
            Timer::after(ANSWER).await;
            Err(peer::Error::Broken(to, "no answer in time".to_owned()))
        };
        answer.or(late).await
    }

    fn revision(&self, above: Version) -> Frame {
        if (self.hooks.config_number)() <= above {
            return Frame::Done;
        }
        (self.hooks.config_update)(above).map_or(Frame::Done, Frame::Revision)
    }

    fn list(&self, known: u64) -> Frame {
        let view = lock(&self.view);
        match view.newest_list() {
            [] => Frame::Done,
            _ if view.list_hash() == known => Frame::Done,
            entries => Frame::Listing(entries.to_vec()),
        }
    }

    async fn follow_list(self: Arc<Self>, platform: object::Client, seeds: Vec<SocketAddr>) {
        let mut backoff = object::Backoff::new(BACKOFF.0, BACKOFF.1);
        let any = HostId::from(peer::ANY_HOST);
        loop {
            let unknown = lock(&self.view).list_hash() == 0;
            if !unknown && !self.is_watcher() {
                Timer::after(LIST.0).await;
                continue;
            }
            match platform.hosts().await {
                Ok(listed) => {
                    backoff.record_success();
                    self.cut_off.store(false, Ordering::Relaxed);
                    lock(&self.view).apply_list(Instant::now(), &listed);
                    Timer::after(list_interval(listed.len())).await;
                    continue;
                }
                Err(error) => log::debug!("{error}"),
            }
            self.cut_off.store(true, Ordering::Relaxed);
            for seed in seeds.iter().filter(|_| unknown) {
                self.ask_list(*seed, &any).await;
            }
            Timer::after(backoff.record_failure(fastrand::f64())).await;
        }
    }
}

/// Time between two reads of a list of this many hosts, with jitter
fn list_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let interval = LIST_PER_HOST.saturating_mul(hosts).clamp(LIST.0, LIST.1);
    interval.mul_f64(0.9 + 0.2 * fastrand::f64())
}

fn target(listed: &HostInfo, far: bool) -> Target {
    Target {
        host: listed.host.clone(),
        address: listed.peer,
        far,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
