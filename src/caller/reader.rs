//! Reader through which the HTTP library reads a response body.

use std::future::Future;
use std::io::{Error, Result};
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

use smol::io::{AsyncBufRead, AsyncRead};

use crate::caller::watch::Recorder;
use crate::entry::reply::{Body, BodyError};
use crate::operator::RequestResult;

type NextChunk =
    Pin<Box<dyn Future<Output = (Body, std::result::Result<Option<Vec<u8>>, BodyError>)> + Send>>;

/// Reader of a response body
///
/// An incomplete body is a read error, after which the library closes the connection.
pub struct Reader {
    recorder: Recorder,
    state: Mutex<State>,
    chunk: Vec<u8>,
    position: usize,
    remaining: Option<usize>,
}

enum State {
    Ready(Body),
    Reading(NextChunk),
    Complete,
    Failed,
}

impl Reader {
    /// Creates a reader of a body whose length may be known
    pub fn new(body: Body, length: Option<usize>, recorder: Recorder) -> Self {
        let mut reader = Self {
            recorder,
            state: Mutex::new(State::Ready(body)),
            chunk: Vec::new(),
            position: 0,
            remaining: length,
        };
        reader.record_if_complete();
        reader
    }

    /// Records the request as served once a body of known length is complete
    fn record_if_complete(&mut self) {
        if self.remaining == Some(0) {
            self.recorder.finish(RequestResult::Served);
        }
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        loop {
            let state = self
                .state
                .get_mut()
                .map_err(|_| Error::other("lock of the response body is poisoned"))?;
            match std::mem::replace(state, State::Failed) {
                State::Failed => return Poll::Ready(Err(Error::other("body is incomplete"))),
                State::Complete => {
                    *state = State::Complete;
                    return Poll::Ready(Ok(()));
                }
                State::Ready(mut body) => {
                    *state = State::Reading(Box::pin(async move {
                        let next = body.next().await;
                        (body, next)
                    }));
                }
                State::Reading(mut next) => {
                    let Poll::Ready((body, chunk)) = next.as_mut().poll(context) else {
                        *state = State::Reading(next);
                        return Poll::Pending;
                    };
                    let chunk = chunk.map_err(|error| Error::other(error.to_string()))?;
                    let Some(chunk) = chunk else {
                        self.check_complete()?;
                        self.recorder.finish(RequestResult::Served);
                        self.state = Mutex::new(State::Complete);
                        return Poll::Ready(Ok(()));
                    };
                    *state = State::Ready(body);
                    if !chunk.is_empty() {
                        return Poll::Ready(self.accept_chunk(chunk));
                    }
                }
            }
        }
    }

    fn accept_chunk(&mut self, chunk: Vec<u8>) -> Result<()> {
        if let Some(remaining) = self.remaining.as_mut() {
            *remaining = remaining
                .checked_sub(chunk.len())
                .ok_or_else(|| Error::other("response body is longer than its length"))?;
        }
        self.chunk = chunk;
        self.position = 0;
        self.record_if_complete();
        Ok(())
    }

    fn check_complete(&self) -> Result<()> {
        match self.remaining {
            None | Some(0) => Ok(()),
            Some(remaining) => Err(Error::other(format!(
                "response body is {remaining} bytes too short"
            ))),
        }
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<&[u8]>> {
        let this = self.get_mut();
        if this.position >= this.chunk.len() {
            this.chunk.clear();
            this.position = 0;
            ready!(this.poll_chunk(context))?;
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let chunk = ready!(self.as_mut().poll_fill_buf(context))?;
        let length = chunk.len().min(buffer.len());
        buffer[..length].copy_from_slice(&chunk[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}
