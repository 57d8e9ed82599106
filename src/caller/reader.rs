//! Bodies of answers as the HTTP library reads them.

use std::future::Future;
use std::io::{Error, Result};
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

use smol::io::{AsyncBufRead, AsyncRead};

use crate::caller::watch::Watch;
use crate::entry::reply::{Body, BodyError};
use crate::operator::RequestResult;

type Next =
    Pin<Box<dyn Future<Output = (Body, std::result::Result<Option<Vec<u8>>, BodyError>)> + Send>>;

/// Body of an answer as the library reads it
///
/// A body that breaks off is an error, upon which the library closes the connection.
pub struct Reader {
    watch: Watch,
    state: Mutex<State>,
    piece: Vec<u8>,
    read: usize,
    left: Option<usize>,
}

enum State {
    Idle(Body),
    Busy(Next),
    Whole,
    Broken,
}

impl Reader {
    /// Reader of a body of this length, where it is known
    pub fn new(body: Body, length: Option<usize>, watch: Watch) -> Self {
        let mut reader = Self {
            watch,
            state: Mutex::new(State::Idle(body)),
            piece: Vec::new(),
            read: 0,
            left: length,
        };
        reader.count();
        reader
    }

    /// Count the answer as served once all of a known length was taken
    fn count(&mut self) {
        if self.left == Some(0) {
            self.watch.end(RequestResult::Served);
        }
    }

    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        loop {
            let state = self.state.get_mut().map_err(|_| Error::other("poisoned"))?;
            match std::mem::replace(state, State::Broken) {
                State::Broken => return Poll::Ready(Err(Error::other("answer broke off"))),
                State::Whole => {
                    *state = State::Whole;
                    return Poll::Ready(Ok(()));
                }
                State::Idle(mut body) => {
                    *state = State::Busy(Box::pin(async move {
                        let next = body.next().await;
                        (body, next)
                    }));
                }
                State::Busy(mut next) => {
                    let Poll::Ready((body, piece)) = next.as_mut().poll(context) else {
                        *state = State::Busy(next);
                        return Poll::Pending;
                    };
                    let piece = piece.map_err(|error| Error::other(error.to_string()))?;
                    let Some(piece) = piece else {
                        self.whole()?;
                        self.watch.end(RequestResult::Served);
                        self.state = Mutex::new(State::Whole);
                        return Poll::Ready(Ok(()));
                    };
                    *state = State::Idle(body);
                    if !piece.is_empty() {
                        return Poll::Ready(self.accept(piece));
                    }
                }
            }
        }
    }

    fn accept(&mut self, piece: Vec<u8>) -> Result<()> {
        if let Some(left) = self.left.as_mut() {
            *left = left
                .checked_sub(piece.len())
                .ok_or_else(|| Error::other("answer is longer than its length"))?;
        }
        self.piece = piece;
        self.read = 0;
        self.count();
        Ok(())
    }

    fn whole(&self) -> Result<()> {
        match self.left {
            None | Some(0) => Ok(()),
            Some(left) => Err(Error::other(format!("answer lacks {left} bytes"))),
        }
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<&[u8]>> {
        let this = self.get_mut();
        if this.read >= this.piece.len() {
            this.piece.clear();
            this.read = 0;
            ready!(this.poll_piece(context))?;
        }
        Poll::Ready(Ok(&this.piece[this.read..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().read += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let piece = ready!(self.as_mut().poll_fill_buf(context))?;
        let length = piece.len().min(buffer.len());
        buffer[..length].copy_from_slice(&piece[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}
