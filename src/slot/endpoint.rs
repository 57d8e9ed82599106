//! State of one endpoint, and the number of its slots that the owner may use now.

use std::time::{Duration, Instant};

use super::{Load, Outcome};
use crate::config::Endpoint;

/// Time after which slow start reaches all slots of an endpoint
pub const SLOW_START_DURATION: Duration = Duration::from_secs(10);

/// Number of responses that end the slow start early
pub const SLOW_START_RESPONSES: u32 = 100;

/// Time without requests after which an endpoint is cold and needs a slow start
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Consecutive connection failures that eject an endpoint
pub const EJECT_AFTER_FAILURES: u32 = 3;

/// Consecutive timeouts and cancellations that eject an endpoint
pub const EJECT_AFTER_TIMEOUTS: u32 = 5;

/// Duration of the first ejection, which doubles with each further one
pub const EJECT_BASE_DURATION: Duration = Duration::from_secs(2);

/// Longest duration of an ejection
pub const EJECT_MAX_DURATION: Duration = Duration::from_secs(60);

/// How long a leaving notice of an endpoint stays valid unless it is renewed
pub const LEAVING_TTL: Duration = Duration::from_secs(60);

/// How long a load report stays valid
pub const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);

/// Interval of the peaks of own busy slots that are compared with a load report, which may lag
pub const REPORT_LAG_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive equal reports, while the own count changed, after which reports are ignored
pub const MAX_STALE_REPORTS: u32 = 8;

/// Interval at which the limit of an endpoint that shed a request rises by one slot
pub const SHED_RECOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// How long an upstream may take to notice a closed connection
pub const CANCEL_GRACE_PERIOD: Duration = Duration::from_millis(20);

/// Fraction of the slots that a new owner uses while the former owner may still run requests
pub const TAKEOVER_SLOT_RATIO: f64 = 0.3;

/// State of one endpoint
#[derive(Debug)]
pub struct State {
    pub config: Endpoint,
    pub removed: bool,
    pub last_used: Instant,
    /// Until when another host may have used the endpoint
    pub shared_until: Option<Instant>,
    running: u32,
    /// When the slots of cancelled requests become free
    cancel_expiries: Vec<Instant>,
    slow_start_since: Option<Instant>,
    responses: u32,
    failures: u32,
    timeouts: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    leaving_until: Option<Instant>,
    /// Time of the last shed request and the slot limit set then
    shed_limit: Option<(Instant, u32)>,
    /// Start of the current interval, and the peaks of busy slots in the previous one and in it
    busy_peaks: (Instant, u32, u32),
    report: Option<Report>,
}

#[derive(Debug)]
struct Report {
    received_at: Instant,
    load: Load,
    own_busy: u32,
    repeats: u32,
}

impl State {
    pub fn new(now: Instant, config: Endpoint, cold: bool) -> Self {
        Self {
            config,
            removed: false,
            last_used: now,
            shared_until: None,
            running: 0,
            cancel_expiries: Vec::new(),
            slow_start_since: cold.then_some(now),
            responses: 0,
            failures: 0,
            timeouts: 0,
            ejections: 0,
            ejected_until: None,
            leaving_until: None,
            shed_limit: None,
            busy_peaks: (now, 0, 0),
            report: None,
        }
    }

    /// Applies a new configuration of the endpoint
    pub fn configure(&mut self, now: Instant, config: &Endpoint) {
        let restored = self.removed || (self.config.draining && !config.draining);
        let address_changed = self.config.address != config.address;
        if restored || address_changed {
            self.begin_slow_start(now);
            self.leaving_until = None;
        }
        if address_changed {
            self.ejected_until = None;
            self.failures = 0;
            self.timeouts = 0;
            self.report = None;
        }
        self.removed = false;
        self.config = config.clone();
    }

