//! `pierctl status`: prints the state of all entry hosts by zone.
//!
//! Reported values are printed with their age.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde_json::json;

use super::fleet::{self, Port, get_all};
use super::text;
use crate::error::Error;
use crate::id::ZoneId;
use crate::operator::{Service, Status};

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let ports = fleet::ports(matches).await?;
    let results = get_all::<Status>(&ports, "/status").await;
    let mut statuses = Vec::new();
    let mut unreached = Vec::new();
    for (port, result) in ports.iter().zip(results) {
        match result {
            Ok(status) => statuses.push(status),
            Err(error) => unreached.push((port, error)),
        }
    }
    if matches.get_flag("json") {
        let unreached = unreached.iter().map(
            |(port, error)| json!({"host": port.host, "zone": port.zone, "why": error.to_string()}),
        );
        let unreached: Vec<_> = unreached.collect();
        text::print_json(&json!({"hosts": statuses, "unreached": unreached}))?;
    } else {
        text::print(&format_statuses(&statuses, &unreached));
    }
    if statuses.is_empty() {
        let first_error = unreached.first().map(|(_, error)| error.to_string());
        return Err(Error::Unavailable(format!(
            "no entry host responded: {}; check that the hosts are running and the addresses correct",
            first_error.unwrap_or_default()
        )));
    }
    Ok(())
}

/// Formats the hosts by zone, followed by the hosts that did not respond
pub fn format_statuses(statuses: &[Status], unreached: &[(&Port, Error)]) -> String {
    let mut zones: BTreeMap<&ZoneId, Vec<&Status>> = BTreeMap::new();
    for status in statuses {
        zones.entry(&status.zone).or_default().push(status);
    }
    let mut text = String::new();
    for (zone, hosts) in zones {
        text += &format!("zone {zone}\n");
        for status in hosts {
            text += &format_host(status);
            text += &status
                .services
                .iter()
                .map(format_service)
                .collect::<String>();
        }
    }
    for (port, error) in unreached {
        text += &format!("not reached: {} in {}: {error}\n", port.host, port.zone);
    }
    text
}

fn format_host(status: &Status) -> String {
    let platform = match status.platform_age_ms {
        Some(millis) => format!("platform responded {} ago", text::age(millis)),
        None => "platform has not responded".to_owned(),
    };
    let stopping = if status.stopping { ", stopping" } else { "" };
    let dead = status
        .hosts
        .iter()
        .filter(|host| host.state == crate::member::State::Dead);
    format!(
        "  host {}: number {} for {}, {} running, {platform}, {} hosts in view ({} dead){stopping}\n",
        status.host,
        status.config_number,
        text::age(status.config_age_ms),
        status.in_flight,
        status.hosts.len(),
        dead.count(),
    )
}

fn format_service(service: &Service) -> String {
    let mut line = format!("    {}: {}", service.service, text::shares(&service.shares));
    if let Some(shift) = &service.shift {
        line += &format!(
            ", shifting for {} to {}, at least {} remaining",
            text::age(shift.age_ms),
            text::shares(&service.target),
            text::age(shift.remaining_ms),
        );
    }
    if let Some(owner) = &service.owner {
        line += &format!(", slots owned by {owner}");
    }
    line += "\n";
    if !service.endpoints.is_empty() {
        line += &format_endpoints(service);
    }
    line
}

fn format_endpoints(service: &Service) -> String {
    let free: u32 = service.endpoints.iter().map(|endpoint| endpoint.free).sum();
    let slots: u32 = service
        .endpoints
        .iter()
        .map(|endpoint| endpoint.slots)
        .sum();
    let waiting = service.waiting;
    let mut text = format!("      headroom {free} of {slots} slots, {waiting} waiting\n");
    for endpoint in &service.endpoints {
        let report = match endpoint.report_age_ms {
            Some(millis) => format!("load reported {} ago", text::age(millis)),
            None => "no load report".to_owned(),
        };
        text += &format!(
            "      {}: {} used, {} free of {}, {}, {report}\n",
            endpoint.endpoint, endpoint.used, endpoint.free, endpoint.slots, endpoint.state,
        );
    }
    text
}
