//! Background tasks of membership: send heartbeats to other hosts, poll the platform's list of hosts,
//! and fetch newer configurations and lists from other hosts.

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
use crate::peer::{self, ByteCount, Exchange, Link};
use crate::wire::{Frame, Heartbeat, Issuer};

/// Maximum number of quarantined keys in one heartbeat
pub const MAX_QUARANTINED: usize = 64;

/// Maximum number of issuers in one heartbeat whose tickets the sender took over
pub const MAX_TAKEN_OVER: usize = 64;

/// Silence after which a host opens the heartbeat stream of a pair in place of the other side
const STREAM_TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Delay between a heartbeat and the check for its acknowledgement
const ACK_CHECK_DELAY: Duration = Duration::from_millis(75);

/// Delay before a new connection attempt to an unreachable host
const RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// How long to wait for a response of another host
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest and longest interval between polls of the platform's list
const POLL_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Poll interval per host on the platform's list
const POLL_PER_HOST: Duration = Duration::from_millis(10);

/// Shortest and longest delay after a failed call to the platform
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Callback that returns a current value to the agent
pub type Getter<T> = Box<dyn Fn() -> T + Send + Sync>;

/// Callback that receives a value from the agent
pub type Handler<T> = Box<dyn Fn(T) + Send + Sync>;

/// Callback that maps an argument of the agent to a result
pub type Query<A, T> = Box<dyn Fn(A) -> T + Send + Sync>;

/// Callbacks that connect the agent to the rest of the process
pub struct Hooks {
    /// Returns the number of the configuration in force
    pub config_number: Getter<Version>,
    /// Returns the encoded update from a configuration number to the one in force; 0 requests all
    pub config_update: Query<Version, Option<Vec<u8>>>,
    /// Applies an update if its number is higher; returns `false` if the whole configuration is needed
    pub apply_config: Query<Vec<u8>, bool>,
    /// Returns the quarantined keys to send to other hosts
    pub quarantined_keys: Getter<Vec<u64>>,
    /// Adds quarantined keys received from another host
    pub add_quarantined_keys: Handler<Vec<u64>>,
    /// Returns the issuers whose tickets this process took over
    pub taken_over: Getter<Vec<Issuer>>,
    /// Counts the control bytes sent to and received from other hosts
    pub count_control_bytes: Handler<ByteCount>,
}

/// Membership agent of one process
pub struct Agent {
    link: Link,
    view: Arc<Mutex<View>>,
    hooks: Hooks,
    host: HostId,
    active_targets: Mutex<BTreeSet<Target>>,
    inbound_heartbeats: Mutex<BTreeMap<HostId, Instant>>,
    fetching_config: AtomicBool,
    fetching_list: AtomicBool,
    platform_unreachable: AtomicBool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    host: HostId,
    address: SocketAddr,
    cross_zone: bool,
}

/// Event on a heartbeat stream that this host opened
enum StreamEvent {
    /// A heartbeat is due
    Heartbeat,
    /// The check for the acknowledgement is due
    AckCheck,
    /// A frame arrived, or the stream ended
    Frame(Box<Result<Option<Frame>, peer::Error>>),
}

impl Agent {
    /// Creates the agent of a process
    pub fn new(link: Link, view: Arc<Mutex<View>>, hooks: Hooks) -> Self {
        let host = lock(&view).own_host().clone();
        Self {
            link,
            view,
            hooks,
            host,
            active_targets: Mutex::default(),
            inbound_heartbeats: Mutex::default(),
            fetching_config: AtomicBool::new(false),
            fetching_list: AtomicBool::new(false),
            platform_unreachable: AtomicBool::new(false),
        }
    }

    /// Sends heartbeats and updates the list of hosts; never returns
    ///
    /// `seeds` are the addresses of hosts to request the list from while the platform is unreachable
    /// and no list is known.
    pub async fn run(self: Arc<Self>, platform: object::Client, seeds: Vec<SocketAddr>) {
        let polling = self.clone().poll_list(platform, seeds);
        smol::spawn(polling).detach();
        loop {
            for target in self.targets() {
                self.start_heartbeats(target);
            }
            Timer::after(HEARTBEAT_INTERVAL / 2).await;
        }
    }

