//! Steering events, kept for operators in a ring buffer.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::time::{Duration, Instant, SystemTime};

use compact_str::{CompactString, ToCompactString};

use crate::id::{ServiceId, ZoneId};
use crate::util;

pub use crate::operator::Event;

/// Capacity of the ring buffer
pub const MAX_EVENTS: usize = 512;

impl Event {
    /// Creates an event of the whole host with the current time
    pub fn new(kind: &str, text: &impl Display) -> Self {
        Self {
            at: util::unix_millis(SystemTime::now()),
            kind: kind.into(),
            service: CompactString::default(),
            text: text.to_compact_string(),
        }
    }

    /// Sets the service of the event
    pub fn with_service(mut self, service: &str) -> Self {
        self.service = service.into();
        self
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            kind,
            service,
            text,
            ..
        } = self;
        write!(f, "{kind} {service} {text}")
    }
}

/// Service of spilled requests and the zone that they went to
pub type SpillKey = (ServiceId, ZoneId);

/// Interval in which spilled requests are combined into one event
pub const SPILL_EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of spilled requests that no event has reported yet
#[derive(Debug, Default)]
pub struct SpillCounter {
    counts: BTreeMap<SpillKey, (Instant, u64)>,
}

impl SpillCounter {
    /// Counts a spilled request; returns the number to report if an event is due
    pub fn record(&mut self, now: Instant, key: SpillKey) -> Option<u64> {
        let Some((reported_at, count)) = self.counts.get_mut(&key) else {
            self.counts.insert(key, (now, 0));
            return Some(1);
        };
        *count += 1;
        if now < *reported_at + SPILL_EVENT_INTERVAL {
            return None;
        }
        *reported_at = now;
        Some(std::mem::take(count))
    }
}

/// Ring buffer of the most recent events
#[derive(Debug, Default)]
pub struct Ring {
    events: VecDeque<Event>,
}

impl Ring {
    /// Adds an event; drops the oldest one at a length of [`MAX_EVENTS`]
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events, newest first
    pub fn newest_first(&self) -> impl Iterator<Item = &Event> {
        self.events.iter().rev()
    }
}
