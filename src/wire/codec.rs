//! Length-prefixed framing of [`Frame`]s on a stream.

use displaydoc::Display;

use crate::wire::{Frame, MAX_FRAME_BYTES, VERSION};

/// Size of the length prefix of a frame
const LENGTH_PREFIX_BYTES: usize = 4;

/// Oldest version byte that this build decodes
pub const OLDEST_VERSION: u8 = 1;

/// Error of encoding or decoding a frame
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// frame of {0} bytes exceeds the size limit; split it into smaller frames
    TooLong(usize),
    /// frame version {0} is not supported; upgrade the older of the two hosts
    UnsupportedVersion(u8),
    /// frame cannot be decoded: {0}; upgrade the older of the two hosts
    Malformed(String),
}

impl std::error::Error for Error {}

/// Encodes a frame with its length prefix and version byte
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let prefix = vec![0, 0, 0, 0, VERSION];
    let encoded = postcard::to_extend(frame, prefix);
    let mut bytes = encoded.map_err(|error| Error::Malformed(error.to_string()))?;
    let length = bytes.len() - LENGTH_PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLong(length));
    }
    let length = u32::try_from(length).map_err(|_| Error::TooLong(length))?;
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(bytes)
}

/// Decodes a version byte and the encoded frame after it, without the length prefix
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let Some((version, body)) = bytes.split_first() else {
        return Err(Error::Malformed("empty".to_owned()));
    };
    if !(OLDEST_VERSION..=VERSION).contains(version) {
        return Err(Error::UnsupportedVersion(*version));
    }
    postcard::from_bytes(body).map_err(|error| Error::Malformed(error.to_string()))
}

/// Bytes received on a stream that are not decoded yet
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// Returns an empty buffer
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether every received byte was consumed, so that no partial frame is left
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Removes and decodes the next complete frame; `None` if more bytes are needed
    ///
    /// [`Error::TooLong`] is final: the buffer cannot find the next frame after it. The other
    /// errors skip one frame.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Error> {
        let unread = &self.bytes[self.start..];
        let Some(length) = unread.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::TooLong(length));
        }
        let Some(frame) = unread.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length) else {
            return Ok(None);
        };
        let frame = decode(frame);
        self.start += LENGTH_PREFIX_BYTES + length;
        if self.start == self.bytes.len() {
            self.bytes = Vec::new();
            self.start = 0;
        }
        frame.map(Some)
    }
}
