//! Validation of a document: every fault names the field and the remedy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use displaydoc::Display;

use super::{Cap, Document, Endpoint, Service, Shares};
use crate::id::RegionId;

/// Longest name of a zone, region, service or endpoint, in bytes
pub const MAX_NAME_BYTES: usize = 63;

/// Largest difference of a sum of shares from 1
pub const SHARE_TOLERANCE: f64 = 1e-6;

/// Most slots of one endpoint
pub const MAX_SLOTS: u32 = 100_000;

/// Shortest and longest window of a cap
pub const WINDOW_BOUNDS: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_secs(24 * 3600)];

/// Shortest and longest lifetime of a look-up
pub const LOOKUP_LIFETIME_BOUNDS: [Duration; 2] =
    [Duration::from_secs(1), Duration::from_secs(3600)];

/// Shortest and longest deadline of a service
pub const DEADLINE_BOUNDS: [Duration; 2] = [Duration::from_millis(10), Duration::from_secs(3600)];

/// {field}: {problem}; {remedy}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field
    pub field: String,
    /// What is wrong with it
    pub problem: String,
    /// What to write instead
    pub remedy: String,
}

impl std::error::Error for FieldError {}

impl FieldError {
    /// FieldError of a field
    pub fn new(
        field: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// All faults of a document
pub fn check(document: &Document) -> Vec<FieldError> {
    let mut faults = Vec::new();
    check_zones(document, &mut faults);
    check_blocks(document, &mut faults);
    check_links(document, &mut faults);
    check_nearest(document, &mut faults);
    for (name, service) in &document.services {
        let field = format!("services.{name}");
        check_name(&field, name, &mut faults);
        check_service(&field, document, service, &mut faults);
    }
    check_addresses(document, &mut faults);
    check_time(
        "lookup_lifetime",
        document.lookup_lifetime,
        LOOKUP_LIFETIME_BOUNDS,
        &mut faults,
    );
    faults
}

/// FieldError of a name, if it has one
pub fn name_error(field: &str, name: &str) -> Option<FieldError> {
    let odd = |c: char| !(c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    let problem = if name.is_empty() {
        "the name is empty".to_owned()
    } else if name.len() > MAX_NAME_BYTES {
        format!(
            "the name has {} bytes of at most {MAX_NAME_BYTES}",
            name.len()
        )
    } else if let Some(c) = name.chars().find(|c| odd(*c)) {
        format!("the name {name:?} holds {c:?}")
    } else if name.starts_with('-') || name.ends_with('-') {
        format!("the name {name:?} starts or ends with a dash")
    } else {
        return None;
    };
    let remedy = "use lowercase letters, digits and dashes between them";
    Some(FieldError::new(field, problem, remedy))
}

fn check_name(field: &str, name: &str, faults: &mut Vec<FieldError>) {
    faults.extend(name_error(field, name));
}

fn has_region(document: &Document, region: &RegionId) -> bool {
    document.zones.values().any(|zone| zone.region == *region)
}

fn check_region(field: &str, document: &Document, region: &RegionId, faults: &mut Vec<FieldError>) {
    if !has_region(document, region) {
        faults.push(FieldError::new(
            field,
            format!("no zone is in region {region:?}"),
            "name the region of a zone under zones, or add such a zone",
        ));
    }
}

fn check_zone(field: &str, document: &Document, zone: &str, faults: &mut Vec<FieldError>) {
    if !document.zones.contains_key(zone) {
        faults.push(FieldError::new(
            field,
            format!("zone {zone:?} is unknown"),
            "name a zone under zones, or add this one there",
        ));
    }
}

fn check_time(field: &str, time: Duration, bounds: [Duration; 2], faults: &mut Vec<FieldError>) {
    if time < bounds[0] || time > bounds[1] {
        faults.push(FieldError::new(
            field,
            format!("{time:?} is out of range"),
            format!("choose between {:?} and {:?}", bounds[0], bounds[1]),
        ));
    }
}

fn check_zones(document: &Document, faults: &mut Vec<FieldError>) {
    for (name, zone) in &document.zones {
        let field = format!("zones.{name}");
        check_name(&field, name, faults);
        check_name(&format!("{field}.region"), &zone.region, faults);
    }
}

fn check_blocks(document: &Document, faults: &mut Vec<FieldError>) {
    for (index, range) in document.blocks.iter().enumerate() {
        let field = format!("blocks[{index}]");
        if range.first > range.last {
            faults.push(FieldError::new(
                format!("{field}.first"),
                format!("{} is above last, {}", range.first, range.last),
                "swap them",
            ));
        }
        check_region(&format!("{field}.region"), document, &range.region, faults);
    }
    for (index, pair) in document.blocks.windows(2).enumerate() {
        if pair[0].last < pair[1].first {
            continue;
        }
        let (before, after) = (&pair[0], &pair[1]);
        let problem = if (before.first, before.last) == (after.first, after.last) {
            format!("range {}-{} stands twice", after.first, after.last)
        } else if after.last < before.first {
            format!(
                "range {}-{} comes after {}-{}",
                after.first, after.last, before.first, before.last
            )
        } else {
            format!(
                "range {}-{} overlaps {}-{}",
                after.first, after.last, before.first, before.last
            )
        };
        let remedy =
            "order the ranges by first and let each begin above the last of the one before";
        faults.push(FieldError::new(
            format!("blocks[{}]", index + 1),
            problem,
            remedy,
        ));
    }
}

fn check_links(document: &Document, faults: &mut Vec<FieldError>) {
    for (name, link) in &document.links {
        let field = format!("links.{name}");
        match name.split_once('/') {
            Some((from, to)) if from != to => {
                check_region(&field, document, &from.into(), faults);
                check_region(&field, document, &to.into(), faults);
            }
            _ => faults.push(FieldError::new(
                field.clone(),
                "the name is no pair of regions",
                "name the link FROM/TO after two different regions",
            )),
        }
        if link.bytes_per_second == 0 {
            faults.push(FieldError::new(
                format!("{field}.bytes_per_second"),
                "0 lets nothing through",
                "give at least 1, or remove the link to leave it without a budget",
            ));
        }
    }
}

fn check_nearest(document: &Document, faults: &mut Vec<FieldError>) {
    for (region, nearest) in &document.nearest {
        let field = format!("nearest.{region}");
        check_region(&field, document, region, faults);
        for (index, near) in nearest.iter().enumerate() {
            check_region(&field, document, near, faults);
            if near == region || nearest[..index].contains(near) {
                faults.push(FieldError::new(
                    field.clone(),
                    format!("region {near:?} stands twice"),
                    "list each other region once, the nearest first",
                ));
            }
        }
    }
}

fn check_service(
    field: &str,
    document: &Document,
    service: &Service,
    faults: &mut Vec<FieldError>,
) {
    for method in &service.once_only {
        if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
            faults.push(FieldError::new(
                format!("{field}.once_only"),
                format!("{method:?} is no HTTP method"),
                "write methods in capitals, such as POST",
            ));
        }
    }
    for (name, endpoint) in &service.endpoints {
        let field = format!("{field}.endpoints.{name}");
        check_name(&field, name, faults);
        check_endpoint(&field, document, endpoint, faults);
    }
    for (entry, shares) in &service.shares {
        let field = format!("{field}.shares.{entry}");
        check_zone(&field, document, entry, faults);
        check_shares(&field, document, service, shares, faults);
    }
    check_cap(&format!("{field}.shift"), &service.shift, faults);
    check_cap(&format!("{field}.spill"), &service.spill, faults);
    check_time(
        &format!("{field}.deadline"),
        service.deadline,
        DEADLINE_BOUNDS,
        faults,
    );
}

fn check_endpoint(
    field: &str,
    document: &Document,
    endpoint: &Endpoint,
    faults: &mut Vec<FieldError>,
) {
    check_zone(&format!("{field}.zone"), document, &endpoint.zone, faults);
    if endpoint.slots == 0 || endpoint.slots > MAX_SLOTS {
        faults.push(FieldError::new(
            format!("{field}.slots"),
            format!("{} is out of range", endpoint.slots),
            format!("give 1 to {MAX_SLOTS}; to send it no work, set draining instead"),
        ));
    }
    if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
        faults.push(FieldError::new(
            format!("{field}.address"),
            format!("{} cannot be connected to", endpoint.address),
            "give the address and port that the upstream listens on",
        ));
    }
}

fn check_shares(
    field: &str,
    document: &Document,
    service: &Service,
    shares: &Shares,
    faults: &mut Vec<FieldError>,
) {
    for (zone, share) in shares {
        let field = format!("{field}.{zone}");
        check_zone(&field, document, zone, faults);
        if !(0.0..=1.0).contains(share) {
            faults.push(FieldError::new(
                field,
                format!("{share} is out of range"),
                "give a share between 0 and 1",
            ));
        } else if *share > 0.0 && !service.endpoints.values().any(|e| e.zone == *zone) {
            faults.push(FieldError::new(
                field,
                format!("the service has no endpoint in zone {zone:?}"),
                "give the share to a zone with endpoints, or add one there",
            ));
        }
    }
    let sum: f64 = shares.values().sum();
    if (sum - 1.0).abs() > SHARE_TOLERANCE {
        faults.push(FieldError::new(
            field,
            format!("the shares sum to {sum}"),
            "let them sum to 1, or remove the entry zone so that it keeps its traffic",
        ));
    }
}

fn check_cap(field: &str, cap: &Cap, faults: &mut Vec<FieldError>) {
    if !(cap.share > 0.0 && cap.share <= 1.0) {
        faults.push(FieldError::new(
            format!("{field}.share"),
            format!("{} is out of range", cap.share),
            "give a share above 0 and at most 1",
        ));
    }
    if !(cap.rate > 0.0 && cap.rate.is_finite()) {
        faults.push(FieldError::new(
            format!("{field}.rate"),
            format!("{} is out of range", cap.rate),
            "give requests a second above 0",
        ));
    }
    check_time(
        &format!("{field}.window"),
        cap.window,
        WINDOW_BOUNDS,
        faults,
    );
}

fn check_addresses(document: &Document, faults: &mut Vec<FieldError>) {
    let mut seen: BTreeMap<(&CompactString, SocketAddr), &CompactString> = BTreeMap::new();
    for (service_name, service) in &document.services {
        for (name, endpoint) in &service.endpoints {
            let Some(other) = seen.insert((service_name, endpoint.address), name) else {
                continue;
            };
            faults.push(FieldError::new(
                format!("services.{service_name}.endpoints.{name}.address"),
                format!("{} is also the address of {other:?}", endpoint.address),
                "list each address once, or its slots count twice",
            ));
        }
    }
}
