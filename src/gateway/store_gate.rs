//! Limits the calls that a host makes to a store that fails.
//!
//! Load pattern: the store is down, or turns this host away, for seconds. All tasks that read or
//! write it would try again for themselves, and the store counts and prices each call. So one call
//! at a time tests whether it is back, and the others follow when it is.

use std::time::{Duration, Instant};

use super::Gateway;
use crate::platform::store::{Error, Kind};

/// Number of failures in a row that close the gate; a single one may be a connection that was reset
const CLOSE_AFTER_FAILURES: u32 = 2;

/// Shortest and longest time for which the gate stays closed; a change must be in force a few seconds
/// after the store is back
const CLOSED_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1000));

/// Time after which a task looks again whether the store answers checks
const LOST_WAIT: Duration = Duration::from_millis(100);

/// Time that the one call has which tests the store
const TEST_TIME: Duration = Duration::from_millis(700);

/// Whether a host may call the store now
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreGate {
    failures: u32,
    closed_until: Option<Instant>,
}

impl StoreGate {
    /// Returns how long to wait before a call, zero to make it now
    pub fn enter(&mut self, now: Instant) -> Duration {
        if let Some(closed_until) = self.closed_until
            && now < closed_until
        {
            return closed_until - now;
        }
        if self.failures >= CLOSE_AFTER_FAILURES {
            self.closed_until = Some(now + TEST_TIME);
        }
        Duration::ZERO
    }

    /// Lets one call through although the last ones failed, as the store answers checks again
    pub fn reopen(&mut self) {
        self.closed_until = None;
    }

    /// Records a call that the store answered
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a call that failed; `jitter` from 0 to 1 spreads the next calls of many hosts
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < CLOSE_AFTER_FAILURES {
            return;
        }
        let doublings = (self.failures - CLOSE_AFTER_FAILURES).min(4);
        let (shortest, longest) = CLOSED_RANGE;
        let closed = (shortest * (1 << doublings)).min(longest);
        self.closed_until = Some(now + closed.mul_f64(0.5 + 0.5 * jitter));
    }
}

impl Gateway {
    /// Returns how long to wait before a call to the store, zero to make it now
    pub(super) fn enter_store(&self, now: Instant) -> Duration {
        if self.contact.get().is_lost() {
            return LOST_WAIT;
        }
        let mut gate = self.store_gate.get();
        let wait = gate.enter(now);
        self.store_gate.set(gate);
        wait
    }

    /// Records a call that the store answered
    pub(super) fn record_store_success(&self) {
        let mut gate = self.store_gate.get();
        gate.record_success();
        self.store_gate.set(gate);
        self.record_store_answer();
    }

    /// Records a check that the store answered, after which other calls may still fail
    pub(super) fn record_store_check(&self) {
        if self.contact.get().is_lost() {
            let mut gate = self.store_gate.get();
            gate.reopen();
            self.store_gate.set(gate);
            self.recorder.event("store-answers", &[]);
        }
        self.record_store_answer();
    }

    fn record_store_answer(&self) {
        let now = Instant::now();
        let mut contact = self.contact.get();
        contact.record_answer(now);
        self.contact.set(contact);
        let mut mirror = self.mirror.borrow_mut();
        mirror.confirm(now);
        if mirror.reads_store(now, Kind::Configuration) {
            let own = self.settings.borrow().host.clone();
            self.fleet.borrow_mut().record_store_reader(now, &own);
        }
    }

    /// Records a call that the store did not serve; other errors are answers
    pub(super) fn record_store_error(&self, now: Instant, error: &Error) {
        if !matches!(
            error,
            Error::Unreachable(_)
                | Error::Unresponsive(_)
                | Error::TimedOut(_)
                | Error::Rejected(_)
        ) {
            return;
        }
        let mut contact = self.contact.get();
        if contact.is_lost() {
            return;
        }
        contact.record_suspicion();
        self.contact.set(contact);
        // A full channel means that the store is about to be checked.
        let _ = self.store_suspected.0.try_send(());
        let mut gate = self.store_gate.get();
        gate.record_failure(now, fastrand::f64());
        self.store_gate.set(gate);
    }
}