    /// Handles an exchange about membership or configuration
    ///
    /// `host` is the name in the peer's certificate.
    pub async fn handle(self: Arc<Self>, mut exchange: Exchange, first_frame: Frame, host: HostId) {
        let result = match first_frame {
            Frame::Heartbeat(_) => {
                self.receive_heartbeats(&mut exchange, first_frame, &host)
                    .await
            }
            Frame::Fetch(above) => exchange.send(&self.config_response(above)).await,
            Frame::List(known_hash) => exchange.send(&self.list_response(known_hash)).await,
            _ => exchange.send(&Frame::Unsupported).await,
        };
        if let Err(error) = result {
            log::debug!("{host}: {error}");
        }
    }

    /// Whether this process polls the platform for its zone
    pub fn is_watcher(&self) -> bool {
        lock(&self.view).is_watcher()
    }

    /// Returns the hosts that this host should send heartbeats to
    fn targets(&self) -> Vec<Target> {
        lock(&self.inbound_heartbeats)
            .retain(|_, received| received.elapsed() <= STREAM_TAKEOVER_TIMEOUT);
        let view = lock(&self.view);
        let in_zone = view.zone_peers().map(|host| target(&host.info, false));
        let cross_zone = view.cross_zone_peers().into_iter();
        let cross_zone = cross_zone.map(|name| target(&view.hosts()[name].info, true));
        let targets: Vec<Target> = in_zone.chain(cross_zone).collect();
        drop(view);
        targets
            .into_iter()
            .filter(|target| self.opens_stream(target))
            .collect()
    }

    /// Whether this host opens the heartbeat stream to the target
    ///
    /// Within a zone the host with the lower name opens it. The other one does so only while it
    /// receives no heartbeats.
    fn opens_stream(&self, target: &Target) -> bool {
        if target.cross_zone || self.host < target.host {
            return true;
        }
        let inbound_heartbeats = lock(&self.inbound_heartbeats);
        let received = inbound_heartbeats.get(&target.host);
        received.is_none_or(|received| received.elapsed() > STREAM_TAKEOVER_TIMEOUT)
    }

    /// Whether this host should still send heartbeats to the target
    fn is_target(&self, target: &Target) -> bool {
        let view = lock(&self.view);
        let host = view.hosts().get(&target.host);
        let same_address = host.is_some_and(|host| host.info.peer == target.address);
        let is_peer = !target.cross_zone || view.cross_zone_peers().contains(&&target.host);
        drop(view);
        same_address && is_peer && self.opens_stream(target)
    }

    fn start_heartbeats(self: &Arc<Self>, target: Target) {
        if !lock(&self.active_targets).insert(target.clone()) {
            return;
        }
        let agent = self.clone();
        let heartbeats = async move {
            while agent.is_target(&target) {
                if let Err(error) = agent.send_heartbeats(&target).await {
                    log::debug!("heartbeat stream failed: {error}");
                }
            }
            lock(&agent.active_targets).remove(&target);
        };
        smol::spawn(heartbeats).detach();
    }

