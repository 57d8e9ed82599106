//! Plays one case of the review: starts real `pier-gate` processes beside stand-ins, disturbs them
//! unless `TROUBLE=0`, and checks one rule.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod endpoint;
mod http;
mod json;
mod late;
mod lone;
mod odd;
mod record;
mod site;
mod stop;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Whether a rule held, or why the case could not run
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let outcome = match case.as_str() {
        "late" => late::play(&record, has_trouble),
        "lone" => lone::play(&record, has_trouble),
        "odd" => odd::play(&record, has_trouble),
        "stop" => stop::play(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    record.save(&PathBuf::from(folder));
    println!("{case}: {text}");
    ExitCode::from(code)
}
