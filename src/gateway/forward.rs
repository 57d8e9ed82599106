//! A request's way through this host: route, region, endpoint, and what follows a failure.

use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::exchange::{self, Failure, Limits, Place, Relay};
use super::reply::{Refusal, Reply};
use super::upload::Upload;
use super::{Gateway, record};
use crate::catalog::Endpoint;
use crate::id::{EndpointId, RegionId, ServiceId};
use crate::message::{Request, timeout};
use crate::placement::{Choice, Request as EndpointRequest, ServiceTime};
use crate::platform::header;
use crate::policy::{Execution, Route};
use crate::quarantine;

/// Time that a request may take where neither caller nor route says
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Attempts that were certainly not run, beyond those that the route allows to run
const EXTRA: u32 = 2;

/// Extra time of an endpoint in another region, in seconds; about a round trip between regions
const FAR: f64 = 0.025;

/// Times the longest usual work after which an idempotent request is tried elsewhere
const PATIENCE: u32 = 4;

/// Least time before an idempotent request is tried elsewhere
const LEAST_PATIENCE: Duration = Duration::from_millis(1000);

/// Bytes of a body that count for recognizing a request that comes again
const KEY_BYTES: usize = 4 << 10;

/// One request on its way
struct Journey<'a> {
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    route: Rc<Route>,
    service: ServiceId,
    key: quarantine::Key,
    object: Option<u64>,
    home: RegionId,
    region: Option<RegionId>,
    arrived: Instant,
    until: Instant,
    tried: Vec<EndpointId>,
    ran: u32,
    not_run: u32,
    may_have_run: bool,
    expected: Option<(usize, Duration, Duration)>,
}

/// Serve one request
pub async fn forward(
    gateway: &Rc<Gateway>,
    request: &Request,
    upload: &mut Upload<'_>,
    arrived: Instant,
) -> Reply {
    let mut journey = match plan(gateway, request, upload, arrived) {
        Ok(journey) => journey,
        Err(refusal) => {
            tell(gateway, request, &refusal, arrived);
            return Reply::Own(refusal);
        }
    };
    journey.run(upload).await
}

/// Record a request that was refused before a region or an endpoint was looked for
fn tell(gateway: &Gateway, request: &Request, refusal: &Refusal, arrived: Instant) {
    let took = arrived.elapsed();
    gateway.metrics.request("-", refusal.status, took);
    gateway.recorder.request(&record::Line {
        id: header::attempt(&request.headers).unwrap_or("-"),
        route: "-",
        service: "-",
        status: refusal.status,
        outcome: refusal.reason,
        took,
        tried: &[],
        region: "-",
        expected: None,
        left: Duration::ZERO,
        version: gateway.version(),
        dark: gateway.mirror.borrow().is_dark(),
    });
}

fn plan<'a>(
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    upload: &Upload<'_>,
    arrived: Instant,
) -> Result<Journey<'a>, Refusal> {
    if gateway.closing.get() {
        return Err(Refusal::not_run("host is stopping", Duration::ZERO));
    }
    let Some(document) = gateway.document() else {
        return Err(Refusal::not_run(
            "no configuration",
            Duration::from_millis(500),
        ));
    };
    let host = request.headers.get("host").unwrap_or_default();
    let Some(route) = document.route(host, request.path()) else {
        // While the store is dark the route may be one that this host has not heard of.
        return Err(match gateway.mirror.borrow().is_dark() {
            true => Refusal::not_run("no route known", Duration::from_millis(500)),
            false => Refusal::new(404, "no route"),
        });
    };
    let service = route.next_service().cloned();
    let service = service.ok_or_else(|| Refusal::new(404, "route without a service"))?;
    let body: &[u8] = match upload {
        Upload::Whole(body) => &body[..body.len().min(KEY_BYTES)],
        Upload::Stream { .. } => &[],
    };
    let caller = header::caller(&request.headers);
    let key = quarantine::key(&service, caller, &request.target, body);
    if let Some(left) = gateway.quarantine.borrow_mut().retry_after(arrived, key) {
        return Err(Refusal::quarantined(left));
    }
    let waits = header::deadline(&request.headers);
    let time = waits.or(route.timeout).unwrap_or(DEFAULT_TIME);
    let deadline = arrived + time;
    let until = route
        .timeout
        .map_or(deadline, |limit| deadline.min(arrived + limit));
    let object = header::object(&request.headers).filter(|_| route.session_affinity);
    gateway.count_request(arrived, &service);
    Ok(Journey {
        gateway,
        request,
        object,
        route,
        service,
        key,
        home: gateway.settings.borrow().region.clone(),
        region: None,
        arrived,
        until,
        tried: Vec::new(),
        ran: 0,
        not_run: 0,
        may_have_run: false,
        expected: None,
    })
}

