//! Text for operators.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{Duration, UNIX_EPOCH};

use serde::Serialize;
use serde_json::Value;

use super::unavailable;
use crate::config::{Audit, EndpointChange, ShiftPlan};
use crate::error::Error;

/// Print a text; a reader that went away is no fault
pub fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let printed = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    if let Err(error) = printed {
        log::debug!("cannot print: {error}");
    }
}

/// Print a value as one line of JSON
pub fn print_json(value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string(value).map_err(unavailable)?;
    print(&(text + "\n"));
    Ok(())
}

/// A value as YAML
pub fn yaml(value: &impl Serialize) -> Result<String, Error> {
    serde_saphyr::to_string(value).map_err(unavailable)
}

/// Point in time, from milliseconds since the Unix epoch
pub fn time(millis: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(millis)).to_string()
}

/// Age in milliseconds
pub fn age(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}

/// One line for an audit entry
pub fn audit(entry: &Audit) -> String {
    let Audit {
        number, who, why, ..
    } = entry;
    format!("{number} {} {who}: {why}\n", time(entry.at))
}

/// Lines `path: before -> after` for what differs between two values
pub fn changes(from: &Value, to: &Value) -> String {
    let (mut before, mut after) = (BTreeMap::new(), BTreeMap::new());
    leaves("", from, &mut before);
    leaves("", to, &mut after);
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let mut text = String::new();
    for path in paths {
        let (old, new) = (before.get(path), after.get(path));
        if old != new {
            let show = |value: Option<&&Value>| value.map_or("none".to_owned(), |v| v.to_string());
            text += &format!("{path}: {} -> {}\n", show(old), show(new));
        }
    }
    text
}

fn leaves<'a>(path: &str, value: &'a Value, found: &mut BTreeMap<String, &'a Value>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                leaves(&path, value, found);
            }
        }
        _ => {
            found.insert(path.to_owned(), value);
        }
    }
}

/// Lines for what a change moves
pub fn moves(plans: &[ShiftPlan], turns: &[EndpointChange]) -> String {
    let mut text = String::new();
    for plan in plans {
        let ShiftPlan {
            service,
            entry,
            steps,
            ..
        } = plan;
        text += &format!(
            "moves {:.2} % of {service} entering at {entry}: {} to {}, in {steps} steps of at most \
             {:.2} % and {} requests a second, {} at least\n",
            plan.moved * 100.0,
            shares(&plan.from),
            shares(&plan.to),
            plan.step * 100.0,
            plan.rate,
            humantime::format_duration(plan.time),
        );
    }
    for turn in turns {
        let EndpointChange {
            service,
            endpoint,
            zone,
            ..
        } = turn;
        let verb = if turn.serves { "takes" } else { "gets no" };
        text += &format!(
            "endpoint {endpoint} of {service} in {zone} {verb} new work: {} slots there become {}\n",
            turn.before, turn.after
        );
    }
    if text.is_empty() {
        text = "moves no traffic\n".to_owned();
    }
    text
}

/// Shares as `zone 40 % + zone 60 %`
pub fn shares(shares: &crate::config::Shares) -> String {
    let parts = shares
        .iter()
        .map(|(zone, share)| format!("{zone} {:.2} %", share * 100.0));
    parts.collect::<Vec<_>>().join(" + ")
}
