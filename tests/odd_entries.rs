//! Objects of another writer that cannot be read or that state odd values, with real `pier-gate`
//! processes: all hosts must go on following the store, and use what the other objects say.

mod site;

use std::time::{Duration, Instant};

use smol::Timer;

use site::Site;
use site::status::is_in_force;

/// Time in which a change is in force at a host in touch
const APPLY_TIME: Duration = Duration::from_millis(2000);

/// Time for which an odd object is there before the changes
const NOTICE_TIME: Duration = Duration::from_millis(500);

struct Case {
    kind: &'static str,
    /// What is odd about the object
    name: &'static str,
    content: Vec<u8>,
}

fn nested(levels: usize) -> Vec<u8> {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels)).into_bytes()
}

fn endpoint_with(field: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("service", "\"portal\""),
        ("zone", "\"north\""),
        ("address", "\"127.0.0.1:9\""),
        ("state", "\"draining\""),
        ("max_concurrency", "3"),
        ("warmup_left_ms", "0"),
        ("sequence", "1"),
        ("born", "7"),
    ];
    let fields = fields.map(|(name, usual)| match name == field {
        true => format!("\"{name}\":{value}"),
        false => format!("\"{name}\":{usual}"),
    });
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for kind in [
        "servers",
        "evacuations",
        "entry-hosts",
        "quarantined-requests",
    ] {
        let contents = [
            (
                "bytes that are no text",
                b"{\"state\":\"\xff\xfe\"}".to_vec(),
            ),
            (
                "backslash before such bytes",
                b"{\"state\":\"\\\\\xff\"}".to_vec(),
            ),
            ("control characters", b"{\"state\":\"\0\n\x1f\"}".to_vec()),
            (
                "escapes that JSON does not know",
                br#"{"state":"\x \u12 \u"}"#.to_vec(),
            ),
            (
                "escapes that stand for no text",
                br#"{"state":"\udcff\udcfe"}"#.to_vec(),
            ),
            ("100 levels", nested(100)),
            ("127 levels", nested(127)),
            ("128 levels", nested(128)),
            ("50,000 levels", nested(50_000)),
            ("number beyond all types", b"{\"sequence\":1e999}".to_vec()),
            ("no content", b"null".to_vec()),
            (
                "large content",
                format!("\"{}\"", "x".repeat(1 << 20)).into_bytes(),
            ),
        ];
        cases.extend(contents.map(|(name, content)| Case {
            kind,
            name,
            content,
        }));
    }
    let fields = [
        ("warmup_left_ms", "9.3e18"),
        ("warmup_left_ms", "9.3e21"),
        ("warmup_left_ms", "1.7e22"),
        ("warmup_left_ms", "18446744073709551615"),
        ("warmup_left_ms", "1e308"),
        ("warmup_left_ms", "-1e308"),
        ("max_concurrency", "4294967295"),
        ("max_concurrency", "0"),
        ("born", "18446744073709551615"),
        ("sequence", "18446744073709551615"),
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"127.0.0.1:99999999999999999999\""),
        ("state", "\"resting\""),
        ("service", "[]"),
    ];
    cases.extend(fields.map(|(field, value)| Case {
        kind: "servers",
        name: value,
        content: endpoint_with(field, value),
    }));
    cases
}

/// Changes the routes and the state of an endpoint beside an odd object
async fn play(site: &mut Site, case: &Case, index: usize) -> Vec<String> {
    site.store.write_raw(case.kind, "odd", &case.content);
    Timer::after(NOTICE_TIME).await;
    let prefix = format!("/safe/{index}/");
    site.configure(&["/once/", &prefix]);
    let drains = index.is_multiple_of(2);
    site.register(0, if drains { "draining" } else { "ready" });
    let endpoint = site.servers[0].endpoint.id().to_owned();
    let deadline = Instant::now() + APPLY_TIME;
    let mut broken = Vec::new();
    for host in 0..site.gateways.len() {
        let target = format!("{prefix}x");
        while !is_in_force(site, host, &target, &endpoint, drains).await {
            if Instant::now() > deadline {
                let (kind, name) = (case.kind, case.name);
                broken.push(format!("{kind}, {name}: host {host} follows no more"));
                break;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
    site.store.remove(case.kind, "odd");
    broken
}

async fn play_all_cases() -> Vec<String> {
    let mut site = Site::start(2, 2).await;
    let mut broken = Vec::new();
    for (index, case) in cases().iter().enumerate() {
        broken.extend(play(&mut site, case, index).await);
    }
    for host in 0..site.gateways.len() {
        let log = site.read_log(host);
        let panics = log.lines().filter(|line| line.contains("panicked"));
        broken.extend(panics.map(|line| format!("host {host}: {line}")));
    }
    broken
}

// One object that cannot be read must not keep a host from all later changes of its kind.
#[test]
fn odd_object_of_another_writer_stops_all_news() {
    site::play_all([play_all_cases()].into_iter());
}
