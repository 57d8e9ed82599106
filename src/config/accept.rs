//! Acceptance of a patch against a numbered configuration.

use std::collections::BTreeMap;

use compact_str::CompactString;
use displaydoc::Display;
use serde_json::Value;

use super::{Audit, Document, Error, FieldError, Revision, ShiftStart, check, diff, merge};
use crate::id::{ServiceId, Version};

/// Most audit entries that a revision holds
pub const MAX_AUDIT_ENTRIES: usize = 64;

/// A change that an operator asks for
#[derive(Clone, Debug, PartialEq)]
pub struct Patch {
    /// Random id, the same each time the patch is sent
    pub id: CompactString,
    /// Number that the patch was written against
    pub base: Version,
    /// Operator who sends it
    pub who: CompactString,
    /// Why it is sent
    pub why: CompactString,
    /// JSON merge patch of the document
    pub change: Value,
}

/// What became of a patch that was not refused
#[derive(Clone, Debug, PartialEq)]
pub enum Accepted {
    /// It took effect before, as this number
    AlreadyApplied(Version),
    /// Revision to write, and audit entries to move to history objects before that
    New(Box<Revision>, Vec<Audit>),
}

/// Why a patch is refused
#[derive(Debug, Display)]
pub enum PatchError {
    /// the patch was written on {base}, but the number in force is {current}; {advice}
    Stale {
        /// Number that the patch names
        base: Version,
        /// Number in force
        current: Version,
        /// Entries accepted since, oldest first, as far as the revision holds them
        since: Vec<Audit>,
        /// What to do
        advice: &'static str,
    },
    /// {0}
    Invalid(InvalidDocument),
    /// id {0} belongs to another patch, accepted as {1}; leave --id out to draw a new one
    IdReused(CompactString, Version),
    /// {0}
    Encoding(Error),
}

impl std::error::Error for PatchError {}

/// Faults of the document that a patch leads to
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidDocument(pub Vec<FieldError>);

impl std::fmt::Display for InvalidDocument {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(FieldError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Decide on a patch: what to write, or why not
///
/// `present` is the newest revision, number 0 before the first; `at` is in milliseconds since the
/// Unix epoch.
pub fn accept(present: &Revision, patch: &Patch, at: u64) -> Result<Accepted, PatchError> {
    if let Some(entry) = present.audit.iter().find(|entry| entry.patch == patch.id) {
        return resolve_duplicate(entry, patch);
    }
    if patch.base != present.number {
        return Err(stale(present, patch));
    }
    let before = to_value(&present.document)?;
    let document = patched(&before, &patch.change)?;
    let after = to_value(&document)?;
    let entry = Audit {
        number: present.number + 1,
        patch: patch.id.clone(),
        who: patch.who.clone(),
        why: patch.why.clone(),
        at,
        change: patch.change.clone(),
        undo: diff(&after, &before),
    };
    let (revision, archived) =
        next_revision(present, document, entry).map_err(PatchError::Encoding)?;
    assert_eq!(revision.number, patch.base + 1, "a number was passed over");
    assert!(
        revision
            .audit
            .last()
            .is_some_and(|e| e.number == revision.number),
        "a change stands without its audit entry"
    );
    Ok(Accepted::New(Box::new(revision), archived))
}

/// Revision that an entry makes with its document, and the entries that no longer fit into it
pub fn next_revision(
    present: &Revision,
    document: Document,
    entry: Audit,
) -> Result<(Revision, Vec<Audit>), Error> {
    let mut revision = Revision {
        number: entry.number,
        shift_starts: shift_starts(present, &document, entry.at),
        document,
        audit: present.audit.clone(),
    };
    revision.audit.push(entry);
    let archived = archive(&mut revision)?;
    Ok((revision, archived))
}

/// Answer for a patch whose id stands in the audit entry
pub fn resolve_duplicate(entry: &Audit, patch: &Patch) -> Result<Accepted, PatchError> {
    if entry.change != patch.change {
        return Err(PatchError::IdReused(patch.id.clone(), entry.number));
    }
    Ok(Accepted::AlreadyApplied(entry.number))
}

fn stale(present: &Revision, patch: &Patch) -> PatchError {
    let since = present
        .audit
        .iter()
        .filter(|entry| entry.number > patch.base);
    let advice = if patch.base > present.number {
        "there is no such number yet: look at the present one with pierctl show"
    } else {
        "look at what changed since, write the patch anew and name the present number"
    };
    PatchError::Stale {
        base: patch.base,
        current: present.number,
        since: since.cloned().collect(),
        advice,
    }
}

fn to_value(document: &Document) -> Result<Value, PatchError> {
    serde_json::to_value(document)
        .map_err(|error| PatchError::Encoding(Error::Unreadable(error.to_string())))
}

fn patched(before: &Value, change: &Value) -> Result<Document, PatchError> {
    let merged = merge(before, change);
    let read = super::locate::read(&merged);
    let document = read.map_err(|faults| PatchError::Invalid(InvalidDocument(faults)))?;
    let faults = check(&document);
    if !faults.is_empty() {
        return Err(PatchError::Invalid(InvalidDocument(faults)));
    }
    Ok(document)
}

/// Starts of the shifts that run after the change
///
/// An entry zone whose shares stay as they are keeps its start while an older shift of the same
/// service may still run.
fn shift_starts(
    present: &Revision,
    document: &Document,
    at: u64,
) -> BTreeMap<ServiceId, ShiftStart> {
    let mut moves = present.shift_starts.clone();
    moves.retain(|name, _| document.services.contains_key(name));
    for (name, service) in &document.services {
        let Some(old) = present.document.services.get(name) else {
            continue;
        };
        if old.shares == service.shares {
            continue;
        }
        let mut from = moves
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
        moves.insert(name.clone(), ShiftStart { from, at });
    }
    moves
}

/// Take the oldest audit entries out until the revision fits
fn archive(revision: &mut Revision) -> Result<Vec<Audit>, Error> {
    let mut archived = Vec::new();
    loop {
        let over = revision.audit.len() > MAX_AUDIT_ENTRIES;
        match revision.encode() {
            Ok(_) if !over => return Ok(archived),
            Err(error) if revision.audit.len() <= 1 => return Err(error),
            _ => archived.push(revision.audit.remove(0)),
        }
    }
}
