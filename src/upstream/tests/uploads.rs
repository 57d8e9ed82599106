//! Upstreams that end the connection during a long upload.

use super::*;

const UPLOAD_BYTES: usize = 8 << 20;

struct Case {
    name: &'static str,
    /// Number of bytes of the body that the upstream reads
    read_bytes: usize,
    /// Bytes that it sends before it resets the connection
    answer: &'static [u8],
    /// Outcomes that are true
    allowed: &'static [Outcome],
}

// Only the upstream's own refusal may say that an upload did not run.
#[test]
fn reset_upload_is_sent_again() {
    let refusal =
        b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\npier-request: 0000000000001234\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        Case {
            name: "reset after the head",
            read_bytes: 0,
            answer: b"",
            allowed: &[Outcome::Closed],
        },
        Case {
            name: "reset within the body",
            read_bytes: UPLOAD_BYTES / 2,
            answer: b"",
            allowed: &[Outcome::Closed],
        },
        Case {
            name: "reset after a cut answer",
            read_bytes: 0,
            answer: b"HTTP/1.1 503 Busy\r\npier-shed: 1\r\n",
            allowed: &[Outcome::Closed, Outcome::Invalid],
        },
        Case {
            name: "reset after a refusal",
            read_bytes: 0,
            answer: refusal,
            allowed: &[Outcome::Closed, Outcome::Shed],
        },
    ];
    for case in cases {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (accepted_sender, accepted) = smol::channel::unbounded();
            let server = smol::spawn(async move {
                loop {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    accepted_sender.send(()).await.unwrap();
                    read_request(&mut stream).await;
                    let mut body = vec![0; case.read_bytes];
                    let _ = stream.read_exact(&mut body).await;
                    let _ = stream.write_all(case.answer).await;
                }
            });
            let upload = Request {
                body: vec![b'x'; UPLOAD_BYTES],
                ..request("POST")
            };
            let result = outcome(send_and_read(&Client::new(), address, &upload).await);
            let name = case.name;
            assert!(case.allowed.contains(&result), "{name}: {result:?}");
            assert_eq!(accepted.len(), 1, "{name}: connections");
            server.cancel().await;
        });
    }
}
