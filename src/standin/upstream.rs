//! Stand-in for one upstream: a few slots, a service time, and faults on demand.
//!
//! A request takes effect at half of its service time and is recorded then; what is given up
//! before is recorded as cancelled. It answers a line of JSON that repeats the request's key and
//! id, padded with [`pattern`] up to the query parameter `size`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use async_h1::server::{Encoder, decode};
use http_types::{Body, Method, Request, Response};
use smol::Timer;
use smol::future::FutureExt;
use smol::io::{self, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use super::answer::{self, Padding};
use super::fault::{Faults, Health, Leaving};
use super::record::{Entry, Outcome, Record, Report};
use super::{body, control, json, plain, query};
use crate::error::{EXIT_REFUSED, Error};
use crate::util;

/// Time that a kept connection may be idle
const IDLE: Duration = Duration::from_secs(120);

/// Time for a close that is already on its way to be noticed before a request counts as one too
/// many
const CLOSE_GRACE: Duration = Duration::from_millis(2);

/// Running counts kept for a health report that lags
const HISTORY: usize = 10_000;

/// How an upstream stands in
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the endpoint
    pub name: String,
    /// Requests it runs at once
    pub slots: u32,
    /// Time that one request takes
    pub service_time: Duration,
    /// File that keeps the record over a crash
    pub record: Option<PathBuf>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    record: Record,
    running: u32,
    max_running: u32,
    over_slots: u64,
    connections: u64,
    begun: u64,
    last_begun: u64,
    history: VecDeque<(Instant, u32)>,
    previous: Option<answer::Line>,
}

/// One upstream
#[derive(Clone, Debug)]
pub struct Upstream {
    plan: Arc<Plan>,
    started: Instant,
    state: Arc<Mutex<State>>,
}

/// A taken slot, given back when dropped
#[derive(Debug)]
pub struct Slot {
    upstream: Upstream,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        state.running -= 1;
        state.note();
    }
}

impl State {
    fn note(&mut self) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((Instant::now(), self.running));
    }
}

/// What to do with a request that came to a slot
enum Admit {
    Run(Slot),
    Shed,
    Leaving,
}

impl Upstream {
    /// Idle upstream; an error when its record cannot be read
    pub fn new(plan: Plan) -> Result<Self, Error> {
        let record = match &plan.record {
            Some(path) => Record::with_file(path).map_err(|error| {
                let path = path.display();
                Error::Unavailable(format!("cannot use record {path}: {error}; name another"))
            })?,
            None => Record::new(),
        };
        let state = State {
            faults: Faults::default(),
            record,
            running: 0,
            max_running: 0,
            over_slots: 0,
            connections: 0,
            begun: 0,
            last_begun: 0,
            history: VecDeque::new(),
            previous: None,
        };
        Ok(Self {
            plan: Arc::new(plan),
            started: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// Answer requests until the listener fails
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            let upstream = self.clone();
            let connection = async move {
                if let Err(error) = upstream.connection(stream).await {
                    log::debug!("connection ended: {error}");
                }
            };
            smol::spawn(connection).detach();
        }
    }

    async fn connection(&self, mut stream: TcpStream) -> http_types::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().connections += 1;
        loop {
            let idle = async {
                Timer::after(IDLE).await;
                Ok(None)
            };
            let Some((mut request, _)) = decode(stream.clone()).or(idle).await? else {
                return Ok(());
            };
            let body = body(&mut request).await?;
            let kept = match request.url().path() {
                "/health" | "/record" | "/control" => {
                    let answer = self.manage(&request, &body)?;
                    send(&mut stream, answer, request.method()).await?;
                    true
                }
                _ => self.run(&mut stream, request, &body).await?,
            };
            if !kept {
                return Ok(());
            }
        }
    }

    fn manage(&self, request: &Request, body: &[u8]) -> http_types::Result<Response> {
        match (request.method(), request.url().path()) {
            (Method::Get, "/health") => json(&self.health()),
            (Method::Get, "/record") => json(&self.report()),
            (Method::Put, "/control") => {
                let mut state = self.lock();
                match control::patched(&state.faults, body) {
                    Ok(faults) => state.faults = faults,
                    Err(error) => return plain(400, &error.to_string()),
                }
                json(&state.faults)
            }
            _ => plain(405, "no such call"),
        }
    }

