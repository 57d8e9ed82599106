//! Once-only requests.
//!
//! The host that holds a ticket decides whether its request may run, runs it and stores the response
//! for replay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;

use crate::entry::handover::{self, Location};
use crate::entry::reply::{Body, Chunk};
use crate::entry::{BufferReservation, Host, Outcome, Reply, lock, refusal, remote, steer};
use crate::id::HostId;
use crate::member::HostInfo;
use crate::once::{Admission, RunOutcome, StoredResponse, Ticket};
use crate::wire::{Cause, Operation, Request, ResponseHead};

/// Longest response body that is stored for replay
pub const MAX_REPLAY_BODY_BYTES: usize = 256 << 10;

/// How long after the deadline a run may still report its own outcome
const OUTCOME_GRACE_PERIOD: Duration = Duration::from_millis(20);

/// Response chunks buffered for the caller, so that a run need not wait for it
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Interval at which a host with full buffers checks for room again
const BUFFER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs a once-only request on the host that holds its ticket
pub async fn dispatch(
    host: &Arc<Host>,
    ticket: Ticket,
    request: Request,
    deadline: Instant,
) -> Outcome {
    if lock(&host.tickets).owns(&ticket) || ticket.issuer == host.settings.host {
        return execute_locally(host, &ticket, request, deadline).await;
    }
    let holder = lock(&host.view).ticket_holder(&ticket).cloned();
    let Some(holder) = holder else {
        return Outcome::Unknown(refusal(Cause::NoIssuer));
    };
    forward(host, &holder.info, &ticket, request, deadline).await
}

/// Forwards a request to the holder of its ticket
///
/// The ticket may have run before, so the outcome is unknown if the holder cannot be reached.
async fn forward(
    host: &Arc<Host>,
    holder: &HostInfo,
    ticket: &Ticket,
    mut request: Request,
    deadline: Instant,
) -> Outcome {
    request.operation = Operation::Execute(ticket.clone());
    let outcome = remote::forward(host, holder, &mut request, deadline).await;
    outcome.unwrap_or_else(|| Outcome::Unknown(refusal(Cause::NoIssuer)))
}

/// Runs a once-only request that another host forwarded here
///
/// Hosts of other zones may not have the current holder of a ticket that was taken over in this
/// zone, so their requests are forwarded once more.
pub async fn execute_for_peer(
    host: &Arc<Host>,
    ticket: Ticket,
    request: Request,
    deadline: Instant,
    from: &HostId,
) -> Outcome {
    let is_local = {
        let view = lock(&host.view);
        let zone_of = |name| view.hosts().get(name).map(|host| &host.info.zone);
        let holder_zone = view.ticket_holder(&ticket).map(|holder| &holder.info.zone);
        zone_of(from) == Some(view.zone()) || holder_zone != Some(view.zone())
    };
    match is_local {
        true => execute_locally(host, &ticket, request, deadline).await,
        false => dispatch(host, ticket, request, deadline).await,
    }
}

/// Runs a once-only request whose ticket this host holds, or replays its stored response
pub async fn execute_locally(
    host: &Arc<Host>,
    ticket: &Ticket,
    request: Request,
    deadline: Instant,
) -> Outcome {
    match handover::settled_location(host, deadline).await {
        Some(Location::Local | Location::Lost) => {}
        Some(Location::Successor(successor)) => {
            return forward(host, &successor, ticket, request, deadline).await;
        }
        _ => return Outcome::Unknown(refusal(Cause::Stopping)),
    }
    let admission = lock(&host.tickets).begin(Instant::now(), ticket, &request.service);
    match admission {
        Admission::Run => await_start(run(host, ticket, request, deadline), deadline).await,
        Admission::Replay(stored) => Outcome::Served(stored.into()),
        Admission::Spent => Outcome::Unknown(refusal(Cause::Spent)),
        Admission::Full => Outcome::NotRun(refusal(Cause::NoHeadroom)),
        Admission::Running => Outcome::Unknown(refusal(Cause::Running)),
        Admission::Unknown => Outcome::Unknown(refusal(Cause::Broken)),
        Admission::Invalid if ticket.incarnation == host.incarnation => {
            Outcome::NotRun(refusal(Cause::BadTicket))
        }
        Admission::Invalid => Outcome::Unknown(refusal(Cause::BadTicket)),
        Admission::Stopping => Outcome::Unknown(refusal(Cause::Stopping)),
    }
}

/// First result of a run
enum Start {
    Response(ResponseHead, Receiver<Chunk>),
    Finished(Outcome),
}