    /// Opens a stream and sends heartbeats until it breaks or is no longer needed
    ///
    /// The peer sends a heartbeat of its own only when its content changes. In between, the
    /// transport's acknowledgements show that the peer is live.
    async fn send_heartbeats(self: &Arc<Self>, target: &Target) -> Result<(), peer::Error> {
        let Target {
            host,
            address,
            cross_zone,
        } = target;
        let interval = if *cross_zone {
            CROSS_ZONE_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let mut last_sent = self.heartbeat();
        let first_frame = Frame::Heartbeat(last_sent.clone());
        let mut exchange = match self.link.open(*address, host, &first_frame).await {
            Ok(exchange) => exchange,
            Err(error) => {
                lock(&self.view).mark_unreachable(Instant::now(), host);
                Timer::after(RECONNECT_DELAY).await;
                return Err(error);
            }
        };
        let (mut last_received, mut packets) = (None, exchange.received_packets());
        let mut heartbeats = Timer::interval(interval);
        let mut ack_checks = Timer::interval_at(Instant::now() + ACK_CHECK_DELAY, interval);
        loop {
            (self.hooks.count_control_bytes)(exchange.take_byte_count());
            let heartbeat_due = async { heartbeats.next().await.map(|_| StreamEvent::Heartbeat) };
            let ack_check_due = async { ack_checks.next().await.map(|_| StreamEvent::AckCheck) };
            let frame = async { Some(StreamEvent::Frame(Box::new(exchange.next().await))) };
            match frame.or(heartbeat_due).or(ack_check_due).await {
                Some(StreamEvent::Frame(frame)) => {
                    if !self.receive(&mut last_received, (*frame)?, host) {
                        return Ok(());
                    }
                }
                Some(StreamEvent::Heartbeat) if self.is_target(target) => {
                    exchange.send(&self.next_heartbeat(&mut last_sent)).await?;
                }
                Some(StreamEvent::AckCheck) => {
                    let previous = std::mem::replace(&mut packets, exchange.received_packets());
                    if let Some(heartbeat) = last_received.as_ref().filter(|_| packets > previous) {
                        self.apply_heartbeat(heartbeat);
                    }
                }
                Some(StreamEvent::Heartbeat) | None => return Ok(()),
            }
        }
    }

    /// Returns the next heartbeat frame: [`Frame::Same`] if nothing changed since the last one
    fn next_heartbeat(&self, last_sent: &mut Heartbeat) -> Frame {
        let heartbeat = self.heartbeat();
        if *last_sent == heartbeat {
            return Frame::Same;
        }
        last_sent.clone_from(&heartbeat);
        Frame::Heartbeat(heartbeat)
    }

    /// Processes a received frame; returns whether it is a heartbeat of the host
    fn receive(
        self: &Arc<Self>,
        last_received: &mut Option<Heartbeat>,
        frame: Option<Frame>,
        host: &HostId,
    ) -> bool {
        match frame {
            Some(Frame::Heartbeat(heartbeat)) if heartbeat.host == *host => {
                *last_received = Some(heartbeat);
            }
            Some(Frame::Same) if last_received.is_some() => {}
            Some(frame) => {
                log::warn!("{host} sent {frame:?} instead of a heartbeat; closing the stream");
                return false;
            }
            None => return false,
        }
        if let Some(heartbeat) = last_received {
            self.apply_heartbeat(heartbeat);
        }
        true
    }

    fn heartbeat(&self) -> Heartbeat {
        let config_number = (self.hooks.config_number)();
        let mut taken_over = (self.hooks.taken_over)();
        let mut quarantined_keys = (self.hooks.quarantined_keys)();
        taken_over.truncate(MAX_TAKEN_OVER);
        quarantined_keys.truncate(MAX_QUARANTINED);
        lock(&self.view).heartbeat(config_number, &taken_over, &quarantined_keys)
    }

    /// Receives heartbeats and sends one of this host whenever its content changes
    ///
    /// Unchanged heartbeats are not sent back: the transport's acknowledgements already show the peer
    /// that this process is live.
    async fn receive_heartbeats(
        self: Arc<Self>,
        exchange: &mut Exchange,
        first_frame: Frame,
        host: &HostId,
    ) -> Result<(), peer::Error> {
        let mut last_received = None;
        let mut frame = Some(first_frame);
        let mut last_sent = self.heartbeat();
        exchange.send(&Frame::Heartbeat(last_sent.clone())).await?;
        while self.receive(&mut last_received, frame, host) {
            lock(&self.inbound_heartbeats).insert(host.clone(), Instant::now());
            match self.next_heartbeat(&mut last_sent) {
                Frame::Same => {}
                changed => exchange.send(&changed).await?,
            }
            (self.hooks.count_control_bytes)(exchange.take_byte_count());
            frame = exchange.next().await?;
        }
        Ok(())
    }

    /// Records a heartbeat, and fetches the sender's configuration or list of hosts if needed
    fn apply_heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat) {
        let mut view = lock(&self.view);
        view.record_heartbeat(Instant::now(), heartbeat);
        let same_zone = heartbeat.zone == *view.zone();
        let needs_source = !view.is_watcher() || self.platform_unreachable.load(Ordering::Relaxed);
        let source = view.list_source();
        let is_source = source.is_some_and(|host| host.info.host == heartbeat.host);
        let list_differs = view.list_hash() != heartbeat.list_hash;
        drop(view);
        (self.hooks.add_quarantined_keys)(heartbeat.quarantined.clone());
        if heartbeat.config_number > (self.hooks.config_number)() {
            self.fetch_config(heartbeat);
        }
        if same_zone && needs_source && is_source && list_differs {
            self.fetch_list(heartbeat);
        }
    }

    fn fetch_config(self: &Arc<Self>, sender: &Heartbeat) {
        if self.fetching_config.swap(true, Ordering::SeqCst) {
            return;
        }
        let (agent, address, host) = (self.clone(), sender.peer, sender.host.clone());
        let fetch = async move {
            let config_number = (agent.hooks.config_number)();
            if !agent
                .fetch_config_above(address, &host, config_number)
                .await
            {
                agent.fetch_config_above(address, &host, 0).await;
            }
            agent.fetching_config.store(false, Ordering::SeqCst);
        };
        smol::spawn(fetch).detach();
    }

