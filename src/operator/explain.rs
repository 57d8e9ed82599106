//! Why a block's requests go where they go.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::config::{self, Document, Revision, Shares};
use crate::id::{BlockId, HostId, RegionId, ServiceId, Version, ZoneId};
use crate::lookup;
use crate::member::View;
use crate::route;
use crate::wire::Reason;

/// Where requests of a block go when they enter at one host
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Service asked for
    pub service: ServiceId,
    /// Block of the caller
    pub block: BlockId,
    /// Region of the block; `None` if no range holds it
    pub region: Option<RegionId>,
    /// Entry hosts that a look-up offers, best first
    pub hosts: Vec<HostId>,
    /// Entry zone that this explanation is for
    pub entry: ZoneId,
    /// Number of the configuration in force
    pub number: Version,
    /// Upstream zones in the order that they would be tried
    pub choices: Vec<Choice>,
    /// Upstream zones and endpoints that get nothing
    pub ruled_out: Vec<RuledOut>,
}

/// One upstream zone that a request may go to
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Upstream zone
    pub zone: ZoneId,
    /// Share of the entry zone's traffic now
    pub share: f64,
    /// Share that the configuration asks for
    pub target: f64,
    /// Why it may go there
    pub why: String,
}

/// A zone or endpoint that gets nothing
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuledOut {
    /// `zone ZONE` or `endpoint NAME in ZONE`
    pub what: String,
    /// Why
    pub why: String,
}

/// What an explanation is worked out from
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// Configuration in force
    pub revision: &'a Revision,
    /// Entry hosts
    pub view: &'a View,
    /// Zone of this host
    pub entry: &'a ZoneId,
    /// Shares in force now
    pub shares: &'a Shares,
    /// Zones that a request would be offered to now, in order
    pub choices: &'a [route::Candidate],
}

/// Explanation for a block; `None` for an unknown service
pub fn explain(known: &Known<'_>, service: &ServiceId, block: BlockId) -> Option<Explanation> {
    let document = &known.revision.document;
    let policy = document.services.get(service)?;
    let target = config::effective_shares(policy, known.entry);
    Some(Explanation {
        service: service.clone(),
        block,
        region: lookup::region_of_block(document, block).cloned(),
        hosts: lookup::hosts(document, known.view, known.entry, block),
        entry: known.entry.clone(),
        number: known.revision.number,
        choices: choices(known, &target),
        ruled_out: ruled_out(known, policy),
    })
}

/// Zones with a share first, the largest share first, then those for spill
fn choices(known: &Known<'_>, target: &Shares) -> Vec<Choice> {
    let share_of = |shares: &Shares, zone| shares.get(zone).copied().unwrap_or_default();
    let mut choices: Vec<Choice> = Vec::new();
    for (zone, share) in known.shares.iter().filter(|(_, share)| **share > 0.0) {
        let wanted = share_of(target, zone);
        let why = if (share - wanted).abs() <= config::SHARE_TOLERANCE {
            "configured share".to_owned()
        } else {
            format!("a planned shift is on the way from here to {wanted}")
        };
        choices.push(Choice {
            zone: zone.clone(),
            share: *share,
            target: wanted,
            why,
        });
    }
    choices.sort_by(|a, b| b.share.total_cmp(&a.share));
    for choice in known.choices {
        if choices.iter().any(|known| known.zone == choice.zone) {
            continue;
        }
        let why = match choice.reason {
            Reason::Spill => "only if the zones before it refuse, under the spill cap",
            Reason::Shift => "a planned shift begins to move traffic here",
            Reason::Share => "configured share",
        };
        choices.push(Choice {
            zone: choice.zone.clone(),
            share: share_of(known.shares, &choice.zone),
            target: share_of(target, &choice.zone),
            why: why.to_owned(),
        });
    }
    choices
}

fn ruled_out(known: &Known<'_>, policy: &config::Service) -> Vec<RuledOut> {
    let document = &known.revision.document;
    let chosen = |zone: &ZoneId| {
        known.shares.get(zone).is_some_and(|share| *share > 0.0)
            || known.choices.iter().any(|choice| choice.zone == *zone)
    };
    let mut ruled_out = Vec::new();
    for zone in document.zones.keys() {
        if let Some(why) = zone_fault(known, policy, zone, chosen(zone)) {
            let what = format!("zone {zone}");
            ruled_out.push(RuledOut { what, why });
        }
    }
    for (name, endpoint) in policy.endpoints.iter().filter(|(_, e)| e.draining) {
        ruled_out.push(RuledOut {
            what: format!("endpoint {name} in {}", endpoint.zone),
            why: "draining is set in the configuration".to_owned(),
        });
    }
    ruled_out
}

/// Why a zone gets nothing, or nothing now
fn zone_fault(
    known: &Known<'_>,
    policy: &config::Service,
    zone: &ZoneId,
    chosen: bool,
) -> Option<String> {
    let mut endpoints = policy
        .endpoints
        .values()
        .filter(|e| e.zone == *zone)
        .peekable();
    let why = if endpoints.peek().is_none() {
        "the service has no endpoint there"
    } else if endpoints.all(|endpoint| endpoint.draining) {
        "all its endpoints are draining"
    } else if known.view.live_hosts(zone).next().is_none() {
        "no live entry host is known there"
    } else if chosen {
        return None;
    } else {
        "no share, and refused lately or outside the spill cap"
    };
    Some(why.to_owned())
}

/// Zones that hold endpoints of a service
pub fn zones<'a>(document: &'a Document, service: &ServiceId) -> BTreeSet<&'a ZoneId> {
    let service = document.services.get(service);
    let endpoints = service
        .iter()
        .flat_map(|service| service.endpoints.values());
    endpoints.map(|endpoint| &endpoint.zone).collect()
}
