//! Tests of requests and tickets between entry hosts over real links.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use smol::io::{AsyncReadExt, AsyncWriteExt};

use crate::caller::Limits;
use crate::caller::fake::{self, Behavior, Upstream};
use crate::config::{Class, Link as ConfigLink, Revision, Shares, Zone};
use crate::ctl::keys;
use crate::entry::{Host, adopt, handover, lock, main};
use crate::id::{HostId, ServiceId};
use crate::member::{HostInfo, State};
use crate::peer::Link;
use crate::upstream;

/// Temporary directory that is removed on drop
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> Self {
        let name = format!("tanagerpier-entry-{:016x}", fastrand::u64(..));
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Entry host with its link and its caller port
pub struct Member {
    pub host: Arc<Host>,
    pub link: Link,
    pub port: SocketAddr,
}

impl Member {
    pub fn name(&self) -> &HostId {
        &self.host.settings.host
    }

    fn has_received_heartbeat(&self, name: &str) -> bool {
        let view = lock(&self.host.view);
        let host = view.hosts().get(name);
        host.is_some_and(|host| host.state == State::Live && host.last_heard.is_some())
    }
}

/// Starts hosts by name and zone and waits until the hosts of a zone receive each other's heartbeats
pub async fn start_fleet(names: &[(&str, &str)], revision: &Revision) -> Vec<Member> {
    let members = create_members(names, revision).await;
    join(&members).await;
    members
}

/// Creates hosts that are listed to each other but send no heartbeats yet
async fn create_members(names: &[(&str, &str)], revision: &Revision) -> Vec<Member> {
    let key_directory = TempDir::new();
    let host_names: Vec<HostId> = names.iter().map(|(name, _)| (*name).into()).collect();
    keys::generate(&key_directory.0, &host_names).unwrap();
    let mut members = Vec::new();
    for (name, zone) in names {
        let peer_address = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let settings = fake::settings(name, zone, peer_address, &key_directory.0);
        let link = Link::bind(&settings).unwrap();
        let host = Arc::new(Host::new(settings, upstream::Client::new()));
        host.apply(revision.clone());
        let port = fake::serve_callers(&host, Limits::default()).await;
        members.push(Member { host, link, port });
    }
    let infos: Vec<HostInfo> = members.iter().map(host_info).collect();
    for member in &members {
        lock(&member.host.view).apply_list(Instant::now(), &infos);
        *lock(&member.host.link) = Some(member.link.clone());
    }
    members
}

async fn join(members: &[Member]) {
    for member in members {
        main::start_peer_tasks(&member.host, &member.link);
    }
    for member in members {
        let zone_peers = members.iter().filter(|other| {
            other.host.settings.zone == member.host.settings.zone && other.name() != member.name()
        });
        for other in zone_peers {
            fake::wait_until("hosts receive each other's heartbeats", || {
                member.has_received_heartbeat(other.name())
            })
            .await;
        }
    }
}

fn host_info(member: &Member) -> HostInfo {
    let settings = &member.host.settings;
    HostInfo {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        peer: settings.peer_address,
        caller: member.port,
        operator: None,
        leaving: false,
    }
}

/// Sends a request on a new connection; returns the response
pub async fn send_request(port: SocketAddr, text: &str) -> String {
    let mut stream = fake::connect(port).await;
    stream.write_all(text.as_bytes()).await.unwrap();
    fake::read_response(&mut stream).await
}

/// Creates a once-only request with a new ticket of `issuer`
pub fn once_only_request(issuer: &Member) -> String {
    let ticket = issuer.host.issue_ticket(&"portal".into());
    fake::post("/s/portal/pay", &format!("Pier-Ticket: {ticket}\r\n"), "20")
}

#[test]
fn adopts_the_shares_of_a_zone_peer_at_start() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(1))).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("b", "z1"), ("c", "z2")], &revision).await;
        let [a, b, c] = &members[..] else {
            panic!("expected three hosts");
        };
        // Within a shift, further than the cap of one window allows.
        let shares = Shares::from([("z1".into(), 0.4), ("z2".into(), 0.6)]);
        let service = ServiceId::from("quiet");
        a.host.adopt_shares(vec![(service.clone(), shares.clone())]);
        for member in [b, c] {
            adopt::adopt_peer_shares(member.host.clone(), member.link.clone()).await;
        }
        let adopted = |host: &Host| {
            host.current_shares()
                .into_iter()
                .find(|(name, _)| *name == service)
        };
        assert_eq!(adopted(&b.host), Some((service.clone(), shares)));
        assert_eq!(adopted(&c.host), None, "shares differ between zones");
    });
}

