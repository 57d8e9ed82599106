//! Permits for endpoints that limit the requests of all hosts together: asking the owner for one,
//! and answering as the owner.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use smol::channel::{Sender, bounded};
use smol::net::UdpSocket;

use super::datagram::LimitNews;
use super::{Gateway, record};
use crate::catalog::Endpoint;
use crate::fleet::Owner;
use crate::id::HostId;
use crate::limit::{PERMIT_TTL, Register, Statement, Verdict};
use crate::message::timeout;
use crate::platform::store::Kind;
use crate::quarantine::EndpointRun;

#[cfg(test)]
mod tests;
mod wire;

pub use wire::receive;
use wire::{Ask, Message, send};

/// Timeout for the answer of an owner
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which an owner that did not answer is passed over
const PASS_OVER_TIME: Duration = Duration::from_secs(1);

/// Time for which a limited endpoint is not used after its owner did not decide
const UNDECIDED_TIME: Duration = Duration::from_millis(100);

/// Gap between two checks that shows that this process was paused; others take over only after a
/// silence and a hand-over that are longer together
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1200);

/// Interval at which the limits of endpoints that are gone are dropped
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of limits in one report, which has to fit into a datagram
const MAX_NEWS: usize = 256;

/// Right to send one request to an endpoint
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Permit {
    /// Time at which it ends, `None` if the endpoint had no limit
    ends_at: Option<Instant>,
}

/// Question that waits for the answer of an owner
#[derive(Debug)]
struct Question {
    run: EndpointRun,
    asked_at: Instant,
    answer: Sender<Verdict>,
}

/// Limits that this host knows, and its questions about them
#[derive(Debug)]
pub struct Limits {
    register: RefCell<Register>,
    questions: RefCell<BTreeMap<u64, Question>>,
    next_number: Cell<u64>,
    /// Owners that did not answer lately, and when
    unanswered: RefCell<BTreeMap<HostId, Instant>>,
    socket: RefCell<Option<UdpSocket>>,
    /// End of the last pause of this process, or its start
    resumed_at: Cell<Instant>,
    checked_at: Cell<Instant>,
    expired_at: Cell<Instant>,
}

impl Limits {
    /// Creates an empty set of limits; a host without a socket asks nobody
    pub fn new(now: Instant) -> Self {
        Self {
            register: RefCell::default(),
            questions: RefCell::default(),
            // Answers to the process before may still come.
            next_number: Cell::new(fastrand::u64(..)),
            unanswered: RefCell::default(),
            socket: RefCell::default(),
            resumed_at: Cell::new(now),
            checked_at: Cell::new(now),
            expired_at: Cell::new(now),
        }
    }

    /// Sets the socket on which owners are asked
    pub fn set_socket(&self, socket: UdpSocket) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Returns the number of endpoints with a limit
    pub fn count(&self) -> usize {
        self.register.borrow().count()
    }

    /// Returns the requests a second that an endpoint takes, if it limits them
    pub fn rate(&self, endpoint: &Endpoint) -> Option<f64> {
        let register = self.register.borrow();
        match register.is_empty() {
            true => None,
            false => register.rate(endpoint.run()),
        }
    }

    /// Returns for how long an endpoint gets no request from this host because of its limit
    pub fn withheld_for(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let register = self.register.borrow();
        match register.is_empty() {
            true => None,
            false => register.withheld_for(now, endpoint.run()),
        }
    }

    /// Returns after which time a caller that is refused now may return to an endpoint, if this host
    /// gets no permit for it now
    pub fn return_wait(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let register = self.register.borrow();
        match register.is_empty() {
            true => None,
            false => register.return_wait(now, endpoint.run()),
        }
    }

    /// Returns whether a request may be sent to an endpoint under this permit
    pub fn allows(&self, now: Instant, endpoint: &Endpoint, permit: Permit) -> bool {
        self.rate(endpoint).is_none() || permit.ends_at.is_some_and(|end| now < end)
    }

