//! Bodies of requests, held whole within bounds.

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

/// A whole body and the room that it takes
#[derive(Debug)]
pub struct Body {
    /// All bytes
    pub bytes: Vec<u8>,
    /// Room in the host's bound
    pub held: BufferReservation,
}

/// Why a body was not read whole
#[derive(Debug)]
pub enum Unread {
    /// The host holds too much already
    NoRoom(RequestId),
    /// Longer than the limit
    Long,
    /// Not there in time
    Late,
    /// It broke off
    Broken(http_types::Error),
}

impl Unread {
    /// Answer after which the connection is closed; none to a caller that broke off
    pub fn answer(self) -> http_types::Result<Response> {
        let response = match self {
            Self::NoRoom(id) => answer::not_run(&refusal(Cause::NoHeadroom), id),
            Self::Long => answer::plain(413, "body is too long\n"),
            Self::Late => answer::plain(408, "body took too long\n"),
            Self::Broken(error) => return Err(error),
        };
        Ok(answer::closed(response))
    }
}

/// Read a whole body within the limits
pub async fn read(
    host: &Arc<Host>,
    request: &mut Request,
    head: &Head,
    limits: &Limits,
) -> Result<Body, Unread> {
    let room = match head.body {
        Length::Bytes(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
        Length::Chunked => limits.body,
    };
    let held = host.reserve_buffer(room);
    let held = held.ok_or_else(|| Unread::NoRoom(handle::id(request)))?;
    let mut bytes = Vec::new();
    if room > 0 {
        fill(&mut bytes, request, limits).await?;
    }
    if bytes.len() > limits.body {
        return Err(Unread::Long);
    }
    match head.body {
        Length::Bytes(length) if length != bytes.len() as u64 => {
            let early = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
            Err(Unread::Broken(early.into()))
        }
        _ => Ok(Body { bytes, held }),
    }
}

async fn fill(bytes: &mut Vec<u8>, request: &mut Request, limits: &Limits) -> Result<(), Unread> {
    let mut reader = request.take_body().take(limits.body as u64 + 1);
    let all = async {
        let read = reader.read_to_end(bytes).await;
        read.map(drop).map_err(|error| Unread::Broken(error.into()))
    };
    let late = async {
        Timer::after(limits.upload).await;
        Err(Unread::Late)
    };
    all.or(late).await
}
