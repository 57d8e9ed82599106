//! Zones with upstreams of a service, ordered by proximity.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::config::{Document, Service};
use crate::id::{RegionId, ZoneId};

/// How long computed tiers stay valid
const TIERS_TTL: Duration = Duration::from_millis(250);

/// Zones whose upstreams accept requests, in tiers of equal proximity
#[derive(Debug, Default)]
pub struct Proximity {
    /// Tiers, nearest first
    pub tiers: Vec<Vec<ZoneId>>,
    source: Option<(usize, Instant)>,
}

impl Proximity {
    /// Recomputes the tiers if the document changed or they have expired
    ///
    /// A document at the same address counts as unchanged until the tiers expire.
    pub fn refresh(
        &mut self,
        now: Instant,
        document: &Document,
        service: &Service,
        own_zone: &ZoneId,
    ) {
        let address = std::ptr::from_ref(document).addr();
        let is_valid = |(cached, at): (usize, Instant)| cached == address && now < at + TIERS_TTL;
        if self.source.is_some_and(is_valid) {
            return;
        }
        self.source = Some((address, now));
        self.tiers = tiers(document, service, own_zone);
    }

    /// Returns whether a zone has upstreams that accept requests
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.tiers.iter().any(|tier| tier.contains(zone))
    }
}

/// Returns the own zone, the own region, then the other regions in the order of the document
pub fn tiers(document: &Document, service: &Service, own_zone: &ZoneId) -> Vec<Vec<ZoneId>> {
    let own_region = document.zones.get(own_zone).map(|zone| &zone.region);
    let nearest = own_region.and_then(|own_region| document.nearest.get(own_region));
    let rank = |zone: &ZoneId| {
        let region = document.zones.get(zone).map(|zone| &zone.region);
        if zone == own_zone {
            return 0;
        }
        if region.is_some() && region == own_region {
            return 1;
        }
        let position = |region: &RegionId| nearest?.iter().position(|near| near == region);
        region
            .and_then(position)
            .map_or(usize::MAX, |position| position + 2)
    };
    let mut tiers: BTreeMap<usize, Vec<ZoneId>> = BTreeMap::new();
    for endpoint in service.endpoints.values() {
        if endpoint.draining || endpoint.slots == 0 {
            continue;
        }
        let tier = tiers.entry(rank(&endpoint.zone)).or_default();
        if !tier.contains(&endpoint.zone) {
            tier.push(endpoint.zone.clone());
        }
    }
    tiers.into_values().collect()
}
