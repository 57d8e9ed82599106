//! Outcome of a request, and answers whose bodies are still to be read.

use displaydoc::Display;
use smol::channel::Receiver;

use crate::entry::BufferReservation;
use crate::entry::remote;
use crate::entry::run::Run;
use crate::once::StoredResponse;
use crate::wire::{Answer, Refusal};

/// What became of a request
#[derive(Debug)]
pub enum Outcome {
    /// An upstream answers
    Served(Reply),
    /// Proved not run
    NotRun(Refusal),
    /// May have run
    Unknown(Refusal),
}

/// An answer whose body is still to be read
#[derive(Debug)]
pub struct Reply {
    /// Head of the answer
    pub head: Answer,
    /// Rest of the answer
    pub body: Body,
}

/// Where the rest of an answer comes from
#[derive(Debug)]
pub enum Body {
    /// Held whole; `None` once it was read
    Buffered(Option<Vec<u8>>),
    /// An upstream of this zone
    Local(Box<Run>),
    /// Another entry host
    Remote(remote::Stream),
    /// A run that goes on without its caller
    Detached(Box<Receiver<Chunk>>),
}

/// Part of the answer of a run that goes on without its caller
#[derive(Debug)]
pub enum Chunk {
    /// Bytes, and the room that they take until they are read
    Bytes(Vec<u8>, Option<BufferReservation>),
    /// The answer is whole
    End,
}

/// the answer broke off: {0}; ask again
#[derive(Debug, Display)]
pub struct BodyError(pub String);

impl std::error::Error for BodyError {}

impl Body {
    /// Next piece, `None` once the body is whole
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BodyError> {
        match self {
            Self::Buffered(bytes) => Ok(bytes.take().filter(|bytes| !bytes.is_empty())),
            Self::Local(run) => run.next().await,
            Self::Remote(stream) => stream.next().await,
            Self::Detached(pieces) => match pieces.recv().await {
                Ok(Chunk::Bytes(bytes, _)) => Ok(Some(bytes)),
                Ok(Chunk::End) => Ok(None),
                Err(_) => Err(BodyError("the run ended early".to_owned())),
            },
        }
    }
}

impl From<StoredResponse> for Reply {
    fn from(kept: StoredResponse) -> Self {
        Self {
            head: Answer {
                status: kept.status,
                headers: kept.headers,
                length: Some(kept.body.len() as u64),
            },
            body: Body::Buffered(Some(kept.body)),
        }
    }
}
