//! Limits that endpoints name for all hosts together, and permits to send under them.
//!
//! Load pattern: an endpoint in need names in its answers how many requests a second it takes from all
//! hosts together, from a fraction of one to hundreds, while every host has requests for it. Equal
//! parts would be too small to use, and would add up to too much while lists of hosts differ. One host,
//! the owner, therefore hands out permits, each for one request and for a short time, to whoever has a
//! request. A host that becomes the owner waits until the permits of the previous one have ended.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::quarantine::EndpointRun;
use bucket::Bucket;

mod bucket;
#[cfg(test)]
mod tests;

/// Time from asking for a permit until it ends, on the clock of the host that asked
pub const PERMIT_TTL: Duration = Duration::from_millis(300);

/// Time for which a new owner hands out no permits: longer than those of the previous one last, and
/// than the news of the change takes
pub const HANDOVER_TIME: Duration = Duration::from_millis(1500);

/// Lowest rate, in requests a second; an endpoint that gets no request at all could not take its limit
/// back
pub const MIN_RATE: f64 = 0.1;

/// Rate from which on a limit is not enforced, in requests a second; no endpoint serves as many
pub const MAX_RATE: f64 = 100_000.0;

/// Longest time for which a host goes without a permit before it asks again; the lowest rate takes 10 s
/// and a hand-over
const MAX_WAIT: Duration = Duration::from_millis(11_500);

/// Part of a limit that refused callers of several hosts are told to return to; the hosts do not know each
/// other's, so some return together
const RETURN_RATIO: f64 = 0.8;

/// How long it is told that an endpoint has no limit any more
const WITHDRAWAL_TTL: Duration = Duration::from_secs(5);

/// How long limits of endpoints that are not listed, or that have none any more, are kept: a lapsed
/// entry may come back, and old news may arrive late
const UNUSED_TTL: Duration = Duration::from_secs(60);

/// What an answer of an endpoint stated about its limit
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests a second, `None` for no limit
    pub rate: Option<f64>,
    /// Time of the answer, on the clock of this host
    pub heard_at: Instant,
}

/// Decision of an owner
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// One request may be sent
    Granted,
    /// The limit is used up for this time
    Exhausted(Duration),
    /// Another host decides
    NotOwner,
    /// The endpoint has no limit
    Unlimited,
}

#[derive(Debug)]
struct Limit {
    statement: Statement,
    bucket: Bucket,
    /// Time until which this host got no permit
    withheld_until: Option<Instant>,
    /// Time at which the next refused caller may return, `None` if none was told a time
    next_return: Option<Instant>,
    /// Ends of permits that arrived after their requests had gone elsewhere
    spare_permits: Vec<Instant>,
    listed_at: Instant,
}

/// Limits of the endpoints, by run
#[derive(Debug, Default)]
pub struct Register {
    limits: BTreeMap<EndpointRun, Limit>,
    /// When endpoints without a known limit last stated that they have none; older news of a limit may
    /// still arrive
    unlimited_at: BTreeMap<EndpointRun, Instant>,
}

impl Register {
    /// Creates a register without limits
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no limit is known
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of endpoints with a limit
    pub fn count(&self) -> usize {
        let limits = self.limits.values();
        limits
            .filter(|limit| limit.statement.rate.is_some())
            .count()
    }

    /// Records a statement if it is later than the known one; returns whether the rate changed
    ///
    /// A rate that is negative or NaN states nothing.
    pub fn record(&mut self, now: Instant, run: EndpointRun, statement: Statement) -> bool {
        if statement
            .rate
            .is_some_and(|rate| rate < 0.0 || rate.is_nan())
        {
            return false;
        }
        let Some(limit) = self.limits.get_mut(&run) else {
            let unlimited_at = self.unlimited_at.get(&run).copied();
            let Some(rate) = statement.rate else {
                let latest = unlimited_at.max(Some(statement.heard_at));
                self.unlimited_at.extend(latest.map(|at| (run, at)));
                return false;
            };
            if unlimited_at > Some(statement.heard_at) {
                return false;
            }
            self.unlimited_at.remove(&run);
            let limit = Limit {
                statement,
                bucket: Bucket::new(now, rate),
                withheld_until: None,
                next_return: None,
                spare_permits: Vec::new(),
                listed_at: now,
            };
            self.limits.insert(run, limit);
            return true;
        };
        if statement.heard_at < limit.statement.heard_at {
            return false;
        }
        let has_changed = limit.statement.rate != statement.rate;
        limit.statement = statement;
        if has_changed {
            limit.withheld_until = None;
            limit.next_return = None;
            limit
                .bucket
                .set_rate(now, statement.rate.unwrap_or(MAX_RATE));
        }
        has_changed
    }

    /// Returns what is known of an endpoint's limit
    pub fn statement(&self, run: EndpointRun) -> Option<Statement> {
        if let Some(limit) = self.limits.get(&run) {
            return Some(limit.statement);
        }
        let heard_at = self.unlimited_at.get(&run).copied()?;
        Some(Statement {
            rate: None,
            heard_at,
        })
    }

    /// Returns whether an endpoint ever named a limit
    pub fn has_named(&self, run: EndpointRun) -> bool {
        self.limits.contains_key(&run)
    }

