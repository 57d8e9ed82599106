//! Allocation of free loopback ports for processes whose settings need fixed ports.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use crate::error::Error;

/// Ports to allocate, below the ephemeral range of common systems
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Maximum attempts per requested port
const MAX_ATTEMPTS_PER_PORT: usize = 1_000;

/// Second loopback address, on which a listener reserves each allocated port
const RESERVATION_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 99);

/// Listeners that reserve the allocated ports for the lifetime of the process
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Allocates distinct ports that are free for TCP and UDP
///
/// A process never allocates a port twice, and concurrent processes never allocate the same port:
/// each process reserves its ports on a second loopback address that has no other listeners.
pub fn allocate(count: usize) -> Result<Vec<u16>, Error> {
    let mut ports = Vec::new();
    for _ in 0..count * MAX_ATTEMPTS_PER_PORT {
        if ports.len() == count {
            return Ok(ports);
        }
        let port = fastrand::u16(PORT_RANGE);
        let Ok(reservation) = TcpListener::bind((RESERVATION_ADDRESS, port)) else {
            continue;
        };
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, port));
        let udp = UdpSocket::bind((Ipv4Addr::LOCALHOST, port));
        if tcp.is_ok() && udp.is_ok() {
            ports.push(port);
            let mut reservations = RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner);
            reservations.push(reservation);
        }
    }
    if ports.len() == count {
        return Ok(ports);
    }
    let message = format!("no {count} free ports in {PORT_RANGE:?}; stop other processes");
    Err(Error::Unavailable(message))
}
