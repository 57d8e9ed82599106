//! Command-line interface of `pier-standin`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::upstream::Options;
use super::{platform, ports, relay, upstream};
use crate::error::Error;

/// Returns the command-line definition
pub fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("TCP address to listen on; port 0 selects a free port");
    let viewers = Arg::new("view")
        .long("view")
        .value_name("NAME=ADDR")
        .num_args(1)
        .action(clap::ArgAction::Append)
        .value_parser(parse_viewer)
        .help("Additional viewer and the address to listen on for it; may be repeated");
    let platform = Command::new("platform")
        .about("Run a stand-in for the object API and host list, with fault injection")
        .arg(listen.clone())
        .arg(viewers);
    let upstream = Command::new("upstream")
        .about("Run a stand-in for an upstream with limited slots, with fault injection")
        .arg(listen.clone())
        .arg(slots())
        .arg(service_time())
        .arg(
            Arg::new("name")
                .long("name")
                .default_value("upstream")
                .help("Name of the endpoint"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File that preserves the record of executions across a crash"),
        );
    let relay = Command::new("relay")
        .about("Relay traffic between zones, with injected partitions, delay and loss")
        .arg(listen.clone());
    let ports = Command::new("ports")
        .about("Print free loopback ports, one per line")
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u16))
                .default_value("1")
                .help("Number of ports"),
        );
    Command::new("pier-standin")
        .about("Run stand-ins for tests and demonstrations of tanagerpier")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(platform)
        .subcommand(upstream)
        .subcommand(relay)
        .subcommand(ports)
}

/// Runs the selected stand-in until it fails
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("platform", args)) => {
            let viewers = args.get_many("view").unwrap_or_default().cloned();
            platform::run(address(args), viewers.collect()).await
        }
        Some(("upstream", args)) => {
            let options = Options {
                name: args
                    .get_one::<String>("name")
                    .cloned()
                    .expect("has a default"),
                slots: *args.get_one("slots").expect("has a default"),
                service_time: *args.get_one("service-time").expect("has a default"),
                record_path: args.get_one("record").cloned(),
            };
            upstream::run(address(args), options).await
        }
        Some(("relay", args)) => relay::run(address(args)).await,
        Some(("ports", args)) => {
            let count = *args.get_one::<u16>("count").expect("has a default");
            let ports = ports::allocate(usize::from(count))?;
            ports.iter().for_each(|port| println!("{port}"));
            Ok(())
        }
        _ => Err(Error::Usage(
            "unknown stand-in; see pier-standin --help".to_owned(),
        )),
    }
}

fn address(args: &ArgMatches) -> SocketAddr {
    *args.get_one("listen").expect("has a default")
}

fn slots() -> Arg {
    Arg::new("slots")
        .long("slots")
        .value_parser(value_parser!(u32).range(1..))
        .default_value("3")
        .help("Maximum number of concurrent requests")
}

fn service_time() -> Arg {
    Arg::new("service-time")
        .long("service-time")
        .value_name("TIME")
        .value_parser(parse_duration)
        .default_value("10ms")
        .help("Service time of one request")
}

fn parse_duration(text: &str) -> Result<Duration, humantime::DurationError> {
    humantime::parse_duration(text)
}

fn parse_viewer(text: &str) -> Result<(platform::Viewer, SocketAddr), String> {
    let (name, address) = text.split_once('=').ok_or("expected NAME=ADDR")?;
    let address = address
        .parse()
        .map_err(|error| format!("{address}: {error}"))?;
    Ok((name.to_owned(), address))
}
