//! One failure at a time over real processes, checked from the upstreams' own records.

mod fleet;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fleet::{Fleet, Layout, Service};
use serde_json::json;
use tanagerpier::load::{self, Plan, Report};
use tanagerpier::standin::record::Outcome;

/// Longest time that a planned stop may take
const DRAIN: Duration = Duration::from_secs(30);

/// Time after which each lease and heartbeat term has passed
const EVERY_TERM: Duration = Duration::from_secs(8);

fn small() -> Layout {
    Layout::new(&["bne", "tsv"], 2, &[Service::portal(2)])
}

/// Load with keys that no other load of this process has
fn load_for(fleet: &Fleet, seconds: u64) -> JoinHandle<Report> {
    static SEED: AtomicU64 = AtomicU64::new(1);
    let plan = Plan {
        seed: SEED.fetch_add(1, Ordering::Relaxed),
        rate: 100.0,
        duration: Duration::from_secs(seconds),
        at_most_once_ratio: 0.3,
        block_count: 2000,
        ..fleet.load_plan()
    };
    thread::spawn(|| smol::block_on(load::run(plan)).expect("all records are read"))
}

fn end(load: JoinHandle<Report>) -> Report {
    let report = load.join().expect("the load ends");
    println!("{}", serde_json::to_string(&report).expect("plain data"));
    assert!(report.has_no_violations(), "{report:?}");
    report
}

/// Planned moves and stops cost nobody a request
fn assert_nothing_lost(report: &Report) {
    for cut in ["broken", "cut", "late", "stale"] {
        assert!(
            !report.attempt_results.contains_key(cut),
            "{cut}: {report:?}"
        );
    }
    assert_eq!(report.served, report.requests, "{report:?}");
}

/// Callers that retry get on, whatever became of once-only requests
fn assert_callers_go_on(report: &Report) {
    assert_eq!(report.idempotent_given_up, 0, "{report:?}");
}

#[test]
fn all_is_served_without_a_failure() {
    let fleet = Fleet::new(small());
    assert_nothing_lost(&end(load_for(&fleet, 3)));
}

#[test]
fn operators_are_answered_in_the_middle_of_a_load() {
    let fleet = Fleet::new(small());
    let load = load_for(&fleet, 3);
    let explain = "/explain?service=licence-portal&block=1";
    for target in ["/status", "/events", "/metrics", "/revision", explain] {
        for (name, host) in &fleet.hosts {
            let operator = host.info.operator.expect("an operators' port");
            let answer = fleet::try_get(operator, target);
            let answer = answer.unwrap_or_else(|| panic!("no {target} of {name}"));
            assert_eq!(answer.status(), 200, "{target} of {name}");
        }
    }
    assert_nothing_lost(&end(load));
    for (name, host) in &fleet.hosts {
        let operator = host.info.operator.expect("an operators' port");
        let metrics = fleet::get(operator, "/metrics").body;
        let metrics = String::from_utf8(metrics).expect("plain text");
        for metric in ["pier_control_bytes_total", "pier_control_seconds_total"] {
            assert!(metrics.contains(metric), "no {metric} of {name}");
        }
    }
}

#[test]
fn callers_go_on_after_kills() {
    let mut fleet = Fleet::new(small());
    let load = load_for(&fleet, 10);
    for host in ["bne-a-1", "tsv-b-2"] {
        thread::sleep(Duration::from_secs(2));
        fleet.kill_host(host);
        thread::sleep(Duration::from_secs(2));
        fleet.start_host(host);
        fleet.wait_until_ready(host);
    }
    assert_callers_go_on(&end(load));
}

#[test]
fn a_paused_issuer_runs_nothing_twice() {
    let mut fleet = Fleet::new(small());
    let load = load_for(&fleet, 14);
    thread::sleep(Duration::from_secs(2));
    fleet.signal_host("bne-a-1", "STOP");
    thread::sleep(EVERY_TERM);
    fleet.signal_host("bne-a-1", "CONT");
    assert_callers_go_on(&end(load));
}

#[test]
fn a_zone_is_replaced_host_by_host_under_load() {
    let mut fleet = Fleet::new(small());
    let load = load_for(&fleet, 14);
    for host in ["bne-a-1", "bne-a-2"] {
        thread::sleep(Duration::from_secs(1));
        let begun = Instant::now();
        fleet.begin_host_stop(host);
        assert!(fleet.wait_for_exit(host, DRAIN), "{host} did not end well");
        println!("{host} drained in {:?}", begun.elapsed());
        fleet.start_host(host);
        fleet.wait_until_ready(host);
    }
    assert_nothing_lost(&end(load));
}

#[test]
fn two_hosts_of_a_zone_stop_at_once() {
    let mut fleet = Fleet::new(small());
    let load = load_for(&fleet, 8);
    thread::sleep(Duration::from_secs(2));
    for host in ["tsv-a-1", "tsv-a-2"] {
        fleet.begin_host_stop(host);
    }
    for host in ["tsv-a-1", "tsv-a-2"] {
        assert!(fleet.wait_for_exit(host, DRAIN), "{host} did not end well");
    }
    assert_nothing_lost(&end(load));
}

