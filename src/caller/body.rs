//! Request bodies, buffered completely and within limits.

use std::sync::Arc;

use http_types::{Request, Response};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;

use crate::caller::gate::Connection;
use crate::caller::head::{Head, Length};
use crate::caller::{Limits, answer, handle};
use crate::entry::{BufferReservation, Host};
use crate::message;
use crate::wire::Cause;

/// Complete body and the buffer space that it uses
#[derive(Debug)]
pub struct Body {
    /// All bytes of the body
    pub bytes: Vec<u8>,
    /// Reservation in the host's limit of buffered bytes
    pub reservation: BufferReservation,
}

/// Error in reading a body
#[derive(Debug)]
pub enum ReadError {
    /// The host's limit of buffered bytes is reached
    BufferFull,
    /// The body is longer than the limit
    TooLong,
    /// The body was not complete within the timeout
    TimedOut,
    /// The body is incomplete or malformed
    Invalid(http_types::Error),
}

impl ReadError {
    /// Returns a response that closes the connection, or the error if the body is invalid
    pub fn into_response(self, request: &Request) -> http_types::Result<Response> {
        let response = match self {
            Self::BufferFull => handle::refuse(request, Cause::NoHeadroom),
            Self::TooLong => answer::plain_text(413, "body is too long\n"),
            Self::TimedOut => answer::plain_text(408, "body took too long\n"),
            Self::Invalid(error) => return Err(error),
        };
        Ok(answer::with_connection_close(response))
    }
}

/// Reads a complete body within the limits
pub async fn read(
    host: &Arc<Host>,
    connection: &Connection,
    request: &mut Request,
    head: &Head,
    limits: &Limits,
) -> Result<Body, ReadError> {
    let max_bytes = match head.body_length {
        Length::Bytes(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
        Length::Chunked => limits.max_body_bytes,
    };
    let reservation = host.reserve_buffer(max_bytes);
    let reservation = reservation.ok_or(ReadError::BufferFull)?;
    let mut bytes = Vec::new();
    if max_bytes > 0 {
        let read = async {
            match head.body_length {
                Length::Bytes(_) => read_bytes(request, limits.max_body_bytes).await,
                Length::Chunked => read_chunks(connection, limits.max_body_bytes).await,
            }
        };
        let timeout = async {
            Timer::after(limits.body_timeout).await;
            Err(ReadError::TimedOut)
        };
        bytes = read.or(timeout).await?;
    }
    if bytes.len() > limits.max_body_bytes {
        return Err(ReadError::TooLong);
    }
    match head.body_length {
        Length::Bytes(length) if length != bytes.len() as u64 => {
            let error = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
            Err(ReadError::Invalid(error.into()))
        }
        _ => Ok(Body { bytes, reservation }),
    }
}

async fn read_bytes(request: &mut Request, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
    let mut bytes = Vec::new();
    let mut reader = request.take_body().take(max_bytes as u64 + 1);
    match reader.read_to_end(&mut bytes).await {
        Ok(_) => Ok(bytes),
        Err(error) => Err(ReadError::Invalid(error.into())),
    }
}

async fn read_chunks(connection: &Connection, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
    let read = connection.clone().read_chunks(max_bytes).await;
    read.map_err(|error| match error {
        message::Error::TooLong(_) => ReadError::TooLong,
        error => ReadError::Invalid(error.into()),
    })
}
