//! Endpoints that name the requests a second that they take from all hosts together, behind real
//! `pier-gate` processes and under steady load.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;
use tanagerpier::message::{Connection, timeout};
use tanagerpier::platform::standin::endpoint::Faults;

use site::limit::{HEED_TIME, WINDOW, allowed, counted_arrivals, most_in_window};
use site::load::{Load, arrivals_by_host};
use site::{HOST_NAME, Site};

/// Number of callers, which send about 600 requests a second in all
const CALLERS: usize = 30;

/// Duration of the load, and when in it the endpoints begin to name their limits
const LOAD_TIME: Duration = Duration::from_secs(14);
const NAMED_AFTER: Duration = Duration::from_secs(1);

/// What happens 5 s after the limits were named
#[derive(Clone, Copy, Debug)]
enum Event {
    None,
    /// All hosts of a region but one are killed and start again at once
    Kill,
    /// A host is frozen for 2.5 s
    Freeze,
    /// A host stops as planned and starts again
    Stop,
    /// The limit changes to this text
    Rename(&'static str),
}

/// Ratio of the limits that must be used while callers want more
const MIN_USE: f64 = 0.8;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    limit: &'static str,
    /// Requests a second that the text of the limit stands for; the highest one if it changes
    rate: f64,
    /// Endpoints that name the limit, out of three in each of two regions
    limited: &'static [usize],
    event: Event,
}

const ONE_IN_EACH_REGION: &[usize] = &[0, 3];
const ALL: &[usize] = &[0, 1, 2, 3, 4, 5];

fn name_limit(site: &Site, case: Case, limit: &'static str) {
    for server in case.limited {
        site.servers[*server].endpoint.set_faults(Faults {
            server_limit: Some(limit),
            ..Faults::default()
        });
    }
}

async fn play_event(site: &mut Site, case: Case) {
    match case.event {
        Event::None => {}
        Event::Kill => {
            for gateway in 0..2 {
                let process = site.gateways[gateway].process.as_mut();
                process.expect("the host runs").kill();
                site.start_gateway(gateway);
            }
        }
        Event::Freeze => {
            let process = site.gateways[0].process.as_ref().expect("the host runs");
            process.signal("STOP");
            Timer::after(Duration::from_millis(2500)).await;
            process.signal("CONT");
        }
        Event::Stop => {
            let process = site.gateways[0].process.as_mut().expect("the host runs");
            process.signal("TERM");
            process.exits_successfully(Duration::from_secs(5)).await;
            site.start_gateway(0);
        }
        Event::Rename(limit) => name_limit(site, case, limit),
    }
}

async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start_with_capacity(3, 3, (3, Duration::from_millis(20))).await;
    (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
    Timer::after(Duration::from_millis(300)).await;
    let mut load = Load::with_callers(&site, LOAD_TIME, CALLERS);
    Timer::after(NAMED_AFTER).await;
    name_limit(&site, case, case.limit);
    Timer::after(Duration::from_secs(5)).await;
    play_event(&mut site, case).await;
    let hosts = load.hosts_by_attempt().await;
    let allowed = allowed(case.rate);
    let mut broken = Vec::new();
    let mut most = Vec::new();
    for server in case.limited {
        let arrivals = counted_arrivals(&site, *server, &hosts, &[]);
        let in_window = most_in_window(&arrivals);
        most.push(in_window);
        if in_window as f64 > allowed {
            broken.push(format!(
                "{}: endpoint {server} got {in_window} requests in {WINDOW:?}; allowed {allowed}",
                case.name
            ));
        }
    }
    println!(
        "{}: {most:?} of {allowed}; {:?}",
        case.name,
        load.statuses()
    );
    if let Some(used) = use_of_limits(&site, case) {
        println!("{}: {used:.2} of the limits are used", case.name);
        if used < MIN_USE {
            broken.push(format!(
                "{}: only {used:.2} of the limits are used",
                case.name
            ));
        }
    }
    broken
}

