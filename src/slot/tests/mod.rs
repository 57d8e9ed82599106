//! Tests of the slot pool.

use std::collections::BTreeMap;

use super::*;
use crate::config::Cap;

mod random;

fn endpoints(count: usize, slots: u32) -> BTreeMap<EndpointId, Endpoint> {
    (0..count)
        .map(|i| {
            let endpoint = Endpoint {
                zone: "bne-a".into(),
                address: ([127, 0, 0, 1], 9000 + i as u16).into(),
                slots,
                draining: false,
            };
            (EndpointId::from(format!("e{i}")), endpoint)
        })
        .collect()
}

fn pool(now: Instant, count: usize) -> Pool {
    let mut pool = Pool::with_seed(7);
    pool.configure(now, &endpoints(count, 3));
    pool
}

fn ask(now: Instant, reason: Reason) -> Request {
    Request {
        deadline: now + Duration::from_secs(5),
        reason,
        excluded: Vec::new(),
    }
}

fn starts(pool: &mut Pool, now: Instant, reason: Reason, tries: usize) -> Vec<Lease> {
    let started = (0..tries).filter_map(|_| match pool.admit(now, ask(now, reason)) {
        Admission::Granted(lease) => Some(lease),
        _ => None,
    });
    started.collect()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn what_lowers_the_slots_in_use() {
    struct Case {
        name: &'static str,
        event: fn(&mut Pool, Instant),
        after: Duration,
        starts: usize,
    }
    let cases = [
        Case {
            name: "nothing",
            event: |_, _| (),
            after: ms(0),
            starts: 6,
        },
        Case {
            name: "a report of zero running raises nothing",
            event: |pool, now| {
                let load = Load {
                    running: 0,
                    slots: 90,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: ms(0),
            starts: 6,
        },
        Case {
            name: "a report of others' requests leaves one slot",
            event: |pool, now| {
                let load = Load {
                    running: 3,
                    slots: 3,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: ms(0),
            starts: 4,
        },
        Case {
            name: "an old report is forgotten",
            event: |pool, now| {
                let load = Load {
                    running: 3,
                    slots: 3,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: endpoint::REPORT,
            starts: 6,
        },
        Case {
            name: "leaving gets nothing from that moment",
            event: |pool, now| pool.mark_leaving(now, &"e0".into()),
            after: ms(0),
            starts: 3,
        },
        Case {
            name: "configured draining gets nothing",
            event: |pool, now| {
                let mut endpoints = endpoints(2, 3);
                endpoints.get_mut("e0").expect("e0").draining = true;
                pool.configure(now, &endpoints);
            },
            after: ms(0),
            starts: 3,
        },
        Case {
            name: "removed gets nothing",
            event: |pool, now| {
                let lease = starts(pool, now, Reason::Share, 1).remove(0);
                assert_eq!(lease.endpoint, "e0");
                let mut endpoints = endpoints(2, 3);
                endpoints.remove("e0");
                pool.configure(now, &endpoints);
            },
            after: ms(0),
            starts: 3,
        },
        Case {
            name: "a new endpoint starts with one slot",
            event: |pool, now| pool.configure(now, &endpoints(3, 3)),
            after: ms(0),
            starts: 7,
        },
        Case {
            name: "a new endpoint has all slots in the end",
            event: |pool, now| pool.configure(now, &endpoints(3, 3)),
            after: endpoint::WARM_TIME,
            starts: 9,
        },
        Case {
            name: "breaks in a row eject",
            event: |pool, now| {
                (0..endpoint::BREAKS).for_each(|_| pool.record_failure(now, &"e0".into()))
            },
            after: ms(0),
            starts: 3,
        },
        Case {
            name: "an ejected endpoint returns by one probe",
            event: |pool, now| {
                (0..endpoint::BREAKS).for_each(|_| pool.record_failure(now, &"e0".into()))
            },
            after: endpoint::EJECT,
            starts: 4,
        },
        Case {
            name: "idle endpoints start with one slot each",
            event: |_, _| (),
            after: endpoint::IDLE,
            starts: 2,
        },
        Case {
            name: "a new owner uses a part while the former term lasts",
            event: |pool, now| pool.start_takeover(now + ms(3000)),
            after: ms(2999),
            starts: 2,
        },
        Case {
            name: "a new owner uses all after the former term",
            event: |pool, now| pool.start_takeover(now + ms(3000)),
            after: ms(3000),
            starts: 6,
        },
        Case {
            name: "a new owner believes reports of others' requests fully",
            event: |pool, now| {
                pool.start_takeover(now + ms(3000));
                let load = Load {
                    running: 3,
                    slots: 3,
                };
                pool.record_load(now, &"e0".into(), load);
            },
            after: ms(0),
            starts: 1,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut pool = pool(now, 2);
        (case.event)(&mut pool, now);
        let later = now + case.after;
        let started = starts(&mut pool, later, Reason::Share, 20);
        assert_eq!(started.len(), case.starts, "{}", case.name);
    }
}

#[test]
fn frozen_reports_are_ignored() {
    let now = Instant::now();
    let mut pool = pool(now, 1);
    let load = Load {
        running: 3,
        slots: 3,
    };
    for i in 0..20 {
        let now = now + ms(i * 10);
        pool.record_load(now, &"e0".into(), load);
        for lease in starts(&mut pool, now, Reason::Share, 1) {
            pool.record_load(now, &"e0".into(), load);
            pool.release(now, &lease, Outcome::Served(ms(5)));
        }
    }
    assert_eq!(pool.headroom(now + ms(200)).usable, 3);
}

#[test]
fn verdicts_decide_what_starts_next() {
    struct Case {
        name: &'static str,
        verdict: Outcome,
        times: usize,
        allowed: u32,
    }
    let cases = [
        Case {
            name: "good",
            verdict: Outcome::Served(ms(5)),
            times: 9,
            allowed: 3,
        },
        Case {
            name: "shed lowers to what ran",
            verdict: Outcome::Shed,
            times: 1,
            allowed: 1,
        },
        Case {
            name: "leaving",
            verdict: Outcome::Leaving,
            times: 1,
            allowed: 0,
        },
        Case {
            name: "broken once",
            verdict: Outcome::ConnectionFailed,
            times: 1,
            allowed: 3,
        },
        Case {
            name: "broken often",
            verdict: Outcome::ConnectionFailed,
            times: 3,
            allowed: 0,
        },
        Case {
            name: "silent",
            verdict: Outcome::Cancelled,
            times: 5,
            allowed: 0,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut pool = pool(now, 1);
        for _ in 0..case.times {
            let lease = starts(&mut pool, now, Reason::Share, 1).remove(0);
            pool.release(now, &lease, case.verdict);
            now += endpoint::LINGER;
        }
        assert_eq!(pool.headroom(now).usable, case.allowed, "{}", case.name);
    }
}

#[test]
fn moved_requests_meet_reserve_and_cap() {
    struct Case {
        name: &'static str,
        reason: Reason,
        rate: f64,
        starts: usize,
    }
    let cases = [
        Case {
            name: "own requests fill all slots",
            reason: Reason::Share,
            rate: 0.0,
            starts: 15,
        },
        Case {
            name: "spill leaves a reserve",
            reason: Reason::Spill,
            rate: 1000.0,
            starts: 12,
        },
        Case {
            name: "spill over its cap is refused",
            reason: Reason::Spill,
            rate: 3.0,
            starts: 3,
        },
        Case {
            name: "shifted requests over their cap are refused",
            reason: Reason::Shift,
            rate: 5.0,
            starts: 5,
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
        let started = starts(&mut pool, later, case.reason, 20);
        assert_eq!(started.len(), case.starts, "{}", case.name);
    }
}

#[test]
fn refused_callers_come_back_spread_over_the_capacity() {
    let now = Instant::now();
    let mut pool = pool(now, 5);
    pool.service = Some(0.05);
    let mut seconds: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..3000 {
        if let Admission::Refused(_, after) = pool.admit(now, ask(now, Reason::Share)) {
            assert!(after >= MIN_RETRY_AFTER && after <= MAX_RETRY_AFTER);
            *seconds.entry(after.as_secs()).or_default() += 1;
        }
    }
    // 15 slots at 50 ms serve 300 a second, half of which is for those who return
    let worst = seconds.values().max().copied().unwrap_or_default();
    assert!(worst < 300, "{worst} come back in one second: {seconds:?}");
}
