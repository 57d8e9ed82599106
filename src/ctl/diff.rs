//! `pierctl diff`: what differs between two configurations.

use clap::ArgMatches;

use super::{client, newest, past, text, unavailable};
use crate::config;
use crate::error::Error;
use crate::id::Version;

/// Run the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let client = client(matches);
    let (present, _) = newest(&client).await?;
    let number = |name| *matches.get_one::<Version>(name).expect("required");
    let from = past::document(&client, &present, number("from")).await?;
    let to = past::document(&client, &present, number("to")).await?;
    let from = serde_json::to_value(&from).map_err(unavailable)?;
    let to = serde_json::to_value(&to).map_err(unavailable)?;
    if matches.get_flag("json") {
        return text::print_json(&config::diff(&from, &to));
    }
    text::print(&text::changes(&from, &to));
    Ok(())
}
