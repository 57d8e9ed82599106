//! Dispatch of a request: choice of route, region and endpoint, and retries after failures.

use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::exchange::{self, EndpointAnswer, Failure, InFlight, Limits, Refused};
use super::limit::Permit;
use super::reply::{Refusal, Reply};
use super::upload::Upload;
use super::{Gateway, quarantine, record};
use crate::catalog::Endpoint;
use crate::id::{EndpointId, RegionId, ServiceId};
use crate::message::{Request, timeout};
use crate::placement::{Choice, Request as EndpointRequest, ServiceTime};
use crate::platform::header;
use crate::policy::{Execution, Route};
use crate::quarantine::Keys;
use crate::region::MISPLACED_KEY_COST_SECONDS;

mod refusal;

/// Timeout of a request if neither the caller nor the route states one
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason of the refusal of a request that would not end before this host does
const STOPPING: &str = "host is stopping";

/// Time after which callers that were refused as memory is short may retry
const MEMORY_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of attempts that certainly did not run, in addition to those that ran
const MAX_NOT_RUN_ATTEMPTS: u32 = 2;

/// Number of endpoints that a request asks in vain for a place within their limits, before it goes to
/// those without a limit
const MAX_PERMIT_DENIALS: u32 = 3;

/// Extra cost of an endpoint in another region, in seconds; about a round trip between regions
const REMOTE_REGION_SECONDS: f64 = 0.025;

/// Multiple of the usual cold duration after which an idempotent request is tried elsewhere
const SLOW_ATTEMPT_FACTOR: u32 = 4;

/// Minimum time before an idempotent request is tried elsewhere
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Request that is being dispatched
struct Dispatch<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    route: Rc<Route>,
    service: ServiceId,
    quarantine_keys: Keys,
    affinity_key: Option<u64>,
    home_region: RegionId,
    region: Option<RegionId>,
    arrived: Instant,
    deadline: Instant,
    /// Time after which the caller no longer waits, if it states one
    caller_deadline: Option<Instant>,
    tried_endpoints: Vec<EndpointId>,
    run_attempts: u32,
    not_run_attempts: u32,
    permit_denials: u32,
    /// Answers of endpoints that state that they did not run the request
    refusals: Vec<Refused>,
    may_have_run: bool,
    estimate: Option<(usize, Duration, Duration)>,
}

/// Serves one request
pub async fn forward(
    gateway: &Rc<Gateway>,
    request: &Request,
    upload: &mut Upload<'_>,
    arrived: Instant,
) -> Reply {
    let mut dispatch = match prepare(gateway, request, upload, arrived) {
        Ok(dispatch) => dispatch,
        Err(refusal) => {
            gateway.record_refusal(request, &refusal, arrived);
            return Reply::Local(refusal);
        }
    };
    dispatch.run(upload).await
}

fn prepare<'a>(
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    upload: &Upload<'_>,
    arrived: Instant,
) -> Result<Dispatch<'a>, Refusal> {
    header::check_request(&request.headers).map_err(|reason| Refusal::new(400, reason))?;
    if !gateway.memory.admits() {
        return Err(Refusal::not_run("memory is short", MEMORY_PAUSE));
    }
    let Some(configuration) = gateway.configuration() else {
        return Err(Refusal::not_run(
            "no configuration",
            Duration::from_millis(500),
        ));
    };
    let host = request.headers.get("host").unwrap_or_default();
    let Some(route) = configuration.route(host, request.path()) else {
        // While the store is unreachable, the route may exist in a newer configuration.
        return Err(match gateway.mirror.borrow().is_store_unreachable() {
            true => Refusal::not_run("no route known", Duration::from_millis(500)),
            false => Refusal::new(404, "no route"),
        });
    };
    let running = gateway.longest.borrow().running(&route.name);
    if !gateway.memory.admits_route(running) {
        return Err(Refusal::not_run("memory is short", MEMORY_PAUSE));
    }
    let service = route.next_service().cloned();
    let service = service.ok_or_else(|| Refusal::new(404, "route without a service"))?;
    let quarantine_keys = quarantine::keys(request, upload.prefix());
    if let Some(quarantined_for) = quarantine::retry_after(gateway, arrived, &quarantine_keys) {
        return Err(Refusal::quarantined(
            quarantine_keys.exact(),
            quarantined_for,
        ));
    }
    let caller_timeout = header::request_timeout(&request.headers);
    let time_limit = caller_timeout.or(route.timeout).unwrap_or(DEFAULT_TIMEOUT);
    let caller_deadline = arrived + time_limit;
    let deadline = route.timeout.map_or(caller_deadline, |limit| {
        caller_deadline.min(arrived + limit)
    });
    if !gateway.may_start(Instant::now(), &route.name, deadline) {
        return Err(Refusal::not_run(STOPPING, Duration::ZERO));
    }
    let affinity_key = header::affinity_key(&request.headers).filter(|_| route.session_affinity);
    gateway.count_request(arrived, &service);
    Ok(Dispatch {
        gateway,
        request,
        affinity_key,
        route,
        service,
        quarantine_keys,
        home_region: gateway.settings.borrow().region.clone(),
        region: None,
        arrived,
        deadline,
        caller_deadline: caller_timeout.map(|limit| arrived + limit),
        tried_endpoints: Vec::new(),
        run_attempts: 0,
        not_run_attempts: 0,
        permit_denials: 0,
        refusals: Vec::new(),
        may_have_run: false,
        estimate: None,
    })
}

