//! Callers that cache lookups, present tickets and retry until they have a response.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use compact_str::CompactString;
use http_types::{Method, Request};
use serde::Deserialize;
use smol::Timer;

use super::Plan;
use super::audit::{CallerResult, LastOutcome};
use super::client::{Client, Failure, Response};
use super::report::{LatencyHistogram, LatencySummary, Report};
use super::schedule::{Arrival, Kind};
use crate::http;
use crate::id::{BlockId, ServiceId};
use crate::util;

/// Initial delay before a retry
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay before a retry without `Retry-After`
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout of one lookup request
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Query parameter that crashes an upstream stand-in
const CRASH_PARAMETER: &str = "&mark=crash-me";

/// Cached lookup
#[derive(Clone, Debug, Deserialize)]
struct Lookup {
    hosts: Vec<SocketAddr>,
    lifetime: u64,
    #[serde(default)]
    tickets: Vec<String>,
    #[serde(skip)]
    expires_at: Option<Instant>,
}

#[derive(Debug)]
struct State {
    lookups: BTreeMap<(ServiceId, BlockId), Lookup>,
    results: Vec<CallerResult>,
    report: Report,
    latencies: BTreeMap<ServiceId, LatencyHistogram>,
}

/// All callers of one load, with shared connections and lookups
#[derive(Clone, Debug)]
pub struct Callers {
    plan: Arc<Plan>,
    client: Arc<Client>,
    state: Arc<Mutex<State>>,
}

/// Result of an attempt
enum AttemptResult {
    /// A complete and valid response arrived
    Done,
    /// A response with an invalid body arrived
    InvalidBody,
    /// Retry after a delay
    Retry(Duration),
}

/// In-flight request of a caller
struct InFlight {
    arrival: Arrival,
    deadline: Instant,
    retry_delay: Duration,
    attempt_count: usize,
    ticket: Option<String>,
    last: LastOutcome,
    not_run_at: Vec<u64>,
}

