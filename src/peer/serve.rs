//! The called side: taking connections and streams.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Endpoint, Incoming, VarInt};
use rustls::pki_types::CertificateDer;
use smol::Timer;
use smol::future::FutureExt;

use crate::id::HostId;
use crate::peer::traffic::Meter;
use crate::peer::{ANY_HOST, Exchange, keys};
use crate::wire::{self, Frame};

/// Longest time for the first frame of a connection or stream
const FIRST: Duration = Duration::from_secs(5);

/// Longest greeting, in bytes
const GREETING: usize = 512;

/// Code of a connection whose greeting does not fit its certificate
const WRONG_NAME: VarInt = VarInt::from_u32(2);

/// Take connections until the endpoint is closed
pub(super) async fn run<H, F>(endpoint: Endpoint, meter: Arc<Meter>, handler: H)
where
    H: Fn(Exchange, Frame, HostId) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        smol::spawn(connection(incoming, meter.clone(), handler.clone())).detach();
    }
}

/// Send the name of this host on a connection that it opened
pub(super) async fn greet(connection: &Connection, host: &HostId) -> Result<(), String> {
    let hello = wire::encode(&Frame::Hello(host.clone())).map_err(|error| error.to_string())?;
    let mut stream = connection
        .open_uni()
        .await
        .map_err(|error| error.to_string())?;
    let sent = stream.write_all(&hello).await;
    sent.map_err(|error| error.to_string())?;
    stream.finish().map_err(|error| error.to_string())
}

async fn connection<H, F>(incoming: Incoming, meter: Arc<Meter>, handler: H)
where
    H: Fn(Exchange, Frame, HostId) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let from = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("refused connection from {from}: {error}");
            return;
        }
    };
    meter.watch(&connection);
    let late = async {
        Timer::after(FIRST).await;
        Err("no greeting in time".to_owned())
    };
    let host = match greeting(&connection).or(late).await {
        Ok(host) => host,
        Err(error) => {
            log::warn!("refused connection from {from}: {error}");
            connection.close(WRONG_NAME, b"name does not fit the certificate");
            return;
        }
    };
    while let Ok(streams) = connection.accept_bi().await {
        let exchange = Exchange::new(connection.clone(), streams, None);
        smol::spawn(stream(exchange, host.clone(), handler.clone())).detach();
    }
}

async fn greeting(connection: &Connection) -> Result<HostId, String> {
    let stream = connection.accept_uni().await;
    let mut stream = stream.map_err(|error| error.to_string())?;
    let bytes = stream.read_to_end(GREETING).await;
    let mut buffer = wire::Buffer::new();
    buffer.push(&bytes.map_err(|error| error.to_string())?);
    let frame = buffer.next_frame().map_err(|error| error.to_string())?;
    let Some(Frame::Hello(host)) = frame else {
        return Err("greeting is not one".to_owned());
    };
    if host == ANY_HOST {
        return Err("greeting names no single host".to_owned());
    }
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let first = chain.as_ref().and_then(|chain| chain.first());
    if !first.is_some_and(|certificate| keys::names(certificate, &host)) {
        return Err(format!("certificate does not name host {host}"));
    }
    Ok(host)
}

async fn stream<H, F>(mut exchange: Exchange, host: HostId, handler: H)
where
    H: Fn(Exchange, Frame, HostId) -> F,
    F: Future<Output = ()>,
{
    let late = async {
        Timer::after(FIRST).await;
        Ok(None)
    };
    match exchange.next().or(late).await {
        Ok(Some(frame)) => handler(exchange, frame, host).await,
        Ok(None) => exchange.cancel(),
        Err(error) => log::debug!("stream of {host}: {error}"),
    }
}
