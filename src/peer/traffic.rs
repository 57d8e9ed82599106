//! Network traffic between entry hosts, packet headers included.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use quinn::{Connection, ConnectionStats};

use crate::peer::pool::lock;

/// Size of the IPv4 and UDP headers of one packet
const PACKET_HEADER_BYTES: u64 = 28;

/// Traffic of all connections of a host, packet headers included
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of bytes sent
    pub sent: u64,
    /// Number of bytes received
    pub received: u64,
    /// Number of packets sent
    pub packets: u64,
    /// Number of open connections
    pub connections: usize,
}

/// Counter of the traffic of open and closed connections
#[derive(Debug, Default)]
pub(super) struct Counter {
    open: Mutex<BTreeMap<usize, Connection>>,
    closed: Mutex<Traffic>,
}

impl Counter {
    /// Counts the traffic of a connection until it is closed
    pub(super) fn track(self: &Arc<Self>, connection: &Connection) {
        let id = connection.stable_id();
        lock(&self.open).insert(id, connection.clone());
        let (counter, connection) = (self.clone(), connection.clone());
        let wait_for_close = async move {
            connection.closed().await;
            let mut open = lock(&counter.open);
            lock(&counter.closed).add(&connection.stats());
            open.remove(&id);
        };
        smol::spawn(wait_for_close).detach();
    }

    /// Returns the traffic of all connections, open and closed
    pub(super) fn total(&self) -> Traffic {
        let open = lock(&self.open);
        let mut total = *lock(&self.closed);
        for connection in open.values() {
            total.add(&connection.stats());
        }
        total.connections = open.len();
        total
    }
}

impl Traffic {
    fn add(&mut self, stats: &ConnectionStats) {
        let bytes = |udp: &quinn::UdpStats| udp.bytes + PACKET_HEADER_BYTES * udp.datagrams;
        self.sent += bytes(&stats.udp_tx);
        self.received += bytes(&stats.udp_rx);
        self.packets += stats.udp_tx.datagrams;
    }
}
