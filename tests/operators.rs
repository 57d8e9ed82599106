//! Configuration changes and inspection through `pierctl`, against real processes.

mod fleet;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fleet::{Fleet, Layout, Service, try_get};
use serde_json::{Value, json};

/// Target for the time from acceptance of a change until every host has it in force
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(16);

/// Exit code of `pierctl` when some hosts did not confirm a change
const PARTIAL_ROLLOUT_EXIT_CODE: i32 = 4;

fn pierctl(fleet: &Fleet, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pierctl"))
        .args(arguments)
        .args(["--platform", &fleet.platform_address.to_string()])
        .output()
        .expect("failed to run pierctl")
}

/// Runs `pierctl`, asserts its exit code and returns its standard output
fn run(fleet: &Fleet, arguments: &[&str], code: i32) -> String {
    let Output {
        status,
        stdout,
        stderr,
    } = pierctl(fleet, arguments);
    let error_text = String::from_utf8_lossy(&stderr);
    assert_eq!(status.code(), Some(code), "{arguments:?}: {error_text}");
    String::from_utf8(stdout).expect("output is UTF-8")
}

fn run_json(fleet: &Fleet, arguments: &[&str], code: i32) -> Value {
    let arguments = [arguments, &["--json"]].concat();
    let text = run(fleet, &arguments, code);
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{arguments:?}: {error}: {text}"))
}

/// Writes a patch to a file in the fleet directory and returns its path
fn write_patch(fleet: &Fleet, name: &str, change: &Value) -> String {
    let path = fleet.directory.join(name);
    std::fs::write(&path, change.to_string()).expect("failed to write the patch");
    path.display().to_string()
}

fn apply(fleet: &Fleet, base: u64, change: &Value, options: &[&str], code: i32) -> Value {
    let file = write_patch(fleet, &format!("patch-{base}.json"), change);
    let base = base.to_string();
    let arguments = [
        "apply", &file, "--on", &base, "--who", "ann", "--reason", "a test",
    ];
    run_json(fleet, &[&arguments, options].concat(), code)
}

fn lookup_lifetime_patch(seconds: u64) -> Value {
    json!({"lookup_lifetime": format!("{seconds}s")})
}

fn config_number(operator: SocketAddr) -> Option<u64> {
    let response = try_get(operator, "/number")?;
    serde_json::from_slice(&response.body).ok()
}

fn operator_addresses(fleet: &Fleet) -> BTreeMap<String, SocketAddr> {
    let hosts = fleet.hosts.iter();
    hosts
        .map(|(name, host)| {
            (
                name.clone(),
                host.info.operator.expect("host has an operator port"),
            )
        })
        .collect()
}

