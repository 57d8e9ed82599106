//! Fault injection against real processes, one fault per test.
//!
//! Results are checked against the execution records of the upstreams.

mod fleet;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fleet::{Fleet, Layout, Service};
use serde_json::json;
use tanagerpier::load::{self, Plan, Report};
use tanagerpier::standin::record::Outcome;

/// Maximum duration of a graceful stop
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause that outlasts every lease and heartbeat timeout
const PROCESS_PAUSE: Duration = Duration::from_secs(8);

fn two_region_layout() -> Layout {
    Layout::new(&["bne", "tsv"], 2, &[Service::portal(2)])
}

/// Starts a load whose seed, and thus its keys, are unique in this process
fn start_load(fleet: &Fleet, seconds: u64) -> JoinHandle<Report> {
    static SEED: AtomicU64 = AtomicU64::new(1);
    let plan = Plan {
        seed: SEED.fetch_add(1, Ordering::Relaxed),
        rate: 100.0,
        duration: Duration::from_secs(seconds),
        at_most_once_ratio: 0.3,
        block_count: 2000,
        ..fleet.load_plan()
    };
    thread::spawn(|| smol::block_on(load::run(plan)).expect("load run failed"))
}

fn finish_load(load: JoinHandle<Report>) -> Report {
    let report = load.join().expect("load thread panicked");
    println!(
        "{}",
        serde_json::to_string(&report).expect("report serializes to JSON")
    );
    assert!(report.has_no_violations(), "{report:?}");
    report
}

/// Asserts that every request was served and no attempt failed, as required of planned changes
fn assert_all_served(report: &Report) {
    for failure in ["broken", "cut", "late", "stale"] {
        assert!(
            !report.attempt_results.contains_key(failure),
            "{failure}: {report:?}"
        );
    }
    assert_eq!(report.served, report.requests, "{report:?}");
}

/// Asserts that every idempotent request succeeded; at-most-once requests may fail
fn assert_idempotent_served(report: &Report) {
    assert_eq!(report.idempotent_given_up, 0, "{report:?}");
}

#[test]
fn serves_every_request_without_faults() {
    let fleet = Fleet::new(two_region_layout());
    assert_all_served(&finish_load(start_load(&fleet, 3)));
}

#[test]
fn operator_port_responds_under_load() {
    let fleet = Fleet::new(two_region_layout());
    let load = start_load(&fleet, 3);
    let explain = "/explain?service=licence-portal&block=1";
    for target in ["/status", "/events", "/metrics", "/revision", explain] {
        for (name, host) in &fleet.hosts {
            let operator = host.info.operator.expect("host has an operator port");
            let response = fleet::try_get(operator, target);
            let response =
                response.unwrap_or_else(|| panic!("no response to {target} from {name}"));
            assert_eq!(response.status(), 200, "{target} from {name}");
        }
    }
    assert_all_served(&finish_load(load));
    for (name, host) in &fleet.hosts {
        let operator = host.info.operator.expect("host has an operator port");
        let metrics = fleet::get(operator, "/metrics").body;
        let metrics = String::from_utf8(metrics).expect("metrics are UTF-8");
        for metric in ["pier_control_bytes_total", "pier_control_seconds_total"] {
            assert!(
                metrics.contains(metric),
                "metric {metric} is missing from {name}"
            );
        }
    }
}

#[test]
fn idempotent_requests_survive_host_crashes() {
    let mut fleet = Fleet::new(two_region_layout());
    let load = start_load(&fleet, 10);
    for host in ["bne-a-1", "tsv-b-2"] {
        thread::sleep(Duration::from_secs(2));
        fleet.kill_host(host);
        thread::sleep(Duration::from_secs(2));
        fleet.start_host(host);
        fleet.wait_until_ready(host);
    }
    assert_idempotent_served(&finish_load(load));
}

#[test]
fn paused_ticket_issuer_causes_no_duplicate_execution() {
    let mut fleet = Fleet::new(two_region_layout());
    let load = start_load(&fleet, 14);
    thread::sleep(Duration::from_secs(2));
    fleet.signal_host("bne-a-1", "STOP");
    thread::sleep(PROCESS_PAUSE);
    fleet.signal_host("bne-a-1", "CONT");
    assert_idempotent_served(&finish_load(load));
}

#[test]
fn rolling_restart_of_a_zone_loses_no_request() {
    let mut fleet = Fleet::new(two_region_layout());
    let load = start_load(&fleet, 14);
    for host in ["bne-a-1", "bne-a-2"] {
        thread::sleep(Duration::from_secs(1));
        let started = Instant::now();
        fleet.begin_host_stop(host);
        assert!(
            fleet.wait_for_exit(host, DRAIN_TIMEOUT),
            "{host} did not exit cleanly"
        );
        println!("{host} drained in {:?}", started.elapsed());
        fleet.start_host(host);
        fleet.wait_until_ready(host);
    }
    assert_all_served(&finish_load(load));
}

#[test]
fn concurrent_stop_of_a_zone_loses_no_request() {
    let mut fleet = Fleet::new(two_region_layout());
    let load = start_load(&fleet, 8);
    thread::sleep(Duration::from_secs(2));
    for host in ["tsv-a-1", "tsv-a-2"] {
        fleet.begin_host_stop(host);
    }
    for host in ["tsv-a-1", "tsv-a-2"] {
        assert!(
            fleet.wait_for_exit(host, DRAIN_TIMEOUT),
            "{host} did not exit cleanly"
        );
    }
    assert_all_served(&finish_load(load));
}

