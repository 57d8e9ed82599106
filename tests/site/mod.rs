//! Runs a deployment on loopback for tests: real `pier-gate` processes, stand-ins for the store and
//! the endpoints, and a proxy in front of each of them.
//!
//! Each has its own addresses in 127.0.0.0/8, and ends only the processes that it started.

#![allow(dead_code)]

pub mod client;
pub mod lasting;
pub mod limit;
pub mod load;
pub mod once;
pub mod options;
mod play;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod repeat;
pub mod settings;
pub mod status;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::endpoint::{self, Endpoint};
use tanagerpier::platform::standin::store::Store;

// Some test binaries start their deployments one by one.
use options::Options;
#[allow(unused_imports)]
pub use play::{collect, play_all};
use process::Process;
use proxy::Proxy;

/// Timeout for a condition that has to become true
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Regions of the deployment, with one zone each
pub const REGIONS: [&str; 2] = ["north", "south"];

/// Service of all routes
pub const SERVICE: &str = "portal";

/// Seconds between SIGTERM and SIGKILL
pub const STOP_GRACE_SECS: u64 = 4;

/// Service that no route leads to
pub const OTHER_SERVICE: &str = "library";

/// Memory limit of the hosts, in MB; that of the smallest ones
pub const MEMORY_MB: u64 = 160;

/// Name of the host in requests
pub const HOST_NAME: &str = "portal.example";

/// A gateway of the deployment
pub struct Gateway {
    pub name: String,
    pub ip: IpAddr,
    pub region: &'static str,
    pub process: Option<Process>,
    /// Proxy between this gateway and the store
    pub store_proxy: Proxy,
}

/// An endpoint and the proxy in front of it
pub struct Server {
    pub endpoint: Endpoint,
    pub region: &'static str,
    pub proxy: Proxy,
    pub task: Option<smol::Task<()>>,
    pub address: SocketAddr,
    /// Time at which its state in the store became `draining`
    pub draining_since: Option<Instant>,
}

/// A deployment with its store, gateways and endpoints
pub struct Site {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub servers: Vec<Server>,
    pub version: u64,
    /// Last content of each object that the operator and the endpoints wrote, by kind and name
    written: BTreeMap<(&'static str, String), serde_json::Value>,
    /// Endpoints that ended and whose addresses others have now
    pub former_endpoints: Vec<Endpoint>,
    /// Endpoints of another service that have those addresses
    pub other_endpoints: Vec<Endpoint>,
    options: Options,
    directory: PathBuf,
    subnet: [u8; 2],
}

impl Site {
    /// Starts `gateways` gateways and `servers` endpoints in each region and waits until all
    /// gateways are ready
    pub async fn start(gateways: u8, servers: u8) -> Self {
        Self::start_with(gateways, servers, Options::default()).await
    }

    /// Starts a deployment as [`Site::start`] does, with the given number of retries that are
    /// always allowed
    pub async fn start_with_retry_slack(gateways: u8, servers: u8, retry_slack: u32) -> Self {
        let options = Options {
            retry_slack,
            ..Options::default()
        };
        Self::start_with(gateways, servers, options).await
    }

    /// Starts a deployment as [`Site::start`] does, whose endpoints have the given slots and time
    /// that a request takes
    pub async fn start_with_capacity(
        gateways: u8,
        servers: u8,
        capacity: (usize, Duration),
    ) -> Self {
        let options = Options {
            capacity,
            ..Options::default()
        };
        Self::start_with(gateways, servers, options).await
    }

