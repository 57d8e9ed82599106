//! Frames between entry hosts, encoded with `postcard`.
//!
//! One QUIC stream carries one exchange. Each frame is a big-endian `u32` length, a version byte
//! and the encoded [`Frame`]. The order of fields and variants is the format. New kinds of frame
//! are appended to the enum, and a host replies to a frame that it cannot decode with
//! [`Frame::Unsupported`], so hosts of different builds can run together during a rolling update.

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

pub use codec::{Buffer, Error, OLDEST_VERSION, decode, encode};

/// Version byte of the frames that this build encodes
pub const VERSION: u8 = 1;

/// Maximum size of an encoded frame
pub const MAX_FRAME_BYTES: usize = 1 << 21;

/// Name and value of a header
pub type Header = (CompactString, CompactString);

/// Message of an exchange
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Request for the receiver to execute
    Request(Request),
    /// Head of a response; `Body` frames and `End` follow
    Answer(ResponseHead),
    /// Part of a response body
    Body(Vec<u8>),
    /// End of a complete response
    End,
    /// Refusal of a request that was not executed
    Refused(Refusal),
    /// Refusal of a request that may have been executed
    Unknown(Refusal),
    /// State of the sender
    Heartbeat(Heartbeat),
    /// Requests the configuration if it is newer than this number
    Fetch(Version),
    /// JSON of a `config::Revision`
    Revision(Vec<u8>),
    /// Part of the ticket table of a stopping host
    Handover(Vec<u8>),
    /// Acknowledges the previous frame
    Done,
    /// Reports that the previous frame could not be decoded
    Unsupported,
    /// First frame of a connection: name of the calling host
    Hello(HostId),
    /// Requests the list of hosts if its hash differs from this one
    List(u64),
    /// List of hosts
    Listing(Vec<HostInfo>),
    /// Repeats the previous heartbeat on this stream
    Same,
    /// Requests the shares in force at the receiver
    Ramps,
    /// Shares in force at the sender
    Shares(Vec<(ServiceId, Shares)>),
}

/// Reason for which a request is sent to a zone
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// Share of the zone before any planned shift in progress
    Share,
    /// Planned shift to this zone
    Shift,
    /// Failure or lack of headroom in another zone
    Spill,
}

/// Operation that a request asks of the receiver
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Pick a slot in the zone and execute the request
    Serve,
    /// Check a ticket that the receiver issued, then execute the request
    Execute(Ticket),
}

/// Buffered request of a caller
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the request on all hosts that it passes
    pub id: RequestId,
    /// Operation for the receiver
    #[serde(rename = "duty")]
    pub operation: Operation,
    /// Requested service
    pub service: ServiceId,
    /// HTTP method
    pub method: CompactString,
    /// Path and query at the upstream
    pub target: CompactString,
    /// Headers to forward
    pub headers: Vec<Header>,
    /// Complete body
    pub body: Vec<u8>,
    /// Time left until the deadline of the caller
    pub remaining: Duration,
    /// Zone in which the request entered the system
    pub origin: ZoneId,
    /// Reason for which the request is sent to the receiver's zone
    pub reason: Reason,
}

/// Head of a response
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status
    pub status: u16,
    /// Headers to forward
    pub headers: Vec<Header>,
    /// Length of the body in bytes, if known
    pub length: Option<u64>,
}

/// Final result of a request that got no response from an upstream
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Cause of the refusal
    pub cause: Cause,
    /// Time after which the caller may try again
    pub retry_after: Duration,
    /// Host to try instead, if the sender can name one
    #[serde(rename = "instead")]
    pub alternative_host: Option<HostId>,
}

/// Cause of a refusal
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// No slot became free in time
    NoHeadroom,
    /// The cap on traffic moved from other zones was reached
    CapReached,
    /// The receiver does not own the slots of the service
    NotOwner,
    /// Earlier attempts of the request crashed upstreams
    Quarantined,
    /// The deadline has passed or is too close
    TooLate,
    /// The receiver is stopping
    Stopping,
    /// No upstream of the service is reachable
    NoUpstream,
    /// The service is not configured
    NoService,
    /// The byte budget of the link is exhausted
    LinkFull,
    /// The ticket is forged, expired or for another service
    BadTicket,
    /// The issuer of the ticket is unreachable
    NoIssuer,
    /// The request is still in progress
    Running,
    /// The connection failed after the request was sent
    Broken,
    /// The retry budget is exhausted
    NoBudget,
    /// The request was executed, but its response is no longer stored
    Spent,
}

/// Periodic report of an entry host on its own state
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender
    pub host: HostId,
    /// Zone of the sender
    pub zone: ZoneId,
    /// Incarnation of the sender
    pub incarnation: Incarnation,
    /// Number of the configuration in force at the sender
    #[serde(rename = "number")]
    pub config_number: Version,
    /// Whether the sender is stopping
    pub leaving: bool,
    /// Keys of quarantined requests
    pub quarantined: Vec<u64>,
    /// Address of the sender for other entry hosts
    pub peer: SocketAddr,
    /// Address of the sender for callers
    pub caller: SocketAddr,
    /// Hash of the sender's list of hosts
    #[serde(rename = "listing")]
    pub list_hash: u64,
    /// Processes whose tickets the sender took over
    #[serde(rename = "held")]
    pub taken_over: Vec<Issuer>,
    /// Processes that the sender last saw stopping
    pub stopping: Vec<Issuer>,
}

/// Process that issued tickets
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Issuer {
    /// Name of its host
    pub host: HostId,
    /// Incarnation of the process
    pub incarnation: Incarnation,
}
