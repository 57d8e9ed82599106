//! Longest recent duration of each kind of request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::id::RouteId;

/// Length of a span; durations are remembered for one to two of them
const SPAN: Duration = Duration::from_secs(30);

/// Number of requests below which the longest one says little about the next
const MIN_SAMPLES: u32 = 20;

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

/// Longest recent durations by route
#[derive(Clone, Debug, Default)]
pub struct Longest(BTreeMap<RouteId, Recent>);

impl Longest {
    /// Records the duration of a request
    pub fn record(&mut self, now: Instant, route: &RouteId, duration: Duration) {
        if !self.0.contains_key(route) {
            self.0
                .retain(|_, recent| now < recent.started_at + 2 * SPAN);
        }
        let recent = self.0.entry(route.clone()).or_insert(Recent {
            started_at: now,
            current: Span::default(),
            previous: Span::default(),
        });
        recent.advance(now);
        recent.current.requests = recent.current.requests.saturating_add(1);
        recent.current.longest = recent.current.longest.max(duration);
    }

    /// Returns the longest duration, `None` if few requests were seen lately
    pub fn get(&self, now: Instant, route: &RouteId) -> Option<Duration> {
        let mut recent = *self.0.get(route)?;
        recent.advance(now);
        let spans = [recent.current, recent.previous];
        let requests: u32 = spans.iter().map(|span| span.requests).sum();
        let longest = spans.iter().map(|span| span.longest).max();
        longest.filter(|_| requests >= MIN_SAMPLES)
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
