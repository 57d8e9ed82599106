//! Heads and bodies that arrive complete, in fragments, truncated and malformed.

use std::time::Instant;

use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};

use super::*;

mod random;

/// Returns a connection whose peer sends `fragments` with pauses between them and then closes
async fn connect_to_sender(fragments: Vec<Vec<u8>>) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let address = listener.local_addr().expect("listener has an address");
    let sender = smol::spawn(async move {
        let mut peer = TcpStream::connect(address).await.expect("peer connects");
        peer.set_nodelay(true).expect("set TCP_NODELAY");
        for fragment in fragments {
            peer.write_all(&fragment).await.expect("write succeeds");
            smol::Timer::after(std::time::Duration::from_millis(2)).await;
        }
    });
    let (stream, _) = listener.accept().await.expect("listener accepts");
    sender.detach();
    Connection::new(stream).expect("stream is open")
}

#[test]
fn bodies_are_complete_or_an_error() {
    struct Case {
        name: &'static str,
        response: &'static str,
        body: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "with Content-Length",
            response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            body: Some("hello"),
        },
        Case {
            name: "shorter than Content-Length",
            response: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
            body: None,
        },
        Case {
            name: "chunked with a trailer",
            response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                     2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\n\r\n",
            body: Some("hello"),
        },
        Case {
            name: "chunked without the last chunk",
            response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            body: None,
        },
        Case {
            name: "chunk longer than its size",
            response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
            body: None,
        },
        Case {
            name: "until the connection closes",
            response: "HTTP/1.1 200 OK\r\n\r\nhello",
            body: Some("hello"),
        },
        Case {
            name: "after interim responses",
            response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n\
                     HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            body: Some("hello"),
        },
        Case {
            name: "conflicting Content-Length headers",
            response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
            body: None,
        },
        Case {
            name: "not HTTP",
            response: "\u{1}\u{2}garbage\r\n\r\n",
            body: None,
        },
    ];
    for case in cases {
        // The response arrives as one fragment or byte by byte.
        for size in [case.response.len(), 1] {
            let fragments = case.response.as_bytes().chunks(size).map(<[u8]>::to_vec);
            let body = smol::block_on(async {
                let mut connection = connect_to_sender(fragments.collect()).await;
                let head = connection.read_response("GET").await.ok()?;
                connection.read_body(head.length, 100).await.ok()
            });
            let expected = case.body.map(|body| body.as_bytes().to_vec());
            assert_eq!(body, expected, "{} in fragments of {size} bytes", case.name);
        }
    }
}

#[test]
fn pipelined_requests_are_read_one_by_one() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\
                Content-Length: 2\r\n\r\nxyGET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    smol::block_on(async {
        let mut connection = connect_to_sender(vec![text.as_bytes().to_vec()]).await;
        for (target, keep_alive, length) in [("/a", true, 0), ("/b", true, 2), ("/c", false, 0)] {
            let request = connection
                .read_request(1000)
                .await
                .expect("request is valid");
            assert_eq!(
                (request.target.as_str(), request.keep_alive),
                (target, keep_alive)
            );
            let body = connection
                .read_body(request.length, 10)
                .await
                .expect("body is complete");
            assert_eq!(body.len(), length);
        }
        assert!(matches!(
            connection.read_request(1000).await,
            Err(Error::Closed)
        ));
    });
}

#[test]
fn malformed_requests_are_rejected() {
    struct Case {
        head: &'static str,
        valid: bool,
    }
    let cases = [
        Case {
            head: "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            valid: true,
        },
        Case {
            head: "GET / HTTP/1.1\r\n\r\n",
            valid: false,
        },
        Case {
            head: "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            valid: false,
        },
        Case {
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\
                   Transfer-Encoding: chunked\r\n\r\n",
            valid: false,
        },
        Case {
            head: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n",
            valid: false,
        },
        Case {
            head: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
            valid: false,
        },
        Case {
            head: "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
            valid: false,
        },
        Case {
            head: "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
            valid: false,
        },
    ];
    for case in cases {
        let parsed = Request::parse(case.head.as_bytes());
        assert_eq!(parsed.is_ok(), case.valid, "{}", case.head);
    }
}

