//! Endpoint selection by affinity, load and health, and the estimated service times.

use std::net::SocketAddr;

use super::*;

mod reports;
mod shapes;
mod zones;

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z".into(),
        region: "r".into(),
        slots: 3,
        draining: false,
        start_unix_millis: None,
        sequence: 1,
        warmup_remaining: Duration::ZERO,
    }
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count).map(|i| endpoint(&format!("e{i}"))).collect()
}

static ROUTE: RouteId = RouteId::const_new("route");
static REGION: RegionId = RegionId::const_new("r");

fn request(key: u64, affinity_set_size: usize, excluded: &[EndpointId]) -> Request<'_> {
    Request {
        route: &ROUTE,
        region: &REGION,
        zone: "z",
        affinity_key: Some(key),
        affinity_set_size,
        excluded,
    }
}

#[test]
fn a_key_stays_on_its_affinity_set_under_load() {
    let now = Instant::now();
    let endpoints = endpoints(12);
    let mut pool = Pool::new();
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let choice = pool
            .choose(now, &request(7, 2, &[]), endpoints.iter())
            .expect("an endpoint is available");
        pool.start(now, &choice.id);
        used.insert(choice.id);
    }
    assert_eq!(used.len(), 2);
}

#[test]
fn hosts_choose_the_same_endpoint_for_a_key() {
    let now = Instant::now();
    let endpoints = endpoints(12);
    let mut reversed = endpoints.clone();
    reversed.reverse();
    for key in 0..50 {
        let expected = Pool::new().choose(now, &request(key, 1, &[]), endpoints.iter());
        let choice = Pool::new().choose(now, &request(key, 1, &[]), reversed.iter());
        assert_eq!(expected, choice);
    }
}

#[test]
fn load_from_other_hosts_counts_until_the_report_expires() {
    let now = Instant::now();
    let endpoints = endpoints(2);
    let mut pool = Pool::new();
    let first = pool
        .choose(now, &request(7, 2, &[]), endpoints.iter())
        .expect("an endpoint is available");
    pool.record_host_report(now, "other".into(), [(short_id(&first.id), 9)].into());
    let second = pool
        .choose(now, &request(7, 2, &[]), endpoints.iter())
        .expect("an endpoint is available");
    assert_ne!(first.id, second.id);
    let later = now + report::HOST_REPORT_TIMEOUT;
    let third = pool
        .choose(later, &request(7, 2, &[]), endpoints.iter())
        .expect("an endpoint is available");
    assert_eq!(first.id, third.id, "an expired report is ignored");
}

#[test]
fn an_ejected_endpoint_returns_after_a_probe_and_a_trial_request() {
    let start = Instant::now();
    let endpoints = endpoints(1);
    let mut pool = Pool::new();
    for _ in 0..2 {
        pool.start(start, &endpoints[0].id);
        pool.finish(
            start,
            &endpoints[0],
            &ROUTE,
            None,
            start,
            Outcome::ConnectionFailed,
        );
    }
    assert_eq!(
        pool.choose(start, &request(1, 1, &[]), endpoints.iter()),
        None
    );
    let later = start + Duration::from_secs(5);
    assert_eq!(pool.due_probes(later), [endpoints[0].id.clone()]);
    assert!(
        pool.due_probes(later).is_empty(),
        "each endpoint is due for one probe"
    );
    pool.record_probe(later, &endpoints[0].id, true);
    assert!(
        pool.choose(later, &request(1, 1, &[]), endpoints.iter())
            .is_some()
    );
    pool.start(later, &endpoints[0].id);
    assert_eq!(
        pool.choose(later, &request(1, 1, &[]), endpoints.iter()),
        None,
        "only one trial request at a time"
    );
    let served = Outcome::Served(Duration::from_millis(100));
    pool.finish(later, &endpoints[0], &ROUTE, None, later, served);
    assert!(
        pool.choose(later, &request(1, 1, &[]), endpoints.iter())
            .is_some()
    );
}