    /// Returns how many requests of this owner may be running at the endpoint
    pub fn busy(&self) -> u32 {
        self.running + u32::try_from(self.cancel_expiries.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many slots may be in use now, which never exceeds the configured number
    pub fn usable(&self, now: Instant, takeover: bool) -> u32 {
        let slots = self.config.slots;
        if self.removed || self.config.draining || self.leaving_until.is_some_and(|t| now < t) {
            return 0;
        }
        if let Some(until) = self.ejected_until {
            return if now < until { 0 } else { slots.min(1) };
        }
        let mut usable = slots.min(self.slow_start_limit(now));
        if let Some((shed_at, limit)) = self.shed_limit {
            let regained = now.saturating_duration_since(shed_at).as_millis()
                / SHED_RECOVERY_INTERVAL.as_millis();
            let regained = u32::try_from(regained).unwrap_or(u32::MAX);
            usable = usable.min(limit.saturating_add(regained));
        }
        let floor = if takeover { 0 } else { 1 };
        if takeover {
            usable = usable.min((f64::from(slots) * TAKEOVER_SLOT_RATIO).ceil() as u32);
        }
        if let Some(free) = self.reported_free(now) {
            usable = usable.min(free.max(floor));
        }
        usable
    }

    /// Returns `ready`, or why the endpoint gets fewer requests
    pub fn status(&self, now: Instant) -> &'static str {
        if self.removed {
            return "removed";
        }
        if self.config.draining {
            return "draining";
        }
        if self.leaving_until.is_some_and(|until| now < until) {
            return "leaving";
        }
        match self.ejected_until {
            Some(until) if now < until => "ejected",
            Some(_) => "on trial",
            None if self.usable(now, false) < self.config.slots => "held back",
            None => "ready",
        }
    }

    /// Returns the age of the newest load report
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(now.saturating_duration_since(report.received_at))
    }

    /// Returns the sort key by which endpoints are chosen, lowest first
    pub fn rank(&self, usable: u32) -> (u64, Instant) {
        let utilization = u64::from(self.busy() + 1) * 1000 / u64::from(usable.max(1));
        (utilization, self.last_used)
    }

    /// Returns when an ejected or leaving endpoint may be used again
    pub fn available_at(&self) -> Option<Instant> {
        if self.removed || self.config.draining {
            return None;
        }
        self.leaving_until.max(self.ejected_until)
    }

    /// Whether the ejection time has passed, so that a probe may restore the endpoint
    pub fn is_probe_due(&self, now: Instant) -> bool {
        !self.removed && self.ejected_until.is_some_and(|until| until <= now)
    }

    pub fn start(&mut self, now: Instant, takeover: bool) {
        if self.is_idle(now) {
            self.begin_slow_start(now);
        }
        self.running += 1;
        self.last_used = now;
        self.update_busy_peaks(now);
        self.busy_peaks.2 = self.busy_peaks.2.max(self.busy());
        let usable = self.usable(now, takeover);
        assert!(
            usable <= self.config.slots,
            "usable slots exceed the configured slots"
        );
        assert!(self.busy() <= usable, "busy slots exceed the usable slots");
    }

    pub fn finish(&mut self, now: Instant, outcome: Outcome) {
        assert!(self.running > 0, "slot released twice");
        let busy_before = self.busy();
        self.running -= 1;
        self.last_used = now;
        match outcome {
            Outcome::Served(_) => self.record_response(now),
            Outcome::Shed => self.shed_limit = Some((now, busy_before.saturating_sub(1).max(1))),
            Outcome::Leaving => self.mark_leaving(now),
            Outcome::ConnectionFailed => self.record_failure(now),
            Outcome::Cancelled => {
                self.cancel_expiries.push(now + CANCEL_GRACE_PERIOD);
                self.timeouts += 1;
                if self.timeouts >= EJECT_AFTER_TIMEOUTS {
                    self.eject(now);
                }
            }
        }
    }

    /// Frees the slots of cancelled requests whose grace period has passed
    pub fn expire_cancelled(&mut self, now: Instant) {
        self.cancel_expiries.retain(|until| now < *until);
    }

    /// Returns when the next slot of a cancelled request becomes free
    pub fn next_cancel_expiry(&self) -> Option<Instant> {
        self.cancel_expiries.iter().min().copied()
    }

