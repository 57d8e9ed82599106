//! One endpoint as this host experiences it.
//!
//! An endpoint that breaks connections is left out for a time that doubles. It comes back through a
//! health check or one request at a time. One that fails only a part of its requests stays in use
//! at a price, since the whole service may be in the same state.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Failures in a row after which an endpoint is left out; one may be a lost answer
const STREAK: u32 = 2;

/// First time for which an endpoint is left out; an endpoint restarts within seconds
const FIRST_OUT: Duration = Duration::from_millis(500);

/// Longest time for which an endpoint is left out
const LONGEST_OUT: Duration = Duration::from_secs(4);

/// Weight of one result in the failure rate
const FAIL_GAIN: f64 = 0.2;

/// Time after which half of a failure rate or of a slowness is forgotten
const HALF_LIFE: f64 = 3.0;

/// Ratio to the usual time up to which an endpoint counts as normal
const NORMAL: f64 = 1.6;

/// How a request ended at an endpoint
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered; time from sending to the end of the answer
    Served(Duration),
    /// Answered with a failure of its own
    Failed,
    /// Not run, as the endpoint was full
    Shed,
    /// No connection, or it broke
    ConnectionFailed,
    /// Not run, as another endpoint has the address
    Misdirected,
    /// Given up by this host or by the caller
    Cancelled,
}

/// Load and health of one endpoint
#[derive(Clone, Debug, Default)]
pub struct State {
    running: VecDeque<Instant>,
    streak: u32,
    outs: u32,
    out_until: Option<Instant>,
    trial: bool,
    failing: f64,
    failed_at: Option<Instant>,
    pace: f64,
    paced_at: Option<Instant>,
    /// Requests that the endpoint reported last, and when
    pub reported_load: Option<(Instant, u32)>,
}

impl State {
    /// Requests of this host there
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Age of the oldest request there
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let oldest = self.running.front();
        oldest.map_or(Duration::ZERO, |begun| {
            now.saturating_duration_since(*begun)
        })
    }

    /// Whether new requests may go there
    pub fn is_available(&self, now: Instant) -> bool {
        match self.out_until {
            Some(until) => now >= until && (!self.trial || self.running.is_empty()),
            None => true,
        }
    }

    /// Whether it is left out for its failures
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// A request goes there
    pub fn start(&mut self, now: Instant) {
        if self.out_until.is_some() {
            self.trial = true;
        }
        self.running.push_back(now);
    }

    /// A request ended there
    pub fn finish(&mut self, now: Instant, begun: Instant, outcome: Outcome) {
        if let Some(at) = self.running.iter().position(|other| *other == begun) {
            self.running.remove(at);
        }
        let failed = match outcome {
            Outcome::Cancelled | Outcome::Misdirected => return,
            Outcome::Served(_) => {
                self.streak = 0;
                self.outs = 0;
                self.out_until = None;
                self.trial = false;
                0.0
            }
            Outcome::Failed | Outcome::Shed => 1.0,
            Outcome::ConnectionFailed => {
                self.streak += 1;
                if self.streak >= STREAK || self.trial {
                    self.eject(now);
                }
                1.0
            }
        };
        let rate = self.failure_rate(now);
        self.failing = rate + (failed - rate) * FAIL_GAIN;
        self.failed_at = Some(now);
    }

    /// Leave it out for a time that doubles
    pub fn eject(&mut self, now: Instant) {
        let time = FIRST_OUT.saturating_mul(1 << self.outs.min(8));
        self.out_until = Some(now + time.min(LONGEST_OUT));
        self.outs += 1;
        self.trial = false;
    }

    /// Whether its health may be asked now; counts as asked
    pub fn begin_probe(&mut self, now: Instant) -> bool {
        match self.out_until {
            Some(until) if now >= until && !self.trial => {
                self.trial = true;
                true
            }
            _ => false,
        }
    }

    /// Result of a health check
    pub fn record_probe(&mut self, now: Instant, good: bool) {
        if good {
            self.out_until = Some(now);
            self.trial = false;
            self.streak = 0;
        } else {
            self.eject(now);
        }
    }

    /// Part of the requests that fail there
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failing * faded(now, self.failed_at)
    }

    /// Learn the ratio of a request's time to the usual one
    pub fn record_slowdown(&mut self, now: Instant, ratio: f64) {
        let current = self.pace * faded(now, self.paced_at);
        let extra = (ratio.min(20.0) - 1.0).max(0.0);
        self.pace = current + (extra - current) * FAIL_GAIN;
        self.paced_at = Some(now);
    }

    /// Ratio of its time to the usual one, 1 unless it is markedly slow
    pub fn slowdown(&self, now: Instant) -> f64 {
        let pace = 1.0 + self.pace * faded(now, self.paced_at);
        if pace < NORMAL { 1.0 } else { pace }
    }
}

fn faded(now: Instant, since: Option<Instant>) -> f64 {
    let Some(since) = since else {
        return 0.0;
    };
    let age = now.saturating_duration_since(since).as_secs_f64();
    0.5_f64.powf(age / HALF_LIFE)
}
