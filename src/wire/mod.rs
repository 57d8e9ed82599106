//! Frames between entry hosts, encoded with `postcard`.
//!
//! One QUIC stream carries one exchange. Each frame is a big-endian `u32` length, a version byte
//! and the encoded [`Frame`]. New kinds of frame are added at the end of the enum; a host answers
//! a frame that it cannot decode with [`Frame::Unsupported`], so builds can differ during a
//! replacement of hosts.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::Shares;
use crate::id::{HostId, Incarnation, RequestId, ServiceId, Version, ZoneId};
use crate::member::HostInfo;
use crate::once::Ticket;

mod codec;
#[cfg(test)]
mod tests;

pub use codec::{Buffer, Error, OLDEST, decode, encode};

/// Version byte that this build writes
pub const VERSION: u8 = 1;

/// Longest encoded frame, in bytes
pub const MAX_FRAME: usize = 1 << 21;

/// Name and value of a header
pub type Header = (CompactString, CompactString);

/// One message of an exchange
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A request for the host that is to run it
    Request(Request),
    /// Start of an answer; `Body` frames and `End` follow
    Answer(Answer),
    /// Bytes of an answer
    Body(Vec<u8>),
    /// The answer is whole
    End,
    /// The request was not run
    Refused(Refusal),
    /// The request may have run
    Unknown(Refusal),
    /// Liveness and numbers of the sender
    Heartbeat(Heartbeat),
    /// Ask for the configuration if it is above this number
    Fetch(Version),
    /// JSON of a `config::Revision`
    Revision(Vec<u8>),
    /// Part of the once-only table of a stopping host
    Handover(Vec<u8>),
    /// The frame before was taken
    Done,
    /// The frame before could not be decoded
    Unsupported,
    /// First frame of a connection: name of the calling host
    Hello(HostId),
    /// Ask for the list of hosts if its number is another
    List(u64),
    /// The list of hosts
    Listing(Vec<HostInfo>),
    /// The heartbeat before on this stream once more
    Same,
    /// Ask for the shares in force at the receiver
    Ramps,
    /// Shares in force at the sender
    Shares(Vec<(ServiceId, Shares)>),
}

/// Why a request is sent to a zone
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The share of the zone before any running shift
    Share,
    /// A planned shift moved it here
    Shift,
    /// A failure or lack of headroom elsewhere moved it here
    Spill,
}

/// What the receiving host is asked to do
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Duty {
    /// Pick a slot of the zone and run the request
    Serve,
    /// Decide for the ticket that the receiver issued, then run the request
    Execute(Ticket),
}

/// A whole request of a caller
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Id that follows the request across hosts
    pub id: RequestId,
    /// What the receiver is asked to do
    pub duty: Duty,
    /// Service asked for
    pub service: ServiceId,
    /// HTTP method
    pub method: CompactString,
    /// Path and query at the upstream
    pub target: CompactString,
    /// Headers to pass on
    pub headers: Vec<Header>,
    /// Whole body
    pub body: Vec<u8>,
    /// Time left until the caller gives up
    pub remaining: Duration,
    /// Zone that the request entered the system in
    pub origin: ZoneId,
    /// Why it comes to the receiver's zone
    pub reason: Reason,
}

/// Head of an answer
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status
    pub status: u16,
    /// Headers to pass on
    pub headers: Vec<Header>,
    /// Length of the body where it is known, in bytes
    pub length: Option<u64>,
}

/// A final answer other than the upstream's own
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// What stood in the way
    pub cause: Cause,
    /// When the caller may come back
    pub retry_after: Duration,
    /// Host to ask instead, where the receiver knows one
    pub instead: Option<HostId>,
}

/// What stood in the way of a request
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// No free slot in time
    NoHeadroom,
    /// A cap on moved traffic was reached
    CapReached,
    /// The receiver does not own the slots of the service
    NotOwner,
    /// The request brought down upstreams before
    Quarantined,
    /// The deadline passed or is too near
    TooLate,
    /// The receiver is stopping
    Stopping,
    /// No upstream of the service can be reached
    NoUpstream,
    /// The service is not configured
    NoService,
    /// The link's byte budget is used up
    LinkFull,
    /// The ticket is forged, too old or of another service
    BadTicket,
    /// The issuer of the ticket cannot be reached
    NoIssuer,
    /// The request is still running
    Running,
    /// The connection broke after the request was sent
    Broken,
    /// The retry budget is used up
    NoBudget,
    /// It ran, but its answer is no longer kept
    Spent,
}

/// Liveness and numbers of an entry host
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender
    pub host: HostId,
    /// Zone of the sender
    pub zone: ZoneId,
    /// Incarnation of the sender
    pub incarnation: Incarnation,
    /// Number of the configuration in force at the sender
    pub number: Version,
    /// Whether the sender is stopping
    pub leaving: bool,
    /// Quarantined request keys
    pub quarantined: Vec<u64>,
    /// Address of the sender for other entry hosts
    pub peer: SocketAddr,
    /// Address of the sender for callers
    pub caller: SocketAddr,
    /// Number of the list of hosts that the sender knows
    pub listing: u64,
    /// Tickets that the sender took over
    pub held: Vec<Issuer>,
    /// Processes that the sender knows to be stopping
    pub stopping: Vec<Issuer>,
}

/// Process that issued tickets
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Issuer {
    /// Name of its host
    pub host: HostId,
    /// Its incarnation
    pub incarnation: Incarnation,
}
