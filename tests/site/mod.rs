//! A deployment on loopback for tests: real `pier-gate` processes, stand-ins for the store and the
//! endpoints, and a proxy before each of them.
//!
//! Each deployment has addresses of its own in 127.0.0.0/8, so that runs beside each other do not
//! meet. Only processes that a deployment started are ended, by their ids.

#![allow(dead_code)]

pub mod client;
pub mod process;
pub mod proxy;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::endpoint::{Endpoint, Options};
use tanagerpier::platform::standin::store::Store;

use process::Process;
use proxy::Proxy;

/// Longest wait for something that has to happen
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Regions of the deployment, with one zone each
pub const REGIONS: [&str; 2] = ["north", "south"];

/// Service that all routes lead to
pub const SERVICE: &str = "portal";

/// Seconds between SIGTERM and SIGKILL
pub const GRACE: u64 = 4;

/// Name of the host in requests
pub const HOST: &str = "portal.example";

/// One entry host
pub struct Gate {
    pub name: String,
    pub ip: IpAddr,
    pub region: &'static str,
    pub process: Option<Process>,
    /// Between this host and the store
    pub store: Proxy,
}

/// One endpoint and the proxy before it
pub struct Server {
    pub endpoint: Endpoint,
    pub region: &'static str,
    pub proxy: Proxy,
    pub task: Option<smol::Task<()>>,
    pub address: SocketAddr,
    /// When the store took its leaving
    pub drained: Option<Instant>,
}

/// A whole deployment
pub struct Site {
    pub store: Store,
    pub gates: Vec<Gate>,
    pub servers: Vec<Server>,
    pub version: u64,
    /// Second attempts of the whole fleet that are always allowed
    retry_slack: u32,
    directory: PathBuf,
    net: [u8; 2],
}

impl Site {
    /// Start `gates` hosts and `servers` endpoints in each region, and wait until they serve
    pub async fn start(gates: u8, servers: u8) -> Self {
        Self::start_with(gates, servers, 60).await
    }

    /// The same with so many second attempts that are always allowed
    pub async fn start_with(gates: u8, servers: u8, retry_slack: u32) -> Self {
        let net = free_net().await;
        let store = Store::new();
        let store_address = store
            .start(address(net, 1, 0))
            .await
            .expect("the store listens");
        let directory = std::env::temp_dir().join(format!("pier-site-{}-{}", net[0], net[1]));
        std::fs::create_dir_all(&directory).expect("a directory");
        let mut site = Self {
            store,
            gates: Vec::new(),
            servers: Vec::new(),
            version: 0,
            retry_slack,
            directory,
            net,
        };
        site.configure(&["/safe/", "/once/"]);
        for (index, region) in REGIONS.into_iter().enumerate() {
            for number in 0..servers {
                site.add_server(region, index as u8 * 40 + number).await;
            }
            for number in 0..gates {
                let ip = address(net, 10 + index as u8 * 20 + number, 0).ip();
                let proxy = Proxy::start(SocketAddr::new(ip, 0), store_address).await;
                let gate = Gate {
                    name: format!("gate-{region}-{number}"),
                    ip,
                    region,
                    process: None,
                    store: proxy,
                };
                site.gates.push(gate);
            }
        }
        for index in 0..site.gates.len() {
            site.launch(index);
        }
        for index in 0..site.gates.len() {
            site.ready(index).await;
        }
        site
    }

