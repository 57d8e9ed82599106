//! Where requests go: homes of objects, load, failures, and what is learned.

use std::net::SocketAddr;

use super::*;

mod shapes;

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
        warmup_remaining: Duration::ZERO,
    }
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count).map(|i| endpoint(&format!("e{i}"))).collect()
}

static ROUTE: RouteId = RouteId::const_new("route");
static REGION: RegionId = RegionId::const_new("r");

fn ask(object: u64, homes: usize, avoid: &[EndpointId]) -> Request<'_> {
    Request {
        route: &ROUTE,
        region: &REGION,
        affinity_key: Some(object),
        affinity_set_size: homes,
        excluded: avoid,
    }
}

#[test]
fn an_object_stays_on_its_homes_however_busy_they_are() {
    let now = Instant::now();
    let ends = endpoints(12);
    let mut pool = Pool::new();
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let choice = pool
            .choose(now, &ask(7, 2, &[]), ends.iter())
            .expect("some endpoint");
        pool.start(now, &choice.id);
        used.insert(choice.id);
    }
    assert_eq!(used.len(), 2);
}

#[test]
fn hosts_agree_on_the_homes_of_an_object() {
    let now = Instant::now();
    let ends = endpoints(12);
    let mut turned = ends.clone();
    turned.reverse();
    for object in 0..50 {
        let one = Pool::new().choose(now, &ask(object, 1, &[]), ends.iter());
        let other = Pool::new().choose(now, &ask(object, 1, &[]), turned.iter());
        assert_eq!(one, other);
    }
}

#[test]
fn what_other_hosts_run_counts() {
    let now = Instant::now();
    let ends = endpoints(2);
    let mut pool = Pool::new();
    let first = pool
        .choose(now, &ask(7, 2, &[]), ends.iter())
        .expect("some endpoint");
    pool.record_host_report(now, "other".into(), [(short_id(&first.id), 9)].into());
    let second = pool
        .choose(now, &ask(7, 2, &[]), ends.iter())
        .expect("some endpoint");
    assert_ne!(first.id, second.id);
    let later = now + HOST_REPORT_TIMEOUT;
    let third = pool
        .choose(later, &ask(7, 2, &[]), ends.iter())
        .expect("some endpoint");
    assert_eq!(first.id, third.id, "an old report counts for nothing");
}

#[test]
fn endpoints_that_break_are_left_out_and_come_back_by_one_request() {
    let start = Instant::now();
    let ends = endpoints(1);
    let mut pool = Pool::new();
    for _ in 0..2 {
        pool.start(start, &ends[0].id);
        pool.finish(
            start,
            &ends[0],
            &ROUTE,
            None,
            start,
            Outcome::ConnectionFailed,
        );
    }
    assert_eq!(pool.choose(start, &ask(1, 1, &[]), ends.iter()), None);
    let later = start + Duration::from_secs(5);
    assert_eq!(pool.due_probes(later), [ends[0].id.clone()]);
    assert!(pool.due_probes(later).is_empty(), "asked once");
    pool.record_probe(later, &ends[0].id, true);
    assert!(pool.choose(later, &ask(1, 1, &[]), ends.iter()).is_some());
    pool.start(later, &ends[0].id);
    assert_eq!(
        pool.choose(later, &ask(1, 1, &[]), ends.iter()),
        None,
        "one at a time"
    );
    let took = Outcome::Served(Duration::from_millis(100));
    pool.finish(later, &ends[0], &ROUTE, None, later, took);
    assert!(pool.choose(later, &ask(1, 1, &[]), ends.iter()).is_some());
}

#[test]
fn slow_and_failing_endpoints_are_used_last() {
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
        let ends = endpoints(2);
        let mut pool = Pool::new();
        for round in 0..30 {
            let (end, outcome) = match round % 3 {
                0 => (&ends[0], case.outcome),
                _ => (&ends[1], Outcome::Served(Duration::from_millis(200))),
            };
            pool.start(now, &end.id);
            pool.finish(now, end, &ROUTE, None, now, outcome);
        }
        for object in 0..20 {
            let choice = pool.choose(now, &ask(object, 2, &[]), ends.iter());
            assert_eq!(choice.expect("an endpoint").id, ends[1].id, "{}", case.name);
        }
    }
}

#[test]
fn queueing_is_not_taken_for_slow_work() {
    let mut work = ServiceTime::default();
    for _ in 0..100 {
        work.record(Duration::from_millis(200), Some(0), false);
        work.record(Duration::from_millis(700), Some(1), false);
    }
    let before = work.expected(0);
    for _ in 0..500 {
        work.record(Duration::from_millis(1800), Some(0), true);
    }
    assert_eq!(work.expected(0), before);
    assert!(work.expected(0) < 0.35, "{}", work.expected(0));
    assert!(work.expected(1) > 0.5, "{}", work.expected(1));
}

#[test]
fn homes_follow_the_objects_and_the_endpoints() {
    struct Case {
        objects: u64,
        endpoints: usize,
        homes: usize,
    }
    let cases = [
        Case {
            objects: 0,
            endpoints: 4,
            homes: MAX_AFFINITY_SET_SIZE,
        },
        Case {
            objects: 52,
            endpoints: 4,
            homes: 1,
        },
        Case {
            objects: 52,
            endpoints: 12,
            homes: 2,
        },
        Case {
            objects: 5000,
            endpoints: 12,
            homes: 1,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut objects = AffinityKeys::default();
        (0..case.objects).for_each(|object| objects.record(now, object));
        assert_eq!(
            objects.affinity_set_size(case.endpoints),
            case.homes,
            "{}",
            case.objects
        );
        objects.expire(now + AFFINITY_KEY_TTL);
        assert_eq!(
            objects.affinity_set_size(case.endpoints),
            MAX_AFFINITY_SET_SIZE
        );
    }
}
