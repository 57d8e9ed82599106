//! Command-line interface of `pier-load`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{Plan, Shape, WeightedService};
use crate::error::Error;

/// Returns the command-line definition
pub fn command() -> Command {
    Command::new("pier-load")
        .about("Generate open-loop load on loopback and verify every response and execution")
        .version(clap::crate_version!())
        .args([
            addresses("entry", "Caller address of an entry host; may be repeated"),
            addresses(
                "direct",
                "Upstream to send to without entry hosts; may be repeated",
            ),
            addresses(
                "upstream",
                "Upstream stand-in whose record is compared after the load; may be repeated",
            ),
        ])
        .args([
            number("rate", "100", "Requests per second"),
            number(
                "once",
                "0.1",
                "Ratio of at-most-once requests, between 0 and 1",
            ),
            number(
                "crash",
                "0",
                "Ratio of requests that crash their upstream, between 0 and 1",
            ),
            duration("time", "5s", "Time over which requests start"),
            duration("attempt", "5s", "Timeout of one attempt"),
            duration(
                "patience",
                "15s",
                "Time after which a caller abandons a request",
            ),
        ])
        .arg(
            Arg::new("shape")
                .long("shape")
                .value_parser(["steady", "dawn", "renewal"])
                .default_value("steady")
                .help("How the load changes over its duration"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME:WEIGHT:SIZE")
                .action(ArgAction::Append)
                .value_parser(parse_service)
                .default_value("licence-portal:1:0")
                .help("Service, its weight and its response size in bytes; may be repeated"),
        )
        .arg(integer(
            "blocks",
            "50",
            "Number of client blocks that requests come from",
        ))
        .arg(integer("seed", "1", "Seed of the schedule"))
        .arg(
            Arg::new("closed").long("closed").value_name("PATH").help(
                "Request this path in a closed loop instead, to find the maximum response rate",
            ),
        )
        .arg(integer(
            "connections",
            "16",
            "Number of connections in the closed loop",
        ))
}

/// Builds the plan from the arguments; all addresses must be on loopback
pub fn plan(matches: &ArgMatches) -> Result<Plan, Error> {
    let addresses = |name| {
        let values = matches.get_many::<SocketAddr>(name);
        values.unwrap_or_default().copied().collect::<Vec<_>>()
    };
    let number = |name| *matches.get_one::<f64>(name).expect("has a default");
    let duration = |name| *matches.get_one::<Duration>(name).expect("has a default");
    let integer = |name| *matches.get_one::<u64>(name).expect("has a default");
    let services = matches
        .get_many::<WeightedService>("service")
        .unwrap_or_default();
    let plan = Plan {
        entry_addresses: addresses("entry"),
        direct_addresses: addresses("direct"),
        upstream_addresses: addresses("upstream"),
        rate: number("rate"),
        duration: duration("time"),
        shape: match matches.get_one::<String>("shape").map(String::as_str) {
            Some("dawn") => Shape::Surge,
            Some("renewal") => Shape::AtMostOncePeak,
            _ => Shape::Steady,
        },
        services: services.cloned().collect(),
        at_most_once_ratio: number("once"),
        crash_ratio: number("crash"),
        block_count: u32::try_from(integer("blocks")).unwrap_or(u32::MAX),
        attempt_timeout: duration("attempt"),
        caller_timeout: duration("patience"),
        seed: integer("seed"),
    };
    if plan.entry_addresses.is_empty() == plan.direct_addresses.is_empty() {
        let message = "give either --entry or --direct";
        return Err(Error::Usage(message.to_owned()));
    }
    let address_lists = [
        &plan.entry_addresses,
        &plan.direct_addresses,
        &plan.upstream_addresses,
    ];
    let remote = address_lists
        .into_iter()
        .flatten()
        .find(|address| !address.ip().is_loopback());
    match remote {
        Some(address) => Err(Error::Usage(format!(
            "{address} is not a loopback address; give loopback addresses only"
        ))),
        None => Ok(plan),
    }
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDR")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(f64))
        .default_value(default)
        .help(help)
}

fn integer(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn duration(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("TIME")
        .value_parser(|text: &str| humantime::parse_duration(text))
        .default_value(default)
        .help(help)
}

fn parse_service(text: &str) -> Result<WeightedService, String> {
    let mut parts = text.split(':');
    let name = parts.next().unwrap_or_default();
    let weight = parts.next().unwrap_or("1").parse();
    let weight = weight.map_err(|error| format!("weight: {error}"))?;
    let response_bytes = parts.next().unwrap_or("0").parse();
    let response_bytes = response_bytes.map_err(|error| format!("size: {error}"))?;
    match name {
        "" => Err("expected NAME:WEIGHT:SIZE".to_owned()),
        name => Ok(WeightedService::new(name, weight, response_bytes)),
    }
}