#[test]
fn pierctl_changes_and_inspects_the_fleet() {
    let mut fleet = Fleet::new(Layout::new(&["bne", "tsv"], 1, &[Service::portal(1)]));
    let shares = json!({"bne-a": {"bne-a": 0.5, "bne-b": 0.5}});
    let change = json!({"services": {"licence-portal": {"shares": shares}}});

    let dry_run = apply(&fleet, 1, &change, &["--dry-run"], 0);
    assert_eq!(dry_run["would_be"], 2);
    assert_eq!(dry_run["moves"][0]["moved"], 0.5, "{dry_run}");
    assert_eq!(
        run_json(&fleet, &["show"], 0)["number"],
        1,
        "dry run changed the configuration"
    );

    let result = apply(&fleet, 1, &change, &["--wait", "--id", "one"], 0);
    assert_eq!(result["accepted"], 2);
    let zones = result["spread"]["zones"]
        .as_object()
        .expect("zones is an object");
    assert_eq!(zones.len(), 4, "{result}");
    for (zone, hosts) in zones {
        assert_eq!(
            hosts["in_force"].as_array().map(Vec::len),
            Some(1),
            "{zone}: {result}"
        );
    }
    let repeated = apply(&fleet, 1, &change, &["--id", "one"], 0);
    assert_eq!(
        (&repeated["accepted"], &repeated["before"]),
        (&json!(2), &json!(true))
    );
    let file = write_patch(&fleet, "stale.json", &lookup_lifetime_patch(9));
    let stale_arguments = [
        "apply", &file, "--on", "1", "--who", "ann", "--reason", "late",
    ];
    let stale = pierctl(&fleet, &stale_arguments);
    assert_eq!(stale.status.code(), Some(1));
    let error_text = String::from_utf8_lossy(&stale.stderr);
    assert!(
        error_text.contains("in force is 2") && error_text.contains("shares"),
        "{error_text}"
    );

    let history = run_json(&fleet, &["history"], 0);
    assert_eq!(history[0]["number"], 2);
    assert_eq!(
        (&history[0]["who"], &history[0]["why"]),
        (&json!("ann"), &json!("a test"))
    );
    assert_eq!(run_json(&fleet, &["diff", "1", "2"], 0), change);

    let explain = ["explain", "--service", "licence-portal", "--block", "1"];
    let explanation = run_json(&fleet, &explain, 0);
    assert_eq!(explanation["region"], "bne");
    assert!(
        !explanation["choices"]
            .as_array()
            .expect("choices is an array")
            .is_empty(),
        "{explanation}"
    );
    assert!(run(&fleet, &explain, 0).contains("entering at bne-"));

    let drain = [
        "drain",
        "licence-portal-tsv-a-1",
        "--who",
        "ann",
        "--reason",
        "repair",
    ];
    let drain_result = run_json(&fleet, &[&drain[..], &["--wait"]].concat(), 0);
    assert_eq!(drain_result["accepted"], 3);
    let status = run_json(&fleet, &["status"], 0);
    let hosts = status["hosts"].as_array().expect("hosts is an array");
    assert_eq!(hosts.len(), 4, "{status}");
    assert!(hosts.iter().all(|host| host["number"] == 3), "{status}");
    let text = run(&fleet, &["status"], 0);
    assert!(
        text.contains("zone tsv-a\n") && text.contains("headroom"),
        "{text}"
    );

    fleet.kill_host("tsv-b-1");
    let partial = apply(
        &fleet,
        3,
        &lookup_lifetime_patch(7),
        &["--wait"],
        PARTIAL_ROLLOUT_EXIT_CODE,
    );
    let unreached = &partial["spread"]["zones"]["tsv-b"]["unreached"];
    assert_eq!(unreached, &json!(["tsv-b-1"]), "{partial}");
    let status = run_json(&fleet, &["status"], 0);
    assert_eq!(status["unreached"][0]["host"], "tsv-b-1", "{status}");
}

/// Polls the configuration number of every host and panics if one decreases
struct Monitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<BTreeMap<String, u64>>,
}

impl Monitor {
    fn new(operators: BTreeMap<String, SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            let mut last_seen = BTreeMap::new();
            while !stop_requested.load(Ordering::SeqCst) {
                for (host, operator) in &operators {
                    let Some(number) = config_number(*operator).filter(|number| *number > 0) else {
                        continue;
                    };
                    let previous = last_seen.insert(host.clone(), number).unwrap_or(0);
                    assert!(
                        number >= previous,
                        "configuration number of {host} decreased from {previous} to {number}"
                    );
                }
                thread::sleep(Duration::from_millis(10));
            }
            last_seen
        });
        Self { stop, thread }
    }

    fn finish(self) -> BTreeMap<String, u64> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("monitor thread panicked")
    }
}

