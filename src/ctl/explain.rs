//! `pierctl explain`: prints where the requests of a block are sent, and why.

use clap::ArgMatches;

use super::fleet::{self, Port, get};
use super::text;
use crate::error::Error;
use crate::id::{BlockId, ServiceId};
use crate::operator::{Candidate, Explanation};

/// Runs the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let service = matches
        .get_one::<ServiceId>("service")
        .expect("required argument is missing");
    let block = *matches
        .get_one::<BlockId>("block")
        .expect("required argument is missing");
    let ports = fleet::ports(matches).await?;
    let explanation = fetch_explanation(&ports, service, block).await?;
    if matches.get_flag("json") {
        return text::print_json(&explanation);
    }
    text::print(&format_explanation(&explanation));
    Ok(())
}

/// Returns the explanation of the first responding entry host in the block's lookup result
///
/// Falls back to the first host of `ports` that responds.
async fn fetch_explanation(
    ports: &[Port],
    service: &ServiceId,
    block: BlockId,
) -> Result<Explanation, Error> {
    let target = format!("/explain?service={service}&block={block}");
    let fallback = first_response(ports.iter(), &target).await?;
    let fallback = fallback.ok_or_else(|| unknown_service(service))?;
    let lookup_hosts = fallback
        .hosts
        .iter()
        .filter_map(|name| ports.iter().find(|port| port.host == *name));
    match first_response(lookup_hosts, &target).await {
        Ok(Some(explanation)) => Ok(explanation),
        _ => Ok(fallback),
    }
}

async fn first_response<'a>(
    ports: impl Iterator<Item = &'a Port>,
    target: &str,
) -> Result<Option<Explanation>, Error> {
    let mut last_error =
        Error::Unavailable("no entry host available; give one with --operator".to_owned());
    for port in ports {
        match get(port, target).await {
            Ok(explanation) => return Ok(explanation),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn unknown_service(service: &ServiceId) -> Error {
    Error::Usage(format!(
        "service {service} is not in the configuration in force; see pierctl show"
    ))
}

/// Formats an explanation as text
pub fn format_explanation(explanation: &Explanation) -> String {
    let Explanation {
        service,
        block,
        entry_zone,
        config_number,
        ..
    } = explanation;
    let region = explanation.region.as_deref().unwrap_or("no region");
    let mut text =
        format!("{service} for block {block} ({region}) under configuration {config_number}\n");
    text += &format!("lookup returns {}\n", explanation.hosts.join(" "));
    text += &format!("entering at {entry_zone}, requests are sent to\n");
    for Candidate {
        zone,
        share,
        target,
        reason,
    } in &explanation.candidates
    {
        let (share, target) = (share * 100.0, target * 100.0);
        text += &format!("  {zone}: {share:.2} % now, {target:.2} % configured: {reason}\n");
    }
    for exclusion in &explanation.excluded {
        text += &format!("excluded {}: {}\n", exclusion.subject, exclusion.reason);
    }
    text
}
