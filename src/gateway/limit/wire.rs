//! Datagrams about permits between entry hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use smol::net::UdpSocket;

use super::{decode_statement, encode_statement};
use crate::gateway::Gateway;
use crate::id::{EndpointId, HostId};
use crate::limit::{PERMIT_TTL, Verdict};
use crate::quarantine::EndpointRun;

/// First byte of these datagrams; a report starts with the length of its sender's name
const MARKER: u8 = 0;

/// Requests a second, `None` for no limit, and the age of that in milliseconds
type EncodedStatement = (Option<f64>, u64);

/// Asks the owner of an endpoint's permits for one, or tells it what the endpoint stated
#[derive(Debug, Serialize, Deserialize)]
pub struct Ask {
    /// Host that asks
    pub host: HostId,
    /// Number of the question
    pub number: u64,
    /// Endpoint ID
    pub endpoint: EndpointId,
    /// Run of the endpoint
    pub run: EndpointRun,
    /// What the endpoint stated
    pub statement: EncodedStatement,
    /// Whether a permit is asked for
    pub wants_permit: bool,
}

/// Answer of an owner
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Host that answers
    pub host: HostId,
    /// Number of the question
    pub number: u64,
    /// Decision
    pub verdict: Verdict,
    /// What the owner knows of the endpoint's limit
    pub statement: Option<EncodedStatement>,
}

/// Content of a datagram
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// Question of another host
    Ask(Ask),
    /// Answer of another host
    Answer(Answer),
}

impl Gateway {
    fn answer_ask(&self, ask: &Ask) -> Option<Answer> {
        let now = Instant::now();
        self.limits.check_pause(now);
        let catalog = self.catalog.borrow();
        let endpoint = catalog.get(&ask.endpoint);
        let endpoint = endpoint.filter(|endpoint| endpoint.run() == ask.run)?;
        let mut register = self.limits.register.borrow_mut();
        register.record(now, ask.run, decode_statement(now, ask.statement));
        if !ask.wants_permit {
            return None;
        }
        let verdict = match self.owns_permits_since(now, endpoint) {
            Some(owner_since) => register.decide(now, ask.run, owner_since),
            None => Verdict::NotOwner,
        };
        let statement = register.statement(ask.run);
        Some(Answer {
            host: self.settings.borrow().host.clone(),
            number: ask.number,
            verdict,
            statement: statement.map(|statement| encode_statement(now, statement)),
        })
    }

    fn accept_answer(&self, answer: &Answer) {
        let now = Instant::now();
        let question = self.limits.questions.borrow_mut().remove(&answer.number);
        let Some(question) = question else {
            return;
        };
        let mut register = self.limits.register.borrow_mut();
        if let Some(statement) = answer.statement {
            register.record(now, question.run, decode_statement(now, statement));
        }
        // The request has gone elsewhere or has ended if nobody waits.
        let is_awaited = question.answer.try_send(answer.verdict).is_ok();
        if !is_awaited && answer.verdict == Verdict::Granted {
            register.put_spare(question.run, question.asked_at + PERMIT_TTL);
        }
    }
}

/// Handles a datagram of another host; returns `false` if it is not one of this module
pub async fn receive(
    gateway: &Rc<Gateway>,
    socket: &UdpSocket,
    sender: SocketAddr,
    bytes: &[u8],
) -> bool {
    let Some((&MARKER, bytes)) = bytes.split_first() else {
        return false;
    };
    let Ok(message) = postcard::from_bytes(bytes) else {
        log::debug!("cannot decode a datagram about limits from {sender}");
        return true;
    };
    let host = match &message {
        Message::Ask(ask) => &ask.host,
        Message::Answer(answer) => &answer.host,
    };
    // A host that stops is no longer listed, but has requests left.
    if !gateway.fleet.borrow().is_known_address(host, sender.ip()) {
        return true;
    }
    match message {
        Message::Ask(ask) => {
            if let Some(answer) = gateway.answer_ask(&ask) {
                send(socket, sender, &Message::Answer(answer)).await;
            }
        }
        Message::Answer(answer) => gateway.accept_answer(&answer),
    }
    true
}

/// Sends a datagram; failures are logged, as datagrams may be lost anyway
pub async fn send(socket: &UdpSocket, address: SocketAddr, message: &Message) {
    let mut bytes = vec![MARKER];
    bytes.extend(postcard::to_stdvec(message).expect("plain data is always encoded"));
    if let Err(error) = socket.send_to(&bytes, address).await {
        log::debug!("cannot send a datagram about limits to {address}: {error}");
    }
}
