//! Random pieces of streams: where the network cuts them changes nothing, and damage is an error or
//! something whole.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// Requests as one caller sends them ahead, with bodies of both kinds
fn stream(bodies: &[(bool, String)]) -> Vec<u8> {
    let requests = bodies.iter().map(|(chunked, body)| {
        let head = "POST /a HTTP/1.1\r\nHost: h\r\n";
        match chunked {
            true => {
                let (one, two) = body.split_at(body.len() / 2);
                let chunks = [one, two].into_iter().filter(|part| !part.is_empty());
                let chunks = chunks.map(|part| format!("{:x}\r\n{part}\r\n", part.len()));
                let chunks: String = chunks.collect();
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
            false => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
        }
    });
    requests.collect::<String>().into_bytes()
}

/// Bodies of the requests on a connection, up to its end or an error
async fn read(mut connection: Connection) -> (Vec<Vec<u8>>, bool) {
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

fn cut(bytes: &[u8], places: &[usize]) -> Vec<Vec<u8>> {
    let mut places: Vec<usize> = places.iter().map(|at| at % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    let pieces = places.windows(2).map(|two| bytes[two[0]..two[1]].to_vec());
    pieces.filter(|piece| !piece.is_empty()).collect()
}

fn bodies() -> impl Strategy<Value = Vec<(bool, String)>> {
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
    fn requests_are_the_same_however_the_network_cuts_them(
        sent in bodies(),
        places in prop::collection::vec(any::<usize>(), 0..5),
    ) {
        let bytes = stream(&sent);
        let (got, whole) = smol::block_on(async { read(fed(cut(&bytes, &places)).await).await });
        prop_assert!(whole);
        let sent: Vec<Vec<u8>> = sent.into_iter().map(|(_, body)| body.into_bytes()).collect();
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn a_stream_that_ends_early_gives_only_whole_requests(
        sent in bodies(),
        end in any::<usize>(),
    ) {
        let bytes = stream(&sent);
        let end = end % bytes.len();
        let (got, _) = smol::block_on(async { read(fed(vec![bytes[..end].to_vec()]).await).await });
        let sent: Vec<Vec<u8>> = sent.into_iter().map(|(_, body)| body.into_bytes()).collect();
        prop_assert!(got.len() < sent.len() || end == bytes.len());
        prop_assert_eq!(&got[..], &sent[..got.len()]);
    }

    #[test]
    fn any_head_is_parsed_or_refused(
        at in any::<usize>(),
        with in prop::collection::vec(any::<u8>(), 0..6),
    ) {
        for head in [
            &b"GET /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"[..],
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n",
        ] {
            let at = at % (head.len() - 3);
            let mut bytes = head.to_vec();
            bytes.splice(at..(at + with.len()).min(head.len() - 4).max(at), with.iter().copied());
            if let Ok(request) = Request::parse(&bytes) {
                // What goes on must not hold line ends that begin other header lines.
                let mut out = Vec::new();
                request.headers.write(&mut out);
                let lines = out.split(|byte| *byte == b'\n').count();
                let known = bytes.split(|byte| *byte == b'\n').count();
                prop_assert!(lines <= known);
            }
            // Either verdict is fine; none may panic.
            let _ = Response::parse(&bytes, "GET");
        }
    }
}
