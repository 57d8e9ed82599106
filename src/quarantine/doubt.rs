//! Attempts without an answer, after which an endpoint may have crashed.
//!
//! A machine that fell silent closes no connection, and something in front of an endpoint may accept
//! connections for it. A new run at the address then shows the crash.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{EndpointRun, Keys};

/// Time after an attempt without an answer during which a new run at the address of the endpoint shows
/// that it crashed; crashed endpoints are back within seconds
pub const DOUBT_TTL: Duration = Duration::from_secs(15);

/// Maximum number of attempts without an answer that are remembered
const MAX_DOUBTS: usize = 1024;

/// Attempt that got no answer
#[derive(Debug)]
pub struct Doubt {
    /// Time at which the attempt ended
    pub ended_at: Instant,
    /// Keys of the request
    pub keys: Keys,
    /// Run of the endpoint
    pub run: EndpointRun,
    /// Address of the endpoint
    pub address: SocketAddr,
}

/// Latest attempts without an answer, oldest first
#[derive(Debug, Default)]
pub struct Doubts(VecDeque<Doubt>);

impl Doubts {
    /// Records an attempt, in place of the oldest one if there are too many
    pub fn record(&mut self, doubt: Doubt) {
        if self.0.len() >= MAX_DOUBTS {
            self.0.pop_front();
        }
        self.0.push_back(doubt);
    }

    /// Removes and returns the attempts at runs that ended, as another run started at their address
    pub fn resolve(&mut self, now: Instant, run: EndpointRun, address: SocketAddr) -> Vec<Doubt> {
        let is_recent = |doubt: &Doubt| now < doubt.ended_at + DOUBT_TTL;
        let is_resolved = |doubt: &Doubt| doubt.address == address && doubt.run != run;
        let doubts = std::mem::take(&mut self.0);
        let (resolved, open): (Vec<Doubt>, _) =
            doubts.into_iter().filter(is_recent).partition(is_resolved);
        self.0 = VecDeque::from(open);
        resolved
    }
}
