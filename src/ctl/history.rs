//! `pierctl history`: lists accepted changes, newest first.

use clap::ArgMatches;

use super::{client, past, read_newest, text};
use crate::error::Error;

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let client = client(matches);
    let (current, _) = read_newest(&client).await?;
    let limit = *matches
        .get_one::<u64>("limit")
        .expect("argument has no default value");
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let entries = past::audit_entries(&client, &current, limit).await?;
    if matches.get_flag("json") {
        return text::print_json(&entries);
    }
    let lines: String = entries.iter().map(text::audit_entry).collect();
    text::print(&lines);
    Ok(())
}