    /// Starts a deployment as [`Site::start`] does, with what a test chooses
    pub async fn start_with(gateways: u8, servers: u8, options: Options) -> Self {
        let subnet = reserve_subnet().await;
        let store = Store::with_era();
        let store_address = store
            .start(address(subnet, 1, 0))
            .await
            .expect("the store listens");
        let directory = std::env::temp_dir().join(format!("pier-site-{}-{}", subnet[0], subnet[1]));
        std::fs::create_dir_all(&directory).expect("directory is created");
        let mut site = Self {
            store,
            gateways: Vec::new(),
            servers: Vec::new(),
            version: 0,
            written: BTreeMap::new(),
            former_endpoints: Vec::new(),
            other_endpoints: Vec::new(),
            options,
            directory,
            subnet,
        };
        site.configure(&["/safe/", "/once/"]);
        for (index, region) in REGIONS.into_iter().enumerate() {
            for number in 0..servers {
                site.add_server(region, index as u8 * 40 + number).await;
            }
            let hosts = options.first_region_hosts.filter(|_| index == 0);
            let hosts_subnet = reserve_subnet().await;
            for number in 0..hosts.unwrap_or(gateways) {
                let ip = address(hosts_subnet, 10 + number, 0).ip();
                let proxy = Proxy::start(SocketAddr::new(ip, 0), store_address).await;
                let gateway = Gateway {
                    name: format!("gate-{region}-{number}"),
                    ip,
                    region,
                    process: None,
                    store_proxy: proxy,
                };
                site.gateways.push(gateway);
            }
        }
        for index in 0..site.gateways.len() {
            site.start_gateway(index);
        }
        for index in 0..site.gateways.len() {
            site.wait_until_ready(index).await;
        }
        site
    }

