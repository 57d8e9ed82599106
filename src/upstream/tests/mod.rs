//! Handling of complete, truncated and malformed upstream responses over real sockets.

mod copies;
mod reuse;
mod uploads;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::upstream::{Client, Error};
use crate::wire::{Operation, Reason, Request};

const REQUEST_ID: u64 = 0x1234;

/// Id of a request that is sent after the first one
const NEXT_ID: u64 = 0x1235;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
const COMPLETE_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nok";
const NEXT_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\npier-request: 0000000000001235\r\ncontent-length: 2\r\n\r\nok";
const RESPONSE_WITHOUT_ID: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[derive(Debug, PartialEq)]
enum Outcome {
    Complete(u16, Vec<u8>),
    NotSent,
    Shed,
    Leaving,
    Invalid,
    Closed,
    TimedOut,
}

struct Case {
    name: &'static str,
    method: &'static str,
    /// Bytes that the upstream sends for each request
    response: &'static [u8],
    /// Whether the upstream closes the connection after the response
    closes: bool,
    expected: Outcome,
    /// Whether a second request uses the same connection
    is_reused: bool,
}

fn complete(body: &[u8]) -> Outcome {
    Outcome::Complete(200, body.to_vec())
}

fn cases() -> Vec<Case> {
    let case = |name, response: &'static [u8], closes, expected, is_reused| Case {
        name,
        method: "GET",
        response,
        closes,
        expected,
        is_reused,
    };
    vec![
        case("complete", COMPLETE_RESPONSE, false, complete(b"ok"), true),
        case("no request id", RESPONSE_WITHOUT_ID, false, complete(b"ok"), false),
        case("short body", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc", true, Outcome::Invalid, false),
        case("stalled body", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc", false, Outcome::TimedOut, false),
        case("surplus bytes", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP", false, complete(b"ok"), false),
        case("two responses", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno", false, complete(b"ok"), false),
        case("chunked", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, complete(b"ok"), false),
        case("truncated chunked", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok", true, Outcome::Invalid, false),
        case("body ended by close", b"HTTP/1.1 200 OK\r\n\r\nok", true, Outcome::Invalid, false),
        case("response to another request", b"HTTP/1.1 200 OK\r\npier-request: 0000000000009999\r\ncontent-length: 2\r\n\r\nno", false, Outcome::Invalid, false),
        case("own request id", b"HTTP/1.1 200 OK\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nok", false, complete(b"ok"), true),
        case("different lengths", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok", false, Outcome::Invalid, false),
        case("not ASCII", b"HTTP/1.1 200 OK\r\nx: \xc3\xa9\r\ncontent-length: 2\r\n\r\nok", false, Outcome::Invalid, false),
        case("not HTTP", b"hello there\r\n\r\n", false, Outcome::Invalid, false),
        case("no response", b"", false, Outcome::TimedOut, false),
        case("immediate close", b"", true, Outcome::Closed, false),
        case("shed", b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nno", false, Outcome::Shed, false),
        case("leaving", b"HTTP/1.1 503 Busy\r\npier-leaving: 1\r\npier-request: 0000000000001234\r\ncontent-length: 0\r\n\r\n", false, Outcome::Leaving, false),
        case("plain 503", b"HTTP/1.1 503 Busy\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nno", false, Outcome::Complete(503, b"no".to_vec()), true),
        case("head cut in the status line", b"HTTP/1.1 20", true, Outcome::Invalid, false),
        case("head cut after the status line", b"HTTP/1.1 200 OK\r\n", true, Outcome::Invalid, false),
        case("head cut in a name", b"HTTP/1.1 200 OK\r\ncontent-len", true, Outcome::Invalid, false),
        case("head cut in the length", b"HTTP/1.1 200 OK\r\ncontent-length: 1", true, Outcome::Invalid, false),
        case("head cut before its empty line", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n", true, Outcome::Invalid, false),
        case("head cut in its empty line", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r", true, Outcome::Invalid, false),
        case("refusal with the largest time", b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\nretry-after: 18446744073709551615\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nno", false, Outcome::Shed, false),
        Case { name: "HEAD", method: "HEAD", response: b"HTTP/1.1 200 OK\r\npier-request: 0000000000001234\r\ncontent-length: 9\r\n\r\n", closes: false, expected: complete(b""), is_reused: true },
        Case { name: "POST", method: "POST", response: COMPLETE_RESPONSE, closes: false, expected: complete(b"ok"), is_reused: true },
    ]
}

#[test]
fn responses_are_complete_and_match_the_request_or_fail() {
    for case in cases() {
        let (outcome, connections) = smol::block_on(send_twice(&case));
        assert_eq!(outcome, case.expected, "{}", case.name);
        assert_eq!(
            connections == 1,
            case.is_reused,
            "{}: {connections} connections",
            case.name
        );
    }
}

#[test]
fn idle_connection_with_unread_bytes_or_closed_is_not_reused() {
    struct Case {
        name: &'static str,
        unexpected_bytes: &'static [u8],
        closes: bool,
    }
    let cases = [
        Case {
            name: "unexpected bytes",
            unexpected_bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno",
            closes: false,
        },
        Case {
            name: "closed",
            unexpected_bytes: b"",
            closes: true,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (done_sender, done_receiver) = smol::channel::bounded(1);
            let server = smol::spawn(async move {
                let (mut first, _) = listener.accept().await.unwrap();
                read_request(&mut first).await;
                first.write_all(COMPLETE_RESPONSE).await.unwrap();
                first.write_all(case.unexpected_bytes).await.unwrap();
                if case.closes {
                    first.close().await.unwrap();
                }
                done_sender.send(()).await.unwrap();
                let (mut second, _) = listener.accept().await.unwrap();
                read_request(&mut second).await;
                second.write_all(NEXT_RESPONSE).await.unwrap();
                (first, second)
            });
            let client = Client::new();
            assert_eq!(
                send(&client, address, "GET").await,
                complete(b"ok"),
                "{}",
                case.name
            );
            done_receiver.recv().await.unwrap();
            assert_eq!(
                send_id(&client, address, "POST", NEXT_ID).await,
                complete(b"ok"),
                "{}",
                case.name
            );
            server.await;
        });
    }
}

#[test]
fn refused_connection_means_request_was_not_sent() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        assert_eq!(send(&Client::new(), address, "GET").await, Outcome::NotSent);
    });
}

#[test]
fn dropping_a_request_closes_its_connection() {
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
        let pending_send = client.send(address, &request, Instant::now() + Duration::from_secs(30));
        let timed_out = smol::future::or(
            async {
                let _ = pending_send.await;
                false
            },
            async {
                Timer::after(Duration::from_millis(50)).await;
                true
            },
        );
        assert!(timed_out.await);
        assert_eq!(server.await, 0, "the upstream reads the end of the stream");
    });
}

async fn send_twice(case: &Case) -> (Outcome, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted_sender, accepted) = smol::channel::unbounded();
    let (response, closes) = (case.response, case.closes);
    let server = smol::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            accepted_sender.send(()).await.unwrap();
            smol::spawn(serve(stream, response, closes)).detach();
        }
    });
    let client = Client::new();
    let outcome = send(&client, address, case.method).await;
    // A safe request is retried on a new connection only if a reused connection was closed.
    assert_eq!(
        accepted.len(),
        1,
        "{}: connections of the first request",
        case.name
    );
    send_id(&client, address, case.method, NEXT_ID).await;
    server.cancel().await;
    (outcome, accepted.len())
}

