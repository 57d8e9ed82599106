//! Blocking HTTP/1.1, as far as the stand-ins and the callers need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a message
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at a position
    pub fn word(&self, index: usize) -> &str {
        let mut words = self.first_line.split(' ');
        words.nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message; `None` if the peer closed the connection before it
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if !read_line(reader, &mut message.first_line)? {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if !read_line(reader, &mut line)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    if message.header("Transfer-Encoding") == Some("chunked") {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = message.header("Content-Length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        read_line(reader, &mut line)?;
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(reader, &mut line)?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>, line: &mut String) -> io::Result<bool> {
    line.clear();
    if reader.read_line(line)? == 0 {
        return Ok(false);
    }
    line.truncate(line.trim_end().len());
    Ok(true)
}

/// Connection of a caller
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, time_limit.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time_limit))?;
        stream.set_write_timeout(Some(time_limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the answer
    pub fn exchange(&mut self, request: &[u8]) -> io::Result<Message> {
        self.reader.get_mut().write_all(request)?;
        read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::ConnectionAborted.into())
    }
}

/// Sends a GET request on a new connection
pub fn get(address: SocketAddr, target: &str) -> io::Result<Message> {
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    Client::connect(address, Duration::from_secs(1))?.exchange(request.as_bytes())
}
