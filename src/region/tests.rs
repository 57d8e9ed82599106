//! Targets, slow movement, and counts that follow the shares.

use super::*;

fn rooms(list: &[(&str, f64, f64)]) -> BTreeMap<RegionId, Load> {
    let rooms = list.iter().map(|(region, slots, demand)| {
        let room = Load {
            slots: *slots,
            demand: *demand,
        };
        (RegionId::from(*region), room)
    });
    rooms.collect()
}

fn share(shares: &Shares, region: &str) -> f64 {
    shares.get(region).copied().unwrap_or(0.0)
}

#[test]
fn what_does_not_fit_at_home_goes_where_room_is() {
    struct Case {
        name: &'static str,
        rooms: &'static [(&'static str, f64, f64)],
        home: (f64, f64),
    }
    let cases = [
        Case {
            name: "enough room at home",
            rooms: &[("a", 40.0, 10.0), ("b", 40.0, 10.0)],
            home: (1.0, 1.0),
        },
        Case {
            name: "an eighth of the slots and a third of the demand",
            rooms: &[("a", 12.0, 24.0), ("b", 48.0, 24.0), ("c", 36.0, 24.0)],
            home: (0.3, 0.45),
        },
        Case {
            name: "all are over: each keeps its part",
            rooms: &[("a", 10.0, 20.0), ("b", 10.0, 20.0)],
            home: (1.0, 1.0),
        },
        Case {
            name: "nothing at home",
            rooms: &[("a", 0.0, 5.0), ("b", 10.0, 1.0)],
            home: (0.0, 0.0),
        },
        Case {
            name: "nothing anywhere",
            rooms: &[("a", 0.0, 5.0), ("b", 0.0, 1.0)],
            home: (1.0, 1.0),
        },
    ];
    for case in cases {
        let shares = target_shares(&"a".into(), &rooms(case.rooms));
        let home = share(&shares, "a");
        let sum: f64 = shares.values().sum();
        assert!((sum - 1.0).abs() < 1e-9, "{}: sum {sum}", case.name);
        let (least, most) = case.home;
        assert!(
            home >= least - 1e-9 && home <= most + 1e-9,
            "{}: {home}",
            case.name
        );
    }
}

/// The first requests of a fleet that starts are counted in one region before the others
#[test]
fn a_small_region_begins_with_a_share_of_the_others() {
    struct Case {
        name: &'static str,
        is_young: bool,
        demand: [f64; 3],
        home: (f64, f64),
    }
    let cases = [
        Case {
            name: "nothing is known",
            is_young: true,
            demand: [0.0, 0.0, 0.0],
            home: (0.3, 0.5),
        },
        Case {
            name: "first requests elsewhere",
            is_young: true,
            demand: [0.0, 1.2, 0.6],
            home: (0.3, 0.5),
        },
        Case {
            name: "first requests here",
            is_young: true,
            demand: [7.6, 0.0, 0.0],
            home: (0.3, 0.5),
        },
        Case {
            name: "a host starts in a fleet that knows its demand",
            is_young: true,
            demand: [5.0, 30.0, 20.0],
            home: (1.0, 1.0),
        },
        Case {
            name: "a calm night",
            is_young: false,
            demand: [1.0, 1.2, 0.6],
            home: (1.0, 1.0),
        },
    ];
    for case in cases {
        let [a, b, c] = case.demand;
        let mut rooms = rooms(&[("a", 12.0, a), ("b", 48.0, b), ("c", 42.0, c)]);
        assume_equal_demand(&mut rooms, case.is_young);
        let home = share(&target_shares(&"a".into(), &rooms), "a");
        let (least, most) = case.home;
        assert!(home >= least && home <= most, "{}: {home}", case.name);
    }
    let mut ramp = Balancer::new();
    let start = Instant::now();
    assert!(ramp.is_starting(start));
    ramp.step(start, &[("a".into(), 1.0)].into(), |_| true);
    assert!(ramp.is_starting(start + Duration::from_secs(1)));
    assert!(!ramp.is_starting(start + Duration::from_secs(3)));
}

#[test]
fn shares_move_within_the_cap_unless_a_region_is_lost() {
    let start = Instant::now();
    let (here, there): (Shares, Shares) = (
        [("a".into(), 1.0)].into(),
        [("a".into(), 0.0), ("b".into(), 1.0)].into(),
    );
    let mut ramp = Balancer::new();
    ramp.step(start, &here, |_| true);
    let mut before = 1.0;
    for tenth in 1..=100 {
        let now = start + Duration::from_millis(100 * tenth);
        ramp.step(now, &there, |_| true);
        let home = share(ramp.shares(), "a");
        assert!(
            before - home <= MAX_MOVE_PER_SECOND_RATIO * 0.1 + 1e-9,
            "moved {}",
            before - home
        );
        before = home;
    }
    assert!(before < 0.6 && before > 0.4, "{before}");
    ramp.step(start + Duration::from_secs(11), &there, |region| {
        region == "b"
    });
    assert_eq!(share(ramp.shares(), "a"), 0.0);
}

#[test]
fn counts_stay_within_the_slack_of_the_shares() {
    let mut ramp = Balancer::new();
    let shares: Shares = [("a".into(), 0.4), ("b".into(), 0.6)].into();
    ramp.step(Instant::now(), &shares, |_| true);
    let mut home = 0.0;
    for count in 1..=500 {
        // Region a is always cheaper, by more than any credit is worth.
        let picked = ramp.pick(|region| Some(if region == "a" { 0.0 } else { 9.0 }));
        home += f64::from(u8::from(picked.as_deref() == Some("a")));
        let expected = f64::from(count) * 0.4;
        assert!(
            (home - expected).abs() <= MAX_DRIFT_REQUESTS + 1.0,
            "{home} of {count}"
        );
    }
}

#[test]
fn few_objects_move_when_shares_move() {
    let kept = |home: f64| {
        let mut ramp = Balancer::new();
        let shares: Shares = [("a".into(), home), ("b".into(), 1.0 - home)].into();
        ramp.step(Instant::now(), &shares, |_| true);
        let objects = (0..1000).map(|object| ramp.region_for_key(object).cloned());
        objects.collect::<Vec<_>>()
    };
    let (one, other) = (kept(0.5), kept(0.55));
    let moved = one.iter().zip(&other).filter(|(a, b)| a != b).count();
    assert!(moved > 20 && moved < 90, "{moved}");
}
