//! Bounds on the cost of decisions, as ratios to a plain baseline in the same run.
//!
//! An owner admits 1,500 requests a second today and a host answers some hundreds; ten times a
//! plain choice, which takes well under a microsecond, is under a hundredth of a core for both.

#[path = "../benches/decision/mod.rs"]
mod decision;

/// Calls in each part of a run
const CALLS: u32 = 300;

#[test]
fn decisions_cost_little_more_than_plain_ones() {
    struct Case {
        name: &'static str,
        ours: fn() -> f64,
        plain: fn() -> f64,
        most: f64,
    }
    let cases = [
        Case {
            name: "admit at 35 endpoints",
            ours: || decision::admit(35, CALLS),
            plain: || decision::baseline_admit(35, CALLS),
            most: 10.0,
        },
        Case {
            name: "route at rest over 6 zones",
            ours: || decision::route(35, 6, false, CALLS),
            plain: || decision::baseline_route(35, 6, CALLS),
            most: 10.0,
        },
        Case {
            name: "route in a shift over 6 zones",
            ours: || decision::route(35, 6, true, CALLS),
            plain: || decision::baseline_route(35, 6, CALLS),
            most: 20.0,
        },
        Case {
            name: "step of a shift over 6 zones",
            ours: || decision::ramp(6, CALLS),
            plain: || decision::baseline_ramp(6, CALLS),
            most: 20.0,
        },
        Case {
            name: "admit grows no faster than the endpoints",
            ours: || decision::admit(1000, CALLS),
            plain: || decision::admit(100, CALLS),
            most: 20.0,
        },
        Case {
            name: "route does not grow with the endpoints",
            ours: || decision::route(3500, 6, false, CALLS),
            plain: || decision::route(35, 6, false, CALLS),
            most: 3.0,
        },
    ];
    for case in cases {
        let (ours, plain) = ((case.ours)(), (case.plain)());
        let ratio = ours / plain;
        println!("{}: {ours:.0} ns to {plain:.0} ns, {ratio:.1}", case.name);
        assert!(
            ratio <= case.most,
            "{}: {ratio:.1} above {}",
            case.name,
            case.most
        );
    }
}
