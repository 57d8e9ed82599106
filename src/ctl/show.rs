//! `pierctl show`: prints one configuration and its audit entry.

use clap::ArgMatches;
use serde_json::json;

use super::{client, past, read_newest, text};
use crate::error::Error;
use crate::id::Version;

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let client = client(matches);
    let (current, _) = read_newest(&client).await?;
    let number = matches.get_one::<Version>("number").copied();
    let number = number.unwrap_or(current.number);
    let document = past::document(&client, &current, number).await?;
    let entry = match number {
        0 => None,
        _ => Some(past::audit_entry(&client, &current, number).await?),
    };
    if matches.get_flag("json") {
        return text::print_json(&json!({
            "number": number,
            "audit": entry,
            "document": document,
        }));
    }
    let comment = entry.map_or_else(|| "0\n".to_owned(), |entry| text::audit_entry(&entry));
    text::print(&format!("# {comment}{}", text::yaml(&document)?));
    Ok(())
}
