//! Reuse of connections over many requests.

use super::*;

/// Requests that use up more connections than are kept idle
const REQUESTS: u64 = 2_400;

async fn serve_echoing_ids(mut stream: TcpStream) {
    let mut received = Vec::new();
    let mut byte = [0; 512];
    while let Ok(count @ 1..) = stream.read(&mut byte).await {
        received.extend_from_slice(&byte[..count]);
        if !received.ends_with(b"\r\n\r\n") {
            continue;
        }
        let head = String::from_utf8(std::mem::take(&mut received)).unwrap();
        let head = head.to_ascii_lowercase();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("pier-request: "));
        let response = format!(
            "HTTP/1.1 200 OK\r\npier-request: {}\r\ncontent-length: 2\r\n\r\nok",
            id.unwrap()
        );
        stream.write_all(response.as_bytes()).await.unwrap();
    }
}

// A request must not be sent once its caller has been told that its time is over.
#[test]
fn request_is_sent_after_its_deadline() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (received_sender, received) = smol::channel::unbounded();
        let server = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            while read_request(&mut stream).await {
                received_sender.send(()).await.unwrap();
                stream.write_all(COMPLETE_RESPONSE).await.unwrap();
            }
        });
        let client = Client::new();
        let outcome = send(&client, address, "POST").await;
        assert_eq!(outcome, complete(b"ok"));
        let late = Request {
            id: 7,
            ..request("POST")
        };
        for method in ["POST", "GET"] {
            let late = Request {
                method: method.into(),
                ..late.clone()
            };
            let sent = client.send(address, &late, Instant::now()).await;
            assert!(
                matches!(sent, Err(Error::NotSent(..))),
                "{method}: {sent:?}"
            );
        }
        Timer::after(Duration::from_millis(100)).await;
        server.cancel().await;
        assert_eq!(received.len(), 1, "requests that the upstream got");
    });
}

// A connection that may carry no more requests must not take the place of one that may.
#[test]
fn full_connections_end_the_reuse_of_others() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (accepted_sender, accepted) = smol::channel::unbounded();
        let server = smol::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                accepted_sender.send(()).await.unwrap();
                smol::spawn(serve_echoing_ids(stream)).detach();
            }
        });
        let client = Client::new();
        for id in 1..=REQUESTS {
            let outcome = send_id(&client, address, "GET", id).await;
            assert_eq!(outcome, complete(b"ok"), "request {id}");
        }
        server.cancel().await;
        assert!(accepted.len() <= 10, "{} connections", accepted.len());
    });
}
