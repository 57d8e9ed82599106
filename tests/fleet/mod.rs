//! Runs a fleet of real processes for tests: stand-ins, entry hosts and the relay between zones.
//!
//! All processes listen on free loopback ports, and every wait polls with a timeout. Dropping the
//! [`Fleet`] ends the processes that it started, by process id.

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

/// Timeout for a condition that has to become true
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two polls
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of one HTTP exchange
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Lock that allows only one fleet at a time
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// An entry host of the fleet
pub struct Host {
    /// Entry in the list of hosts
    pub info: HostInfo,
    /// Running process, if any
    pub process: Option<Process>,
    /// Whether a planned stop has begun
    pub is_stopping: bool,
}

/// An upstream of the fleet
pub struct Upstream {
    /// Listen address
    pub address: SocketAddr,
    /// Running process, if any
    pub process: Option<Process>,
}

/// All processes of one test
pub struct Fleet {
    /// Directory of the settings, keys, records and logs
    pub directory: PathBuf,
    /// Direct address of the platform, not through the relay
    pub platform_address: SocketAddr,
    /// Control address of the relay
    pub relay_control_address: SocketAddr,
    /// Entry hosts by name
    pub hosts: BTreeMap<String, Host>,
    /// Upstreams by name
    pub upstreams: BTreeMap<String, Upstream>,
    layout: Layout,
    platform_views: BTreeMap<String, SocketAddr>,
    standins: Vec<Process>,
    _lock: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Starts all processes and waits until every host answers lookups
    pub fn new(layout: Layout) -> Self {
        let lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = layout::create_directory();
        let zone_names = layout.zones.iter().map(|zone| zone.name.as_str());
        let views: Vec<String> = zone_names
            .map(|zone| format!("{zone}=127.0.0.1:0"))
            .collect();
        let mut args = vec!["platform"];
        views.iter().for_each(|view| args.extend(["--view", view]));
        let mut platform = Process::standin(&directory, "platform", &args);
        let platform_address = platform.read_listen_address();
        let view_addresses: Vec<SocketAddr> = views
            .iter()
            .map(|_| platform.read_listen_address())
            .collect();
        let mut relay = Process::standin(&directory, "relay", &["relay"]);
        let zone_names = layout.zones.iter().map(|zone| zone.name.clone());
        let mut fleet = Self {
            platform_address,
            relay_control_address: relay.read_listen_address(),
            hosts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            platform_views: zone_names.zip(view_addresses).collect(),
            standins: vec![platform, relay],
            directory,
            layout,
            _lock: lock,
        };
        fleet.start_upstreams();
        fleet.create_hosts();
        fleet.link_zones();
        fleet.publish_hosts();
        let document = fleet.layout.document(&fleet.upstreams).to_string();
        let (accepted, output) = fleet.submit_patch(0, &document);
        assert!(accepted, "{output}");
        let names: Vec<String> = fleet.hosts.keys().cloned().collect();
        names.iter().for_each(|name| fleet.start_host(name));
        names.iter().for_each(|name| fleet.wait_until_ready(name));
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

    /// Starts an upstream, which continues the record of its earlier runs
    pub fn start_upstream(&mut self, name: &str) {
        let service = self.layout.service_of(name);
        let record = self.directory.join(format!("{name}.record"));
        let listen = self.upstreams[name].address.to_string();
        let slots = service.slots.to_string();
        let service_time = format!("{}us", service.service_time.as_micros());
        let mut args = vec!["upstream", "--name", name, "--listen", &listen];
        args.extend([
            "--slots",
            &slots,
            "--service-time",
            &service_time,
            "--record",
        ]);
        args.push(record.to_str().expect("path is valid UTF-8"));
        let mut process = Process::standin(&self.directory, name, &args);
        process.read_listen_address();
        let upstream = self
            .upstreams
            .get_mut(name)
            .expect("upstream is in the layout");
        upstream.process = Some(process);
    }

    fn create_hosts(&mut self) {
        for zone in self.layout.zones.clone() {
            for number in 1..=zone.hosts {
                let free_ports = ports::allocate(3).expect("free ports");
                let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], free_ports[index]));
                let name = format!("{}-{number}", zone.name);
                let info = HostInfo {
                    host: name.as_str().into(),
                    zone: zone.name.as_str().into(),
                    peer: address(0),
                    caller: address(1),
                    operator: Some(address(2)),
                    leaving: false,
                };
                let host = Host {
                    info,
                    process: None,
                    is_stopping: false,
                };
                self.hosts.insert(name, host);
            }
        }
        let names: Vec<_> = self.hosts.keys().map(|name| name.as_str().into()).collect();
        tanagerpier::ctl::keys::generate(&self.directory, &names).expect("keys are generated");
    }

    /// Opens relay links between every two zones and between each zone and the platform
    fn link_zones(&mut self) {
        let mut translate: BTreeMap<&str, BTreeMap<SocketAddr, SocketAddr>> = BTreeMap::new();
        for zone in &self.layout.zones {
            let remote_hosts = self
                .hosts
                .values()
                .filter(|host| host.info.zone != zone.name);
            let links = remote_hosts.map(|host| {
                let name = link_name(&zone.name, &host.info.zone);
                json!({"name": name, "kind": "udp", "listen": "127.0.0.1:0", "to": host.info.peer})
            });
            let response = self.put(self.relay_control_address, "/links", &links.collect());
            let links: Vec<tanagerpier::standin::relay::Link> =
                serde_json::from_slice(&response.body).expect("valid links");
            let listen_by_target = links.into_iter().map(|link| (link.to, link.listen));
            translate.insert(&zone.name, listen_by_target.collect());
        }
        self.put(
            self.platform_address,
            "/control",
            &json!({ "translate": translate }),
        );
        for (zone, address) in &mut self.platform_views {
            let name = link_name(zone, "platform");
            let link =
                json!([{"name": name, "kind": "tcp", "listen": "127.0.0.1:0", "to": address}]);
            let response = put(self.relay_control_address, "/links", &link);
            let links: Vec<tanagerpier::standin::relay::Link> =
                serde_json::from_slice(&response.body).expect("valid links");
            *address = links[0].listen;
        }
    }

    /// Publishes the list of all hosts on the platform
    pub fn publish_hosts(&self) {
        let infos: Vec<&HostInfo> = self.hosts.values().map(|host| &host.info).collect();
        self.put(self.platform_address, "/hosts", &json!(infos));
    }

    /// Starts an entry host
    pub fn start_host(&mut self, name: &str) {
        let host = &self.hosts[name];
        let zone = &host.info.zone;
        let zone_hosts = self.hosts.values().filter(|host| host.info.zone == *zone);
        let seeds: Vec<_> = zone_hosts.map(|host| host.info.peer).collect();
        let path = |extension: &str| self.directory.join(format!("{name}.{extension}"));
        // YAML is a superset of JSON.
        let settings = json!({
            "host": name,
            "zone": zone,
            "caller": host.info.caller,
            "peer": host.info.peer,
            "operator": host.info.operator,
            "platform": [self.platform_views[zone.as_str()]],
            "seeds": seeds,
            "keys": {
                "certificate": path("pem"),
                "private_key": path("key"),
                "authorities": [self.directory.join("ca.pem")],
            },
        });
        let settings_path = path("yaml");
        std::fs::write(&settings_path, settings.to_string()).expect("settings written");
        let process = Process::entry(&self.directory, name, &settings_path);
        let host = self.host_mut(name);
        host.process = Some(process);
        host.is_stopping = false;
    }

    /// Waits until a host answers lookups for all services
    pub fn wait_until_ready(&self, name: &str) {
        for service in &self.layout.services {
            let target = format!("/lookup?service={}&block=1", service.name);
            let address = self.hosts[name].info.caller;
            self.wait_until(&format!("lookup at {name}"), || {
                try_get(address, &target).is_some_and(|response| response.status() == 200)
            });
        }
    }

    /// Polls until the condition holds; panics after [`WAIT_TIMEOUT`]
    pub fn wait_until(&self, condition: &str, mut is_met: impl FnMut() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_met() {
            assert!(
                Instant::now() < deadline,
                "not within {WAIT_TIMEOUT:?}: {condition}"
            );
            self.assert_hosts_running(condition);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills an entry host
    pub fn kill_host(&mut self, name: &str) {
        let process = self.host_mut(name).process.take();
        process.expect("a running host").kill();
    }

    /// Panics with the log of a host whose process has exited without a planned stop
    fn assert_hosts_running(&self, condition: &str) {
        for (name, host) in &self.hosts {
            if !host.is_stopping && host.process.as_ref().is_some_and(Process::is_zombie) {
                let log = self.directory.join(format!("{name}.log"));
                let log = std::fs::read_to_string(log).unwrap_or_default();
                panic!("{name} exited during the wait for {condition}: {log}");
            }
        }
    }

    /// Begins a planned stop of an entry host
    pub fn begin_host_stop(&mut self, name: &str) {
        self.host_mut(name).is_stopping = true;
        self.signal_host(name, "TERM");
    }

    /// Waits for a planned stop to end and returns whether the process exited successfully in time
    pub fn wait_for_exit(&mut self, name: &str, timeout: Duration) -> bool {
        let mut process = self.host_mut(name).process.take().expect("a running host");
        process.exits_successfully(timeout)
    }

    /// Returns whether the process of an entry host has exited
    pub fn has_host_exited(&mut self, name: &str) -> bool {
        let process = self.host_mut(name).process.as_mut();
        process.expect("a running host").has_exited()
    }

    /// Sends a signal such as `STOP` or `CONT` to an entry host
    pub fn signal_host(&mut self, name: &str, signal: &str) {
        let process = self.host_mut(name).process.as_mut();
        process.expect("a running host").signal(signal);
    }

    fn host_mut(&mut self, name: &str) -> &mut Host {
        self.hosts.get_mut(name).expect("a known host")
    }

    /// Kills an upstream
    pub fn kill_upstream(&mut self, name: &str) {
        let upstream = self.upstreams.get_mut(name).expect("a known upstream");
        upstream.process = None;
    }

    /// Restarts every upstream whose process has exited and returns their number
    pub fn restart_exited_upstreams(&mut self) -> usize {
        let mut exited = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            if upstream
                .process
                .as_mut()
                .is_none_or(|process| process.has_exited())
            {
                exited.push(name.clone());
            }
        }
        exited.iter().for_each(|name| self.start_upstream(name));
        exited.len()
    }

    /// Cuts all links between two zones, or between a zone and `platform`
    pub fn partition(&self, one: &str, other: &str) {
        self.set_link_faults(one, other, &json!({"cut": true}));
    }

    /// Restores the links cut by [`Fleet::partition`]
    pub fn heal_partition(&self, one: &str, other: &str) {
        self.set_link_faults(one, other, &json!({"cut": false}));
    }

    /// Changes the injected faults of the links between two zones
    pub fn set_link_faults(&self, one: &str, other: &str, faults: &Value) {
        let patch = json!({ link_name(one, other): faults });
        self.put(self.relay_control_address, "/control", &patch);
    }

    /// Changes the platform's injected faults
    pub fn set_platform_faults(&self, patch: &Value) {
        self.put(self.platform_address, "/control", patch);
    }

    /// Changes an upstream's injected faults
    pub fn set_upstream_faults(&self, upstream: &str, patch: &Value) {
        self.put(self.upstreams[upstream].address, "/control", patch);
    }

    /// Submits a patch with `pierctl`; returns whether it was accepted and the output
    pub fn submit_patch(&self, base: u64, patch: &str) -> (bool, String) {
        let output = self.patch_command(base, patch).output();
        let output = output.expect("pierctl runs");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        (output.status.success(), text)
    }

    /// Returns the command that submits a patch
    pub fn patch_command(&self, base: u64, patch: &str) -> Command {
        let file_name = format!("patch-{base}-{:x}.yaml", fastrand::u64(..));
        let path = self.directory.join(file_name);
        std::fs::write(&path, patch).expect("patch written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_pierctl"));
        command
            .args(["apply", path.to_str().expect("path is valid UTF-8"), "--on"])
            .args([&base.to_string(), "--who", "test", "--reason", "test"])
            .args(["--platform", &self.platform_address.to_string()]);
        command
    }

    /// Returns a plan for load from all client blocks on all hosts, which compares all records at
    /// the end
    pub fn load_plan(&self) -> Plan {
        Plan {
            entry_addresses: self.hosts.values().map(|host| host.info.caller).collect(),
            upstream_addresses: self.upstreams.values().map(|u| u.address).collect(),
            services: self
                .layout
                .services
                .iter()
                .map(Service::weighted_service)
                .collect(),
            ..Plan::default()
        }
    }

    /// Returns the record of the requests that an upstream executed
    pub fn execution_record(&self, name: &str) -> record::Report {
        let response = get(self.upstreams[name].address, "/record");
        serde_json::from_slice(&response.body).expect("a valid record")
    }

    /// Sends a JSON body with PUT
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
            eprintln!("the logs are in {}", self.directory.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the name of the links between two zones or a zone and the platform
fn link_name(one: &str, other: &str) -> String {
    let (first, second) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    format!("{first}|{second}")
}

/// Sends a JSON body with PUT and panics unless the status is 200
pub fn put(to: SocketAddr, target: &str, body: &Value) -> BufferedResponse {
    let mut request = http::request(Method::Put, to, target);
    request.set_body(body.to_string());
    let response = smol::block_on(http::call(to, request, EXCHANGE_TIMEOUT)).expect("a response");
    assert_eq!(response.status(), 200, "{target}: {:?}", response.body);
    response
}

/// Returns the response to a GET request and panics without one
pub fn get(from: SocketAddr, target: &str) -> BufferedResponse {
    try_get(from, target).expect("a response")
}

/// Returns the response to a GET request, or `None` if it fails
pub fn try_get(from: SocketAddr, target: &str) -> Option<BufferedResponse> {
    try_get_within(from, target, EXCHANGE_TIMEOUT)
}

/// Returns the response to a GET request, or `None` if it fails or exceeds the timeout
pub fn try_get_within(
    from: SocketAddr,
    target: &str,
    timeout: Duration,
) -> Option<BufferedResponse> {
    let request = http::request(Method::Get, from, target);
    smol::block_on(http::call(from, request, timeout)).ok()
}
