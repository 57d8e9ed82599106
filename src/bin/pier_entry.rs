//! Runs one entry host.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;
use tanagerpier::entry::main;

fn main() -> ExitCode {
    let command = Command::new("pier-entry")
        .version(clap::crate_version!())
        .about("Runs one entry host: lookups, requests and traffic steering")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("YAML settings file of this host")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        );
    let matches = command.get_matches();
    let Some(settings_path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::FAILURE;
    };
    match main::run(settings_path, matches.get_flag("check")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pier-entry: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
