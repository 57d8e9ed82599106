//! Whether the store serves this host.
//!
//! A watch waits for seconds, so its silence does not tell a store without changes from one that
//! refuses this host. Small serializable reads, which cost the store a tenth of other reads and do
//! not count toward its rate, do.
//!
//! Load pattern: the store refuses most hosts. Each host that reads it, or is to, checks several
//! times a second. One that finds no copy to follow checks once at a random time, so that a large
//! region finds the host that can read the store without calling it all at once, and then rarely.

use std::time::{Duration, Instant};

/// Time without an answer after which a host that reads the store checks it
const READING_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which a host checks that is to read the store and has another source
const STANDBY_INTERVAL: Duration = Duration::from_millis(1000);

/// Time per host of a region over which its hosts spread their first checks
const FIRST_CHECK_SPREAD_PER_HOST: Duration = Duration::from_millis(25);

/// Share of the time in which a change must be in force that this spread may take. Hosts that the store
/// serves read it, so a shorter one calls it more often while new readers make their first lists.
const MAX_FIRST_CHECK_SHARE: f64 = 0.5;

/// Minimum and maximum time between further checks of such a host
const RARE_INTERVAL: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));

/// Minimum and maximum time between checks of a reader while the store does not answer
const LOST_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1000));

/// Time for which an answer shows that the store serves this host
const SERVED_TTL: Duration = Duration::from_millis(1500);

/// Why a host checks the store
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A call to it is under way
    Reading,
    /// It is one of the hosts of its region that are to read the store, but reads another host
    Standby,
    /// It has no source that serves it, since the given time
    NoSource(Instant),
    /// It has one, and does not read the store
    None,
}

/// Returns the time over which the hosts of a region spread their first checks
///
/// `apply_time` is the time in which a change must be in force at each of them.
pub fn first_check_spread(hosts: usize, apply_time: Duration) -> Duration {
    let max_spread = apply_time.mul_f64(MAX_FIRST_CHECK_SHARE);
    (FIRST_CHECK_SPREAD_PER_HOST * hosts as u32).min(max_spread)
}

/// What is known of the store's answers to this host
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    answered_at: Option<Instant>,
    /// Time of the last check that failed
    failed_at: Option<Instant>,
    /// Number of failed checks since the last answer
    failures: u32,
    /// Whether a call failed in a way that is to be checked at once
    is_suspect: bool,
}

impl Contact {
    /// Records an answer of the store
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self {
            answered_at: Some(now),
            ..Self::default()
        };
    }

    /// Records a check that failed; returns whether the store was not known to be lost before
    pub fn record_failed_check(&mut self, now: Instant) -> bool {
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
        self.is_suspect = false;
        self.failures == 1
    }

    /// Records a call that failed, so that the store is checked at once
    pub fn record_suspicion(&mut self) {
        self.is_suspect = self.failures == 0;
    }

    /// Returns whether the store did not answer the last check
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the store answered lately, and every call since
    pub fn is_served(&self, now: Instant) -> bool {
        let answered_at = self.answered_at.filter(|_| !self.is_lost());
        answered_at.is_some_and(|at| now < at + SERVED_TTL)
    }

    /// Returns when the store is to be checked next, `None` for not at all
    ///
    /// `spread` is that of first checks, `jitter` from 0 to 1 differs between hosts.
    pub fn next_check(
        &self,
        now: Instant,
        need: Need,
        spread: Duration,
        jitter: f64,
    ) -> Option<Instant> {
        let between = |(min, max): (Duration, Duration)| min + (max - min).mul_f64(jitter);
        let Some(failed_at) = self.failed_at else {
            let last = self.answered_at;
            let after = |interval| last.map_or(now, |at| at + interval);
            return match need {
                _ if self.is_suspect => Some(now),
                Need::Reading => Some(after(READING_INTERVAL)),
                Need::Standby => Some(after(STANDBY_INTERVAL)),
                Need::NoSource(since) => {
                    Some((since + spread.mul_f64(jitter)).max(after(READING_INTERVAL)))
                }
                Need::None => None,
            };
        };
        let interval = match need {
            Need::Reading | Need::Standby => {
                let doublings = self.failures.saturating_sub(1).min(4);
                let (min, max) = LOST_INTERVAL;
                (min * (1 << doublings))
                    .min(max)
                    .mul_f64(0.5 + 0.5 * jitter)
            }
            Need::NoSource(_) | Need::None => between(RARE_INTERVAL),
        };
        Some(failed_at + interval)
    }
}