    /// Notices pauses of this process; must be called several times a second
    fn check_pause(&self, now: Instant) {
        if now.saturating_duration_since(self.checked_at.replace(now)) > PAUSE_THRESHOLD {
            self.resumed_at.set(now);
        }
    }

    fn ask(&self, run: EndpointRun, asked_at: Instant) -> (u64, smol::channel::Receiver<Verdict>) {
        let number = self.next_number.get().wrapping_add(1);
        self.next_number.set(number);
        let (answer, answered) = bounded(1);
        let question = Question {
            run,
            asked_at,
            answer,
        };
        self.questions.borrow_mut().insert(number, question);
        (number, answered)
    }
}

impl Gateway {
    /// Returns whether hosts may have come or gone without this one's knowledge
    fn is_host_list_outdated(&self) -> bool {
        !self.mirror.borrow().is_readable(Kind::Hosts)
    }

    /// Returns the host that hands out the permits of an endpoint
    pub(super) fn permit_owner(&self, now: Instant, endpoint: &Endpoint) -> Option<Owner> {
        let unanswered = self.limits.unanswered.borrow();
        let is_passed_over = |host: &HostId| {
            let unanswered_at = unanswered.get(host);
            unanswered_at.is_some_and(|at| now < *at + PASS_OVER_TIME)
        };
        let is_list_outdated = self.is_host_list_outdated();
        let fleet = self.fleet.borrow();
        let electorate = fleet.electorate(now, &endpoint.region, is_list_outdated, is_passed_over);
        electorate.owner(&endpoint.id)
    }

    /// Returns whether this host hands out the permits of an endpoint, and since when
    fn owns_permits_since(&self, now: Instant, endpoint: &Endpoint) -> Option<Instant> {
        let is_list_outdated = self.is_host_list_outdated();
        let fleet = self.fleet.borrow();
        // Hosts that did not answer this one may still decide for others.
        let electorate = fleet.electorate(now, &endpoint.region, is_list_outdated, |_| false);
        self.owned_since(electorate.owner(&endpoint.id))
    }

    /// Returns since when this host decides if `owner` is it, `None` if another one does
    fn owned_since(&self, owner: Option<Owner>) -> Option<Instant> {
        let resumed_at = self.limits.resumed_at.get();
        let Some(owner) = owner else {
            // A host that knows others but is not listed itself is about to end.
            return (self.fleet.borrow().members().next().is_none()).then_some(resumed_at);
        };
        let is_own = owner.host == self.settings.borrow().host;
        is_own.then(|| {
            owner
                .since
                .map_or(resumed_at, |since| since.max(resumed_at))
        })
    }

    /// Returns what this host tells others of the limits that it decides about
    pub(super) fn limit_news(&self, now: Instant) -> Vec<LimitNews> {
        let register = self.limits.register.borrow();
        if register.is_empty() {
            return Vec::new();
        }
        let is_list_outdated = self.is_host_list_outdated();
        let fleet = self.fleet.borrow();
        let region = self.settings.borrow().region.clone();
        let electorate = fleet.electorate(now, &region, is_list_outdated, |_| false);
        let catalog = self.catalog.borrow();
        let endpoints = catalog.endpoints();
        let owned = endpoints.filter(|endpoint| {
            endpoint.region == region
                && register.has_named(endpoint.run())
                && self.owned_since(electorate.owner(&endpoint.id)).is_some()
        });
        let owned: BTreeSet<EndpointRun> = owned.map(Endpoint::run).collect();
        let mut news = register.news(now, |run| owned.contains(&run));
        fastrand::shuffle(&mut news);
        news.truncate(MAX_NEWS);
        encode_news(now, news)
    }

    /// Returns all limits that this host knows, for hosts that start
    pub(super) fn all_limits(&self, now: Instant) -> Vec<LimitNews> {
        let news = self.limits.register.borrow().news(now, |_| true);
        encode_news(now, news)
    }

