//! The operators' program `pierctl`, with one module for each subcommand.
//!
//! `cli` defines the command line.

use std::net::SocketAddr;

use clap::ArgMatches;

use crate::config::{self, Revision};
use crate::error::Error;
use crate::object::Client;

mod apply;
pub mod cli;
mod diff;
mod drain;
mod explain;
mod fleet;
mod history;
pub mod keys;
mod past;
mod report;
mod show;
mod status;
mod submit;
mod text;
mod validate;
mod wait;

#[cfg(test)]
mod tests;

/// Runs the subcommand of the command line
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("apply", matches)) => smol::block_on(apply::run(matches)),
        Some(("diff", matches)) => smol::block_on(diff::run(matches)),
        Some(("drain", matches)) => smol::block_on(drain::run(matches)),
        Some(("explain", matches)) => smol::block_on(explain::run(matches)),
        Some(("history", matches)) => smol::block_on(history::run(matches)),
        Some(("keys", matches)) => keys::run(matches),
        Some(("report", matches)) => report::run(matches),
        Some(("show", matches)) => smol::block_on(show::run(matches)),
        Some(("status", matches)) => smol::block_on(status::run(matches)),
        Some(("validate", matches)) => validate::run(matches),
        _ => Err(Error::Usage(
            "unknown subcommand; see pierctl --help".to_owned(),
        )),
    }
}

/// Creates a client for the platform addresses of the command line
fn client(matches: &ArgMatches) -> Client {
    let addresses = matches.get_many::<SocketAddr>("platform");
    Client::new(addresses.into_iter().flatten().copied().collect())
}

/// Reads the newest revision and its object version; the revision has number 0 if none exists yet
async fn read_newest(client: &Client) -> Result<(Revision, Option<u64>), Error> {
    let object = client
        .read(config::OBJECT_NAME)
        .await
        .map_err(unavailable)?;
    let Some(object) = object else {
        return Ok((Revision::default(), None));
    };
    let revision = Revision::decode(&object.body).map_err(unavailable)?;
    Ok((revision, Some(object.version)))
}

/// Reads a text file; `-` stands for the standard input
fn read_file(path: &str) -> Result<String, Error> {
    let text = if path == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    text.map_err(|error| Error::Usage(format!("cannot read {path}: {error}; check the path")))
}

fn unavailable(error: impl std::fmt::Display) -> Error {
    Error::Unavailable(error.to_string())
}