#[test]
fn limits_responses_to_the_link_budget() {
    struct Case {
        name: &'static str,
        class: Class,
        bytes_per_second: u64,
        min_duration: Duration,
        second_outcome: &'static str,
    }
    let cases = [
        Case {
            name: "the budget is larger than the response",
            class: Class::Download,
            bytes_per_second: 1 << 30,
            min_duration: Duration::ZERO,
            second_outcome: "served",
        },
        Case {
            name: "a download is paced",
            class: Class::Download,
            bytes_per_second: 300_000,
            min_duration: Duration::from_millis(700),
            second_outcome: "served",
        },
        Case {
            name: "interactive requests are refused until the budget covers the last response",
            class: Class::Interactive,
            bytes_per_second: 30_000,
            min_duration: Duration::ZERO,
            second_outcome: "not-run",
        },
    ];
    smol::block_on(async {
        for case in cases {
            let upstream = Upstream::new(Behavior::Large(300_000)).await;
            let mut revision = fake::revision(&[&upstream], 3);
            let document = &mut revision.document;
            for (zone, region) in [("z1", "r1"), ("z2", "r2")] {
                let region = region.into();
                document.zones.insert(zone.into(), Zone { region });
            }
            let bytes_per_second = case.bytes_per_second;
            document
                .links
                .insert("r1/r2".into(), ConfigLink { bytes_per_second });
            document.services.get_mut("portal").unwrap().class = case.class;
            let members = start_fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
            let start = Instant::now();
            // The budget starts empty, so the first requests may be refused.
            let response = loop {
                let response = send_request(members[1].port, &fake::get("/s/portal/pack")).await;
                if fake::header(&response, "pier-outcome") == Some("served") {
                    break response;
                }
            };
            assert!(
                response.len() >= 300_000,
                "{}: response is incomplete",
                case.name
            );
            let duration = start.elapsed();
            assert!(
                duration >= case.min_duration,
                "{}: took {duration:?}",
                case.name
            );
            let second_response = send_request(members[1].port, &fake::get("/s/portal/pack")).await;
            let outcome = fake::header(&second_response, "pier-outcome");
            assert_eq!(outcome, Some(case.second_outcome), "{}", case.name);
        }
    });
}

#[test]
fn runs_a_ticket_once_through_all_hosts() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Slow(Duration::from_millis(30))).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("b", "z1"), ("c", "z2")], &revision).await;
        let text = once_only_request(&members[0]);
        let requests = members.iter().map(|member| {
            let (port, text) = (member.port, text.clone());
            smol::spawn(async move { send_request(port, &text).await })
        });
        let requests: Vec<_> = requests.collect();
        let mut served = 0;
        for request in requests {
            let response = request.await;
            match fake::header(&response, "pier-outcome") {
                Some("served") => served += 1,
                outcome => assert_eq!(outcome, Some("unknown"), "{response}"),
            }
        }
        assert_eq!((served, upstream.request_count()), (1, 1));
        for member in &members {
            let replay = send_request(member.port, &text).await;
            assert!(
                replay.ends_with("/pay"),
                "expected the stored response: {replay}"
            );
        }
        assert_eq!(upstream.request_count(), 1);
    });
}

#[test]
fn reports_an_unreachable_issuer_as_unknown() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let revision = fake::revision(&[&upstream], 3);
        for joined in [true, false] {
            let members = create_members(&[("a", "z1"), ("c", "z2")], &revision).await;
            if joined {
                join(&members).await;
            }
            let text = once_only_request(&members[0]);
            members[0].link.close().await;
            let response = send_request(members[1].port, &text).await;
            let outcome = fake::header(&response, "pier-outcome");
            assert_eq!(outcome, Some("unknown"), "joined {joined}: {response}");
            assert_eq!(fake::header(&response, "pier-cause"), Some("no-issuer"));
            assert_eq!(fake::header(&response, "retry-after"), Some("1"));
        }
        assert_eq!(upstream.request_count(), 0);
    });
}

#[test]
fn does_not_quarantine_requests_of_a_lost_host() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Hang).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        for number in 1..=2 {
            let mut stream = fake::connect(members[1].port).await;
            let text = fake::get("/s/portal/x");
            stream.write_all(text.as_bytes()).await.unwrap();
            if number == 1 {
                fake::wait_until("the request runs", || upstream.request_count() == 1).await;
                members[0].link.close().await;
            }
            let response = fake::read_response(&mut stream).await;
            assert!(!response.starts_with("HTTP/1.1 429 "), "{response}");
        }
        assert_eq!(
            lock(&members[1].host.quarantine)
                .excluded_endpoints(request_key())
                .len(),
            0
        );
    });
}

fn request_key() -> u64 {
    crate::quarantine::key("portal", "GET", "/x", b"")
}

