//! What the caller port does with careless, slow and hostile callers, over real sockets.

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

/// Port with short waits, so that tests of waits are short
const HASTY: Limits = Limits {
    max_body_bytes: 64 << 10,
    idle_timeout: Duration::from_millis(150),
    head_timeout: Duration::from_millis(150),
    body_timeout: Duration::from_millis(150),
    write_timeout: Duration::from_millis(300),
    max_requests: 3,
    max_connections: 64,
};

struct Refusal {
    name: &'static str,
    text: String,
    status: &'static str,
}

fn refusal(name: &'static str, text: impl Into<String>, status: &'static str) -> Refusal {
    let text = text.into();
    Refusal { name, text, status }
}

/// Traps 3, 6 and 7: what the library takes wrongly or drops without a word
fn refusals() -> Vec<Refusal> {
    let line = "GET /s/portal/x HTTP/1.1\r\n";
    let host = "Host: e\r\n";
    let post = "POST /s/portal/x HTTP/1.1\r\nHost: e\r\n";
    let long = format!("{line}{host}X: {}\r\n\r\n", "x".repeat(9 << 10));
    let many = format!("{line}{host}{}\r\n", "X: y\r\n".repeat(120));
    vec![
        refusal("no Host", format!("{line}\r\n"), "400"),
        refusal("two Hosts", format!("{line}{host}{host}\r\n"), "400"),
        refusal("empty Host", format!("{line}Host:\r\n\r\n"), "400"),
        refusal("bad Host", format!("{line}Host: a b\r\n\r\n"), "400"),
        refusal("bad method", "G(T / HTTP/1.1\r\nHost: e\r\n\r\n", "400"),
        refusal(
            "unknown method",
            "BREW / HTTP/1.1\r\nHost: e\r\n\r\n",
            "501",
        ),
        refusal(
            "method in lower case",
            "get / HTTP/1.1\r\nHost: e\r\n\r\n",
            "501",
        ),
        refusal("no path", "GET HTTP/1.1\r\nHost: e\r\n\r\n", "400"),
        refusal("bad path", "GET x HTTP/1.1\r\nHost: e\r\n\r\n", "400"),
        refusal(
            "control byte",
            format!("{line}{host}X: a\u{1}b\r\n\r\n"),
            "400",
        ),
        refusal(
            "bare line feed",
            format!("{line}{host}X: a\nY: b\r\n\r\n"),
            "400",
        ),
        refusal(
            "name with a space",
            format!("{line}{host}X : a\r\n\r\n"),
            "400",
        ),
        refusal(
            "folded line",
            format!("{line}{host}X: a\r\n b\r\n\r\n"),
            "400",
        ),
        refusal("old version", "GET / HTTP/1.0\r\nHost: e\r\n\r\n", "505"),
        refusal("head too long", long, "431"),
        refusal("too many headers", many, "431"),
        refusal(
            "two lengths",
            format!("{post}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
            "400",
        ),
        refusal(
            "equal lengths",
            format!("{post}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
            "400",
        ),
        refusal(
            "signed length",
            format!("{post}Content-Length: +3\r\n\r\nabc"),
            "400",
        ),
        refusal(
            "empty length",
            format!("{post}Content-Length:\r\n\r\n"),
            "400",
        ),
        refusal(
            "length and chunks",
            format!("{post}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            "400",
        ),
        refusal(
            "unknown coding",
            format!("{post}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            "501",
        ),
        refusal(
            "body too long",
            format!("{post}Content-Length: 70000\r\n\r\n"),
            "413",
        ),
        refusal(
            "chunks too long",
            format!(
                "{post}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                format!("2000\r\n{}\r\n", "x".repeat(0x2000)).repeat(9)
            ),
            "413",
        ),
        refusal(
            "upgrade",
            format!("{line}{host}Upgrade: h2c\r\n\r\n"),
            "501",
        ),
        refusal("expectation", format!("{post}Expect: more\r\n\r\n"), "417"),
        refusal("slow head", line, "408"),
        refusal(
            "slow body",
            format!("{post}Content-Length: 3\r\n\r\nab"),
            "408",
        ),
    ]
}

#[test]
fn refusals_are_answered_and_closed() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, HASTY).await;
        for case in refusals() {
            let answer = fake::send_and_read_all(port, case.text.as_bytes()).await;
            let name = case.name;
            let status = format!("HTTP/1.1 {} ", case.status);
            assert!(answer.starts_with(&status), "{name}: {answer:?}");
            assert_eq!(fake::header(&answer, "connection"), Some("close"), "{name}");
        }
        assert_eq!(upstream.request_count(), 0);
    });
}

