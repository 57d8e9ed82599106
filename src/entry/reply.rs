//! Outcome of a request, and responses whose bodies are still to be read.

use displaydoc::Display;
use smol::channel::Receiver;

use crate::entry::BufferReservation;
use crate::entry::remote;
use crate::entry::run::Run;
use crate::once::StoredResponse;
use crate::wire::{Refusal, ResponseHead};

/// Outcome of a request
#[derive(Debug)]
pub enum Outcome {
    /// An upstream sent a response
    Served(Reply),
    /// The request was certainly not run
    NotRun(Refusal),
    /// The request may have run
    Unknown(Refusal),
}

/// Response whose body is still to be read
#[derive(Debug)]
pub struct Reply {
    /// Status, headers and length
    pub head: ResponseHead,
    /// Unread body
    pub body: Body,
}

/// Source of a response body
#[derive(Debug)]
pub enum Body {
    /// Complete in memory; `None` once it was read
    Buffered(Option<Vec<u8>>),
    /// An upstream of this zone
    Local(Box<Run>),
    /// Another entry host
    Remote(remote::Stream),
    /// A run that continues if its caller disconnects
    Detached(Box<Receiver<Chunk>>),
}

/// Part of the response of a detached run
#[derive(Debug)]
pub enum Chunk {
    /// Bytes, and the buffer space that they use until they are read
    Bytes(Vec<u8>, Option<BufferReservation>),
    /// The response is complete
    End,
}

/// response body is incomplete: {0}; retry the request
#[derive(Debug, Display)]
pub struct BodyError(pub String);

impl std::error::Error for BodyError {}

impl Body {
    /// Returns the next chunk, `None` once the body is complete
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        match self {
            Self::Buffered(bytes) => Ok(bytes.take().filter(|bytes| !bytes.is_empty())),
            Self::Local(run) => run.next().await,
            Self::Remote(stream) => stream.next().await,
            Self::Detached(chunks) => match chunks.recv().await {
                Ok(Chunk::Bytes(bytes, _)) => Ok(Some(bytes)),
                Ok(Chunk::End) => Ok(None),
                Err(_) => Err(BodyError("the run ended early".to_owned())),
            },
        }
    }
}

impl From<StoredResponse> for Reply {
    fn from(stored: StoredResponse) -> Self {
        Self {
            head: ResponseHead {
                status: stored.status,
                headers: stored.headers,
                length: Some(stored.body.len() as u64),
            },
            body: Body::Buffered(Some(stored.body)),
        }
    }
}
