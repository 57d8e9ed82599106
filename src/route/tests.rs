//! Tests of the router, on its own and in a simulated fleet with ramps and pools.

use std::collections::VecDeque;
use std::time::UNIX_EPOCH;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

use super::*;
use crate::config::Cap;
use crate::shift::Ramp;
use crate::slot::{Admission, Outcome, Pool, Request};

const SERVICE: &str = "turni";

fn document() -> Document {
    let zone = |region: &str| json!({ "region": region });
    let endpoint = |zone: &str, port: u16, draining: bool| {
        let address = format!("127.0.0.1:{port}");
        json!({ "zone": zone, "address": address, "slots": 3, "draining": draining })
    };
    let document = json!({
        "zones": {
            "a1": zone("a"), "a2": zone("a"), "b1": zone("b"), "b2": zone("b"), "c1": zone("c"),
            "c2": zone("c"),
        },
        "nearest": { "a": ["c", "b"] },
        "services": { SERVICE: {
            "endpoints": {
                "e1": endpoint("a1", 1, false), "e2": endpoint("a2", 2, false),
                "e3": endpoint("b1", 3, false), "e4": endpoint("c1", 4, false),
                "e5": endpoint("c2", 5, true),
            },
            "spill": { "share": 0.5, "rate": 100.0, "window": "10s" },
        } },
    });
    serde_json::from_value(document).expect("a valid document")
}

fn shares(shares: &[(&str, f64)]) -> Shares {
    let shares = shares.iter().map(|(zone, share)| ((*zone).into(), *share));
    shares.collect()
}

fn format_candidates(candidates: &[Candidate]) -> String {
    let format = |candidate: &Candidate| format!("{}:{:?}", candidate.zone, candidate.reason);
    candidates.iter().map(format).collect::<Vec<_>>().join(" ")
}

#[test]
fn candidates_are_ordered_by_share_then_proximity() {
    struct Case {
        name: &'static str,
        zone: &'static str,
        refusals: &'static [(&'static str, Cause)],
        elapsed_millis: u64,
        candidates: &'static str,
    }
    let cases = [
        Case {
            name: "share first, then own region, then regions in the order of the document",
            zone: "a1",
            refusals: &[],
            elapsed_millis: 0,
            candidates: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "a zone without headroom still receives its share",
            zone: "a1",
            refusals: &[("a1", Cause::NoHeadroom)],
            elapsed_millis: 0,
            candidates: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "a zone without headroom or at its cap receives no spill",
            zone: "a1",
            refusals: &[("a2", Cause::NoHeadroom), ("c1", Cause::CapReached)],
            elapsed_millis: 0,
            candidates: "a1:Share b1:Spill",
        },
        Case {
            name: "spill resumes after a short backoff",
            zone: "a1",
            refusals: &[("a2", Cause::NoHeadroom), ("c1", Cause::CapReached)],
            elapsed_millis: 250,
            candidates: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "an unreachable zone receives no requests",
            zone: "a1",
            refusals: &[("a1", Cause::NoUpstream)],
            elapsed_millis: 0,
            candidates: "a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "an unreachable zone is probed after its backoff",
            zone: "a1",
            refusals: &[("a1", Cause::NoUpstream)],
            elapsed_millis: 320,
            candidates: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "a draining zone receives no requests",
            zone: "c2",
            refusals: &[],
            elapsed_millis: 0,
            candidates: "c1:Spill a1:Spill a2:Spill b1:Spill",
        },
    ];
    let document = document();
    for case in cases {
        let start = Instant::now();
        let mut router = Router::with_seed(case.zone.into(), 1);
        let shares = shares(&[(case.zone, 1.0)]);
        let service = SERVICE.into();
        router.route(start, &document, &service, &shares);
        router
            .services
            .get_mut(SERVICE)
            .expect("service state")
            .1
            .rotation = usize::MAX;
        for (zone, cause) in case.refusals {
            router.record_refusal(start, &service, &(*zone).into(), *cause);
        }
        let now = start + Duration::from_millis(case.elapsed_millis);
        let candidates = router.route(now, &document, &service, &shares);
        let mut sorted = candidates.clone();
        sorted.sort_by_key(|candidate| candidate.reason == Reason::Spill);
        assert_eq!(format_candidates(&sorted), case.candidates, "{}", case.name);
    }
}

#[test]
fn an_unreachable_zone_receives_one_probe_at_a_time() {
    let document = document();
    let start = Instant::now();
    let mut router = Router::with_seed("a1".into(), 1);
    let service: ServiceId = SERVICE.into();
    let shares = shares(&[("a1", 1.0)]);
    router.route(start, &document, &service, &shares);
    let mut probe_times = Vec::new();
    for millis in (0..20_000).step_by(10) {
        let now = start + Duration::from_millis(millis);
        let candidates = router.route(now, &document, &service, &shares);
        if candidates
            .first()
            .is_some_and(|candidate| candidate.zone == "a1")
        {
            probe_times.push(millis);
            router.record_refusal(now, &service, &"a1".into(), Cause::NoUpstream);
        }
    }
    assert!(probe_times.len() <= 32, "{probe_times:?}");
    let longest_gap = probe_times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest_gap <= Some(1300), "{probe_times:?}");
}

