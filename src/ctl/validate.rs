//! `pierctl validate`: checks a configuration file without the platform.

use clap::ArgMatches;
use serde_json::json;

use super::{read_file, text};
use crate::config::{self, Patch, Revision};
use crate::error::Error;

/// Runs the subcommand
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let file = matches
        .get_one::<String>("file")
        .expect("required argument is missing");
    let change = config::parse_patch(&read_file(file)?)
        .map_err(|error| Error::Usage(format!("{file}: {error}")))?;
    let patch = Patch {
        id: "validate".into(),
        base: 0,
        who: "".into(),
        why: "".into(),
        change,
    };
    config::accept(&Revision::default(), &patch, 0)
        .map_err(|error| Error::Usage(format!("{file}: {error}")))?;
    if matches.get_flag("json") {
        return text::print_json(&json!({"valid": true}));
    }
    text::print(&format!("{file} is valid\n"));
    Ok(())
}
