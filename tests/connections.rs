//! Connections of callers at the edges of what they carry: an answer that pauses, and a request that
//! arrives around the answer that closes its connection. Real `pier-gate` processes.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, Request, timeout};

use site::raw::{self, RawEndpoint};
use site::{HOST_NAME, Site};

/// Length of an answer that is not buffered as a whole
const LONG_BYTES: usize = 400_000;

/// Part of it that comes before the pause
const FIRST_BYTES: usize = 300_000;

/// Pause in the middle of an answer
const PAUSE: Duration = Duration::from_millis(1800);

async fn connect(site: &Site) -> Connection {
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let connection = Connection::connect(host, Duration::from_secs(1)).await;
    connection.expect("the host accepts")
}

async fn answer_with_a_pause(request: Request, mut connection: Connection) -> Option<Connection> {
    let deadline = Instant::now() + Duration::from_secs(5);
    let body = vec![b'x'; LONG_BYTES];
    let head = raw::success_head(&request, LONG_BYTES);
    connection.write(head.as_bytes(), deadline).await.ok()?;
    connection
        .write(&body[..FIRST_BYTES], deadline)
        .await
        .ok()?;
    Timer::after(PAUSE).await;
    connection
        .write(&body[FIRST_BYTES..], deadline)
        .await
        .ok()?;
    Some(connection)
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Header line with the caller's deadline
    deadline: &'static str,
}

async fn play_pause(case: Case) -> Vec<String> {
    let site = Site::start(1, 1).await;
    raw::remove_others(&site);
    let endpoint = RawEndpoint::start(&site, "i-pausing", answer_with_a_pause).await;
    endpoint.register(&site, "ready", 1);
    Timer::after(Duration::from_millis(1000)).await;
    let mut connection = connect(&site).await;
    let request = format!(
        "GET /safe/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: pause\r\n{}\r\n",
        case.deadline
    );
    let deadline = Instant::now() + Duration::from_secs(5);
    let written = connection.write(request.as_bytes(), deadline).await;
    written.expect("the request is written");
    let exchange = async {
        let answer = connection.read_response("GET").await.ok()?;
        let body = connection.read_body(answer.length, LONG_BYTES).await.ok()?;
        Some((answer.status, body.len()))
    };
    match timeout(deadline, exchange).await.flatten() {
        Some((200, LONG_BYTES)) => Vec::new(),
        result => vec![format!("{}: {result:?}", case.name)],
    }
}

// A pause of an endpoint within the time of its caller must not break off the answer.
#[test]
fn long_answer_is_broken_off_when_its_endpoint_pauses() {
    let cases = [
        Case {
            name: "caller with a deadline after the pause",
            deadline: "Request-Deadline: 4000\r\n",
        },
        Case {
            name: "caller without a deadline",
            deadline: "",
        },
    ];
    site::play_all(cases.into_iter().map(play_pause));
}

/// Time that the first request takes
const WORK: Duration = Duration::from_millis(800);

/// Sends a request and the first part of another one, whose rest follows the closing answer
async fn play_split(split: usize) -> Vec<String> {
    let mut site = Site::start(1, 1).await;
    raw::remove_others(&site);
    let answer = |request, connection| async move {
        Timer::after(WORK).await;
        raw::succeed(request, connection).await
    };
    let endpoint = RawEndpoint::start(&site, "i-slow", answer).await;
    endpoint.register(&site, "ready", 1);
    Timer::after(Duration::from_millis(1000)).await;
    let mut connection = connect(&site).await;
    let head = |id: &str| {
        format!(
            "GET /safe/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
             Request-Deadline: 2000\r\n\r\n"
        )
    };
    let second = head("second");
    let (start, rest) = second.split_at(split);
    let deadline = Instant::now() + Duration::from_secs(3);
    let sent = format!("{}{start}", head("first"));
    let written = connection.write(sent.as_bytes(), deadline).await;
    written.expect("the first part is written");
    Timer::after(Duration::from_millis(200)).await;
    let process = site.gateways[0].process.as_mut().expect("it runs");
    process.signal("TERM");
    let answer = timeout(deadline, connection.read_response("GET")).await;
    let mut broken = Vec::new();
    match answer {
        Some(Ok(answer)) if answer.status == 200 && !answer.keep_alive => {}
        answer => broken.push(format!("split at {split}: the first gets {answer:?}")),
    }
    // The host may have closed the connection.
    let _ = connection.write(rest.as_bytes(), deadline).await;
    Timer::after(Duration::from_millis(300)).await;
    let arrivals = endpoint.arrivals("second");
    if arrivals > 0 {
        broken.push(format!(
            "split at {split}: {arrivals} arrivals without an answer"
        ));
    }
    broken
}

// A request that the closing answer crosses must not be passed on, as it cannot be answered.
#[test]
fn request_behind_the_closing_answer_is_passed_on() {
    site::play_all([1, 20, 60, 89].into_iter().map(play_split));
}

/// Memory of the smallest host and its descriptors, which bound what an idle connection may take
const HOST_MEMORY_KB: u64 = 160 << 10;
const HOST_DESCRIPTORS: u64 = 4100;

/// Callers, and connections of each that stay idle
const CALLERS: u64 = 10;
const IDLE_CONNECTIONS: u64 = 150;

/// Opens connections, uses each once and returns them
async fn open_connections(host: SocketAddr, caller: u64) -> Vec<Connection> {
    let mut connections = Vec::new();
    for number in 0..IDLE_CONNECTIONS {
        let connection = Connection::connect(host, Duration::from_secs(1)).await;
        let mut connection = connection.expect("the host accepts");
        let request = format!(
            "GET /safe/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: idle-{caller}-{number}\r\n\r\n"
        );
        let deadline = Instant::now() + Duration::from_secs(3);
        let written = connection.write(request.as_bytes(), deadline).await;
        written.expect("the request is written");
        let answer = timeout(deadline, connection.read_response("GET")).await;
        let answer = answer.and_then(Result::ok).expect("it is answered");
        let body = connection.read_body(answer.length, 1 << 20).await;
        body.expect("the answer is complete");
        connections.push(connection);
    }
    connections
}

async fn play_idle_connections() -> Vec<String> {
    let site = Site::start(1, 1).await;
    Timer::after(Duration::from_millis(500)).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let process = site.gateways[0].process.as_ref().expect("it runs");
    let before = process.peak_memory_kb();
    let callers = (0..CALLERS).map(|caller| smol::spawn(open_connections(host, caller)));
    let callers: Vec<_> = callers.collect();
    let mut connections = Vec::new();
    for caller in callers {
        connections.extend(caller.await);
    }
    let added = process.peak_memory_kb() - before;
    let count = connections.len() as u64;
    println!("{added} kB for {count} idle connections");
    match added <= count * HOST_MEMORY_KB / HOST_DESCRIPTORS {
        true => Vec::new(),
        false => vec![format!("{added} kB for {count} idle connections")],
    }
}

// The tasks of idle connections must not fill the memory of a host.
#[test]
fn idle_connections_fill_the_memory() {
    site::play_all([play_idle_connections()].into_iter());
}
