//! Free loopback ports for processes whose settings name their ports beforehand.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use crate::error::Error;

/// Ports to draw from, below those that systems give to outgoing connections
const RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Draws for each port before the search ends
const DRAWS: usize = 1_000;

/// Address on which a port is held for the life of the process, beside the one that is used
const HELD: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 99);

/// Listeners that hold the ports which this process was given
static HOLDERS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Ports free for TCP and UDP, all different
///
/// A port is never given twice by a process, nor to two processes that run at once: each holds its
/// ports on a second address, where nobody else listens.
pub fn free(count: usize) -> Result<Vec<u16>, Error> {
    let mut found = Vec::new();
    for _ in 0..count * DRAWS {
        if found.len() == count {
            return Ok(found);
        }
        let port = fastrand::u16(RANGE);
        let Ok(holder) = TcpListener::bind((HELD, port)) else {
            continue;
        };
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, port));
        let udp = UdpSocket::bind((Ipv4Addr::LOCALHOST, port));
        if tcp.is_ok() && udp.is_ok() {
            found.push(port);
            let mut holders = HOLDERS.lock().unwrap_or_else(PoisonError::into_inner);
            holders.push(holder);
        }
    }
    if found.len() == count {
        return Ok(found);
    }
    let remedy = format!("no {count} free ports in {RANGE:?}; end other processes");
    Err(Error::Unavailable(remedy))
}
