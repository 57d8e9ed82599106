//! Callers that do not read their large or endless answers for some seconds, behind a real
//! `pier-gate` process.
//!
//! The memory of the host must stay under its limit, whatever the number of callers; other callers
//! are served, and what was begun is not broken off.

mod site;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use smol::Timer;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use tanagerpier::message::{Connection, Error, timeout};

use site::{HOST_NAME, REGIONS, SERVICE, Site};

/// Peak memory that a host may have: the limit in its settings less a fifth
const MAX_MEMORY_KB: u64 = (site::MEMORY_MB << 10) * 4 / 5;

/// Time over which the callers come that read late
const RAMP: Duration = Duration::from_secs(3);

/// How long they read nothing
const SILENCE: Duration = Duration::from_secs(4);

/// Deadline that they state
const SLOW_DEADLINE: Duration = Duration::from_secs(10);

/// Number of other callers, and the interval at which they come
const OTHER_CALLERS: u32 = 300;
const OTHER_INTERVAL: Duration = Duration::from_millis(20);

/// Deadline that they state
const OTHER_DEADLINE: Duration = Duration::from_secs(2);

/// Length of a large answer that ends; more than what a host buffers and the sockets hold
const LARGE_BYTES: u64 = 1 << 20;

/// Socket buffers of callers and endpoints
const SOCKET_BYTES: usize = 32 << 10;

#[derive(Clone, Copy, Debug)]
struct Case {
    /// Number of callers that read late
    slow_callers: u32,
    /// Path of the other callers, on a route of their own or on that of the slow ones
    other_path: &'static str,
    /// Number of other callers that must be served
    min_served: u32,
}

/// The memory of the host is enough for all callers of the second case only
const CASES: [Case; 3] = [
    Case {
        slow_callers: 4000,
        other_path: "/once/other",
        min_served: OTHER_CALLERS * 95 / 100,
    },
    Case {
        slow_callers: 3000,
        other_path: "/safe/other",
        min_served: OTHER_CALLERS * 95 / 100,
    },
    Case {
        slow_callers: 6000,
        other_path: "/once/other",
        min_served: OTHER_CALLERS * 95 / 100,
    },
];

#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Path of its requests
    path: &'static str,
    /// Framing header lines
    framing: &'static str,
    /// Bytes of the body
    bytes: u64,
}

const SLOW_ANSWERS: [Answer; 4] = [
    Answer {
        path: "/safe/huge-length",
        framing: "Content-Length: 1000000000000\r\n",
        bytes: u64::MAX,
    },
    Answer {
        path: "/safe/until-close",
        framing: "",
        bytes: u64::MAX,
    },
    Answer {
        path: "/safe/huge-length-failure",
        framing: "Content-Length: 1000000000000\r\n",
        bytes: u64::MAX,
    },
    Answer {
        path: "/safe/large",
        framing: "Content-Length: 1048576\r\n",
        bytes: LARGE_BYTES,
    },
];

async fn start_endpoint(address: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(address).await.expect("it listens");
    let own_address = listener.local_addr().expect("it has an address");
    let accept_loop = async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Ends when the host closes the connection.
            smol::spawn(async move { serve(stream).await.unwrap_or_default() }).detach();
        }
    };
    smol::spawn(accept_loop).detach();
    own_address
}

async fn serve(stream: TcpStream) -> std::io::Result<()> {
    static BLOCK: [u8; 8192] = [b'x'; 8192];
    SockRef::from(&stream).set_send_buffer_size(SOCKET_BYTES)?;
    let mut connection = Connection::new(stream)?;
    while let Ok(request) = connection.read_request(32 << 10).await {
        let answer = SLOW_ANSWERS
            .iter()
            .find(|answer| answer.path == request.target);
        let (framing, bytes) = answer.map_or(("Content-Length: 2\r\n", 2), |answer| {
            (answer.framing, answer.bytes)
        });
        let status = match request.target.ends_with("failure") {
            true => "500 Internal Server Error",
            false => "200 OK",
        };
        let id = request.headers.get("attempt-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {status}\r\nServer-Signature: i-slow.x\r\nAttempt-Id: {id}\r\n{framing}\r\n"
        );
        let mut writer = connection.writer();
        writer.write_all(head.as_bytes()).await?;
        let mut left = bytes;
        while left > 0 {
            let count = left.min(BLOCK.len() as u64);
            writer.write_all(&BLOCK[..count as usize]).await?;
            left -= count;
        }
    }
    Ok(())
}