    /// Records what other hosts tell of limits
    pub(super) fn record_limit_news(&self, now: Instant, news: &[LimitNews]) {
        for (run, rate, age) in news {
            let statement = decode_statement(now, (*rate, *age));
            self.limits
                .register
                .borrow_mut()
                .record(now, *run, statement);
        }
    }

    /// Records what an answer of an endpoint states about its limit; tells the owner of a change
    pub(super) fn record_limit(&self, now: Instant, endpoint: &Endpoint, rate: Option<f64>) {
        let statement = Statement {
            rate,
            heard_at: now,
        };
        let run = endpoint.run();
        let has_changed = self
            .limits
            .register
            .borrow_mut()
            .record(now, run, statement);
        if !has_changed {
            return;
        }
        let owner = self.permit_owner(now, endpoint);
        let fields = [
            ("endpoint", endpoint.id.as_str().into()),
            ("per_second", rate.into()),
            (
                "owner",
                owner.as_ref().map(|owner| owner.host.as_str()).into(),
            ),
        ];
        self.recorder.event("endpoint-limit", &fields);
        if let Some(owner) = owner
            && owner.host != self.settings.borrow().host
        {
            let ask = self.encode_ask(0, endpoint, statement, false);
            self.send_limit_message(&owner.host, ask);
        }
    }

    /// Takes a place among the refused callers that return to a limited endpoint; returns its time
    pub(super) fn take_return(&self, now: Instant, endpoint: &Endpoint) -> Option<Duration> {
        let parts = self.parts_of_demand(now, endpoint);
        let mut register = self.limits.register.borrow_mut();
        register.take_return(now, endpoint.run(), parts, fastrand::f64())
    }

    /// Returns how many times the demand of this host all hosts have that use an endpoint
    fn parts_of_demand(&self, now: Instant, endpoint: &Endpoint) -> f64 {
        let own = self.demand().get(&endpoint.service).copied();
        let own = f64::from(own.unwrap_or_default());
        let fleet = self.fleet.borrow();
        let demand = fleet.demand_by_region(now, &endpoint.service);
        let is_home = self.settings.borrow().region == endpoint.region;
        let all: f64 = match demand.get(&endpoint.region) {
            Some(regional) if is_home => *regional,
            _ => demand.values().sum(),
        };
        let hosts = fleet.size().max(1) as f64;
        // A host that was idle has one request at least, the one that it refuses.
        (all / own.max(1.0)).clamp(1.0, hosts)
    }

    fn encode_ask(
        &self,
        number: u64,
        endpoint: &Endpoint,
        statement: Statement,
        wants_permit: bool,
    ) -> Message {
        Message::Ask(Ask {
            host: self.settings.borrow().host.clone(),
            number,
            endpoint: endpoint.id.clone(),
            run: endpoint.run(),
            statement: encode_statement(Instant::now(), statement),
            wants_permit,
        })
    }

    fn send_limit_message(&self, host: &HostId, message: Message) {
        let fleet = self.fleet.borrow();
        let member = fleet.members().find(|member| member.host == *host);
        if let (Some(member), Some(socket)) = (member, &*self.limits.socket.borrow()) {
            let (address, socket) = (member.peer, socket.clone());
            self.spawn(async move { send(&socket, address, &message).await })
                .detach();
        }
    }