#[test]
fn explain_reports_the_eligibility_of_each_zone() {
    let document = document();
    let now = Instant::now();
    let mut router = Router::with_seed("a1".into(), 1);
    let service = SERVICE.into();
    let shares = shares(&[("a1", 0.7), ("a2", 0.2), ("c2", 0.1)]);
    router.route(now, &document, &service, &shares);
    router.record_refusal(now, &service, &"a2".into(), Cause::NoUpstream);
    router.record_refusal(now, &service, &"c1".into(), Cause::NoHeadroom);
    let explanations = router.explain(now, &document, &service, &shares);
    let actual: Vec<(&str, f64, Eligibility)> = explanations
        .iter()
        .map(|explanation| {
            (
                explanation.zone.as_str(),
                explanation.share,
                explanation.eligibility,
            )
        })
        .collect();
    let expected = [
        ("a1", 0.7, Eligibility::Share),
        ("a2", 0.2, Eligibility::Unreachable),
        ("c1", 0.0, Eligibility::NoHeadroom),
        ("b1", 0.0, Eligibility::Spill),
        ("c2", 0.1, Eligibility::NoEndpoint),
    ];
    assert_eq!(actual, expected);
}

#[test]
fn spill_stays_within_its_budget() {
    let document = document();
    let start = Instant::now();
    let mut router = Router::with_seed("a1".into(), 1);
    let service: ServiceId = SERVICE.into();
    let shares = shares(&[("a1", 1.0)]);
    let mut spilled = 0;
    for request in 0..10_000u32 {
        let now = start + Duration::from_millis(request.into());
        let candidates = router.route(now, &document, &service, &shares);
        router.record_refusal(now, &service, &"a1".into(), Cause::NoUpstream);
        if candidates
            .first()
            .is_some_and(|candidate| candidate.reason == Reason::Spill)
            && router.take_spill_token(&service)
        {
            spilled += 1;
        }
        let limit = f64::from(request + 1) * 0.5 + 2.0;
        assert!(
            f64::from(spilled) <= limit,
            "{spilled} spilled by request {request}"
        );
    }
    assert!(spilled > 4400, "{spilled}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn zone_counts_follow_the_shares(weights in prop::collection::vec(0.01..1.0f64, 2..6), skipped in 0..500usize) {
        let document = document();
        let now = Instant::now();
        let zones = ["a1", "a2", "b1", "c1", "c2", "b2"];
        let sum: f64 = weights.iter().sum();
        let shares: Shares = zones
            .iter()
            .zip(&weights)
            .map(|(zone, weight)| ((*zone).into(), weight / sum))
            .collect();
        let mut router = Router::with_seed("a1".into(), 3);
        let service: ServiceId = SERVICE.into();
        router.route(now, &document, &service, &shares);
        let state = &mut router.services.get_mut(SERVICE).expect("service state").1;
        (0..skipped).for_each(|_| drop(state.next_zone()));
        let mut counts: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for request in 1..2000u32 {
            let (zone, _) = state.next_zone().expect("a zone with a share");
            *counts.entry(zone).or_default() += 1.0;
            for (zone, share) in &shares {
                let count = counts.get(zone).copied().unwrap_or(0.0);
                let expected = share * f64::from(request);
                prop_assert!((count - expected).abs() <= 2.0, "{zone}: {count} requests, expected {expected}");
            }
        }
    }
}

/// Simulated hosts of one entry zone, each with its own ramp and router, and one pool per upstream
/// zone
struct Fleet {
    hosts: Vec<(Ramp, Router)>,
    pools: BTreeMap<ZoneId, Pool>,
    cap: Cap,
}

#[derive(Default)]
struct ShiftedRequests {
    times: VecDeque<Instant>,
    max_in_window: usize,
}

const HOST_COUNT: usize = 216;

impl Fleet {
    fn new(cap: &Cap, has_rate_cap: bool) -> Self {
        let now = Instant::now();
        let router = |seed| Router::with_seed("a1".into(), seed);
        let ramp = || Ramp::with_shares(shares(&[("a1", 1.0)]));
        let mut fleet = Self {
            hosts: (0..HOST_COUNT)
                .map(|seed| (ramp(), router(seed as u64)))
                .collect(),
            pools: BTreeMap::new(),
            cap: cap.clone(),
        };
        for zone in ["a1", "b1"] {
            fleet.replace_owner(now, zone, has_rate_cap);
        }
        fleet
    }

