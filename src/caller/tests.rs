//! Tests of the caller port with faulty, slow and hostile callers over real sockets.

use std::time::{Duration, Instant};

use http_types::StatusCode;
use proptest::prelude::*;
use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};

use crate::caller::Limits;
use crate::caller::fake::{self, Behavior, Upstream};
use crate::caller::head::Head;
use crate::caller::reader::Reader;
use crate::caller::watch::Recorder;
use crate::entry::reply::Body;
use crate::operator::Metrics;
mod chunks;
mod tickets;

/// Limits with short timeouts, so that tests of timeouts are short
const SHORT_TIMEOUTS: Limits = Limits {
    max_body_bytes: 64 << 10,
    idle_timeout: Duration::from_millis(150),
    head_timeout: Duration::from_millis(150),
    body_timeout: Duration::from_millis(150),
    write_timeout: Duration::from_millis(300),
    max_requests: 3,
    max_connections: 64,
};

struct RejectedRequest {
    name: &'static str,
    text: String,
    status: &'static str,
}

fn rejected(name: &'static str, text: impl Into<String>, status: &'static str) -> RejectedRequest {
    let text = text.into();
    RejectedRequest { name, text, status }
}

/// Requests that the HTTP library parses incorrectly or drops without a response
fn rejected_requests() -> Vec<RejectedRequest> {
    let request_line = "GET /s/portal/x HTTP/1.1\r\n";
    let host_header = "Host: e\r\n";
    let post = "POST /s/portal/x HTTP/1.1\r\nHost: e\r\n";
    let long_head = format!(
        "{request_line}{host_header}X: {}\r\n\r\n",
        "x".repeat(9 << 10)
    );
    let many_headers = format!("{request_line}{host_header}{}\r\n", "X: y\r\n".repeat(120));
    vec![
        rejected("no Host", format!("{request_line}\r\n"), "400"),
        rejected(
            "two Hosts",
            format!("{request_line}{host_header}{host_header}\r\n"),
            "400",
        ),
        rejected("empty Host", format!("{request_line}Host:\r\n\r\n"), "400"),
        rejected(
            "bad Host",
            format!("{request_line}Host: a b\r\n\r\n"),
            "400",
        ),
        rejected("bad method", "G(T / HTTP/1.1\r\nHost: e\r\n\r\n", "400"),
        rejected(
            "unknown method",
            "BREW / HTTP/1.1\r\nHost: e\r\n\r\n",
            "501",
        ),
        rejected(
            "method in lower case",
            "get / HTTP/1.1\r\nHost: e\r\n\r\n",
            "501",
        ),
        rejected("no path", "GET HTTP/1.1\r\nHost: e\r\n\r\n", "400"),
        rejected("bad path", "GET x HTTP/1.1\r\nHost: e\r\n\r\n", "400"),
        rejected(
            "control byte",
            format!("{request_line}{host_header}X: a\u{1}b\r\n\r\n"),
            "400",
        ),
        rejected(
            "bare line feed",
            format!("{request_line}{host_header}X: a\nY: b\r\n\r\n"),
            "400",
        ),
        rejected(
            "header name with a space",
            format!("{request_line}{host_header}X : a\r\n\r\n"),
            "400",
        ),
        rejected(
            "folded header line",
            format!("{request_line}{host_header}X: a\r\n b\r\n\r\n"),
            "400",
        ),
        rejected("old version", "GET / HTTP/1.0\r\nHost: e\r\n\r\n", "505"),
        rejected("head too long", long_head, "431"),
        rejected("too many headers", many_headers, "431"),
        rejected(
            "different lengths",
            format!("{post}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
            "400",
        ),
        rejected(
            "equal lengths",
            format!("{post}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
            "400",
        ),
        rejected(
            "signed length",
            format!("{post}Content-Length: +3\r\n\r\nabc"),
            "400",
        ),
        rejected(
            "empty length",
            format!("{post}Content-Length:\r\n\r\n"),
            "400",
        ),
        rejected(
            "length and chunks",
            format!("{post}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            "400",
        ),
        rejected(
            "unsupported transfer encoding",
            format!("{post}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            "501",
        ),
        rejected(
            "body too long",
            format!("{post}Content-Length: 70000\r\n\r\n"),
            "413",
        ),
        rejected(
            "chunks too long",
            format!(
                "{post}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                format!("2000\r\n{}\r\n", "x".repeat(0x2000)).repeat(9)
            ),
            "413",
        ),
        rejected(
            "upgrade",
            format!("{request_line}{host_header}Upgrade: h2c\r\n\r\n"),
            "501",
        ),
        rejected(
            "unsupported Expect",
            format!("{post}Expect: more\r\n\r\n"),
            "417",
        ),
        rejected("slow head", request_line, "408"),
        rejected(
            "slow body",
            format!("{post}Content-Length: 3\r\n\r\nab"),
            "408",
        ),
    ]
}

#[test]
fn invalid_requests_are_rejected_and_the_connection_closed() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let mut limits = SHORT_TIMEOUTS;
        // A connection that is idle is closed without an answer.
        limits.idle_timeout = Duration::from_secs(5);
        let port = fake::serve_callers(&host, limits).await;
        for RejectedRequest { name, text, status } in rejected_requests() {
            let response = fake::send_and_read_all(port, text.as_bytes()).await;
            let status = format!("HTTP/1.1 {status} ");
            assert!(response.starts_with(&status), "{name}: {response:?}");
            let connection = fake::header(&response, "connection");
            assert_eq!(connection, Some("close"), "{name}");
        }
        assert_eq!(upstream.request_count(), 0);
    });
}

/// Guards against running a request with part of its body when the caller closes the connection early
#[test]
fn requests_with_a_truncated_body_are_not_run() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let head = format!("POST /s/portal/x HTTP/1.1\r\nHost: e\r\nPier-Ticket: {ticket}\r\n");
        let truncated = [
            format!("{head}Content-Length: 10\r\n\r\nabc"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nabc"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
        ];
        for request in truncated {
            let mut stream = fake::connect(port).await;
            stream.write_all(request.as_bytes()).await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            let response = fake::read_to_end(&mut stream).await;
            assert!(!response.contains(" 200 "), "{response}");
        }
        assert_eq!(upstream.request_count(), 0);
        let complete = format!("{head}Connection: close\r\nContent-Length: 3\r\n\r\nabc");
        let response = fake::send_and_read_all(port, complete.as_bytes()).await;
        assert!(response.contains("pier-outcome: served"), "{response}");
    });
}