    /// Writes a new configuration with a route for each prefix
    pub fn configure(&mut self, prefixes: &[&str]) {
        self.version += 1;
        let routes = prefixes.iter().map(|prefix| {
            let kind = if prefix.starts_with("/once") {
                "unsafe"
            } else {
                "safe"
            };
            let route = json!({
                "host": HOST_NAME, "path_prefix": prefix, "kind": kind, "service": SERVICE,
                "max_attempts": 2, "timeout_ms": self.options.timeout_ms, "priority": 1, "session_affinity": true,
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
        self.write("config", "main", spec);
    }

    /// Starts an endpoint and registers it
    pub async fn add_server(&mut self, region: &'static str, number: u8) {
        let endpoint = Endpoint::new(endpoint::Options {
            id: format!("i-{region}-{number}"),
            slots: self.options.capacity.0,
            service_time: self.options.capacity.1,
            response_bytes: 2000,
        });
        let own_address = address(self.subnet, 100 + number, 0);
        let (address, task) = endpoint
            .start(own_address)
            .await
            .expect("the endpoint listens");
        let proxy = Proxy::start(SocketAddr::new(own_address.ip(), 0), address).await;
        let server = Server {
            endpoint,
            region,
            proxy,
            task: Some(task),
            address,
            draining_since: None,
        };
        self.servers.push(server);
        self.register(self.servers.len() - 1, "ready");
    }

    /// Writes an endpoint's entry with the given state to the store
    pub fn register(&mut self, index: usize, state: &str) {
        let server = &mut self.servers[index];
        let entry = server
            .endpoint
            .store_spec(SERVICE, server.region, server.proxy.address, state);
        server.draining_since = (state == "draining").then(Instant::now);
        let id = server.endpoint.id().to_owned();
        self.write("servers", &id, entry);
    }

    /// Writes an endpoint's entry with its own address, so that requests bypass the proxy
    ///
    /// A proxy accepts connections to an endpoint that crashed; the endpoint's address refuses them.
    pub fn register_without_proxy(&mut self, index: usize) {
        let server = &self.servers[index];
        let entry = server
            .endpoint
            .store_spec(SERVICE, server.region, server.address, "ready");
        let id = server.endpoint.id().to_owned();
        self.write("servers", &id, entry);
    }

    /// Asks that no requests are sent to the endpoints of a zone
    pub fn evacuate(&mut self, zone: &str, spec: serde_json::Value) {
        self.write("evacuations", zone, spec);
    }

    fn write(&mut self, kind: &'static str, name: &str, spec: serde_json::Value) {
        self.store.write(kind, name, spec.clone());
        self.written.insert((kind, name.to_owned()), spec);
    }

    /// Writes again what the operator and the endpoints wrote, after the store lost it
    pub fn write_again(&self) {
        for ((kind, name), spec) in &self.written {
            self.store.write(kind, name, spec.clone());
        }
    }

    /// Starts an endpoint again that a request crashed; it is not registered yet
    pub async fn restart_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        stop(server).await;
        let started = server.endpoint.start(server.address).await;
        server.task = Some(started.expect("the endpoint listens again").1);
    }

    /// Gives the address of an endpoint that crashed to one of another service, and starts another
    /// one of its service elsewhere; the entry of the crashed one stays until it is removed
    pub async fn replace_server(&mut self, index: usize) {
        let number = self.former_endpoints.len();
        let server = &mut self.servers[index];
        let options = |id: String| endpoint::Options {
            id,
            slots: self.options.capacity.0,
            service_time: self.options.capacity.1,
            response_bytes: 2000,
        };
        stop(server).await;
        // Before its successor, which could get the port that is free now.
        let other = Endpoint::new(options(format!("l-other-{number}")));
        let (_, other_task) = other
            .start(server.address)
            .await
            .expect("the endpoint listens at the address of the crashed one");
        other_task.detach();
        let successor = Endpoint::new(options(format!("i-successor-{number}")));
        let own_address = SocketAddr::new(server.address.ip(), 0);
        let (address, task) = successor
            .start(own_address)
            .await
            .expect("the endpoint listens");
        let entry = other.store_spec(OTHER_SERVICE, server.region, server.address, "ready");
        self.store.write("servers", other.id(), entry);
        self.other_endpoints.push(other);
        server.address = address;
        server.task = Some(task);
        let former = std::mem::replace(&mut server.endpoint, successor);
        self.former_endpoints.push(former);
    }

    /// Starts the process of a gateway
    pub fn start_gateway(&mut self, index: usize) {
        self.start_gateway_with_output(index, None);
    }

    /// Starts the process of a gateway that logs to `output`, or to its log file without one
    pub fn start_gateway_with_output(&mut self, index: usize, output: Option<Stdio>) {
        let seeds: Vec<String> = self
            .gateways
            .iter()
            .take(3)
            .map(|gateway| format!("\"{}:8166\"", gateway.ip))
            .collect();
        let gateway = &self.gateways[index];
        let ip = gateway.ip;
        let zones = REGIONS
            .map(|region| format!("{region}: \"{region}\""))
            .join(", ");
        let settings = format!(
            "node_name: \"{name}\"\nip: \"{ip}\"\nzone: \"{region}\"\nregion: \"{region}\"\n\
             zones: {{{zones}}}\nlisten:\n  frontend: \"{ip}:8161\"\n  readiness: \"{ip}:8167\"\n  \
             control_plane: \"{ip}:8166\"\n  directory: \"{ip}:8164\"\n\
             internal_ports: [7720, 7735]\nseeds: [{seeds}]\n\
             bounds: {{grace_s: {grace}, retry_ratio: 0.2, retry_window_s: 10, retry_slack: {slack}, \
             config_apply_ms: {apply}}}\n\
             platform: {{address: \"{store}\"}}\nlimits: {{memory_mb: {MEMORY_MB}}}\n",
            name = gateway.name,
            region = gateway.region,
            seeds = seeds.join(", "),
            store = gateway.store_proxy.address,
            slack = self.options.retry_slack,
            grace = self.options.grace_secs,
            apply = self.options.config_apply_ms,
        );
        let settings_path = self.settings_path(index);
        std::fs::write(&settings_path, settings).expect("settings are written");
        let gateway = &mut self.gateways[index];
        gateway.process = Some(Process::gate(
            &self.directory,
            &gateway.name,
            &settings_path,
            output,
        ));
    }

    /// Waits until a gateway is ready; panics at once if its process has exited
    pub async fn wait_until_ready(&mut self, index: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let gateway = &mut self.gateways[index];
            let has_exited = gateway.process.as_mut().is_some_and(Process::has_exited);
            assert!(
                !has_exited,
                "gateway {index} exited: {}",
                self.read_log(index)
            );
            let gateway = &self.gateways[index];
            if get(SocketAddr::new(gateway.ip, 8167), "/readiness")
                .await
                .is_some_and(|response| response.0 == 200)
            {
                return;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        panic!(
            "{} is not ready: {}",
            self.gateways[index].name,
            self.read_log(index)
        );
    }

    /// Returns the log of a gateway
    pub fn read_log(&self, index: usize) -> String {
        let path = self
            .directory
            .join(format!("{}.log", self.gateways[index].name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the addresses that the directory of a gateway lists for callers in a region
    pub async fn resolve(&self, index: usize, region: &str) -> Vec<SocketAddr> {
        let address = SocketAddr::new(self.gateways[index].ip, 8164);
        let target = format!("/resolve?name={HOST_NAME}&region={region}&zone={region}");
        let Some((200, body)) = get(address, &target).await else {
            return Vec::new();
        };
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses
            .iter()
            .filter_map(|text| text.as_str()?.parse().ok())
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.gateways.clear();
        // The logs of a failed run are kept for diagnosis.
        if std::thread::panicking() {
            return;
        }
        let directory = std::mem::take(&mut self.directory);
        if let Some(directory) = play::keep(directory) {
            let _ = std::fs::remove_dir_all(directory);
        }
    }
}

/// Closes all sockets of an endpoint
async fn stop(server: &mut Server) {
    if let Some(task) = server.task.take() {
        task.cancel().await;
    }
}

/// Polls until the condition holds; panics after [`WAIT_TIMEOUT`]
pub async fn wait_until<F: Future<Output = bool>>(condition: &str, mut is_met: impl FnMut() -> F) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if is_met().await {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    panic!("not within {WAIT_TIMEOUT:?}: {condition}");
}

/// Sends a request to a host and returns the status of the answer
pub async fn get_status(host: SocketAddr, target: &str, id: &str) -> Option<u16> {
    let request = format!(
        "GET {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: 1500\r\nConnection: close\r\n\r\n"
    );
    let deadline = Instant::now() + Duration::from_secs(2);
    let exchange = async {
        let mut connection = Connection::connect(host, Duration::from_secs(1))
            .await
            .ok()?;
        connection.write(request.as_bytes(), deadline).await.ok()?;
        Some(connection.read_response("GET").await.ok()?.status)
    };
    timeout(deadline, exchange).await.flatten()
}

/// Sends a GET request and returns the status and body of the response, if there is one
pub async fn get(address: SocketAddr, target: &str) -> Option<(u16, Vec<u8>)> {
    let time_limit = Duration::from_secs(2);
    let exchange = async {
        let mut connection = Connection::connect(address, time_limit).await.ok()?;
        let head =
            format!("GET {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nConnection: close\r\n\r\n");
        connection
            .write(head.as_bytes(), Instant::now() + time_limit)
            .await
            .ok()?;
        let response = connection.read_response("GET").await.ok()?;
        let body = connection.read_body(response.length, 8 << 20).await.ok()?;
        Some((response.status, body))
    };
    timeout(Instant::now() + time_limit, exchange)
        .await
        .flatten()
}

fn address(subnet: [u8; 2], last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, subnet[0], subnet[1], last], port))
}

/// Returns a part of the loopback range that no other deployment uses
///
/// A listener that stays open until the process exits reserves it.
async fn reserve_subnet() -> [u8; 2] {
    loop {
        let subnet = [fastrand::u8(2..250), fastrand::u8(1..250)];
        if let Ok(listener) = std::net::TcpListener::bind(address(subnet, 254, 8199)) {
            std::mem::forget(listener);
            return subnet;
        }
    }
}
