//! Runs one entry host on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use tanagerpier::gateway::run::{self, Options};
use tanagerpier::platform::node;

/// Default port for metrics; outside the range that the platform assigns
const DEFAULT_METRICS_PORT: &str = "9464";

fn command() -> Command {
    Command::new("pier-gate")
        .version(clap::crate_version!())
        .about(
            "Runs one entry host on the users' platform: directory, requests and traffic steering",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file written by the platform")
                .env(node::PATH_VARIABLE)
                .default_value(node::DEFAULT_PATH)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics-port")
                .value_name("PORT")
                .help("Port on the host's address that serves metrics and status")
                .default_value(DEFAULT_METRICS_PORT)
                .value_parser(value_parser!(u16)),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .help("Log level, such as info or debug")
                .default_value("info"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let (Some(settings_path), Some(metrics_port), Some(log_spec)) = (
        matches.get_one::<PathBuf>("settings"),
        matches.get_one::<u16>("metrics"),
        matches.get_one::<String>("log"),
    ) else {
        return ExitCode::FAILURE;
    };
    let options = Options {
        settings_path: settings_path.clone(),
        metrics_port: *metrics_port,
        log_spec: log_spec.clone(),
    };
    let result = match matches.get_flag("check") {
        true => run::check(&options),
        false => run::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pier-gate: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
