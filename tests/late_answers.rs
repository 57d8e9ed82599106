//! Endpoints that send a second copy of an answer when the connection is in use again, behind real
//! `pier-gate` processes and under steady load.

mod site;

use std::time::Duration;

use smol::Timer;
use tanagerpier::platform::standin::endpoint::{Faults, LateCopies};

use site::Site;
use site::load::Load;

/// Part of the requests that must be served; a copy without an id costs the attempt that it meets
const MIN_SERVED_RATIO: f64 = 0.4;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    late_copies: LateCopies,
}

async fn play(case: Case) -> Vec<String> {
    let mut site = Site::start_with_capacity(1, 3, (3, Duration::from_millis(20))).await;
    (0..site.servers.len()).for_each(|index| site.register_without_proxy(index));
    Timer::after(Duration::from_millis(300)).await;
    for server in &site.servers {
        server.endpoint.set_faults(Faults {
            late_copies: case.late_copies,
            ..Faults::default()
        });
    }
    let mut load = Load::new(&site, Duration::from_secs(4));
    // The callers check that each answer is that of their own attempt.
    let hosts = load.hosts_by_attempt().await;
    let statuses = load.statuses();
    println!("{}: {statuses:?}", case.name);
    let served = statuses.get("200").copied().unwrap_or_default();
    let mut broken = Vec::new();
    if (served as f64) < MIN_SERVED_RATIO * hosts.len() as f64 {
        broken.push(format!("{}: {statuses:?}", case.name));
    }
    broken
}

// An answer that is not certainly the request's own must not be passed on.
#[test]
fn caller_gets_a_late_copy_of_an_answer_to_another() {
    let cases = [
        Case {
            name: "copies with their ids",
            late_copies: LateCopies::Exact,
        },
        Case {
            name: "copies without ids",
            late_copies: LateCopies::WithoutId,
        },
    ];
    site::play_all(cases.into_iter().map(play));
}
