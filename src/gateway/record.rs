//! Decision log: one JSON line for each decision, bounded in volume, never blocking.
//!
//! Requests that failed or were refused come first; those that were served are sampled. What the
//! budget leaves out is counted and told once a second.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde_json::{Map, Value, json};

/// Lines about failed and refused requests in a second
const FAILED_LINES: u32 = 40;

/// Lines about served requests in a second
const SERVED_LINES: u32 = 2;

/// Lines about events in a second
const EVENT_LINES: u32 = 60;

/// Time in which lines are counted
const SECOND: Duration = Duration::from_secs(1);

/// Name of the log target whose messages are JSON already
pub const TARGET: &str = "decision";

/// What is told of a request
#[derive(Debug)]
pub struct Line<'a> {
    /// Id of the caller's attempt
    pub id: &'a str,
    /// Route that was chosen
    pub route: &'a str,
    /// Service of the route
    pub service: &'a str,
    /// HTTP status of the answer
    pub status: u16,
    /// What decided it
    pub outcome: &'a str,
    /// Time since the request was read
    pub took: Duration,
    /// Endpoints that were asked, in order
    pub tried: &'a [CompactString],
    /// Region that was picked
    pub region: &'a str,
    /// What was expected of the last endpoint: its rank for the object, the wait and the time
    pub expected: Option<(usize, Duration, Duration)>,
    /// Time that was left of the deadline
    pub left: Duration,
    /// Version of the configuration in force, 0 for none
    pub version: u64,
    /// Whether the store could not be read, so that what is believed may be old
    pub dark: bool,
}

/// Budget of lines
#[derive(Debug)]
pub struct Recorder(RefCell<Budget>);

#[derive(Debug)]
struct Budget {
    since: Instant,
    failed: u32,
    served: u32,
    events: u32,
    left_out: u32,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Recorder with a full budget
    pub fn new() -> Self {
        Self(RefCell::new(Budget {
            since: Instant::now(),
            failed: 0,
            served: 0,
            events: 0,
            left_out: 0,
        }))
    }

    /// Tell how a request ended
    pub fn request(&self, line: &Line<'_>) {
        let failed = line.status >= 400;
        if !self
            .0
            .borrow_mut()
            .allows(Instant::now(), |budget| match failed {
                true => (&mut budget.failed, FAILED_LINES),
                false => (&mut budget.served, SERVED_LINES),
            })
        {
            return;
        }
        let text = json!({
            "event": "request",
            "id": line.id,
            "route": line.route,
            "service": line.service,
            "status": line.status,
            "outcome": line.outcome,
            "took_ms": line.took.as_millis() as u64,
            "left_ms": line.left.as_millis() as u64,
            "tried": line.tried,
            "region": line.region,
            "rank": line.expected.map(|(rank, ..)| rank),
            "wait_ms": line.expected.map(|(_, wait, _)| wait.as_millis() as u64),
            "expected_ms": line.expected.map(|(.., time)| time.as_millis() as u64),
            "version": line.version,
            "store_dark": line.dark,
        });
        log::info!(target: TARGET, "{text}");
    }

    /// Tell what changed in what this host believes
    pub fn event(&self, event: &str, fields: &[(&str, Value)]) {
        let allowed = self
            .0
            .borrow_mut()
            .allows(Instant::now(), |budget| (&mut budget.events, EVENT_LINES));
        if !allowed {
            return;
        }
        let mut line = Map::new();
        line.insert("event".to_owned(), event.into());
        for (name, value) in fields {
            line.insert((*name).to_owned(), value.clone());
        }
        log::info!(target: TARGET, "{}", Value::Object(line));
    }
}

impl Budget {
    fn allows(&mut self, now: Instant, select: impl FnOnce(&mut Self) -> (&mut u32, u32)) -> bool {
        if now >= self.since + SECOND {
            if self.left_out > 0 {
                let text = json!({ "event": "left-out", "lines": self.left_out });
                log::info!(target: TARGET, "{text}");
            }
            *self = Self {
                since: now,
                failed: 0,
                served: 0,
                events: 0,
                left_out: 0,
            };
        }
        let (count, most) = select(self);
        if *count >= most {
            self.left_out += 1;
            return false;
        }
        *count += 1;
        true
    }
}
