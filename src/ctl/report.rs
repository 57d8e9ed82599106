//! `pierctl report`: summarizes the decision logs of many hosts on one page.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use clap::ArgMatches;

use super::unavailable;
use crate::error::Error;
use crate::report::{Summary, page};

/// Runs the subcommand
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    let mut summary = match matches.get_one::<String>("id") {
        Some(id) => Summary::with_story(id),
        None => Summary::new(),
    };
    let logs = matches.get_many::<String>("logs").into_iter().flatten();
    for log in logs {
        read(&mut summary, log)?;
    }
    let page = page::render(&summary).map_err(unavailable)?;
    match matches.get_one::<String>("output") {
        Some(path) => std::fs::write(path, page)
            .map_err(|error| Error::Usage(format!("cannot write {path}: {error}; check the path"))),
        None => {
            print!("{page}");
            Ok(())
        }
    }
}

fn read(summary: &mut Summary, path: &str) -> Result<(), Error> {
    let to_error = |error| Error::Usage(format!("cannot read {path}: {error}; check the path"));
    if path == "-" {
        return summary
            .read(&mut std::io::stdin().lock(), "-")
            .map_err(to_error);
    }
    let host = Path::new(path).file_stem().unwrap_or_default();
    let file = File::open(path).map_err(to_error)?;
    summary
        .read(&mut BufReader::new(file), &host.to_string_lossy())
        .map_err(to_error)
}
