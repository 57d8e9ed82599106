//! Decision log: one JSON line per decision, rate-limited and non-blocking.
//!
//! Failed and refused requests have their own, larger budget; served requests are sampled. The
//! number of dropped lines is logged once a second.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde_json::{Map, Value, json};

use super::Gateway;
use super::exchange::Refused;
use super::reply::Refusal;
use crate::platform::header;
use crate::{message, quarantine};

/// Maximum number of lines about failed and refused requests in one interval
const MAX_FAILED_LINES_PER_SECOND: u32 = 40;

/// Maximum number of lines about served requests in one interval
const MAX_SERVED_LINES_PER_SECOND: u32 = 2;

/// Maximum number of lines about events in one interval
const MAX_EVENT_LINES_PER_SECOND: u32 = 60;

/// Interval over which lines are counted
const BUDGET_INTERVAL: Duration = Duration::from_secs(1);

/// Log target whose messages are already JSON
pub const TARGET: &str = "decision";

/// Log entry of one request
#[derive(Debug)]
pub struct Request<'a> {
    /// Id of the caller's attempt
    pub attempt_id: &'a str,
    /// Quarantine key, which is the same for all repeats of a request; `None` without a route
    pub key: Option<quarantine::Key>,
    /// Route that matched the request
    pub route: &'a str,
    /// Service that the route selected
    pub service: &'a str,
    /// HTTP status of the answer
    pub status: u16,
    /// Reason for the status
    pub outcome: &'a str,
    /// Time since the request head was read
    pub duration: Duration,
    /// Endpoints that were tried, in order
    pub tried_endpoints: &'a [CompactString],
    /// Answers of endpoints that state that they did not run the request, in order
    pub refusals: &'a [Refused],
    /// Region that was selected
    pub region: &'a str,
    /// Estimate for the last endpoint: its rank for the object, the queue wait and the total time
    pub estimate: Option<(usize, Duration, Duration)>,
    /// Time left until the deadline
    pub time_left: Duration,
    /// Version of the active configuration, 0 for none
    pub version: u64,
    /// Whether the store is unreachable, so that this host's state may be stale
    pub store_unreachable: bool,
    /// Age of the store's answer that the configuration rests on, `None` if it was never read
    pub store_age: Option<Duration>,
}

/// Returns the text form of a quarantine key
pub fn format_key(key: quarantine::Key) -> String {
    format!("{key:016x}")
}

/// Returns a duration in whole milliseconds
pub fn millis(duration: Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}

/// Rate-limited writer of the decision log
#[derive(Debug)]
pub struct Recorder(RefCell<Budget>);

#[derive(Debug)]
struct Budget {
    interval_start: Instant,
    failed: u32,
    served: u32,
    events: u32,
    dropped_lines: u32,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Creates a recorder with a full budget
    pub fn new() -> Self {
        Self(RefCell::new(Budget {
            interval_start: Instant::now(),
            failed: 0,
            served: 0,
            events: 0,
            dropped_lines: 0,
        }))
    }

    /// Logs the result of a request
    pub fn request(&self, request: &Request<'_>) {
        let failed = request.status >= 400;
        if !self
            .0
            .borrow_mut()
            .try_take(Instant::now(), |budget| match failed {
                true => (&mut budget.failed, MAX_FAILED_LINES_PER_SECOND),
                false => (&mut budget.served, MAX_SERVED_LINES_PER_SECOND),
            })
        {
            return;
        }
        let refusals = request.refusals.iter().map(ToString::to_string);
        let refusals: Vec<String> = refusals.collect();
        let text = json!({
            "event": "request",
            "id": request.attempt_id,
            "key": request.key.map(format_key),
            "route": request.route,
            "service": request.service,
            "status": request.status,
            "outcome": request.outcome,
            "took_ms": request.duration.as_millis() as u64,
            "left_ms": request.time_left.as_millis() as u64,
            "tried": request.tried_endpoints,
            "refused": refusals,
            "region": request.region,
            "rank": request.estimate.map(|(rank, ..)| rank),
            "wait_ms": request.estimate.map(|(_, wait, _)| wait.as_millis() as u64),
            "expected_ms": request.estimate.map(|(.., time)| time.as_millis() as u64),
            "version": request.version,
            "store_dark": request.store_unreachable,
            "store_age_ms": request.store_age.map(millis),
        });
        log::info!(target: TARGET, "{text}");
    }

    /// Logs a change of this host's state
    pub fn event(&self, event: &str, fields: &[(&str, Value)]) {
        let allowed = self.0.borrow_mut().try_take(Instant::now(), |budget| {
            (&mut budget.events, MAX_EVENT_LINES_PER_SECOND)
        });
        if !allowed {
            return;
        }
        let mut fields_by_name = Map::new();
        fields_by_name.insert("event".to_owned(), event.into());
        for (name, value) in fields {
            fields_by_name.insert((*name).to_owned(), value.clone());
        }
        log::info!(target: TARGET, "{}", Value::Object(fields_by_name));
    }
}

impl Budget {
    fn try_take(
        &mut self,
        now: Instant,
        select: impl FnOnce(&mut Self) -> (&mut u32, u32),
    ) -> bool {
        if now >= self.interval_start + BUDGET_INTERVAL {
            if self.dropped_lines > 0 {
                let text = json!({ "event": "left-out", "lines": self.dropped_lines });
                log::info!(target: TARGET, "{text}");
            }
            *self = Self {
                interval_start: now,
                failed: 0,
                served: 0,
                events: 0,
                dropped_lines: 0,
            };
        }
        let (count, limit) = select(self);
        if *count >= limit {
            self.dropped_lines += 1;
            return false;
        }
        *count += 1;
        true
    }
}

impl Gateway {
    /// Logs a request that was refused before a region was chosen
    pub(super) fn record_refusal(
        &self,
        request: &message::Request,
        refusal: &Refusal,
        arrived: Instant,
    ) {
        let duration = arrived.elapsed();
        self.metrics.observe_request("-", refusal.status, duration);
        self.recorder.request(&Request {
            attempt_id: header::attempt_id(&request.headers).unwrap_or("-"),
            key: refusal.quarantine_key,
            route: "-",
            service: "-",
            status: refusal.status,
            outcome: refusal.reason,
            duration,
            tried_endpoints: &[],
            refusals: &[],
            region: "-",
            estimate: None,
            time_left: Duration::ZERO,
            version: self.configuration_version(),
            store_unreachable: self.mirror.borrow().is_store_unreachable(),
            store_age: self.configuration_age(),
        });
    }
}
