//! Encoding of revisions, and reading of patches.

use displaydoc::Display;
use serde_json::Value;

use super::Revision;

/// Longest encoded revision, in bytes
pub const MAX_REVISION_BYTES: usize = crate::object::MAX_OBJECT_BYTES;

/// Why a revision or a patch cannot be read or written
#[derive(Debug, Display)]
pub enum Error {
    /// the stored configuration cannot be read: {0}; use a build as new as the one that wrote it
    Unreadable(String),
    /// the patch cannot be read: {0}; write a YAML or JSON mapping of the fields to change
    InvalidPatch(String),
    /// the configuration takes {0} bytes of at most {1}; remove what is unused or split the patch
    TooLarge(usize, usize),
}

impl std::error::Error for Error {}

impl Revision {
    /// Bytes of the platform object
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes =
            serde_json::to_vec(self).map_err(|error| Error::Unreadable(error.to_string()))?;
        if bytes.len() > MAX_REVISION_BYTES {
            return Err(Error::TooLarge(bytes.len(), MAX_REVISION_BYTES));
        }
        Ok(bytes)
    }

    /// Revision in the bytes of the platform object
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes).map_err(|error| Error::Unreadable(error.to_string()))
    }
}

/// Merge patch in the text of a YAML or JSON file
///
/// A key that stands twice in one mapping is refused.
pub fn parse_patch(text: &str) -> Result<Value, Error> {
    let value: Value =
        serde_saphyr::from_str(text).map_err(|error| Error::InvalidPatch(error.to_string()))?;
    if !value.is_object() {
        return Err(Error::InvalidPatch("it is no mapping".to_owned()));
    }
    Ok(value)
}
