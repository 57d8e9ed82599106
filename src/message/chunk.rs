//! Decoder of chunked bodies.

use super::{Error, MAX_RESPONSE_HEAD_BYTES};

/// Maximum length of a chunk size line or trailer line
const MAX_LINE_BYTES: usize = 4 << 10;

/// Maximum length of all trailer lines of a body; as much as a response head may have
const MAX_TRAILER_BYTES: usize = MAX_RESPONSE_HEAD_BYTES;

/// Decoder of one chunked body
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Chunks {
    state: State,
}

/// How far a body is decoded
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More bytes are needed
    Partial,
    /// The body, with its trailers, is complete
    Complete,
}

/// Position within a chunked body
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    /// Trailer section, with the number of bytes read so far
    Trailer(usize),
    End,
}

/// Result of decoding the next element of a chunked body
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Decoded,
    /// The rest of a line is needed, which may have this many bytes
    NeedsLine(usize),
    NeedsData,
    Ended,
}

impl Chunks {
    /// Creates a decoder at the start of a body
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes `bytes` as far as possible and adds the data of all chunks to `data`
    ///
    /// Returns the number of bytes that are decoded, which the next call must not get again. An error
    /// changes nothing, so the next call finds it again.
    pub fn decode(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> (usize, Result<Progress, Error>) {
        let mut used = 0;
        let step = loop {
            match self.decode_next(&bytes[used..], data) {
                Ok((Step::Decoded, count)) => used += count,
                step => break step.map(|(step, _)| step),
            }
        };
        let progress = match step {
            Ok(Step::NeedsLine(max_bytes)) if bytes.len() - used > max_bytes => {
                Err(Error::Malformed("chunk size or trailer line is too long"))
            }
            Ok(Step::Ended) => Ok(Progress::Complete),
            Ok(_) => Ok(Progress::Partial),
            Err(error) => Err(error),
        };
        (used, progress)
    }

    /// Decodes the next element and returns the number of its bytes; adds data to `data`
    fn decode_next(&mut self, unread: &[u8], data: &mut Vec<u8>) -> Result<(Step, usize), Error> {
        let (count, state) = match self.state {
            // The library takes a line without digits for a size of 0.
            State::Size if unread.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) => {
                return Err(Error::Malformed("invalid chunk size"));
            }
            State::Size => match httparse::parse_chunk_size(unread) {
                Ok(httparse::Status::Complete((count, 0))) => (count, State::Trailer(0)),
                Ok(httparse::Status::Complete((count, size))) => (count, State::Data(size)),
                Ok(httparse::Status::Partial) => return Ok((Step::NeedsLine(MAX_LINE_BYTES), 0)),
                Err(_) => return Err(Error::Malformed("invalid chunk size")),
            },
            State::Data(0) => (0, State::DataEnd),
            State::Data(_) if unread.is_empty() => return Ok((Step::NeedsData, 0)),
            State::Data(remaining) => {
                let max_bytes = usize::try_from(remaining).unwrap_or(usize::MAX);
                let count = unread.len().min(max_bytes);
                data.extend_from_slice(&unread[..count]);
                (count, State::Data(remaining - count as u64))
            }
            State::DataEnd if unread.len() < 2 => return Ok((Step::NeedsLine(2), 0)),
            State::DataEnd if unread.starts_with(b"\r\n") => (2, State::Size),
            State::DataEnd => {
                let reason = "chunk data is not followed by a line break";
                return Err(Error::Malformed(reason));
            }
            State::Trailer(bytes_read) => match super::find(unread, b"\r\n") {
                Some(0) => (2, State::End),
                Some(_) if bytes_read > MAX_TRAILER_BYTES => {
                    return Err(Error::Malformed("trailer section is too long"));
                }
                Some(line_length) => {
                    let count = line_length + 2;
                    (count, State::Trailer(bytes_read + count))
                }
                None => return Ok((Step::NeedsLine(MAX_LINE_BYTES), 0)),
            },
            State::End => return Ok((Step::Ended, 0)),
        };
        self.state = state;
        Ok((Step::Decoded, count))
    }
}
