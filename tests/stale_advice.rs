//! Endpoints that write an earlier answer once more, which names a pause, a limit or a leave of the
//! past, behind real `pier-gate` processes.

mod site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, Request};

use site::Site;
use site::raw::{self, RawEndpoint};

/// Time after which a host may no longer use an endpoint that leaves
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Number of requests that show what a host heeds
const PROBES: usize = 6;

/// What is on the connection before the second answer
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Nothing; the second answer itself has the advice
    Own,
    /// The answer with the advice, with the id of the first request
    Copy,
    /// The same without an id
    CopyWithoutId,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    status: u16,
    /// Header lines of the advice
    advice: &'static str,
    place: Place,
    /// Time from the second answer to the requests that show what is heeded
    wait: Duration,
}

fn answer(status: u16, id: &str, lines: &str) -> String {
    let id = match id {
        "" => String::new(),
        id => format!("Attempt-Id: {id}\r\nServer-Signature: raw.{id}\r\n"),
    };
    format!("HTTP/1.1 {status} -\r\nContent-Length: 2\r\n{id}{lines}\r\nok")
}

/// Writes the answer to a request by its number
async fn write(
    case: Case,
    number: usize,
    request: Request,
    mut connection: Connection,
) -> Option<Connection> {
    let id = raw::attempt_id(&request);
    let text = match (number, case.place) {
        (2, Place::Own) => answer(case.status, id, case.advice),
        (2, Place::Copy) => answer(case.status, "first", case.advice) + &answer(404, id, ""),
        (2, Place::CopyWithoutId) => answer(case.status, "", case.advice) + &answer(404, id, ""),
        _ => answer(200, id, ""),
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    connection.write(text.as_bytes(), deadline).await.ok()?;
    Some(connection)
}

/// Returns the statuses of the second request and of those behind it
async fn statuses(case: Case) -> Vec<Option<u16>> {
    let site = Site::start(1, 1).await;
    let numbers: Arc<Mutex<usize>> = Arc::default();
    let endpoint = RawEndpoint::start(&site, "raw-1", move |request, connection| {
        let mut number = numbers.lock().expect("no panic");
        *number += usize::from(request.target.starts_with("/safe/"));
        write(case, *number, request, connection)
    });
    let endpoint = endpoint.await;
    raw::remove_others(&site);
    endpoint.register(&site, "ready", 1);
    Timer::after(Duration::from_millis(500)).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let first = site::get_status(host, "/safe/1", "first").await;
    assert_eq!(first, Some(200), "{}: the first request", case.name);
    let mut statuses = vec![site::get_status(host, "/safe/1", "second").await];
    Timer::after(case.wait).await;
    for number in 0..PROBES {
        statuses.push(site::get_status(host, "/safe/1", &format!("later-{number}")).await);
    }
    statuses
}

async fn play(case: Case) -> Vec<String> {
    let statuses = statuses(case).await;
    println!("{}, {:?}: {statuses:?}", case.name, case.place);
    let is_heeded = statuses[1..].iter().any(|status| *status != Some(200));
    match (case.place, is_heeded) {
        (Place::Own, false) => vec![format!("{}: own advice is not heeded", case.name)],
        (Place::Copy | Place::CopyWithoutId, true) => {
            vec![format!("{}, {:?}: {statuses:?}", case.name, case.place)]
        }
        _ => Vec::new(),
    }
}

// What an endpoint stated in an earlier answer must not come into force again through its copy.
#[test]
fn copy_of_an_earlier_answer_is_heeded_as_news() {
    let drained = DRAIN_TIME + Duration::from_millis(300);
    let advice = [
        (
            "pause",
            503,
            "Not-Executed: 1\r\nRetry-After: 30\r\n",
            drained,
        ),
        ("limit", 200, "Server-Limit: 0.2\r\n", drained),
        ("leave", 200, "Server-Leaving: 1\r\n", drained),
    ];
    let places = [Place::Own, Place::Copy, Place::CopyWithoutId];
    let cases = advice.into_iter().flat_map(|(name, status, advice, wait)| {
        places.map(|place| Case {
            name,
            status,
            advice,
            place,
            wait,
        })
    });
    site::play_all(cases.map(play));
}

/// Ports of a host from which an endpoint got requests, and those from which it got health checks
#[derive(Debug, Default)]
struct Ports {
    requests: Vec<u16>,
    checks: Vec<u16>,
}

/// Serves the first requests and breaks off the others; health checks fail
async fn serve_few(
    ports: Arc<Mutex<Ports>>,
    request: Request,
    mut connection: Connection,
) -> Option<Connection> {
    let port = connection.writer().peer_addr().ok()?.port();
    let is_check = !request.target.starts_with("/safe/");
    let request_count = {
        let mut ports = ports.lock().expect("no panic");
        match is_check {
            true => ports.checks.push(port),
            false => ports.requests.push(port),
        }
        ports.requests.len()
    };
    let text = match is_check {
        true => answer(500, "", "Instance-Id: raw-1\r\n"),
        false if request_count > KEPT_CONNECTIONS => return None,
        false => answer(200, raw::attempt_id(&request), ""),
    };
    // Requests that come together need a connection each.
    Timer::after(Duration::from_millis(100)).await;
    let deadline = Instant::now() + Duration::from_secs(1);
    connection.write(text.as_bytes(), deadline).await.ok()?;
    Some(connection)
}

/// Number of connections that a host keeps when its requests begin to fail
const KEPT_CONNECTIONS: usize = 4;

// A health check has no id, so its answer must come on a connection that carried nothing before.
#[test]
fn copy_of_an_earlier_answer_passes_for_a_health_check() {
    smol::block_on(async {
        let site = Site::start(1, 1).await;
        let ports: Arc<Mutex<Ports>> = Arc::default();
        let recorded = ports.clone();
        let endpoint = RawEndpoint::start(&site, "raw-1", move |request, connection| {
            serve_few(recorded.clone(), request, connection)
        });
        let endpoint = endpoint.await;
        raw::remove_others(&site);
        endpoint.register(&site, "ready", 1);
        Timer::after(Duration::from_millis(500)).await;
        let host = SocketAddr::new(site.gateways[0].ip, 8161);
        let served = (0..KEPT_CONNECTIONS).map(|number| {
            smol::spawn(async move {
                site::get_status(host, "/safe/1", &format!("served-{number}")).await
            })
        });
        let served: Vec<_> = served.collect();
        for status in served {
            assert_eq!(status.await, Some(200));
        }
        for number in 0..2 {
            site::get_status(host, "/safe/1", &format!("broken-{number}")).await;
        }
        Timer::after(Duration::from_secs(3)).await;
        let ports = ports.lock().expect("no panic");
        println!("{ports:?}");
        let distinct: BTreeSet<u16> = ports.checks.iter().copied().collect();
        assert!(!distinct.is_empty(), "the endpoint was not checked");
        assert_eq!(distinct.len(), ports.checks.len(), "{ports:?}");
        assert!(
            ports.requests.iter().all(|port| !distinct.contains(port)),
            "{ports:?}"
        );
    });
}
