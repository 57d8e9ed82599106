//! Callers that send bytes without end, in a head, a body or behind a request, to a real `pier-gate`
//! process: its memory must stay bounded, and other callers must be served.

mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use smol::Timer;

use site::{HOST_NAME, Site};

/// Peak memory that a host may have: the limit in its settings less a fifth
const MAX_MEMORY_KB: u64 = (site::MEMORY_MB << 10) * 4 / 5;

/// Number of connections of a case, and how long they send
const CONNECTIONS: usize = 8;
const DURATION: Duration = Duration::from_millis(1500);

/// Number of other requests meanwhile
const OTHERS: u32 = 40;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// What is sent first, behind the request line and the name of the host
    start: &'static str,
    /// What is sent after that, again and again
    repeated: &'static str,
}

const CASES: [Case; 8] = [
    Case {
        name: "header lines",
        start: "",
        repeated: "A: b\r\n",
    },
    Case {
        name: "header without line break",
        start: "A: ",
        repeated: "bbbbbbbb",
    },
    Case {
        name: "body that is too long",
        start: "Content-Length: 1000000000000\r\n\r\n",
        repeated: "xxxxxxxx",
    },
    Case {
        name: "chunk size",
        start: "Transfer-Encoding: chunked\r\n\r\n",
        repeated: "00000000",
    },
    Case {
        name: "chunk extension",
        start: "Transfer-Encoding: chunked\r\n\r\n5;a=",
        repeated: "bbbbbbbb",
    },
    Case {
        name: "trailers",
        start: "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        repeated: "A: b\r\n",
    },
    Case {
        name: "chunks",
        start: "Transfer-Encoding: chunked\r\n\r\n",
        repeated: "8\r\nxxxxxxxx\r\n",
    },
    Case {
        name: "pipelined requests",
        start: "Content-Length: 0\r\n\r\n",
        repeated: "GET /safe/x HTTP/1.1\r\nHost: portal.example\r\nAttempt-Id: p-1\r\n\r\n",
    },
];

/// Sends on one connection after the other as fast as the host reads
fn send(host: SocketAddr, case: Case, number: usize) {
    let end = Instant::now() + DURATION;
    let start = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: endless-{number}\r\n\
         Request-Deadline: 1200\r\n{}",
        case.start
    );
    let block = case.repeated.repeat(8 << 10);
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(host) else {
            continue;
        };
        let timeout = Some(Duration::from_millis(200));
        stream.set_write_timeout(timeout).expect("a timeout");
        stream.set_read_timeout(timeout).expect("a timeout");
        let mut written = stream.write_all(start.as_bytes());
        while written.is_ok() && Instant::now() < end {
            written = stream.write_all(block.as_bytes());
        }
        // The host may wait for its answer to be read.
        let _ = stream.read(&mut [0; 512]);
    }
}

async fn play() -> Vec<String> {
    let capacity = (300, Duration::from_millis(20));
    let mut site = Site::start_with_capacity(1, 2, capacity).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let mut broken = Vec::new();
    for case in CASES {
        let senders: Vec<_> = (0..CONNECTIONS)
            .map(|number| std::thread::spawn(move || send(host, case, number)))
            .collect();
        let started = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..OTHERS {
            Timer::at(started + DURATION * number / OTHERS).await;
            let id = format!("other-{}-{number}", case.name.replace(' ', "-"));
            tasks.push(smol::spawn(async move {
                site::get_status(host, "/safe/other", &id).await
            }));
        }
        let mut served = 0;
        for task in tasks {
            served += u32::from(task.await == Some(200));
        }
        let process = site.gateways[0].process.as_mut().expect("it was started");
        if process.has_exited() {
            return vec![format!("{}: the host ended", case.name)];
        }
        let memory_kb = process.peak_memory_kb();
        println!(
            "{}: {served} of {OTHERS}, {memory_kb} kB at most",
            case.name
        );
        if memory_kb > MAX_MEMORY_KB || served < OTHERS * 95 / 100 {
            broken.push(format!("{}: {served} served, {memory_kb} kB", case.name));
        }
        for sender in senders {
            let _ = sender.join();
        }
    }
    broken
}

#[test]
fn endless_callers_fill_a_host_or_stop_it() {
    site::play_all([play()].into_iter());
}
