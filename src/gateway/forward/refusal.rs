//! Answers to requests that no endpoint served, and the log entries of all requests.

use std::time::{Duration, Instant};

use super::super::exchange::Failure;
use super::super::record;
use super::super::reply::{Refusal, Reply};
use super::Dispatch;
use crate::catalog::Endpoint;
use crate::placement::ServiceTime;
use crate::platform::header;

impl Dispatch<'_> {
    pub(super) fn give_up(&mut self, failure: Failure) -> Reply {
        let may_have_run =
            self.may_have_run || matches!(failure, Failure::TimedOut if self.run_attempts > 0);
        if !may_have_run || (self.is_idempotent() && failure.is_not_run()) {
            if let Some(refusal) = self.not_before(Instant::now()) {
                return self.refuse_before(refusal);
            }
            let retry_after = self.usual_duration(ServiceTime::mean);
            return self.refuse("endpoints did not run it", retry_after);
        }
        let status = match failure {
            Failure::TimedOut | Failure::Abandoned => 504,
            _ => 502,
        };
        self.record_result(&failure.to_string(), status);
        Reply::Local(Refusal::new(status, "unknown whether it ran"))
    }

    /// Returns the refusal that tells when an endpoint takes requests again, if none that could serve the
    /// request takes any now
    pub(super) fn not_before(&self, now: Instant) -> Option<Refusal> {
        let reason = "endpoints take no requests now";
        let (endpoint, wait, is_limited) = self.first_return(now)?;
        if !is_limited {
            return Some(Refusal::not_before(reason, wait));
        }
        // Callers that have given up by then need no place.
        let is_in_time = now + wait < self.caller_deadline.unwrap_or(self.deadline);
        let place = is_in_time.then(|| self.gateway.take_return(now, &endpoint));
        Some(Refusal::at(reason, place.flatten().unwrap_or(wait)))
    }

    /// Returns the endpoint that takes requests again first, after which time, and whether that is a
    /// matter of its limit; `None` if any takes some now, or may do so before one whose pause is known
    fn first_return(&self, now: Instant) -> Option<(Endpoint, Duration, bool)> {
        let catalog = self.gateway.catalog.borrow();
        let pool = self.gateway.pool.borrow();
        let limits = &self.gateway.limits;
        let allowed = &self.route.allowed_regions;
        let mut first: Option<(&Endpoint, Duration, bool)> = None;
        let mut is_any_undecided = false;
        for endpoint in catalog.usable(now, &self.service) {
            if !allowed.is_empty() && !allowed.contains(&endpoint.region) {
                continue;
            }
            let pause = pool.pause_remaining(now, &endpoint.id);
            let place = limits.return_wait(now, endpoint);
            let Some(wait) = pause.max(place) else {
                if self.fits_limit(now, endpoint) {
                    return None;
                }
                is_any_undecided = true;
                continue;
            };
            if first.is_none_or(|(_, shortest, _)| wait < shortest) {
                first = Some((endpoint, wait, place >= pause));
            }
        }
        let first = first.filter(|(_, _, is_limited)| *is_limited || !is_any_undecided);
        first.map(|(endpoint, wait, is_limited)| (endpoint.clone(), wait, is_limited))
    }

    pub(super) fn refuse_before(&mut self, refusal: Refusal) -> Reply {
        self.record_result(refusal.reason, refusal.status);
        Reply::Local(refusal)
    }

    pub(super) fn refuse(&mut self, reason: &'static str, wait: Duration) -> Reply {
        self.record_result(reason, 503);
        Reply::Local(Refusal::not_run(reason, wait))
    }

    pub(super) fn record_result(&self, outcome: &str, status: u16) {
        let duration = self.arrived.elapsed();
        self.gateway
            .metrics
            .observe_request(&self.route.name, status, duration);
        self.gateway.recorder.request(&record::Request {
            attempt_id: header::attempt_id(&self.request.headers).unwrap_or("-"),
            key: Some(self.quarantine_keys.exact()),
            route: &self.route.name,
            service: &self.service,
            status,
            outcome,
            duration,
            tried_endpoints: &self.tried_endpoints,
            refusals: &self.refusals,
            region: self.region.as_deref().unwrap_or("-"),
            estimate: self.estimate,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            version: self.gateway.configuration_version(),
            store_unreachable: self.gateway.mirror.borrow().is_store_unreachable(),
            store_age: self.gateway.configuration_age(),
        });
    }
}
