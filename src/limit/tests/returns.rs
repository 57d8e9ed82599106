//! Times that refused callers are told: whether a permit is left for each when it returns.

use std::time::{Duration, Instant};

use super::{RUN, register};
use crate::limit::{Register, Verdict};

/// Returns the time that a refused caller is told at a host; the first number is the hosts' and the second
/// drawn from 0 to 1
type Told = fn(&mut Register, Instant, f64, f64) -> Option<Duration>;

/// As before places were told: the time of the next permit
const NEXT_PERMIT: Told = |host, now, _, _| host.withheld_for(now, RUN);

const PLACE: Told = |host, now, hosts, phase| host.take_return(now, RUN, hosts, phase);

struct Case {
    name: &'static str,
    rate: f64,
    /// Hosts that ask one owner, and callers that are refused at each of them
    hosts: usize,
    refused: usize,
}

/// Asks the owner for a permit; returns whether the host got one
fn ask(host: &mut Register, owner: &mut Register, now: Instant, owner_since: Instant) -> bool {
    if host.withheld_for(now, RUN).is_some() {
        return false;
    }
    match owner.decide(now, RUN, owner_since) {
        Verdict::Granted => true,
        Verdict::Exhausted(wait) => {
            host.withhold(now, RUN, wait);
            false
        }
        _ => panic!("the owner decides"),
    }
}

/// Returns the number of callers that were refused and returned as told, and of those refused again
fn play(case: &Case, told: Told) -> (usize, usize) {
    let (mut owner, since, start) = register(case.rate);
    let mut hosts: Vec<Register> = (0..case.hosts).map(|_| register(case.rate).0).collect();
    // What the owner has saved is used up.
    while owner.decide(start, RUN, since) == Verdict::Granted {}
    let mut returns: Vec<(Instant, usize)> = Vec::new();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut refuse = |host: &mut Register, now| {
        let told = told(host, now, case.hosts as f64, rng.f64());
        told.expect("the host is without a permit")
    };
    for (index, host) in hosts.iter_mut().enumerate() {
        for _ in 0..case.refused {
            assert!(!ask(host, &mut owner, start, since), "{}", case.name);
            returns.push((start + refuse(host, start), index));
        }
    }
    let refused = returns.len();
    let mut again = 0;
    // A caller comes a little later than it was told.
    returns.sort();
    for (at, index) in returns {
        let now = at + Duration::from_millis(2);
        again += usize::from(!ask(&mut hosts[index], &mut owner, now, since));
    }
    (refused, again)
}

// The time of the next permit is true for one of the callers that are told it.
#[test]
fn refused_callers_are_told_a_time_at_which_others_took_the_permit() {
    let cases = [
        Case {
            name: "one host, 10 a second",
            rate: 10.0,
            hosts: 1,
            refused: 20,
        },
        Case {
            name: "one host, 0.5 a second",
            rate: 0.5,
            hosts: 1,
            refused: 8,
        },
        Case {
            name: "three hosts, 10 a second",
            rate: 10.0,
            hosts: 3,
            refused: 10,
        },
        Case {
            name: "65 hosts, 100 a second",
            rate: 100.0,
            hosts: 65,
            refused: 4,
        },
    ];
    let mut broken = Vec::new();
    for case in cases {
        let (_, before) = play(&case, NEXT_PERMIT);
        let (refused, again) = play(&case, PLACE);
        println!(
            "{}: {refused} refused, {again} of them again; {before} if told the next permit",
            case.name
        );
        // One host knows all that were told a time; several draw their first places.
        let allowed = if case.hosts == 1 { 0 } else { refused / 5 };
        if again > allowed {
            broken.push(format!("{}: {again} of {refused} again", case.name));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
