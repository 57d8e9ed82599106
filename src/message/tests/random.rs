//! Random streams: fragmentation has no effect, and a truncated or corrupted stream yields only
//! complete messages or an error.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// Encodes pipelined requests, each with a chunked body (`true`) or a `Content-Length`
fn encode_requests(bodies: &[(bool, String)]) -> Vec<u8> {
    let requests = bodies.iter().map(|(chunked, body)| {
        let head = "POST /a HTTP/1.1\r\nHost: h\r\n";
        match chunked {
            true => {
                let (first, second) = body.split_at(body.len() / 2);
                let chunks = [first, second]
                    .into_iter()
                    .filter(|chunk| !chunk.is_empty());
                let chunks = chunks.map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
                let chunks: String = chunks.collect();
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
            false => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
        }
    });
    requests.collect::<String>().into_bytes()
}

/// Reads the request bodies up to the end of the connection (`true`) or an error (`false`)
async fn read_bodies(mut connection: Connection) -> (Vec<Vec<u8>>, bool) {
    let mut bodies = Vec::new();
    loop {
        match connection.wait_for_request().await {
            Ok(true) => {}
            Ok(false) => return (bodies, true),
            Err(_) => return (bodies, false),
        }
        let Ok(request) = connection.read_request(4 << 10).await else {
            return (bodies, false);
        };
        let Ok(body) = connection.read_body(request.length, 4 << 10).await else {
            return (bodies, false);
        };
        bodies.push(body);
    }
}

/// Splits bytes at the given positions, modulo their length
fn fragment(bytes: &[u8], positions: &[usize]) -> Vec<Vec<u8>> {
    let mut positions: Vec<usize> = positions
        .iter()
        .map(|position| position % (bytes.len() + 1))
        .collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    let fragments = positions
        .windows(2)
        .map(|pair| bytes[pair[0]..pair[1]].to_vec());
    fragments.filter(|fragment| !fragment.is_empty()).collect()
}

fn request_bodies() -> impl Strategy<Value = Vec<(bool, String)>> {
    prop::collection::vec((any::<bool>(), "[a-z0-9]{0,40}"), 1..4)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn fragmentation_does_not_change_requests(
        sent in request_bodies(),
        positions in prop::collection::vec(any::<usize>(), 0..5),
    ) {
        let bytes = encode_requests(&sent);
        let (received, is_complete) = smol::block_on(async {
            read_bodies(connect_to_sender(fragment(&bytes, &positions)).await).await
        });
        prop_assert!(is_complete);
        let sent: Vec<Vec<u8>> = sent.into_iter().map(|(_, body)| body.into_bytes()).collect();
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn a_truncated_stream_yields_only_complete_requests(
        sent in request_bodies(),
        end in any::<usize>(),
    ) {
        let bytes = encode_requests(&sent);
        let end = end % bytes.len();
        let (received, _) = smol::block_on(async {
            read_bodies(connect_to_sender(vec![bytes[..end].to_vec()]).await).await
        });
        let sent: Vec<Vec<u8>> = sent.into_iter().map(|(_, body)| body.into_bytes()).collect();
        prop_assert!(received.len() < sent.len() || end == bytes.len());
        prop_assert_eq!(&received[..], &sent[..received.len()]);
    }

    #[test]
    fn corrupted_heads_are_parsed_or_rejected(
        position in any::<usize>(),
        replacement in prop::collection::vec(any::<u8>(), 0..6),
    ) {
        for head in [
            &b"GET /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"[..],
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n",
        ] {
            let position = position % (head.len() - 3);
            let mut bytes = head.to_vec();
            bytes.splice(
                position..(position + replacement.len()).min(head.len() - 4).max(position),
                replacement.iter().copied(),
            );
            if let Ok(request) = Request::parse(&bytes) {
                // A header value must not contain line breaks, which would inject header lines.
                let mut written = Vec::new();
                request.headers.write(&mut written);
                let written_lines = written.split(|byte| *byte == b'\n').count();
                let received_lines = bytes.split(|byte| *byte == b'\n').count();
                prop_assert!(written_lines <= received_lines);
            }
            // The result may be an error, but the parser must not panic.
            let _ = Response::parse(&bytes, "GET");
        }
    }
}
