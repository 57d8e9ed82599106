//! Validation of a document; each error names the field, the problem and a remedy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use displaydoc::Display;

use super::{Cap, Document, Endpoint, Service, Shares};
use crate::id::RegionId;

/// Maximum length of the name of a zone, region, service or endpoint
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum deviation of a sum of shares from 1
pub const SHARE_TOLERANCE: f64 = 1e-6;

/// Maximum number of slots of an endpoint
pub const MAX_SLOTS: u32 = 100_000;

/// Minimum and maximum [`Cap::window`]
pub const WINDOW_BOUNDS: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_secs(24 * 3600)];

/// Minimum and maximum [`Document::lookup_lifetime`]
pub const LOOKUP_LIFETIME_BOUNDS: [Duration; 2] =
    [Duration::from_secs(1), Duration::from_secs(3600)];

/// Minimum and maximum [`Service::deadline`]
pub const DEADLINE_BOUNDS: [Duration; 2] = [Duration::from_millis(10), Duration::from_secs(3600)];

/// {field}: {problem}; {remedy}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field
    pub field: String,
    /// Description of the problem
    pub problem: String,
    /// How to correct the field
    pub remedy: String,
}

impl std::error::Error for FieldError {}

impl FieldError {
    /// Creates the error of a field
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

/// Returns all errors in a document
pub fn check(document: &Document) -> Vec<FieldError> {
    let mut errors = Vec::new();
    check_zones(document, &mut errors);
    check_blocks(document, &mut errors);
    check_links(document, &mut errors);
    check_nearest(document, &mut errors);
    for (name, service) in &document.services {
        let field = format!("services.{name}");
        check_name(&field, name, &mut errors);
        check_service(&field, document, service, &mut errors);
    }
    check_addresses(document, &mut errors);
    check_duration(
        "lookup_lifetime",
        document.lookup_lifetime,
        LOOKUP_LIFETIME_BOUNDS,
        &mut errors,
    );
    errors
}

/// Returns the error in a name, or `None` if it is valid
pub fn name_error(field: &str, name: &str) -> Option<FieldError> {
    let is_invalid = |c: char| !(c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    let problem = if name.is_empty() {
        "the name is empty".to_owned()
    } else if name.len() > MAX_NAME_BYTES {
        format!(
            "the name has {} bytes, the limit is {MAX_NAME_BYTES}",
            name.len()
        )
    } else if let Some(c) = name.chars().find(|c| is_invalid(*c)) {
        format!("the name {name:?} contains {c:?}")
    } else if name.starts_with('-') || name.ends_with('-') {
        format!("the name {name:?} starts or ends with a dash")
    } else {
        return None;
    };
    let remedy = "use lowercase letters and digits, with dashes only between them";
    Some(FieldError::new(field, problem, remedy))
}

fn check_name(field: &str, name: &str, errors: &mut Vec<FieldError>) {
    errors.extend(name_error(field, name));
}

fn has_region(document: &Document, region: &RegionId) -> bool {
    document.zones.values().any(|zone| zone.region == *region)
}

fn check_region(field: &str, document: &Document, region: &RegionId, errors: &mut Vec<FieldError>) {
    if !has_region(document, region) {
        errors.push(FieldError::new(
            field,
            format!("no zone is in region {region:?}"),
            "use the region of an entry in zones, or add a zone in this region",
        ));
    }
}

fn check_zone(field: &str, document: &Document, zone: &str, errors: &mut Vec<FieldError>) {
    if !document.zones.contains_key(zone) {
        errors.push(FieldError::new(
            field,
            format!("zone {zone:?} is unknown"),
            "use the name of an entry in zones, or add this zone there",
        ));
    }
}

fn check_duration(
    field: &str,
    duration: Duration,
    bounds: [Duration; 2],
    errors: &mut Vec<FieldError>,
) {
    if duration < bounds[0] || duration > bounds[1] {
        errors.push(FieldError::new(
            field,
            format!("{duration:?} is out of range"),
            format!("use a value from {:?} to {:?}", bounds[0], bounds[1]),
        ));
    }
}

fn check_zones(document: &Document, errors: &mut Vec<FieldError>) {
    for (name, zone) in &document.zones {
        let field = format!("zones.{name}");
        check_name(&field, name, errors);
        check_name(&format!("{field}.region"), &zone.region, errors);
    }
}

fn check_blocks(document: &Document, errors: &mut Vec<FieldError>) {
    for (index, range) in document.blocks.iter().enumerate() {
        let field = format!("blocks[{index}]");
        if range.first > range.last {
            errors.push(FieldError::new(
                format!("{field}.first"),
                format!("{} is above last, {}", range.first, range.last),
                "swap first and last",
            ));
        }
        check_region(&format!("{field}.region"), document, &range.region, errors);
    }
    for (index, pair) in document.blocks.windows(2).enumerate() {
        if pair[0].last < pair[1].first {
            continue;
        }
        let (before, after) = (&pair[0], &pair[1]);
        let problem = if (before.first, before.last) == (after.first, after.last) {
            format!("range {}-{} is listed twice", after.first, after.last)
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
            "sort the ranges by first; each must start above the last block of the previous one";
        errors.push(FieldError::new(
            format!("blocks[{}]", index + 1),
            problem,
            remedy,
        ));
    }
}

fn check_links(document: &Document, errors: &mut Vec<FieldError>) {
    for (name, link) in &document.links {
        let field = format!("links.{name}");
        match name.split_once('/') {
            Some((from, to)) if from != to => {
                check_region(&field, document, &from.into(), errors);
                check_region(&field, document, &to.into(), errors);
            }
            _ => errors.push(FieldError::new(
                field.clone(),
                "the name is not a pair of regions",
                "use FROM/TO with two different regions",
            )),
        }
        if link.bytes_per_second == 0 {
            errors.push(FieldError::new(
                format!("{field}.bytes_per_second"),
                "0 blocks all traffic",
                "use at least 1, or remove the link to leave it without a limit",
            ));
        }
    }
}

fn check_nearest(document: &Document, errors: &mut Vec<FieldError>) {
    for (region, nearest) in &document.nearest {
        let field = format!("nearest.{region}");
        check_region(&field, document, region, errors);
        for (index, other) in nearest.iter().enumerate() {
            check_region(&field, document, other, errors);
            if other == region || nearest[..index].contains(other) {
                errors.push(FieldError::new(
                    field.clone(),
                    format!("region {other:?} is repeated"),
                    "list each other region once, nearest first",
                ));
            }
        }
    }
}

fn check_service(
    field: &str,
    document: &Document,
    service: &Service,
    errors: &mut Vec<FieldError>,
) {
    for method in &service.once_only {
        if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
            errors.push(FieldError::new(
                format!("{field}.once_only"),
                format!("{method:?} is not an HTTP method"),
                "write methods in upper case, such as POST",
            ));
        }
    }
    for (name, endpoint) in &service.endpoints {
        let field = format!("{field}.endpoints.{name}");
        check_name(&field, name, errors);
        check_endpoint(&field, document, endpoint, errors);
    }
    for (entry, shares) in &service.shares {
        let field = format!("{field}.shares.{entry}");
        check_zone(&field, document, entry, errors);
        check_shares(&field, document, service, shares, errors);
    }
    check_cap(&format!("{field}.shift"), &service.shift, errors);
    check_cap(&format!("{field}.spill"), &service.spill, errors);
    check_duration(
        &format!("{field}.deadline"),
        service.deadline,
        DEADLINE_BOUNDS,
        errors,
    );
}

fn check_endpoint(
    field: &str,
    document: &Document,
    endpoint: &Endpoint,
    errors: &mut Vec<FieldError>,
) {
    check_zone(&format!("{field}.zone"), document, &endpoint.zone, errors);
    if endpoint.slots == 0 || endpoint.slots > MAX_SLOTS {
        errors.push(FieldError::new(
            format!("{field}.slots"),
            format!("{} is out of range", endpoint.slots),
            format!("use 1 to {MAX_SLOTS}; set draining to stop new requests"),
        ));
    }
    if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
        errors.push(FieldError::new(
            format!("{field}.address"),
            format!("{} is not a valid destination address", endpoint.address),
            "use the address and port on which the upstream listens",
        ));
    }
}

fn check_shares(
    field: &str,
    document: &Document,
    service: &Service,
    shares: &Shares,
    errors: &mut Vec<FieldError>,
) {
    for (zone, share) in shares {
        let field = format!("{field}.{zone}");
        check_zone(&field, document, zone, errors);
        if !(0.0..=1.0).contains(share) {
            errors.push(FieldError::new(
                field,
                format!("{share} is out of range"),
                "use a share from 0 to 1",
            ));
        } else if *share > 0.0 && !service.endpoints.values().any(|e| e.zone == *zone) {
            errors.push(FieldError::new(
                field,
                format!("the service has no endpoint in zone {zone:?}"),
                "assign the share to a zone with endpoints, or add an endpoint there",
            ));
        }
    }
    let sum: f64 = shares.values().sum();
    if (sum - 1.0).abs() > SHARE_TOLERANCE {
        errors.push(FieldError::new(
            field,
            format!("the shares sum to {sum}"),
            "make them sum to 1, or remove the entry zone to keep its traffic local",
        ));
    }
}

fn check_cap(field: &str, cap: &Cap, errors: &mut Vec<FieldError>) {
    if !(cap.share > 0.0 && cap.share <= 1.0) {
        errors.push(FieldError::new(
            format!("{field}.share"),
            format!("{} is out of range", cap.share),
            "use a share above 0 and at most 1",
        ));
    }
    if !(cap.rate > 0.0 && cap.rate.is_finite()) {
        errors.push(FieldError::new(
            format!("{field}.rate"),
            format!("{} is out of range", cap.rate),
            "use a rate above 0, in requests per second",
        ));
    }
    check_duration(
        &format!("{field}.window"),
        cap.window,
        WINDOW_BOUNDS,
        errors,
    );
}

fn check_addresses(document: &Document, errors: &mut Vec<FieldError>) {
    let mut seen: BTreeMap<(&CompactString, SocketAddr), &CompactString> = BTreeMap::new();
    for (service_name, service) in &document.services {
        for (name, endpoint) in &service.endpoints {
            let Some(other) = seen.insert((service_name, endpoint.address), name) else {
                continue;
            };
            errors.push(FieldError::new(
                format!("services.{service_name}.endpoints.{name}.address"),
                format!("{} is also the address of {other:?}", endpoint.address),
                "list each address once, otherwise its slots are counted twice",
            ));
        }
    }
}