// A body must not be taken for a request because a header that states its length is no text.
#[test]
fn request_is_smuggled_behind_a_length_that_is_no_text() {
    struct Case {
        head: &'static [u8],
        valid: bool,
    }
    let cases = [
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n",
            valid: true,
        },
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\xff\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: \xff\r\nContent-Length: 4\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\xff\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \xff\r\nTransfer-Encoding: chunked\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"GET / HTTP/1.1\r\nHost: \xff\r\nHost: h\r\n\r\n",
            valid: false,
        },
        Case {
            head: b"GET / HTTP/1.0\r\nHost: \xff\r\n\r\n",
            valid: false,
        },
    ];
    for case in cases {
        let parsed = Request::parse(case.head);
        let text = String::from_utf8_lossy(case.head);
        assert_eq!(parsed.is_ok(), case.valid, "{text}");
        let response = text.replace("POST / HTTP/1.1", "HTTP/1.1 200 OK");
        if response != text && !case.valid {
            let bytes = [b"HTTP/1.1 200 OK".as_slice(), &case.head[15..]].concat();
            assert!(Response::parse(&bytes, "GET").is_err(), "{response}");
        }
    }
}

#[test]
fn hop_by_hop_headers_are_removed() {
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
fn an_idle_connection_is_open_without_unread_bytes() {
    smol::block_on(async {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n".to_vec();
        let mut connection = connect_to_sender(vec![response]).await;
        let head = connection
            .read_response("GET")
            .await
            .expect("response is valid");
        connection
            .read_body(head.length, 10)
            .await
            .expect("body is complete");
        assert!(
            !connection.is_idle().await,
            "unread bytes follow the response"
        );

        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener binds");
        let address = listener.local_addr().expect("listener has an address");
        let peer = TcpStream::connect(address).await.expect("peer connects");
        let (stream, _) = listener.accept().await.expect("listener accepts");
        let mut connection = Connection::new(stream).expect("stream is open");
        assert!(connection.is_idle().await, "nothing was received yet");
        drop(peer);
        assert!(
            !connection.wait_for_request().await.expect("an end"),
            "peer closed"
        );
        assert!(!connection.is_idle().await, "peer closed");
    });
}

#[test]
fn timeout_ends_a_wait_at_its_deadline() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("listener binds");
        let address = listener.local_addr().expect("listener has an address");
        let _peer = TcpStream::connect(address).await.expect("peer connects");
        let (stream, _) = listener.accept().await.expect("listener accepts");
        let mut connection = Connection::new(stream).expect("stream is open");
        let deadline = Instant::now() + std::time::Duration::from_millis(20);
        assert!(
            timeout(deadline, connection.read_request(100))
                .await
                .is_none()
        );
    });
}

// A sender that is always ahead must not keep the thread: other tasks and timers share it.
#[test]
fn sender_without_pauses_keeps_the_thread() {
    const BODY_BYTES: usize = 128 << 10;
    const MIN_TURNS: usize = BODY_BYTES / (32 << 10) - 1;
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        length: Length,
    }
    let cases = [
        Case {
            name: "length",
            bytes: vec![b'x'; BODY_BYTES],
            length: Length::Bytes(BODY_BYTES as u64),
        },
        Case {
            name: "chunks",
            bytes: b"4\r\nabcd\r\n".repeat(BODY_BYTES / 9),
            length: Length::Chunked,
        },
        Case {
            name: "chunk extensions",
            bytes: format!("1;{}\r\nx\r\n", "e".repeat(4000))
                .repeat(BODY_BYTES / 4000)
                .into_bytes(),
            length: Length::Chunked,
        },
        Case {
            name: "until close",
            bytes: vec![b'x'; BODY_BYTES],
            length: Length::UntilClose,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
            let address = listener.local_addr().expect("it has an address");
            let mut sender = TcpStream::connect(address).await.expect("it connects");
            let (stream, _) = listener.accept().await.expect("it accepts");
            sender.write_all(&case.bytes).await.expect("it is sent");
            sender
                .shutdown(std::net::Shutdown::Write)
                .expect("it is ended");
            let mut connection = Connection::new(stream).expect("the connection works");
            let mut reading = std::pin::pin!(connection.read_body(case.length, BODY_BYTES));
            let mut turns = 0;
            while smol::future::poll_once(&mut reading).await.is_none() {
                turns += 1;
                smol::future::yield_now().await;
            }
            assert!(turns >= MIN_TURNS, "{}: {turns} turns", case.name);
        });
    }
}

// Line breaks before a request must not pile up.
#[test]
fn line_breaks_before_a_request_are_kept() {
    smol::block_on(async {
        let mut connection = connect_to_sender(vec![b"\r\n".repeat(32 << 10)]).await;
        let deadline = Instant::now() + std::time::Duration::from_millis(500);
        let _ = timeout(deadline, connection.wait_for_request()).await;
        assert!(!connection.has_unread_bytes());
    });
}
