//! Explanations of how the requests of a block are routed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::config::{self, Document, Revision, Shares};
use crate::id::{BlockId, HostId, RegionId, ServiceId, Version, ZoneId};
use crate::lookup;
use crate::member::View;
use crate::route;
use crate::wire::Reason;

/// Explanation of the routing of a block's requests that enter at one host
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Requested service
    pub service: ServiceId,
    /// Block of the callers
    pub block: BlockId,
    /// Region of the block; `None` if no configured range contains it
    pub region: Option<RegionId>,
    /// Entry hosts that a lookup returns, best first
    pub hosts: Vec<HostId>,
    /// Zone in which the requests enter
    #[serde(rename = "entry")]
    pub entry_zone: ZoneId,
    /// Number of the configuration in force
    #[serde(rename = "number")]
    pub config_number: Version,
    /// Upstream zones in the order in which they are tried
    #[serde(rename = "choices")]
    pub candidates: Vec<Candidate>,
    /// Upstream zones and endpoints that receive no requests
    #[serde(rename = "ruled_out")]
    pub excluded: Vec<Exclusion>,
}

/// Upstream zone that may receive requests
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Upstream zone
    pub zone: ZoneId,
    /// Current share of the entry zone's traffic
    pub share: f64,
    /// Configured share
    pub target: f64,
    /// Reason for which the zone may receive requests
    #[serde(rename = "why")]
    pub reason: String,
}

/// Zone or endpoint that receives no requests
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// `zone ZONE` or `endpoint NAME in ZONE`
    #[serde(rename = "what")]
    pub subject: String,
    /// Reason for the exclusion
    #[serde(rename = "why")]
    pub reason: String,
}

/// Routing state from which an explanation is derived
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Configuration in force
    pub revision: &'a Revision,
    /// Membership of entry hosts
    pub view: &'a View,
    /// Zone of this host
    pub entry_zone: &'a ZoneId,
    /// Shares in force
    pub shares: &'a Shares,
    /// Zones that a request would be offered to, in order
    pub candidates: &'a [route::Candidate],
}

/// Explains the routing of a block; returns `None` for an unknown service
pub fn explain(input: &Input<'_>, service: &ServiceId, block: BlockId) -> Option<Explanation> {
    let document = &input.revision.document;
    let policy = document.services.get(service)?;
    let target = config::effective_shares(policy, input.entry_zone);
    Some(Explanation {
        service: service.clone(),
        block,
        region: lookup::region_of_block(document, block).cloned(),
        hosts: lookup::hosts(document, input.view, input.entry_zone, block),
        entry_zone: input.entry_zone.clone(),
        config_number: input.revision.number,
        candidates: candidates(input, &target),
        excluded: exclusions(input, policy),
    })
}

/// Returns the zones with a share, the largest share first, then the other candidates
fn candidates(input: &Input<'_>, target: &Shares) -> Vec<Candidate> {
    let share_of = |shares: &Shares, zone| shares.get(zone).copied().unwrap_or_default();
    let mut candidates: Vec<Candidate> = Vec::new();
    for (zone, share) in input.shares.iter().filter(|(_, share)| **share > 0.0) {
        let target_share = share_of(target, zone);
        let reason = if (share - target_share).abs() <= config::SHARE_TOLERANCE {
            "configured share".to_owned()
        } else {
            format!("a planned shift is moving the share to {target_share}")
        };
        candidates.push(Candidate {
            zone: zone.clone(),
            share: *share,
            target: target_share,
            reason,
        });
    }
    candidates.sort_by(|a, b| b.share.total_cmp(&a.share));
    for candidate in input.candidates {
        if candidates
            .iter()
            .any(|listed| listed.zone == candidate.zone)
        {
            continue;
        }
        let reason = match candidate.reason {
            Reason::Spill => "only if the preceding zones refuse, within the spill cap",
            Reason::Shift => "a planned shift is starting to move traffic here",
            Reason::Share => "configured share",
        };
        candidates.push(Candidate {
            zone: candidate.zone.clone(),
            share: share_of(input.shares, &candidate.zone),
            target: share_of(target, &candidate.zone),
            reason: reason.to_owned(),
        });
    }
    candidates
}

fn exclusions(input: &Input<'_>, policy: &config::Service) -> Vec<Exclusion> {
    let document = &input.revision.document;
    let is_candidate = |zone: &ZoneId| {
        input.shares.get(zone).is_some_and(|share| *share > 0.0)
            || input
                .candidates
                .iter()
                .any(|candidate| candidate.zone == *zone)
    };
    let mut exclusions = Vec::new();
    for zone in document.zones.keys() {
        if let Some(reason) = exclusion_reason(input, policy, zone, is_candidate(zone)) {
            let subject = format!("zone {zone}");
            exclusions.push(Exclusion { subject, reason });
        }
    }
    for (name, endpoint) in policy
        .endpoints
        .iter()
        .filter(|(_, endpoint)| endpoint.draining)
    {
        exclusions.push(Exclusion {
            subject: format!("endpoint {name} in {}", endpoint.zone),
            reason: "draining is set in the configuration".to_owned(),
        });
    }
    exclusions
}

/// Returns the reason for which a zone receives no requests; `None` if it is a candidate
fn exclusion_reason(
    input: &Input<'_>,
    policy: &config::Service,
    zone: &ZoneId,
    is_candidate: bool,
) -> Option<String> {
    let mut endpoints = policy
        .endpoints
        .values()
        .filter(|endpoint| endpoint.zone == *zone)
        .peekable();
    let reason = if endpoints.peek().is_none() {
        "the service has no endpoint there"
    } else if endpoints.all(|endpoint| endpoint.draining) {
        "all its endpoints are draining"
    } else if input.view.live_hosts(zone).next().is_none() {
        "no live entry host is known there"
    } else if is_candidate {
        return None;
    } else {
        "no share, and refused recently or outside the spill cap"
    };
    Some(reason.to_owned())
}

/// Returns the zones that contain endpoints of a service
pub fn zones<'a>(document: &'a Document, service: &ServiceId) -> BTreeSet<&'a ZoneId> {
    let service = document.services.get(service);
    let endpoints = service
        .iter()
        .flat_map(|service| service.endpoints.values());
    endpoints.map(|endpoint| &endpoint.zone).collect()
}