    /// Write a new configuration with a route for each prefix
    pub fn configure(&mut self, prefixes: &[&str]) {
        self.version += 1;
        let routes = prefixes.iter().map(|prefix| {
            let kind = if prefix.starts_with("/once") {
                "unsafe"
            } else {
                "safe"
            };
            let route = json!({
                "host": HOST, "path_prefix": prefix, "kind": kind, "service": SERVICE,
                "max_attempts": 2, "timeout_ms": 2500, "priority": 1, "session_affinity": true,
                "allowed_regions": [],
            });
            (format!("r{}", prefix.replace('/', "-")), route)
        });
        let routes: serde_json::Map<String, serde_json::Value> = routes.collect();
        let spec = json!({
            "version": self.version, "routes": routes,
            "services": {SERVICE: {
                "health_path": "/health", "warmup_s": 1.0, "warmup_per_s": 20.0,
            }},
            "limits": {"header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        });
        self.store.write("config", "main", spec);
    }

    /// Start an endpoint and register it
    pub async fn add_server(&mut self, region: &'static str, number: u8) {
        let endpoint = Endpoint::new(Options {
            id: format!("i-{region}-{number}"),
            slots: 3,
            service_time: Duration::from_millis(20),
            response_bytes: 2000,
        });
        let own = address(self.net, 100 + number, 0);
        let (address, task) = endpoint.start(own).await.expect("the endpoint listens");
        let proxy = Proxy::start(SocketAddr::new(own.ip(), 0), address).await;
        let server = Server {
            endpoint,
            region,
            proxy,
            task: Some(task),
            address,
            drained: None,
        };
        self.servers.push(server);
        self.register(self.servers.len() - 1, "ready");
    }

    /// Write an endpoint's entry
    pub fn register(&mut self, index: usize, state: &str) {
        let server = &mut self.servers[index];
        let entry = server
            .endpoint
            .store_spec(SERVICE, server.region, server.proxy.address, state);
        self.store.write("servers", server.endpoint.id(), entry);
        server.drained = (state == "draining").then(Instant::now);
    }

    /// Start the process of a host
    pub fn launch(&mut self, index: usize) {
        self.launch_with(index, None);
    }

    /// The same with its log going elsewhere than to a file
    pub fn launch_with(&mut self, index: usize, output: Option<Stdio>) {
        let seeds: Vec<String> = self
            .gates
            .iter()
            .take(3)
            .map(|gate| format!("\"{}:8166\"", gate.ip))
            .collect();
        let gate = &mut self.gates[index];
        let ip = gate.ip;
        let zones = REGIONS
            .map(|region| format!("{region}: \"{region}\""))
            .join(", ");
        let settings = format!(
            "node_name: \"{name}\"\nip: \"{ip}\"\nzone: \"{region}\"\nregion: \"{region}\"\n\
             zones: {{{zones}}}\nlisten:\n  frontend: \"{ip}:8161\"\n  readiness: \"{ip}:8167\"\n  \
             control_plane: \"{ip}:8166\"\n  directory: \"{ip}:8164\"\n\
             internal_ports: [7720, 7735]\nseeds: [{seeds}]\n\
             bounds: {{grace_s: {GRACE}, retry_ratio: 0.2, retry_window_s: 10, retry_slack: {slack}}}\n\
             platform: {{address: \"{store}\"}}\n",
            name = gate.name,
            region = gate.region,
            seeds = seeds.join(", "),
            store = gate.store.address,
            slack = self.retry_slack,
        );
        let file = self.directory.join(format!("{}.yaml", gate.name));
        std::fs::write(&file, settings).expect("settings are written");
        gate.process = Some(Process::gate(&self.directory, &gate.name, &file, output));
    }

    /// Wait until a host is ready; fails at once if its process has ended
    pub async fn ready(&mut self, index: usize) {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let gate = &mut self.gates[index];
            let ended = gate.process.as_mut().is_some_and(Process::is_over);
            assert!(!ended, "host {index} ended: {}", self.log(index));
            let gate = &self.gates[index];
            if get(SocketAddr::new(gate.ip, 8167), "/readiness")
                .await
                .is_some_and(|a| a.0 == 200)
            {
                return;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        panic!(
            "{} is not ready: {}",
            self.gates[index].name,
            self.log(index)
        );
    }

    /// What a host wrote
    pub fn log(&self, index: usize) -> String {
        let file = self
            .directory
            .join(format!("{}.log", self.gates[index].name));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Addresses for callers that the directory of some host names for a region
    pub async fn resolve(&self, index: usize, region: &str) -> Vec<SocketAddr> {
        let address = SocketAddr::new(self.gates[index].ip, 8164);
        let target = format!("/resolve?name={HOST}&region={region}&zone={region}");
        let Some((200, body)) = get(address, &target).await else {
            return Vec::new();
        };
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let named = body["addresses"].as_array().cloned().unwrap_or_default();
        named
            .iter()
            .filter_map(|text| text.as_str()?.parse().ok())
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gates.clear();
        if !std::thread::panicking() {
            // Logs of a failed run stay for whoever looks for the cause.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Wait until a condition holds
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if holds().await {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    panic!("not in {PATIENCE:?}: {what}");
}

/// Status and body of a plain question
pub async fn get(address: SocketAddr, target: &str) -> Option<(u16, Vec<u8>)> {
    let limit = Duration::from_secs(2);
    let exchange = async {
        let mut connection = Connection::connect(address, limit).await.ok()?;
        let head = format!("GET {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
        connection
            .write(head.as_bytes(), Instant::now() + limit)
            .await
            .ok()?;
        let answer = connection.read_response("GET").await.ok()?;
        let body = connection.read_body(answer.length, 8 << 20).await.ok()?;
        Some((answer.status, body))
    };
    timeout(Instant::now() + limit, exchange).await.flatten()
}

fn address(net: [u8; 2], last: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last)), port)
}

/// Part of the loopback range that no other deployment uses, held by a listener for good
async fn free_net() -> [u8; 2] {
    loop {
        let net = [fastrand::u8(2..250), fastrand::u8(1..250)];
        if let Ok(held) = std::net::TcpListener::bind(address(net, 254, 8199)) {
            std::mem::forget(held);
            return net;
        }
    }
}
