//! Body of a caller's request, as it is sent to an endpoint.

use std::io;

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::message::{Connection, Error, Length};

/// Number of body bytes that identify a request for the quarantine
pub const PREFIX_BYTES: usize = 4 << 10;

/// Body of a request
#[derive(Debug)]
pub enum Upload<'a> {
    /// Buffered in memory, so it can be sent more than once
    Buffered(&'a [u8]),
    /// Read from the caller while it is sent; can be sent only once
    Streamed {
        /// First part, which was already read
        prefix: &'a [u8],
        /// Connection to the caller
        caller: &'a mut Connection,
        /// Length of the part that is still to be read
        remaining: &'a mut Length,
        /// Whether reading from the caller has started
        started: bool,
    },
}

/// Reason why a body was not sent
#[derive(Debug)]
pub enum SendError {
    /// The caller closed the connection or sent a malformed body
    Caller(Error),
    /// The endpoint did not accept the body
    Endpoint(io::Error),
}

impl Upload<'_> {
    /// Returns whether the body can be sent to another endpoint
    pub fn can_resend(&self) -> bool {
        !matches!(self, Self::Streamed { started: true, .. })
    }

    /// Returns the first [`PREFIX_BYTES`] bytes of the body, or the whole body if it is shorter
    pub fn prefix(&self) -> &[u8] {
        let known: &[u8] = match self {
            Self::Buffered(body) => body,
            Self::Streamed { prefix, .. } => prefix,
        };
        &known[..known.len().min(PREFIX_BYTES)]
    }

    /// Returns the header line that frames the body; empty if there is no body
    pub fn framing_header(&self, method: &str) -> String {
        match self {
            Self::Buffered([]) if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => {
                String::new()
            }
            Self::Buffered(body) => format!("Content-Length: {}\r\n", body.len()),
            Self::Streamed {
                prefix, remaining, ..
            } => match remaining {
                Length::Bytes(length) => {
                    format!("Content-Length: {}\r\n", *length + prefix.len() as u64)
                }
                _ => "Transfer-Encoding: chunked\r\n".to_owned(),
            },
        }
    }

    /// Sends the body to an endpoint
    pub async fn send(&mut self, writer: &mut TcpStream) -> Result<(), SendError> {
        match self {
            Self::Buffered(body) => writer.write_all(body).await.map_err(SendError::Endpoint),
            Self::Streamed {
                prefix,
                caller,
                remaining,
                started,
            } => {
                let is_chunked = matches!(remaining, Length::Chunked);
                *started = true;
                let mut next = Some(prefix.to_vec()).filter(|prefix| !prefix.is_empty());
                loop {
                    let piece = match next.take() {
                        Some(piece) => Some(piece),
                        None => caller
                            .read_body_part(remaining)
                            .await
                            .map_err(SendError::Caller)?,
                    };
                    let Some(piece) = piece else { break };
                    let piece = if is_chunked {
                        encode_chunk(&piece)
                    } else {
                        piece
                    };
                    writer
                        .write_all(&piece)
                        .await
                        .map_err(SendError::Endpoint)?;
                }
                if is_chunked {
                    writer
                        .write_all(LAST_CHUNK)
                        .await
                        .map_err(SendError::Endpoint)?;
                }
                Ok(())
            }
        }
    }
}

/// Last chunk of a chunked body
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes one chunk of a chunked body
pub fn encode_chunk(piece: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