/// Guards against lost or mixed up pipelined requests: the caller sends the next request before
/// the response to the previous one
#[test]
fn pipelined_requests_get_responses_in_order() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let ticket = host.issue_ticket(&"portal".into());
        let second = fake::post("/s/portal/b", &format!("Pier-Ticket: {ticket}\r\n"), "xyz");
        let request = fake::get("/s/portal/a") + &second + &fake::get("/s/portal/c");
        stream.write_all(request.as_bytes()).await.unwrap();
        for path in ["/a", "/b", "/c"] {
            let response = fake::read_response(&mut stream).await;
            assert!(response.ends_with(path), "{path}: {response}");
        }
    });
}

/// Guards against delayed small writes: without `nodelay` a small request takes 40 ms on a
/// persistent connection
#[test]
fn small_requests_are_not_delayed() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let mut durations = Vec::new();
        for _ in 0..61 {
            let started_at = Instant::now();
            let request = fake::get("/s/portal/a");
            stream.write_all(request.as_bytes()).await.unwrap();
            fake::read_response(&mut stream).await;
            durations.push(started_at.elapsed());
        }
        durations.sort();
        let median = durations[durations.len() / 2];
        assert!(median < Duration::from_millis(20), "median {median:?}");
    });
}

/// Guards against passing a truncated upstream response as complete
#[test]
fn truncated_responses_are_not_completed() {
    smol::block_on(async {
        for behavior in [Behavior::Truncated, Behavior::TruncatedChunked] {
            let upstream = Upstream::new(behavior).await;
            let host = fake::host(fake::revision(&[&upstream], 3));
            let port = fake::serve_callers(&host, Limits::default()).await;
            let response =
                fake::send_and_read_all(port, fake::get("/s/portal/abc").as_bytes()).await;
            let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
            let is_complete = match fake::header(&response, "content-length") {
                Some(length) => body.len() == length.parse::<usize>().unwrap(),
                None => body.ends_with("0\r\n\r\n"),
            };
            let is_gateway_timeout = head.starts_with("HTTP/1.1 504");
            assert!(
                !is_complete || is_gateway_timeout,
                "{behavior:?}: {response:?}"
            );
        }
    });
}