/// Trap 3: a body that ends early
#[test]
fn a_part_of_a_body_is_never_run() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let head = format!("POST /s/portal/x HTTP/1.1\r\nHost: e\r\nPier-Ticket: {ticket}\r\n");
        let parts = [
            format!("{head}Content-Length: 10\r\n\r\nabc"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nabc"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
        ];
        for part in parts {
            let mut stream = fake::connect(port).await;
            stream.write_all(part.as_bytes()).await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            let answer = fake::read_to_end(&mut stream).await;
            assert!(!answer.contains(" 200 "), "{answer}");
        }
        assert_eq!(upstream.request_count(), 0);
        let whole = format!("{head}Connection: close\r\nContent-Length: 3\r\n\r\nabc");
        let answer = fake::send_and_read_all(port, whole.as_bytes()).await;
        assert!(answer.contains("pier-outcome: served"), "{answer}");
    });
}

/// Trap 5: a request sent before the answer to the one before it
#[test]
fn pipelined_requests_are_answered_in_order() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let ticket = host.issue_ticket(&"portal".into());
        let second = fake::post("/s/portal/b", &format!("Pier-Ticket: {ticket}\r\n"), "xyz");
        let text = fake::get("/s/portal/a") + &second + &fake::get("/s/portal/c");
        stream.write_all(text.as_bytes()).await.unwrap();
        for path in ["/a", "/b", "/c"] {
            let answer = fake::read_response(&mut stream).await;
            assert!(answer.ends_with(path), "{path}: {answer}");
        }
    });
}

/// Trap 1: without `nodelay` a small exchange takes 40 ms on a kept connection
#[test]
fn small_exchanges_are_not_delayed() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let mut times = Vec::new();
        for _ in 0..61 {
            let begun = Instant::now();
            let text = fake::get("/s/portal/a");
            stream.write_all(text.as_bytes()).await.unwrap();
            fake::read_response(&mut stream).await;
            times.push(begun.elapsed());
        }
        times.sort();
        let median = times[times.len() / 2];
        assert!(median < Duration::from_millis(20), "median {median:?}");
    });
}

/// Trap 4: an answer that breaks off upstream
#[test]
fn broken_answers_are_cut() {
    smol::block_on(async {
        for act in [Behavior::Truncated, Behavior::TruncatedChunked] {
            let upstream = Upstream::new(act).await;
            let host = fake::host(fake::revision(&[&upstream], 3));
            let port = fake::serve_callers(&host, Limits::default()).await;
            let answer = fake::send_and_read_all(port, fake::get("/s/portal/abc").as_bytes()).await;
            let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
            let whole = match fake::header(&answer, "content-length") {
                Some(length) => body.len() == length.parse::<usize>().unwrap(),
                None => body.ends_with("0\r\n\r\n"),
            };
            let gateway = head.starts_with("HTTP/1.1 504");
            assert!(!whole || gateway, "{act:?}: {answer:?}");
        }
    });
}

/// The count behind trap 4, where the upstream's own count does not help
#[test]
fn an_answer_of_another_length_is_an_error() {
    struct Case {
        held: usize,
        length: Option<usize>,
        whole: bool,
    }
    let case = |held, length, whole| Case {
        held,
        length,
        whole,
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
        held,
        length,
        whole,
    } in cases
    {
        let body = Body::Buffered(Some(vec![b'x'; held]));
        let recorder = Recorder::new(Metrics::new(), "portal".into(), 1);
        let mut reader = Reader::new(body, length, recorder);
        let read = smol::block_on(reader.read_to_end(&mut Vec::new()));
        assert_eq!(read.is_ok(), whole, "{held} bytes of {length:?}");
    }
}

/// Trap 8: a caller that goes away
#[test]
fn a_caller_that_goes_away_cancels_its_request() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Hang).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let text = fake::get("/s/portal/a");
        stream.write_all(text.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || upstream.request_count() == 1).await;
        drop(stream);
        fake::wait_until("it is cancelled", || upstream.cancelled.load(ORDER) == 1).await;
        fake::wait_until("its slot is free", || host.in_flight_count() == 0).await;
    });
}

const ORDER: std::sync::atomic::Ordering = std::sync::atomic::Ordering::SeqCst;

