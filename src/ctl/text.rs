//! Output for operators, as text, JSON and YAML.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use serde_json::Value;

use super::unavailable;
use crate::config::{Audit, EndpointChange, ShiftPlan};
use crate::error::Error;

/// Prints a text to the standard output; a closed pipe is not an error
pub fn print(text: &str) {
    let mut stdout = std::io::stdout().lock();
    let result = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
    if let Err(error) = result {
        log::debug!("cannot write to the standard output: {error}");
    }
}

/// Prints a value as one line of JSON
pub fn print_json(value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string(value).map_err(unavailable)?;
    print(&(text + "\n"));
    Ok(())
}

/// Formats a value as YAML
pub fn yaml(value: &impl Serialize) -> Result<String, Error> {
    serde_saphyr::to_string(value).map_err(unavailable)
}

/// Formats a time given in milliseconds since the Unix epoch
pub fn time(millis: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(millis)).to_string()
}

/// Formats an age given in milliseconds
pub fn age(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}

/// Formats an audit entry as one line
pub fn audit_entry(entry: &Audit) -> String {
    let Audit {
        number, who, why, ..
    } = entry;
    format!("{number} {} {who}: {why}\n", time(entry.at))
}

/// Formats the differences between two values as lines `path: before -> after`
pub fn changes(from: &Value, to: &Value) -> String {
    let (mut before, mut after) = (BTreeMap::new(), BTreeMap::new());
    collect_leaves("", from, &mut before);
    collect_leaves("", to, &mut after);
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let mut text = String::new();
    for path in paths {
        let (old, new) = (before.get(path), after.get(path));
        if old != new {
            let format_value =
                |value: Option<&&Value>| value.map_or("none".to_owned(), |v| v.to_string());
            text += &format!("{path}: {} -> {}\n", format_value(old), format_value(new));
        }
    }
    text
}

fn collect_leaves<'a>(path: &str, value: &'a Value, leaves: &mut BTreeMap<String, &'a Value>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_leaves(&path, value, leaves);
            }
        }
        _ => {
            leaves.insert(path.to_owned(), value);
        }
    }
}

/// Formats the traffic that a change moves, one line for each shift and each changed endpoint
pub fn traffic_changes(plans: &[ShiftPlan], endpoint_changes: &[EndpointChange]) -> String {
    let mut text = String::new();
    for plan in plans {
        let ShiftPlan {
            service,
            entry,
            steps,
            ..
        } = plan;
        text += &format!(
            "moves {:.2} % of {service} entering at {entry}: from {} to {}, in {steps} steps \
             of at most {:.2} % and {} requests per second, for at least {}\n",
            plan.moved * 100.0,
            shares(&plan.from),
            shares(&plan.to),
            plan.step * 100.0,
            plan.rate,
            humantime::format_duration(plan.time),
        );
    }
    for change in endpoint_changes {
        let EndpointChange {
            service,
            endpoint,
            zone,
            ..
        } = change;
        let verb = if change.serves {
            "accepts"
        } else {
            "receives no"
        };
        text += &format!(
            "endpoint {endpoint} of {service} in {zone} {verb} new requests: \
             slots in the zone change from {} to {}\n",
            change.before, change.after
        );
    }
    if text.is_empty() {
        text = "moves no traffic\n".to_owned();
    }
    text
}

/// Formats shares as `zone 40 % + zone 60 %`
pub fn shares(shares: &crate::config::Shares) -> String {
    let parts = shares
        .iter()
        .map(|(zone, share)| format!("{zone} {:.2} %", share * 100.0));
    parts.collect::<Vec<_>>().join(" + ")
}
