//! `pierctl explain`: where a block's requests go and why.

use clap::ArgMatches;

use super::fleet::{self, Port, ask};
use super::text;
use crate::error::Error;
use crate::id::{BlockId, ServiceId};
use crate::operator::{Candidate, Explanation};

/// Run the subcommand
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let service = matches.get_one::<ServiceId>("service").expect("required");
    let block = *matches.get_one::<BlockId>("block").expect("required");
    let ports = fleet::ports(matches).await?;
    let explanation = explanation(&ports, service, block).await?;
    if matches.get_flag("json") {
        return text::print_json(&explanation);
    }
    text::print(&lines(&explanation));
    Ok(())
}

/// Explanation of the first entry host that a look-up offers, else of any that answers
async fn explanation(
    ports: &[Port],
    service: &ServiceId,
    block: BlockId,
) -> Result<Explanation, Error> {
    let target = format!("/explain?service={service}&block={block}");
    let any = first(ports.iter(), &target).await?;
    let any = any.ok_or_else(|| unknown(service))?;
    let offered = any
        .hosts
        .iter()
        .filter_map(|name| ports.iter().find(|p| p.host == *name));
    match first(offered, &target).await {
        Ok(Some(explanation)) => Ok(explanation),
        _ => Ok(any),
    }
}

async fn first<'a>(
    ports: impl Iterator<Item = &'a Port>,
    target: &str,
) -> Result<Option<Explanation>, Error> {
    let mut last = Error::Unavailable("no entry host to ask; give --operator".to_owned());
    for port in ports {
        match ask(port, target).await {
            Ok(answer) => return Ok(answer),
            Err(error) => last = error,
        }
    }
    Err(last)
}

fn unknown(service: &ServiceId) -> Error {
    Error::Usage(format!(
        "service {service} is not in the configuration in force; see pierctl show"
    ))
}

/// Lines for an operator
pub fn lines(explanation: &Explanation) -> String {
    let Explanation {
        service,
        block,
        entry_zone,
        config_number,
        ..
    } = explanation;
    let region = explanation.region.as_deref().unwrap_or("no region");
    let mut text =
        format!("{service} for block {block} ({region}) by configuration {config_number}\n");
    text += &format!("look-up offers {}\n", explanation.hosts.join(" "));
    text += &format!("entering at {entry_zone} it is sent to\n");
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
        text += &format!("ruled out {}: {}\n", exclusion.subject, exclusion.reason);
    }
    text
}
