//! Fake upstreams and callers for tests over real sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::caller::{self, Limits};
use crate::config::{Document, Endpoint, Revision, Service, Zone};
use crate::entry::Host;
use crate::settings::{Keys, Log, Settings};
use crate::upstream;

/// Maximum time for which a test waits for one step
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Behavior of a fake upstream for each request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Sends a complete response with the request's path as its body
    Echo,
    /// Sends the same response after a delay
    Slow(Duration),
    /// Sends half of a response with a length
    Truncated,
    /// Sends a chunked response without its last chunk
    TruncatedChunked,
    /// Closes the connection without a response
    Disconnect,
    /// Responds 503 with `Pier-Shed`
    Shed,
    /// Responds 503 with `Pier-Leaving`
    Leave,
    /// Sends a body of this many bytes as fast as they are read
    Large(usize),
    /// Sends no response until the connection closes
    Hang,
}

/// Fake upstream that counts its requests
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address on which it accepts connections
    pub address: SocketAddr,
    /// Number of requests started
    pub started: Arc<AtomicUsize>,
    /// Maximum number of requests in flight
    pub max_in_flight: Arc<AtomicUsize>,
    /// Number of requests whose connection closed before the response
    pub cancelled: Arc<AtomicUsize>,
    in_flight: Arc<AtomicUsize>,
}

impl Upstream {
    /// Starts an upstream on a free port
    pub async fn new(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            started: Arc::default(),
            max_in_flight: Arc::default(),
            cancelled: Arc::default(),
            in_flight: Arc::default(),
        };
        let accepting = upstream.clone();
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).unwrap();
                let serving = accepting.clone();
                smol::spawn(async move { serving.serve(stream, behavior).await }).detach();
            }
        })
        .detach();
        upstream
    }

    /// Returns the number of requests started
    pub fn request_count(&self) -> usize {
        self.started.load(Ordering::SeqCst)
    }

    async fn serve(&self, mut stream: TcpStream, behavior: Behavior) {
        while let Some((target, id)) = read_request(&mut stream).await {
            self.started.fetch_add(1, Ordering::SeqCst);
            let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
            self.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
            let keeps_connection = self.respond(&mut stream, behavior, &target, &id).await;
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            if !keeps_connection {
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection can be used again
    async fn respond(
        &self,
        stream: &mut TcpStream,
        behavior: Behavior,
        target: &str,
        id: &str,
    ) -> bool {
        let length = target.len();
        let head = |status: &str, length: usize, extra_headers: &str| {
            format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\npier-request: {id}\r\n{extra_headers}\r\n"
            )
        };
        let complete = head("200 OK", length, "x-up: 1\r\n") + target;
        let text = match behavior {
            Behavior::Echo => complete,
            Behavior::Slow(delay) => {
                Timer::after(delay).await;
                complete
            }
            Behavior::Truncated => head("200 OK", length * 2, "") + target,
            Behavior::TruncatedChunked => {
                format!(
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{target}\r\n"
                )
            }
            Behavior::Disconnect => return false,
            Behavior::Shed => head("503 Service Unavailable", 0, "pier-shed: 1\r\n"),
            Behavior::Leave => head("503 Service Unavailable", 0, "pier-leaving: 1\r\n"),
            Behavior::Large(len) => return send_long(stream, &head("200 OK", len, ""), len).await,
            Behavior::Hang => {
                let result = stream.read(&mut [0; 1]).await;
                assert!(
                    !matches!(result, Ok(1..)),
                    "upstream received unexpected bytes"
                );
                self.cancelled.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        };
        let sent = stream.write_all(text.as_bytes()).await.is_ok();
        sent && !matches!(behavior, Behavior::Truncated | Behavior::TruncatedChunked)
    }
}

/// Sends a response of `length` bytes; returns whether it was sent completely
async fn send_long(stream: &mut TcpStream, head: &str, length: usize) -> bool {
    let chunk = [b'x'; 8192];
    let mut remaining = length;
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    while remaining > 0 {
        let count = remaining.min(chunk.len());
        if stream.write_all(&chunk[..count]).await.is_err() {
            return false;
        }
        remaining -= count;
    }
    true
}

/// Reads a complete request; returns its path and request id
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let mut buffer = [0; 4096];
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let header = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name));
        line.map(|line| line[name.len() + 1..].trim().to_owned())
    };
    let length: usize = header("content-length").map_or(0, |length| length.parse().unwrap());
    let mut rest = vec![0; (end + length).saturating_sub(bytes.len())];
    stream.read_exact(&mut rest).await.ok()?;
    let target = head.split(' ').nth(1)?.to_owned();
    Some((target, header("pier-request").unwrap_or_default()))
}