/// Returns the ratio of the limits that is used before the event, if nothing else can serve the
/// callers
fn use_of_limits(site: &Site, case: Case) -> Option<f64> {
    let mut arrived = 0;
    for server in case.limited {
        let endpoint = &site.servers[*server].endpoint;
        let answers = endpoint.limit_answers();
        let named_at = answers.iter().map(|(_, at)| *at).min()?;
        let span = named_at + HEED_TIME..named_at + HEED_TIME + WINDOW;
        let arrivals = endpoint.arrivals();
        let arrivals = arrivals.values().flatten();
        arrived += arrivals.filter(|at| span.contains(*at)).count();
    }
    let expected = case.rate * WINDOW.as_secs_f64() * case.limited.len() as f64;
    (case.limited.len() == site.servers.len()).then(|| arrived as f64 / expected)
}

// A limit holds for all hosts together, so it has to hold while hosts come and go, too.
#[test]
fn hosts_together_send_an_endpoint_more_than_it_named() {
    let case = |name, limit, rate, limited, event| Case {
        name,
        limit,
        rate,
        limited,
        event,
    };
    let cases = [
        case("1 a second", "1", 1.0, ONE_IN_EACH_REGION, Event::None),
        case("0.2 a second", "0.2", 0.2, ONE_IN_EACH_REGION, Event::None),
        case("none", "0", 0.0, ONE_IN_EACH_REGION, Event::None),
        case("10 a second at all", "10", 10.0, ALL, Event::None),
        case(
            "hosts are killed",
            "1",
            1.0,
            ONE_IN_EACH_REGION,
            Event::Kill,
        ),
        case("a host is frozen", "4.5", 4.5, ALL, Event::Freeze),
        case("a host stops", "1.4", 1.4, ALL, Event::Stop),
        case(
            "it changes",
            "0.5",
            2.0,
            ONE_IN_EACH_REGION,
            Event::Rename("2"),
        ),
    ];
    // Two at a time: each deployment has six processes.
    let pairs = cases.chunks(2);
    let broken = pairs.flat_map(|pair| site::collect(pair.iter().copied().map(play)));
    let broken: Vec<String> = broken.collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Starts a deployment whose endpoints serve about as much as the load needs, and the load
async fn start(load_time: Duration) -> (Site, Load) {
    let mut site = Site::start_with_capacity(3, 3, (3, Duration::from_millis(20))).await;
    (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
    Timer::after(Duration::from_millis(300)).await;
    let load = Load::with_callers(&site, load_time, CALLERS);
    (site, load)
}

// Hosts that have no part in a limit hear of its end from others.
#[test]
fn endpoint_that_takes_its_limit_back_stays_unused() {
    /// Time until all hosts use the endpoint again: a request within the limit, and its news
    const RETURN_TIME: Duration = Duration::from_secs(2);
    let broken = site::collect(std::iter::once(async {
        let (site, mut load) = start(Duration::from_secs(12)).await;
        Timer::after(Duration::from_secs(1)).await;
        for server in [0, 3] {
            site.servers[server].endpoint.set_faults(Faults {
                server_limit: Some("1"),
                ..Faults::default()
            });
        }
        Timer::after(Duration::from_secs(5)).await;
        let taken_back_at = Instant::now();
        for server in [0, 3] {
            site.servers[server].endpoint.set_faults(Faults::default());
        }
        let hosts = load.hosts_by_attempt().await;
        let mut broken = Vec::new();
        for server in [0, 3] {
            let region = site.servers[server].region;
            let arrivals = arrivals_by_host(&site, server, &hosts);
            for gateway in site.gateways.iter().filter(|host| host.region == region) {
                let address = SocketAddr::new(gateway.ip, 8161);
                let times = arrivals.get(&address).map_or(&[][..], Vec::as_slice);
                let again = times.iter().filter(|at| **at > taken_back_at + RETURN_TIME);
                let count = again.count();
                println!("endpoint {server}, {}: {count} again", gateway.name);
                if count < 20 {
                    broken.push(format!("{} sends endpoint {server} {count}", gateway.name));
                }
            }
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

// What states no number of requests must not change what callers get.
#[test]
fn limits_that_are_no_numbers_harm_callers() {
    const TEXTS: [&str; 6] = ["-1", "nan", "inf", "many", "", "1\r\nServer-Limit: 2"];
    let broken = site::collect(std::iter::once(async {
        let (site, mut load) = start(Duration::from_secs(5)).await;
        for (server, text) in site.servers.iter().zip(TEXTS) {
            server.endpoint.set_faults(Faults {
                server_limit: Some(text),
                ..Faults::default()
            });
        }
        load.hosts_by_attempt().await;
        let statuses = load.statuses();
        println!("{statuses:?}");
        let mut broken = Vec::new();
        if statuses.keys().any(|status| status != "200") {
            broken.push(format!("{statuses:?}"));
        }
        for index in 0..site.gateways.len() {
            let log = site.read_log(index);
            if !log.contains("limit-ignored") || log.contains("endpoint-limit") {
                broken.push(format!("log of {}", site.gateways[index].name));
            }
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Callers that come at the same moment, ten at each host
const BURST: usize = 60;

/// Time that these callers have; a third of it is more than their number needs at the limits
const PATIENCE: Duration = Duration::from_secs(12);

/// Ratio of the callers that return as told and must be served then
const MIN_TRUE: f64 = 0.8;

/// Sends a request until it is served, each time on a new connection and after the time that the refusal
/// told, but within a third of the time left; returns the number of refusals, and whether it was served
async fn call(host: SocketAddr, number: usize) -> (usize, bool) {
    let deadline = Instant::now() + PATIENCE;
    let mut refused = 0;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let exchange = async {
            let connection = Connection::connect(host, Duration::from_secs(1)).await;
            let mut connection = connection.ok()?;
            let request = format!(
                "GET /safe/{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: burst-{number}\r\n\
                 Request-Deadline: {}\r\nConnection: close\r\n\r\n",
                left.as_millis()
            );
            connection.write(request.as_bytes(), deadline).await.ok()?;
            connection.read_response("GET").await.ok()
        };
        let answer = timeout(deadline, exchange).await.flatten();
        let answer = match answer {
            Some(answer) if answer.status == 503 => answer,
            answer => return (refused, answer.is_some_and(|answer| answer.status == 200)),
        };
        refused += 1;
        let told = answer.headers.get("Retry-After");
        let told = told.and_then(|text| text.parse().ok());
        let told = told.map_or(Duration::ZERO, Duration::from_secs_f64);
        Timer::after(told.min(left / 3)).await;
    }
}

// All callers that are refused at once must not be told the same time, at which one of them is served.
#[test]
fn callers_that_return_when_told_are_refused_again() {
    let broken = site::collect(std::iter::once(async {
        let mut site = Site::start_with_capacity(3, 2, (3, Duration::from_millis(20))).await;
        (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
        for server in &site.servers {
            server.endpoint.set_faults(Faults {
                server_limit: Some("5"),
                ..Faults::default()
            });
        }
        // Hosts hear of the limits, and forget what they told.
        let mut load = Load::with_callers(&site, Duration::from_secs(3), 12);
        load.hosts_by_attempt().await;
        Timer::after(Duration::from_secs(3)).await;
        let start = Instant::now();
        let callers = (0..BURST).map(|number| {
            let host = load.hosts[number % load.hosts.len()];
            smol::spawn(call(host, number))
        });
        let callers: Vec<_> = callers.collect();
        let (mut first, mut again, mut served) = (0, 0, 0);
        for caller in callers {
            let (refused, is_served) = caller.await;
            first += usize::from(refused > 0);
            again += refused.saturating_sub(1);
            served += usize::from(is_served);
        }
        let returned = first + again;
        println!(
            "{BURST} callers: {first} refused, {returned} returns, {again} of them refused again, \
             {served} served after {:.1?}",
            start.elapsed()
        );
        let mut broken = Vec::new();
        if served < BURST {
            broken.push(format!("{served} of {BURST} served"));
        }
        if ((returned - again) as f64) < MIN_TRUE * returned as f64 {
            broken.push(format!("{again} of {returned} returns refused again"));
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
