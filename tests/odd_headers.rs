//! Endpoints that state numbers at the ends of their types in their answers, behind real `pier-gate`
//! processes whose callers send several requests before the first answer.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::endpoint::Faults;

use site::{HOST_NAME, Site};

/// Port of a host's metrics
const METRICS_PORT: u16 = 9464;

/// Number of requests that a caller sends before the first answer
const PIPELINED: usize = 3;

/// Number of such batches of each caller
const BATCHES: usize = 20;

/// Time within which a batch must be answered
const BATCH_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Case {
    /// Header line of all answers of one endpoint
    header: &'static str,
}

const CASES: [Case; 10] = [
    Case {
        header: "Keep-Alive: timeout=9223372036854775807",
    },
    Case {
        header: "Keep-Alive: timeout=18446744073709551615",
    },
    Case {
        header: "Keep-Alive: timeout=99999999999999999999999",
    },
    Case {
        header: "Keep-Alive: timeout=-1",
    },
    Case {
        header: "Warmup-Ms: 18446744073709551615",
    },
    Case {
        header: "Server-Load: 4294967295,4294967295,4294967295",
    },
    Case {
        header: "Retry-After: 1e300",
    },
    Case {
        header: "Server-Limit: 1e300",
    },
    Case {
        header: "Server-Limit: 5e-324",
    },
    Case {
        header: "Server-Leaving: 18446744073709551616",
    },
];

/// Sends a batch; returns the ids of the answers in their order, and whether all are successes
async fn send_batch(
    connection: &mut Connection,
    ids: &[String],
    deadline: Instant,
) -> Option<(Vec<String>, bool)> {
    let requests: String = ids
        .iter()
        .map(|id| {
            format!(
                "GET /safe/{id} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {id}\r\n\
                 Request-Deadline: 2000\r\n\r\n"
            )
        })
        .collect();
    connection.write(requests.as_bytes(), deadline).await.ok()?;
    let (mut answered, mut are_successes) = (Vec::new(), true);
    for _ in ids {
        let answer = connection.read_response("GET").await.ok()?;
        connection.read_body(answer.length, 8 << 20).await.ok()?;
        let id = answer.headers.get("Attempt-Id").unwrap_or_default();
        answered.push(id.to_owned());
        are_successes &= answer.status == 200;
    }
    Some((answered, are_successes))
}

async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start_with_capacity(1, 2, (8, Duration::from_millis(10))).await;
    (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
    Timer::after(Duration::from_millis(300)).await;
    for server in site.servers.iter().step_by(2) {
        server.endpoint.set_faults(Faults {
            extra_header: Some(case.header),
            ..Faults::default()
        });
    }
    let mut broken = Vec::new();
    let address = SocketAddr::new(site.gateways[0].ip, 8161);
    for batch in 0..BATCHES {
        let ids: Vec<String> = (0..PIPELINED).map(|n| format!("b{batch}-{n}")).collect();
        let deadline = Instant::now() + BATCH_TIMEOUT;
        let exchange = async {
            let connection = Connection::connect(address, Duration::from_secs(1)).await;
            let mut connection = connection.ok()?;
            send_batch(&mut connection, &ids, deadline).await
        };
        match timeout(deadline, exchange).await.flatten() {
            Some((answered, true)) if answered == ids => {}
            result => broken.push(format!("{}: {ids:?} got {result:?}", case.header)),
        }
    }
    for index in 0..site.gateways.len() {
        let log = site.read_log(index);
        let panics = log.lines().filter(|line| line.contains("panicked"));
        broken.extend(panics.map(|line| format!("{}: {line}", case.header)));
    }
    broken
}

// A number that an endpoint spoils must not cost a request its answer, or give it that of another.
#[test]
fn spoiled_number_of_an_endpoint_mixes_up_pipelined_answers() {
    site::play_all(CASES.into_iter().map(play));
}

// A statement that no host understands left no trace, so that nobody knew that it was not heeded.
#[test]
fn unknown_statement_of_an_endpoint_leaves_no_trace() {
    site::play_all(std::iter::once(async {
        let mut site = Site::start_with_capacity(1, 1, (8, Duration::from_millis(10))).await;
        (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
        Timer::after(Duration::from_millis(300)).await;
        for server in &site.servers {
            server.endpoint.set_faults(Faults {
                extra_header: Some("Server-Quota: 7\r\nX-Quota: 7"),
                ..Faults::default()
            });
        }
        let mut broken = Vec::new();
        for gateway in 0..site.gateways.len() {
            let ip = site.gateways[gateway].ip;
            for number in 0..20 {
                let host = SocketAddr::new(ip, 8161);
                let id = format!("{gateway}-{number}");
                if site::get_status(host, "/safe/1", &id).await != Some(200) {
                    broken.push(format!("request {id} is not served"));
                }
            }
            let metrics = site::get(SocketAddr::new(ip, METRICS_PORT), "/metrics").await;
            let (_, text) = metrics.unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            let mut lines = text
                .lines()
                .filter(|line| line.starts_with("pier_gate_unknown_headers"));
            let line = lines.next().unwrap_or_default();
            if !line.contains("name=\"server-quota\"") || !line.ends_with(" 20") {
                broken.push(format!("metrics: {line:?}"));
            }
            let log = site.read_log(gateway);
            let logged = log.lines().filter(|line| line.contains("header-unknown"));
            if logged.count() != 1 || log.contains("x-quota") {
                broken.push(format!("log of {}", site.gateways[gateway].name));
            }
        }
        broken
    }));
}
