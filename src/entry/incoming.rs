//! Exchanges that other entry hosts open.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;

use crate::entry::pace::Pacer;
use crate::entry::{Host, Outcome, execute, handover, refusal, serve};
use crate::id::HostId;
use crate::member::Agent;
use crate::peer::{Error, Exchange, Link};
use crate::wire::{Cause, Duty, Frame, Refusal, Request};

/// Time for the other host to read the end of an answer
const READ: Duration = Duration::from_secs(2);

/// Answer other entry hosts until the link is closed
pub async fn serve(host: Arc<Host>, agent: Arc<Agent>, link: Link) {
    let handler = move |exchange, frame, from| {
        let (host, agent) = (host.clone(), agent.clone());
        answer(host, agent, exchange, frame, from)
    };
    link.serve(handler).await;
}

async fn answer(
    host: Arc<Host>,
    agent: Arc<Agent>,
    mut exchange: Exchange,
    first: Frame,
    from: HostId,
) {
    let sent = match first {
        Frame::Request(request) => return run(host, exchange, request, from).await,
        Frame::Handover(first) => {
            let taken = handover::accept(&host, &mut exchange, first, &from).await;
            exchange.send(&taken).await
        }
        Frame::Ramps => exchange.send(&Frame::Shares(host.current_shares())).await,
        membership => return agent.handle(exchange, membership, from).await,
    };
    match sent {
        Ok(()) => close(exchange).await,
        Err(error) => log::debug!("{from}: {error}"),
    }
}

/// Run a request; one that may run twice is given up when the other host gives up
async fn run(host: Arc<Host>, exchange: Exchange, request: Request, from: HostId) {
    let _running = host.start_request();
    let gone = exchange.gone();
    log::debug!(
        "request {:016x}: {} from {from}",
        request.id,
        request.service
    );
    let once = is_once(&host, &request);
    let pace = Pacer::new(&host, &request.service, &from);
    let work = async {
        // a ticket may have run before, so only its table can say that it was not run
        let wait = pace
            .interactive_wait()
            .filter(|_| request.duty == Duty::Serve);
        let outcome = match wait {
            Some(wait) => Outcome::NotRun(full(wait)),
            None => outcome(&host, request, &from).await,
        };
        relay(exchange, outcome, &pace).await
    };
    let done = match once {
        true => Some(work.await),
        false => {
            let gone = async {
                gone.await;
                None
            };
            async { Some(work.await) }.or(gone).await
        }
    };
    match done {
        Some(Ok(exchange)) => close(exchange).await,
        Some(Err(error)) => log::debug!("answer to another host broke off: {error}"),
        None => log::debug!("another host gave up its request"),
    }
}

fn is_once(host: &Host, request: &Request) -> bool {
    let revision = host.revision();
    let service = revision.document.services.get(&request.service);
    service.is_none_or(|service| service.once_only.contains(&request.method))
}

async fn outcome(host: &Arc<Host>, request: Request, from: &HostId) -> Outcome {
    let deadline = Instant::now() + request.remaining;
    match request.duty.clone() {
        Duty::Serve => serve::serve_if_owner(host, &request, deadline).await,
        Duty::Execute(ticket) => {
            execute::execute_for_peer(host, ticket, request, deadline, from).await
        }
    }
}

fn full(wait: Duration) -> Refusal {
    Refusal {
        cause: Cause::LinkFull,
        retry_after: wait,
        instead: None,
    }
}

async fn relay(mut exchange: Exchange, outcome: Outcome, pace: &Pacer) -> Result<Exchange, Error> {
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
                pace.send(&mut exchange, bytes).await?;
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

/// Finish an exchange and let the other side read its end
async fn close(mut exchange: Exchange) {
    exchange.finish();
    let late = async {
        Timer::after(READ).await;
    };
    exchange.gone().or(late).await;
}
