//! Endpoints that leave while something older is still under way: a write of their entry, or a request
//! whose answer is lost. Real `pier-gate` processes, endpoints that the test plays.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};

use site::raw::{self, RawEndpoint};
use site::{HOST_NAME, Site, get_status};

/// Time in which a change of an endpoint's entry is in force, for all hosts of a small deployment
const APPLY_TIME: Duration = Duration::from_millis(1000);

/// Time after which the answer to a lost request breaks off
const LOST_AFTER: Duration = Duration::from_millis(1500);

/// Number of requests before the one whose answer is lost
const EARLIER_REQUESTS: usize = 40;

async fn start() -> Site {
    let site = Site::start(1, 1).await;
    raw::remove_others(&site);
    site
}

/// Sends requests one after the other and returns how many arrived at an endpoint
async fn count_arrivals(site: &Site, endpoint: &RawEndpoint, label: &str) -> usize {
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let mut arrivals = 0;
    for number in 0..20 {
        let id = format!("{label}-{number}");
        get_status(host, "/safe/x", &id).await;
        arrivals += endpoint.arrivals(&id);
    }
    arrivals
}

async fn play_late_write() -> Vec<String> {
    let site = start().await;
    let leaving = RawEndpoint::start(&site, "i-leaving", raw::succeed).await;
    let staying = RawEndpoint::start(&site, "i-staying", raw::succeed).await;
    leaving.register(&site, "ready", 2);
    staying.register(&site, "ready", 2);
    Timer::after(APPLY_TIME).await;
    let mut broken = Vec::new();
    if count_arrivals(&site, &leaving, "before").await == 0 {
        broken.push("no request reaches the endpoint before it leaves".to_owned());
    }
    leaving.register(&site, "draining", 6);
    Timer::after(APPLY_TIME).await;
    leaving.register(&site, "ready", 3);
    Timer::after(APPLY_TIME).await;
    let late = count_arrivals(&site, &leaving, "late").await;
    if late > 0 {
        broken.push(format!("{late} requests after an older entry"));
    }
    site.store.remove("servers", &leaving.id);
    Timer::after(APPLY_TIME).await;
    leaving.register(&site, "ready", 4);
    Timer::after(APPLY_TIME).await;
    let gone = count_arrivals(&site, &leaving, "gone").await;
    if gone > 0 {
        broken.push(format!("{gone} requests after its entry was removed"));
    }
    broken
}

// An entry that the store writes late must not put an endpoint that leaves back into use.
#[test]
fn older_entry_written_late_revives_a_leaving_endpoint() {
    site::play_all([play_late_write()].into_iter());
}

/// Sends a request on a connection; returns the status of its answer
async fn exchange(connection: &mut Connection, id: &str) -> Option<u16> {
    let deadline = Instant::now() + Duration::from_secs(4);
    let request = format!(
        "GET /safe/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
         Request-Deadline: 4000\r\n\r\n"
    );
    connection.write(request.as_bytes(), deadline).await.ok()?;
    let exchange = async {
        let answer = connection.read_response("GET").await.ok()?;
        connection.read_body(answer.length, 1 << 20).await.ok()?;
        Some(answer.status)
    };
    timeout(deadline, exchange).await.flatten()
}

/// How an endpoint leaves while it has a request whose answer will be lost
#[derive(Clone, Copy, Debug)]
enum Leave {
    Draining,
    Gone,
    Evacuated,
}

async fn play_lost_answer(leave: Leave) -> Vec<String> {
    let mut site = start().await;
    let answer = |request, connection| async move {
        if raw::attempt_id(&request) != "lost" {
            return raw::succeed(request, connection).await;
        }
        Timer::after(LOST_AFTER).await;
        None
    };
    let leaving = RawEndpoint::start(&site, "i-leaving", answer).await;
    leaving.register(&site, "ready", 2);
    Timer::after(APPLY_TIME).await;
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let connection = Connection::connect(host, Duration::from_secs(1)).await;
    let mut connection = connection.expect("the host accepts");
    let mut broken = Vec::new();
    // They earn a retry, and the host keeps the connection on which the next request then goes.
    for number in 0..EARLIER_REQUESTS {
        if exchange(&mut connection, &format!("early-{number}")).await != Some(200) {
            broken.push(format!("{leave:?}: request {number} is not served"));
        }
    }
    let request = smol::spawn(async move { exchange(&mut connection, "lost").await });
    Timer::after(Duration::from_millis(100)).await;
    match leave {
        Leave::Draining => leaving.register(&site, "draining", 3),
        Leave::Gone => site.store.remove("servers", &leaving.id),
        Leave::Evacuated => site.evacuate(site::REGIONS[0], serde_json::json!({})),
    }
    let status = request.await;
    let arrivals = leaving.arrivals("lost");
    if arrivals != 1 {
        broken.push(format!("{leave:?}: {arrivals} arrivals, status {status:?}"));
    }
    broken
}

// A request must not go once more to an endpoint that has left while it was under way.
#[test]
fn request_is_sent_once_more_to_an_endpoint_that_left() {
    let cases = [Leave::Draining, Leave::Gone, Leave::Evacuated];
    site::play_all(cases.into_iter().map(play_lost_answer));
}
