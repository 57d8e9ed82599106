//! Plays one case of the review against a real `pier-gate`: `case NAME FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out. What was sent, answered and run is
//! written to `record.txt` in the folder.

mod again;
mod client;
mod endpoint;
mod gate;
mod http;
mod late;
mod silence;
mod smuggled;
mod split;
mod spoiled;
mod store;
mod unreadable;

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use endpoint::{Endpoint, Step};
use gate::{Deployment, Gate};
use store::Store;

/// Time for which a machine must have been without disturbance to be in touch, and some more
const IN_TOUCH: Duration = Duration::from_millis(5000);

/// Service and limits of the first configuration, without the routes
const SERVICES: &str = "\"services\":{\"portal\":{\"health_path\":\"/health\",\"max_conns\":390,\
    \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":5.0}},\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

/// Record of a run
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    /// Writes a line with the time since the start
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let millis = at.saturating_duration_since(self.start).as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{millis:>6} ms  {}", text.as_ref()).ok();
        self.lines
            .lock()
            .unwrap()
            .push((millis, text.as_ref().to_owned()));
    }

    /// Writes all lines once more, in the order of their times
    fn finish(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(millis, _)| *millis);
        let lines = lines
            .iter()
            .map(|(millis, text)| format!("{millis:>6} ms  {text}\n"));
        std::fs::write(path, lines.collect::<String>()).ok();
    }
}

/// What a case starts from: a store and one host whose endpoints are registered
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub endpoints: Vec<Endpoint>,
    pub gate: Gate,
    /// Whether the disruption is played
    pub has_trouble: bool,
    version: u64,
    subnet: [u8; 2],
}

impl Site {
    /// Starts a site whose endpoints have the given slots and follow `program`, which gets the index
    /// of the endpoint, the request, and the number of its earlier ones
    pub fn start(
        record: &Record,
        deployment: Deployment,
        endpoints: u8,
        slots: u32,
        timeout: Duration,
        program: impl Fn(usize, &http::Message, usize) -> Vec<Step> + Send + Sync + 'static,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let subnet = free_subnet()?;
        let ip = |last: u8| Ipv4Addr::new(127, subnet[0], subnet[1], last);
        let store = Store::start(SocketAddr::from((ip(1), 8169))).map_err(text)?;
        let program = Arc::new(program);
        let mut started = Vec::new();
        for index in 0..endpoints {
            let program = program.clone();
            let address = SocketAddr::from((ip(10 + index), 8080));
            let answer =
                move |request: &http::Message, number| program(usize::from(index), request, number);
            let id = format!("i-{index}");
            let endpoint = Endpoint::start(&id, address, deployment.zone, answer).map_err(text)?;
            store.put("servers", &endpoint.id, endpoint.entry("ready", 1, slots));
            started.push(endpoint);
        }
        configure(&store, 7, timeout);
        let gate = Gate::start(deployment, ip(100), ip(1))?;
        record.line(format!("the host is ready at {}:8161", gate.ip));
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        std::thread::sleep(IN_TOUCH);
        Ok(Self {
            record: record.clone(),
            store,
            endpoints: started,
            gate,
            has_trouble,
            version: 7,
            subnet,
        })
    }

    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::from((self.gate.ip, 8161))
    }

    /// Returns an address of the site that nothing else uses
    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [second, third] = self.subnet;
        SocketAddr::from((Ipv4Addr::new(127, second, third, last), port))
    }

    /// Writes a newer configuration with another timeout
    pub fn configure(&mut self, timeout: Duration) {
        self.version += 2;
        configure(&self.store, self.version, timeout);
    }
}

fn configure(store: &Store, version: u64, timeout: Duration) {
    let route = |name: &str, kind: &str| {
        format!(
            "\"{name}\":{{\"host\":\"portal.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":{},\"target_latency_ms\":600,\"priority\":1,\
             \"service\":\"portal\",\"max_attempts\":2,\"session_affinity\":false,\
             \"allowed_regions\":[]}}",
            timeout.as_millis()
        )
    };
    let routes = [
        route("look", "safe"),
        route("lodge", "unsafe"),
        route("pack", "download"),
    ];
    let spec = format!(
        "{{\"version\":{version},\"routes\":{{{}}},{SERVICES}}}",
        routes.join(",")
    );
    store.put("config", "main", spec);
}

/// Returns the second and third number of loopback addresses that are free
fn free_subnet() -> Result<[u8; 2], String> {
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let mut seed = seed.map_or(1, |time| time.subsec_nanos()) ^ std::process::id();
    for _ in 0..100 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let subnet = [(seed >> 24) as u8 % 200 + 20, (seed >> 16) as u8];
        let ip = |last: u8| Ipv4Addr::new(127, subnet[0], subnet[1], last);
        let is_free = |address: (Ipv4Addr, u16)| std::net::TcpListener::bind(address).is_ok();
        let ports = [8161, 8164, 8166, 8167, 9464];
        if is_free((ip(1), 8169)) && ports.iter().all(|port| is_free((ip(100), *port))) {
            return Ok(subnet);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Result of a case: the ways in which the rule was broken
type Verdict = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let path = format!("{folder}/record.txt");
    let file = match File::create(&path) {
        Ok(file) => Arc::new(Mutex::new(file)),
        Err(error) => {
            eprintln!("cannot write record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let record = Record {
        start: Instant::now(),
        file,
        lines: Arc::default(),
    };
    let verdict: Verdict = match name.as_str() {
        "again" => again::play(&record),
        "late" => late::play(&record),
        "silence" => silence::play(&record),
        "smuggled" => smuggled::play(&record),
        "split" => split::play(&record),
        "spoiled" => spoiled::play(&record),
        "unreadable" => unreadable::play(&record),
        _ => Err("no such case".to_owned()),
    };
    let code = match verdict {
        Ok(breaks) if breaks.is_empty() => {
            record.line("the rule held");
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            for text in &breaks {
                record.line(format!("broken: {text}"));
                println!("{name}: broken: {text}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("could not run: {error}"));
            println!("{name}: could not run: {error}");
            ExitCode::from(2)
        }
    };
    record.finish(&path);
    code
}