/// Returns a configuration whose service `portal` has these upstreams in zone `z1`, which also
/// receives all requests of zone `z2`
pub fn revision(upstreams: &[&Upstream], slots: u32) -> Revision {
    let endpoints: BTreeMap<_, _> = upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| {
            let endpoint = Endpoint {
                zone: "z1".into(),
                address: upstream.address,
                slots,
                draining: false,
            };
            (compact_str::format_compact!("e{index}"), endpoint)
        })
        .collect();
    let service = Service {
        endpoints,
        shares: [("z2".into(), [("z1".into(), 1.0)].into())].into(),
        ..serde_json::from_str("{}").unwrap()
    };
    Revision {
        number: 1,
        document: Document {
            zones: [(
                "z1".into(),
                Zone {
                    region: "r1".into(),
                },
            )]
            .into(),
            services: [("portal".into(), service)].into(),
            ..serde_json::from_str("{}").unwrap()
        },
        ..Revision::default()
    }
}

/// Returns the settings of a host whose keys are in `directory`
pub fn settings(name: &str, zone: &str, peer: SocketAddr, directory: &Path) -> Settings {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Settings {
        host: name.into(),
        zone: zone.into(),
        caller_address: address,
        peer_address: peer,
        operator_address: address,
        platform_addresses: vec![address],
        seed_addresses: Vec::new(),
        keys: Keys {
            certificate: directory.join(format!("{name}.pem")),
            private_key: directory.join(format!("{name}.key")),
            authorities: vec![directory.join("ca.pem")],
        },
        log: Log::default(),
    }
}

/// Returns entry host `a` of zone `z1` with a configuration
pub fn host(revision: Revision) -> Arc<Host> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = settings("a", "z1", address, Path::new("none"));
    let host = Arc::new(Host::new(settings, upstream::Client::new()));
    assert!(host.apply(revision));
    smol::spawn(crate::entry::watch::run_clock(host.clone())).detach();
    host
}

/// Starts the caller port of a host and returns its address
pub async fn serve_callers(host: &Arc<Host>, limits: Limits) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(caller::serve(host.clone(), listener, limits)).detach();
    address
}

/// Opens a connection as a caller
pub async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends bytes and reads until the host closes the connection
pub async fn send_and_read_all(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address).await;
    stream.write_all(bytes).await.unwrap();
    read_to_end(&mut stream).await
}

/// Reads until the host closes the connection
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = async {
        let _ = stream.read_to_end(&mut bytes).await;
        true
    };
    assert!(
        with_timeout(read, false).await,
        "host did not close the connection in time"
    );
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one response that has a length
pub async fn read_response(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = async {
        loop {
            let mut byte = [0; 1];
            stream.read_exact(&mut byte).await.unwrap();
            bytes.push(byte[0]);
            if bytes.ends_with(b"\r\n\r\n") {
                break;
            }
        }
        let head = String::from_utf8_lossy(&bytes).to_lowercase();
        let length = head.split("content-length: ").nth(1).unwrap();
        let length = length.lines().next().unwrap().parse().unwrap();
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.unwrap();
        bytes.extend(body);
        true
    };
    assert!(
        with_timeout(read, false).await,
        "no complete response in time"
    );
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the output of `work`, or `fallback` after [`STEP_TIMEOUT`]
pub async fn with_timeout<T>(work: impl Future<Output = T>, fallback: T) -> T {
    let timer = async {
        Timer::after(STEP_TIMEOUT).await;
        fallback
    };
    work.or(timer).await
}

/// Waits until a condition holds
pub async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            Timer::after(Duration::from_millis(2)).await;
        }
        true
    };
    assert!(
        with_timeout(wait, false).await,
        "timed out while waiting until {description}"
    );
}

/// Returns the text of a request without a body
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: entry\r\n\r\n")
}

/// Returns the text of a request with a body and extra header lines
pub fn post(path: &str, extra_headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: entry\r\nContent-Length: {length}\r\n{extra_headers}\r\n{body}"
    )
}

/// Returns the value of a header in the text of a response
pub fn header<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let lines = response.split("\r\n\r\n").next()?.lines();
    let headers = lines.filter_map(|line| line.split_once(": "));
    let mut matching = headers.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    matching.next().map(|(_, value)| value)
}