/// Guards against a body that is shorter or longer than its stated length when the upstream
/// client does not detect it
#[test]
fn body_that_differs_from_its_length_is_an_error() {
    struct Case {
        body_bytes: usize,
        length: Option<usize>,
        is_complete: bool,
    }
    let case = |body_bytes, length, is_complete| Case {
        body_bytes,
        length,
        is_complete,
    };
    let cases = [
        case(3, Some(3), true),
        case(3, None, true),
        case(0, Some(0), true),
        case(3, Some(10), false),
        case(3, Some(2), false),
        case(0, Some(1), false),
    ];
    for Case {
        body_bytes,
        length,
        is_complete,
    } in cases
    {
        let body = Body::Buffered(Some(vec![b'x'; body_bytes]));
        let recorder = Recorder::new(Metrics::new(), "portal".into(), 1);
        let mut reader = Reader::new(body, length, recorder);
        let read = smol::block_on(reader.read_to_end(&mut Vec::new()));
        assert_eq!(
            read.is_ok(),
            is_complete,
            "{body_bytes} bytes of {length:?}"
        );
    }
}

/// Guards against work for callers that have disconnected
#[test]
fn disconnect_of_the_caller_cancels_the_request() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Hang).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let request = fake::get("/s/portal/a");
        stream.write_all(request.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || upstream.request_count() == 1).await;
        drop(stream);
        fake::wait_until("the request is cancelled", || {
            upstream.cancelled.load(ORDERING) == 1
        })
        .await;
        fake::wait_until("its slot is released", || host.in_flight_count() == 0).await;
    });
}

const ORDERING: std::sync::atomic::Ordering = std::sync::atomic::Ordering::SeqCst;

#[test]
fn once_only_request_continues_after_its_caller_disconnects() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(100))).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let request = fake::post("/s/portal/x", &format!("Pier-Ticket: {ticket}\r\n"), "pay");
        let mut stream = fake::connect(port).await;
        stream.write_all(request.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || upstream.request_count() == 1).await;
        drop(stream);
        fake::wait_until("the request has ended", || host.in_flight_count() == 0).await;
        let mut stream = fake::connect(port).await;
        stream.write_all(request.as_bytes()).await.unwrap();
        let response = fake::read_response(&mut stream).await;
        assert!(response.ends_with("/x"), "replayed: {response}");
        assert_eq!(upstream.request_count(), 1);
        assert_eq!(upstream.cancelled.load(ORDERING), 0);
    });
}

#[test]
fn caller_that_does_not_read_is_disconnected() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Large(64 << 20)).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, SHORT_TIMEOUTS).await;
        let mut stream = fake::connect(port).await;
        let request = fake::get("/s/portal/a");
        stream.write_all(request.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || host.in_flight_count() == 1).await;
        fake::wait_until("the request is cancelled", || host.in_flight_count() == 0).await;
        let response = fake::read_to_end(&mut stream).await;
        assert!(
            response.len() < 64 << 20,
            "response was not truncated: {} bytes",
            response.len()
        );
    });
}

