//! Steering events, kept for operators in a ring of bounded size.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::time::{Duration, Instant, SystemTime};

use compact_str::{CompactString, ToCompactString};

use crate::id::{ServiceId, ZoneId};
use crate::util;

pub use crate::operator::Event;

/// Events that a ring keeps
pub const MAX_EVENTS: usize = 512;

impl Event {
    /// Event of the whole host, now
    pub fn new(kind: &str, text: &impl Display) -> Self {
        Self {
            at: util::unix_millis(SystemTime::now()),
            kind: kind.into(),
            service: CompactString::default(),
            text: text.to_compact_string(),
        }
    }

    /// The same event of one service
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

/// Service and zone that requests spill to
pub type SpillKey = (ServiceId, ZoneId);

/// Time within which spilled requests are told as one event
pub const SPILL_EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Spilled requests that no event has told yet
#[derive(Debug, Default)]
pub struct SpillCounter {
    counts: BTreeMap<SpillKey, (Instant, u64)>,
}

impl SpillCounter {
    /// Count a spilled request; the number to tell now, if it is time
    pub fn record(&mut self, now: Instant, spill: SpillKey) -> Option<u64> {
        let Some((since, count)) = self.counts.get_mut(&spill) else {
            self.counts.insert(spill, (now, 0));
            return Some(1);
        };
        *count += 1;
        if now < *since + SPILL_EVENT_INTERVAL {
            return None;
        }
        *since = now;
        Some(std::mem::take(count))
    }
}

/// Newest events
#[derive(Debug, Default)]
pub struct Ring {
    events: VecDeque<Event>,
}

impl Ring {
    /// Add an event, dropping the oldest above [`MAX_EVENTS`]
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Events, newest first
    pub fn newest_first(&self) -> impl Iterator<Item = &Event> {
        self.events.iter().rev()
    }
}
