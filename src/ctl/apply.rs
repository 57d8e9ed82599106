//! `pierctl apply`: send a patch against a numbered configuration.

use std::time::Duration;

use clap::ArgMatches;
use compact_str::CompactString;
use serde_json::{Value, json};

use super::submit::{self, Receipt, submit};
use super::wait::{Spread, wait};
use super::{client, fleet, newest, read_file, text};
use crate::config::{self, Accepted, Patch, Revision};
use crate::error::Error;
use crate::id::Version;

/// Run the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let file = matches.get_one::<String>("file").expect("required");
    let change = config::parse_patch(&read_file(file)?)
        .map_err(|error| Error::Usage(format!("{file}: {error}")))?;
    let on = *matches.get_one::<Version>("on").expect("required");
    send(matches, on, change).await
}

/// Send a change with what the command line says about it
pub async fn send(matches: &ArgMatches, on: Version, change: Value) -> Result<(), Error> {
    let patch = patch(matches, on, change);
    if matches.get_flag("dry-run") {
        return show(matches, &patch).await;
    }
    let client = client(matches);
    let receipt = submit(&client, &patch, submit::SETTLE).await?;
    let spread = if matches.get_flag("wait") {
        let limit = matches
            .get_one::<Duration>("wait-limit")
            .expect("defaulted");
        Some(wait(fleet::ports(matches).await?, receipt.number, *limit).await)
    } else {
        None
    };
    report(&patch, &receipt, spread.as_ref(), matches.get_flag("json"))?;
    spread.map_or(Ok(()), |spread| spread.result(receipt.number))
}

fn patch(matches: &ArgMatches, on: Version, change: Value) -> Patch {
    let text = |name| matches.get_one::<String>(name).map(CompactString::from);
    let id = matches.get_one::<CompactString>("id");
    Patch {
        id: id.cloned().unwrap_or_else(draw_id),
        base: on,
        who: text("who").expect("required"),
        why: text("reason").expect("required"),
        change,
    }
}

fn draw_id() -> CompactString {
    format!("{:016x}", fastrand::u64(..)).into()
}

fn report(
    patch: &Patch,
    receipt: &Receipt,
    spread: Option<&Spread>,
    as_json: bool,
) -> Result<(), Error> {
    if as_json {
        return text::print_json(&json!({
            "accepted": receipt.number,
            "before": receipt.before,
            "id": patch.id,
            "spread": spread,
        }));
    }
    let earlier = if receipt.before { " before" } else { "" };
    text::print(&format!("accepted as {}{earlier}\n", receipt.number));
    if let Some(spread) = spread {
        text::print(&spread.text());
    }
    Ok(())
}

/// Show what a patch would do
async fn show(matches: &ArgMatches, patch: &Patch) -> Result<(), Error> {
    let (present, _) = newest(&client(matches)).await?;
    let revision = match config::accept(&present, patch, 0) {
        Ok(Accepted::New(revision, _)) => revision,
        Ok(Accepted::AlreadyApplied(number)) => {
            text::print(&format!("accepted as {number} before\n"));
            return Ok(());
        }
        Err(refusal) => return Err(submit::refused(&refusal)),
    };
    let value = |revision: &Revision| serde_json::to_value(&revision.document);
    let before = value(&present).map_err(super::unavailable)?;
    let after = value(&revision).map_err(super::unavailable)?;
    let plans = config::shift_plans(&present.document, &revision.document);
    let turns = config::endpoint_changes(&present.document, &revision.document);
    if matches.get_flag("json") {
        return text::print_json(&json!({
            "would_be": revision.number,
            "change": config::diff(&before, &after),
            "moves": plans,
            "endpoints": turns,
        }));
    }
    text::print(&format!("would be accepted as {}\n", revision.number));
    text::print(&text::changes(&before, &after));
    text::print(&text::moves(&plans, &turns));
    Ok(())
}
