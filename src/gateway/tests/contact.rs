//! When a host checks that the store serves it, and what it takes for an answer.

use std::time::{Duration, Instant};

use crate::gateway::contact::{Contact, Need, first_check_spread};

const HOSTS: usize = 60;

/// Time in which a change must be in force at a host that can read the store
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Longest time that a check takes to fail
const CHECK_TIME: Duration = Duration::from_millis(800);

/// Simulates checks for `time`; returns their number and the time of the first one
fn simulate(mut contact: Contact, need: Need, start: Instant, time: Duration) -> (usize, Duration) {
    let mut rng = fastrand::Rng::with_seed(7);
    let spread = first_check_spread(HOSTS, APPLY_TIME);
    let mut now = start;
    let mut checks = 0;
    let mut first = time;
    while let Some(due) = contact.next_check(now, need, spread, rng.f64())
        && due < start + time
    {
        now = now.max(due);
        if checks == 0 {
            first = now - start;
        }
        checks += 1;
        now += CHECK_TIME;
        contact.record_failed_check(now);
    }
    (checks, first)
}

#[test]
fn a_store_that_answers_nothing_is_checked_soon_and_then_rarely() {
    struct Case {
        name: &'static str,
        need: fn(Instant) -> Need,
        max_first: Duration,
        max_checks: usize,
    }
    let cases = [
        Case {
            name: "a reader finds out in time for its followers",
            need: |_| Need::Reading,
            max_first: APPLY_TIME - CHECK_TIME - Duration::from_millis(800),
            max_checks: 16,
        },
        Case {
            name: "a reader that reads another host",
            need: |_| Need::Standby,
            max_first: APPLY_TIME,
            max_checks: 16,
        },
        Case {
            name: "a host without a source, in a large region",
            need: Need::NoSource,
            max_first: APPLY_TIME,
            max_checks: 10,
        },
        Case {
            name: "a host that is served",
            need: |_| Need::None,
            max_first: Duration::from_secs(20),
            max_checks: 0,
        },
    ];
    let start = Instant::now();
    for case in cases {
        let mut contact = Contact::default();
        contact.record_answer(start);
        let need = (case.need)(start);
        let (checks, first) = simulate(contact, need, start, Duration::from_secs(20));
        assert!(first <= case.max_first, "{}: {first:?}", case.name);
        assert!(checks <= case.max_checks, "{}: {checks}", case.name);
    }
}

/// Load pattern: the store refuses all hosts of a region, and all find it out at the same time
#[test]
fn hosts_without_a_source_do_not_check_at_once() {
    let now = Instant::now();
    let spread = first_check_spread(HOSTS, APPLY_TIME);
    let mut rng = fastrand::Rng::with_seed(9);
    let mut per_100_ms = [0; 20];
    for _ in 0..HOSTS {
        let due = Contact::default().next_check(now, Need::NoSource(now), spread, rng.f64());
        let delay = due.expect("it checks") - now;
        per_100_ms[delay.as_millis() as usize / 100] += 1;
    }
    let most = per_100_ms.into_iter().max().unwrap_or_default();
    assert!(most <= HOSTS / 4, "{per_100_ms:?}");
}

/// Load pattern: of a large region only the host that checks last can read the store
#[test]
fn host_without_a_source_finds_its_store_later_in_a_larger_region() {
    let now = Instant::now();
    for apply_time in [2, 3, 5].map(Duration::from_secs) {
        for hosts in [4, 22, 65, 100, 200, 400] {
            let spread = first_check_spread(hosts, apply_time);
            let due = Contact::default().next_check(now, Need::NoSource(now), spread, 1.0);
            let delay = due.expect("it checks") - now;
            assert!(delay <= apply_time / 2, "{hosts} hosts: {delay:?}");
        }
    }
}

#[test]
fn the_store_serves_a_host_while_its_answers_are_recent() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut contact = Contact::default();
    assert!(!contact.is_served(start), "nothing is known");
    contact.record_answer(start);
    assert!(contact.is_served(after(1000)));
    assert!(!contact.is_served(after(2000)), "the answer is old");
    assert!(contact.record_failed_check(after(300)));
    assert!(!contact.is_served(after(400)) && contact.is_lost());
    assert!(
        !contact.record_failed_check(after(600)),
        "it was lost before"
    );
    contact.record_answer(after(700));
    assert!(contact.is_served(after(800)) && !contact.is_lost());
    contact.record_suspicion();
    let due = contact.next_check(after(800), Need::None, Duration::ZERO, 0.5);
    assert_eq!(due, Some(after(800)), "a failed call is checked at once");
}
