mod returns;
mod schedules;
mod statements;

use std::time::{Duration, Instant};

use super::{HANDOVER_TIME, MAX_RATE, Register, Statement, Verdict};

const RUN: u64 = 7;

fn statement(rate: Option<f64>, heard_at: Instant) -> Statement {
    Statement { rate, heard_at }
}

/// Returns a register that knows one limit, and a time at which its host has been the owner for long
fn register(rate: f64) -> (Register, Instant, Instant) {
    let start = Instant::now();
    let mut register = Register::new();
    register.record(start, RUN, statement(Some(rate), start));
    (register, start, start + Duration::from_secs(60))
}

#[test]
fn grants_keep_the_limit_and_use_it() {
    struct Case {
        rate: f64,
        /// Questions a second
        asked: u32,
        /// Least and largest number of grants in any 4 s
        granted: (usize, usize),
    }
    // At most the users' bound of 1.5 times the limit and 5, at least 0.8 of what callers can use.
    let cases = [
        Case {
            rate: 0.0,
            asked: 50,
            granted: (0, 5),
        },
        Case {
            rate: 0.2,
            asked: 50,
            granted: (0, 6),
        },
        Case {
            rate: 1.0,
            asked: 50,
            granted: (4, 11),
        },
        Case {
            rate: 1.0,
            asked: 3,
            granted: (3, 11),
        },
        Case {
            rate: 10.0,
            asked: 50,
            granted: (32, 65),
        },
        Case {
            rate: 100.0,
            asked: 500,
            granted: (320, 605),
        },
        Case {
            rate: 100.0,
            asked: 20,
            granted: (79, 81),
        },
    ];
    for case in cases {
        let (mut register, start, long_after) = register(case.rate);
        let mut grants = Vec::new();
        let step = Duration::from_secs(1) / case.asked;
        for number in 0..case.asked * 30 {
            let now = long_after + step * number;
            if register.decide(now, RUN, start) == Verdict::Granted {
                grants.push(now);
            }
        }
        let window = Duration::from_secs(4);
        let (least, most) = case.granted;
        for tenth in 10..260 {
            let from = long_after + Duration::from_millis(100) * tenth;
            let in_window = grants
                .iter()
                .filter(|at| (from..from + window).contains(*at));
            let count = in_window.count();
            let name = format!("{} a second, asked {} times", case.rate, case.asked);
            assert!(count >= least, "{name}: {count} grants");
            assert!(count <= most, "{name}: {count} grants");
        }
    }
}

#[test]
fn a_new_owner_waits_and_has_saved_nothing() {
    let (mut register, start, long_after) = register(10.0);
    assert_eq!(register.decide(long_after, RUN, start), Verdict::Granted);
    let since = long_after + Duration::from_secs(30);
    let before = since + HANDOVER_TIME - Duration::from_millis(1);
    assert!(matches!(
        register.decide(before, RUN, since),
        Verdict::Exhausted(_)
    ));
    let ready_at = since + HANDOVER_TIME;
    let verdicts = (0..5).map(|_| register.decide(ready_at, RUN, since));
    assert!(
        verdicts
            .into_iter()
            .all(|verdict| verdict != Verdict::Granted)
    );
    let later = ready_at + Duration::from_millis(101);
    assert_eq!(register.decide(later, RUN, since), Verdict::Granted);
}