/// Starts one host a region, and endpoints with room for all callers
async fn start() -> Site {
    let mut site = Site::start(1, 1).await;
    let own_address = SocketAddr::new(site.servers[0].address.ip(), 0);
    for number in 0..40 {
        let address = start_endpoint(own_address).await;
        let entry = json!({
            "service": SERVICE, "zone": REGIONS[0], "address": address.to_string(),
            "state": "ready", "version": "v1", "max_concurrency": 300, "warmup_left_ms": 0,
            "sequence": 1, "born": 1,
        });
        site.store
            .write("servers", &format!("i-slow-{number}"), entry);
    }
    for server in &mut site.servers {
        site.store.remove("servers", server.endpoint.id());
    }
    Timer::after(Duration::from_secs(3)).await;
    site
}

/// How a request ended for its caller
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Complete,
    /// 503 with `Retry-After`
    Refused,
    /// Another status of the host's own
    Error(u16),
    BrokenOff,
    /// Caller left in the middle of an endless answer
    Left,
    Unanswered,
}

async fn send(
    host: SocketAddr,
    path: &'static str,
    number: u32,
    (deadline, silence): (Duration, Duration),
) -> Result<End, Error> {
    let mut connection = Connection::connect(host, Duration::from_secs(1)).await?;
    let writer = connection.writer();
    if !silence.is_zero() {
        SockRef::from(&writer).set_recv_buffer_size(SOCKET_BYTES)?;
    }
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {}-{number}\r\n\
         Request-Deadline: {}\r\nConnection: close\r\n\r\n",
        &path[6..],
        deadline.as_millis()
    );
    let give_up = Instant::now() + deadline;
    connection.write(request.as_bytes(), give_up).await?;
    Timer::after(silence).await;
    let head = connection.read_response("GET").await?;
    if head.headers.get("server-signature").is_none() {
        let is_refusal = head.status == 503 && head.headers.get("retry-after").is_some();
        return Ok(match is_refusal {
            true => End::Refused,
            false => End::Error(head.status),
        });
    }
    if !silence.is_zero() && path != SLOW_ANSWERS[3].path {
        return Ok(End::Left);
    }
    let mut length = head.length;
    loop {
        match connection.read_body_part(&mut length).await {
            Ok(Some(_)) => {}
            Ok(None) => return Ok(End::Complete),
            Err(_) => return Ok(End::BrokenOff),
        }
    }
}

async fn play_all() -> Vec<String> {
    let mut broken = Vec::new();
    for case in CASES {
        broken.extend(play(case).await);
    }
    broken
}

async fn play(case: Case) -> Vec<String> {
    let mut site = start().await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let started = Instant::now();
    let mut others = Vec::new();
    let mut slow = Vec::new();
    let spawn = |path, number, times: (Duration, Duration)| {
        smol::spawn(async move {
            let end = timeout(Instant::now() + times.0, send(host, path, number, times));
            let end = end.await.and_then(Result::ok).unwrap_or(End::Unanswered);
            (path, end)
        })
    };
    for number in 0..case.slow_callers {
        let answer = SLOW_ANSWERS[number as usize % SLOW_ANSWERS.len()];
        slow.push(spawn(answer.path, number, (SLOW_DEADLINE, SILENCE)));
        while others.len() < OTHER_CALLERS as usize
            && started.elapsed() >= OTHER_INTERVAL * others.len() as u32
        {
            let number = others.len() as u32;
            others.push(spawn(
                case.other_path,
                number,
                (OTHER_DEADLINE, Duration::ZERO),
            ));
        }
        Timer::at(started + RAMP * (number + 1) / case.slow_callers).await;
    }
    while others.len() < OTHER_CALLERS as usize {
        let number = others.len() as u32;
        Timer::at(started + OTHER_INTERVAL * number).await;
        others.push(spawn(
            case.other_path,
            number,
            (OTHER_DEADLINE, Duration::ZERO),
        ));
    }
    let mut ends = BTreeMap::new();
    for task in others.into_iter().chain(slow) {
        *ends.entry(task.await).or_insert(0) += 1;
    }
    let process = site.gateways[0].process.as_mut().expect("it was started");
    let mut broken = Vec::new();
    if process.has_exited() {
        return vec!["the host ended".to_owned()];
    }
    let memory_kb = process.peak_memory_kb();
    println!(
        "{case:?}: {memory_kb} kB at most, {:?}, {ends:?}",
        started.elapsed()
    );
    if memory_kb > MAX_MEMORY_KB {
        broken.push(format!("{memory_kb} kB of {MAX_MEMORY_KB} kB"));
    }
    let served = ends.get(&(case.other_path, End::Complete)).copied();
    let served = served.unwrap_or(0);
    if served < case.min_served {
        broken.push(format!("{served} of {OTHER_CALLERS} other callers served"));
    }
    for ((path, end), count) in ends {
        if matches!(end, End::Error(_) | End::BrokenOff | End::Unanswered) {
            broken.push(format!("{count} of {path}: {end:?}"));
        }
    }
    broken
}

#[test]
fn slow_readers_exhaust_the_memory_of_a_host() {
    site::play_all([play_all()].into_iter());
}
