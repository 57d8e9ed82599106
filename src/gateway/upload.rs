//! Body of a caller's request on its way to an endpoint.

use std::io;

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::message::{Connection, Error, Length};

/// Body of a request
#[derive(Debug)]
pub enum Upload<'a> {
    /// Held whole, so it can be sent again
    Whole(&'a [u8]),
    /// Read from the caller as it is sent on; can be sent once
    Stream {
        /// Connection of the caller
        caller: &'a mut Connection,
        /// What is left to read
        length: &'a mut Length,
        /// Whether a byte was taken from the caller
        begun: bool,
    },
}

/// Why a body was not sent
#[derive(Debug)]
pub enum Unsent {
    /// The caller broke off or sent something malformed
    Caller(Error),
    /// The endpoint does not take it
    Endpoint(io::Error),
}

impl Upload<'_> {
    /// Whether the body can be sent to another endpoint
    pub fn is_whole(&self) -> bool {
        !matches!(self, Self::Stream { begun: true, .. })
    }

    /// Header line that frames the body; empty where there is none
    pub fn framing(&self, method: &str) -> String {
        match self {
            Self::Whole([]) if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => {
                String::new()
            }
            Self::Whole(body) => format!("Content-Length: {}\r\n", body.len()),
            Self::Stream { length, .. } => match length {
                Length::Bytes(left) => format!("Content-Length: {left}\r\n"),
                _ => "Transfer-Encoding: chunked\r\n".to_owned(),
            },
        }
    }

    /// Send the whole body
    pub async fn send(&mut self, out: &mut TcpStream) -> Result<(), Unsent> {
        match self {
            Self::Whole(body) => out.write_all(body).await.map_err(Unsent::Endpoint),
            Self::Stream {
                caller,
                length,
                begun,
            } => {
                let chunked = matches!(length, Length::Chunked);
                *begun = true;
                while let Some(piece) = caller.piece(length).await.map_err(Unsent::Caller)? {
                    let piece = if chunked { frame(&piece) } else { piece };
                    out.write_all(&piece).await.map_err(Unsent::Endpoint)?;
                }
                if chunked {
                    out.write_all(LAST_CHUNK).await.map_err(Unsent::Endpoint)?;
                }
                Ok(())
            }
        }
    }
}

/// End of a chunked body
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// One chunk of a chunked body
pub fn frame(piece: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
