//! Answers to requests that no endpoint served, and the log entries of all requests.

use std::time::{Duration, Instant};

use super::super::exchange::Failure;
use super::super::record;
use super::super::reply::{Refusal, Reply};
use super::Dispatch;
use crate::placement::ServiceTime;
use crate::platform::header;

impl Dispatch<'_> {
    pub(super) fn give_up(&mut self, failure: Failure) -> Reply {
        let may_have_run =
            self.may_have_run || matches!(failure, Failure::TimedOut if self.run_attempts > 0);
        if !may_have_run || (self.is_idempotent() && failure.is_not_run()) {
            if let Some(pause) = self.shortest_pause(Instant::now()) {
                return self.refuse_paused(pause);
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

    /// Returns the shortest time for which an endpoint that could serve the request gets none, if that
    /// holds for all of them
    pub(super) fn shortest_pause(&self, now: Instant) -> Option<Duration> {
        let catalog = self.gateway.catalog.borrow();
        let pool = self.gateway.pool.borrow();
        let allowed = &self.route.allowed_regions;
        let pauses: Option<Vec<Duration>> = catalog
            .usable(now, &self.service)
            .filter(|endpoint| allowed.is_empty() || allowed.contains(&endpoint.region))
            .map(|endpoint| {
                let pause = pool.pause_remaining(now, &endpoint.id);
                pause.max(self.gateway.limits.withheld_for(now, endpoint))
            })
            .collect();
        pauses?.into_iter().min()
    }

    pub(super) fn refuse_paused(&mut self, pause: Duration) -> Reply {
        let reason = "endpoints take no requests now";
        self.record_result(reason, 503);
        Reply::Local(Refusal::not_before(reason, pause))
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
