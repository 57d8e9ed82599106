//! Real `pier-gate` processes that are killed while they write refusals to their callers.

mod site;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use socket2::{Domain, Socket, Type};
use tanagerpier::message::{Connection, Request, timeout};

use site::raw::{self, RawEndpoint};
use site::{HOST_NAME, Site};

/// Number of times that a host is killed
const ROUNDS: usize = 12;

/// Requests that a caller sends at once on one connection; their answers do not fit into its buffer
const PIPELINED: usize = 80;

/// Receive buffer of callers, in bytes; the kernel takes the least that it allows
const RECEIVE_BUFFER: usize = 1;

/// Part of the requests that an endpoint refuses
const REFUSAL_RATIO: f64 = 0.75;

/// Tries of one request at the other host
const MAX_TRIES: usize = 5;

/// Time that a request takes at an endpoint
const SERVICE_TIME: Duration = Duration::from_millis(8);

/// What the endpoints did
#[derive(Debug, Default)]
struct Past {
    /// Number of runs by attempt id
    runs: BTreeMap<String, usize>,
    /// Attempts that were refused
    refused: BTreeSet<String>,
}

type SharedPast = Arc<Mutex<Past>>;

fn runs(past: &SharedPast, id: &str) -> usize {
    let past = past.lock().expect("no panic");
    past.runs.get(id).copied().unwrap_or_default()
}

/// Refuses most requests; a refusal of an earlier try of the same request comes once more before
async fn answer(
    past: SharedPast,
    request: Request,
    mut connection: Connection,
) -> Option<Connection> {
    let deadline = Instant::now() + Duration::from_secs(2);
    let mut length = request.length;
    while let Ok(Some(_)) = connection.read_body_part(&mut length).await {}
    if request.target.starts_with("/health") {
        let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        connection.write(healthy, deadline).await.ok()?;
        return Some(connection);
    }
    let id = raw::attempt_id(&request).to_owned();
    let refusal = format!(
        "HTTP/1.1 503 -\r\nContent-Length: 2\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\r\nno"
    );
    let (is_copied, is_refused) = {
        let mut past = past.lock().expect("no panic");
        let is_copied = past.refused.contains(&id);
        let is_refused = fastrand::f64() < REFUSAL_RATIO;
        match is_refused {
            true => drop(past.refused.insert(id.clone())),
            false => *past.runs.entry(id).or_default() += 1,
        }
        (is_copied, is_refused)
    };
    if is_refused {
        // The copy stays on the connection for what comes next.
        let count = if is_copied { 2 } else { 1 };
        let text = refusal.repeat(count);
        connection.write(text.as_bytes(), deadline).await.ok()?;
        return Some(connection);
    }
    Timer::after(SERVICE_TIME).await;
    raw::succeed(request, connection).await
}

