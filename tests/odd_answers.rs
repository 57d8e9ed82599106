//! Endpoints that write an earlier refusal once more, whole or in part, stop within the head of an
//! answer, or answer 421 to what they ran, behind real `pier-gate` processes.

mod site;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, Request, timeout};

use site::raw::{self, RawEndpoint};
use site::{HOST_NAME, Site};

/// Number of requests of each case
const REQUESTS: usize = 120;

/// Length of the body of a success
const BODY_BYTES: usize = 600;

/// What an endpoint does to every third answer
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Writes the refusal of an earlier request behind the answer
    CopyBehind,
    /// Writes it when the next request has arrived, before its answer
    CopyBefore,
    /// The same without the attempt id
    CopyWithoutId,
    /// Closes the connection after this many bytes of the head
    CutHead(usize),
    /// Writes the first part of the refusal when the next request has arrived, right before its
    /// answer; without the attempt id it ends at the statement that the request did not run
    CutCopyBefore(Id),
    /// Ends its refusals in another way than by a length, and writes the refusal of an earlier request
    /// before an answer
    FramedCopyBefore(Framing),
    /// Answers 421 after it ran the request
    Misdirected { names_itself: bool },
}

/// Whether a copy states the attempt id of the earlier request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Id {
    Earlier,
    Missing,
}

/// How the body of a refusal ends
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunks,
    ChunksAndTrailers,
    Close,
}

const FRAMED_COPIES: [Fault; 3] = [
    Fault::FramedCopyBefore(Framing::Chunks),
    Fault::FramedCopyBefore(Framing::ChunksAndTrailers),
    Fault::FramedCopyBefore(Framing::Close),
];

const FAULTS: [Fault; 8] = [
    Fault::CopyBehind,
    Fault::CopyBefore,
    Fault::CopyWithoutId,
    Fault::CutHead(5),
    Fault::CutHead(17),
    Fault::CutHead(35),
    Fault::CutHead(60),
    Fault::CutHead(120),
];

const CUT_COPIES: [Fault; 2] = [
    Fault::CutCopyBefore(Id::Earlier),
    Fault::CutCopyBefore(Id::Missing),
];

const MISDIRECTIONS: [Fault; 2] = [
    Fault::Misdirected {
        names_itself: false,
    },
    Fault::Misdirected { names_itself: true },
];

/// Number of answers of an endpoint so far, and the attempt that it refused last
type Past = Arc<Mutex<(usize, String)>>;

fn refusal(id: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("Attempt-Id: {id}\r\n"),
    };
    format!("HTTP/1.1 503 -\r\nContent-Length: 2\r\n{id}Not-Executed: 1\r\n\r\nno")
}

/// Returns a refusal whose body ends as stated
fn framed_refusal(id: &str, framing: Framing) -> String {
    let (header, body) = match framing {
        Framing::Chunks => ("Transfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n"),
        Framing::ChunksAndTrailers => (
            "Transfer-Encoding: chunked\r\nTrailer: Attempt-Id\r\n",
            "2\r\nno\r\n0\r\nAttempt-Id: another\r\nNot-Executed: 1\r\n\r\n",
        ),
        Framing::Close => ("Connection: close\r\n", "no"),
    };
    format!("HTTP/1.1 503 -\r\n{header}Attempt-Id: {id}\r\nNot-Executed: 1\r\n\r\n{body}")
}

/// Returns the first part of a refusal's copy, which ends at another byte for each answer
fn cut_refusal(id: Id, refused: &str, number: usize) -> String {
    let statement = "HTTP/1.1 503 -\r\nServer: odd\r\nNot-Executed: 1";
    let copy = match id {
        Id::Earlier => {
            format!("{statement}\r\nAttempt-Id: {refused}\r\nContent-Length: 2\r\n\r\nno")
        }
        Id::Missing => statement.to_owned(),
    };
    // Odd answers come at every third number, so the steps reach each length.
    let length = copy.len() - (number / 3) % copy.len();
    copy[..length].to_owned()
}