/// Starts a run that continues to its end, also if its caller disconnects
fn run(host: &Arc<Host>, ticket: &Ticket, request: Request, deadline: Instant) -> Receiver<Start> {
    let (sender, receiver) = bounded(1);
    let guard = TicketGuard {
        host: host.clone(),
        ticket: ticket.clone(),
        is_running: true,
    };
    let host = host.clone();
    smol::spawn(async move {
        let _in_flight = host.start_request();
        let outcome = steer::steer(&host, request, deadline, false).await;
        send_outcome(guard, outcome, sender).await;
    })
    .detach();
    receiver
}

async fn send_outcome(mut guard: TicketGuard, outcome: Outcome, start: Sender<Start>) {
    let reply = match outcome {
        Outcome::Served(reply) => reply,
        Outcome::NotRun(refused) => {
            guard.finish(RunOutcome::NotRun);
            let _ = start.send(Start::Finished(Outcome::NotRun(refused))).await;
            return;
        }
        Outcome::Unknown(refused) => {
            guard.finish(RunOutcome::Unknown);
            let _ = start.send(Start::Finished(Outcome::Unknown(refused))).await;
            return;
        }
    };
    let (chunks, receiver) = bounded(MAX_BUFFERED_CHUNKS);
    let head = reply.head.clone();
    let _ = start.send(Start::Response(head, receiver)).await;
    send_body(guard, reply, chunks).await;
}

async fn send_body(mut guard: TicketGuard, mut reply: Reply, chunks: Sender<Chunk>) {
    let mut stored = Some(Vec::new());
    loop {
        match reply.body.next().await {
            Ok(Some(bytes)) => {
                stored =
                    stored.filter(|stored| stored.len() + bytes.len() <= MAX_REPLAY_BODY_BYTES);
                if let Some(stored) = stored.as_mut() {
                    stored.extend_from_slice(&bytes);
                }
                let reservation = reserve_chunk(&guard.host, bytes.len(), &chunks).await;
                let _ = chunks.send(Chunk::Bytes(bytes, reservation)).await;
            }
            Ok(None) => {
                guard.finish(served_outcome(reply.head, stored));
                let _ = chunks.send(Chunk::End).await;
                return;
            }
            Err(error) => {
                log::debug!("response to a once-only request was interrupted: {error}");
                guard.finish(RunOutcome::Unknown);
                return;
            }
        }
    }
}

/// Reserves buffer space for a chunk
///
/// With all buffers full, the chunk is sent without a reservation once the one before it was read.
async fn reserve_chunk(
    host: &Arc<Host>,
    bytes: usize,
    chunks: &Sender<Chunk>,
) -> Option<BufferReservation> {
    loop {
        let reservation = host.reserve_buffer(bytes);
        if reservation.is_some() || chunks.is_empty() || chunks.is_closed() {
            return reservation;
        }
        Timer::after(BUFFER_POLL_INTERVAL).await;
    }
}

/// Returns the outcome of a complete response; one too long to store cannot be replayed, so its
/// ticket ends as unknown
fn served_outcome(head: ResponseHead, stored_body: Option<Vec<u8>>) -> RunOutcome {
    match stored_body {
        None => RunOutcome::Unknown,
        Some(body) => RunOutcome::Served(StoredResponse {
            status: head.status,
            headers: head.headers,
            body,
        }),
    }
}

async fn await_start(start: Receiver<Start>, deadline: Instant) -> Outcome {
    let timeout = async {
        Timer::at(deadline + OUTCOME_GRACE_PERIOD).await;
        Ok(Start::Finished(Outcome::Unknown(refusal(Cause::Running))))
    };
    match start.recv().or(timeout).await {
        Ok(Start::Response(head, chunks)) => Outcome::Served(Reply {
            head,
            body: Body::Detached(Box::new(chunks)),
        }),
        Ok(Start::Finished(outcome)) => outcome,
        Err(_) => Outcome::Unknown(refusal(Cause::Broken)),
    }
}

/// Running ticket; it ends as unknown if its task ends without an outcome
struct TicketGuard {
    host: Arc<Host>,
    ticket: Ticket,
    is_running: bool,
}

impl TicketGuard {
    fn finish(&mut self, outcome: RunOutcome) {
        if std::mem::take(&mut self.is_running) {
            lock(&self.host.tickets).finish(Instant::now(), &self.ticket, outcome);
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.finish(RunOutcome::Unknown);
    }
}
