//! Tests of the routes, alone and as a fleet with ramps and pools.

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
    serde_json::from_value(document).expect("a document")
}

fn shares(parts: &[(&str, f64)]) -> Shares {
    let parts = parts.iter().map(|(zone, part)| ((*zone).into(), *part));
    parts.collect()
}

fn names(choices: &[Candidate]) -> String {
    let name = |choice: &Candidate| format!("{}:{:?}", choice.zone, choice.reason);
    choices.iter().map(name).collect::<Vec<_>>().join(" ")
}

#[test]
fn zones_in_order() {
    struct Case {
        name: &'static str,
        zone: &'static str,
        refused: &'static [(&'static str, Cause)],
        after: u64,
        choices: &'static str,
    }
    let cases = [
        Case {
            name: "share, own region, then as the document orders them",
            zone: "a1",
            refused: &[],
            after: 0,
            choices: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "a zone without headroom keeps its share",
            zone: "a1",
            refused: &[("a1", Cause::NoHeadroom)],
            after: 0,
            choices: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "a zone without headroom gets no spill",
            zone: "a1",
            refused: &[("a2", Cause::NoHeadroom), ("c1", Cause::CapReached)],
            after: 0,
            choices: "a1:Share b1:Spill",
        },
        Case {
            name: "spill returns quickly",
            zone: "a1",
            refused: &[("a2", Cause::NoHeadroom), ("c1", Cause::CapReached)],
            after: 250,
            choices: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "an unreachable zone gets nothing",
            zone: "a1",
            refused: &[("a1", Cause::NoUpstream)],
            after: 0,
            choices: "a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "an unreachable zone is probed",
            zone: "a1",
            refused: &[("a1", Cause::NoUpstream)],
            after: 320,
            choices: "a1:Share a2:Spill c1:Spill b1:Spill",
        },
        Case {
            name: "a zone that drains gets nothing",
            zone: "c2",
            refused: &[],
            after: 0,
            choices: "c1:Spill a1:Spill a2:Spill b1:Spill",
        },
    ];
    let document = document();
    for case in cases {
        let start = Instant::now();
        let mut router = Router::with_seed(case.zone.into(), 1);
        let shares = shares(&[(case.zone, 1.0)]);
        let service = SERVICE.into();
        router.route(start, &document, &service, &shares);
        router.lanes.get_mut(SERVICE).expect("a lane").1.turn = usize::MAX;
        for (zone, cause) in case.refused {
            router.record_refusal(start, &service, &(*zone).into(), *cause);
        }
        let now = start + Duration::from_millis(case.after);
        let choices = router.route(now, &document, &service, &shares);
        let mut sorted = choices.clone();
        sorted.sort_by_key(|choice| choice.reason == Reason::Spill);
        assert_eq!(names(&sorted), case.choices, "{}", case.name);
    }
}

#[test]
fn an_unreachable_zone_gets_one_probe_at_a_time() {
    let document = document();
    let start = Instant::now();
    let mut router = Router::with_seed("a1".into(), 1);
    let service: ServiceId = SERVICE.into();
    let shares = shares(&[("a1", 1.0)]);
    router.route(start, &document, &service, &shares);
    let mut tries = Vec::new();
    for millis in (0..20_000).step_by(10) {
        let now = start + Duration::from_millis(millis);
        let choices = router.route(now, &document, &service, &shares);
        if choices.first().is_some_and(|choice| choice.zone == "a1") {
            tries.push(millis);
            router.record_refusal(now, &service, &"a1".into(), Cause::NoUpstream);
        }
    }
    assert!(tries.len() <= 32, "{tries:?}");
    let longest = tries.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(1300), "{tries:?}");
}

