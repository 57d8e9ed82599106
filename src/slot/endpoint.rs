//! State of one endpoint as its owner sees it, and the slots that it may use now.

use std::time::{Duration, Instant};

use super::{Load, Outcome};
use crate::config::Endpoint;

/// Time over which a cold endpoint comes to its full slots
pub const WARM_TIME: Duration = Duration::from_secs(10);

/// Whole answers after which a cold endpoint counts as warm
pub const WARM_ANSWERS: u32 = 100;

/// Time without requests after which an endpoint counts as cold
pub const IDLE: Duration = Duration::from_secs(60);

/// Breaks in a row that eject an endpoint
pub const BREAKS: u32 = 3;

/// Time-outs and cancellations in a row that eject an endpoint
pub const SILENCES: u32 = 5;

/// First time that an endpoint stays ejected
pub const EJECT: Duration = Duration::from_secs(2);

/// Longest time that an endpoint stays ejected
pub const EJECT_MAX: Duration = Duration::from_secs(60);

/// Time that an endpoint's word that it leaves holds without a new one
pub const LEAVE: Duration = Duration::from_secs(60);

/// Time that a load report holds
pub const REPORT: Duration = Duration::from_secs(2);

/// Time over which the own busy slots are compared with a lagging report
pub const LAG: Duration = Duration::from_secs(1);

/// Equal reports in a row, while the own count moved, that show a report to be frozen
pub const FROZEN: u32 = 8;

/// Time after which one slot more is tried at an endpoint that shed a request
pub const SHED: Duration = Duration::from_secs(1);

/// Time that an upstream may take to notice a closed connection
pub const LINGER: Duration = Duration::from_millis(20);

/// Part of the slots that a new owner uses while the former one may still run requests
pub const TAKEOVER: f64 = 0.3;

/// One endpoint
#[derive(Debug)]
pub struct State {
    pub endpoint: Endpoint,
    pub removed: bool,
    pub used: Instant,
    /// Until when another host may have used it
    pub shared: Option<Instant>,
    busy: u32,
    linger: Vec<Instant>,
    cold: Option<Instant>,
    answers: u32,
    breaks: u32,
    silences: u32,
    ejections: u32,
    ejected: Option<Instant>,
    leaving: Option<Instant>,
    ceiling: Option<(Instant, u32)>,
    peak: (Instant, u32, u32),
    report: Option<Report>,
}

#[derive(Debug)]
struct Report {
    at: Instant,
    load: Load,
    own: u32,
    same: u32,
}

impl State {
    pub fn new(now: Instant, endpoint: Endpoint, cold: bool) -> Self {
        Self {
            endpoint,
            removed: false,
            used: now,
            shared: None,
            busy: 0,
            linger: Vec::new(),
            cold: cold.then_some(now),
            answers: 0,
            breaks: 0,
            silences: 0,
            ejections: 0,
            ejected: None,
            leaving: None,
            ceiling: None,
            peak: (now, 0, 0),
            report: None,
        }
    }

    /// Take a new configuration of the endpoint
    pub fn configure(&mut self, now: Instant, endpoint: &Endpoint) {
        let back = self.removed || (self.endpoint.draining && !endpoint.draining);
        let moved = self.endpoint.address != endpoint.address;
        if back || moved {
            self.chill(now);
            self.leaving = None;
        }
        if moved {
            self.ejected = None;
            self.breaks = 0;
            self.silences = 0;
            self.report = None;
        }
        self.removed = false;
        self.endpoint = endpoint.clone();
    }

    /// Requests that may be running at the endpoint for this owner
    pub fn busy(&self) -> u32 {
        self.busy + u32::try_from(self.linger.len()).unwrap_or(u32::MAX)
    }

    /// Slots that may be used now; never above the configured ones
    pub fn allowed(&self, now: Instant, takeover: bool) -> u32 {
        let slots = self.endpoint.slots;
        if self.removed || self.endpoint.draining || self.leaving.is_some_and(|t| now < t) {
            return 0;
        }
        if let Some(until) = self.ejected {
            return if now < until { 0 } else { slots.min(1) };
        }
        let mut allowed = slots.min(self.warm(now));
        if let Some((at, ceiling)) = self.ceiling {
            let steps = now.saturating_duration_since(at).as_millis() / SHED.as_millis();
            let steps = u32::try_from(steps).unwrap_or(u32::MAX);
            allowed = allowed.min(ceiling.saturating_add(steps));
        }
        let floor = if takeover { 0 } else { 1 };
        if takeover {
            allowed = allowed.min((f64::from(slots) * TAKEOVER).ceil() as u32);
        }
        if let Some(free) = self.reported(now) {
            allowed = allowed.min(free.max(floor));
        }
        allowed
    }

