//! Clients.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Reader};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub fn connect(address: SocketAddr, time_limit: Duration) -> std::io::Result<Reader> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    let reader = Reader::new(stream);
    reader.set_timeout(time_limit);
    Ok(reader)
}

/// Returns a request without a body
pub fn request(method: &str, target: &str, id: &str, time_limit: Duration) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: portal.example\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: {}\r\nContent-Length: 0\r\n\r\n",
        time_limit.as_millis()
    )
}

/// Sends a request on an open connection and reads its answer
pub fn exchange(
    connection: &mut Reader,
    method: &str,
    target: &str,
    id: &str,
    time_limit: Duration,
) -> Result<Message, String> {
    let text = request(method, target, id, time_limit);
    let sent = connection.stream.write_all(text.as_bytes());
    sent.map_err(|error| format!("not sent: {error}"))?;
    match connection.read() {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err("connection closed without an answer".to_owned()),
        Err(error) => Err(format!("no answer: {error}")),
    }
}

/// Returns the status of a page
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut connection = connect(address, Duration::from_secs(1)).ok()?;
    let answer = exchange(&mut connection, "GET", path, "-", Duration::from_secs(1)).ok()?;
    Some(answer.status())
}
