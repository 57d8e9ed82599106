//! Serves the requests on one caller connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_h1::ServerOptions;
use async_h1::server::{ConnectionStatus, Server};
use http_types::headers::CONNECTION;
use http_types::{Request, Response};
use smol::channel::{Receiver, bounded};
use smol::future::FutureExt;
use smol::net::TcpStream;

use crate::caller::gate::{Connection, HeadError};
use crate::caller::head::{Head, Length};
use crate::caller::{Limits, body, handle};
use crate::entry::{Host, InFlight};

/// Serves a caller until it disconnects, exceeds a limit, or the host stops
pub async fn serve(host: Arc<Host>, stream: TcpStream, limits: Limits) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = Connection::new(stream, limits.write_timeout);
    for count in 1..=limits.max_requests {
        let head = match connection
            .read_head(limits.idle_timeout, limits.head_timeout)
            .await
        {
            Ok(head) => head,
            Err(HeadError::Closed) => return,
            Err(HeadError::Rejected(rejection)) => return connection.reject(rejection).await,
        };
        if is_body_too_long(&head, &limits) {
            return connection.reject((413, "body is too long")).await;
        }
        if head.expects_continue && connection.send_continue().await.is_err() {
            return;
        }
        let is_last = count == limits.max_requests || head.body_length == Length::Chunked;
        match exchange(&host, &connection, head, &limits, is_last).await {
            Next::KeepAlive => {}
            Next::Close => return connection.close_lingering().await,
            Next::Abort => return,
        }
    }
}

/// What happens to the connection after a request
enum Next {
    /// The next request is read
    KeepAlive,
    /// The response is complete and the connection closes gracefully
    Close,
    /// The response is incomplete and the connection closes at once
    Abort,
}

async fn exchange(
    host: &Arc<Host>,
    connection: &Connection,
    head: Head,
    limits: &Limits,
    is_last: bool,
) -> Next {
    let in_flight = host.start_request();
    let (body_read_sender, body_read) = bounded(1);
    let is_body_rejected = AtomicBool::new(false);
    let handler = |mut request: Request| {
        let (head, body_read_sender, is_body_rejected) =
            (&head, &body_read_sender, &is_body_rejected);
        async move {
            let mut response = match body::read(host, connection, &mut request, head, limits).await
            {
                Ok(body) => {
                    let _ = body_read_sender.try_send(());
                    handle::handle(host, &request, head, body).await
                }
                Err(error) => {
                    is_body_rejected.store(true, Ordering::Relaxed);
                    error.into_response(&request)?
                }
            };
            connection.end_request();
            if is_last || host.is_stopping() {
                response.insert_header(CONNECTION, "close");
            }
            Ok::<Response, http_types::Error>(response)
        }
    };
    let mut server = Server::new(connection.clone(), handler).with_opts(ServerOptions::default());
    let serve_one = async { Some(server.accept_one().await) };
    let next = match serve_one
        .or(wait_for_disconnect(connection.clone(), body_read))
        .await
    {
        Some(Ok(ConnectionStatus::KeepAlive)) => Next::KeepAlive,
        Some(Ok(ConnectionStatus::Close)) => Next::Close,
        // The library reports an error if the rest of a rejected body is not read.
        Some(Err(_)) if is_body_rejected.load(Ordering::Relaxed) => Next::Close,
        Some(Err(error)) => {
            log::debug!("response to a caller is incomplete: {error}");
            Next::Abort
        }
        None => Next::Abort,
    };
    drop::<InFlight>(in_flight);
    next
}

/// Returns `None` once the caller disconnects after its request was read completely
async fn wait_for_disconnect<T>(mut connection: Connection, body_read: Receiver<()>) -> Option<T> {
    if body_read.recv().await.is_err() {
        return std::future::pending().await;
    }
    connection.wait_until_closed().await;
    None
}

fn is_body_too_long(head: &Head, limits: &Limits) -> bool {
    match head.body_length {
        Length::Bytes(bytes) => bytes > limits.max_body_bytes as u64,
        Length::Chunked => false,
    }
}
