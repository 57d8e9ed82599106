//! Command line of `pierctl`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use compact_str::CompactString;

use crate::config::name_error;
use crate::id::{BlockId, Version};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused, 2 wrong arguments or input, \
                          3 something did not answer, 4 in force in part only";

/// The whole command line
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
            show(),
            status(),
            validate(),
        ])
}

fn apply() -> Command {
    Command::new("apply")
        .about("Send a patch against a numbered configuration")
        .arg(file("YAML or JSON merge patch; - reads the standard input"))
        .arg(on("Number that the patch was written against; 0 for the first").required(true))
        .args(sending())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Show what differs between two configurations")
        .arg(number("from").required(true))
        .arg(number("to").required(true))
        .arg(platform().required(true))
        .arg(json())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Give an endpoint, or all endpoints of a zone, no new work")
        .arg(
            Arg::new("name")
                .value_name("ENDPOINT|ZONE")
                .required(true)
                .help("Endpoint, or zone whose endpoints are meant"),
        )
        .arg(service("Only endpoints of this service"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Give them work again"),
        )
        .arg(on(
            "Number that it is meant for; the present one if left out",
        ))
        .args(sending())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Say where a block's requests go and why")
        .arg(service("Service asked for").required(true))
        .arg(
            Arg::new("block")
                .long("block")
                .value_name("B")
                .required(true)
                .value_parser(value_parser!(BlockId))
                .help("Number of the block of clients"),
        )
        .args(hosts())
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
                .help("Most changes to list"),
        )
        .arg(platform().required(true))
        .arg(json())
}

fn keys() -> Command {
    Command::new("keys")
        .about("Make the keys between entry hosts")
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIRECTORY")
                .required(true)
                .help("Where to write them; an authority there is used again"),
        )
        .arg(
            Arg::new("hosts")
                .value_name("HOST")
                .required(true)
                .num_args(1..)
                .value_parser(name())
                .help("Names of entry hosts"),
        )
}

fn show() -> Command {
    Command::new("show")
        .about("Show a configuration")
        .arg(number("number").help("Its number; the present one if left out"))
        .arg(platform().required(true))
        .arg(json())
}

fn status() -> Command {
    Command::new("status")
        .about("Show all entry hosts by zone, with the age of each figure")
        .args(hosts())
}

fn validate() -> Command {
    Command::new("validate")
        .about("Check a whole configuration file without the platform")
        .arg(file("Configuration file; - reads the standard input"))
        .arg(json())
}

/// Arguments of what sends a patch
fn sending() -> [Arg; 9] {
    [
        Arg::new("reason")
            .long("reason")
            .value_name("TEXT")
            .required(true)
            .help("Why, for the audit trail"),
        Arg::new("who")
            .long("who")
            .value_name("NAME")
            .env("USER")
            .required(true)
            .help("Who, for the audit trail"),
        Arg::new("id")
            .long("id")
            .value_name("ID")
            .value_parser(name())
            .help("Id of an earlier call, to learn what became of it without applying it twice"),
        flag(
            "dry-run",
            "Only show what would change and what traffic would move",
        ),
        flag(
            "wait",
            "Return when it is in force in every zone that can be reached",
        ),
        Arg::new("wait-limit")
            .long("wait-limit")
            .value_name("TIME")
            .default_value("30s")
            .value_parser(ValueParser::new(time))
            .help("Longest time to wait"),
        platform().required(true),
        operator(),
        json(),
    ]
}

/// Arguments of what asks entry hosts
fn hosts() -> [Arg; 3] {
    [
        platform().required_unless_present("operator"),
        operator(),
        json(),
    ]
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help(help)
}

fn on(help: &'static str) -> Arg {
    Arg::new("on")
        .long("on")
        .value_name("N")
        .value_parser(value_parser!(Version))
        .help(help)
}

fn number(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name("N")
        .value_parser(value_parser!(Version))
        .help("Number of a configuration")
}

fn service(help: &'static str) -> Arg {
    Arg::new("service")
        .long("service")
        .value_name("S")
        .value_parser(name())
        .help(help)
}

fn platform() -> Arg {
    address("platform", "PIER_PLATFORM")
        .help("Address of the platform's object API; may be repeated")
}

fn operator() -> Arg {
    address("operator", "PIER_OPERATORS")
        .help("Operators' port of an entry host, in place of the platform's list; may be repeated")
}

fn address(id: &'static str, variable: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name("ADDRESS")
        .env(variable)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

fn json() -> Arg {
    flag("json", "Print JSON")
}

fn flag(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
}

/// Parser of names as the configuration allows them
fn name() -> ValueParser {
    ValueParser::new(|text: &str| match name_error("name", text) {
        Some(fault) => Err(format!("{}; {}", fault.problem, fault.remedy)),
        None => Ok(CompactString::from(text)),
    })
}

fn time(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| format!("{error}; write it like 30s"))
}
