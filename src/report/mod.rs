//! Summary of the decision logs of many hosts, as one page without outside references.
//!
//! Logs are read line by line and counted by second, route, region and host, so the memory is
//! bounded whatever their size. Hosts log only a sample of the served requests; the page says so.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Read};
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde_json::Value;

pub mod line;
pub mod page;
mod plot;

#[cfg(test)]
mod tests;

use line::{Content, Line};

/// Maximum length of a line, in bytes; longer ones count as damaged
const MAX_LINE_BYTES: u64 = 64 << 10;

/// Maximum number of seconds, routes, regions or hosts that are counted apart
const MAX_GROUPS: usize = 20_000;

/// Maximum number of marks on the page
const MAX_MARKS: usize = 400;

/// Maximum number of lines of a request's story
const MAX_STORY_LINES: usize = 1000;

/// Largest time that histograms tell apart, in milliseconds
const MAX_MILLIS: u64 = 600_000;

/// Events that the page marks; the others are only counted
const MARKED_EVENTS: [&str; 10] = [
    "configuration",
    "endpoint-limit",
    "evacuation",
    "host-silent",
    "started",
    "stopping",
    "store-era",
    "store-lost",
    "store-regained",
    "suspect",
];

/// Results of requests
#[derive(Clone, Debug)]
pub struct Results {
    /// Answers of endpoints below status 400
    pub served: u64,
    /// Answers of this system that the request has not run
    pub refused: u64,
    /// Other errors
    pub failed: u64,
    /// Times from the head of a request to the decision on its answer, in milliseconds
    pub millis: Histogram<u64>,
    /// Time that a request was expected to wait for a slot, in milliseconds, summed up
    pub wait_millis: u64,
    /// Largest rank of a chosen endpoint, for which the object's cache is less likely
    pub other_than_first_rank: u64,
}

impl Default for Results {
    fn default() -> Self {
        let millis = Histogram::new_with_bounds(1, MAX_MILLIS, 2);
        Self {
            served: 0,
            refused: 0,
            failed: 0,
            millis: millis.expect("the bounds are valid"),
            wait_millis: 0,
            other_than_first_rank: 0,
        }
    }
}

impl Results {
    /// Returns the number of requests
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    fn record(&mut self, decision: &Value) {
        match decision["status"].as_u64().unwrap_or(0) {
            0..400 => self.served += 1,
            408 | 421 | 429 | 503 => self.refused += 1,
            _ => self.failed += 1,
        }
        let millis = decision["took_ms"].as_u64().unwrap_or(0);
        self.millis.saturating_record(millis.max(1));
        self.wait_millis += decision["wait_ms"].as_u64().unwrap_or(0);
        let rank = decision["rank"].as_u64().unwrap_or(0);
        self.other_than_first_rank += u64::from(rank > 0);
    }
}

/// Event that the page marks
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// Time of day since the Unix epoch
    pub time: Duration,
    /// Name of the host
    pub host: CompactString,
    /// Name of the event
    pub event: CompactString,
    /// Its other fields
    pub fields: String,
}

/// Counts of all lines that were read
#[derive(Debug, Default)]
pub struct Summary {
    /// Results by whole second since the Unix epoch
    pub seconds: BTreeMap<u64, Results>,
    /// Results by route
    pub routes: BTreeMap<CompactString, Results>,
    /// Results by region that was chosen
    pub regions: BTreeMap<CompactString, Results>,
    /// Results by host
    pub hosts: BTreeMap<CompactString, Results>,
    /// Refused and failed requests by outcome
    pub outcomes: BTreeMap<CompactString, u64>,
    /// Numbers of events by name
    pub events: BTreeMap<CompactString, u64>,
    /// First hosts and times of marked events
    pub marks: Vec<Mark>,
    /// Lines that concern the request of the story
    pub story: Vec<Line>,
    /// Lines that were read
    pub lines: u64,
    /// Lines that cannot be read
    pub damaged: u64,
    /// Lines that the hosts left out
    pub left_out: u64,
    story_id: Option<CompactString>,
}

impl Summary {
    /// Creates an empty summary
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty summary that also collects the lines about one request
    pub fn with_story(id: &str) -> Self {
        Self {
            story_id: Some(id.into()),
            ..Self::default()
        }
    }

    /// Reads a log to its end; `host` wrote the lines that name none
    pub fn read(&mut self, log: &mut impl BufRead, host: &str) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            log.take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes)?;
            if bytes.is_empty() {
                return Ok(());
            }
            self.lines += 1;
            if bytes.len() as u64 == MAX_LINE_BYTES && !bytes.ends_with(b"\n") {
                self.damaged += 1;
                skip_line(log)?;
                continue;
            }
            match line::parse(&String::from_utf8_lossy(&bytes), host) {
                Content::Decision(line) => self.record(line),
                Content::Damaged => self.damaged += 1,
                Content::Other => {}
            }
        }
    }

    /// Counts one decision
    pub fn record(&mut self, line: Line) {
        let decision = &line.decision;
        let event = decision["event"].as_str().unwrap_or_default();
        if event == "request" {
            self.record_request(&line);
        } else {
            *entry(&mut self.events, event) += 1;
        }
        if event == "left-out" {
            self.left_out += decision["lines"].as_u64().unwrap_or(0);
        }
        if MARKED_EVENTS.contains(&event) && self.marks.len() < MAX_MARKS {
            self.marks.push(Mark {
                time: line.time,
                host: line.host.clone(),
                event: event.into(),
                fields: format_fields(decision),
            });
        }
        let is_of_story = self
            .story_id
            .as_ref()
            .is_some_and(|id| decision["id"].as_str() == Some(id));
        if is_of_story && self.story.len() < MAX_STORY_LINES {
            self.story.push(line);
        }
    }

    fn record_request(&mut self, line: &Line) {
        let decision = &line.decision;
        let text = |field: &str| decision[field].as_str().unwrap_or("-").to_owned();
        let second = line.time.as_secs();
        if self.seconds.len() < MAX_GROUPS || self.seconds.contains_key(&second) {
            self.seconds.entry(second).or_default().record(decision);
        }
        entry(&mut self.routes, &text("route")).record(decision);
        entry(&mut self.regions, &text("region")).record(decision);
        entry(&mut self.hosts, &line.host).record(decision);
        if decision["status"].as_u64().unwrap_or(0) >= 400 {
            *entry(&mut self.outcomes, &text("outcome")) += 1;
        }
    }
}

/// Returns the entry of a group; groups beyond the limit share one
fn entry<'a, T: Default>(map: &'a mut BTreeMap<CompactString, T>, name: &str) -> &'a mut T {
    let is_known = map.contains_key(name);
    let name = if is_known || map.len() < MAX_GROUPS {
        name
    } else {
        "others"
    };
    map.entry(name.into()).or_default()
}

/// Skips the rest of a line in bounded memory
fn skip_line(log: &mut impl BufRead) -> io::Result<()> {
    loop {
        let buffer = log.fill_buf()?;
        let end = buffer.iter().position(|byte| *byte == b'\n');
        let (length, is_end) = match end {
            Some(end) => (end + 1, true),
            None => (buffer.len(), buffer.is_empty()),
        };
        log.consume(length);
        if is_end {
            return Ok(());
        }
    }
}

/// Returns the fields of a decision as text, without its event
fn format_fields(decision: &Value) -> String {
    let fields = decision.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| *name != "event");
    let fields = fields.map(|(name, value)| match value.as_str() {
        Some(text) => format!("{name}={text}"),
        None => format!("{name}={value}"),
    });
    fields.collect::<Vec<_>>().join(" ")
}