#[test]
fn what_is_explained() {
    let document = document();
    let now = Instant::now();
    let mut router = Router::with_seed("a1".into(), 1);
    let service = SERVICE.into();
    let shares = shares(&[("a1", 0.7), ("a2", 0.2), ("c2", 0.1)]);
    router.route(now, &document, &service, &shares);
    router.record_refusal(now, &service, &"a2".into(), Cause::NoUpstream);
    router.record_refusal(now, &service, &"c1".into(), Cause::NoHeadroom);
    let explained = router.explain(now, &document, &service, &shares);
    let explained: Vec<(&str, f64, Eligibility)> = explained
        .iter()
        .map(|e| (e.zone.as_str(), e.share, e.eligibility))
        .collect();
    let expected = [
        ("a1", 0.7, Eligibility::Share),
        ("a2", 0.2, Eligibility::Unreachable),
        ("c1", 0.0, Eligibility::NoHeadroom),
        ("b1", 0.0, Eligibility::Spill),
        ("c2", 0.1, Eligibility::NoEndpoint),
    ];
    assert_eq!(explained, expected);
}

#[test]
fn spill_keeps_to_its_budget() {
    let document = document();
    let start = Instant::now();
    let mut router = Router::with_seed("a1".into(), 1);
    let service: ServiceId = SERVICE.into();
    let shares = shares(&[("a1", 1.0)]);
    let mut spilled = 0;
    for request in 0..10_000u32 {
        let now = start + Duration::from_millis(request.into());
        let choices = router.route(now, &document, &service, &shares);
        router.record_refusal(now, &service, &"a1".into(), Cause::NoUpstream);
        if choices.first().is_some_and(|c| c.reason == Reason::Spill)
            && router.take_spill_token(&service)
        {
            spilled += 1;
        }
        let limit = f64::from(request + 1) * 0.5 + 2.0;
        assert!(f64::from(spilled) <= limit, "{spilled} of {request}");
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
    fn counts_follow_the_shares(parts in prop::collection::vec(0.01..1.0f64, 2..6), from in 0..500usize) {
        let document = document();
        let now = Instant::now();
        let zones = ["a1", "a2", "b1", "c1", "c2", "b2"];
        let sum: f64 = parts.iter().sum();
        let shares: Shares = zones
            .iter()
            .zip(&parts)
            .map(|(zone, part)| ((*zone).into(), part / sum))
            .collect();
        let mut router = Router::with_seed("a1".into(), 3);
        let service: ServiceId = SERVICE.into();
        router.route(now, &document, &service, &shares);
        let lane = &mut router.lanes.get_mut(SERVICE).expect("a lane").1;
        (0..from).for_each(|_| drop(lane.pick()));
        let mut counts: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for request in 1..2000u32 {
            let (zone, _) = lane.pick().expect("a zone");
            *counts.entry(zone).or_default() += 1.0;
            for (zone, share) in &shares {
                let count = counts.get(zone).copied().unwrap_or(0.0);
                let due = share * f64::from(request);
                prop_assert!((count - due).abs() <= 2.0, "{zone}: {count} for {due}");
            }
        }
    }
}

/// Hosts of one entry zone with ramps and routers of their own, before one owner at each zone
struct Fleet {
    hosts: Vec<(Ramp, Router)>,
    pools: BTreeMap<ZoneId, Pool>,
    cap: Cap,
}

#[derive(Default)]
struct Count {
    shifted: VecDeque<Instant>,
    worst: usize,
}

const HOSTS: usize = 216;

impl Fleet {
    fn new(cap: &Cap, capped: bool) -> Self {
        let now = Instant::now();
        let router = |seed| Router::with_seed("a1".into(), seed);
        let ramp = || Ramp::with_shares(shares(&[("a1", 1.0)]));
        let mut fleet = Self {
            hosts: (0..HOSTS)
                .map(|seed| (ramp(), router(seed as u64)))
                .collect(),
            pools: BTreeMap::new(),
            cap: cap.clone(),
        };
        for zone in ["a1", "b1"] {
            fleet.replace_owner(now, zone, capped);
        }
        fleet
    }

    fn replace_owner(&mut self, now: Instant, zone: &str, capped: bool) {
        let endpoints = document().services[SERVICE].endpoints.clone();
        let mut pool = Pool::with_seed(1);
        pool.configure(now, &endpoints);
        if capped {
            pool.set_caps(now, &self.cap, &self.cap);
        }
        self.pools.insert(zone.into(), pool);
    }

    /// Shift everything from `a1` to `b1`; most shifted requests that `b1` took in a window
    fn run(&mut self, capped: bool) -> (usize, f64) {
        let document = document();
        let start = Instant::now();
        let service: ServiceId = SERVICE.into();
        let target = shares(&[("b1", 1.0)]);
        let mut count = Count::default();
        let mut past: VecDeque<(u32, u32)> = VecDeque::new();
        let mut steepest = 0.0_f64;
        for step in 0..600u32 {
            let now = start + Duration::from_millis(100) * step;
            // a peak of five times the rate within a second, and a new owner in its midst
            let requests = if step < 200 { 1 } else { 5 };
            if step == 300 {
                self.replace_owner(now, "b1", capped);
            }
            past.push_back((0, 0));
            for (index, (ramp, router)) in self.hosts.iter_mut().enumerate() {
                if !(step as usize + index).is_multiple_of(5) {
                    continue;
                }
                let shares = ramp.advance(now, UNIX_EPOCH, &target, None, &self.cap);
                for _ in 0..requests {
                    let choices = router.route(now, &document, &service, &shares);
                    let taken = choices.into_iter().find(|choice| {
                        let pool = self.pools.get_mut(&choice.zone);
                        let taken = pool.is_some_and(|pool| take(pool, now, choice.reason));
                        if !taken {
                            let cause = Cause::CapReached;
                            router.record_refusal(now, &service, &choice.zone, cause);
                        }
                        taken
                    });
                    let taken = taken.expect("a zone takes it");
                    let newest = past.back_mut().expect("this step");
                    newest.0 += 1;
                    newest.1 += u32::from(taken.zone == "b1");
                    if taken.zone == "b1" && taken.reason == Reason::Shift {
                        count.shifted.push_back(now);
                    }
                }
            }
            while count
                .shifted
                .front()
                .is_some_and(|at| *at + self.cap.window <= now)
            {
                count.shifted.pop_front();
            }
            count.worst = count.worst.max(count.shifted.len());
            steepest = steepest.max(steep(&mut past));
        }
        (count.worst, steepest)
    }
}

/// How much the part that went to `b1` rose from one window of 100 steps to the next
fn steep(past: &mut VecDeque<(u32, u32)>) -> f64 {
    if past.len() < 200 {
        return 0.0;
    }
    let part = |from: usize| {
        let window = past.range(from..from + 100);
        let (all, moved) = window.fold((0, 0), |sum, step| (sum.0 + step.0, sum.1 + step.1));
        f64::from(moved) / f64::from(all)
    };
    let rise = part(100) - part(0);
    past.pop_front();
    rise
}

fn take(pool: &mut Pool, now: Instant, reason: Reason) -> bool {
    let ask = Request {
        deadline: now + Duration::from_secs(1),
        reason,
        excluded: Vec::new(),
    };
    let Admission::Granted(lease) = pool.admit(now, ask) else {
        return false;
    };
    pool.release(now, &lease, Outcome::Served(Duration::from_millis(1)));
    true
}

#[test]
fn shifts_keep_to_the_cap_in_share_and_rate() {
    struct Case {
        name: &'static str,
        capped: bool,
    }
    let cap = Cap {
        share: 0.2,
        rate: 60.0,
        window: Duration::from_secs(10),
    };
    let cases = [
        Case {
            name: "a cap in share alone",
            capped: false,
        },
        Case {
            name: "caps in share and rate",
            capped: true,
        },
    ];
    for Case { name, capped } in cases {
        let (worst, steepest) = Fleet::new(&cap, capped).run(capped);
        println!("{name}: {worst} shifted in a window of 600, share rose by {steepest:.3}");
        assert!(steepest <= cap.share, "{name}: {steepest}");
        assert_eq!(worst <= 600, capped, "{name}: {worst}");
        assert!(worst > 300, "{name}: {worst}");
    }
}
