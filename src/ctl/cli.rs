//! Command line of `pierctl`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use compact_str::CompactString;

use crate::config::name_error;
use crate::id::{BlockId, Version};

const EXIT_CODES: &str = "Exit codes: 0 success, 1 rejected, 2 invalid arguments or input, \
                          3 platform or hosts unavailable, 4 in force on some hosts only";

/// Returns the command line with all subcommands
pub fn command() -> Command {
    Command::new("pierctl")
        .version(clap::crate_version!())
        .about("Changes and explains the steering configuration")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            apply(),
            diff(),
            drain(),
            explain(),
            history(),
            keys(),
            report(),
            show(),
            status(),
            validate(),
        ])
}

fn apply() -> Command {
    Command::new("apply")
        .about("Submit a patch based on a numbered configuration")
        .arg(file_arg(
            "YAML or JSON merge patch; - reads the standard input",
        ))
        .arg(
            base_arg(
                "Number of the configuration that the patch is based on; 0 for the first patch",
            )
            .required(true),
        )
        .args(submit_args())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Show the differences between two configurations")
        .arg(number_arg("from").required(true))
        .arg(number_arg("to").required(true))
        .arg(platform_arg().required(true))
        .arg(json_arg())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Stop new requests to an endpoint or to all endpoints of a zone")
        .arg(
            Arg::new("name")
                .value_name("ENDPOINT|ZONE")
                .required(true)
                .help("Name of an endpoint, or of a zone with all its endpoints"),
        )
        .arg(service_arg("Select only endpoints of this service"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Resume new requests"),
        )
        .arg(base_arg(
            "Number of the configuration that the change is based on; the current one by default",
        ))
        .args(submit_args())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show where the requests of a block are sent, and why")
        .arg(service_arg("Requested service").required(true))
        .arg(
            Arg::new("block")
                .long("block")
                .value_name("B")
                .required(true)
                .value_parser(value_parser!(BlockId))
                .help("Number of the block of clients"),
        )
        .args(host_args())
}

fn history() -> Command {
    Command::new("history")
        .about("List accepted changes, newest first")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("N")
                .default_value("20")
                .value_parser(value_parser!(u64))
                .help("Maximum number of changes to list"),
        )
        .arg(platform_arg().required(true))
        .arg(json_arg())
}

fn keys() -> Command {
    Command::new("keys")
        .about("Generate the keys with which entry hosts authenticate to each other")
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIRECTORY")
                .required(true)
                .help("Output directory; a certificate authority in it is reused"),
        )
        .arg(
            Arg::new("hosts")
                .value_name("HOST")
                .required(true)
                .num_args(1..)
                .value_parser(name_parser())
                .help("Names of entry hosts"),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Summarize the decision logs of entry hosts on one HTML page")
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .required(true)
                .num_args(1..)
                .help(
                    "Logs of hosts, named after them, or a collected log whose lines begin with the \
                     host; - reads the standard input",
                ),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("Attempt id of a request whose lines are shown in full"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FILE")
                .help("File for the page; the standard output by default"),
        )
}

fn show() -> Command {
    Command::new("show")
        .about("Show a configuration")
        .arg(number_arg("number").help("Number of the configuration; the current one by default"))
        .arg(platform_arg().required(true))
        .arg(json_arg())
}

fn status() -> Command {
    Command::new("status")
        .about("Show all entry hosts by zone, with the age of the reported values")
        .args(host_args())
}

fn validate() -> Command {
    Command::new("validate")
        .about("Check a complete configuration file without the platform")
        .arg(file_arg("Configuration file; - reads the standard input"))
        .arg(json_arg())
}

/// Arguments of the subcommands that submit a patch
fn submit_args() -> [Arg; 9] {
    [
        Arg::new("reason")
            .long("reason")
            .value_name("TEXT")
            .required(true)
            .help("Reason for the change, recorded in the audit trail"),
        Arg::new("who")
            .long("who")
            .value_name("NAME")
            .env("USER")
            .required(true)
            .help("Author of the change, recorded in the audit trail"),
        Arg::new("id")
            .long("id")
            .value_name("ID")
            .value_parser(name_parser())
            .help(
                "Id of an earlier call, to get its outcome or retry it without applying it twice",
            ),
        flag(
            "dry-run",
            "Only show the changes and the traffic that would move",
        ),
        flag(
            "wait",
            "Wait until the change is in force on all reachable hosts",
        ),
        Arg::new("wait-limit")
            .long("wait-limit")
            .value_name("TIME")
            .default_value("30s")
            .value_parser(ValueParser::new(parse_duration))
            .help("Maximum time to wait"),
        platform_arg().required(true),
        operator_arg(),
        json_arg(),
    ]
}

/// Arguments of the subcommands that send requests to entry hosts
fn host_args() -> [Arg; 3] {
    [
        platform_arg().required_unless_present("operator"),
        operator_arg(),
        json_arg(),
    ]
}

fn file_arg(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help(help)
}

fn base_arg(help: &'static str) -> Arg {
    Arg::new("on")
        .long("on")
        .value_name("N")
        .value_parser(value_parser!(Version))
        .help(help)
}

fn number_arg(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name("N")
        .value_parser(value_parser!(Version))
        .help("Number of a configuration")
}

fn service_arg(help: &'static str) -> Arg {
    Arg::new("service")
        .long("service")
        .value_name("S")
        .value_parser(name_parser())
        .help(help)
}

fn platform_arg() -> Arg {
    address_arg("platform", "PIER_PLATFORM")
        .help("Address of the platform's object API; may be repeated")
}

fn operator_arg() -> Arg {
    address_arg("operator", "PIER_OPERATORS").help(
        "Operator port of an entry host, instead of the platform's host list; may be repeated",
    )
}

fn address_arg(id: &'static str, variable: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name("ADDRESS")
        .env(variable)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

fn json_arg() -> Arg {
    flag("json", "Print JSON")
}

fn flag(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
}

/// Parser for names that are valid in a configuration
fn name_parser() -> ValueParser {
    ValueParser::new(|text: &str| match name_error("name", text) {
        Some(error) => Err(format!("{}; {}", error.problem, error.remedy)),
        None => Ok(CompactString::from(text)),
    })
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("{error}; use a duration such as 30s"))
}
