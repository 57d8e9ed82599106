//! Upstreams that send a copy of a refusal when the refused request is under way again on the
//! connection, behind real `pier-entry` processes. Callers repeat a once-only request after "not
//! run" with its ticket and its id.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Layout, Service};
use serde_json::json;
use tanagerpier::load::{self, Plan};
use tanagerpier::standin::record::Outcome;

/// Refusals below which a play shows nothing
const MIN_REFUSALS: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Case {
    /// Number of endpoints in each of the two zones
    endpoints: usize,
    /// Ratio of copied refusals
    copied_refusals: f64,
}

fn play(case: Case) -> Vec<String> {
    let fleet = Fleet::new(Layout::new(&["bne"], 1, &[Service::portal(case.endpoints)]));
    let faults = json!({"shed": 0.4, "copied_refusals": case.copied_refusals});
    for name in fleet.upstreams.keys() {
        fleet.set_upstream_faults(name, &faults);
    }
    let plan = Plan {
        rate: 60.0 * case.endpoints as f64,
        duration: Duration::from_secs(6),
        at_most_once_ratio: 0.7,
        ..fleet.load_plan()
    };
    let report = smol::block_on(load::run(plan)).expect("upstream records are readable");
    let records = fleet.upstreams.keys();
    let records = records.map(|name| fleet.execution_record(name));
    let copies: u64 = records.map(|record| record.copied_refusals).sum();
    println!("{case:?}: {copies} copies, {report:?}");
    let mut broken = Vec::new();
    for (failure, count) in [
        ("ran twice", report.doubled),
        ("told not run, but ran", report.not_run_but_ran),
        ("served, but did not run", report.served_but_not_ran),
        ("wrong or partial", report.wrong_or_partial),
        ("ended unknown", report.unknown),
    ] {
        if count > 0 {
            broken.push(format!("{case:?}: {count} {failure}"));
        }
    }
    if report
        .upstream
        .get(&Outcome::Shed)
        .is_none_or(|shed| *shed < MIN_REFUSALS)
    {
        broken.push(format!("{case:?}: too few refusals"));
    }
    broken
}

#[test]
fn once_only_request_runs_twice_after_a_copy_of_its_refusal() {
    let mut broken = Vec::new();
    for endpoints in [1, 3] {
        for copied_refusals in [0.0, 1.0] {
            broken.extend(play(Case {
                endpoints,
                copied_refusals,
            }));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
