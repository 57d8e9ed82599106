//! `pierctl diff`: prints the differences between two configurations.

use clap::ArgMatches;

use super::{client, past, read_newest, text, unavailable};
use crate::config;
use crate::error::Error;
use crate::id::Version;

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let client = client(matches);
    let (current, _) = read_newest(&client).await?;
    let number = |name| {
        *matches
            .get_one::<Version>(name)
            .expect("required argument is missing")
    };
    let from = past::document(&client, &current, number("from")).await?;
    let to = past::document(&client, &current, number("to")).await?;
    let from = serde_json::to_value(&from).map_err(unavailable)?;
    let to = serde_json::to_value(&to).map_err(unavailable)?;
    if matches.get_flag("json") {
        return text::print_json(&config::diff(&from, &to));
    }
    text::print(&text::changes(&from, &to));
    Ok(())
}
