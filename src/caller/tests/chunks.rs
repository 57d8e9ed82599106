//! Requests with bodies in chunks.

use std::time::{Duration, Instant};

use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::caller::Limits;
use crate::caller::fake::{self, Behavior, Upstream};
use crate::caller::gate::Connection;
use crate::message::Error;

const BODY_LIMIT: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a connection whose caller sends these fragments with pauses between them and then closes
async fn connect(fragments: Vec<Vec<u8>>) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let caller = smol::spawn(async move {
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.set_nodelay(true).unwrap();
        for fragment in fragments {
            if caller.write_all(&fragment).await.is_err() {
                return;
            }
            Timer::after(Duration::from_millis(1)).await;
        }
    });
    let (stream, _) = listener.accept().await.unwrap();
    caller.detach();
    Connection::new(stream, TIMEOUT)
}

/// Reads a request in chunks; returns its body and the target of the request behind it
async fn read(fragments: Vec<Vec<u8>>) -> Result<(Vec<u8>, String), Error> {
    let mut connection = connect(fragments).await;
    connection.read_head(TIMEOUT, TIMEOUT).await.unwrap();
    // The library reads the head.
    let mut head = String::new();
    connection.read_to_string(&mut head).await.unwrap();
    assert!(head.ends_with("\r\n\r\n"), "{head:?}");
    let body = connection.read_chunks(BODY_LIMIT).await?;
    let next = connection.read_head(TIMEOUT, TIMEOUT).await;
    let target = next.map(|head| head.target.to_string());
    Ok((body, target.unwrap_or_default()))
}

// The decoder of the library took the next request for trailers, and waited for ever for the rest
// of trailers that arrived in parts.
#[test]
fn chunked_body_takes_bytes_of_the_next_request() {
    struct Case {
        name: &'static str,
        body: &'static str,
        /// Data of the body and target of the request behind it
        expected: Option<(&'static str, &'static str)>,
    }
    const NEXT: &str = "GET /next HTTP/1.1\r\nHost: e\r\n\r\n";
    let case = |name, body, expected| Case {
        name,
        body,
        expected,
    };
    let cases = [
        case("empty", "0\r\n\r\n", Some(("", "/next"))),
        case(
            "two chunks",
            "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            Some(("abc", "/next")),
        ),
        case(
            "extension",
            "2;a=b\r\nab\r\n0\r\n\r\n",
            Some(("ab", "/next")),
        ),
        case(
            "trailers",
            "2\r\nab\r\n0\r\nA: b\r\nC: d\r\n\r\n",
            Some(("ab", "/next")),
        ),
        case("no line break after data", "2\r\nabc\r\n0\r\n\r\n", None),
        case("no size", "x\r\n\r\n", None),
        case("empty size", "2\r\nab\r\n\r\n\r\n", None),
        case("extension without a size", "2\r\nab\r\n;a\r\n\r\n", None),
    ];
    for Case {
        name,
        body,
        expected,
    } in cases
    {
        let text = format!(
            "POST /first HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n{body}{NEXT}"
        );
        // The text arrives at once, in halves or byte by byte.
        for size in [text.len(), text.len().div_ceil(2), 1] {
            let fragments = text.as_bytes().chunks(size).map(<[u8]>::to_vec);
            let read = smol::block_on(read(fragments.collect()));
            let expected = expected.map(|(body, next)| (body.as_bytes().to_vec(), next.to_owned()));
            assert_eq!(read.ok(), expected, "{name}, {size} bytes at a time");
        }
    }
}

#[test]
fn chunked_body_exceeds_its_bounds() {
    const DATA: usize = BODY_LIMIT + 1;
    const LINE: usize = 5 << 10;
    let case = |name, body: String| (name, body);
    let cases = [
        case(
            "data",
            format!("{DATA:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(DATA)),
        ),
        case("many chunks", "1\r\nx\r\n".repeat(DATA) + "0\r\n\r\n"),
        case("size", "0".repeat(LINE)),
        case("line", format!("1;{}", "x".repeat(LINE))),
        case("trailer line", format!("0\r\nA: {}", "x".repeat(LINE))),
        case(
            "trailers",
            "0\r\n".to_owned() + &"A: b\r\n".repeat(8 << 10) + "\r\n",
        ),
    ];
    for (name, body) in cases {
        let text =
            format!("POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
        let error = smol::block_on(read(vec![text.into_bytes()])).unwrap_err();
        let is_bound = matches!(error, Error::TooLong(_) | Error::Malformed(_));
        assert!(is_bound, "{name}: {error}");
    }
}

#[test]
fn trailers_in_parts_keep_a_request_waiting() {
    const MAX_DURATION: Duration = Duration::from_secs(2);
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let host = fake::host(fake::revision(&[&upstream], 3));
        let port = fake::serve_callers(&host, Limits::default()).await;
        let ticket = host.issue_ticket(&"portal".into());
        let mut stream = fake::connect(port).await;
        let started_at = Instant::now();
        let head = format!("POST /s/portal/x HTTP/1.1\r\nHost: e\r\nPier-Ticket: {ticket}\r\n");
        let parts = [
            head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
            "A: b\r\n".to_owned(),
            "\r\n".to_owned(),
        ];
        for part in parts {
            stream.write_all(part.as_bytes()).await.unwrap();
            Timer::after(Duration::from_millis(20)).await;
        }
        let response = fake::read_response(&mut stream).await;
        assert!(response.ends_with("/x"), "{response}");
        assert_eq!(upstream.request_count(), 1);
        assert!(
            started_at.elapsed() < MAX_DURATION,
            "{:?}",
            started_at.elapsed()
        );
    });
}
