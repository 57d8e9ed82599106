//! Handler of the exchanges that other entry hosts open.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::entry::pace::Pacer;
use crate::entry::{Host, Outcome, execute, handover, refusal, serve};
use crate::id::HostId;
use crate::member::Agent;
use crate::peer::{Error, Exchange, Link};
use crate::wire::{Cause, Frame, Operation, Refusal, Request};

/// How long a finished exchange stays open for the other host to read its end
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles exchanges of other entry hosts until the link is closed
pub async fn serve(host: Arc<Host>, agent: Arc<Agent>, link: Link) {
    let handler = move |exchange, frame, from| {
        let (host, agent) = (host.clone(), agent.clone());
        handle(host, agent, exchange, frame, from)
    };
    link.serve(handler).await;
}

async fn handle(
    host: Arc<Host>,
    agent: Arc<Agent>,
    mut exchange: Exchange,
    first: Frame,
    from: HostId,
) {
    let sent = match first {
        Frame::Request(request) => return handle_request(host, exchange, request, from).await,
        Frame::Handover(first) => {
            let reply = handover::accept(&host, &mut exchange, first, &from).await;
            exchange.send(&reply).await
        }
        Frame::Ramps => exchange.send(&Frame::Shares(host.current_shares())).await,
        frame => return agent.handle(exchange, frame, from).await,
    };
    match sent {
        Ok(()) => close(exchange).await,
        Err(error) => log::debug!("{from}: {error}"),
    }
}

/// Runs a request; an idempotent one is cancelled when the other host cancels the exchange
async fn handle_request(host: Arc<Host>, exchange: Exchange, request: Request, from: HostId) {
    let _in_flight = host.start_request();
    let closed = exchange.closed();
    log::debug!(
        "request {:016x}: {} from {from}",
        request.id,
        request.service
    );
    let once_only = is_once_only(&host, &request);
    let pacer = Pacer::new(&host, &request.service, &from);
    let work = async {
        // A ticket may have run before, so only its ticket table can report that it was not run.
        let wait = pacer
            .interactive_wait()
            .filter(|_| request.operation == Operation::Serve);
        let outcome = match wait {
            Some(wait) => Outcome::NotRun(link_full_refusal(wait)),
            None => run(&host, request, &from).await,
        };
        relay(exchange, outcome, &pacer).await
    };
    let result = match once_only {
        true => Some(work.await),
        false => {
            let cancelled = async {
                closed.await;
                None
            };
            async { Some(work.await) }.or(cancelled).await
        }
    };
    match result {
        Some(Ok(exchange)) => close(exchange).await,
        Some(Err(error)) => log::debug!("cannot send the response to {from}: {error}"),
        None => log::debug!("{from} cancelled its request"),
    }
}

fn is_once_only(host: &Host, request: &Request) -> bool {
    let revision = host.revision();
    let service = revision.document.services.get(&request.service);
    service.is_none_or(|service| service.once_only.contains(&request.method))
}

async fn run(host: &Arc<Host>, request: Request, from: &HostId) -> Outcome {
    let deadline = Instant::now() + request.remaining;
    let outlasts_stop = !host.ends_before_stop(deadline);
    match request.operation.clone() {
        Operation::Serve if outlasts_stop => {
            let refused = serve::not_owner_refusal(host, &request.service);
            Outcome::NotRun(refused.unwrap_or_else(|| refusal(Cause::Stopping)))
        }
        // An earlier request with the same ticket may have run.
        Operation::Execute(_) if outlasts_stop => Outcome::Unknown(refusal(Cause::Stopping)),
        Operation::Serve => serve::serve_if_owner(host, &request, deadline).await,
        Operation::Execute(ticket) => {
            execute::execute_for_peer(host, ticket, request, deadline, from).await
        }
    }
}

fn link_full_refusal(wait: Duration) -> Refusal {
    Refusal {
        cause: Cause::LinkFull,
        retry_after: wait,
        alternative_host: None,
    }
}

async fn relay(mut exchange: Exchange, outcome: Outcome, pacer: &Pacer) -> Result<Exchange, Error> {
    let mut reply = match outcome {
        Outcome::NotRun(refused) => {
            exchange.send(&Frame::Refused(refused)).await?;
            return Ok(exchange);
        }
        Outcome::Unknown(refused) => {
            exchange.send(&Frame::Unknown(refused)).await?;
            return Ok(exchange);
        }
        Outcome::Served(reply) => reply,
    };
    exchange.send(&Frame::Answer(reply.head)).await?;
    loop {
        let frame = match reply.body.next().await {
            Ok(Some(bytes)) => {
                pacer.send(&mut exchange, bytes).await?;
                continue;
            }
            Ok(None) => Frame::End,
            Err(error) => {
                log::debug!("{error}");
                Frame::Unknown(refusal(Cause::Broken))
            }
        };
        exchange.send(&frame).await?;
        return Ok(exchange);
    }
}

/// Finishes an exchange and waits until the other host has read its end
async fn close(mut exchange: Exchange) {
    exchange.finish();
    let timeout = async {
        Timer::after(CLOSE_TIMEOUT).await;
    };
    exchange.closed().or(timeout).await;
}
