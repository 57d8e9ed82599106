//! Changes and explains the traffic steering configuration.

use std::process::ExitCode;

use tanagerpier::ctl;

fn main() -> ExitCode {
    let matches = ctl::cli::command().get_matches();
    match ctl::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pierctl: {error}");
            error.exit_code().into()
        }
    }
}