#[test]
fn the_later_of_two_statements_counts() {
    struct Case {
        name: &'static str,
        /// Rate and age in milliseconds, in the order in which they are heard
        heard: &'static [(Option<f64>, u64)],
        rate: Option<f64>,
    }
    let cases = [
        Case {
            name: "in order",
            heard: &[(Some(1.0), 300), (Some(2.0), 100)],
            rate: Some(2.0),
        },
        Case {
            name: "out of order",
            heard: &[(Some(2.0), 100), (Some(1.0), 300)],
            rate: Some(2.0),
        },
        Case {
            name: "taken back",
            heard: &[(Some(1.0), 300), (None, 100)],
            rate: None,
        },
        Case {
            name: "an old limit after it was taken back",
            heard: &[(Some(1.0), 300), (None, 100), (Some(1.0), 200)],
            rate: None,
        },
        Case {
            name: "named again",
            heard: &[(Some(1.0), 300), (None, 100), (Some(3.0), 50)],
            rate: Some(3.0),
        },
        Case {
            name: "none was ever named",
            heard: &[(None, 100)],
            rate: None,
        },
        Case {
            name: "more than an endpoint serves",
            heard: &[(Some(1e300), 100)],
            rate: None,
        },
    ];
    for case in cases {
        let now = Instant::now() + Duration::from_secs(60);
        let mut register = Register::new();
        for (rate, age) in case.heard {
            let heard_at = now - Duration::from_millis(*age);
            register.record(now, RUN, statement(*rate, heard_at));
        }
        assert_eq!(register.rate(RUN), case.rate, "{}", case.name);
        let verdict = register.decide(now, RUN, now - Duration::from_secs(30));
        let is_unlimited = verdict == Verdict::Unlimited;
        assert_eq!(is_unlimited, case.rate.is_none(), "{}", case.name);
    }
}

#[test]
fn another_run_of_an_endpoint_has_no_limit() {
    let (mut register, start, now) = register(1.0);
    assert_eq!(register.rate(RUN + 1), None);
    assert_eq!(register.decide(now, RUN + 1, start), Verdict::Unlimited);
}

#[test]
fn permits_are_kept_for_later_requests_until_they_end() {
    let (mut register, _, now) = register(1.0);
    let end = now + Duration::from_millis(300);
    register.withhold(now, RUN, Duration::from_secs(1));
    assert!(register.withheld_for(now, RUN).is_some());
    register.put_spare(RUN, end);
    assert_eq!(register.withheld_for(now, RUN), None);
    assert_eq!(register.take_spare(now, RUN), Some(end));
    assert_eq!(register.take_spare(now, RUN), None);
    register.put_spare(RUN, end);
    assert_eq!(register.take_spare(end, RUN), None);
    assert!(register.withheld_for(end, RUN).is_some());
}

#[test]
fn limits_last_until_the_endpoint_is_gone_for_long() {
    let (mut register, start, _) = register(1.0);
    register.expire(start + Duration::from_secs(600), |_| true);
    register.expire(start + Duration::from_secs(630), |_| false);
    assert_eq!(register.rate(RUN), Some(1.0));
    register.expire(start + Duration::from_secs(661), |_| false);
    assert_eq!(register.rate(RUN), None);
}

#[test]
fn old_news_does_not_bring_back_a_limit_that_was_taken_back() {
    let (mut register, start, _) = register(1.0);
    let taken_back_at = start + Duration::from_secs(10);
    register.record(taken_back_at, RUN, statement(None, taken_back_at));
    let later = taken_back_at + Duration::from_secs(59);
    register.expire(later, |_| true);
    register.record(later, RUN, statement(Some(1.0), start));
    assert_eq!(register.rate(RUN), None);
    register.expire(later + Duration::from_secs(2), |_| true);
    assert!(register.is_empty());
}

#[test]
fn owners_tell_limits_and_for_a_while_that_there_is_none() {
    let (mut register, start, _) = register(1.0);
    let news = |register: &Register, now| register.news(now, |run| run == RUN).len();
    assert_eq!(news(&register, start + Duration::from_secs(100)), 1);
    assert!(register.news(start, |_| false).is_empty());
    register.record(start, RUN, statement(None, start));
    assert_eq!(news(&register, start + Duration::from_secs(1)), 1);
    assert_eq!(news(&register, start + Duration::from_secs(6)), 0);
    assert!(register.rate(RUN).is_none_or(|rate| rate < MAX_RATE));
}
