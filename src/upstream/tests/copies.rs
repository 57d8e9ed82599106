//! Copies of refusals on a connection that carries the refused request again.

use std::sync::{Arc, Mutex};

use super::*;

const OTHER_ID: u64 = 0x9999;

/// Pause of the upstream between a copy and the answer behind it
const ANSWER_DELAY: Duration = Duration::from_millis(20);

/// How the body of a refusal ends
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Trailers,
    /// By the end of the connection
    Close,
    /// By the end of the connection, which the upstream leaves open
    Open,
}

/// Which request the copies are written before
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    /// The refused request, when it is under way again
    Same,
    /// The next request on the connection
    Next,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    method: &'static str,
    mark: &'static str,
    framing: Framing,
    states_ids: bool,
    has_request_between: bool,
    before: Before,
    copies: usize,
}

const LENGTH_AND_ID: Case = Case {
    method: "POST",
    mark: "pier-shed",
    framing: Framing::Length,
    states_ids: true,
    has_request_between: false,
    before: Before::Same,
    copies: 1,
};

/// Upstream that refuses a request the first time and answers it the second time
#[derive(Clone)]
struct Upstream {
    case: Case,
    /// Ids of all requests that were read, by connection
    requests: Arc<Mutex<Vec<Vec<u64>>>>,
}

impl Upstream {
    async fn serve(self, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            self.requests.lock().unwrap().push(Vec::new());
            let index = self.requests.lock().unwrap().len() - 1;
            smol::spawn(self.clone().serve_connection(stream, index)).detach();
        }
    }

    async fn serve_connection(self, mut stream: TcpStream, index: usize) {
        while let Some(id) = read_request_id(&mut stream).await {
            let (is_first, is_refused_here) = {
                let mut requests = self.requests.lock().unwrap();
                let is_first = !requests.iter().flatten().any(|known| *known == id);
                let is_refused_here = requests[index].contains(&REQUEST_ID);
                requests[index].push(id);
                (is_first, is_refused_here)
            };
            if id == REQUEST_ID && is_first {
                stream.write_all(&self.refusal()).await.unwrap();
                if matches!(self.case.framing, Framing::Close) {
                    return;
                }
                continue;
            }
            if is_refused_here && (self.case.before == Before::Next || id == REQUEST_ID) {
                for _ in 0..self.case.copies {
                    let _ = stream.write_all(&self.refusal()).await;
                }
                Timer::after(ANSWER_DELAY).await;
            }
            let id = self.id_line(id);
            let answer = format!("HTTP/1.1 200 OK\r\n{id}content-length: 2\r\n\r\nok");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }

    fn refusal(&self) -> Vec<u8> {
        let (framing, body) = match self.case.framing {
            Framing::Length => ("content-length: 2\r\n", "no"),
            Framing::Chunks => ("transfer-encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n"),
            Framing::Trailers => (
                "transfer-encoding: chunked\r\ntrailer: x\r\n",
                "2\r\nno\r\n0\r\nx: 1\r\n\r\n",
            ),
            Framing::Close | Framing::Open => ("", "no"),
        };
        let (mark, id) = (self.case.mark, self.id_line(REQUEST_ID));
        format!("HTTP/1.1 503 Busy\r\n{mark}: 1\r\n{id}{framing}\r\n{body}").into_bytes()
    }

    fn id_line(&self, id: u64) -> String {
        match self.case.states_ids {
            true => format!("pier-request: {id:016x}\r\n"),
            false => String::new(),
        }
    }
}

async fn read_request_id(stream: &mut TcpStream) -> Option<u64> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("pier-request: "));
    u64::from_str_radix(id.unwrap(), 16).ok()
}

/// Plays a case and returns what went wrong
async fn play(case: Case) -> Vec<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = Upstream {
        case,
        requests: Arc::default(),
    };
    let server = smol::spawn(upstream.clone().serve(listener));
    let client = Client::new();
    let mut broken = Vec::new();
    let first = send_id(&client, address, case.method, REQUEST_ID).await;
    let expected = match (case.framing, case.mark) {
        (Framing::Close | Framing::Open, _) => Outcome::Invalid,
        (_, "pier-leaving") => Outcome::Leaving,
        _ => Outcome::Shed,
    };
    if first != expected {
        broken.push(format!("{case:?}: the first try is {first:?}"));
    }
    if case.has_request_between {
        let between = send_id(&client, address, case.method, OTHER_ID).await;
        // A copy with the id of another request may cost this one its answer.
        let may_be_unknown = case.before == Before::Next && case.states_ids;
        if between != complete(b"ok") && !(may_be_unknown && between == Outcome::Invalid) {
            broken.push(format!("{case:?}: the request between is {between:?}"));
        }
    }
    let second = send_id(&client, address, case.method, REQUEST_ID).await;
    if second != complete(b"ok") {
        let requests = upstream.requests.lock().unwrap().clone();
        broken.push(format!(
            "{case:?}: the second try is {second:?}: {requests:x?}"
        ));
    }
    server.cancel().await;
    broken
}

fn assert_none_broken(cases: impl IntoIterator<Item = Case>) {
    let mut broken = Vec::new();
    for case in cases {
        broken.extend(smol::block_on(play(case)));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Returns the variants of a case in the request between, the number of copies and the mark
fn variants(case: Case) -> Vec<Case> {
    let mut cases = Vec::new();
    for mark in ["pier-shed", "pier-leaving"] {
        for has_request_between in [false, true] {
            for copies in [0, 1, 2] {
                cases.push(Case {
                    mark,
                    has_request_between,
                    copies,
                    ..case
                });
            }
        }
    }
    cases
}

#[test]
fn copy_of_a_refusal_is_believed_when_its_request_is_under_way_again() {
    let methods = ["POST", "GET"];
    assert_none_broken(methods.into_iter().flat_map(|method| {
        variants(Case {
            method,
            ..LENGTH_AND_ID
        })
    }));
}

#[test]
fn copy_of_a_refusal_without_an_id_is_believed() {
    let positions = [Before::Same, Before::Next];
    assert_none_broken(positions.into_iter().flat_map(|before| {
        variants(Case {
            states_ids: false,
            before,
            ..LENGTH_AND_ID
        })
    }));
}

#[test]
fn copy_of_a_refusal_is_believed_by_the_next_request() {
    let cases = variants(Case {
        before: Before::Next,
        ..LENGTH_AND_ID
    });
    assert_none_broken(cases.into_iter().filter(|case| case.has_request_between));
}

// A refusal whose end is not certain must not leave its remains to the next request.
#[test]
fn copy_of_a_refusal_without_a_length_is_believed() {
    let framings = [
        Framing::Chunks,
        Framing::Trailers,
        Framing::Close,
        Framing::Open,
    ];
    assert_none_broken(framings.into_iter().flat_map(|framing| {
        [true, false].into_iter().flat_map(move |states_ids| {
            variants(Case {
                framing,
                states_ids,
                ..LENGTH_AND_ID
            })
        })
    }));
}