impl Callers {
    /// Creates callers without connections or cached lookups
    pub fn new(plan: Arc<Plan>) -> Self {
        let report = Report {
            seed: plan.seed,
            ..Report::default()
        };
        let state = State {
            lookups: BTreeMap::new(),
            results: Vec::new(),
            report,
            latencies: BTreeMap::new(),
        };
        Self {
            plan,
            client: Arc::new(Client::new()),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sends one request and retries until it has a response or the caller timeout ends
    pub async fn send(&self, arrival: Arrival, scheduled_at: Instant) {
        self.lock().report.requests += 1;
        let mut in_flight = InFlight {
            deadline: scheduled_at + self.plan.caller_timeout,
            retry_delay: RETRY_DELAY,
            attempt_count: 0,
            ticket: None,
            last: LastOutcome::Unknown,
            not_run_at: Vec::new(),
            arrival,
        };
        let has_invalid_body = loop {
            match self.attempt(&mut in_flight).await {
                AttemptResult::Done => break false,
                AttemptResult::InvalidBody => break true,
                AttemptResult::Retry(delay) if Instant::now() + delay >= in_flight.deadline => {
                    break false;
                }
                AttemptResult::Retry(delay) => Timer::after(delay).await,
            };
        };
        self.finish(in_flight, scheduled_at, has_invalid_body);
    }

    async fn attempt(&self, in_flight: &mut InFlight) -> AttemptResult {
        let Some(address) = self.choose_address(in_flight).await else {
            return AttemptResult::Retry(in_flight.next_backoff());
        };
        let remaining = in_flight.deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.min(self.plan.attempt_timeout);
        let request = self.build_request(in_flight, address, timeout);
        self.lock().report.attempts += 1;
        in_flight.attempt_count += 1;
        match self.client.send(address, request, timeout).await {
            Ok(response) => self.evaluate_response(in_flight, &response),
            Err(failure) => {
                self.count_result(failure_name(failure));
                // The request may have been executed unless the connection could not be opened.
                if failure != Failure::Unreachable {
                    in_flight.last = LastOutcome::Unknown;
                }
                AttemptResult::Retry(in_flight.next_backoff())
            }
        }
    }

    async fn choose_address(&self, in_flight: &mut InFlight) -> Option<SocketAddr> {
        if !self.plan.direct_addresses.is_empty() {
            return fastrand::choice(&self.plan.direct_addresses).copied();
        }
        let Arrival {
            service,
            block,
            kind,
            ..
        } = in_flight.arrival.clone();
        let needs_ticket = kind == Kind::AtMostOnce && in_flight.ticket.is_none();
        if !self.has_fresh_lookup(&service, block, needs_ticket) {
            self.refresh_lookup(&service, block).await;
        }
        let mut state = self.lock();
        let lookup = state.lookups.get_mut(&(service, block))?;
        if needs_ticket {
            in_flight.ticket = lookup.tickets.pop();
        }
        let index = in_flight.attempt_count % lookup.hosts.len().max(1);
        lookup.hosts.get(index).copied()
    }

    fn has_fresh_lookup(&self, service: &ServiceId, block: BlockId, needs_ticket: bool) -> bool {
        let state = self.lock();
        let Some(lookup) = state.lookups.get(&(service.clone(), block)) else {
            return false;
        };
        let is_fresh = lookup
            .expires_at
            .is_some_and(|expires_at| Instant::now() < expires_at);
        is_fresh && (!needs_ticket || !lookup.tickets.is_empty())
    }

    /// Queries entry hosts until one responds; keeps the previous lookup if all fail
    async fn refresh_lookup(&self, service: &ServiceId, block: BlockId) {
        let target = format!("/lookup?service={service}&block={block}");
        let previous = self.lock().lookups.get(&(service.clone(), block)).cloned();
        let mut hosts = previous.map(|lookup| lookup.hosts).unwrap_or_default();
        let mut entry_hosts = self.plan.entry_addresses.clone();
        fastrand::shuffle(&mut entry_hosts);
        hosts.extend(entry_hosts);
        for host in hosts {
            self.lock().report.lookups += 1;
            let request = http::request(Method::Get, host, &target);
            let Ok(response) = self.client.send(host, request, LOOKUP_TIMEOUT).await else {
                self.count_result("lookup-failed");
                continue;
            };
            let lookup = serde_json::from_slice::<Lookup>(&response.first_line);
            let Ok(mut lookup) = lookup else {
                self.count_result("lookup-refused");
                continue;
            };
            if response.status() != 200 || lookup.hosts.is_empty() {
                self.count_result("lookup-refused");
                continue;
            }
            lookup.expires_at = Some(Instant::now() + Duration::from_secs(lookup.lifetime));
            let mut state = self.lock();
            state.lookups.insert((service.clone(), block), lookup);
            return;
        }
    }

    fn build_request(
        &self,
        in_flight: &InFlight,
        address: SocketAddr,
        timeout: Duration,
    ) -> Request {
        let Arrival {
            service,
            key,
            response_bytes,
            kind,
            index,
            ..
        } = &in_flight.arrival;
        let prefix = match self.plan.direct_addresses.is_empty() {
            true => format!("/s/{service}"),
            false => String::new(),
        };
        let crash_parameter = match kind {
            Kind::Crash => CRASH_PARAMETER,
            _ => "",
        };
        let target = format!("{prefix}/item?key={key}&size={response_bytes}{crash_parameter}");
        let method = match kind {
            Kind::AtMostOnce => Method::Post,
            _ => Method::Get,
        };
        let mut request = http::request(method, address, &target);
        request.insert_header("pier-request", format!("{:016x}", util::stable_hash(&key)));
        request.insert_header("pier-deadline", timeout.as_millis().to_string());
        request.insert_header("idempotency-key", key.as_str());
        if *kind == Kind::AtMostOnce {
            request.set_body(format!("renewal {index}"));
        }
        if let Some(ticket) = &in_flight.ticket {
            request.insert_header("pier-ticket", ticket.as_str());
        }
        request
    }

    fn evaluate_response(&self, in_flight: &mut InFlight, response: &Response) -> AttemptResult {
        let is_direct = !self.plan.direct_addresses.is_empty();
        let outcome = match response.header("pier-outcome") {
            Some(outcome) => outcome,
            None if is_direct && response.status() == 200 => "served",
            None if is_direct => "not-run",
            None => "none",
        };
        let cause = response.header("pier-cause").unwrap_or("-");
        match outcome {
            "served" => self.count_result("served"),
            outcome => self.count_result(&format!("{outcome}/{cause}")),
        }
        let retry_after = response.header("retry-after");
        let retry_after = retry_after.and_then(|text| text.parse().ok());
        let retry_after = retry_after.map(Duration::from_secs);
        match outcome {
            "served"
                if response
                    .is_valid_for(&in_flight.arrival.key, in_flight.arrival.response_bytes) =>
            {
                in_flight.last = LastOutcome::Served;
                AttemptResult::Done
            }
            "served" => AttemptResult::InvalidBody,
            "not-run" => {
                in_flight.last = LastOutcome::NotRun;
                in_flight
                    .not_run_at
                    .push(util::unix_millis(SystemTime::now()));
                let Some(ticket) = response.header("pier-ticket") else {
                    return AttemptResult::Retry(retry_after.unwrap_or(MAX_RETRY_DELAY));
                };
                in_flight.ticket = Some(ticket.to_owned());
                AttemptResult::Retry(RETRY_DELAY)
            }
            _ => {
                in_flight.last = LastOutcome::Unknown;
                AttemptResult::Retry(retry_after.unwrap_or(MAX_RETRY_DELAY))
            }
        }
    }

    fn finish(&self, in_flight: InFlight, scheduled_at: Instant, has_invalid_body: bool) {
        let mut state = self.lock();
        let report = &mut state.report;
        match in_flight.last {
            _ if has_invalid_body => report.wrong_or_partial += 1,
            LastOutcome::Served => report.served += 1,
            LastOutcome::NotRun => report.not_run += 1,
            LastOutcome::Unknown => report.unknown += 1,
        }
        if in_flight.last != LastOutcome::Served && in_flight.arrival.kind == Kind::Idempotent {
            report.idempotent_given_up += 1;
        }
        if in_flight.last == LastOutcome::Served {
            let micros = u64::try_from(scheduled_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            let service = in_flight.arrival.service.clone();
            let latencies = state.latencies.entry(service).or_insert_with(histogram);
            latencies
                .record(micros)
                .expect("the histogram resizes automatically");
        }
        if in_flight.arrival.kind == Kind::AtMostOnce {
            state.results.push(CallerResult {
                key: in_flight.arrival.key,
                last: in_flight.last,
                not_run_at: in_flight.not_run_at,
            });
        }
    }

    /// Returns the results of all completed at-most-once requests
    pub fn results(&self) -> Vec<CallerResult> {
        self.lock().results.clone()
    }

    /// Returns the report of all completed requests
    pub fn report(&self, duration: Duration) -> Report {
        let state = self.lock();
        let mut total = histogram();
        let mut report = state.report.clone();
        for (service, latencies) in &state.latencies {
            total += latencies;
            report
                .services
                .insert(service.clone(), LatencySummary::new(latencies));
        }
        report.all = LatencySummary::new(&total);
        report.with_duration(duration)
    }

    fn count_result(&self, result: &str) {
        let mut state = self.lock();
        *state
            .report
            .attempt_results
            .entry(CompactString::from(result))
            .or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlight {
    fn next_backoff(&mut self) -> Duration {
        let delay = self.retry_delay;
        self.retry_delay = (delay * 2).min(MAX_RETRY_DELAY);
        self.attempt_count += usize::from(self.attempt_count == 0);
        delay.mul_f64(0.5 + fastrand::f64() / 2.0)
    }
}

fn histogram() -> LatencyHistogram {
    let mut histogram = LatencyHistogram::new(3).expect("3 significant digits are valid");
    histogram.auto(true);
    histogram
}

fn failure_name(failure: Failure) -> &'static str {
    match failure {
        Failure::Unreachable => "unreached",
        Failure::Stale => "stale",
        Failure::ConnectionFailed => "broken",
        Failure::Truncated => "cut",
        Failure::TimedOut => "late",
    }
}
