//! Server side of the connections between entry hosts.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Endpoint, Incoming, VarInt};
use rustls::pki_types::CertificateDer;
use smol::Timer;
use smol::future::FutureExt;

use crate::id::HostId;
use crate::peer::traffic::Counter;
use crate::peer::{ANY_HOST, Exchange, keys};
use crate::wire::{self, Frame};

/// Timeout for the first frame of a connection or stream
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the frame that opens a connection
const MAX_HELLO_BYTES: usize = 512;

/// QUIC error code of a connection whose host name does not match its certificate
const NAME_MISMATCH_CODE: VarInt = VarInt::from_u32(2);

/// Accepts connections until the endpoint is closed
pub(super) async fn run<H, F>(endpoint: Endpoint, traffic: Arc<Counter>, handler: H)
where
    H: Fn(Exchange, Frame, HostId) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        smol::spawn(serve_connection(incoming, traffic.clone(), handler.clone())).detach();
    }
}

/// Sends the name of this host on a connection that it opened
pub(super) async fn send_hello(connection: &Connection, host: &HostId) -> Result<(), String> {
    let hello = wire::encode(&Frame::Hello(host.clone())).map_err(|error| error.to_string())?;
    let mut stream = connection
        .open_uni()
        .await
        .map_err(|error| error.to_string())?;
    let result = stream.write_all(&hello).await;
    result.map_err(|error| error.to_string())?;
    stream.finish().map_err(|error| error.to_string())
}

async fn serve_connection<H, F>(incoming: Incoming, traffic: Arc<Counter>, handler: H)
where
    H: Fn(Exchange, Frame, HostId) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let address = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("refused connection from {address}: {error}");
            return;
        }
    };
    traffic.track(&connection);
    let timeout = async {
        Timer::after(FIRST_FRAME_TIMEOUT).await;
        Err("timed out while waiting for the hello frame".to_owned())
    };
    let host = match receive_hello(&connection).or(timeout).await {
        Ok(host) => host,
        Err(error) => {
            log::warn!("refused connection from {address}: {error}");
            connection.close(NAME_MISMATCH_CODE, b"name does not fit the certificate");
            return;
        }
    };
    while let Ok(streams) = connection.accept_bi().await {
        let exchange = Exchange::new(connection.clone(), streams, None);
        smol::spawn(serve_stream(exchange, host.clone(), handler.clone())).detach();
    }
}

async fn receive_hello(connection: &Connection) -> Result<HostId, String> {
    let stream = connection.accept_uni().await;
    let mut stream = stream.map_err(|error| error.to_string())?;
    let bytes = stream.read_to_end(MAX_HELLO_BYTES).await;
    let mut buffer = wire::Buffer::new();
    buffer.push(&bytes.map_err(|error| error.to_string())?);
    let frame = buffer.next_frame().map_err(|error| error.to_string())?;
    let Some(Frame::Hello(host)) = frame else {
        return Err("the first frame is not a hello frame".to_owned());
    };
    if host == ANY_HOST {
        return Err("the hello frame does not name a specific host".to_owned());
    }
    let identity = connection.peer_identity();
    let chain =
        identity.and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok());
    let leaf = chain.as_ref().and_then(|chain| chain.first());
    if !leaf.is_some_and(|certificate| keys::is_valid_for(certificate, &host)) {
        return Err(format!("the certificate is not valid for host {host}"));
    }
    Ok(host)
}

async fn serve_stream<H, F>(mut exchange: Exchange, host: HostId, handler: H)
where
    H: Fn(Exchange, Frame, HostId) -> F,
    F: Future<Output = ()>,
{
    let timeout = async {
        Timer::after(FIRST_FRAME_TIMEOUT).await;
        Ok(None)
    };
    match exchange.next().or(timeout).await {
        Ok(Some(frame)) => handler(exchange, frame, host).await,
        Ok(None) => exchange.cancel(),
        Err(error) => log::debug!("cannot read the first frame of a stream from {host}: {error}"),
    }
}