#[test]
fn a_once_only_run_outlives_its_caller() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(100))).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let text = fake::post("/s/portal/x", &format!("Pier-Ticket: {ticket}\r\n"), "pay");
        let mut stream = fake::connect(port).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || upstream.request_count() == 1).await;
        drop(stream);
        fake::wait_until("the run has ended", || host.in_flight_count() == 0).await;
        let mut stream = fake::connect(port).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        let answer = fake::read_response(&mut stream).await;
        assert!(answer.ends_with("/x"), "replayed: {answer}");
        assert_eq!(upstream.request_count(), 1);
        assert_eq!(upstream.cancelled.load(ORDER), 0);
    });
}

#[test]
fn a_caller_that_does_not_read_is_cut() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::LongResponse(64 << 20)).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, HASTY).await;
        let mut stream = fake::connect(port).await;
        let text = fake::get("/s/portal/a");
        stream.write_all(text.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || host.in_flight_count() == 1).await;
        fake::wait_until("the caller is given up", || host.in_flight_count() == 0).await;
        let answer = fake::read_to_end(&mut stream).await;
        assert!(answer.len() < 64 << 20, "cut after {}", answer.len());
    });
}

#[test]
fn a_long_answer_is_whole_for_a_slow_caller() {
    const LENGTH: usize = 8 << 20;
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::LongResponse(LENGTH)).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let text = fake::get("/s/portal/a");
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut total = 0;
        let mut buffer = vec![0; 1 << 20];
        while total < LENGTH {
            Timer::after(Duration::from_millis(5)).await;
            let read = fake::with_timeout(stream.read(&mut buffer), Ok(0))
                .await
                .unwrap();
            assert!(read > 0, "ended after {total}");
            total += read;
        }
        fake::wait_until("it has ended", || host.in_flight_count() == 0).await;
    });
}

#[test]
fn idle_callers_and_long_connections_are_closed() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, HASTY).await;
        let mut idle = fake::connect(port).await;
        assert_eq!(fake::read_to_end(&mut idle).await, "");
        let mut stream = fake::connect(port).await;
        for count in 1..=HASTY.max_requests {
            let text = fake::get("/s/portal/a");
            stream.write_all(text.as_bytes()).await.unwrap();
            let answer = fake::read_response(&mut stream).await;
            let close = fake::header(&answer, "connection") == Some("close");
            assert_eq!(close, count == HASTY.max_requests);
        }
        assert_eq!(fake::read_to_end(&mut stream).await, "");
    });
}

#[test]
fn a_body_held_back_is_asked_for() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let more = format!("Pier-Ticket: {ticket}\r\nExpect: 100-continue\r\n");
        let text = fake::post("/s/portal/x", &more, "abc");
        let (head, body) = text.split_at(text.len() - 3);
        let mut stream = fake::connect(port).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut go = [0; 25];
        stream.read_exact(&mut go).await.unwrap();
        assert_eq!(&go, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(body.as_bytes()).await.unwrap();
        let answer = fake::read_response(&mut stream).await;
        assert!(answer.ends_with("/x"), "{answer}");
    });
}

#[test]
fn lookups_offer_hosts_and_tickets() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let mut stream = fake::connect(port).await;
        let path = "/lookup?service=portal&block=7";
        stream.write_all(fake::get(path).as_bytes()).await.unwrap();
        let answer = fake::read_response(&mut stream).await;
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        let found: serde_json::Value = serde_json::from_str(body).unwrap();
        assert_eq!(found["hosts"][0], "127.0.0.1:1");
        assert_eq!(found["lifetime"], 30);
        assert_eq!(found["tickets"].as_array().unwrap().len(), 4);
        let plain = format!("GET {path} HTTP/1.1\r\nHost: e\r\nAccept: text/plain\r\n\r\n");
        stream.write_all(plain.as_bytes()).await.unwrap();
        let answer = fake::read_response(&mut stream).await;
        assert!(
            answer.contains("host 127.0.0.1:1\nlifetime 30\nticket a."),
            "{answer}"
        );
        for (path, status) in [
            ("/lookup?service=none&block=7", StatusCode::NotFound),
            ("/lookup?service=portal", StatusCode::BadRequest),
            ("/else", StatusCode::NotFound),
            ("/s/none/x", StatusCode::NotFound),
        ] {
            stream.write_all(fake::get(path).as_bytes()).await.unwrap();
            let answer = fake::read_response(&mut stream).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{answer}"
            );
        }
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn heads_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Head::parse(&bytes);
        let text = [b"GET / HTTP/1.1\r\nHost: e\r\n", &bytes[..], b"\r\n\r\n"].concat();
        let _ = Head::parse(&text);
    }
}