    /// Run one request; whether the connection stays open
    async fn run(
        &self,
        stream: &mut TcpStream,
        request: Request,
        body: &[u8],
    ) -> http_types::Result<bool> {
        let mut entry = entry(&request, body);
        let method = request.method();
        let slot = match self.admit().await {
            Admit::Run(slot) => slot,
            Admit::Shed => {
                self.end(&mut entry, Outcome::Shed);
                let answer = self.refusal("pier-shed")?;
                return send(stream, answer, method).await.map(|()| true);
            }
            Admit::Leaving => {
                self.end(&mut entry, Outcome::Shed);
                let answer = self.refusal("pier-leaving")?;
                return send(stream, answer, method).await.map(|()| true);
            }
        };
        let deadline = header(&request, "pier-deadline").parse().ok();
        let deadline = deadline.map(|left| Instant::now() + Duration::from_millis(left));
        let service_time = self.service_time();
        let crash = self.is_marked(&entry.target, body);
        let closed = closed(stream.clone());
        let effect = async {
            Timer::after(service_time / 2).await;
            true
        };
        let late = async {
            match deadline {
                Some(deadline) => Timer::at(deadline).await,
                None => std::future::pending().await,
            };
            false
        };
        let gone = async {
            closed.await;
            false
        };
        if !effect.or(late).or(gone).await {
            self.end(&mut entry, Outcome::Cancelled);
            drop(slot);
            let answer = self.refusal("pier-shed")?;
            return send(stream, answer, method).await.map(|()| true);
        }
        if crash {
            self.end(&mut entry, Outcome::Crashed);
            std::process::exit(i32::from(EXIT_REFUSED));
        }
        self.end(&mut entry, Outcome::Ran);
        Timer::after(service_time - service_time / 2).await;
        self.answer(stream, &request, &entry, slot).await
    }

    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        entry: &Entry,
        slot: Slot,
    ) -> http_types::Result<bool> {
        let own = answer::Line {
            endpoint: self.plan.name.clone(),
            request: entry.request.clone(),
            key: entry.key.clone(),
            body_hash: entry.body_hash,
        };
        let faults = self.lock().faults.clone();
        let previous = self.lock().previous.replace(own.clone());
        let drawn = |part: f64| part > 0.0 && fastrand::f64() < part;
        let line = match previous {
            Some(other) if drawn(faults.crossed) => other,
            _ => own,
        };
        if drawn(faults.late) {
            Timer::after(Duration::from_millis(faults.late_ms)).await;
        }
        let size = query(request, "size").and_then(|size| size.parse().ok());
        let text = answer::text(&line);
        let size = size.unwrap_or(0).max(text.len());
        let mut head = Response::new(200);
        head.insert_header("pier-request", line.request.as_str());
        head.insert_header("load", self.load(&slot));
        if faults.leaving != Leaving::No {
            head.insert_header("pier-leaving", "1");
        }
        let padding = Padding::new(text, size, slot).with_break(drawn(faults.truncate));
        head.set_body(Body::from_reader(io::BufReader::new(padding), Some(size)));
        let bytes = Encoder::new(head, request.method());
        io::copy(bytes, &mut *stream).await?;
        if drawn(faults.surplus) {
            stream.write_all(b"HTTP/1.1 200 OK\r\n").await?;
        }
        stream.flush().await?;
        Ok(!drawn(faults.close))
    }

    async fn admit(&self) -> Admit {
        if self.lock().running >= self.plan.slots {
            Timer::after(CLOSE_GRACE).await;
        }
        let mut state = self.lock();
        if state.faults.leaving == Leaving::Refuse {
            return Admit::Leaving;
        }
        state.max_running = state.max_running.max(state.running + 1);
        if state.running >= self.plan.slots {
            state.over_slots += 1;
            return Admit::Shed;
        }
        if state.faults.shed > 0.0 && fastrand::f64() < state.faults.shed {
            return Admit::Shed;
        }
        state.running += 1;
        state.begun += 1;
        state.last_begun = util::unix_millis(SystemTime::now());
        state.note();
        Admit::Run(Slot {
            upstream: self.clone(),
        })
    }

    fn service_time(&self) -> Duration {
        let state = self.lock();
        let faults = &state.faults;
        let planned = faults.service_ms.map(Duration::from_millis);
        let planned = planned.unwrap_or(self.plan.service_time);
        let young = self.started.elapsed() < Duration::from_millis(faults.cold_ms);
        match young || state.begun <= faults.cold_requests {
            true => planned * faults.cold_factor,
            false => planned,
        }
    }

    fn is_marked(&self, target: &str, body: &[u8]) -> bool {
        let state = self.lock();
        let marker = state.faults.crash_marker.as_str();
        if marker.is_empty() {
            return false;
        }
        let in_body = body
            .windows(marker.len())
            .any(|part| part == marker.as_bytes());
        in_body || target.contains(marker)
    }

    fn refusal(&self, sign: &str) -> http_types::Result<Response> {
        let mut answer = plain(503, "not run")?;
        answer.insert_header(sign, "1");
        let health = self.health();
        answer.insert_header("load", format!("{}/{}", health.running, health.slots));
        Ok(answer)
    }

    fn load(&self, _held: &Slot) -> String {
        let state = self.lock();
        let others = state.running.saturating_sub(1);
        let stated = state.faults.load.clone();
        stated.unwrap_or_else(|| format!("{others}/{}", self.plan.slots))
    }

    fn health(&self) -> Health {
        let state = self.lock();
        if let Some(health) = state.faults.health {
            return health;
        }
        let lag = Duration::from_millis(state.faults.health_lag_ms);
        let now = Instant::now();
        let mut newest_first = state.history.iter().rev();
        let seen = newest_first.find(|(at, _)| *at + lag <= now);
        Health {
            running: seen.map_or(0, |(_, running)| *running),
            slots: self.plan.slots,
            leaving: state.faults.leaving != Leaving::No,
        }
    }

    fn report(&self) -> Report {
        let state = self.lock();
        Report {
            name: self.plan.name.clone(),
            counts: state.record.counts().clone(),
            entries: state.record.entries().to_vec(),
            running: state.running,
            max_running: state.max_running,
            over_slots: state.over_slots,
            connections: state.connections,
            last_begun: state.last_begun,
        }
    }

    fn end(&self, entry: &mut Entry, outcome: Outcome) {
        entry.outcome = outcome;
        entry.at = util::unix_millis(SystemTime::now());
        self.lock().record.add(entry.clone());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Bind and serve until the listener fails
pub async fn run(address: SocketAddr, plan: Plan) -> Result<(), Error> {
    let upstream = Upstream::new(plan)?;
    let listener = super::listen(address).await?;
    let served = upstream.serve(listener).await;
    served.map_err(|error| Error::Unavailable(format!("{address}: {error}; start it again")))
}

fn entry(request: &Request, body: &[u8]) -> Entry {
    let url = request.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let key = match header(request, "idempotency-key") {
        "" => query(request, "key").unwrap_or_default(),
        key => key.to_owned(),
    };
    let now = util::unix_millis(SystemTime::now());
    Entry {
        request: header(request, "pier-request").to_owned(),
        key,
        ticket: header(request, "pier-ticket").to_owned(),
        method: request.method().to_string(),
        target,
        body_hash: util::stable_hash(&body),
        outcome: Outcome::Cancelled,
        arrived: now,
        at: now,
    }
}

fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    let value = request.header(name);
    value.map_or("", |values| values.last().as_str())
}

/// Ends when the other side has closed the connection
async fn closed(stream: TcpStream) {
    let mut byte = [0];
    if matches!(stream.peek(&mut byte).await, Ok(1)) {
        std::future::pending::<()>().await;
    }
}

async fn send(stream: &mut TcpStream, answer: Response, method: Method) -> http_types::Result<()> {
    io::copy(Encoder::new(answer, method), &mut *stream).await?;
    stream.flush().await?;
    Ok(())
}
