//! Answers of upstreams that misbehave, over real sockets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::upstream::{Client, Error};
use crate::wire::{Operation, Reason, Request};

const ID: u64 = 0x1234;
const LIMIT: Duration = Duration::from_millis(400);
const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// How a request ended
#[derive(Debug, PartialEq)]
enum End {
    Whole(u16, Vec<u8>),
    NotSent,
    Shed,
    Leaving,
    Broken,
    Closed,
    Late,
}

struct Case {
    name: &'static str,
    method: &'static str,
    /// What the upstream writes; it then closes if `closes`
    answer: &'static [u8],
    closes: bool,
    end: End,
    /// Whether a second request uses the same connection
    kept: bool,
}

fn whole(body: &[u8]) -> End {
    End::Whole(200, body.to_vec())
}

fn cases() -> Vec<Case> {
    let case = |name, answer: &'static [u8], closes, end, kept| Case {
        name,
        method: "GET",
        answer,
        closes,
        end,
        kept,
    };
    vec![
        case("whole", WHOLE, false, whole(b"ok"), true),
        case("short body", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc", true, End::Broken, false),
        case("stalled body", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc", false, End::Late, false),
        case("surplus bytes", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP", false, whole(b"ok"), false),
        case("doubled answer", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno", false, whole(b"ok"), false),
        case("chunked", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, whole(b"ok"), false),
        case("broken chunked", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok", true, End::Broken, false),
        case("ends with the connection", b"HTTP/1.1 200 OK\r\n\r\nok", true, End::Broken, false),
        case("another request's answer", b"HTTP/1.1 200 OK\r\npier-request: 0000000000009999\r\ncontent-length: 2\r\n\r\nno", false, End::Broken, false),
        case("own request id", b"HTTP/1.1 200 OK\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nok", false, whole(b"ok"), true),
        case("two lengths", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok", false, End::Broken, false),
        case("not ASCII", b"HTTP/1.1 200 OK\r\nx: \xc3\xa9\r\ncontent-length: 2\r\n\r\nok", false, End::Broken, false),
        case("not HTTP", b"hello there\r\n\r\n", false, End::Broken, false),
        case("silence", b"", false, End::Late, false),
        case("close at once", b"", true, End::Closed, false),
        case("shed", b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\ncontent-length: 2\r\n\r\nno", false, End::Shed, true),
        case("leaving", b"HTTP/1.1 503 Busy\r\npier-leaving: 1\r\ncontent-length: 0\r\n\r\n", false, End::Leaving, true),
        case("plain 503", b"HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno", false, End::Whole(503, b"no".to_vec()), true),
        Case { name: "HEAD", method: "HEAD", answer: b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", closes: false, end: whole(b""), kept: true },
        Case { name: "POST", method: "POST", answer: WHOLE, closes: false, end: whole(b"ok"), kept: true },
    ]
}

#[test]
fn every_answer_is_whole_and_its_own_or_an_error() {
    for case in cases() {
        let (end, connections) = smol::block_on(run_twice(&case));
        assert_eq!(end, case.end, "{}", case.name);
        assert_eq!(
            connections == 1,
            case.kept,
            "{}: {connections} connections",
            case.name
        );
    }
}

#[test]
fn a_kept_connection_with_bytes_or_closed_while_idle_is_not_used() {
    struct Case {
        name: &'static str,
        after: &'static [u8],
        closes: bool,
    }
    let cases = [
        Case {
            name: "late bytes",
            after: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno",
            closes: false,
        },
        Case {
            name: "closed",
            after: b"",
            closes: true,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (done, is_done) = smol::channel::bounded(1);
            let server = smol::spawn(async move {
                let (mut first, _) = listener.accept().await.unwrap();
                read_request(&mut first).await;
                first.write_all(WHOLE).await.unwrap();
                first.write_all(case.after).await.unwrap();
                if case.closes {
                    first.close().await.unwrap();
                }
                done.send(()).await.unwrap();
                let (mut second, _) = listener.accept().await.unwrap();
                read_request(&mut second).await;
                second.write_all(WHOLE).await.unwrap();
                (first, second)
            });
            let client = Client::new();
            assert_eq!(
                run(&client, address, "GET").await,
                whole(b"ok"),
                "{}",
                case.name
            );
            is_done.recv().await.unwrap();
            assert_eq!(
                run(&client, address, "POST").await,
                whole(b"ok"),
                "{}",
                case.name
            );
            server.await;
        });
    }
}

#[test]
fn a_refused_connection_was_not_sent() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        assert_eq!(run(&Client::new(), address, "GET").await, End::NotSent);
    });
}

#[test]
fn a_dropped_request_closes_its_connection() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            stream.read(&mut [0]).await.unwrap_or(0)
        });
        let client = Client::new();
        let request = request("GET");
        let run = client.send(address, &request, Instant::now() + Duration::from_secs(30));
        let dropped = smol::future::or(
            async {
                let _ = run.await;
                false
            },
            async {
                Timer::after(Duration::from_millis(50)).await;
                true
            },
        );
        assert!(dropped.await);
        assert_eq!(
            server.await,
            0,
            "the upstream sees the end of the connection"
        );
    });
}

async fn run_twice(case: &Case) -> (End, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (count, counted) = smol::channel::unbounded();
    let (answer, closes) = (case.answer, case.closes);
    let server = smol::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            count.send(()).await.unwrap();
            smol::spawn(serve(stream, answer, closes)).detach();
        }
    });
    let client = Client::new();
    let end = run(&client, address, case.method).await;
    // The client repeats a safe request once on a new connection only if a kept one broke.
    assert_eq!(
        counted.len(),
        1,
        "{}: one connection for one request",
        case.name
    );
    run(&client, address, case.method).await;
    server.cancel().await;
    (end, counted.len())
}

async fn serve(mut stream: TcpStream, answer: &[u8], closes: bool) {
    while read_request(&mut stream).await {
        if stream.write_all(answer).await.is_err() || closes {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

async fn run(client: &Client, address: SocketAddr, method: &str) -> End {
    match read(client, address, method).await {
        Ok((status, body)) => End::Whole(status, body),
        Err(Error::NotSent(..)) => End::NotSent,
        Err(Error::Shed(..)) => End::Shed,
        Err(Error::Leaving(..)) => End::Leaving,
        Err(Error::InvalidResponse(..)) => End::Broken,
        Err(Error::Closed(..)) => End::Closed,
        Err(Error::TimedOut(..)) => End::Late,
    }
}

async fn read(client: &Client, to: SocketAddr, method: &str) -> Result<(u16, Vec<u8>), Error> {
    let mut reply = client
        .send(to, &request(method), Instant::now() + LIMIT)
        .await?;
    let mut body = Vec::new();
    while let Some(piece) = reply.body.next().await? {
        body.extend(piece);
    }
    Ok((reply.head.status, body))
}

fn request(method: &str) -> Request {
    Request {
        id: ID,
        operation: Operation::Serve,
        service: "s".into(),
        method: method.into(),
        target: "/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
        remaining: LIMIT,
        origin: "z".into(),
        reason: Reason::Share,
    }
}
