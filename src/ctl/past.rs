//! Audit entries and documents of earlier numbers.

use serde_json::Value;

use super::submit::history;
use super::unavailable;
use crate::config::{self, Audit, Document, Revision};
use crate::error::Error;
use crate::id::Version;
use crate::object::Client;

/// Audit entry of a number, from the revision or its history object
pub async fn entry(client: &Client, present: &Revision, number: Version) -> Result<Audit, Error> {
    if let Some(entry) = present.audit.iter().find(|entry| entry.number == number) {
        return Ok(entry.clone());
    }
    if number == 0 || number > present.number {
        return Err(Error::Usage(format!(
            "there is no number {number}; give 1 to {}",
            present.number
        )));
    }
    history(client, number).await?.ok_or_else(|| {
        Error::Unavailable(format!(
            "the entry of {number} is in no object {}{number}; ask who runs the platform",
            config::HISTORY_PREFIX
        ))
    })
}

/// Newest entries, newest first, at most `limit`
pub async fn entries(
    client: &Client,
    present: &Revision,
    limit: usize,
) -> Result<Vec<Audit>, Error> {
    let mut entries = Vec::new();
    for number in (1..=present.number).rev().take(limit) {
        entries.push(entry(client, present, number).await?);
    }
    Ok(entries)
}

/// Document of a number, led back from the present one; 0 gives the empty document
pub async fn document(
    client: &Client,
    present: &Revision,
    number: Version,
) -> Result<Document, Error> {
    if number > present.number {
        return Err(Error::Usage(format!(
            "there is no number {number}; give 0 to {}",
            present.number
        )));
    }
    let mut value = serde_json::to_value(&present.document).map_err(unavailable)?;
    for undone in (number + 1..=present.number).rev() {
        let entry = entry(client, present, undone).await?;
        if entry.undo == Value::Null {
            return Err(Error::Unavailable(format!(
                "the entry of {undone} does not say what was before it"
            )));
        }
        value = config::merge(&value, &entry.undo);
    }
    serde_json::from_value(value).map_err(unavailable)
}
