//! Request bodies, buffered completely and within limits.

use std::sync::Arc;

use http_types::{Request, Response};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;

use crate::caller::head::{Head, Length};
use crate::caller::{Limits, answer, handle};
use crate::entry::{BufferReservation, Host, refusal};
use crate::id::RequestId;
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
    BufferFull(RequestId),
    /// The body is longer than the limit
    TooLong,
    /// The body was not complete within the timeout
    TimedOut,
    /// The body is incomplete or malformed
    Invalid(http_types::Error),
}

impl ReadError {
    /// Returns a response that closes the connection, or the error if the body is invalid
    pub fn into_response(self) -> http_types::Result<Response> {
        let response = match self {
            Self::BufferFull(id) => answer::not_run(&refusal(Cause::NoHeadroom), id),
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
    request: &mut Request,
    head: &Head,
    limits: &Limits,
) -> Result<Body, ReadError> {
    let max_bytes = match head.body_length {
        Length::Bytes(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
        Length::Chunked => limits.max_body_bytes,
    };
    let reservation = host.reserve_buffer(max_bytes);
    let reservation =
        reservation.ok_or_else(|| ReadError::BufferFull(handle::request_id(request)))?;
    let mut bytes = Vec::new();
    if max_bytes > 0 {
        read_into(&mut bytes, request, limits).await?;
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

async fn read_into(
    bytes: &mut Vec<u8>,
    request: &mut Request,
    limits: &Limits,
) -> Result<(), ReadError> {
    let mut reader = request.take_body().take(limits.max_body_bytes as u64 + 1);
    let read_all = async {
        let result = reader.read_to_end(bytes).await;
        result
            .map(drop)
            .map_err(|error| ReadError::Invalid(error.into()))
    };
    let timeout = async {
        Timer::after(limits.body_timeout).await;
        Err(ReadError::TimedOut)
    };
    read_all.or(timeout).await
}