    /// Returns the requests a second that an endpoint takes, if it limits them
    pub fn rate(&self, run: EndpointRun) -> Option<f64> {
        let rate = self.limits.get(&run)?.statement.rate?;
        (rate < MAX_RATE).then_some(rate.max(MIN_RATE))
    }

    /// Returns for how long an endpoint gets no request from this host because of its limit
    pub fn withheld_for(&self, now: Instant, run: EndpointRun) -> Option<Duration> {
        let limit = self.limits.get(&run)?;
        limit.statement.rate?;
        let is_permitted = limit.spare_permits.iter().any(|end| now < *end);
        let remaining = limit.withheld_until?.saturating_duration_since(now);
        (!remaining.is_zero() && !is_permitted).then_some(remaining)
    }

    /// Records that this host gets no permit for an endpoint for some time
    pub fn withhold(&mut self, now: Instant, run: EndpointRun, wait: Duration) {
        if let Some(limit) = self.limits.get_mut(&run) {
            let until = now + wait.min(MAX_WAIT);
            limit.withheld_until = limit.withheld_until.max(Some(until));
        }
    }

    /// Returns after which time a caller that is refused now may return, if this host gets no permit for
    /// an endpoint now: later than those that were refused before
    pub fn return_wait(&self, now: Instant, run: EndpointRun) -> Option<Duration> {
        let withheld_for = self.withheld_for(now, run)?;
        let next_return = self.limits.get(&run)?.next_return;
        let behind = next_return.map(|at| at.saturating_duration_since(now));
        Some(withheld_for.max(behind.unwrap_or_default()))
    }

    /// Takes the place of a caller that returns after the time of [`Self::return_wait`]; returns its
    /// own time
    ///
    /// This host counts with one of `parts` equal parts of the limit. `phase`, drawn from 0 to 1, keeps
    /// the first callers of several hosts apart.
    pub fn take_return(
        &mut self,
        now: Instant,
        run: EndpointRun,
        parts: f64,
        phase: f64,
    ) -> Option<Duration> {
        let wait = self.return_wait(now, run)?;
        let is_alone = parts <= 1.0;
        let parts = if is_alone { 1.0 } else { parts / RETURN_RATIO };
        let interval = Duration::from_secs_f64(parts / self.rate(run)?);
        let limit = self.limits.get_mut(&run)?;
        let is_first = limit.next_return.is_none_or(|at| at < now + wait);
        let wait = match is_first && !is_alone {
            true => wait + interval.mul_f64(phase),
            false => wait,
        };
        limit.next_return = Some(now + wait + interval);
        Some(wait)
    }

    /// Keeps a permit whose request went elsewhere for the next one
    pub fn put_spare(&mut self, run: EndpointRun, ends_at: Instant) {
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.spare_permits.push(ends_at);
        }
    }

    /// Takes a kept permit that has not ended; returns its end
    pub fn take_spare(&mut self, now: Instant, run: EndpointRun) -> Option<Instant> {
        let limit = self.limits.get_mut(&run)?;
        limit.spare_permits.retain(|end| now < *end);
        limit.spare_permits.pop()
    }

    /// Decides as the owner whether a request may be sent; takes it from the limit if so
    ///
    /// `owner_since` is the time since which this host is the owner.
    pub fn decide(&mut self, now: Instant, run: EndpointRun, owner_since: Instant) -> Verdict {
        let Some(limit) = self.limits.get_mut(&run) else {
            return Verdict::Unlimited;
        };
        if limit.statement.rate.is_none_or(|rate| rate >= MAX_RATE) {
            return Verdict::Unlimited;
        }
        let ready_at = owner_since + HANDOVER_TIME;
        if now < ready_at {
            return Verdict::Exhausted(ready_at - now);
        }
        // What this host saved before another one was the owner may have been used by that one.
        limit.bucket.restart_at(ready_at);
        match limit.bucket.try_take(now) {
            Ok(()) => Verdict::Granted,
            Err(wait) => Verdict::Exhausted(wait),
        }
    }

    /// Returns what an owner tells the other hosts of the endpoints that it owns
    pub fn news(
        &self,
        now: Instant,
        is_owned: impl Fn(EndpointRun) -> bool,
    ) -> Vec<(EndpointRun, Statement)> {
        let statements = self
            .limits
            .iter()
            .map(|(run, limit)| (*run, limit.statement));
        let current = statements.filter(|(_, statement)| {
            statement.rate.is_some() || now < statement.heard_at + WITHDRAWAL_TTL
        });
        current.filter(|(run, _)| is_owned(*run)).collect()
    }

    /// Drops the limits of endpoints that are gone, and what is known of those that have had none for
    /// long
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(EndpointRun) -> bool) {
        self.unlimited_at
            .retain(|_, heard_at| now < *heard_at + UNUSED_TTL);
        self.limits.retain(|run, limit| {
            if is_listed(*run) {
                limit.listed_at = now;
            }
            let statement = limit.statement;
            let is_unused = statement.rate.is_none() && now > statement.heard_at + UNUSED_TTL;
            !is_unused && now < limit.listed_at + UNUSED_TTL
        });
    }
}
