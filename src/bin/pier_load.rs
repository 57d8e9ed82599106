//! Generates open-loop load and checks every answer.

use std::process::ExitCode;

use tanagerpier::error::{EXIT_REFUSED, Error};
use tanagerpier::load::{self, args, closed};

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_REFUSED),
        Err(error) => {
            eprintln!("pier-load: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the load, prints the report and returns whether all checks passed
fn run(matches: &clap::ArgMatches) -> Result<bool, Error> {
    if let Some(report) = smol::block_on(closed::run(matches))? {
        print_json(&report)?;
        return Ok(report.broken == 0);
    }
    let plan = args::plan(matches)?;
    let is_direct = !plan.direct_addresses.is_empty();
    let report = smol::block_on(load::run(plan))?;
    print_json(&report)?;
    Ok(is_direct || report.has_no_violations())
}

fn print_json<T: serde::Serialize>(report: &T) -> Result<(), Error> {
    let line = serde_json::to_string(report);
    let line = line.map_err(|error| Error::Unavailable(error.to_string()))?;
    println!("{line}");
    Ok(())
}