async fn answer(
    fault: Fault,
    past: Past,
    request: Request,
    mut connection: Connection,
) -> Option<Connection> {
    let deadline = Instant::now() + Duration::from_secs(2);
    let mut length = request.length;
    while let Ok(Some(_)) = connection.read_body_part(&mut length).await {}
    let (number, refused) = {
        let mut past = past.lock().expect("no panic");
        past.0 += 1;
        if past.0 % 10 == 1 {
            past.1 = raw::attempt_id(&request).to_owned();
        }
        past.clone()
    };
    let head = raw::success_head(&request, BODY_BYTES);
    let success = format!("{head}{}", "x".repeat(BODY_BYTES));
    let is_odd = number % 3 == 0;
    let text = match fault {
        Fault::FramedCopyBefore(framing) if number % 10 == 1 => {
            let text = framed_refusal(&refused, framing);
            connection.write(text.as_bytes(), deadline).await.ok()?;
            return (framing != Framing::Close).then_some(connection);
        }
        Fault::FramedCopyBefore(framing) if is_odd => {
            format!("{}{success}", framed_refusal(&refused, framing))
        }
        _ if number % 10 == 1 => refusal(&refused),
        Fault::CopyBehind if is_odd => format!("{success}{}", refusal(&refused)),
        Fault::CopyBefore if is_odd => format!("{}{success}", refusal(&refused)),
        Fault::CopyWithoutId if is_odd => format!("{}{success}", refusal("")),
        Fault::CutCopyBefore(id) if is_odd => {
            format!("{}{success}", cut_refusal(id, &refused, number))
        }
        Fault::Misdirected { names_itself } if is_odd => {
            let id = raw::attempt_id(&request);
            let meant = request.headers.get("Target-Instance").unwrap_or_default();
            let instance = match names_itself {
                true => format!("Instance-Id: {meant}\r\n"),
                false => String::new(),
            };
            format!("HTTP/1.1 421 -\r\nContent-Length: 2\r\nAttempt-Id: {id}\r\n{instance}\r\nno")
        }
        Fault::CutHead(bytes) if is_odd => {
            let cut = head.as_bytes().get(..bytes).unwrap_or_default();
            // An error means that the host has closed the connection.
            let _ = connection.write(cut, deadline).await;
            return None;
        }
        _ => success,
    };
    connection.write(text.as_bytes(), deadline).await.ok()?;
    Some(connection)
}

/// Sends a request that may run once only; returns the status and whether its success is whole
async fn send(host: SocketAddr, id: &str) -> Option<(u16, bool)> {
    let deadline = Instant::now() + Duration::from_secs(3);
    let request = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: 2000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    let exchange = async {
        let connection = Connection::connect(host, Duration::from_secs(1)).await;
        let mut connection = connection.ok()?;
        connection.write(request.as_bytes(), deadline).await.ok()?;
        let answer = connection.read_response("POST").await.ok()?;
        let body = connection.read_body(answer.length, 1 << 20).await.ok()?;
        let is_own = answer.headers.get("Attempt-Id") == Some(id);
        Some((answer.status, is_own && body.len() == BODY_BYTES))
    };
    timeout(deadline, exchange).await.flatten()
}

async fn play(fault: Fault) -> Vec<String> {
    let site = Site::start(1, 1).await;
    raw::remove_others(&site);
    let mut endpoints = Vec::new();
    let mut pasts = Vec::new();
    for id in ["i-odd-1", "i-odd-2"] {
        let past = Past::default();
        pasts.push(past.clone());
        let answer = move |request, connection| answer(fault, past.clone(), request, connection);
        let endpoint = RawEndpoint::start(&site, id, answer).await;
        endpoint.register(&site, "ready", 1);
        endpoints.push(endpoint);
    }
    Timer::after(Duration::from_millis(1000)).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let mut broken = Vec::new();
    let mut statuses = BTreeMap::new();
    let requests = match fault {
        // What comes behind such a copy cannot be told from its body, so each caller waits.
        Fault::FramedCopyBefore(Framing::Close) => REQUESTS / 4,
        _ => REQUESTS,
    };
    for number in 0..requests {
        let id = format!("once-{number}");
        let result = send(host, &id).await;
        *statuses
            .entry(result.map(|(status, _)| status))
            .or_insert(0) += 1;
        let refused = pasts.iter().filter(|past| {
            let past = past.lock().expect("no panic");
            past.0 % 10 == 1 && past.1 == id
        });
        let refused = refused.count();
        let arrivals: usize = endpoints
            .iter()
            .map(|endpoint| endpoint.arrivals(&id))
            .sum();
        let runs = arrivals.saturating_sub(refused);
        let says_not_run = matches!(result, Some((408 | 421 | 429 | 503, _)));
        let is_partial = matches!(result, Some((200, false)));
        if (says_not_run && runs > 0) || is_partial || runs > 1 {
            broken.push(format!("{fault:?}: {id}: {runs} runs, {result:?}"));
        }
    }
    println!("{fault:?}: {statuses:?}");
    let is_told = site.read_log(0).contains("\"event\":\"answer-unbelieved\"");
    if matches!(fault, Fault::CopyBefore | Fault::CopyWithoutId) && !is_told {
        broken.push(format!(
            "{fault:?}: no line of an answer that was not believed"
        ));
    }
    broken
}

// What is left of an earlier refusal must not count as the answer behind it.
#[test]
fn cut_refusal_before_an_answer_is_believed() {
    site::play_all(CUT_COPIES.into_iter().map(play));
}

// Only the answer of another endpoint than the one that was meant proves that the request did not run.
#[test]
fn misdirection_by_the_meant_endpoint_is_believed() {
    site::play_all(MISDIRECTIONS.into_iter().map(play));
}

// A refusal without a stated length must not count as the answer to a later request.
#[test]
fn framed_refusal_before_an_answer_is_believed() {
    site::play_all(FRAMED_COPIES.into_iter().map(play));
}

// A request that an endpoint ran must not count as refused, nor a cut answer as whole.
#[test]
fn repeated_refusal_or_cut_head_is_taken_for_an_answer() {
    site::play_all(FAULTS.into_iter().map(play));
}
