//! A fleet of real processes for tests: stand-ins, entry hosts and the relays between zones.
//!
//! Everything listens on free loopback ports, waits are polls with a deadline, and whatever was
//! started is ended by its id when the [`Fleet`] is dropped.

#![allow(dead_code)]

mod layout;
mod process;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Method;
use serde_json::{Value, json};
use tanagerpier::http::{self, BufferedResponse};
use tanagerpier::load::Plan;
use tanagerpier::member::HostInfo;
use tanagerpier::standin::{ports, record};

pub use layout::{Layout, Service};
pub use process::Process;

/// Longest wait for something that has to happen
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two looks
const POLL: Duration = Duration::from_millis(20);

/// Longest wait for one exchange
const EXCHANGE: Duration = Duration::from_secs(5);

/// Held by the one fleet that runs at a time
static ALONE: Mutex<()> = Mutex::new(());

/// One entry host
pub struct Host {
    /// Entry of the host list
    pub listed: HostInfo,
    /// Running process, if any
    pub process: Option<Process>,
    /// Whether it was told to stop
    pub stopping: bool,
}

/// One upstream
pub struct Upstream {
    /// Where it listens
    pub address: SocketAddr,
    /// Running process, if any
    pub process: Option<Process>,
}

/// All processes of one test
pub struct Fleet {
    /// Directory with settings, keys, records and logs
    pub directory: PathBuf,
    /// Address of the platform without a relay
    pub platform: SocketAddr,
    /// Control address of the relay
    pub relay: SocketAddr,
    /// Entry hosts by name
    pub hosts: BTreeMap<String, Host>,
    /// Upstreams by name
    pub upstreams: BTreeMap<String, Upstream>,
    layout: Layout,
    platforms: BTreeMap<String, SocketAddr>,
    standins: Vec<Process>,
    _alone: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Start everything and wait until each host answers look-ups
    pub fn new(layout: Layout) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = layout::directory();
        let views = layout.zones.iter().map(|site| site.zone.as_str());
        let views: Vec<String> = views.map(|zone| format!("{zone}=127.0.0.1:0")).collect();
        let mut args = vec!["platform"];
        views.iter().for_each(|view| args.extend(["--view", view]));
        let mut platform = Process::standin(&directory, "platform", &args);
        let address = platform.listening();
        let seen: Vec<SocketAddr> = views.iter().map(|_| platform.listening()).collect();
        let mut relay = Process::standin(&directory, "relay", &["relay"]);
        let zones = layout.zones.iter().map(|site| site.zone.clone());
        let mut fleet = Self {
            platform: address,
            relay: relay.listening(),
            hosts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            platforms: zones.zip(seen).collect(),
            standins: vec![platform, relay],
            directory,
            layout,
            _alone: alone,
        };
        fleet.start_upstreams();
        fleet.place_hosts();
        fleet.join_zones();
        fleet.list_hosts();
        let first = fleet.layout.document(&fleet.upstreams).to_string();
        let (accepted, text) = fleet.apply(0, &first);
        assert!(accepted, "{text}");
        let names: Vec<String> = fleet.hosts.keys().cloned().collect();
        names.iter().for_each(|name| fleet.start(name));
        names.iter().for_each(|name| fleet.await_ready(name));
        fleet
    }

    fn start_upstreams(&mut self) {
        for (name, _, _) in self.layout.endpoints() {
            let port = ports::allocate(1).expect("a free port")[0];
            let address = ([127, 0, 0, 1], port).into();
            let upstream = Upstream {
                address,
                process: None,
            };
            self.upstreams.insert(name.clone(), upstream);
            self.start_upstream(&name);
        }
    }

    /// Start an upstream, which goes on with its record
    pub fn start_upstream(&mut self, name: &str) {
        let service = self.layout.service_of(name);
        let record = self.directory.join(format!("{name}.record"));
        let listen = self.upstreams[name].address.to_string();
        let slots = service.slots.to_string();
        let time = format!("{}us", service.time.as_micros());
        let mut args = vec!["upstream", "--name", name, "--listen", &listen];
        args.extend(["--slots", &slots, "--service-time", &time, "--record"]);
        args.push(record.to_str().expect("a plain path"));
        let mut process = Process::standin(&self.directory, name, &args);
        process.listening();
        let upstream = self.upstreams.get_mut(name).expect("placed before");
        upstream.process = Some(process);
    }

    fn place_hosts(&mut self) {
        for site in self.layout.zones.clone() {
            for number in 1..=site.hosts {
                let free = ports::allocate(3).expect("free ports");
                let at = |index: usize| SocketAddr::from(([127, 0, 0, 1], free[index]));
                let name = format!("{}-{number}", site.zone);
                let listed = HostInfo {
                    host: name.as_str().into(),
                    zone: site.zone.as_str().into(),
                    peer: at(0),
                    caller: at(1),
                    operator: Some(at(2)),
                    leaving: false,
                };
                let host = Host {
                    listed,
                    process: None,
                    stopping: false,
                };
                self.hosts.insert(name, host);
            }
        }
        let names: Vec<_> = self.hosts.keys().map(|name| name.as_str().into()).collect();
        tanagerpier::ctl::keys::generate(&self.directory, &names).expect("keys");
    }

    /// Put a relay between each two zones and between each zone and the platform
    fn join_zones(&mut self) {
        let mut translate: BTreeMap<&str, BTreeMap<SocketAddr, SocketAddr>> = BTreeMap::new();
        for viewer in &self.layout.zones {
            let far = self.hosts.values().filter(|h| h.listed.zone != viewer.zone);
            let links = far.map(|host| {
                let name = pair(&viewer.zone, &host.listed.zone);
                json!({"name": name, "kind": "udp", "listen": "127.0.0.1:0", "to": host.listed.peer})
            });
            let answer = self.put(self.relay, "/links", &links.collect());
            let opened: Vec<tanagerpier::standin::relay::Link> =
                serde_json::from_slice(&answer.body).expect("links");
            let seen = opened.into_iter().map(|link| (link.to, link.listen));
            translate.insert(&viewer.zone, seen.collect());
        }
        self.put(
            self.platform,
            "/control",
            &json!({ "translate": translate }),
        );
        for (zone, address) in &mut self.platforms {
            let name = pair(zone, "platform");
            let link =
                json!([{"name": name, "kind": "tcp", "listen": "127.0.0.1:0", "to": address}]);
            let answer = put(self.relay, "/links", &link);
            let opened: Vec<tanagerpier::standin::relay::Link> =
                serde_json::from_slice(&answer.body).expect("links");
            *address = opened[0].listen;
        }
    }

    /// Give the platform the list of all hosts
    pub fn list_hosts(&self) {
        let listed: Vec<&HostInfo> = self.hosts.values().map(|host| &host.listed).collect();
        self.put(self.platform, "/hosts", &json!(listed));
    }

    /// Start an entry host
    pub fn start(&mut self, name: &str) {
        let host = &self.hosts[name];
        let zone = &host.listed.zone;
        let near = self.hosts.values().filter(|h| h.listed.zone == *zone);
        let seeds: Vec<_> = near.map(|host| host.listed.peer).collect();
        let key = |end: &str| self.directory.join(format!("{name}.{end}"));
        // YAML is a superset of JSON.
        let settings = json!({
            "host": name,
            "zone": zone,
            "caller": host.listed.caller,
            "peer": host.listed.peer,
            "operator": host.listed.operator,
            "platform": [self.platforms[zone.as_str()]],
            "seeds": seeds,
            "keys": {
                "certificate": key("pem"),
                "private_key": key("key"),
                "authorities": [self.directory.join("ca.pem")],
            },
        });
        let file = key("yaml");
        std::fs::write(&file, settings.to_string()).expect("settings written");
        let process = Process::entry(&self.directory, name, &file);
        let host = self.host_mut(name);
        host.process = Some(process);
        host.stopping = false;
    }

    /// Wait until a host answers look-ups for all services
    pub fn await_ready(&self, name: &str) {
        for service in &self.layout.services {
            let target = format!("/lookup?service={}&block=1", service.name);
            let address = self.hosts[name].listed.caller;
            self.until(&format!("look-up at {name}"), || {
                try_get(address, &target).is_some_and(|answer| answer.status() == 200)
            });
        }
    }

    /// Poll until something holds; a panic after [`PATIENCE`]
    pub fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < end, "not within {PATIENCE:?}: {what}");
            self.assert_running(what);
            std::thread::sleep(POLL);
        }
    }

    /// End an entry host at once
    pub fn kill(&mut self, name: &str) {
        let process = self.host_mut(name).process.take();
        process.expect("a running host").kill();
    }

    /// Fail at once, with its log, if a host's process has ended by itself
    fn assert_running(&self, what: &str) {
        for (name, host) in &self.hosts {
            if !host.stopping && host.process.as_ref().is_some_and(Process::is_over) {
                let log = self.directory.join(format!("{name}.log"));
                let log = std::fs::read_to_string(log).unwrap_or_default();
                panic!("{name} ended while waiting for {what}: {log}");
            }
        }
    }

    /// Begin a planned stop of an entry host
    pub fn terminate(&mut self, name: &str) {
        self.host_mut(name).stopping = true;
        self.signal(name, "TERM");
    }

    /// Wait for the end of a planned stop; gives whether it ended well
    pub fn await_end(&mut self, name: &str, limit: Duration) -> bool {
        let mut process = self.host_mut(name).process.take().expect("a running host");
        process.ends_well(limit)
    }

    /// Whether the process of an entry host has ended by itself
    pub fn has_ended(&mut self, name: &str) -> bool {
        let process = self.host_mut(name).process.as_mut();
        process.expect("a running host").has_ended()
    }

    /// Send a signal such as `STOP` or `CONT` to an entry host
    pub fn signal(&mut self, name: &str, signal: &str) {
        let process = self.host_mut(name).process.as_mut();
        process.expect("a running host").signal(signal);
    }

    fn host_mut(&mut self, name: &str) -> &mut Host {
        self.hosts.get_mut(name).expect("a known host")
    }

    /// End an upstream at once
    pub fn kill_upstream(&mut self, name: &str) {
        let upstream = self.upstreams.get_mut(name).expect("a known upstream");
        upstream.process = None;
    }

    /// Restart each upstream whose process has ended; gives how many
    pub fn revive_upstreams(&mut self) -> usize {
        let mut dead = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            if upstream.process.as_mut().is_none_or(|p| p.has_ended()) {
                dead.push(name.clone());
            }
        }
        dead.iter().for_each(|name| self.start_upstream(name));
        dead.len()
    }

    /// Cut two zones, or a zone and `platform`, apart
    pub fn cut(&self, one: &str, other: &str) {
        self.link(one, other, &json!({"cut": true}));
    }

    /// End a cut
    pub fn join(&self, one: &str, other: &str) {
        self.link(one, other, &json!({"cut": false}));
    }

    /// Change the faults between two zones
    pub fn link(&self, one: &str, other: &str, faults: &Value) {
        let patch = json!({ pair(one, other): faults });
        self.put(self.relay, "/control", &patch);
    }

    /// Change the platform's faults
    pub fn fault_platform(&self, patch: &Value) {
        self.put(self.platform, "/control", patch);
    }

    /// Change an upstream's faults
    pub fn fault(&self, upstream: &str, patch: &Value) {
        self.put(self.upstreams[upstream].address, "/control", patch);
    }

    /// Submit a patch with `pierctl`; gives whether it was accepted, and what was printed
    pub fn apply(&self, on: u64, patch: &str) -> (bool, String) {
        let run = self.apply_command(on, patch).output();
        let run = run.expect("pierctl runs");
        let text = [run.stdout, run.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        (run.status.success(), text)
    }

    /// Command that submits a patch
    pub fn apply_command(&self, on: u64, patch: &str) -> Command {
        let file = format!("patch-{on}-{:x}.yaml", fastrand::u64(..));
        let file = self.directory.join(file);
        std::fs::write(&file, patch).expect("patch written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_pierctl"));
        command
            .args(["apply", file.to_str().expect("a plain path"), "--on"])
            .args([&on.to_string(), "--who", "test", "--reason", "test"])
            .args(["--platform", &self.platform.to_string()]);
        command
    }

    /// Load from all blocks on all hosts, with all records compared at its end
    pub fn plan(&self) -> Plan {
        Plan {
            entry_addresses: self.hosts.values().map(|h| h.listed.caller).collect(),
            upstream_addresses: self.upstreams.values().map(|u| u.address).collect(),
            services: self.layout.services.iter().map(Service::mix).collect(),
            ..Plan::default()
        }
    }

    /// What an upstream ran
    pub fn record(&self, name: &str) -> record::Report {
        let answer = get(self.upstreams[name].address, "/record");
        serde_json::from_slice(&answer.body).expect("a record")
    }

    /// Send a JSON body
    pub fn put(&self, to: SocketAddr, target: &str, body: &Value) -> BufferedResponse {
        put(to, target, body)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        self.upstreams.clear();
        self.standins.clear();
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.directory.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Name of the links between two places
fn pair(one: &str, other: &str) -> String {
    let (first, second) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    format!("{first}|{second}")
}

/// Exchange that has to succeed
pub fn put(to: SocketAddr, target: &str, body: &Value) -> BufferedResponse {
    let mut request = http::request(Method::Put, to, target);
    request.set_body(body.to_string());
    let answer = smol::block_on(http::call(to, request, EXCHANGE)).expect("an answer");
    assert_eq!(answer.status(), 200, "{target}: {:?}", answer.body);
    answer
}

/// Answer that has to come
pub fn get(from: SocketAddr, target: &str) -> BufferedResponse {
    try_get(from, target).expect("an answer")
}

/// Answer, if one comes
pub fn try_get(from: SocketAddr, target: &str) -> Option<BufferedResponse> {
    try_get_within(from, target, EXCHANGE)
}

/// Answer, if one comes in time
pub fn try_get_within(from: SocketAddr, target: &str, limit: Duration) -> Option<BufferedResponse> {
    let request = http::request(Method::Get, from, target);
    smol::block_on(http::call(from, request, limit)).ok()
}