    /// `ready`, or why it gets less work
    pub fn state(&self, now: Instant) -> &'static str {
        if self.removed {
            return "removed";
        }
        if self.endpoint.draining {
            return "draining";
        }
        if self.leaving.is_some_and(|until| now < until) {
            return "leaving";
        }
        match self.ejected {
            Some(until) if now < until => "ejected",
            Some(_) => "on trial",
            None if self.allowed(now, false) < self.endpoint.slots => "held back",
            None => "ready",
        }
    }

    /// Age of the newest load report
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(now.saturating_duration_since(report.at))
    }

    /// Order in which endpoints are chosen, lowest first
    pub fn rank(&self, allowed: u32) -> (u64, Instant) {
        let part = u64::from(self.busy() + 1) * 1000 / u64::from(allowed.max(1));
        (part, self.used)
    }

    /// When it may be used again, if it is ejected or leaving
    pub fn back(&self) -> Option<Instant> {
        if self.removed || self.endpoint.draining {
            return None;
        }
        self.leaving.max(self.ejected)
    }

    /// Whether a probe is wanted before it gets work again
    pub fn probe(&self, now: Instant) -> bool {
        !self.removed && self.ejected.is_some_and(|until| until <= now)
    }

    pub fn start(&mut self, now: Instant, takeover: bool) {
        if self.idle(now) {
            self.chill(now);
        }
        self.busy += 1;
        self.used = now;
        self.roll(now);
        self.peak.2 = self.peak.2.max(self.busy());
        let allowed = self.allowed(now, takeover);
        assert!(allowed <= self.endpoint.slots, "more allowed than slots");
        assert!(self.busy() <= allowed, "more busy than allowed");
    }

    pub fn finish(&mut self, now: Instant, verdict: Outcome) {
        assert!(self.busy > 0, "slot given back twice");
        let before = self.busy();
        self.busy -= 1;
        self.used = now;
        match verdict {
            Outcome::Served(_) => self.good(now),
            Outcome::Shed => self.ceiling = Some((now, before.saturating_sub(1).max(1))),
            Outcome::Leaving => self.leave(now),
            Outcome::ConnectionFailed => self.broken(now),
            Outcome::Cancelled => {
                self.linger.push(now + LINGER);
                self.silences += 1;
                if self.silences >= SILENCES {
                    self.eject(now);
                }
            }
        }
    }

    /// Free the slots of cancelled requests that have surely ended
    pub fn settle(&mut self, now: Instant) {
        self.linger.retain(|until| now < *until);
    }

    /// When the first slot of a cancelled request is freed
    pub fn lingers(&self) -> Option<Instant> {
        self.linger.iter().min().copied()
    }

    /// The endpoint does not answer
    pub fn broken(&mut self, now: Instant) {
        self.breaks += 1;
        if self.breaks >= BREAKS {
            self.eject(now);
        }
    }

    /// The endpoint said that it is leaving
    pub fn leave(&mut self, now: Instant) {
        self.leaving = Some(now + LEAVE);
        self.chill(now);
    }

    pub fn report(&mut self, now: Instant, load: Load) {
        self.roll(now);
        let own = self.busy();
        let same = match &self.report {
            Some(last) if last.load != load => 0,
            Some(last) if last.own != own => last.same.saturating_add(1),
            Some(last) => last.same,
            None => 0,
        };
        self.report = Some(Report {
            at: now,
            load,
            own,
            same,
        });
        if self.probe(now) {
            self.restore(now);
        }
    }

    fn good(&mut self, now: Instant) {
        self.answers = self.answers.saturating_add(1);
        self.silences = 0;
        if self.probe(now) {
            self.restore(now);
        }
        if self.ejected.is_some() {
            return;
        }
        self.breaks = 0;
        if self.answers >= WARM_ANSWERS {
            self.ejections = 0;
        }
    }

    fn eject(&mut self, now: Instant) {
        let times = 1 << self.ejections.min(10);
        self.ejections += 1;
        self.ejected = Some(now + (EJECT * times).min(EJECT_MAX));
        self.silences = 0;
    }

    /// Back from ejection; a single break ejects it again
    fn restore(&mut self, now: Instant) {
        self.ejected = None;
        self.breaks = BREAKS - 1;
        self.chill(now);
    }

    fn chill(&mut self, now: Instant) {
        self.cold = Some(now);
        self.answers = 0;
    }

    fn idle(&self, now: Instant) -> bool {
        let used = self.shared.map_or(self.used, |until| until.max(self.used));
        self.busy() == 0 && now.saturating_duration_since(used) >= IDLE
    }

    fn warm(&self, now: Instant) -> u32 {
        let slots = self.endpoint.slots;
        if self.idle(now) {
            return slots.min(1);
        }
        let Some(cold) = self.cold else {
            return slots;
        };
        let time = now.saturating_duration_since(cold).as_secs_f64() / WARM_TIME.as_secs_f64();
        let answers = f64::from(self.answers) / f64::from(WARM_ANSWERS);
        let part = time.max(answers).min(1.0);
        ((f64::from(slots) * part) as u32).max(1).min(slots)
    }

    /// Slots that a fresh report leaves to this owner
    fn reported(&self, now: Instant) -> Option<u32> {
        let report = self.report.as_ref()?;
        let fresh = now.saturating_duration_since(report.at) < REPORT;
        if !fresh || report.same >= FROZEN {
            return None;
        }
        let (_, older, newer) = self.peaks(now);
        let own = older.max(newer).max(report.own);
        let others = report.load.running.saturating_sub(own);
        Some(report.load.slots.saturating_sub(others))
    }

    fn roll(&mut self, now: Instant) {
        self.peak = self.peaks(now);
    }

    /// Start of the present interval, and the most own requests in the one before and in it
    fn peaks(&self, now: Instant) -> (Instant, u32, u32) {
        let (since, older, newer) = self.peak;
        let age = now.saturating_duration_since(since);
        if age >= LAG * 2 {
            (now, self.busy(), self.busy())
        } else if age >= LAG {
            (now, newer, self.busy())
        } else {
            (since, older, newer.max(self.busy()))
        }
    }
}
