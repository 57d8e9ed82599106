//! One connection of a caller, from its first request to its last.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_h1::ServerOptions;
use async_h1::server::{ConnectionStatus, Server};
use http_types::headers::CONNECTION;
use http_types::{Request, Response};
use smol::channel::{Receiver, bounded};
use smol::future::FutureExt;
use smol::net::TcpStream;

use crate::caller::gate::{Absent, Gate};
use crate::caller::head::{Head, Length};
use crate::caller::{Limits, body, handle};
use crate::entry::{Host, InFlight};

/// Serve a caller until it leaves, breaks a limit, or the host stops
pub async fn run(host: Arc<Host>, stream: TcpStream, limits: Limits) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut gate = Gate::new(stream, limits.stall);
    for served in 1..=limits.requests {
        let head = match gate.head(limits.idle, limits.head).await {
            Ok(head) => head,
            Err(Absent::Closed) => return,
            Err(Absent::Refused(refused)) => return gate.refuse(refused).await,
        };
        if too_long(&head, &limits) {
            return gate.refuse((413, "body is too long")).await;
        }
        if head.expect && gate.proceed().await.is_err() {
            return;
        }
        let last = served == limits.requests || head.body == Length::Chunked;
        match exchange(&host, &gate, head, &limits, last).await {
            Ended::Next => {}
            Ended::Close => return gate.linger().await,
            Ended::Cut => return,
        }
    }
}

/// What follows an exchange
enum Ended {
    /// A further request
    Next,
    /// A close after a whole answer
    Close,
    /// A close in the middle
    Cut,
}

async fn exchange(host: &Arc<Host>, gate: &Gate, head: Head, limits: &Limits, last: bool) -> Ended {
    let running = host.start_request();
    let (whole, received) = bounded(1);
    let refused = AtomicBool::new(false);
    let handler = |mut request: Request| {
        let (head, whole, refused) = (&head, &whole, &refused);
        async move {
            let mut response = match body::read(host, &mut request, head, limits).await {
                Ok(body) => {
                    let _ = whole.try_send(());
                    handle::handle(host, &request, head, body).await
                }
                Err(unread) => {
                    refused.store(true, Ordering::Relaxed);
                    unread.answer()?
                }
            };
            gate.end();
            if last || host.is_stopping() {
                response.insert_header(CONNECTION, "close");
            }
            Ok::<Response, http_types::Error>(response)
        }
    };
    let mut server = Server::new(gate.clone(), handler).with_opts(ServerOptions::default());
    let served = async { Some(server.accept_one().await) };
    let ended = match served.or(gone(gate.clone(), received)).await {
        Some(Ok(ConnectionStatus::KeepAlive)) => Ended::Next,
        Some(Ok(ConnectionStatus::Close)) => Ended::Close,
        // The rest of a refused body is not read, which the library takes for an error.
        Some(Err(_)) if refused.load(Ordering::Relaxed) => Ended::Close,
        Some(Err(error)) => {
            log::debug!("answer to a caller was cut: {error}");
            Ended::Cut
        }
        None => Ended::Cut,
    };
    drop::<InFlight>(running);
    ended
}

/// Wait for the whole request, then for the caller to go away
async fn gone<T>(mut gate: Gate, received: Receiver<()>) -> Option<T> {
    if received.recv().await.is_err() {
        return std::future::pending().await;
    }
    gate.gone().await;
    None
}

fn too_long(head: &Head, limits: &Limits) -> bool {
    match head.body {
        Length::Bytes(bytes) => bytes > limits.body as u64,
        Length::Chunked => false,
    }
}