#[test]
fn configuration_numbers_only_increase_and_reach_every_host() {
    let mut fleet = Fleet::new(Layout::new(&["bne", "tsv"], 2, &[Service::portal(1)]));
    let operators = operator_addresses(&fleet);
    let monitor = Monitor::new(operators.clone());
    let assert_rollout = |fleet: &Fleet, expected: u64, condition: &str| {
        let started = Instant::now();
        fleet.wait_until(
            &format!("configuration {expected} in force on every host: {condition}"),
            || {
                operators
                    .values()
                    .all(|operator| config_number(*operator) == Some(expected))
            },
        );
        assert!(
            started.elapsed() < ROLLOUT_TIMEOUT,
            "{condition}: {:?}",
            started.elapsed()
        );
    };
    let mut last_number = 1;
    let mut submit_change = |fleet: &Fleet| {
        let result = apply(
            fleet,
            last_number,
            &lookup_lifetime_patch(1 + last_number % 50),
            &[],
            0,
        );
        last_number += 1;
        assert_eq!(result["accepted"], last_number);
        last_number
    };

    fleet.set_platform_faults(&json!({"old_reads": 0.5, "lose_answers": 0.3}));
    for _ in 0..5 {
        let number = submit_change(&fleet);
        assert_rollout(&fleet, number, "stale reads and lost responses");
    }
    fleet.kill_host("bne-a-1");
    let _ = submit_change(&fleet);
    fleet.start_host("bne-a-1");
    let number = submit_change(&fleet);
    assert_rollout(&fleet, number, "host restarted after a crash");
    fleet.set_platform_faults(&json!({"old_reads": 0.0, "lose_answers": 0.0}));

    fleet.partition("tsv-b", "platform");
    let number = submit_change(&fleet);
    assert_rollout(&fleet, number, "zone partitioned from the platform");
    for zone in ["bne-a", "bne-b", "tsv-a"] {
        fleet.partition("tsv-b", zone);
    }
    let _ = submit_change(&fleet);
    let number = submit_change(&fleet);
    for zone in ["bne-a", "bne-b", "tsv-a", "platform"] {
        fleet.heal_partition("tsv-b", zone);
    }
    assert_rollout(&fleet, number, "zone partition healed");

    fleet.set_platform_faults(&json!({"outage": "hang"}));
    fleet.kill_host("tsv-a-2");
    fleet.start_host("tsv-a-2");
    assert_rollout(&fleet, number, "host started during a platform outage");
    fleet.set_platform_faults(&json!({"outage": "none"}));
    let number = submit_change(&fleet);
    assert_rollout(&fleet, number, "platform outage ended");
    assert_eq!(
        monitor.finish().len(),
        operators.len(),
        "some hosts never responded"
    );
}

/// Measures rollout time and platform call rates for different fleet sizes
#[test]
#[ignore = "a measurement: takes a minute"]
fn time_from_accept_to_in_force_everywhere() {
    for (regions, hosts) in [
        (&["bne", "tsv", "cns"][..], 2),
        (&["bne", "tsv"], 3),
        (&["bne", "tsv"], 6),
    ] {
        let fleet = Fleet::new(Layout::new(regions, hosts, &[Service::portal(1)]));
        let mut rollout_millis = Vec::new();
        for base in 1..=100 {
            let result = apply(
                &fleet,
                base,
                &lookup_lifetime_patch(1 + base % 50),
                &["--wait"],
                0,
            );
            rollout_millis.push(
                result["spread"]["millis"]
                    .as_u64()
                    .expect("millis is an integer"),
            );
        }
        rollout_millis.sort_unstable();
        println!(
            "{} hosts in {} zones, 100 changes: p50 {} ms, p99 {} ms, worst {} ms",
            fleet.hosts.len(),
            regions.len() * 2,
            rollout_millis[49],
            rollout_millis[98],
            rollout_millis[99],
        );
        print_platform_call_rates(&fleet);
        assert!(
            rollout_millis[99]
                < u64::try_from(ROLLOUT_TIMEOUT.as_millis()).expect("timeout fits in u64")
        );
    }
}

/// Prints the rate of platform calls over ten seconds without a configuration change
fn print_platform_call_rates(fleet: &Fleet) {
    let read_calls = || -> Value {
        let response = fleet::get(fleet.platform_address, "/calls");
        serde_json::from_slice(&response.body).expect("response is JSON")
    };
    let before = read_calls();
    thread::sleep(Duration::from_secs(10));
    let after = read_calls();
    let rate = |name: &str| {
        let count = |calls: &Value| calls[name].as_f64().expect("call count is a number");
        (count(&after) - count(&before)) / 10.0
    };
    println!(
        "  calls per second: reads {}, watches {}, lists {}; watches waiting {}, at most {}",
        rate("reads"),
        rate("watches"),
        rate("lists"),
        after["waiting"],
        after["max_waiting"],
    );
}
