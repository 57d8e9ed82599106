//! Heads and bodies as peers send them, whole, in pieces, cut off and malformed.

use std::time::Instant;

use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};

use super::*;

mod random;

/// A connection whose other side sent `bytes` and closed, with pauses between the pieces
async fn fed(pieces: Vec<Vec<u8>>) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let sender = smol::spawn(async move {
        let mut out = TcpStream::connect(address).await.expect("a connection");
        out.set_nodelay(true).expect("no delay");
        for piece in pieces {
            out.write_all(&piece).await.expect("written");
            smol::Timer::after(std::time::Duration::from_millis(2)).await;
        }
    });
    let (stream, _) = listener.accept().await.expect("accepted");
    sender.detach();
    Connection::new(stream).expect("a connection")
}

#[test]
fn bodies_are_whole_or_an_error() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        body: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "with a length",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            body: Some("hello"),
        },
        Case {
            name: "cut short",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
            body: None,
        },
        Case {
            name: "chunked with a trailer",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                     2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\n\r\n",
            body: Some("hello"),
        },
        Case {
            name: "chunked without its end",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            body: None,
        },
        Case {
            name: "chunk longer than stated",
            answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
            body: None,
        },
        Case {
            name: "up to the close",
            answer: "HTTP/1.1 200 OK\r\n\r\nhello",
            body: Some("hello"),
        },
        Case {
            name: "after interim answers",
            answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n\
                     HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            body: Some("hello"),
        },
        Case {
            name: "two lengths",
            answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
            body: None,
        },
        Case {
            name: "not HTTP",
            answer: "\u{1}\u{2}garbage\r\n\r\n",
            body: None,
        },
    ];
    for case in cases {
        // All at once, and byte by byte.
        for size in [case.answer.len(), 1] {
            let pieces = case.answer.as_bytes().chunks(size).map(<[u8]>::to_vec);
            let body = smol::block_on(async {
                let mut connection = fed(pieces.collect()).await;
                let answer = connection.read_response("GET").await.ok()?;
                connection.read_body(answer.length, 100).await.ok()
            });
            let expected = case.body.map(|body| body.as_bytes().to_vec());
            assert_eq!(body, expected, "{} in pieces of {size}", case.name);
        }
    }
}

#[test]
fn requests_that_are_sent_ahead_are_read_one_by_one() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\
                Content-Length: 2\r\n\r\nxyGET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    smol::block_on(async {
        let mut connection = fed(vec![text.as_bytes().to_vec()]).await;
        for (target, keep, length) in [("/a", true, 0), ("/b", true, 2), ("/c", false, 0)] {
            let request = connection.read_request(1000).await.expect("a request");
            assert_eq!(
                (request.target.as_str(), request.keep_alive),
                (target, keep)
            );
            let body = connection
                .read_body(request.length, 10)
                .await
                .expect("its body");
            assert_eq!(body.len(), length);
        }
        assert!(matches!(
            connection.read_request(1000).await,
            Err(Error::Closed)
        ));
    });
}

#[test]
fn improper_requests_are_refused() {
    struct Case {
        head: &'static str,
        proper: bool,
    }
    let cases = [
        Case {
            head: "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            proper: true,
        },
        Case {
            head: "GET / HTTP/1.1\r\n\r\n",
            proper: false,
        },
        Case {
            head: "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            proper: false,
        },
        Case {
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\
                   Transfer-Encoding: chunked\r\n\r\n",
            proper: false,
        },
        Case {
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n",
            proper: false,
        },
        Case {
            head: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
            proper: false,
        },
        Case {
            head: "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
            proper: false,
        },
        Case {
            head: "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
            proper: false,
        },
    ];
    for case in cases {
        let parsed = Request::parse(case.head.as_bytes());
        assert_eq!(parsed.is_ok(), case.proper, "{}", case.head);
    }
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let mut headers = Headers::new();
    for (name, value) in [
        ("Connection", "keep-alive, X-Own"),
        ("X-Own", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Cookie", "a=b"),
    ] {
        headers.push(name, value);
    }
    headers.remove_hop_by_hop();
    let mut text = Vec::new();
    headers.write(&mut text);
    assert_eq!(text, b"Cookie: a=b\r\n");
}

#[test]
fn a_quiet_connection_has_neither_surplus_nor_end() {
    smol::block_on(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n".to_vec();
        let mut connection = fed(vec![answer]).await;
        let head = connection.read_response("GET").await.expect("an answer");
        connection
            .read_body(head.length, 10)
            .await
            .expect("its body");
        assert!(!connection.is_idle().await, "bytes came after the answer");

        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let out = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("accepted");
        let mut connection = Connection::new(stream).expect("a connection");
        assert!(connection.is_idle().await, "nothing came yet");
        drop(out);
        assert!(
            !connection.wait_for_request().await.expect("an end"),
            "it closed"
        );
        assert!(!connection.is_idle().await, "it closed");
    });
}

#[test]
fn waits_end_at_their_deadline() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let _out = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("accepted");
        let mut connection = Connection::new(stream).expect("a connection");
        let deadline = Instant::now() + std::time::Duration::from_millis(20);
        assert!(
            timeout(deadline, connection.read_request(100))
                .await
                .is_none()
        );
    });
}
