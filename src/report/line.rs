//! One line of a decision log.

use std::time::{Duration, SystemTime};

use compact_str::CompactString;
use serde_json::Value;

/// Decision of a host
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name of the host that wrote it
    pub host: CompactString,
    /// Time of day since the Unix epoch
    pub time: Duration,
    /// Fields of the decision, among them `event`
    pub decision: Value,
}

/// Content of a line of text
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A decision
    Decision(Line),
    /// A message that is no decision, or text of another program
    Other,
    /// JSON that is cut off or lacks a field
    Damaged,
}

/// Parses a line
///
/// The host is `host`, unless the JSON follows the name of a host, as in a log that was collected
/// from many hosts: `TIME HOST {...}` or `HOST {...}`.
pub fn parse(text: &str, host: &str) -> Content {
    let Some(start) = text.find('{') else {
        return Content::Other;
    };
    let (prefix, json) = text.split_at(start);
    let named_host = prefix.split_whitespace().next_back();
    let host = named_host.unwrap_or(host);
    let Ok(mut document) = serde_json::from_str::<Value>(json.trim_end()) else {
        return Content::Damaged;
    };
    let decision = document["decision"].take();
    if decision.is_null() {
        return Content::Other;
    }
    match (
        document["t"].as_str().and_then(parse_time),
        &decision["event"],
    ) {
        (Some(time), Value::String(_)) => Content::Decision(Line {
            host: host.into(),
            time,
            decision,
        }),
        _ => Content::Damaged,
    }
}

fn parse_time(text: &str) -> Option<Duration> {
    let utc = text.strip_suffix("+00:00").map(|text| format!("{text}Z"));
    let time = humantime::parse_rfc3339(utc.as_deref().unwrap_or(text)).ok()?;
    time.duration_since(SystemTime::UNIX_EPOCH).ok()
}