#[test]
fn serves_during_platform_outage() {
    struct Case {
        outage: &'static str,
        restarted_host: &'static str,
    }
    let cases = [
        Case {
            outage: "close",
            restarted_host: "bne-a-1",
        },
        Case {
            outage: "hang",
            restarted_host: "tsv-b-1",
        },
    ];
    let mut fleet = Fleet::new(two_region_layout());
    for case in cases {
        fleet.set_platform_faults(&json!({"outage": case.outage}));
        let load = start_load(&fleet, 8);
        thread::sleep(Duration::from_secs(1));
        fleet.begin_host_stop(case.restarted_host);
        assert!(
            fleet.wait_for_exit(case.restarted_host, DRAIN_TIMEOUT),
            "{}",
            case.restarted_host
        );
        fleet.start_host(case.restarted_host);
        fleet.wait_until_ready(case.restarted_host);
        assert_all_served(&finish_load(load));
        fleet.set_platform_faults(&json!({"outage": "none"}));
    }
    let (accepted, message) = fleet.submit_patch(1, "lookup_lifetime: 7s");
    assert!(accepted, "{message}");
    for (name, host) in &fleet.hosts {
        let target = "/lookup?service=licence-portal&block=1";
        fleet.wait_until(&format!("configuration 2 in force on {name}"), || {
            let response = fleet::get(host.info.caller, target);
            String::from_utf8_lossy(&response.body).contains("\"lifetime\":7")
        });
    }
}

#[test]
fn both_sides_of_a_partition_serve() {
    let fleet = Fleet::new(two_region_layout());
    let load = start_load(&fleet, 12);
    let peers = ["bne-b", "tsv-a", "tsv-b", "platform"];
    thread::sleep(Duration::from_secs(2));
    peers.iter().for_each(|peer| fleet.partition("bne-a", peer));
    thread::sleep(Duration::from_secs(5));
    peers
        .iter()
        .for_each(|peer| fleet.heal_partition("bne-a", peer));
    assert_idempotent_served(&finish_load(load));
}

#[test]
fn quarantines_a_request_after_two_upstream_crashes() {
    let mut fleet = Fleet::new(two_region_layout());
    let target = "/s/licence-portal/item?key=bad&mark=crash-me";
    let hosts = ["bne-a-1", "bne-a-2"];
    let callers = hosts.map(|host| fleet.hosts[host].info.caller);
    let deadline = Instant::now() + fleet::WAIT_TIMEOUT;
    let mut refused = [false; 2];
    let mut restart_count = 0;
    while refused.contains(&false) {
        assert!(
            Instant::now() < deadline,
            "not refused by both hosts: {refused:?}"
        );
        for (caller, refused) in callers.iter().zip(&mut refused) {
            let response = fleet::try_get(*caller, target);
            *refused |= response.is_some_and(|response| response.status() == 429);
        }
        restart_count += fleet.restart_exited_upstreams();
        thread::sleep(Duration::from_millis(100));
    }
    let crash_count = |name| {
        fleet
            .execution_record(name)
            .counts
            .get(&Outcome::Crashed)
            .copied()
    };
    let names = fleet.upstreams.keys();
    let crashes: u64 = names.filter_map(|name| crash_count(name.as_str())).sum();
    println!("{crashes} upstreams crashed, {restart_count} restarted");
    assert_eq!(crashes, 2);
}

#[test]
fn leaving_upstream_receives_no_request_after_3_s() {
    struct Case {
        upstream: &'static str,
        platform_outage: &'static str,
    }
    let cases = [
        Case {
            upstream: "licence-portal-bne-a-1",
            platform_outage: "none",
        },
        Case {
            upstream: "licence-portal-tsv-a-1",
            platform_outage: "close",
        },
    ];
    let fleet = Fleet::new(two_region_layout());
    for case in cases {
        fleet.set_platform_faults(&json!({"outage": case.platform_outage}));
        let load = start_load(&fleet, 8);
        thread::sleep(Duration::from_secs(1));
        fleet.set_upstream_faults(case.upstream, &json!({"leaving": "tell"}));
        thread::sleep(Duration::from_secs(3));
        let counts_before = fleet.execution_record(case.upstream).counts;
        let report = finish_load(load);
        let counts_after = fleet.execution_record(case.upstream).counts;
        assert_eq!(counts_before, counts_after, "{}", case.upstream);
        assert_all_served(&report);
        fleet.set_upstream_faults(case.upstream, &json!({"leaving": "no"}));
    }
}

#[test]
fn spills_when_the_only_local_endpoint_leaves() {
    let layout = Layout::new(&["bne", "tsv"], 2, &[Service::packs(1)]).with_spill_share(1.0);
    let fleet = Fleet::new(layout);
    fleet.set_upstream_faults("pack-library-bne-a-1", &json!({"leaving": "refuse"}));
    let report = finish_load(start_load(&fleet, 4));
    let operator = fleet.hosts["bne-a-1"].info.operator;
    let target = "/explain?service=pack-library&block=1";
    let explanation = fleet::get(operator.expect("host has an operator port"), target);
    println!("{}", String::from_utf8_lossy(&explanation.body));
    assert_all_served(&report);
}
