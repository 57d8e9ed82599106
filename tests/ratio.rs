//! Limits the cost of routing decisions, as a ratio to a simple baseline measured in the same run.
//!
//! An owner admits 1,500 requests per second and a host serves several hundred. The baseline takes
//! well under a microsecond, so ten times its cost is less than 1 % of a core for both.

#[path = "../benches/decision/mod.rs"]
mod decision;

/// Number of calls that each run of a benchmark times
const CALLS_PER_RUN: u32 = 300;

#[test]
fn decision_cost_stays_within_ratio_of_baseline() {
    struct Case {
        name: &'static str,
        measured: fn() -> f64,
        baseline: fn() -> f64,
        max_ratio: f64,
    }
    let cases = [
        Case {
            name: "admit at 35 endpoints",
            measured: || decision::admit(35, CALLS_PER_RUN),
            baseline: || decision::baseline_admit(35, CALLS_PER_RUN),
            max_ratio: 10.0,
        },
        Case {
            name: "route without a shift over 6 zones",
            measured: || decision::route(35, 6, false, CALLS_PER_RUN),
            baseline: || decision::baseline_route(35, 6, CALLS_PER_RUN),
            max_ratio: 10.0,
        },
        Case {
            name: "route during a shift over 6 zones",
            measured: || decision::route(35, 6, true, CALLS_PER_RUN),
            baseline: || decision::baseline_route(35, 6, CALLS_PER_RUN),
            max_ratio: 20.0,
        },
        Case {
            name: "shift step over 6 zones",
            measured: || decision::ramp(6, CALLS_PER_RUN),
            baseline: || decision::baseline_ramp(6, CALLS_PER_RUN),
            max_ratio: 20.0,
        },
        Case {
            name: "admit scales about linearly with the endpoints",
            measured: || decision::admit(1000, CALLS_PER_RUN),
            baseline: || decision::admit(100, CALLS_PER_RUN),
            max_ratio: 20.0,
        },
        Case {
            name: "route is independent of the number of endpoints",
            measured: || decision::route(3500, 6, false, CALLS_PER_RUN),
            baseline: || decision::route(35, 6, false, CALLS_PER_RUN),
            max_ratio: 3.0,
        },
    ];
    for case in cases {
        let (measured, baseline) = ((case.measured)(), (case.baseline)());
        let ratio = measured / baseline;
        println!(
            "{}: {measured:.0} ns, baseline {baseline:.0} ns, ratio {ratio:.1}",
            case.name
        );
        assert!(
            ratio <= case.max_ratio,
            "{}: ratio {ratio:.1} exceeds {}",
            case.name,
            case.max_ratio
        );
    }
}
