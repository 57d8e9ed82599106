//! Settings that make no sense, and settings that change, at a real `pier-gate` process.

mod site;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::Timer;

use site::{MEMORY_MB, Site, get_status, status};

/// Time in which settings are in force after SIGHUP
const APPLY_TIME: Duration = Duration::from_secs(1);

/// Part of the memory of a host that requests may take
const REQUEST_RATIO: f64 = 0.4;

#[derive(Clone, Copy, Debug)]
struct Case {
    limits: &'static str,
    /// What the message says if the settings are refused
    error: Option<&'static str>,
    /// Memory in force afterwards, in MB
    memory_mb: u64,
}

const CASES: [Case; 5] = [
    Case {
        limits: "memory_mb: 0",
        error: Some("limits.memory_mb: 0"),
        memory_mb: MEMORY_MB,
    },
    Case {
        limits: "memory_mb: 320",
        error: None,
        memory_mb: 320,
    },
    Case {
        limits: "memory_mb: 15",
        error: Some("limits.memory_mb: 15"),
        memory_mb: 320,
    },
    // Wraps around to 0 bytes
    Case {
        limits: "memory_mb: 17592186044416",
        error: Some("limits.memory_mb: 17592186044416"),
        memory_mb: 320,
    },
    Case {
        limits: "memory_mb: 16",
        error: None,
        memory_mb: 16,
    },
];

async fn play(site: &Site, case: Case) -> Vec<String> {
    let mut broken = Vec::new();
    site.set_limits(0, case.limits);
    let output = site.check_settings(0);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    let is_told = match case.error {
        Some(error) => output.status.code() == Some(2) && message.contains(error),
        None => output.status.success(),
    };
    if !is_told {
        broken.push(format!("{case:?}: {} {message}", output.status));
    }
    let process = site.gateways[0].process.as_ref().expect("it runs");
    process.signal("HUP");
    let expected = ((case.memory_mb << 20) as f64 * REQUEST_RATIO) as u64;
    let told = Instant::now();
    let mut limit = None;
    // Settings that are refused must not come into force later, either.
    while told.elapsed() < APPLY_TIME && (case.error.is_some() || limit != Some(expected)) {
        limit = status::number(site, 0, "request_memory_limit_bytes").await;
        Timer::after(Duration::from_millis(50)).await;
    }
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let answer = get_status(host, "/safe/x", &format!("s-{}", case.limits.len())).await;
    if (limit, answer) != (Some(expected), Some(200)) {
        broken.push(format!("{case:?}: {limit:?} of {expected}, {answer:?}"));
    }
    broken
}

async fn play_all() -> Vec<String> {
    let site = Site::start(1, 1).await;
    let mut broken = Vec::new();
    for case in CASES {
        broken.extend(play(&site, case).await);
    }
    broken
}

// A host whose settings leave it no memory refuses everything; changed settings stay without effect.
#[test]
fn settings_without_memory_for_requests_are_accepted() {
    site::play_all([play_all()].into_iter());
}