    /// Records a failed connection or probe
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER_FAILURES {
            self.eject(now);
        }
    }

    /// Records that the endpoint announced its departure
    pub fn mark_leaving(&mut self, now: Instant) {
        self.leaving_until = Some(now + LEAVING_TTL);
        self.begin_slow_start(now);
    }

    pub fn record_load(&mut self, now: Instant, load: Load) {
        self.update_busy_peaks(now);
        let own_busy = self.busy();
        let repeats = match &self.report {
            Some(last) if last.load != load => 0,
            Some(last) if last.own_busy != own_busy => last.repeats.saturating_add(1),
            Some(last) => last.repeats,
            None => 0,
        };
        self.report = Some(Report {
            received_at: now,
            load,
            own_busy,
            repeats,
        });
        if self.is_probe_due(now) {
            self.restore(now);
        }
    }

    fn record_response(&mut self, now: Instant) {
        self.responses = self.responses.saturating_add(1);
        self.timeouts = 0;
        if self.is_probe_due(now) {
            self.restore(now);
        }
        if self.ejected_until.is_some() {
            return;
        }
        self.failures = 0;
        if self.responses >= SLOW_START_RESPONSES {
            self.ejections = 0;
        }
    }

    fn eject(&mut self, now: Instant) {
        let factor = 1 << self.ejections.min(10);
        self.ejections += 1;
        self.ejected_until = Some(now + (EJECT_BASE_DURATION * factor).min(EJECT_MAX_DURATION));
        self.timeouts = 0;
    }

    /// Ends the ejection; a single failure ejects the endpoint again
    fn restore(&mut self, now: Instant) {
        self.ejected_until = None;
        self.failures = EJECT_AFTER_FAILURES - 1;
        self.begin_slow_start(now);
    }

    fn begin_slow_start(&mut self, now: Instant) {
        self.slow_start_since = Some(now);
        self.responses = 0;
    }

    fn is_idle(&self, now: Instant) -> bool {
        let last_used = self
            .shared_until
            .map_or(self.last_used, |until| until.max(self.last_used));
        self.busy() == 0 && now.saturating_duration_since(last_used) >= IDLE_TIMEOUT
    }

    fn slow_start_limit(&self, now: Instant) -> u32 {
        let slots = self.config.slots;
        if self.is_idle(now) {
            return slots.min(1);
        }
        let Some(since) = self.slow_start_since else {
            return slots;
        };
        let by_time =
            now.saturating_duration_since(since).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        let by_responses = f64::from(self.responses) / f64::from(SLOW_START_RESPONSES);
        let progress = by_time.max(by_responses).min(1.0);
        ((f64::from(slots) * progress) as u32).max(1).min(slots)
    }

    /// Returns how many slots a valid load report leaves to this owner
    fn reported_free(&self, now: Instant) -> Option<u32> {
        let report = self.report.as_ref()?;
        let is_valid = now.saturating_duration_since(report.received_at) < LOAD_REPORT_TTL;
        if !is_valid || report.repeats >= MAX_STALE_REPORTS {
            return None;
        }
        let (_, previous, current) = self.busy_peaks_at(now);
        let own = previous.max(current).max(report.own_busy);
        let others = report.load.running.saturating_sub(own);
        Some(report.load.slots.saturating_sub(others))
    }

    fn update_busy_peaks(&mut self, now: Instant) {
        self.busy_peaks = self.busy_peaks_at(now);
    }

    /// Returns `busy_peaks` moved on to the interval that contains `now`
    fn busy_peaks_at(&self, now: Instant) -> (Instant, u32, u32) {
        let (since, previous, current) = self.busy_peaks;
        let age = now.saturating_duration_since(since);
        if age >= REPORT_LAG_INTERVAL * 2 {
            (now, self.busy(), self.busy())
        } else if age >= REPORT_LAG_INTERVAL {
            (now, current, self.busy())
        } else {
            (since, previous, current.max(self.busy()))
        }
    }
}