    /// Fetches the update above a number; returns `false` if the whole configuration is needed
    async fn fetch_config_above(&self, address: SocketAddr, host: &HostId, above: Version) -> bool {
        match self.call(address, host, &Frame::Fetch(above)).await {
            Ok(Some(Frame::Revision(bytes))) => return (self.hooks.apply_config)(bytes),
            Ok(_) => log::debug!("{host} has no newer configuration"),
            Err(error) => log::debug!("{error}"),
        }
        true
    }

    fn fetch_list(self: &Arc<Self>, sender: &Heartbeat) {
        if self.fetching_list.swap(true, Ordering::SeqCst) {
            return;
        }
        let (agent, address, host) = (self.clone(), sender.peer, sender.host.clone());
        let fetch = async move {
            agent.request_list(address, &host).await;
            agent.fetching_list.store(false, Ordering::SeqCst);
        };
        smol::spawn(fetch).detach();
    }

    async fn request_list(&self, address: SocketAddr, host: &HostId) {
        let known_hash = lock(&self.view).list_hash();
        match self.call(address, host, &Frame::List(known_hash)).await {
            Ok(Some(Frame::Listing(hosts))) => {
                lock(&self.view).apply_list(Instant::now(), &hosts);
            }
            Ok(_) => log::debug!("{host} has no newer list of hosts"),
            Err(error) => log::debug!("{error}"),
        }
    }

    /// Opens a stream with a request and waits for the first frame of the response
    async fn call(
        &self,
        address: SocketAddr,
        host: &HostId,
        request: &Frame,
    ) -> Result<Option<Frame>, peer::Error> {
        let response = async {
            let mut exchange = self.link.open(address, host, request).await?;
            let frame = exchange.next().await;
            (self.hooks.count_control_bytes)(exchange.take_byte_count());
            frame
        };
        let timeout = async {
            Timer::after(RESPONSE_TIMEOUT).await;
            Err(peer::Error::ConnectionLost(
                address,
                "no response in time".to_owned(),
            ))
        };
        response.or(timeout).await
    }

    fn config_response(&self, above: Version) -> Frame {
        if (self.hooks.config_number)() <= above {
            return Frame::Done;
        }
        (self.hooks.config_update)(above).map_or(Frame::Done, Frame::Revision)
    }

    fn list_response(&self, known_hash: u64) -> Frame {
        let view = lock(&self.view);
        match view.newest_list() {
            [] => Frame::Done,
            _ if view.list_hash() == known_hash => Frame::Done,
            entries => Frame::Listing(entries.to_vec()),
        }
    }

    /// Polls the platform's list while this host is a watcher or has no list; never returns
    async fn poll_list(self: Arc<Self>, platform: object::Client, seeds: Vec<SocketAddr>) {
        let mut backoff = object::Backoff::new(BACKOFF_BOUNDS.0, BACKOFF_BOUNDS.1);
        let any_host = HostId::from(peer::ANY_HOST);
        loop {
            let has_no_list = lock(&self.view).list_hash() == 0;
            if !has_no_list && !self.is_watcher() {
                Timer::after(POLL_BOUNDS.0).await;
                continue;
            }
            match platform.hosts().await {
                Ok(hosts) => {
                    backoff.record_success();
                    self.platform_unreachable.store(false, Ordering::Relaxed);
                    lock(&self.view).apply_list(Instant::now(), &hosts);
                    Timer::after(poll_interval(hosts.len())).await;
                    continue;
                }
                Err(error) => log::debug!("{error}"),
            }
            self.platform_unreachable.store(true, Ordering::Relaxed);
            for seed in seeds.iter().filter(|_| has_no_list) {
                self.request_list(*seed, &any_host).await;
            }
            Timer::after(backoff.record_failure(fastrand::f64())).await;
        }
    }
}

/// Returns the interval between polls for a list of `hosts` entries, with jitter
fn poll_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let interval = POLL_PER_HOST
        .saturating_mul(hosts)
        .clamp(POLL_BOUNDS.0, POLL_BOUNDS.1);
    interval.mul_f64(0.9 + 0.2 * fastrand::f64())
}

fn target(info: &HostInfo, cross_zone: bool) -> Target {
    Target {
        host: info.host.clone(),
        address: info.peer,
        cross_zone,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