    /// Returns a permit for one request to an endpoint, or `None` if there is none now; the endpoint
    /// is then withheld for some time
    pub(super) async fn acquire_permit(&self, endpoint: &Endpoint) -> Option<Permit> {
        if self.limits.rate(endpoint).is_none() {
            return Some(Permit::default());
        }
        let now = Instant::now();
        let run = endpoint.run();
        let spare = self.limits.register.borrow_mut().take_spare(now, run);
        if spare.is_some() {
            return Some(Permit { ends_at: spare });
        }
        self.limits.check_pause(now);
        if let Some(owner_since) = self.owns_permits_since(now, endpoint) {
            let verdict = self
                .limits
                .register
                .borrow_mut()
                .decide(now, run, owner_since);
            return self.follow_verdict(now, now, run, verdict);
        }
        let owner = self.permit_owner(now, endpoint);
        let owner = owner.filter(|owner| owner.host != self.settings.borrow().host);
        let Some(owner) = owner else {
            // The owners did not answer, but are not known to be gone.
            return self.follow_verdict(now, now, run, Verdict::NotOwner);
        };
        let (number, answered) = self.limits.ask(run, now);
        let statement = self.limits.register.borrow().statement(run)?;
        let ask = self.encode_ask(number, endpoint, statement, true);
        self.send_limit_message(&owner.host, ask);
        let answer = timeout(now + ASK_TIMEOUT, answered.recv()).await;
        match answer {
            Some(Ok(verdict)) => self.follow_verdict(Instant::now(), now, run, verdict),
            _ => {
                let mut unanswered = self.limits.unanswered.borrow_mut();
                unanswered.insert(owner.host.clone(), Instant::now());
                drop(unanswered);
                let fields = [
                    ("endpoint", endpoint.id.as_str().into()),
                    ("owner", owner.host.as_str().into()),
                ];
                self.recorder.event("permit-unanswered", &fields);
                self.follow_verdict(Instant::now(), now, run, Verdict::NotOwner)
            }
        }
    }

    /// Returns the permit that a verdict stands for, counted from when it was asked for
    fn follow_verdict(
        &self,
        now: Instant,
        asked_at: Instant,
        run: EndpointRun,
        verdict: Verdict,
    ) -> Option<Permit> {
        self.metrics.count_permit(verdict);
        let mut register = self.limits.register.borrow_mut();
        match verdict {
            Verdict::Granted => Some(Permit {
                ends_at: Some(asked_at + PERMIT_TTL),
            }),
            Verdict::Unlimited => Some(Permit::default()),
            Verdict::Exhausted(wait) => {
                register.withhold(now, run, wait);
                None
            }
            Verdict::NotOwner => {
                register.withhold(now, run, UNDECIDED_TIME);
                None
            }
        }
    }

    /// Notices pauses and drops what is outdated; must be called several times a second
    pub(super) fn maintain_limits(&self, now: Instant) {
        self.limits.check_pause(now);
        let mut questions = self.limits.questions.borrow_mut();
        questions.retain(|_, question| now < question.asked_at + PERMIT_TTL);
        let mut unanswered = self.limits.unanswered.borrow_mut();
        unanswered.retain(|_, at| now < *at + PASS_OVER_TIME);
        if now < self.limits.expired_at.get() + EXPIRE_INTERVAL {
            return;
        }
        self.limits.expired_at.set(now);
        let mut register = self.limits.register.borrow_mut();
        let catalog = self.catalog.borrow();
        let listed: BTreeSet<EndpointRun> = match register.is_empty() {
            true => BTreeSet::new(),
            false => catalog.endpoints().map(Endpoint::run).collect(),
        };
        register.expire(now, |run| listed.contains(&run));
    }
}

fn encode_news(now: Instant, news: Vec<(EndpointRun, Statement)>) -> Vec<LimitNews> {
    let encoded = news.into_iter().map(|(run, statement)| {
        let (rate, age) = encode_statement(now, statement);
        (run, rate, age)
    });
    encoded.collect()
}

/// Returns a statement with its age in milliseconds
fn encode_statement(now: Instant, statement: Statement) -> (Option<f64>, u64) {
    let age = now.saturating_duration_since(statement.heard_at);
    (statement.rate, record::millis(age))
}

/// Returns a statement whose age in milliseconds another host told
fn decode_statement(now: Instant, (rate, age): (Option<f64>, u64)) -> Statement {
    let heard_at = now.checked_sub(Duration::from_millis(age));
    Statement {
        rate,
        heard_at: heard_at.unwrap_or(now),
    }
}