impl Dispatch<'_> {
    fn is_idempotent(&self) -> bool {
        self.route.execution == Execution::Idempotent
    }

    async fn run(&mut self, upload: &mut Upload<'_>) -> Reply {
        let mut last_failure = None;
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                return self.give_up(last_failure.unwrap_or(Failure::TimedOut));
            }
            if !self.gateway.may_start(now, &self.route.name, self.deadline) {
                return match last_failure {
                    Some(failure) if self.may_have_run => self.give_up(failure),
                    _ => self.refuse(STOPPING, Duration::ZERO),
                };
            }
            let Some((endpoint, choice)) = self.choose_endpoint(now) else {
                return match last_failure {
                    Some(failure) => self.give_up(failure),
                    None => match self.shortest_pause(now) {
                        Some(pause) => self.refuse_paused(pause),
                        None => self.refuse("no endpoint", Duration::from_millis(400)),
                    },
                };
            };
            if self.tried_endpoints.is_empty() && now + choice.expected_time >= self.deadline {
                return self.refuse("no room", choice.expected_wait);
            }
            let Some(permit) = self.gateway.acquire_permit(&endpoint).await else {
                self.permit_denials += 1;
                continue;
            };
            let failure = match self.attempt(upload, endpoint, &choice, permit).await {
                Ok(answer) => match self.evaluate(answer, upload) {
                    Ok(reply) => return reply,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if !self.may_retry(&failure, upload) {
                return self.give_up(failure);
            }
            last_failure = Some(failure);
        }
    }

    /// Chooses the fastest endpoint of the selected region; after a failure possibly of another
    /// region
    fn choose_endpoint(&mut self, now: Instant) -> Option<(Endpoint, Choice)> {
        let mut choices = self.candidates(now);
        let misplaced_cost = self.misplaced_cost();
        let picked_region = match &self.region {
            Some(region) if choices.contains_key(region) => Some(region.clone()),
            Some(_) => None,
            None => self.gateway.pick_region(
                now,
                &self.service,
                self.affinity_key,
                misplaced_cost,
                |region| {
                    let choice: &Choice = choices.get(region)?;
                    let remote_cost = if *region == self.home_region {
                        0.0
                    } else {
                        REMOTE_REGION_SECONDS
                    };
                    Some(choice.expected_time.as_secs_f64() + remote_cost)
                },
            ),
        };
        let fastest_region = || {
            let best = choices
                .iter()
                .min_by_key(|(_, choice)| choice.expected_time);
            best.map(|(region, _)| region.clone())
        };
        let region = picked_region.or_else(fastest_region)?;
        let choice = choices.remove(&region)?;
        self.region = Some(region);
        self.estimate = Some((choice.rank, choice.expected_wait, choice.expected_time));
        let catalog = self.gateway.catalog.borrow();
        let endpoint = catalog.get(&choice.id)?.clone();
        if catalog.is_cold(now, &choice.id) {
            self.gateway.use_cold_token(now, &endpoint);
        }
        Some((endpoint, choice))
    }

    /// Returns the cost, in seconds, of a region that does not keep the affinity key: what a cached
    /// key saves
    fn misplaced_cost(&self) -> f64 {
        let pool = self.gateway.pool.borrow();
        let service_time = pool.service_time(&self.route.name, &self.home_region);
        let saved = service_time.map_or(0.0, |time| time.cold() - time.warm());
        saved.max(MISPLACED_KEY_COST_SECONDS)
    }

    /// Returns the best endpoint of each region that the route allows
    fn candidates(&self, now: Instant) -> BTreeMap<RegionId, Choice> {
        let gateway = self.gateway;
        let catalog = gateway.catalog.borrow();
        let pool = gateway.pool.borrow();
        let zone = gateway.settings.borrow().zone.clone();
        let excluded_runs = self
            .quarantine_keys
            .excluded_runs(&gateway.quarantine.borrow());
        let allowed = &self.route.allowed_regions;
        let mut regions: BTreeMap<&RegionId, Vec<&Endpoint>> = BTreeMap::new();
        for endpoint in catalog.usable(now, &self.service) {
            let is_allowed = allowed.is_empty() || allowed.contains(&endpoint.region);
            let is_excluded = !excluded_runs.is_empty() && excluded_runs.contains(&endpoint.run());
            if is_allowed
                && !is_excluded
                && self.fits_limit(now, endpoint)
                && (!catalog.is_cold(now, &endpoint.id) || gateway.may_use_cold(now, endpoint))
            {
                regions.entry(&endpoint.region).or_default().push(endpoint);
            }
        }
        let chosen = regions.into_iter().filter_map(|(region, endpoints)| {
            let endpoint_request = EndpointRequest {
                route: &self.route.name,
                region,
                zone: &zone,
                affinity_key: self.affinity_key,
                affinity_set_size: gateway.affinity_set_size(
                    &self.service,
                    region,
                    endpoints.len(),
                ),
                excluded: &self.tried_endpoints,
            };
            let choice = pool.choose(now, &endpoint_request, endpoints.into_iter())?;
            Some((region.clone(), choice))
        });
        chosen.collect()
    }

    /// Returns whether an endpoint may have room within its limit, if it has one
    fn fits_limit(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let limits = &self.gateway.limits;
        limits.withheld_for(now, endpoint).is_none()
            && (self.permit_denials < MAX_PERMIT_DENIALS || limits.rate(endpoint).is_none())
    }

    /// Returns the usual duration of this route's requests in the selected region
    fn usual_duration(&self, select: impl Fn(&ServiceTime) -> f64) -> Duration {
        let pool = self.gateway.pool.borrow();
        let region = self.region.as_ref().unwrap_or(&self.home_region);
        let default = ServiceTime::default();
        let service_time = pool
            .service_time(&self.route.name, region)
            .unwrap_or(&default);
        Duration::from_secs_f64(select(service_time))
    }

    async fn attempt(
        &mut self,
        upload: &mut Upload<'_>,
        endpoint: Endpoint,
        choice: &Choice,
        permit: Permit,
    ) -> Result<EndpointAnswer, Failure> {
        let target = endpoint.clone();
        self.tried_endpoints.push(endpoint.id.clone());
        let attempt_timeout = (choice.expected_time
            + self.usual_duration(ServiceTime::cold) * SLOW_ATTEMPT_FACTOR)
            .max(MIN_ATTEMPT_TIMEOUT);
        let limits = Limits {
            deadline: self.deadline,
            caller_deadline: self.caller_deadline,
            idempotent: self.is_idempotent(),
        };
        let rank = self.affinity_key.map(|_| choice.rank);
        let in_flight = InFlight::new(
            self.gateway,
            endpoint,
            self.route.name.clone(),
            rank,
            permit,
        );
        let running = quarantine::Running::new(self.gateway, self.quarantine_keys, target.run());
        let can_resend = upload.can_resend();
        let result = {
            let mut attempt = pin!(exchange::run(
                self.gateway,
                in_flight,
                self.request,
                upload,
                limits
            ));
            match timeout(Instant::now() + attempt_timeout, attempt.as_mut()).await {
                Some(result) => result,
                // Waiting on is better if there is no other endpoint to try.
                None if can_resend && self.may_abandon(attempt_timeout) => Err(Failure::Abandoned),
                None => attempt.await,
            }
        };
        drop(running);
        match &result {
            Ok(_) => self.run_attempts += 1,
            Err(failure) if failure.is_not_run() => {
                self.not_run_attempts += 1;
                self.record_refused(failure);
            }
            Err(failure) => {
                self.run_attempts += 1;
                self.may_have_run = true;
                match failure {
                    Failure::Crashed(error) => self.record_crash(&target, error),
                    // Something in front of a crashed endpoint may still accept connections.
                    Failure::Broken(_) | Failure::TimedOut | Failure::Abandoned => {
                        self.record_silence(&target);
                    }
                    _ => {}
                }
            }
        }
        result
    }

    fn record_refused(&mut self, failure: &Failure) {
        if let Some(refused) = failure.refused() {
            self.gateway.metrics.count_refused(refused);
            self.refusals.push(refused);
        }
    }

    /// Records that an endpoint gave no answer to this request
    fn record_silence(&self, endpoint: &Endpoint) {
        // A crash closes no connection to a machine without power; the request may time out long
        // after the endpoint is back.
        if self.gateway.catalog.borrow().has_successor(endpoint) {
            return self.record_crash(endpoint, "another run has its address");
        }
        let keys = &self.quarantine_keys;
        quarantine::record_silence(self.gateway, keys, endpoint.run(), endpoint.address);
    }

    /// Records that an endpoint crashed with this request in flight
    fn record_crash(&self, endpoint: &Endpoint, error: &str) {
        let now = Instant::now();
        let run = endpoint.run();
        let crashes = quarantine::record_crash(self.gateway, now, &self.quarantine_keys, run);
        let refused_for = quarantine::retry_after(self.gateway, now, &self.quarantine_keys);
        let attempt_id = header::attempt_id(&self.request.headers).unwrap_or("-");
        let fields = [
            ("id", attempt_id.into()),
            (
                "key",
                record::format_key(self.quarantine_keys.exact()).into(),
            ),
            ("endpoint", endpoint.id.as_str().into()),
            ("error", error.into()),
            ("crashes", crashes.into()),
            ("refused_ms", refused_for.map(record::millis).into()),
        ];
        self.gateway.recorder.event("suspect", &fields);
    }

    /// Returns whether a slow attempt may be abandoned for another one; consumes retry budget
    fn may_abandon(&self, attempt_timeout: Duration) -> bool {
        let now = Instant::now();
        let may_rerun = self.is_idempotent() && self.run_attempts + 1 < self.route.max_attempts;
        let is_time_left = now + attempt_timeout / 2 < self.deadline;
        if !may_rerun || !is_time_left || self.gateway.is_stopping() {
            return false;
        }
        !self.candidates(now).is_empty() && self.gateway.allow_retry(now, &self.service)
    }

    /// Decides whether an answer is passed on or the request is retried at another endpoint
    fn evaluate(&mut self, answer: EndpointAnswer, upload: &Upload<'_>) -> Result<Reply, Failure> {
        let status = answer.head.status;
        // An endpoint may reject a request without running it.
        if status < 400 {
            quarantine::record_success(self.gateway, &self.quarantine_keys);
        }
        if status >= 500 && self.is_idempotent() && answer.remaining.is_none() {
            let failure = Failure::Broken(format!("status {status}"));
            if self.may_retry(&failure, upload) {
                return Err(failure);
            }
        }
        // These statuses mean that the request did not run, which is unknown here.
        let implies_not_run = matches!(status, 408 | 421 | 429 | 503);
        if implies_not_run && !self.is_idempotent() {
            self.may_have_run = true;
            return Ok(self.give_up(Failure::Broken(format!("status {status}"))));
        }
        self.record_result("served", status);
        Ok(Reply::Relayed(Box::new(answer)))
    }

    /// Returns whether another endpoint may be tried after a failure; consumes retry budget
    fn may_retry(&mut self, failure: &Failure, upload: &Upload<'_>) -> bool {
        if matches!(failure, Failure::CallerAborted(_)) || !upload.can_resend() {
            return false;
        }
        if self.not_run_attempts > MAX_NOT_RUN_ATTEMPTS
            || self.run_attempts >= self.route.max_attempts
        {
            return false;
        }
        if !failure.is_not_run() && !self.is_idempotent() {
            return false;
        }
        let now = Instant::now();
        if now >= self.deadline {
            return false;
        }
        if let Some(quarantined_for) =
            quarantine::retry_after(self.gateway, now, &self.quarantine_keys)
        {
            log::debug!("quarantined for {quarantined_for:?}");
            return false;
        }
        // A request that was never sent adds no load to an endpoint, so it needs no budget; an
        // abandoned attempt has already consumed it.
        if matches!(
            failure,
            Failure::NotSent(_) | Failure::Withheld | Failure::Abandoned
        ) {
            return true;
        }
        self.gateway.allow_retry(now, &self.service)
    }
}
