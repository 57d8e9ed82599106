//! Audit entries and documents of earlier configurations.

use serde_json::Value;

use super::submit::read_history_entry;
use super::unavailable;
use crate::config::{self, Audit, Document, Revision};
use crate::error::Error;
use crate::id::Version;
use crate::object::Client;

/// Returns the audit entry of a number, from the current revision or from its history object
pub async fn audit_entry(
    client: &Client,
    current: &Revision,
    number: Version,
) -> Result<Audit, Error> {
    if let Some(entry) = current.audit.iter().find(|entry| entry.number == number) {
        return Ok(entry.clone());
    }
    if number == 0 || number > current.number {
        return Err(Error::Usage(format!(
            "configuration {number} does not exist; give a number from 1 to {}",
            current.number
        )));
    }
    read_history_entry(client, number).await?.ok_or_else(|| {
        Error::Unavailable(format!(
            "history object {}{number} of configuration {number} is missing; \
             ask the platform's operators to restore it",
            config::HISTORY_PREFIX
        ))
    })
}

/// Returns at most `limit` audit entries, newest first
pub async fn audit_entries(
    client: &Client,
    current: &Revision,
    limit: usize,
) -> Result<Vec<Audit>, Error> {
    let mut entries = Vec::new();
    for number in (1..=current.number).rev().take(limit) {
        entries.push(audit_entry(client, current, number).await?);
    }
    Ok(entries)
}

/// Returns the document of a number by undoing the later changes in the current document
///
/// Number 0 has an empty document.
pub async fn document(
    client: &Client,
    current: &Revision,
    number: Version,
) -> Result<Document, Error> {
    if number > current.number {
        return Err(Error::Usage(format!(
            "configuration {number} does not exist; give a number from 0 to {}",
            current.number
        )));
    }
    let mut value = serde_json::to_value(&current.document).map_err(unavailable)?;
    for undone in (number + 1..=current.number).rev() {
        let entry = audit_entry(client, current, undone).await?;
        if entry.undo == Value::Null {
            return Err(Error::Unavailable(format!(
                "audit entry {undone} has no undo patch; \
                 earlier configurations cannot be restored"
            )));
        }
        value = config::merge(&value, &entry.undo);
    }
    serde_json::from_value(value).map_err(unavailable)
}
