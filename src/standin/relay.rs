//! Stand-in for the network between zones: a TCP and UDP relay with partitions, delay and loss.
//!
//! `PUT /links` opens links and returns them with their listen addresses. Links with the same name
//! share their faults, which `PUT /control` changes with a merge patch on a map by name. During a
//! partition TCP connections stall and resume afterwards, and datagrams are dropped.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::io::{self, AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream, UdpSocket};

use super::{control, json_response, read_body, text_response};
use crate::error::Error;
use crate::http;

/// Interval between checks for the end of a partition, and delay after a socket error
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Size of the read buffer of a connection, in bytes
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Maximum size of a datagram, in bytes
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Maximum number of senders of one UDP link
const MAX_SENDERS: usize = 1_000;

/// Transport protocol of a link
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// TCP connections
    Tcp,
    /// UDP datagrams
    Udp,
}

/// Relayed path to one address
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Name under which faults are set
    pub name: String,
    /// Transport protocol
    pub kind: Kind,
    /// Listen address; port 0 selects a free port
    pub listen: SocketAddr,
    /// Destination address
    pub to: SocketAddr,
}

/// Faults of all links with the same name
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the link is partitioned
    pub cut: bool,
    /// One-way delay of each datagram or buffer of stream data, in milliseconds
    pub delay_ms: u64,
    /// Ratio of lost datagrams, between 0 and 1
    pub loss: f64,
}

/// Faults by link name
type FaultsByName = BTreeMap<String, Faults>;

/// Relay with the faults of all links
#[derive(Clone, Debug, Default)]
pub struct Relay {
    faults: Arc<Mutex<FaultsByName>>,
}

impl Relay {
    /// Creates a relay without links
    pub fn new() -> Self {
        Self::default()
    }

    async fn handle(&self, mut request: Request) -> http_types::Result<Response> {
        let body = read_body(&mut request).await?;
        match (request.method(), request.url().path()) {
            (Method::Put, "/links") => self.open_links(&body).await,
            (Method::Put, "/control") => {
                let mut faults = self.lock();
                match control::apply_merge_patch(&*faults, &body) {
                    Ok(patched) => *faults = patched,
                    Err(error) => return text_response(400, &error.to_string()),
                }
                json_response(&*faults)
            }
            _ => text_response(404, "no such call"),
        }
    }

    async fn open_links(&self, body: &[u8]) -> http_types::Result<Response> {
        let mut links: Vec<Link> = serde_json::from_slice(body)?;
        for link in &mut links {
            link.listen = self.open(link).await?;
        }
        json_response(&links)
    }

    /// Opens a link and returns its listen address
    pub async fn open(&self, link: &Link) -> io::Result<SocketAddr> {
        let relay = self.clone();
        let destination = link.to;
        let name = link.name.clone();
        match link.kind {
            Kind::Tcp => {
                let listener = TcpListener::bind(link.listen).await?;
                let local_address = listener.local_addr()?;
                smol::spawn(
                    async move { relay.relay_connections(listener, destination, &name).await },
                )
                .detach();
                Ok(local_address)
            }
            Kind::Udp => {
                let socket = UdpSocket::bind(link.listen).await?;
                let local_address = socket.local_addr()?;
                smol::spawn(async move { relay.relay_datagrams(socket, destination, &name).await })
                    .detach();
                Ok(local_address)
            }
        }
    }

    async fn relay_connections(&self, listener: TcpListener, destination: SocketAddr, name: &str) {
        while let Ok((client, _)) = listener.accept().await {
            let relay = self.clone();
            let name = name.to_owned();
            smol::spawn(async move {
                relay.wait_for_partition_end(&name).await;
                let Ok(server) = http::connect(destination).await else {
                    return;
                };
                let _ = client.set_nodelay(true);
                let upload = relay.copy_stream(client.clone(), server.clone(), &name);
                let download = relay.copy_stream(server.clone(), client.clone(), &name);
                let _ = smol::future::or(upload, download).await;
            })
            .detach();
        }
    }

    async fn copy_stream(
        &self,
        mut source: TcpStream,
        mut sink: TcpStream,
        name: &str,
    ) -> io::Result<()> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let count = source.read(&mut buffer).await?;
            let delay = self.faults_for(name).delay_ms;
            if delay > 0 {
                Timer::after(Duration::from_millis(delay)).await;
            }
            self.wait_for_partition_end(name).await;
            if count == 0 {
                return Ok(());
            }
            sink.write_all(&buffer[..count]).await?;
        }
    }

    async fn wait_for_partition_end(&self, name: &str) {
        while self.faults_for(name).cut {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn relay_datagrams(&self, socket: UdpSocket, destination: SocketAddr, name: &str) {
        let mut reply_sockets: BTreeMap<SocketAddr, UdpSocket> = BTreeMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((count, sender)) = socket.recv_from(&mut buffer).await else {
                Timer::after(POLL_INTERVAL).await;
                continue;
            };
            if !reply_sockets.contains_key(&sender) {
                let Ok(reply_socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
                    continue;
                };
                if reply_sockets.len() >= MAX_SENDERS {
                    reply_sockets.pop_first();
                }
                self.spawn_reply_relay(reply_socket.clone(), socket.clone(), sender, name);
                reply_sockets.insert(sender, reply_socket);
            }
            self.forward_datagram(&reply_sockets[&sender], destination, &buffer[..count], name);
        }
    }

    fn spawn_reply_relay(
        &self,
        reply_socket: UdpSocket,
        socket: UdpSocket,
        sender: SocketAddr,
        name: &str,
    ) {
        let relay = self.clone();
        let name = name.to_owned();
        let relay_replies = async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                match reply_socket.recv_from(&mut buffer).await {
                    Ok((count, _)) => {
                        relay.forward_datagram(&socket, sender, &buffer[..count], &name)
                    }
                    Err(_) => drop(Timer::after(POLL_INTERVAL).await),
                }
            }
        };
        smol::spawn(relay_replies).detach();
    }

    /// Forwards a datagram unless a partition or loss drops it
    fn forward_datagram(
        &self,
        socket: &UdpSocket,
        destination: SocketAddr,
        datagram: &[u8],
        name: &str,
    ) {
        let faults = self.faults_for(name);
        if faults.cut || fastrand::f64() < faults.loss {
            return;
        }
        let socket = socket.clone();
        let datagram = datagram.to_vec();
        let send = async move {
            if faults.delay_ms > 0 {
                Timer::after(Duration::from_millis(faults.delay_ms)).await;
            }
            let _ = socket.send_to(&datagram, destination).await;
        };
        smol::spawn(send).detach();
    }

    fn faults_for(&self, name: &str) -> Faults {
        self.lock().get(name).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, FaultsByName> {
        self.faults
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Binds the control listener and serves until it fails
pub async fn run(address: SocketAddr) -> Result<(), Error> {
    let relay = Relay::new();
    let listener = super::bind_and_announce(address).await?;
    let handler = move |request| {
        let relay = relay.clone();
        async move { relay.handle(request).await }
    };
    let result = http::serve(listener, handler).await;
    result.map_err(|error| {
        Error::Unavailable(format!(
            "listener {address} failed: {error}; restart the stand-in"
        ))
    })
}
