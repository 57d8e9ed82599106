//! Sending of a patch until it is known what became of it.

use std::time::{Duration, Instant, SystemTime};

use smol::Timer;

use super::{newest, unavailable};
use crate::config::{self, Accepted, Audit, Patch, PatchError, Revision};
use crate::error::Error;
use crate::id::Version;
use crate::object::{self, Backoff, Client};
use crate::util;

/// Time after which an unsettled patch is given up
pub const SETTLE: Duration = Duration::from_secs(30);

/// Time for which a number that is not there yet is waited for
const NEWER: Duration = Duration::from_secs(2);

/// What became of a patch
#[derive(Clone, Debug, PartialEq)]
pub struct Receipt {
    /// Number that the patch was accepted as
    pub number: Version,
    /// Whether it had been accepted before this call
    pub before: bool,
}

/// Send a patch; a lost answer is settled by reading back
pub async fn submit(client: &Client, patch: &Patch, settle: Duration) -> Result<Receipt, Error> {
    let started = Instant::now();
    let mut backoff = Backoff::default();
    let mut sent = false;
    loop {
        let failure = match attempt(client, patch, &mut sent).await {
            Ok(receipt) => return Ok(receipt),
            Err(Failure::Final(error)) => return Err(error),
            Err(Failure::Again(error)) => error,
        };
        let wait = backoff.record_failure(fastrand::f64());
        if started.elapsed() + wait >= settle {
            return Err(unsettled(patch, sent, &failure));
        }
        log::debug!("patch {}: {failure}; again in {wait:?}", patch.id);
        Timer::after(wait).await;
    }
}

enum Failure {
    /// Nothing more can come of it
    Final(Error),
    /// To be tried or read again
    Again(String),
}

impl From<PatchError> for Failure {
    fn from(refusal: PatchError) -> Self {
        Self::Final(refused(&refusal))
    }
}

async fn attempt(client: &Client, patch: &Patch, sent: &mut bool) -> Result<Receipt, Failure> {
    let (present, version) = match present(client, patch).await {
        Ok(read) => read,
        Err(error) => return Err(Failure::Again(error.to_string())),
    };
    let at = util::unix_millis(SystemTime::now());
    let (revision, archived) = match config::accept(&present, patch, at) {
        Ok(Accepted::New(revision, archived)) => (revision, archived),
        Ok(Accepted::AlreadyApplied(number)) => return Ok(receipt(number, !*sent)),
        Err(refusal) => return settle_stale(client, patch, refusal, *sent).await,
    };
    for entry in &archived {
        keep(client, entry).await?;
    }
    write(client, &revision, version, sent).await
}

/// Newest revision and its version; one below the patch's number may be an old read, so a newer
/// one is waited for
async fn present(client: &Client, patch: &Patch) -> Result<(Revision, Option<u64>), Error> {
    let (revision, version) = newest(client).await?;
    if revision.number >= patch.base {
        return Ok((revision, version));
    }
    let after = version.unwrap_or(0);
    let newer = client.watch(config::OBJECT_NAME, after, NEWER).await;
    let Some(newer) = newer.map_err(unavailable)? else {
        return Ok((revision, version));
    };
    let revision = Revision::decode(&newer.body).map_err(unavailable)?;
    Ok((revision, Some(newer.version)))
}

fn receipt(number: Version, before: bool) -> Receipt {
    Receipt { number, before }
}

/// A stale patch may be one whose entry has moved to a history object
async fn settle_stale(
    client: &Client,
    patch: &Patch,
    refusal: PatchError,
    sent: bool,
) -> Result<Receipt, Failure> {
    let PatchError::Stale {
        base: on,
        current: present,
        ..
    } = &refusal
    else {
        return Err(refusal.into());
    };
    if present < on {
        return if sent {
            Err(Failure::Again(
                "the platform answered an old read".to_owned(),
            ))
        } else {
            Err(refusal.into())
        };
    }
    let entry = match history(client, on + 1).await {
        Ok(entry) => entry,
        Err(error) => return Err(Failure::Again(error.to_string())),
    };
    match entry {
        Some(entry) if entry.patch == patch.id => match config::resolve_duplicate(&entry, patch)? {
            Accepted::AlreadyApplied(number) => Ok(receipt(number, !sent)),
            Accepted::New(..) => unreachable!("settling makes no revision"),
        },
        _ => Err(refusal.into()),
    }
}

/// Write the revision on the version that was read
async fn write(
    client: &Client,
    revision: &Revision,
    version: Option<u64>,
    sent: &mut bool,
) -> Result<Receipt, Failure> {
    let bytes = revision
        .encode()
        .map_err(|error| Failure::Final(Error::Usage(error.to_string())))?;
    match client.write(config::OBJECT_NAME, bytes, version).await {
        Ok(_) => Ok(receipt(revision.number, false)),
        Err(error @ object::Error::Refused(..)) => Err(Failure::Final(unavailable(error))),
        Err(error @ object::Error::Unreachable(_)) => Err(Failure::Again(error.to_string())),
        Err(error) => {
            *sent = true;
            Err(Failure::Again(error.to_string()))
        }
    }
}

/// Put an audit entry into its history object; one that is there already stays
async fn keep(client: &Client, entry: &Audit) -> Result<(), Failure> {
    let name = format!("{}{}", config::HISTORY_PREFIX, entry.number);
    let bytes = serde_json::to_vec(entry).map_err(|error| Failure::Final(unavailable(error)))?;
    match client.write(&name, bytes, None).await {
        Ok(_) | Err(object::Error::Conflict(_)) => Ok(()),
        Err(error @ object::Error::Refused(..)) => Err(Failure::Final(unavailable(error))),
        Err(error) => Err(Failure::Again(error.to_string())),
    }
}

/// Audit entry of a number in its history object
pub async fn history(client: &Client, number: Version) -> Result<Option<Audit>, Error> {
    let name = format!("{}{number}", config::HISTORY_PREFIX);
    let Some(object) = client.read(&name).await.map_err(unavailable)? else {
        return Ok(None);
    };
    serde_json::from_slice(&object.body)
        .map(Some)
        .map_err(unavailable)
}

/// Error that a refusal ends the program with
pub fn refused(refusal: &PatchError) -> Error {
    let mut text = refusal.to_string();
    if let PatchError::Stale { since, .. } = refusal {
        for entry in since {
            text += &format!(
                "\n  {}: {} by {}: {}",
                entry.number, entry.why, entry.who, entry.change
            );
        }
    }
    match refusal {
        PatchError::Stale { .. } | PatchError::IdReused(..) => Error::Refused(text),
        PatchError::Invalid(_) | PatchError::Encoding(_) => Error::Usage(text),
    }
}

fn unsettled(patch: &Patch, sent: bool, failure: &str) -> Error {
    let id = &patch.id;
    Error::Unavailable(if sent {
        format!("{failure}; not known whether it was accepted: send it again with --id {id}")
    } else {
        format!("{failure}; nothing was written: send it again, best with --id {id}")
    })
}