#[test]
fn delivers_responses_of_other_zones_completely_or_cuts_them_off() {
    const BODY_BYTES: usize = 3 << 20;
    struct Case {
        act: Behavior,
        is_complete: bool,
        length: usize,
    }
    let cases = [
        Case {
            act: Behavior::Large(BODY_BYTES),
            is_complete: true,
            length: BODY_BYTES,
        },
        Case {
            act: Behavior::Truncated,
            is_complete: false,
            length: 0,
        },
        Case {
            act: Behavior::TruncatedChunked,
            is_complete: false,
            length: 0,
        },
    ];
    smol::block_on(async {
        for case in cases {
            let upstream = Upstream::new(case.act).await;
            let revision = fake::revision(&[&upstream], 3);
            let members = start_fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
            let mut stream = fake::connect(members[1].port).await;
            let text = "GET /s/portal/abc HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
            stream.write_all(text.as_bytes()).await.unwrap();
            let response = fake::read_to_end(&mut stream).await;
            let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
            let is_complete = match fake::header(head, "content-length") {
                Some(length) => body.len() == length.parse::<usize>().unwrap(),
                None => body.ends_with("0\r\n\r\n"),
            };
            let served = head.starts_with("HTTP/1.1 200") && is_complete;
            assert_eq!(served, case.is_complete, "{:?}: {head}", case.act);
            if case.is_complete {
                assert_eq!(body.len(), case.length);
            }
        }
    });
}

#[test]
fn cancels_a_request_in_another_zone_when_its_caller_disconnects() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Hang).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        let mut stream = fake::connect(members[1].port).await;
        let text = fake::get("/s/portal/x");
        stream.write_all(text.as_bytes()).await.unwrap();
        fake::wait_until("the request runs", || upstream.request_count() == 1).await;
        drop(stream);
        let is_cancelled = || upstream.cancelled.load(Ordering::SeqCst) == 1;
        fake::wait_until("the upstream request is cancelled", is_cancelled).await;
        fake::wait_until("no request is in flight", || {
            members
                .iter()
                .all(|member| member.host.in_flight_count() == 0)
        })
        .await;
    });
}

#[test]
fn keeps_tickets_valid_after_a_planned_stop() {
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("b", "z1"), ("c", "z2")], &revision).await;
        let (used, unused) = (
            once_only_request(&members[0]),
            once_only_request(&members[0]),
        );
        assert!(send_request(members[0].port, &used).await.ends_with("/pay"));
        members[0].host.begin_stop();
        let deadline = Instant::now() + Duration::from_secs(5);
        handover::hand_over(&members[0].host, &members[0].link, deadline).await;
        let response = send_request(members[0].port, &unused).await;
        assert!(
            response.ends_with("/pay"),
            "through the previous holder: {response}"
        );
        assert_eq!(upstream.request_count(), 2);
        for member in &members[1..] {
            for text in [&used, &unused] {
                let response = send_request(member.port, text).await;
                assert!(response.ends_with("/pay"), "{}: {response}", member.name());
            }
        }
        assert_eq!(upstream.request_count(), 2);
    });
}

#[test]
fn refuses_a_request_after_two_crashes() {
    smol::block_on(async {
        let mut upstreams = Vec::new();
        for _ in 0..4 {
            upstreams.push(Upstream::new(Behavior::Disconnect).await);
        }
        let revision = fake::revision(&upstreams.iter().collect::<Vec<_>>(), 3);
        let members = start_fleet(&[("a", "z1"), ("b", "z1")], &revision).await;
        let text = fake::get("/s/portal/crash");
        let mut last_response = String::new();
        for number in 0..8 {
            last_response = send_request(members[number % 2].port, &text).await;
        }
        assert!(
            last_response.starts_with("HTTP/1.1 429 "),
            "{last_response}"
        );
        assert_eq!(
            fake::header(&last_response, "pier-cause"),
            Some("quarantined")
        );
        let crashed: usize = upstreams
            .iter()
            .filter(|upstream| upstream.request_count() > 0)
            .count();
        assert!(crashed <= 2, "{crashed} upstreams crashed");
        let other = send_request(members[0].port, &fake::get("/s/portal/other")).await;
        assert!(!other.starts_with("HTTP/1.1 429 "), "{other}");
    });
}

/// Guards against a once-only run that stalls when its caller slowly reads a response that is too
/// long to store
#[test]
fn delivers_a_long_once_only_response_completely() {
    const BODY_BYTES: usize = 1 << 20;
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Large(BODY_BYTES)).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = start_fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        let text = once_only_request(&members[0]);
        let mut stream = fake::connect(members[1].port).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut head = vec![0; 64];
        stream.read_exact(&mut head).await.unwrap();
        assert!(head.starts_with(b"HTTP/1.1 200"));
        let mut total = 0;
        let mut buffer = vec![0; 1 << 16];
        while total < BODY_BYTES {
            let read = fake::with_timeout(stream.read(&mut buffer), Ok(0))
                .await
                .unwrap();
            assert!(read > 0, "ended after {total} bytes");
            total += read;
        }
        let repeated = send_request(members[1].port, &text).await;
        assert_eq!(
            fake::header(&repeated, "pier-cause"),
            Some("broken"),
            "{repeated}"
        );
        assert_eq!(upstream.request_count(), 1);
    });
}
