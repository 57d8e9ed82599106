//! Stand-in for an endpoint: slots, a short queue, signed answers, and its entry in the store.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Value, table};
use crate::record::Record;
use crate::store::Store;

/// Number of requests that wait for a slot at most
const MAX_QUEUE: usize = 9;

/// Interval at which an endpoint writes its entry; the one of the settings
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Part of the targets of requests that take long
pub const LONG: &str = "long";

/// Start of the first lifetime of each endpoint
pub const BORN: u64 = 1_790_000_000_000;

/// Fixed properties of an endpoint
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// The same for targets with [`LONG`] in them
    pub long_work: Duration,
    /// Unix milliseconds of its start, which tell its lifetime from others under its id
    pub born: u64,
    /// How long it is cold after its start
    pub warmup: Duration,
    /// Number of requests in one second above which it crashes while it is cold
    pub cold_crash_above: usize,
}

/// Request that an endpoint has run
#[derive(Clone, Debug)]
pub struct Run {
    pub endpoint: String,
    pub service: &'static str,
    pub attempt: String,
    pub target: String,
}

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

struct Shared {
    options: Options,
    record: Record,
    runs: Mutex<Vec<Run>>,
    slots: (Mutex<Slots>, Condvar),
    sequence: AtomicU64,
    started_at: Instant,
    /// When requests arrived, answers with 421 aside
    arrivals: Mutex<Vec<Instant>>,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// Running endpoint
#[derive(Clone)]
pub struct Endpoint(Arc<Shared>);

impl Endpoint {
    /// Listens, serves, and writes its entry until the process ends
    pub fn start(options: Options, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.address)?;
        let endpoint = Self(Arc::new(Shared {
            options,
            record: record.clone(),
            runs: Mutex::default(),
            slots: (Mutex::default(), Condvar::new()),
            sequence: AtomicU64::new(0),
            started_at: Instant::now(),
            arrivals: Mutex::default(),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
        }));
        endpoint.register(store);
        let (writer, entries) = (endpoint.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if writer.has_ended() {
                    return;
                }
                writer.register(&entries);
            }
        });
        let server = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.0.connections.lock().unwrap().push(copy);
                }
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(endpoint)
    }

    pub fn id(&self) -> &str {
        &self.0.options.id
    }

    pub fn options(&self) -> &Options {
        &self.0.options
    }

    /// Returns the requests that it has begun to run
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Records that a request arrived; returns how many did in the last second, 0 if it is warm
    fn record_arrival(&self) -> usize {
        let now = Instant::now();
        let mut arrivals = self.0.arrivals.lock().unwrap();
        arrivals.push(now);
        if now >= self.warm_at() {
            return 0;
        }
        let recent = arrivals.iter();
        recent
            .filter(|at| now < **at + Duration::from_secs(1))
            .count()
    }

    /// Returns when requests arrived
    pub fn arrivals(&self) -> Vec<Instant> {
        self.0.arrivals.lock().unwrap().clone()
    }

    /// Returns the end of the time for which it is cold
    pub fn warm_at(&self) -> Instant {
        self.0.started_at + self.0.options.warmup
    }

    /// Ends like a process that crashes: its connections close, and nothing listens any more
    pub fn crash(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        for connection in self.0.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which closes the listener.
        let _ = TcpStream::connect(self.0.options.address);
    }

    fn has_ended(&self) -> bool {
        self.0.has_ended.load(Ordering::SeqCst)
    }

    /// Writes its entry now; it changes when more than `sequence` changes
    pub fn register(&self, store: &Store) {
        let entry = self.next_entry();
        let stored = store.spec("servers", self.id());
        if stored.map(without_sequence) != Some(without_sequence(entry.clone())) {
            store.write("servers", self.id(), entry);
        }
    }

    /// Returns the content of its next entry
    pub fn next_entry(&self) -> Value {
        let own = &self.0.options;
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        table([
            ("service", own.service.into()),
            ("address", own.address.to_string().into()),
            ("zone", own.zone.into()),
            ("version", "v1".into()),
            ("max_concurrency", (own.slots as u64).into()),
            ("state", "ready".into()),
            ("warmup_left_ms", self.warmup_left_ms().into()),
            ("sequence", sequence.into()),
            ("born", own.born.into()),
        ])
    }

    fn warmup_left_ms(&self) -> u64 {
        let left = self.warm_at().saturating_duration_since(Instant::now());
        left.as_millis() as u64
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = self.answer(&request);
            if self.has_ended() || reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let own = &self.0.options;
        if request.word(1) == "/health" {
            return self.format(
                200,
                None,
                &format!("Warmup-Ms: {}\r\n", self.warmup_left_ms()),
            );
        }
        let Some(attempt) = request.header("Attempt-Id") else {
            return self.format(400, None, "Not-Executed: 1\r\n");
        };
        let meant = request.header("Target-Instance");
        if meant.is_some_and(|meant| meant != own.id) {
            return self.format(421, Some(attempt), "Not-Executed: 1\r\n");
        }
        if self.record_arrival() > self.0.options.cold_crash_above {
            self.0
                .record
                .line(&format!("{} crashes, as it is cold", own.id));
            self.crash();
        }
        if !self.take_slot() {
            return self.format(503, Some(attempt), "Not-Executed: 1\r\n");
        }
        let run = Run {
            endpoint: own.id.clone(),
            service: own.service,
            attempt: attempt.to_owned(),
            target: request.word(1).to_owned(),
        };
        self.0.record.line(&format!(
            "run: endpoint {} of service {} runs {} {} attempt {}",
            own.id,
            own.service,
            request.word(0),
            run.target,
            run.attempt
        ));
        self.0.runs.lock().unwrap().push(run);
        std::thread::sleep(match request.word(1).contains(LONG) {
            true => own.long_work,
            false => own.work,
        });
        self.release_slot();
        self.format(200, Some(attempt), "")
    }

    fn format(&self, status: u16, attempt: Option<&str>, extra: &str) -> String {
        let own = &self.0.options;
        let slots = self.0.slots.0.lock().unwrap();
        let load = format!("{},{},{}", slots.running, slots.waiting, own.slots);
        drop(slots);
        let body = match attempt {
            Some(attempt) => format!("{} of {} answers {attempt}\n", own.id, own.service),
            None => String::new(),
        };
        let attempt =
            attempt.map(|id| format!("Attempt-Id: {id}\r\nServer-Signature: {}.{id}\r\n", own.id));
        format!(
            "HTTP/1.1 {status} -\r\nInstance-Id: {}\r\nServer-Load: {load}\r\n{}{extra}\
             Content-Length: {}\r\n\r\n{body}",
            own.id,
            attempt.unwrap_or_default(),
            body.len()
        )
    }

    fn take_slot(&self) -> bool {
        let (slots, freed) = &self.0.slots;
        let mut slots = slots.lock().unwrap();
        if slots.running >= self.0.options.slots {
            if slots.waiting >= MAX_QUEUE {
                return false;
            }
            slots.waiting += 1;
            while slots.running >= self.0.options.slots {
                slots = freed.wait(slots).unwrap();
            }
            slots.waiting -= 1;
        }
        slots.running += 1;
        true
    }

    fn release_slot(&self) {
        let (slots, freed) = &self.0.slots;
        slots.lock().unwrap().running -= 1;
        freed.notify_one();
    }
}

fn without_sequence(entry: Value) -> Value {
    match entry {
        Value::Table(mut fields) => {
            fields.remove("sequence");
            Value::Table(fields)
        }
        other => other,
    }
}
