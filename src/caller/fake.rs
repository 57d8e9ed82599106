//! Upstreams and callers for tests, over real sockets.

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

/// Longest wait of a test for one step
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// What a fake upstream does with each request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// A whole answer with the request's path as its body
    Echo,
    /// The same after a while
    Slow(Duration),
    /// Half of an answer with a length
    Truncated,
    /// Half of a chunked answer
    TruncatedChunked,
    /// A close without an answer
    Disconnect,
    /// 503 with `Pier-Shed`
    Shed,
    /// 503 with `Pier-Leaving`
    Leave,
    /// So many bytes as fast as they are taken
    LongResponse(usize),
    /// No answer until the connection closes
    Hang,
}

/// An upstream that counts what it runs
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its address
    pub address: SocketAddr,
    /// Requests that it began
    pub runs: Arc<AtomicUsize>,
    /// Most requests at a time
    pub peak: Arc<AtomicUsize>,
    /// Requests whose connection closed before their answer
    pub cancelled: Arc<AtomicUsize>,
    running: Arc<AtomicUsize>,
}

impl Upstream {
    /// Upstream on a free port
    pub async fn new(act: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let this = Self {
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            peak: Arc::default(),
            cancelled: Arc::default(),
            running: Arc::default(),
        };
        let upstream = this.clone();
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).unwrap();
                let upstream = upstream.clone();
                smol::spawn(async move { upstream.serve(stream, act).await }).detach();
            }
        })
        .detach();
        this
    }

    /// Requests that it began
    pub fn request_count(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    async fn serve(&self, mut stream: TcpStream, act: Behavior) {
        while let Some((target, id)) = request(&mut stream).await {
            self.runs.fetch_add(1, Ordering::SeqCst);
            let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
            self.peak.fetch_max(running, Ordering::SeqCst);
            let done = self.act(&mut stream, act, &target, &id).await;
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !done {
                return;
            }
        }
    }

    async fn act(&self, stream: &mut TcpStream, act: Behavior, target: &str, id: &str) -> bool {
        let length = target.len();
        let head = |status: &str, length: usize, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\npier-request: {id}\r\n{more}\r\n"
            )
        };
        let whole = head("200 OK", length, "x-up: 1\r\n") + target;
        let text = match act {
            Behavior::Echo => whole,
            Behavior::Slow(time) => {
                Timer::after(time).await;
                whole
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
            Behavior::LongResponse(length) => {
                return long(stream, &head("200 OK", length, ""), length).await;
            }
            Behavior::Hang => {
                let gone = stream.read(&mut [0; 1]).await;
                assert!(!matches!(gone, Ok(1..)), "unexpected bytes");
                self.cancelled.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        };
        let sent = stream.write_all(text.as_bytes()).await.is_ok();
        sent && !matches!(act, Behavior::Truncated | Behavior::TruncatedChunked)
    }
}

async fn long(stream: &mut TcpStream, head: &str, length: usize) -> bool {
    let chunk = [b'x'; 8192];
    let mut left = length;
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    while left > 0 {
        let part = left.min(chunk.len());
        if stream.write_all(&chunk[..part]).await.is_err() {
            return false;
        }
        left -= part;
    }
    true
}

/// Path and request id of a request that was read whole
async fn request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
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

/// Configuration with one service `portal` on these upstreams of zone `z1`, where `z2` sends all
pub fn revision(upstreams: &[&Upstream], slots: u32) -> Revision {
    let endpoints: BTreeMap<_, _> = upstreams
        .iter()
        .enumerate()
        .map(|(number, upstream)| {
            let endpoint = Endpoint {
                zone: "z1".into(),
                address: upstream.address,
                slots,
                draining: false,
            };
            (compact_str::format_compact!("e{number}"), endpoint)
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

/// Settings of a host whose keys are in `directory`
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

/// Entry host `a` of zone `z1` with a configuration in force
pub fn host(revision: Revision) -> Arc<Host> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = settings("a", "z1", address, Path::new("none"));
    let host = Arc::new(Host::new(settings, upstream::Client::new()));
    assert!(host.apply(revision));
    smol::spawn(crate::entry::watch::run_clock(host.clone())).detach();
    host
}

/// Caller port of a host
pub async fn serve_callers(host: &Arc<Host>, limits: Limits) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(caller::serve(host.clone(), listener, limits)).detach();
    address
}

/// Connection of a caller
pub async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Send bytes and read until the host closes
pub async fn send_and_read_all(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address).await;
    stream.write_all(bytes).await.unwrap();
    read_to_end(&mut stream).await
}

/// Read until the host closes
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let read = async {
        let _ = stream.read_to_end(&mut all).await;
        true
    };
    assert!(with_timeout(read, false).await, "the host does not close");
    String::from_utf8_lossy(&all).into_owned()
}

/// Read one answer with a length
pub async fn read_response(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let read = async {
        loop {
            let mut byte = [0; 1];
            stream.read_exact(&mut byte).await.unwrap();
            all.push(byte[0]);
            if all.ends_with(b"\r\n\r\n") {
                break;
            }
        }
        let head = String::from_utf8_lossy(&all).to_lowercase();
        let length = head.split("content-length: ").nth(1).unwrap();
        let length = length.lines().next().unwrap().parse().unwrap();
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.unwrap();
        all.extend(body);
        true
    };
    assert!(with_timeout(read, false).await, "no whole answer in time");
    String::from_utf8_lossy(&all).into_owned()
}

/// Result of `work`, or `late` after [`STEP_TIMEOUT`]
pub async fn with_timeout<T>(work: impl Future<Output = T>, late: T) -> T {
    let timer = async {
        Timer::after(STEP_TIMEOUT).await;
        late
    };
    work.or(timer).await
}

/// Wait until something holds
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            Timer::after(Duration::from_millis(2)).await;
        }
        true
    };
    assert!(with_timeout(wait, false).await, "never came: {what}");
}

/// Request without a body
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: entry\r\n\r\n")
}

/// Request with a body and further header lines
pub fn post(path: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: entry\r\nContent-Length: {length}\r\n{more}\r\n{body}")
}

/// Value of a header in the text of an answer
pub fn header<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let lines = answer.split("\r\n\r\n").next()?.lines();
    let found = lines.filter_map(|line| line.split_once(": "));
    let mut found = found.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value)
}