#[test]
fn slow_and_failing_endpoints_are_avoided() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
    }
    let cases = [
        Case {
            name: "slow",
            outcome: Outcome::Served(Duration::from_secs(4)),
        },
        Case {
            name: "failing",
            outcome: Outcome::Failed,
        },
        Case {
            name: "shedding",
            outcome: Outcome::Shed,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let endpoints = endpoints(2);
        let mut pool = Pool::new();
        for round in 0..30 {
            let (endpoint, outcome) = match round % 3 {
                0 => (&endpoints[0], case.outcome),
                _ => (&endpoints[1], Outcome::Served(Duration::from_millis(200))),
            };
            pool.start(now, &endpoint.id);
            pool.finish(now, endpoint, &ROUTE, None, now, outcome);
        }
        for key in 0..20 {
            let choice = pool.choose(now, &request(key, 2, &[]), endpoints.iter());
            assert_eq!(
                choice.expect("an endpoint is available").id,
                endpoints[1].id,
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn callers_that_read_slowly_change_the_service_time() {
    struct Case {
        name: &'static str,
        /// Milliseconds that other requests take, for which the endpoint is waited for, and in all
        millis: [u64; 3],
        /// Range of the mean afterwards, in milliseconds
        expected: std::ops::RangeInclusive<u64>,
    }
    let cases = [
        Case {
            name: "callers that take nothing for seconds",
            millis: [100, 50, 10_000],
            expected: 99..=101,
        },
        Case {
            name: "endpoint that is slower than before",
            millis: [100, 4000, 4500],
            expected: 3000..=4000,
        },
        Case {
            name: "endpoint that works while callers take nothing",
            millis: [2000, 1000, 2500],
            expected: 1999..=2001,
        },
        Case {
            name: "endpoint that is faster than before",
            millis: [2000, 50, 100],
            expected: 100..=700,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let [other, busy, total] = case.millis.map(Duration::from_millis);
        let endpoint = endpoint("e");
        let mut pool = Pool::new();
        let outcomes = [Outcome::Served(other), Outcome::Relayed { busy, total }];
        for outcome in outcomes.into_iter().flat_map(|outcome| [outcome; 30]) {
            pool.start(now, &endpoint.id);
            pool.finish(now, &endpoint, &ROUTE, None, now, outcome);
        }
        let service_time = pool.service_time(&ROUTE, &REGION);
        let mean = service_time.expect("requests were served").mean();
        let mean = (mean * 1000.0).round() as u64;
        assert!(case.expected.contains(&mean), "{}: {mean}", case.name);
    }
}

#[test]
fn queueing_does_not_raise_the_service_time() {
    let mut service_time = ServiceTime::default();
    for _ in 0..100 {
        service_time.record(Duration::from_millis(200), Some(0), false);
        service_time.record(Duration::from_millis(700), Some(1), false);
    }
    let before = service_time.expected(0);
    for _ in 0..500 {
        service_time.record(Duration::from_millis(1800), Some(0), true);
    }
    assert_eq!(service_time.expected(0), before);
    assert!(
        service_time.expected(0) < 0.35,
        "{}",
        service_time.expected(0)
    );
    assert!(
        service_time.expected(1) > 0.5,
        "{}",
        service_time.expected(1)
    );
}

#[test]
fn the_affinity_set_size_depends_on_the_keys_and_endpoints() {
    struct Case {
        keys: u64,
        endpoints: usize,
        expected_size: usize,
    }
    let cases = [
        Case {
            keys: 0,
            endpoints: 4,
            expected_size: MAX_AFFINITY_SET_SIZE,
        },
        Case {
            keys: 52,
            endpoints: 4,
            expected_size: 1,
        },
        Case {
            keys: 52,
            endpoints: 12,
            expected_size: 2,
        },
        Case {
            keys: 5000,
            endpoints: 12,
            expected_size: 1,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut keys = AffinityKeys::default();
        (0..case.keys).for_each(|key| keys.record(now, key));
        assert_eq!(
            keys.affinity_set_size(case.endpoints),
            case.expected_size,
            "{}",
            case.keys
        );
        keys.expire(now + AFFINITY_KEY_TTL);
        assert_eq!(
            keys.affinity_set_size(case.endpoints),
            MAX_AFFINITY_SET_SIZE
        );
    }
}

#[test]
fn endpoint_that_asks_for_time_returns_with_one_request_at_a_time() {
    const PAUSE: Duration = Duration::from_secs(2);
    let now = Instant::now();
    let endpoints = endpoints(1);
    let endpoint = &endpoints[0];
    let mut pool = Pool::new();
    pool.pause(&endpoint.id, now + PAUSE);
    pool.pause(&endpoint.id, now + PAUSE / 2);
    let choose = |pool: &Pool, now| pool.choose(now, &request(7, 1, &[]), endpoints.iter());
    let just_before = now + PAUSE - Duration::from_millis(1);
    assert_eq!(choose(&pool, just_before), None, "the longer time counts");
    let end = now + PAUSE;
    assert!(choose(&pool, end).is_some());
    pool.start(end, &endpoint.id);
    assert_eq!(choose(&pool, end), None, "the first request is running");
    pool.finish(end, endpoint, &ROUTE, None, end, Outcome::Shed);
    pool.start(end, &endpoint.id);
    assert_eq!(choose(&pool, end), None, "none was served yet");
    let served = Outcome::Served(Duration::from_millis(50));
    pool.finish(end, endpoint, &ROUTE, None, end, served);
    pool.start(end, &endpoint.id);
    assert!(choose(&pool, end).is_some(), "one was served");
    pool.pause(&endpoint.id, end + PAUSE);
    pool.remove_endpoint(&endpoint.id);
    assert!(
        choose(&pool, end).is_some(),
        "the next run asked for nothing"
    );
}