async fn serve(mut stream: TcpStream, response: &[u8], closes: bool) {
    while read_request(&mut stream).await {
        if stream.write_all(response).await.is_err() || closes {
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

async fn send(client: &Client, address: SocketAddr, method: &str) -> Outcome {
    send_id(client, address, method, REQUEST_ID).await
}

async fn send_id(client: &Client, address: SocketAddr, method: &str, id: u64) -> Outcome {
    let request = Request {
        id,
        ..request(method)
    };
    outcome(send_and_read(client, address, &request).await)
}

fn outcome(result: Result<(u16, Vec<u8>), Error>) -> Outcome {
    match result {
        Ok((status, body)) => Outcome::Complete(status, body),
        Err(Error::NotSent(..)) => Outcome::NotSent,
        Err(Error::Shed(..)) => Outcome::Shed,
        Err(Error::Leaving(..)) => Outcome::Leaving,
        Err(Error::InvalidResponse(..)) => Outcome::Invalid,
        Err(Error::Closed(..)) => Outcome::Closed,
        Err(Error::TimedOut(..)) => Outcome::TimedOut,
    }
}

async fn send_and_read(
    client: &Client,
    address: SocketAddr,
    request: &Request,
) -> Result<(u16, Vec<u8>), Error> {
    let mut reply = client
        .send(address, request, Instant::now() + REQUEST_TIMEOUT)
        .await?;
    let mut body = Vec::new();
    while let Some(chunk) = reply.body.next().await? {
        body.extend(chunk);
    }
    Ok((reply.head.status, body))
}

fn request(method: &str) -> Request {
    Request {
        id: REQUEST_ID,
        operation: Operation::Serve,
        service: "s".into(),
        method: method.into(),
        target: "/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
        remaining: REQUEST_TIMEOUT,
        origin: "z".into(),
        reason: Reason::Share,
    }
}

/// Answers requests with the given bytes, in their order of arrival over all connections
async fn serve_in_order(listener: TcpListener, answers: [&'static [u8]; 2]) {
    let (sender, answers_left) = smol::channel::bounded(answers.len());
    for answer in answers {
        sender.send(answer).await.unwrap();
    }
    while let Ok((mut stream, _)) = listener.accept().await {
        let answers_left = answers_left.clone();
        let serving = async move {
            while read_request(&mut stream).await {
                let answer = answers_left.recv().await.unwrap();
                if stream.write_all(answer).await.is_err() {
                    return;
                }
            }
        };
        smol::spawn(serving).detach();
    }
}

// A copy of an earlier answer on a kept connection must not be taken for the answer to the next request.
#[test]
fn late_copy_of_a_refusal_says_that_a_running_request_did_not_run() {
    struct Case {
        name: &'static str,
        first: &'static [u8],
        second: &'static [u8],
        expected: Outcome,
    }
    let own_id =
        b"HTTP/1.1 200 OK\r\npier-request: 0000000000001234\r\ncontent-length: 2\r\n\r\nok";
    let cases = [
        Case {
            name: "refusal without an id after answers with ids",
            first: own_id,
            second: b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\ncontent-length: 2\r\n\r\nno",
            expected: Outcome::Invalid,
        },
        Case {
            name: "refusal of another request",
            first: own_id,
            second: b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\npier-request: 0000000000009999\r\ncontent-length: 2\r\n\r\nno",
            expected: Outcome::Invalid,
        },
        Case {
            name: "answer without an id after answers with ids",
            first: own_id,
            second: RESPONSE_WITHOUT_ID,
            expected: Outcome::Invalid,
        },
        Case {
            name: "first part of a refusal right before the own answer",
            first: own_id,
            second: b"HTTP/1.1 503 Busy\r\npier-shed: 1HTTP/1.1 200 OK\r\npier-request: 0000000000001235\r\ncontent-length: 2\r\n\r\nok",
            expected: Outcome::Invalid,
        },
        Case {
            name: "refusal with two ids",
            first: own_id,
            second: b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\npier-request: 0000000000009999\r\npier-request: 0000000000001235\r\ncontent-length: 2\r\n\r\nno",
            expected: Outcome::Invalid,
        },
        Case {
            name: "own refusal",
            first: own_id,
            second: b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\npier-request: 0000000000001235\r\ncontent-length: 2\r\n\r\nno",
            expected: Outcome::Shed,
        },
        Case {
            name: "upstream that states no ids",
            first: RESPONSE_WITHOUT_ID,
            second: RESPONSE_WITHOUT_ID,
            expected: complete(b"ok"),
        },
    ];
    for case in cases {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let server = smol::spawn(serve_in_order(listener, [case.first, case.second]));
            let client = Client::new();
            let first = send(&client, address, "POST").await;
            assert_eq!(first, complete(b"ok"), "{}", case.name);
            let second = send_id(&client, address, "POST", NEXT_ID).await;
            assert_eq!(second, case.expected, "{}", case.name);
            server.cancel().await;
        });
    }
}

#[test]
fn endless_chunk_sizes_and_trailers_outlast_the_deadline() {
    let cases: [(&str, &str); 4] = [
        ("chunk size", "0"),
        ("chunk extension", "5;a"),
        ("trailers", "0\r\nA: b\r\nA: b\r\n"),
        ("chunks", "1\r\nx\r\n"),
    ];
    for (name, repeated) in cases {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let block = repeated.repeat(16 << 10);
            let end = Instant::now() + REQUEST_TIMEOUT * 5;
            let mut written = std::io::Write::write_all(&mut stream, head.as_bytes());
            while written.is_ok() && Instant::now() < end {
                written = std::io::Write::write_all(&mut stream, block.as_bytes());
            }
        });
        let client = Client::new();
        let started = Instant::now();
        let outcome = smol::block_on(send(&client, address, "GET"));
        let elapsed = started.elapsed();
        assert!(
            matches!(outcome, Outcome::TimedOut | Outcome::Invalid),
            "{name}: {outcome:?}"
        );
        assert!(elapsed < REQUEST_TIMEOUT * 2, "{name}: {elapsed:?}");
        server.join().unwrap();
    }
}
