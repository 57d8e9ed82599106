//! Runs fakes of the platform and of upstreams for tests and demonstrations.

use std::process::ExitCode;

use tanagerpier::standin::args;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    match smol::block_on(args::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pier-standin: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
