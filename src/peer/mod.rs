//! Exchanges between entry hosts over QUIC, one stream each.
//!
//! Both sides of a connection present a certificate that names their host and is signed by an
//! authority of the settings. The client side keeps one connection to each other host and reopens
//! it after a failure. It first sends [`Frame::Hello`] on a stream of its own; the server side
//! checks the name in it against the certificate before it accepts any exchange.

use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use displaydoc::Display;
use quinn::{Connection, Endpoint, EndpointConfig, SmolRuntime};
use smol::Timer;
use smol::future::FutureExt;

use crate::id::HostId;
use crate::settings::{Keys, Settings};
use crate::wire::{self, Frame};

mod exchange;
mod keys;
mod pool;
mod serve;
#[cfg(test)]
pub(crate) mod tests;
mod traffic;
mod transport;

pub use exchange::{ByteCount, Exchange};
pub use pool::UNUSED_TIMEOUT;
pub use traffic::Traffic;
pub use transport::{
    CONNECTION_WINDOW_BYTES, IDLE_TIMEOUT, KEEP_ALIVE_INTERVAL, MAX_STREAMS, STREAM_WINDOW_BYTES,
};

/// Timeout for opening a connection or a stream
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Name that the certificate of every host carries in addition to its own
///
/// Used to connect to a host of which only the address is known.
pub const ANY_HOST: &str = "entry.tanagerpier";

/// Error of an exchange
#[derive(Debug, Display)]
pub enum Error {
    /// no connection to {0}: {1}; nothing was sent, so another host can be tried
    NotSent(SocketAddr, String),
    /// connection to {0} was lost: {1}; the other host may have processed what was sent
    ConnectionLost(SocketAddr, String),
    /// key file {0:?} cannot be used: {1}
    Keys(PathBuf, String),
    /// cannot listen on UDP address {0}: {1}; set `peer` to a free address of this host
    Bind(SocketAddr, std::io::Error),
}

impl std::error::Error for Error {}

/// QUIC endpoint of this host, both client and server
#[derive(Clone, Debug)]
pub struct Link {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    host: HostId,
    endpoint: Endpoint,
    client_config: Mutex<quinn::ClientConfig>,
    pool: pool::Pool,
    traffic: Arc<traffic::Counter>,
}

impl Link {
    /// Loads the keys and listens on the peer address of the settings
    pub fn bind(settings: &Settings) -> Result<Self, Error> {
        let configs = keys::load(&settings.host, &settings.keys)?;
        let socket = UdpSocket::bind(settings.peer_address);
        let socket = socket.map_err(|error| Error::Bind(settings.peer_address, error))?;
        let endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(configs.server),
            socket,
            Arc::new(SmolRuntime),
        );
        let endpoint = endpoint.map_err(|error| Error::Bind(settings.peer_address, error))?;
        let inner = Inner {
            host: settings.host.clone(),
            endpoint,
            client_config: Mutex::new(configs.client),
            pool: pool::Pool::default(),
            traffic: Arc::default(),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Checks the key files without listening
    pub fn check(settings: &Settings) -> Result<(), Error> {
        keys::load(&settings.host, &settings.keys).map(|_| ())
    }

    /// Replaces the keys; open connections keep the keys that they were opened with
    pub fn reload(&self, keys: &Keys) -> Result<(), Error> {
        let configs = keys::load(&self.inner.host, keys)?;
        *pool::lock(&self.inner.client_config) = configs.client;
        self.inner.endpoint.set_server_config(Some(configs.server));
        Ok(())
    }

    /// Returns the UDP address that this host listens on
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Returns the traffic of all connections since the link was bound
    pub fn traffic(&self) -> Traffic {
        self.inner.traffic.total()
    }

    /// Opens a stream to a host and sends the first frame
    ///
    /// `host` is the name for which the certificate of the other side must be valid.
    pub async fn open(
        &self,
        address: SocketAddr,
        host: &HostId,
        first: &Frame,
    ) -> Result<Exchange, Error> {
        let bytes = wire::encode(first).map_err(|error| keys::not_sent(address, error))?;
        let opening = self.open_stream(address, host);
        let timeout = async {
            Timer::after(OPEN_TIMEOUT).await;
            Err(keys::not_sent(
                address,
                "timed out while waiting for a free stream",
            ))
        };
        let mut exchange = opening.or(timeout).await?;
        exchange.send_bytes(&bytes).await?;
        Ok(exchange)
    }

    /// Accepts connections and runs `handler` for each stream and its first frame
    ///
    /// Returns when the link is closed.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Exchange, Frame, HostId) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let inner = &self.inner;
        serve::run(inner.endpoint.clone(), inner.traffic.clone(), handler).await;
    }

    /// Closes all connections and notifies the other sides
    pub async fn close(&self) {
        self.inner.endpoint.close(pool::CLOSED_CODE, b"stopping");
        let idle = self.inner.endpoint.wait_idle();
        let timeout = async {
            Timer::after(OPEN_TIMEOUT).await;
        };
        idle.or(timeout).await;
    }

    async fn open_stream(&self, address: SocketAddr, host: &HostId) -> Result<Exchange, Error> {
        let key = (address, host.clone());
        let entry = self.inner.pool.entry(&key);
        if let Some((connection, guard)) = entry.connection()
            && let Ok(streams) = connection.open_bi().await
        {
            return Ok(Exchange::new(connection, streams, Some(guard)));
        }
        let (connection, guard) = self.connect(&key, &entry).await?;
        let streams = connection.open_bi().await;
        let streams = streams.map_err(|error| keys::not_sent(address, error))?;
        Ok(Exchange::new(connection, streams, Some(guard)))
    }

    async fn connect(
        &self,
        key: &pool::Key,
        entry: &Arc<pool::Entry>,
    ) -> Result<(Connection, pool::Guard), Error> {
        let requested_at = Instant::now();
        let mut last_failure = entry.last_failure.lock().await;
        if let Some(connection) = entry.connection() {
            return Ok(connection);
        }
        if let Some(failure) = last_failure
            .as_ref()
            .filter(|failure| failure.at >= requested_at)
        {
            return Err(pool::not_opened(key.0, failure));
        }
        self.inner.pool.remove_unused();
        match self.handshake(key).await {
            Ok(connection) => {
                self.inner.traffic.track(&connection);
                let guard = entry.insert(connection.clone());
                Ok((connection, guard))
            }
            Err(cause) => {
                *last_failure = Some(pool::Failure {
                    at: Instant::now(),
                    cause: cause.clone(),
                });
                Err(Error::NotSent(key.0, cause))
            }
        }
    }

    async fn handshake(&self, (address, host): &pool::Key) -> Result<Connection, String> {
        let config = pool::lock(&self.inner.client_config).clone();
        let connecting = self.inner.endpoint.connect_with(config, *address, host);
        let connecting = connecting.map_err(|error| error.to_string())?;
        let opening = async {
            let connection = connecting.await.map_err(|error| error.to_string())?;
            serve::send_hello(&connection, &self.inner.host).await?;
            Ok(connection)
        };
        let timeout = async {
            Timer::after(OPEN_TIMEOUT).await;
            Err(format!("handshake timed out after {OPEN_TIMEOUT:?}"))
        };
        opening.or(timeout).await
    }
}
