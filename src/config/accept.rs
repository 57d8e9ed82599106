//! Validation and application of a patch to a numbered revision.

use std::collections::BTreeMap;

use compact_str::CompactString;
use displaydoc::Display;
use serde_json::Value;

use super::{Audit, Document, Error, FieldError, Revision, ShiftStart, check, diff, merge};
use crate::id::{ServiceId, Version};

/// Maximum number of audit entries in a revision
pub const MAX_AUDIT_ENTRIES: usize = 64;

/// Configuration change requested by an operator
#[derive(Clone, Debug, PartialEq)]
pub struct Patch {
    /// Random id, unchanged when the patch is resent
    pub id: CompactString,
    /// Number of the revision that the patch is based on
    pub base: Version,
    /// Operator who sends the patch
    pub who: CompactString,
    /// Reason for the change
    pub why: CompactString,
    /// JSON merge patch of the document
    pub change: Value,
}

/// Result of an accepted patch
#[derive(Clone, Debug, PartialEq)]
pub enum Accepted {
    /// The patch was already applied and created the revision with this number
    AlreadyApplied(Version),
    /// Revision to write, and audit entries to move to history objects before that write
    New(Box<Revision>, Vec<Audit>),
}

/// Reason why a patch is rejected
#[derive(Debug, Display)]
pub enum PatchError {
    /// the patch is based on {base}, but the number in force is {current}; {advice}
    Stale {
        /// Number that the patch is based on
        base: Version,
        /// Number in force
        current: Version,
        /// Entries accepted after `base`, oldest first; only those that the revision still holds
        since: Vec<Audit>,
        /// Suggested action
        advice: &'static str,
    },
    /// {0}
    Invalid(InvalidDocument),
    /// id {0} is already used by another patch, accepted as {1}; omit --id to generate a new one
    IdReused(CompactString, Version),
    /// {0}
    Encoding(Error),
}

impl std::error::Error for PatchError {}

/// Errors in the document that a patch would produce
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidDocument(pub Vec<FieldError>);

impl std::fmt::Display for InvalidDocument {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(FieldError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Checks a patch against the current revision and returns the revision to write
///
/// `current` is the newest revision; its number is 0 before the first configuration. `at` is the
/// time of acceptance in milliseconds since the Unix epoch.
pub fn accept(current: &Revision, patch: &Patch, at: u64) -> Result<Accepted, PatchError> {
    if let Some(entry) = current.audit.iter().find(|entry| entry.patch == patch.id) {
        return resolve_duplicate(entry, patch);
    }
    if patch.base != current.number {
        return Err(stale(current, patch));
    }
    let before = to_value(&current.document)?;
    let document = apply_patch(&before, &patch.change)?;
    let after = to_value(&document)?;
    let entry = Audit {
        number: current.number + 1,
        patch: patch.id.clone(),
        who: patch.who.clone(),
        why: patch.why.clone(),
        at,
        change: patch.change.clone(),
        undo: diff(&after, &before),
    };
    let (revision, archived) =
        next_revision(current, document, entry).map_err(PatchError::Encoding)?;
    assert_eq!(
        revision.number,
        patch.base + 1,
        "revision number was skipped"
    );
    assert!(
        revision
            .audit
            .last()
            .is_some_and(|e| e.number == revision.number),
        "revision has no audit entry"
    );
    Ok(Accepted::New(Box::new(revision), archived))
}

/// Returns the revision created by an audit entry, and the entries that no longer fit into it
pub fn next_revision(
    current: &Revision,
    document: Document,
    entry: Audit,
) -> Result<(Revision, Vec<Audit>), Error> {
    let mut revision = Revision {
        number: entry.number,
        shift_starts: shift_starts(current, &document, entry.at),
        document,
        audit: current.audit.clone(),
    };
    revision.audit.push(entry);
    let archived = archive(&mut revision)?;
    Ok((revision, archived))
}

/// Returns the result for a patch whose id is already in the audit log
pub fn resolve_duplicate(entry: &Audit, patch: &Patch) -> Result<Accepted, PatchError> {
    if entry.change != patch.change {
        return Err(PatchError::IdReused(patch.id.clone(), entry.number));
    }
    Ok(Accepted::AlreadyApplied(entry.number))
}

fn stale(current: &Revision, patch: &Patch) -> PatchError {
    let since = current
        .audit
        .iter()
        .filter(|entry| entry.number > patch.base);
    let advice = if patch.base > current.number {
        "there is no such number yet: run pierctl show to see the current one"
    } else {
        "review the changes since then, update the patch and base it on the current number"
    };
    PatchError::Stale {
        base: patch.base,
        current: current.number,
        since: since.cloned().collect(),
        advice,
    }
}

fn to_value(document: &Document) -> Result<Value, PatchError> {
    serde_json::to_value(document)
        .map_err(|error| PatchError::Encoding(Error::Unreadable(error.to_string())))
}

fn apply_patch(before: &Value, change: &Value) -> Result<Document, PatchError> {
    let merged = merge(before, change);
    let parsed = super::locate::parse(&merged);
    let document = parsed.map_err(|errors| PatchError::Invalid(InvalidDocument(errors)))?;
    let errors = check(&document);
    if !errors.is_empty() {
        return Err(PatchError::Invalid(InvalidDocument(errors)));
    }
    Ok(document)
}

/// Returns the starts of all shifts that may be running after the change
///
/// If an earlier shift of the same service may still be running, entry zones whose shares do not
/// change keep the start of that shift.
fn shift_starts(
    current: &Revision,
    document: &Document,
    at: u64,
) -> BTreeMap<ServiceId, ShiftStart> {
    let mut starts = current.shift_starts.clone();
    starts.retain(|name, _| document.services.contains_key(name));
    for (name, service) in &document.services {
        let Some(old) = current.document.services.get(name) else {
            continue;
        };
        if old.shares == service.shares {
            continue;
        }
        let mut from = starts
            .remove(name)
            .map(|start| start.from)
            .unwrap_or_default();
        for zone in document.zones.keys() {
            let shares = super::effective_shares(old, zone);
            if shares != super::effective_shares(service, zone) {
                from.insert(zone.clone(), shares);
            }
        }
        from.retain(|zone, _| document.zones.contains_key(zone));
        starts.insert(name.clone(), ShiftStart { from, at });
    }
    starts
}

/// Removes the oldest audit entries until the revision is within its limits, and returns them
fn archive(revision: &mut Revision) -> Result<Vec<Audit>, Error> {
    let mut archived = Vec::new();
    loop {
        let has_too_many = revision.audit.len() > MAX_AUDIT_ENTRIES;
        match revision.encode() {
            Ok(_) if !has_too_many => return Ok(archived),
            Err(error) if revision.audit.len() <= 1 => return Err(error),
            _ => archived.push(revision.audit.remove(0)),
        }
    }
}