    fn replace_owner(&mut self, now: Instant, zone: &str, has_rate_cap: bool) {
        let endpoints = document().services[SERVICE].endpoints.clone();
        let mut pool = Pool::with_seed(1);
        pool.configure(now, &endpoints);
        if has_rate_cap {
            pool.set_caps(now, &self.cap, &self.cap);
        }
        self.pools.insert(zone.into(), pool);
    }

    /// Shifts all traffic from `a1` to `b1`
    ///
    /// Returns the most shifted requests that `b1` accepted in a window, and the largest rise of its
    /// share from one window to the next.
    fn run(&mut self, has_rate_cap: bool) -> (usize, f64) {
        let document = document();
        let start = Instant::now();
        let service: ServiceId = SERVICE.into();
        let target = shares(&[("b1", 1.0)]);
        let mut shifted = ShiftedRequests::default();
        let mut steps: VecDeque<(u32, u32)> = VecDeque::new();
        let mut max_rise = 0.0_f64;
        for step in 0..600u32 {
            let now = start + Duration::from_millis(100) * step;
            // The request rate rises fivefold within a second; 10 s later the owner is replaced.
            let requests = if step < 200 { 1 } else { 5 };
            if step == 300 {
                self.replace_owner(now, "b1", has_rate_cap);
            }
            steps.push_back((0, 0));
            for (index, (ramp, router)) in self.hosts.iter_mut().enumerate() {
                if !(step as usize + index).is_multiple_of(5) {
                    continue;
                }
                let shares = ramp.advance(now, UNIX_EPOCH, &target, None, &self.cap);
                for _ in 0..requests {
                    let candidates = router.route(now, &document, &service, &shares);
                    let accepted = candidates.into_iter().find(|candidate| {
                        let pool = self.pools.get_mut(&candidate.zone);
                        let accepted =
                            pool.is_some_and(|pool| try_serve(pool, now, candidate.reason));
                        if !accepted {
                            let cause = Cause::CapReached;
                            router.record_refusal(now, &service, &candidate.zone, cause);
                        }
                        accepted
                    });
                    let accepted = accepted.expect("a zone accepts the request");
                    let current = steps.back_mut().expect("an entry of this step");
                    current.0 += 1;
                    current.1 += u32::from(accepted.zone == "b1");
                    if accepted.zone == "b1" && accepted.reason == Reason::Shift {
                        shifted.times.push_back(now);
                    }
                }
            }
            while shifted
                .times
                .front()
                .is_some_and(|time| *time + self.cap.window <= now)
            {
                shifted.times.pop_front();
            }
            shifted.max_in_window = shifted.max_in_window.max(shifted.times.len());
            max_rise = max_rise.max(share_rise(&mut steps));
        }
        (shifted.max_in_window, max_rise)
    }
}

/// Returns how much the fraction sent to `b1` rose from one window of 100 steps to the next
fn share_rise(steps: &mut VecDeque<(u32, u32)>) -> f64 {
    if steps.len() < 200 {
        return 0.0;
    }
    let fraction = |from: usize| {
        let window = steps.range(from..from + 100);
        let (total, moved) = window.fold((0, 0), |sum, step| (sum.0 + step.0, sum.1 + step.1));
        f64::from(moved) / f64::from(total)
    };
    let rise = fraction(100) - fraction(0);
    steps.pop_front();
    rise
}

fn try_serve(pool: &mut Pool, now: Instant, reason: Reason) -> bool {
    let request = Request {
        deadline: now + Duration::from_secs(1),
        reason,
        excluded: Vec::new(),
    };
    let Admission::Granted(lease) = pool.admit(now, request) else {
        return false;
    };
    pool.release(now, &lease, Outcome::Served(Duration::from_millis(1)));
    true
}

#[test]
fn shifts_stay_within_the_caps_on_share_and_rate() {
    struct Case {
        name: &'static str,
        has_rate_cap: bool,
    }
    let cap = Cap {
        share: 0.2,
        rate: 60.0,
        window: Duration::from_secs(10),
    };
    let cases = [
        Case {
            name: "share cap only",
            has_rate_cap: false,
        },
        Case {
            name: "share cap and rate cap",
            has_rate_cap: true,
        },
    ];
    for Case { name, has_rate_cap } in cases {
        let (max_in_window, max_rise) = Fleet::new(&cap, has_rate_cap).run(has_rate_cap);
        println!("{name}: {max_in_window} shifted in a window of 600, share rose by {max_rise:.3}");
        assert!(max_rise <= cap.share, "{name}: {max_rise}");
        assert_eq!(
            max_in_window <= 600,
            has_rate_cap,
            "{name}: {max_in_window}"
        );
        assert!(max_in_window > 300, "{name}: {max_in_window}");
    }
}
