//! Once-only requests: the issuer of a ticket decides, runs and keeps the answer.

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
use crate::wire::{Answer, Cause, Duty, Request};

/// Longest answer that is kept for replay, in bytes
pub const MAX_REPLAY_BODY_BYTES: usize = 256 << 10;

/// Time after the deadline for a run to say itself how it ended
const GRACE: Duration = Duration::from_millis(20);

/// Pieces of an answer that may wait for their caller, so that a run need not wait for it
const PIECES: usize = 16;

/// Pause before a full host looks again for room
const LOOK: Duration = Duration::from_millis(5);

/// Run a once-only request under a ticket, wherever the ticket was issued
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
    ask(host, &holder.info, &ticket, request, deadline).await
}

/// Let the holder of a ticket decide; a ticket whose holder is not reached may have run
async fn ask(
    host: &Arc<Host>,
    holder: &HostInfo,
    ticket: &Ticket,
    mut request: Request,
    deadline: Instant,
) -> Outcome {
    request.duty = Duty::Execute(ticket.clone());
    let outcome = remote::forward(host, holder, &mut request, deadline).await;
    outcome.unwrap_or_else(|| Outcome::Unknown(refusal(Cause::NoIssuer)))
}

/// Decide for a ticket that another host sent here
///
/// Hosts of other zones may not know which host of this zone took a ticket over, so theirs are
/// passed on once.
pub async fn execute_for_peer(
    host: &Arc<Host>,
    ticket: Ticket,
    request: Request,
    deadline: Instant,
    from: &HostId,
) -> Outcome {
    let near = {
        let view = lock(&host.view);
        let zone_of = |name| view.hosts().get(name).map(|known| &known.info.zone);
        let holder = view.ticket_holder(&ticket).map(|holder| &holder.info.zone);
        zone_of(from) == Some(view.zone()) || holder != Some(view.zone())
    };
    match near {
        true => execute_locally(host, &ticket, request, deadline).await,
        false => dispatch(host, ticket, request, deadline).await,
    }
}

/// Decide for a ticket of this host, and run the request if it may
pub async fn execute_locally(
    host: &Arc<Host>,
    ticket: &Ticket,
    request: Request,
    deadline: Instant,
) -> Outcome {
    match handover::settled_location(host, deadline).await {
        Some(Location::Local | Location::Lost) => {}
        Some(Location::Successor(successor)) => {
            return ask(host, &successor, ticket, request, deadline).await;
        }
        _ => return Outcome::Unknown(refusal(Cause::Stopping)),
    }
    let begin = lock(&host.tickets).begin(Instant::now(), ticket, &request.service);
    match begin {
        Admission::Run => started(run(host, ticket, request, deadline), deadline).await,
        Admission::Replay(kept) => Outcome::Served(kept.into()),
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

enum Start {
    Answer(Answer, Receiver<Chunk>),
    Ended(Outcome),
}

/// Start a run that goes on to its end, whoever listens
fn run(host: &Arc<Host>, ticket: &Ticket, request: Request, deadline: Instant) -> Receiver<Start> {
    let (start, started) = bounded(1);
    let entry = Entry {
        host: host.clone(),
        ticket: ticket.clone(),
        open: true,
    };
    let host = host.clone();
    smol::spawn(async move {
        let _running = host.start_request();
        let outcome = steer::steer(&host, request, deadline, false).await;
        follow(entry, outcome, start).await;
    })
    .detach();
    started
}

async fn follow(mut entry: Entry, outcome: Outcome, start: Sender<Start>) {
    let reply = match outcome {
        Outcome::Served(reply) => reply,
        Outcome::NotRun(refused) => {
            entry.finish(RunOutcome::NotRun);
            let _ = start.send(Start::Ended(Outcome::NotRun(refused))).await;
            return;
        }
        Outcome::Unknown(refused) => {
            entry.finish(RunOutcome::Unknown);
            let _ = start.send(Start::Ended(Outcome::Unknown(refused))).await;
            return;
        }
    };
    let (pieces, receiver) = bounded(PIECES);
    let head = reply.head.clone();
    let _ = start.send(Start::Answer(head, receiver)).await;
    pump(entry, reply, pieces).await;
}

async fn pump(mut entry: Entry, mut reply: Reply, pieces: Sender<Chunk>) {
    let mut kept = Some(Vec::new());
    loop {
        match reply.body.next().await {
            Ok(Some(bytes)) => {
                kept = kept.filter(|kept| kept.len() + bytes.len() <= MAX_REPLAY_BODY_BYTES);
                if let Some(kept) = kept.as_mut() {
                    kept.extend_from_slice(&bytes);
                }
                let held = room(&entry.host, bytes.len(), &pieces).await;
                let _ = pieces.send(Chunk::Bytes(bytes, held)).await;
            }
            Ok(None) => {
                entry.finish(whole(reply.head, kept));
                let _ = pieces.send(Chunk::End).await;
                return;
            }
            Err(error) => {
                log::debug!("once-only answer broke off: {error}");
                entry.finish(RunOutcome::Unknown);
                return;
            }
        }
    }
}

/// Room for a piece; without any left, a piece goes on once the one before it was read
async fn room(host: &Arc<Host>, bytes: usize, pieces: &Sender<Chunk>) -> Option<BufferReservation> {
    loop {
        let held = host.reserve_buffer(bytes);
        if held.is_some() || pieces.is_empty() || pieces.is_closed() {
            return held;
        }
        Timer::after(LOOK).await;
    }
}

/// An answer too long to keep cannot be replayed, so its ticket ends as unknown
fn whole(head: Answer, kept: Option<Vec<u8>>) -> RunOutcome {
    match kept {
        None => RunOutcome::Unknown,
        Some(body) => RunOutcome::Served(StoredResponse {
            status: head.status,
            headers: head.headers,
            body,
        }),
    }
}

async fn started(start: Receiver<Start>, deadline: Instant) -> Outcome {
    let late = async {
        Timer::at(deadline + GRACE).await;
        Ok(Start::Ended(Outcome::Unknown(refusal(Cause::Running))))
    };
    match start.recv().or(late).await {
        Ok(Start::Answer(head, pieces)) => Outcome::Served(Reply {
            head,
            body: Body::Detached(Box::new(pieces)),
        }),
        Ok(Start::Ended(outcome)) => outcome,
        Err(_) => Outcome::Unknown(refusal(Cause::Broken)),
    }
}

/// Entry of a running ticket, which ends as unknown if its task does
struct Entry {
    host: Arc<Host>,
    ticket: Ticket,
    open: bool,
}

impl Entry {
    fn finish(&mut self, finish: RunOutcome) {
        if std::mem::take(&mut self.open) {
            lock(&self.host.tickets).finish(Instant::now(), &self.ticket, finish);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.finish(RunOutcome::Unknown);
    }
}
