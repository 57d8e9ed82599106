//! Longest recent duration of each kind of request.
//!
//! A request that runs for longer than any that ended is expected to last a multiple of its age: soon
//! after a start, only the short ones have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::id::RouteId;

/// Length of a span; durations are remembered for one to two of them
const SPAN: Duration = Duration::from_secs(30);

/// Number of requests below which the longest one says little about the next
const MIN_SAMPLES: u32 = 20;

/// Multiple of its age that a request may last which runs for longer than any that ended
const OVERRUN_FACTOR: u32 = 3;

/// Number and longest duration of the requests of one span
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    requests: u32,
    longest: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Recent {
    started_at: Instant,
    current: Span,
    previous: Span,
}

/// When a running request started, and a number that tells it from others
pub type Start = (Instant, u64);

/// Longest recent durations by route
#[derive(Clone, Debug, Default)]
pub struct Longest {
    recent: BTreeMap<RouteId, Recent>,
    running: BTreeMap<RouteId, BTreeSet<Start>>,
    started: u64,
}

impl Longest {
    /// Records that a request starts, until [`Longest::end`]
    pub fn start(&mut self, now: Instant, route: &RouteId) -> Start {
        self.started += 1;
        let start = (now, self.started);
        let running = self.running.entry(route.clone()).or_default();
        running.insert(start);
        start
    }

    /// Records that a request no longer runs
    pub fn end(&mut self, route: &RouteId, start: Start) {
        if let Some(running) = self.running.get_mut(route) {
            running.remove(&start);
            if running.is_empty() {
                self.running.remove(route);
            }
        }
    }

    /// Returns the number of running requests
    pub fn running(&self, route: &RouteId) -> usize {
        self.running.get(route).map_or(0, BTreeSet::len)
    }

    /// Records the duration of a request
    pub fn record(&mut self, now: Instant, route: &RouteId, duration: Duration) {
        if !self.recent.contains_key(route) {
            self.recent
                .retain(|_, recent| now < recent.started_at + 2 * SPAN);
        }
        let recent = self.recent.entry(route.clone()).or_insert(Recent {
            started_at: now,
            current: Span::default(),
            previous: Span::default(),
        });
        recent.advance(now);
        recent.current.requests = recent.current.requests.saturating_add(1);
        recent.current.longest = recent.current.longest.max(duration);
    }

    /// Returns the longest duration to expect, `None` if few requests were seen lately
    pub fn get(&self, now: Instant, route: &RouteId) -> Option<Duration> {
        let mut recent = *self.recent.get(route)?;
        recent.advance(now);
        let spans = [recent.current, recent.previous];
        let requests: u32 = spans.iter().map(|span| span.requests).sum();
        let longest = spans.iter().map(|span| span.longest).max();
        let longest = longest.filter(|_| requests >= MIN_SAMPLES)?;
        let oldest_age = self.oldest_age(now, route);
        Some(match oldest_age > longest {
            true => oldest_age * OVERRUN_FACTOR,
            false => longest,
        })
    }

    /// Returns the age of the running request that started first, zero if none runs
    fn oldest_age(&self, now: Instant, route: &RouteId) -> Duration {
        let running = self.running.get(route);
        let oldest = running.and_then(|running| running.first());
        oldest.map_or(Duration::ZERO, |(started, _)| {
            now.saturating_duration_since(*started)
        })
    }
}

impl Recent {
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started_at);
        if age < SPAN {
            return;
        }
        self.previous = match age < 2 * SPAN {
            true => self.current,
            false => Span::default(),
        };
        self.current = Span::default();
        self.started_at = now;
    }
}
