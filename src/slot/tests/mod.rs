//! Admission, slot limits, ejection and retry delays of the slot pool.

use std::collections::BTreeMap;

use super::*;
use crate::config::Cap;

mod random;

fn endpoints(count: usize, slots: u32) -> BTreeMap<EndpointId, Endpoint> {
    (0..count)
        .map(|index| {
            let endpoint = Endpoint {
                zone: "bne-a".into(),
                address: ([127, 0, 0, 1], 9000 + index as u16).into(),
                slots,
                draining: false,
            };
            (EndpointId::from(format!("e{index}")), endpoint)
        })
        .collect()
}

fn pool(now: Instant, count: usize) -> Pool {
    let mut pool = Pool::with_seed(7);
    pool.configure(now, &endpoints(count, 3));
    pool
}

fn request(now: Instant, reason: Reason) -> Request {
    Request {
        deadline: now + Duration::from_secs(5),
        reason,
        excluded: Vec::new(),
    }
}

fn leases(pool: &mut Pool, now: Instant, reason: Reason, attempts: usize) -> Vec<Lease> {
    let granted = (0..attempts).filter_map(|_| match pool.admit(now, request(now, reason)) {
        Admission::Granted(lease) => Some(lease),
        _ => None,
    });
    granted.collect()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn events_change_the_usable_slots() {
    struct Case {
        name: &'static str,
        event: fn(&mut Pool, Instant),
        after: Duration,
        expected_leases: usize,
    }
    let cases = [
        Case {
            name: "no event",
            event: |_, _| (),
            after: ms(0),
            expected_leases: 6,
        },
        Case {
            name: "a report of no running requests does not raise the limit",
            event: |pool, now| {
                let load = Load {
                    running: 0,
                    slots: 90,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: ms(0),
            expected_leases: 6,
        },
        Case {
            name: "a report that other clients use all slots leaves one slot",
            event: |pool, now| {
                let load = Load {
                    running: 3,
                    slots: 3,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: ms(0),
            expected_leases: 4,
        },
        Case {
            name: "a report expires",
            event: |pool, now| {
                let load = Load {
                    running: 3,
                    slots: 3,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: endpoint::LOAD_REPORT_TTL,
            expected_leases: 6,
        },
        Case {
            name: "a leaving endpoint gets no requests",
            event: |pool, now| pool.mark_leaving(now, &"e0".into()),
            after: ms(0),
            expected_leases: 3,
        },
        Case {
            name: "an endpoint configured as draining gets no requests",
            event: |pool, now| {
                let mut endpoints = endpoints(2, 3);
                endpoints.get_mut("e0").expect("e0 is configured").draining = true;
                pool.configure(now, &endpoints);
            },
            after: ms(0),
            expected_leases: 3,
        },
        Case {
            name: "a removed endpoint gets no requests",
            event: |pool, now| {
                let lease = leases(pool, now, Reason::Share, 1).remove(0);
                assert_eq!(lease.endpoint, "e0");
                let mut endpoints = endpoints(2, 3);
                endpoints.remove("e0");
                pool.configure(now, &endpoints);
            },
            after: ms(0),
            expected_leases: 3,
        },
        Case {
            name: "a new endpoint begins with one slot",
            event: |pool, now| pool.configure(now, &endpoints(3, 3)),
            after: ms(0),
            expected_leases: 7,
        },
        Case {
            name: "a new endpoint has all slots after the slow start",
            event: |pool, now| pool.configure(now, &endpoints(3, 3)),
            after: endpoint::SLOW_START_DURATION,
            expected_leases: 9,
        },
        Case {
            name: "consecutive failures eject an endpoint",
            event: |pool, now| {
                (0..endpoint::EJECT_AFTER_FAILURES)
                    .for_each(|_| pool.record_failure(now, &"e0".into()))
            },
            after: ms(0),
            expected_leases: 3,
        },
        Case {
            name: "an endpoint has one slot after its ejection",
            event: |pool, now| {
                (0..endpoint::EJECT_AFTER_FAILURES)
                    .for_each(|_| pool.record_failure(now, &"e0".into()))
            },
            after: endpoint::EJECT_BASE_DURATION,
            expected_leases: 4,
        },
        Case {
            name: "idle endpoints begin with one slot each",
            event: |_, _| (),
            after: endpoint::IDLE_TIMEOUT,
            expected_leases: 2,
        },
        Case {
            name: "a new owner uses part of the slots during the takeover",
            event: |pool, now| pool.start_takeover(now + ms(3000)),
            after: ms(2999),
            expected_leases: 2,
        },
        Case {
            name: "a new owner uses all slots after the takeover",
            event: |pool, now| pool.start_takeover(now + ms(3000)),
            after: ms(3000),
            expected_leases: 6,
        },
        Case {
            name: "a report that other clients use all slots leaves none during the takeover",
            event: |pool, now| {
                pool.start_takeover(now + ms(3000));
                let load = Load {
                    running: 3,
                    slots: 3,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: ms(0),
            expected_leases: 1,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = pool(now, 2);
        (case.event)(&mut pool, now);
        let later = now + case.after;
        let granted = leases(&mut pool, later, Reason::Share, 20);
        assert_eq!(granted.len(), case.expected_leases, "{}", case.name);
    }
}

#[test]
fn stale_reports_are_ignored() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let load = Load {
        running: 3,
        slots: 3,
    };
    for index in 0..20 {
        let now = now + ms(index * 10);
        pool.record_load(now, &"e0".into(), load);
        for lease in leases(&mut pool, now, Reason::Share, 1) {
            pool.record_load(now, &"e0".into(), load);
            pool.release(now, &lease, Outcome::Served(ms(5)));
        }
    }
    assert_eq!(pool.headroom(now + ms(200)).usable, 3);
}

#[test]
fn outcomes_change_the_usable_slots() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        repeat: usize,
        expected_usable: u32,
    }
    let cases = [
        Case {
            name: "responses",
            outcome: Outcome::Served(ms(5)),
            repeat: 9,
            expected_usable: 3,
        },
        Case {
            name: "a shed request lowers the limit, to one slot at least",
            outcome: Outcome::Shed,
            repeat: 1,
            expected_usable: 1,
        },
        Case {
            name: "leaving response",
            outcome: Outcome::Leaving,
            repeat: 1,
            expected_usable: 0,
        },
        Case {
            name: "one failed connection",
            outcome: Outcome::ConnectionFailed,
            repeat: 1,
            expected_usable: 3,
        },
        Case {
            name: "consecutive failed connections",
            outcome: Outcome::ConnectionFailed,
            repeat: 3,
            expected_usable: 0,
        },
        Case {
            name: "consecutive timeouts",
            outcome: Outcome::Cancelled,
            repeat: 5,
            expected_usable: 0,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut pool = pool(now, 1);
        for _ in 0..case.repeat {
            let lease = leases(&mut pool, now, Reason::Share, 1).remove(0);
            pool.release(now, &lease, case.outcome);
            now += endpoint::CANCEL_GRACE_PERIOD;
        }
        assert_eq!(
            pool.headroom(now).usable,
            case.expected_usable,
            "{}",
            case.name
        );
    }
}

#[test]
fn moved_requests_respect_the_reserve_and_the_caps() {
    struct Case {
        name: &'static str,
        reason: Reason,
        rate: f64,
        expected_leases: usize,
    }
    let cases = [
        Case {
            name: "requests of the zone use all slots",
            reason: Reason::Share,
            rate: 0.0,
            expected_leases: 15,
        },
        Case {
            name: "spilled requests leave a reserve",
            reason: Reason::Spill,
            rate: 1000.0,
            expected_leases: 12,
        },
        Case {
            name: "spilled requests above their cap are refused",
            reason: Reason::Spill,
            rate: 3.0,
            expected_leases: 3,
        },
        Case {
            name: "shifted requests above their cap are refused",
            reason: Reason::Shift,
            rate: 5.0,
            expected_leases: 5,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = pool(now, 5);
        let cap = Cap {
            share: 0.1,
            rate: case.rate,
            window: Duration::from_secs(10),
        };
        pool.set_caps(now, &cap, &cap);
        let later = now + Duration::from_secs(10);
        let granted = leases(&mut pool, later, case.reason, 20);
        assert_eq!(granted.len(), case.expected_leases, "{}", case.name);
    }
}

#[test]
fn retries_of_refused_callers_stay_below_the_capacity() {
    let now = Instant::now();
    let mut pool = pool(now, 5);
    pool.mean_service_seconds = Some(0.05);
    let mut retries_by_second: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..3000 {
        if let Admission::Refused(_, retry_after) = pool.admit(now, request(now, Reason::Share)) {
            assert!(retry_after >= MIN_RETRY_AFTER && retry_after <= MAX_RETRY_AFTER);
            *retries_by_second.entry(retry_after.as_secs()).or_default() += 1;
        }
    }
    // 15 slots with a service time of 50 ms serve 300 requests per second, of which retries may use
    // half.
    let max_retries = retries_by_second
        .values()
        .max()
        .copied()
        .unwrap_or_default();
    assert!(
        max_retries < 300,
        "{max_retries} retries within one second: {retries_by_second:?}"
    );
}
