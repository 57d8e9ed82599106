//! `pierctl apply`: submits a patch based on a numbered configuration.

use std::time::Duration;

use clap::ArgMatches;
use compact_str::CompactString;
use serde_json::{Value, json};

use super::submit::{self, Receipt, submit};
use super::wait::{Rollout, wait};
use super::{client, fleet, read_file, read_newest, text};
use crate::config::{self, Accepted, Patch, Revision};
use crate::error::Error;
use crate::id::Version;

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let file = matches
        .get_one::<String>("file")
        .expect("required argument is missing");
    let change = config::parse_patch(&read_file(file)?)
        .map_err(|error| Error::Usage(format!("{file}: {error}")))?;
    let base = *matches
        .get_one::<Version>("on")
        .expect("required argument is missing");
    submit_change(matches, base, change).await
}

/// Submits a change with the options of the command line
pub async fn submit_change(
    matches: &ArgMatches,
    base: Version,
    change: Value,
) -> Result<(), Error> {
    let patch = patch(matches, base, change);
    if matches.get_flag("dry-run") {
        return print_dry_run(matches, &patch).await;
    }
    let client = client(matches);
    let receipt = submit(&client, &patch, submit::SUBMIT_TIMEOUT).await?;
    let rollout = if matches.get_flag("wait") {
        let timeout = matches
            .get_one::<Duration>("wait-limit")
            .expect("argument has no default value");
        Some(wait(fleet::ports(matches).await?, receipt.number, *timeout).await)
    } else {
        None
    };
    print_receipt(&patch, &receipt, rollout.as_ref(), matches.get_flag("json"))?;
    rollout.map_or(Ok(()), |rollout| rollout.check(receipt.number))
}

fn patch(matches: &ArgMatches, base: Version, change: Value) -> Patch {
    let text = |name| matches.get_one::<String>(name).map(CompactString::from);
    let id = matches.get_one::<CompactString>("id");
    Patch {
        id: id.cloned().unwrap_or_else(random_id),
        base,
        who: text("who").expect("required argument is missing"),
        why: text("reason").expect("required argument is missing"),
        change,
    }
}

fn random_id() -> CompactString {
    format!("{:016x}", fastrand::u64(..)).into()
}

fn print_receipt(
    patch: &Patch,
    receipt: &Receipt,
    rollout: Option<&Rollout>,
    as_json: bool,
) -> Result<(), Error> {
    if as_json {
        return text::print_json(&json!({
            "accepted": receipt.number,
            "before": receipt.already_applied,
            "id": patch.id,
            "spread": rollout,
        }));
    }
    let suffix = if receipt.already_applied {
        " by an earlier call"
    } else {
        ""
    };
    text::print(&format!("accepted as {}{suffix}\n", receipt.number));
    if let Some(rollout) = rollout {
        text::print(&rollout.summary());
    }
    Ok(())
}

/// Prints the effects of a patch without submitting it
async fn print_dry_run(matches: &ArgMatches, patch: &Patch) -> Result<(), Error> {
    let (current, _) = read_newest(&client(matches)).await?;
    let revision = match config::accept(&current, patch, 0) {
        Ok(Accepted::New(revision, _)) => revision,
        Ok(Accepted::AlreadyApplied(number)) => {
            text::print(&format!("accepted as {number} by an earlier call\n"));
            return Ok(());
        }
        Err(error) => return Err(submit::rejection(&error)),
    };
    let document = |revision: &Revision| serde_json::to_value(&revision.document);
    let before = document(&current).map_err(super::unavailable)?;
    let after = document(&revision).map_err(super::unavailable)?;
    let plans = config::shift_plans(&current.document, &revision.document);
    let endpoint_changes = config::endpoint_changes(&current.document, &revision.document);
    if matches.get_flag("json") {
        return text::print_json(&json!({
            "would_be": revision.number,
            "change": config::diff(&before, &after),
            "moves": plans,
            "endpoints": endpoint_changes,
        }));
    }
    text::print(&format!("would be accepted as {}\n", revision.number));
    text::print(&text::changes(&before, &after));
    text::print(&text::traffic_changes(&plans, &endpoint_changes));
    Ok(())
}
