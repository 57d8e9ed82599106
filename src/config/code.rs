//! Encoding and decoding of revisions, and parsing of patch files.

use displaydoc::Display;
use serde_json::Value;

use super::Revision;

/// Maximum size of an encoded revision
pub const MAX_REVISION_BYTES: usize = crate::object::MAX_OBJECT_BYTES;

/// Reason why a revision or patch cannot be encoded or decoded
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read the stored configuration: {0}; use a build at least as new as its writer
    Unreadable(String),
    /// patch cannot be parsed: {0}; write a YAML or JSON mapping of the fields to change
    InvalidPatch(String),
    /// configuration has {0} bytes, the limit is {1}; remove unused entries or split the patch
    TooLarge(usize, usize),
}

impl std::error::Error for Error {}

impl Revision {
    /// Encodes the revision as the body of its platform object
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes =
            serde_json::to_vec(self).map_err(|error| Error::Unreadable(error.to_string()))?;
        if bytes.len() > MAX_REVISION_BYTES {
            return Err(Error::TooLarge(bytes.len(), MAX_REVISION_BYTES));
        }
        Ok(bytes)
    }

    /// Decodes a revision from the body of its platform object
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(bytes).map_err(|error| Error::Unreadable(error.to_string()))
    }
}

/// Parses a merge patch from YAML or JSON; duplicate keys within a mapping are an error
pub fn parse_patch(text: &str) -> Result<Value, Error> {
    let value: Value =
        serde_saphyr::from_str(text).map_err(|error| Error::InvalidPatch(error.to_string()))?;
    if !value.is_object() {
        return Err(Error::InvalidPatch("it is not a mapping".to_owned()));
    }
    Ok(value)
}