#[test]
fn steering_goes_on_without_the_platform() {
    struct Case {
        outage: &'static str,
        joins: &'static str,
    }
    let cases = [
        Case {
            outage: "close",
            joins: "bne-a-1",
        },
        Case {
            outage: "hang",
            joins: "tsv-b-1",
        },
    ];
    let mut fleet = Fleet::new(small());
    for case in cases {
        fleet.set_platform_faults(&json!({"outage": case.outage}));
        let load = load_for(&fleet, 8);
        thread::sleep(Duration::from_secs(1));
        fleet.begin_host_stop(case.joins);
        assert!(fleet.wait_for_exit(case.joins, DRAIN), "{}", case.joins);
        fleet.start_host(case.joins);
        fleet.wait_until_ready(case.joins);
        assert_nothing_lost(&end(load));
        fleet.set_platform_faults(&json!({"outage": "none"}));
    }
    let (accepted, text) = fleet.submit_patch(1, "lookup_lifetime: 7s");
    assert!(accepted, "{text}");
    for (name, host) in &fleet.hosts {
        let target = "/lookup?service=licence-portal&block=1";
        fleet.wait_until(&format!("number 2 in force at {name}"), || {
            let answer = fleet::get(host.info.caller, target);
            String::from_utf8_lossy(&answer.body).contains("\"lifetime\":7")
        });
    }
}

#[test]
fn both_sides_of_a_cut_go_on() {
    let fleet = Fleet::new(small());
    let load = load_for(&fleet, 12);
    let others = ["bne-b", "tsv-a", "tsv-b", "platform"];
    thread::sleep(Duration::from_secs(2));
    others
        .iter()
        .for_each(|other| fleet.partition("bne-a", other));
    thread::sleep(Duration::from_secs(5));
    others
        .iter()
        .for_each(|other| fleet.heal_partition("bne-a", other));
    assert_callers_go_on(&end(load));
}

#[test]
fn a_request_that_crashes_upstreams_is_refused_after_two() {
    let mut fleet = Fleet::new(small());
    let target = "/s/licence-portal/item?key=bad&mark=crash-me";
    let hosts = ["bne-a-1", "bne-a-2"];
    let callers = hosts.map(|host| fleet.hosts[host].info.caller);
    let end = Instant::now() + fleet::WAIT_TIMEOUT;
    let mut refused = [false; 2];
    let mut revived = 0;
    while refused.contains(&false) {
        assert!(Instant::now() < end, "not refused by both: {refused:?}");
        for (caller, refused) in callers.iter().zip(&mut refused) {
            let answer = fleet::try_get(*caller, target);
            *refused |= answer.is_some_and(|answer| answer.status() == 429);
        }
        revived += fleet.restart_exited_upstreams();
        thread::sleep(Duration::from_millis(100));
    }
    let crashed = |name| {
        fleet
            .execution_record(name)
            .counts
            .get(&Outcome::Crashed)
            .copied()
    };
    let names = fleet.upstreams.keys();
    let lost: u64 = names.filter_map(|name| crashed(name.as_str())).sum();
    println!("{lost} upstreams lost, {revived} restarted");
    assert_eq!(lost, 2);
}

#[test]
fn a_leaving_upstream_gets_no_new_work_after_3_s() {
    struct Case {
        upstream: &'static str,
        platform: &'static str,
    }
    let cases = [
        Case {
            upstream: "licence-portal-bne-a-1",
            platform: "none",
        },
        Case {
            upstream: "licence-portal-tsv-a-1",
            platform: "close",
        },
    ];
    let fleet = Fleet::new(small());
    for case in cases {
        fleet.set_platform_faults(&json!({"outage": case.platform}));
        let load = load_for(&fleet, 8);
        thread::sleep(Duration::from_secs(1));
        fleet.set_upstream_faults(case.upstream, &json!({"leaving": "tell"}));
        thread::sleep(Duration::from_secs(3));
        let then = fleet.execution_record(case.upstream).counts;
        let report = end(load);
        let after = fleet.execution_record(case.upstream).counts;
        assert_eq!(then, after, "{}", case.upstream);
        assert_nothing_lost(&report);
        fleet.set_upstream_faults(case.upstream, &json!({"leaving": "no"}));
    }
}

#[test]
fn a_service_whose_one_endpoint_leaves_is_served_elsewhere() {
    let layout = Layout::new(&["bne", "tsv"], 2, &[Service::packs(1)]).with_spill_share(1.0);
    let fleet = Fleet::new(layout);
    fleet.set_upstream_faults("pack-library-bne-a-1", &json!({"leaving": "refuse"}));
    let report = end(load_for(&fleet, 4));
    let host = fleet.hosts["bne-a-1"].info.operator;
    let target = "/explain?service=pack-library&block=1";
    let explained = fleet::get(host.expect("an operators' port"), target);
    println!("{}", String::from_utf8_lossy(&explained.body));
    assert_nothing_lost(&report);
}
