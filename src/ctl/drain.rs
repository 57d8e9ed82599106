//! `pierctl drain`: stops or resumes new requests to an endpoint or to all endpoints of a zone.

use clap::ArgMatches;
use serde_json::{Value, json};

use super::{apply, client, read_newest};
use crate::config::Document;
use crate::error::Error;
use crate::id::{ServiceId, Version};

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let name = matches
        .get_one::<String>("name")
        .expect("required argument is missing");
    let service = matches.get_one::<ServiceId>("service");
    let (current, _) = read_newest(&client(matches)).await?;
    let draining = !matches.get_flag("undo");
    let change = draining_patch(&current.document, name, service, draining)?;
    let base = matches.get_one::<Version>("on").copied();
    apply::submit_change(matches, base.unwrap_or(current.number), change).await
}

/// Creates a patch that sets `draining` for the endpoint `name` or for all endpoints of zone `name`
///
/// An endpoint name that several services use needs `service`.
pub fn draining_patch(
    document: &Document,
    name: &str,
    service: Option<&ServiceId>,
    draining: bool,
) -> Result<Value, Error> {
    let is_zone = document.zones.contains_key(name);
    let mut change = json!({"services": {}});
    let mut matching_services = Vec::new();
    for (service_name, configured) in &document.services {
        if service.is_some_and(|selected| selected != service_name) {
            continue;
        }
        let mut endpoints = json!({});
        for (endpoint_name, endpoint) in &configured.endpoints {
            if is_zone && endpoint_name == name {
                return Err(ambiguous_name(name));
            }
            if endpoint_name == name || is_zone && endpoint.zone == name {
                endpoints[endpoint_name.as_str()] = json!({"draining": draining});
            }
        }
        if endpoints != json!({}) {
            change["services"][service_name.as_str()] = json!({"endpoints": endpoints});
            matching_services.push(service_name.as_str());
        }
    }
    match matching_services.as_slice() {
        [] => Err(Error::Usage(format!(
            "{name} is neither an endpoint nor a zone with endpoints; see pierctl show"
        ))),
        [_, _, ..] if !is_zone => Err(Error::Usage(format!(
            "{name} is an endpoint of {}; select a service with --service",
            matching_services.join(" and ")
        ))),
        _ => Ok(change),
    }
}

fn ambiguous_name(name: &str) -> Error {
    Error::Usage(format!(
        "{name} is both a zone and an endpoint; set draining with a patch and pierctl apply"
    ))
}
