//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a message
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and target of a request
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response, 0 if there is none
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn says_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Connection with the bytes that were received and not used yet
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn set_timeout(&self, timeout: Duration) {
        self.stream.set_read_timeout(Some(timeout)).ok();
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a message; `None` if the connection ends before its head is complete
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut first_line) = self.take_line()? else {
            return Ok(None);
        };
        while first_line.is_empty() {
            match self.take_line()? {
                Some(line) => first_line = line,
                None => return Ok(None),
            }
        }
        let mut message = Message {
            first_line,
            ..Message::default()
        };
        loop {
            match self.take_line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => break,
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message
                        .headers
                        .push((name.to_owned(), value.trim().to_owned()));
                }
            }
        }
        let length: usize = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let is_chunked = message.header("transfer-encoding").is_some();
        let whole = match is_chunked {
            true => self.read_chunks(&mut message.body),
            false => self.read_bytes(length, &mut message.body),
        };
        message.is_whole = whole.unwrap_or(false);
        Ok(Some(message))
    }

    fn read_bytes(&mut self, mut length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while length > 0 {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Ok(false);
            }
            let count = length.min(self.buffer.len());
            body.extend(self.buffer.drain(..count));
            length -= count;
        }
        Ok(true)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.take_line()? else {
                return Ok(false);
            };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if !self.read_bytes(length, body)? || self.take_line()?.is_none() {
                return Ok(false);
            }
            if length == 0 {
                return Ok(true);
            }
        }
    }
}
