//! Submission of a patch, with retries until its outcome is known.

use std::time::{Duration, Instant, SystemTime};

use smol::Timer;

use super::{read_newest, unavailable};
use crate::config::{self, Accepted, Audit, Patch, PatchError, Revision};
use crate::error::Error;
use crate::id::Version;
use crate::object::{self, Backoff, Client};
use crate::util;

/// Timeout of a submission, including retries
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long to wait for a newer revision after an outdated read
const NEWER_REVISION_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of an accepted patch
#[derive(Clone, Debug, PartialEq)]
pub struct Receipt {
    /// Number of the configuration that the patch created
    pub number: Version,
    /// Whether an earlier call had applied the patch
    pub already_applied: bool,
}

/// Submits a patch and retries until `timeout`
///
/// If the response to a write is lost, the outcome is determined by reading the object again.
pub async fn submit(client: &Client, patch: &Patch, timeout: Duration) -> Result<Receipt, Error> {
    let started = Instant::now();
    let mut backoff = Backoff::default();
    let mut write_sent = false;
    loop {
        let failure = match attempt(client, patch, &mut write_sent).await {
            Ok(receipt) => return Ok(receipt),
            Err(Failure::Permanent(error)) => return Err(error),
            Err(Failure::Transient(error)) => error,
        };
        let delay = backoff.record_failure(fastrand::f64());
        if started.elapsed() + delay >= timeout {
            return Err(timeout_error(patch, write_sent, &failure));
        }
        log::debug!(
            "submitting patch {} failed: {failure}; retrying in {delay:?}",
            patch.id
        );
        Timer::after(delay).await;
    }
}

enum Failure {
    /// Failure that a retry cannot resolve
    Permanent(Error),
    /// Failure after which the submission is retried
    Transient(String),
}

impl From<PatchError> for Failure {
    fn from(error: PatchError) -> Self {
        Self::Permanent(rejection(&error))
    }
}

async fn attempt(
    client: &Client,
    patch: &Patch,
    write_sent: &mut bool,
) -> Result<Receipt, Failure> {
    let (current, version) = match read_current(client, patch).await {
        Ok(current) => current,
        Err(error) => return Err(Failure::Transient(error.to_string())),
    };
    let at = util::unix_millis(SystemTime::now());
    let (revision, archived) = match config::accept(&current, patch, at) {
        Ok(Accepted::New(revision, archived)) => (revision, archived),
        Ok(Accepted::AlreadyApplied(number)) => return Ok(receipt(number, !*write_sent)),
        Err(error) => return resolve_stale(client, patch, error, *write_sent).await,
    };
    for entry in &archived {
        write_history_entry(client, entry).await?;
    }
    write(client, &revision, version, write_sent).await
}

/// Reads the newest revision and its object version
///
/// A revision older than the patch's base may be an outdated read, so a newer one is awaited.
async fn read_current(client: &Client, patch: &Patch) -> Result<(Revision, Option<u64>), Error> {
    let (revision, version) = read_newest(client).await?;
    if revision.number >= patch.base {
        return Ok((revision, version));
    }
    let after = version.unwrap_or(0);
    let newer = client
        .watch(config::OBJECT_NAME, after, NEWER_REVISION_TIMEOUT)
        .await;
    let Some(newer) = newer.map_err(unavailable)? else {
        return Ok((revision, version));
    };
    let revision = Revision::decode(&newer.body).map_err(unavailable)?;
    Ok((revision, Some(newer.version)))
}

fn receipt(number: Version, already_applied: bool) -> Receipt {
    Receipt {
        number,
        already_applied,
    }
}

/// Checks whether a stale patch was already applied and its audit entry moved to a history object
async fn resolve_stale(
    client: &Client,
    patch: &Patch,
    error: PatchError,
    write_sent: bool,
) -> Result<Receipt, Failure> {
    let PatchError::Stale { base, current, .. } = &error else {
        return Err(error.into());
    };
    if current < base {
        return if write_sent {
            Err(Failure::Transient(
                "the platform returned an outdated revision".to_owned(),
            ))
        } else {
            Err(error.into())
        };
    }
    let entry = match read_history_entry(client, base + 1).await {
        Ok(entry) => entry,
        Err(error) => return Err(Failure::Transient(error.to_string())),
    };
    match entry {
        Some(entry) if entry.patch == patch.id => match config::resolve_duplicate(&entry, patch)? {
            Accepted::AlreadyApplied(number) => Ok(receipt(number, !write_sent)),
            Accepted::New(..) => unreachable!("a duplicate creates no revision"),
        },
        _ => Err(error.into()),
    }
}

/// Writes the revision, on condition that the object still has the version that was read
async fn write(
    client: &Client,
    revision: &Revision,
    version: Option<u64>,
    write_sent: &mut bool,
) -> Result<Receipt, Failure> {
    let bytes = revision
        .encode()
        .map_err(|error| Failure::Permanent(Error::Usage(error.to_string())))?;
    match client.write(config::OBJECT_NAME, bytes, version).await {
        Ok(_) => Ok(receipt(revision.number, false)),
        Err(error @ object::Error::Refused(..)) => Err(Failure::Permanent(unavailable(error))),
        Err(error @ object::Error::Unreachable(_)) => Err(Failure::Transient(error.to_string())),
        Err(error) => {
            *write_sent = true;
            Err(Failure::Transient(error.to_string()))
        }
    }
}

/// Writes an audit entry to its history object, unless the object already exists
async fn write_history_entry(client: &Client, entry: &Audit) -> Result<(), Failure> {
    let name = format!("{}{}", config::HISTORY_PREFIX, entry.number);
    let bytes =
        serde_json::to_vec(entry).map_err(|error| Failure::Permanent(unavailable(error)))?;
    match client.write(&name, bytes, None).await {
        Ok(_) | Err(object::Error::Conflict(_)) => Ok(()),
        Err(error @ object::Error::Refused(..)) => Err(Failure::Permanent(unavailable(error))),
        Err(error) => Err(Failure::Transient(error.to_string())),
    }
}

/// Reads the audit entry of a number from its history object; `None` if there is no such object
pub async fn read_history_entry(client: &Client, number: Version) -> Result<Option<Audit>, Error> {
    let name = format!("{}{number}", config::HISTORY_PREFIX);
    let Some(object) = client.read(&name).await.map_err(unavailable)? else {
        return Ok(None);
    };
    serde_json::from_slice(&object.body)
        .map(Some)
        .map_err(unavailable)
}

/// Converts a rejected patch to the program's error, with the changes since the patch's base
pub fn rejection(error: &PatchError) -> Error {
    let mut text = error.to_string();
    if let PatchError::Stale { since, .. } = error {
        for entry in since {
            text += &format!(
                "\n  {}: {} by {}: {}",
                entry.number, entry.why, entry.who, entry.change
            );
        }
    }
    match error {
        PatchError::Stale { .. } | PatchError::IdReused(..) => Error::Refused(text),
        PatchError::Invalid(_) | PatchError::Encoding(_) => Error::Usage(text),
    }
}

fn timeout_error(patch: &Patch, write_sent: bool, failure: &str) -> Error {
    let id = &patch.id;
    Error::Unavailable(if write_sent {
        format!("{failure}; the patch may have been accepted: retry with --id {id}")
    } else {
        format!("{failure}; nothing was written: retry, preferably with --id {id}")
    })
}
