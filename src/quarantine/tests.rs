//! Tests which requests are refused after upstream crashes, and how many crashes that takes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::*;

const ENDPOINTS: usize = 10;
const SLOTS: usize = 3;
const CRASHING_KEY: Key = 0;

#[test]
fn crashes_of_two_endpoints_refuse_a_request_temporarily() {
    struct Case {
        name: &'static str,
        crashed: &'static [&'static str],
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "no crash",
            crashed: &[],
            is_refused: false,
        },
        Case {
            name: "one crash",
            crashed: &["e1"],
            is_refused: false,
        },
        Case {
            name: "two crashes of the same endpoint",
            crashed: &["e1", "e1"],
            is_refused: false,
        },
        Case {
            name: "crashes of two endpoints",
            crashed: &["e1", "e2"],
            is_refused: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut tracker = Tracker::new();
        for endpoint in case.crashed {
            tracker.record_crash(now, 1, &(*endpoint).into());
        }
        assert_eq!(
            tracker.retry_after(now, 1).is_some(),
            case.is_refused,
            "{}",
            case.name
        );
        assert_eq!(
            tracker.retry_after(now + REFUSAL_TTL, 1),
            None,
            "{}",
            case.name
        );
    }
}

/// Two hosts that exchange their refused keys must not renew each other's refusals indefinitely
#[test]
fn refusals_from_peers_are_not_renewed_indefinitely() {
    let now = Instant::now();
    let (mut peer, mut origin) = (Tracker::new(), Tracker::new());
    origin.record_crash(now, 7, &"e1".into());
    origin.record_crash(now, 7, &"e2".into());
    let half = Duration::from_millis(500);
    for seconds in 0..REFUSAL_TTL.as_secs() * 3 {
        let later = now + Duration::from_secs(seconds);
        peer.expire(later);
        peer.merge_refusals(later, &origin.own_refusals());
        assert!(seconds > 10 || peer.retry_after(later, 7).is_some());
        origin.expire(later + half);
        origin.merge_refusals(later + half, &peer.own_refusals());
    }
    let end = now + REFUSAL_TTL * 3;
    assert_eq!(
        (peer.retry_after(end, 7), origin.retry_after(end, 7)),
        (None, None)
    );
}

/// Guards against two hosts that extend each other's refusal of a request that is retried all the
/// time: one adopts the refusal of the slot owner, and both exchange their refused keys
#[test]
fn a_continuously_retried_request_is_accepted_after_the_refusal_ends() {
    let now = Instant::now();
    let (mut owner, mut other) = (Tracker::new(), Tracker::new());
    owner.record_crash(now, 7, &"e1".into());
    owner.record_crash(now, 7, &"e2".into());
    let step = Duration::from_millis(100);
    let accepted = (1..REFUSAL_TTL.as_millis() / 100 * 3).find(|index| {
        let later = now + step * u32::try_from(*index).expect("fits");
        if *index > 1 {
            owner.merge_refusals(later, &other.own_refusals());
            other.merge_refusals(later, &owner.own_refusals());
        }
        owner.expire(later);
        other.expire(later);
        if other.retry_after(later, 7).is_some() {
            return false;
        }
        let retry_after = owner.retry_after(later, 7);
        retry_after.inspect(|duration| other.adopt_refusal(later, 7, *duration));
        retry_after.is_none()
    });
    let accepted = accepted.expect("is accepted again") * 100;
    assert!(
        accepted <= (REFUSAL_TTL * 2).as_millis(),
        "accepted after {accepted} ms"
    );
}

#[test]
fn suspects_and_refusals_are_bounded() {
    let now = Instant::now();
    let mut tracker = Tracker::new();
    for key in 0..3 * MAX_KEYS as u64 {
        tracker.record_crash(now, key, &"e1".into());
    }
    assert!(tracker.suspects.len() <= MAX_KEYS);
    tracker.merge_refusals(now, &(0..3 * MAX_KEYS as u64).collect::<Vec<_>>());
    assert!(tracker.refused.len() <= MAX_KEYS);
}

/// Result of a simulation
struct Cost {
    crashes: usize,
    wrongly_refused: usize,
}

/// Simulates one request that crashes upstreams among many that do not, all retried until answered
fn simulate(seed: u64, isolate: bool) -> Cost {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut tracker = Tracker::new();
    let now = Instant::now();
    let mut in_flight: BTreeMap<usize, Vec<Key>> =
        (0..ENDPOINTS).map(|n| (n, Vec::new())).collect();
    let mut pending_retries: Vec<Key> = vec![CRASHING_KEY];
    let mut next_key = 1;
    let mut crashes = 0;
    for _ in 0..400 {
        let key = pending_retries.pop().unwrap_or_else(|| {
            next_key += 1;
            next_key
        });
        if tracker.retry_after(now, key).is_some() {
            continue;
        }
        let excluded = if isolate {
            tracker.excluded_endpoints(key)
        } else {
            Vec::new()
        };
        let free = in_flight.iter().filter(|(name, keys)| {
            keys.len() < SLOTS && !excluded.contains(&name.to_string().into())
        });
        let free: Vec<usize> = free.map(|(name, _)| *name).collect();
        if free.is_empty() {
            pending_retries.push(key);
        } else {
            let endpoint = free[random.usize(..free.len())];
            tracker.record_start(key, &endpoint.to_string().into());
            in_flight.get_mut(&endpoint).unwrap().push(key);
        }
        let endpoint = random.usize(..ENDPOINTS);
        let keys = in_flight.get_mut(&endpoint).unwrap();
        if keys.contains(&CRASHING_KEY) {
            crashes += 1;
            for key in keys.drain(..) {
                tracker.record_end(key, &endpoint.to_string().into());
                tracker.record_crash(now, key, &endpoint.to_string().into());
                pending_retries.push(key);
            }
        } else if !keys.is_empty() {
            let key = keys.swap_remove(random.usize(..keys.len()));
            tracker.record_end(key, &endpoint.to_string().into());
            tracker.record_success(key);
        }
    }
    let refused: BTreeSet<Key> = tracker.own_refusals().into_iter().collect();
    Cost {
        crashes,
        wrongly_refused: refused.iter().filter(|key| **key != CRASHING_KEY).count(),
    }
}

#[test]
fn a_crashing_request_is_refused_after_two_crashes_without_refusing_others() {
    let mut without_isolation = 0;
    for seed in 0..2000 {
        let cost = simulate(seed, true);
        assert!(
            cost.crashes <= CRASH_THRESHOLD,
            "seed {seed}: {} upstream crashes",
            cost.crashes
        );
        assert_eq!(cost.wrongly_refused, 0, "seed {seed}");
        without_isolation += simulate(seed, false).wrongly_refused;
    }
    assert!(
        without_isolation > 0,
        "no other request is refused without isolation, so the simulation proves nothing"
    );
}