fn request(id: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: 2000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Connects with a receive buffer that holds few answers
fn connect(host: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(host), Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(&host.into())?;
    socket.set_read_timeout(Some(Duration::from_secs(2)))?;
    Ok(socket.into())
}

/// Splits received bytes into whole answers, each with its status and attempt id, and the rest
fn split(mut bytes: &[u8]) -> (Vec<(u16, String)>, &[u8]) {
    let mut answers = Vec::new();
    loop {
        let text = String::from_utf8_lossy(bytes);
        let Some(head_end) = text.find("\r\n\r\n") else {
            return (answers, bytes);
        };
        let head = &text[..head_end];
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            let line = lines.find(|(other, _)| other.eq_ignore_ascii_case(name));
            line.map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        let length: usize = header("content-length").parse().expect("a length");
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let end = head_end + 4 + length;
        if bytes.len() < end {
            return (answers, bytes);
        }
        answers.push((status.expect("a status"), header("attempt-id")));
        bytes = &bytes[end..];
    }
}

/// Sends one try of a request on a connection of its own
async fn send(host: SocketAddr, id: &str) -> Option<u16> {
    let deadline = Instant::now() + Duration::from_secs(3);
    let exchange = async {
        let connection = Connection::connect(host, Duration::from_secs(1)).await;
        let mut connection = connection.ok()?;
        let request = request(id);
        connection.write(request.as_bytes(), deadline).await.ok()?;
        Some(connection.read_response("POST").await.ok()?.status)
    };
    timeout(deadline, exchange).await.flatten()
}

fn is_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Sends requests to a host that is killed while it answers, and those that it refused to another one;
/// returns what broke, and whether a refusal was cut
async fn play_round(site: &mut Site, past: &SharedPast, round: usize) -> (Vec<String>, bool) {
    let killed = round % 2;
    let host = |index: usize| SocketAddr::new(site.gateways[index].ip, 8161);
    let (first, second) = (host(killed), host(1 - killed));
    let ids: Vec<String> = (0..PIPELINED)
        .map(|number| format!("kill-{round}-{number}"))
        .collect();
    let mut stream = connect(first).expect("the host accepts");
    let requests: String = ids.iter().map(|id| request(id)).collect();
    stream.write_all(requests.as_bytes()).expect("it is sent");
    Timer::after(Duration::from_millis(fastrand::u64(50..250))).await;
    // What is read makes room for more, which ends within an answer.
    let mut bytes = Vec::new();
    for _ in 0..fastrand::usize(1..8) {
        let mut part = vec![0; fastrand::usize(200..1500)];
        let count = stream.read(&mut part).expect("answers have begun");
        bytes.extend_from_slice(&part[..count]);
        Timer::after(Duration::from_millis(fastrand::u64(1..20))).await;
    }
    let process = site.gateways[killed].process.as_mut();
    let process = process.expect("the host runs");
    process.signal("STOP");
    // What a killed process has not read resets its connection, and what it wrote last is lost.
    let unread = request(&format!("kill-{round}-unread"));
    stream.write_all(unread.as_bytes()).expect("it is sent");
    process.kill();
    // An error means that the connection was reset; what came before is read first.
    let _ = stream.read_to_end(&mut bytes);
    let (answers, rest) = split(&bytes);
    let is_cut = rest.starts_with(b"HTTP/1.1 503");
    let mut broken = Vec::new();
    for ((status, stated), id) in answers.iter().zip(&ids) {
        if stated != id {
            broken.push(format!("{id}: answer to {stated}"));
        }
        if !is_not_run(*status) {
            continue;
        }
        let mut told = Some(*status);
        for _ in 0..MAX_TRIES {
            let count = runs(past, id);
            if count > 0 && told.is_some_and(is_not_run) {
                broken.push(format!("{id}: told {told:?} after {count} runs"));
            }
            if !told.is_some_and(is_not_run) {
                break;
            }
            told = send(second, id).await;
            if told.is_none() {
                broken.push(format!("{id}: no answer of a host that runs"));
            }
        }
    }
    println!(
        "round {round}: {} whole answers, {} bytes of another",
        answers.len(),
        rest.len()
    );
    site.start_gateway(killed);
    site.wait_until_ready(killed).await;
    (broken, is_cut)
}

async fn play() -> Vec<String> {
    let mut site = Site::start_with_retry_slack(2, 1, 10_000).await;
    raw::remove_others(&site);
    let past = SharedPast::default();
    for number in 0..3 {
        let past = past.clone();
        let answer = move |request, connection| answer(past.clone(), request, connection);
        let endpoint = RawEndpoint::start(&site, &format!("i-refuses-{number}"), answer).await;
        endpoint.register(&site, "ready", 1);
    }
    Timer::after(Duration::from_millis(1000)).await;
    let mut broken = Vec::new();
    let mut cut = 0;
    for round in 0..ROUNDS {
        let (lines, is_cut) = play_round(&mut site, &past, round).await;
        broken.extend(lines);
        cut += usize::from(is_cut);
    }
    // What was sent before a host was killed may still run.
    Timer::after(Duration::from_secs(1)).await;
    for (id, count) in &past.lock().expect("no panic").runs {
        if *count > 1 {
            broken.push(format!("{id}: {count} runs"));
        }
    }
    println!("{cut} refusals cut in {ROUNDS} rounds");
    if cut == 0 {
        broken.push("no refusal was cut, so nothing was played".to_owned());
    }
    broken
}

// A refusal that was cut must promise nothing, and a whole one must be true.
#[test]
fn host_killed_within_a_refusal_makes_a_request_run_twice() {
    site::play_all([play()].into_iter());
}