impl Journey<'_> {
    fn is_idempotent(&self) -> bool {
        self.route.execution == Execution::Idempotent
    }

    async fn run(&mut self, upload: &mut Upload<'_>) -> Reply {
        let mut last = None;
        loop {
            let now = Instant::now();
            if now >= self.until {
                return self.give_up(last.unwrap_or(Failure::Late));
            }
            let Some((endpoint, choice)) = self.choose(now) else {
                return match last {
                    Some(failure) => self.give_up(failure),
                    None => self.refuse("no endpoint", Duration::from_millis(400)),
                };
            };
            if self.tried.is_empty() && now + choice.expected_time >= self.until {
                return self.refuse("no room", choice.expected_wait);
            }
            let failure = match self.attempt(upload, endpoint, &choice).await {
                Ok(relay) => match self.judge(relay, upload) {
                    Ok(reply) => return reply,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if !self.may_go_on(&failure, upload) {
                return self.give_up(failure);
            }
            last = Some(failure);
        }
    }

    /// Best endpoint: in the region that is picked for the first attempt, later there or elsewhere
    fn choose(&mut self, now: Instant) -> Option<(Endpoint, Choice)> {
        let mut found = self.candidates(now);
        let picked = match &self.region {
            Some(region) if found.contains_key(region) => Some(region.clone()),
            Some(_) => None,
            None => self
                .gateway
                .pick_region(now, &self.service, self.object, |region| {
                    let choice: &Choice = found.get(region)?;
                    let far = if *region == self.home { 0.0 } else { FAR };
                    Some(choice.expected_time.as_secs_f64() + far)
                }),
        };
        let nearest = || {
            let best = found.iter().min_by_key(|(_, choice)| choice.expected_time);
            best.map(|(region, _)| region.clone())
        };
        let region = picked.or_else(nearest)?;
        let choice = found.remove(&region)?;
        self.region = Some(region);
        self.expected = Some((choice.rank, choice.expected_wait, choice.expected_time));
        let catalog = self.gateway.catalog.borrow();
        let endpoint = catalog.get(&choice.id)?.clone();
        if catalog.is_cold(now, &choice.id) {
            self.gateway.warm(now, &endpoint);
        }
        Some((endpoint, choice))
    }

    /// Best endpoint of each region that the route allows
    fn candidates(&self, now: Instant) -> BTreeMap<RegionId, Choice> {
        let gateway = self.gateway;
        let catalog = gateway.catalog.borrow();
        let pool = gateway.pool.borrow();
        let avoid = gateway.quarantine.borrow().excluded_endpoints(self.key);
        let avoid: Vec<EndpointId> = avoid
            .into_iter()
            .chain(self.tried.iter().cloned())
            .collect();
        let allowed = &self.route.allowed_regions;
        let mut regions: BTreeMap<&RegionId, Vec<&Endpoint>> = BTreeMap::new();
        for end in catalog.usable(&self.service) {
            let may = allowed.is_empty() || allowed.contains(&end.region);
            if may && (!catalog.is_cold(now, &end.id) || gateway.may_warm(now, end)) {
                regions.entry(&end.region).or_default().push(end);
            }
        }
        let chosen = regions.into_iter().filter_map(|(region, ends)| {
            let ask = EndpointRequest {
                route: &self.route.name,
                region,
                affinity_key: self.object,
                affinity_set_size: gateway.homes(&self.service, region, ends.len()),
                excluded: &avoid,
            };
            let choice = pool.choose(now, &ask, ends.into_iter())?;
            Some((region.clone(), choice))
        });
        chosen.collect()
    }

    /// Usual time of this route's requests in the region that was picked
    fn work(&self, read: impl Fn(&ServiceTime) -> f64) -> Duration {
        let pool = self.gateway.pool.borrow();
        let region = self.region.as_ref().unwrap_or(&self.home);
        let default = ServiceTime::default();
        let work = pool
            .service_time(&self.route.name, region)
            .unwrap_or(&default);
        Duration::from_secs_f64(read(work))
    }

    async fn attempt(
        &mut self,
        upload: &mut Upload<'_>,
        endpoint: Endpoint,
        choice: &Choice,
    ) -> Result<Relay, Failure> {
        let id = endpoint.id.clone();
        self.tried.push(id.clone());
        let patience =
            (choice.expected_time + self.work(ServiceTime::cold) * PATIENCE).max(LEAST_PATIENCE);
        let limits = Limits {
            until: self.until,
            idempotent: self.is_idempotent(),
        };
        let rank = self.object.map(|_| choice.rank);
        let place = Place::new(self.gateway, endpoint, self.route.name.clone(), rank);
        self.gateway
            .quarantine
            .borrow_mut()
            .record_start(self.key, &id);
        let whole = upload.is_whole();
        let result = {
            let mut running = pin!(exchange::run(
                self.gateway,
                place,
                self.request,
                upload,
                limits
            ));
            match timeout(Instant::now() + patience, running.as_mut()).await {
                Some(result) => result,
                // Nobody is better off if it is given up here without a place to go to.
                None if whole && self.may_leave(patience) => Err(Failure::Left),
                None => running.await,
            }
        };
        self.gateway
            .quarantine
            .borrow_mut()
            .record_end(self.key, &id);
        match &result {
            Ok(_) => self.ran += 1,
            Err(failure) if failure.is_not_run() => self.not_run += 1,
            Err(failure) => {
                self.ran += 1;
                self.may_have_run = true;
                if matches!(failure, Failure::Broken(_)) {
                    let mut list = self.gateway.quarantine.borrow_mut();
                    list.record_crash(Instant::now(), self.key, &id);
                }
            }
        }
        result
    }

    /// Whether an attempt that takes long is given up for another; takes from the retry budget
    fn may_leave(&self, patience: Duration) -> bool {
        let now = Instant::now();
        let again = self.is_idempotent() && self.ran + 1 < self.route.max_attempts;
        let time = now + patience / 2 < self.until;
        if !again || !time || self.gateway.is_stopping() {
            return false;
        }
        !self.candidates(now).is_empty() && self.gateway.allow_retry(now, &self.service)
    }

    /// Whether an answer is passed on; a failure of the endpoint may be tried elsewhere
    fn judge(&mut self, relay: Relay, upload: &Upload<'_>) -> Result<Reply, Failure> {
        let status = relay.head.status;
        if status < 500 || status == 501 {
            self.gateway
                .quarantine
                .borrow_mut()
                .record_success(self.key);
        }
        if status >= 500 && self.is_idempotent() && relay.rest.is_none() {
            let failure = Failure::Broken(format!("status {status}"));
            if self.may_go_on(&failure, upload) {
                return Err(failure);
            }
        }
        // These statuses would promise that the request did not run, which is not known.
        let promises = matches!(status, 408 | 421 | 429 | 503);
        if promises && !self.is_idempotent() {
            self.may_have_run = true;
            return Ok(self.give_up(Failure::Broken(format!("status {status}"))));
        }
        self.finish("served", status);
        Ok(Reply::Relayed(Box::new(relay)))
    }

    /// Whether another endpoint may be asked after a failure; takes from the retry budget
    fn may_go_on(&mut self, failure: &Failure, upload: &Upload<'_>) -> bool {
        if matches!(failure, Failure::Caller(_)) || !upload.is_whole() {
            return false;
        }
        if self.not_run > EXTRA || self.ran >= self.route.max_attempts {
            return false;
        }
        if !failure.is_not_run() && !self.is_idempotent() {
            return false;
        }
        let now = Instant::now();
        if now >= self.until {
            return false;
        }
        if let Some(left) = self
            .gateway
            .quarantine
            .borrow_mut()
            .retry_after(now, self.key)
        {
            log::debug!("quarantined for {left:?}");
            return false;
        }
        // What was never sent reaches no endpoint, so it does not count; for what was left it was
        // counted then.
        if matches!(failure, Failure::NotSent(_) | Failure::Left) {
            return true;
        }
        self.gateway.allow_retry(now, &self.service)
    }

    fn give_up(&mut self, failure: Failure) -> Reply {
        let may_have_run = self.may_have_run || matches!(failure, Failure::Late if self.ran > 0);
        if !may_have_run || (self.is_idempotent() && failure.is_not_run()) {
            let back = self.work(ServiceTime::mean);
            return self.refuse("endpoints did not run it", back);
        }
        let status = match failure {
            Failure::Late | Failure::Left => 504,
            _ => 502,
        };
        self.finish(&failure.to_string(), status);
        Reply::Own(Refusal::new(status, "unknown whether it ran"))
    }

    fn refuse(&mut self, reason: &'static str, wait: Duration) -> Reply {
        self.finish(reason, 503);
        Reply::Own(Refusal::not_run(reason, wait))
    }

    fn finish(&self, outcome: &str, status: u16) {
        let took = self.arrived.elapsed();
        self.gateway.metrics.request(&self.route.name, status, took);
        self.gateway.recorder.request(&record::Line {
            id: header::attempt(&self.request.headers).unwrap_or("-"),
            route: &self.route.name,
            service: &self.service,
            status,
            outcome,
            took,
            tried: &self.tried,
            region: self.region.as_deref().unwrap_or("-"),
            expected: self.expected,
            left: self.until.saturating_duration_since(Instant::now()),
            version: self.gateway.version(),
            dark: self.gateway.mirror.borrow().is_dark(),
        });
    }
}