#[test]
fn slow_caller_receives_a_complete_long_response() {
    const LENGTH_BYTES: usize = 8 << 20;
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Large(LENGTH_BYTES)).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let request = fake::get("/s/portal/a");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut total = 0;
        let mut buffer = vec![0; 1 << 20];
        while total < LENGTH_BYTES {
            Timer::after(Duration::from_millis(5)).await;
            let read = fake::with_timeout(stream.read(&mut buffer), Ok(0))
                .await
                .unwrap();
            assert!(read > 0, "response ended after {total} bytes");
            total += read;
        }
        fake::wait_until("the request has ended", || host.in_flight_count() == 0).await;
    });
}

#[test]
fn idle_connections_and_those_at_the_request_limit_are_closed() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, SHORT_TIMEOUTS).await;
        let mut idle_stream = fake::connect(port).await;
        assert_eq!(fake::read_to_end(&mut idle_stream).await, "");
        let mut stream = fake::connect(port).await;
        for count in 1..=SHORT_TIMEOUTS.max_requests {
            let request = fake::get("/s/portal/a");
            stream.write_all(request.as_bytes()).await.unwrap();
            let response = fake::read_response(&mut stream).await;
            let is_closing = fake::header(&response, "connection") == Some("close");
            assert_eq!(is_closing, count == SHORT_TIMEOUTS.max_requests);
        }
        assert_eq!(fake::read_to_end(&mut stream).await, "");
    });
}

#[test]
fn expect_continue_gets_100_continue() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let extra_headers = format!("Pier-Ticket: {ticket}\r\nExpect: 100-continue\r\n");
        let request = fake::post("/s/portal/x", &extra_headers, "abc");
        let (head, body) = request.split_at(request.len() - 3);
        let mut stream = fake::connect(port).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut interim = [0; 25];
        stream.read_exact(&mut interim).await.unwrap();
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(body.as_bytes()).await.unwrap();
        let response = fake::read_response(&mut stream).await;
        assert!(response.ends_with("/x"), "{response}");
    });
}

#[test]
fn lookups_return_hosts_and_tickets() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let path = "/lookup?service=portal&block=7";
        stream.write_all(fake::get(path).as_bytes()).await.unwrap();
        let response = fake::read_response(&mut stream).await;
        let (_, body) = response.split_once("\r\n\r\n").unwrap();
        let lookup: serde_json::Value = serde_json::from_str(body).unwrap();
        assert_eq!(lookup["hosts"][0], "127.0.0.1:1");
        assert_eq!(lookup["lifetime"], 30);
        assert_eq!(lookup["tickets"].as_array().unwrap().len(), 4);
        let plain_text_request =
            format!("GET {path} HTTP/1.1\r\nHost: e\r\nAccept: text/plain\r\n\r\n");
        stream
            .write_all(plain_text_request.as_bytes())
            .await
            .unwrap();
        let response = fake::read_response(&mut stream).await;
        assert!(
            response.contains("host 127.0.0.1:1\nlifetime 30\nticket a."),
            "{response}"
        );
        for (path, status) in [
            ("/lookup?service=none&block=7", StatusCode::NotFound),
            ("/lookup?service=portal", StatusCode::BadRequest),
            ("/else", StatusCode::NotFound),
            ("/s/none/x", StatusCode::NotFound),
        ] {
            stream.write_all(fake::get(path).as_bytes()).await.unwrap();
            let response = fake::read_response(&mut stream).await;
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status} ")),
                "{response}"
            );
        }
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn parsing_a_head_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Head::parse(&bytes);
        let head = [b"GET / HTTP/1.1\r\nHost: e\r\n", &bytes[..], b"\r\n\r\n"].concat();
        let _ = Head::parse(&head);
    }
}
