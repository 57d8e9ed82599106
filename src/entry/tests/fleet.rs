//! Requests and tickets between entry hosts over real links.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use smol::io::{AsyncReadExt, AsyncWriteExt};

use crate::caller::Limits;
use crate::caller::fake::{self, Act, Upstream};
use crate::config::{Class, Link as ConfigLink, Revision, Shares, Zone};
use crate::ctl::keys;
use crate::entry::{Host, adopt, handover, lock, main};
use crate::id::{HostId, ServiceId};
use crate::member::{HostInfo, State};
use crate::peer::Link;
use crate::upstream;

/// Directory that is removed at the end
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Self {
        let name = format!("tanagerpier-entry-{:016x}", fastrand::u64(..));
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One entry host with its link and its caller port
pub struct Member {
    pub host: Arc<Host>,
    pub link: Link,
    pub port: SocketAddr,
}

impl Member {
    pub fn name(&self) -> &HostId {
        &self.host.settings.host
    }

    fn sees_live(&self, name: &str) -> bool {
        let view = lock(&self.host.view);
        let known = view.hosts().get(name);
        known.is_some_and(|known| known.state == State::Live && known.last_heard.is_some())
    }
}

/// Hosts that hear each other, by name and zone
pub async fn fleet(names: &[(&str, &str)], revision: &Revision) -> Vec<Member> {
    let members = strangers(names, revision).await;
    join(&members).await;
    members
}

/// Hosts that are listed and send no heartbeats yet
async fn strangers(names: &[(&str, &str)], revision: &Revision) -> Vec<Member> {
    let scratch = Scratch::new();
    let all: Vec<HostId> = names.iter().map(|(name, _)| (*name).into()).collect();
    keys::make(&scratch.0, &all).unwrap();
    let mut members = Vec::new();
    for (name, zone) in names {
        let free = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let settings = fake::settings(name, zone, free, &scratch.0);
        let link = Link::bind(&settings).unwrap();
        let host = Arc::new(Host::new(settings, upstream::Client::new()));
        host.apply(revision.clone());
        let port = fake::port(&host, Limits::default()).await;
        members.push(Member { host, link, port });
    }
    let listed: Vec<HostInfo> = members.iter().map(listed).collect();
    for member in &members {
        lock(&member.host.view).apply_list(Instant::now(), &listed);
        *lock(&member.host.link) = Some(member.link.clone());
    }
    members
}

async fn join(members: &[Member]) {
    for member in members {
        main::start_peer_tasks(&member.host, &member.link);
    }
    for member in members {
        let near = members.iter().filter(|other| {
            other.host.settings.zone == member.host.settings.zone && other.name() != member.name()
        });
        for other in near {
            fake::until("hosts hear each other", || member.sees_live(other.name())).await;
        }
    }
}

fn listed(member: &Member) -> HostInfo {
    let settings = &member.host.settings;
    HostInfo {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        peer: settings.peer,
        caller: member.port,
        operator: None,
        leaving: false,
    }
}

/// Answer to one request on a connection of its own
pub async fn ask(port: SocketAddr, text: &str) -> String {
    let mut stream = fake::connect(port).await;
    stream.write_all(text.as_bytes()).await.unwrap();
    fake::answer(&mut stream).await
}

/// Once-only request under a ticket of `issuer`
pub fn payment(issuer: &Member) -> String {
    let ticket = issuer.host.issue_ticket(&"portal".into());
    fake::post("/s/portal/pay", &format!("Pier-Ticket: {ticket}\r\n"), "20")
}

#[test]
fn a_host_starts_from_the_shares_of_a_zone_peer() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Slow(Duration::from_millis(1))).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = fleet(&[("a", "z1"), ("b", "z1"), ("c", "z2")], &revision).await;
        let [a, b, c] = &members[..] else {
            panic!("three hosts");
        };
        // in the midst of a shift, farther than a window may have brought it
        let shares = Shares::from([("z1".into(), 0.4), ("z2".into(), 0.6)]);
        let service = ServiceId::from("quiet");
        a.host.adopt_shares(vec![(service.clone(), shares.clone())]);
        for member in [b, c] {
            adopt::adopt_peer_shares(member.host.clone(), member.link.clone()).await;
        }
        let known = |host: &Host| {
            host.current_shares()
                .into_iter()
                .find(|(name, _)| *name == service)
        };
        assert_eq!(known(&b.host), Some((service.clone(), shares)));
        assert_eq!(known(&c.host), None, "other zones have other shares");
    });
}

#[test]
fn answers_keep_to_the_budget_of_a_link() {
    struct Case {
        name: &'static str,
        class: Class,
        budget: u64,
        least: Duration,
        second: &'static str,
    }
    let cases = [
        Case {
            name: "no budget to speak of",
            class: Class::Download,
            budget: 1 << 30,
            least: Duration::ZERO,
            second: "served",
        },
        Case {
            name: "a download is paced",
            class: Class::Download,
            budget: 300_000,
            least: Duration::from_millis(700),
            second: "served",
        },
        Case {
            name: "interactive requests are refused until the last answer is paid for",
            class: Class::Interactive,
            budget: 30_000,
            least: Duration::ZERO,
            second: "not-run",
        },
    ];
    smol::block_on(async {
        for case in cases {
            let upstream = Upstream::new(Act::Long(300_000)).await;
            let mut revision = fake::revision(&[&upstream], 3);
            let document = &mut revision.document;
            for (zone, region) in [("z1", "r1"), ("z2", "r2")] {
                let region = region.into();
                document.zones.insert(zone.into(), Zone { region });
            }
            let bytes_per_second = case.budget;
            document
                .links
                .insert("r1/r2".into(), ConfigLink { bytes_per_second });
            document.services.get_mut("portal").unwrap().class = case.class;
            let members = fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
            let start = Instant::now();
            // a budget starts empty
            let answer = loop {
                let answer = ask(members[1].port, &fake::get("/s/portal/pack")).await;
                if fake::header(&answer, "pier-outcome") == Some("served") {
                    break answer;
                }
            };
            assert!(answer.len() >= 300_000, "{}: whole", case.name);
            let took = start.elapsed();
            assert!(took >= case.least, "{}: took {took:?}", case.name);
            let second = ask(members[1].port, &fake::get("/s/portal/pack")).await;
            let outcome = fake::header(&second, "pier-outcome");
            assert_eq!(outcome, Some(case.second), "{}", case.name);
        }
    });
}

#[test]
fn one_ticket_runs_once_through_all_hosts() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Slow(Duration::from_millis(30))).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = fleet(&[("a", "z1"), ("b", "z1"), ("c", "z2")], &revision).await;
        let text = payment(&members[0]);
        let asked = members.iter().map(|member| {
            let (port, text) = (member.port, text.clone());
            smol::spawn(async move { ask(port, &text).await })
        });
        let asked: Vec<_> = asked.collect();
        let mut served = 0;
        for answer in asked {
            let answer = answer.await;
            match fake::header(&answer, "pier-outcome") {
                Some("served") => served += 1,
                outcome => assert_eq!(outcome, Some("unknown"), "{answer}"),
            }
        }
        assert_eq!((served, upstream.runs()), (1, 1));
        for member in &members {
            let again = ask(member.port, &text).await;
            assert!(again.ends_with("/pay"), "replayed: {again}");
        }
        assert_eq!(upstream.runs(), 1);
    });
}

#[test]
fn an_issuer_out_of_reach_is_never_not_run() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Echo).await;
        let revision = fake::revision(&[&upstream], 3);
        for joined in [true, false] {
            let members = strangers(&[("a", "z1"), ("c", "z2")], &revision).await;
            if joined {
                join(&members).await;
            }
            let text = payment(&members[0]);
            members[0].link.close().await;
            let answer = ask(members[1].port, &text).await;
            let outcome = fake::header(&answer, "pier-outcome");
            assert_eq!(outcome, Some("unknown"), "joined {joined}: {answer}");
            assert_eq!(fake::header(&answer, "pier-cause"), Some("no-issuer"));
            assert_eq!(fake::header(&answer, "retry-after"), Some("1"));
        }
        assert_eq!(upstream.runs(), 0);
    });
}

#[test]
fn a_lost_host_is_not_blamed_on_its_requests() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Hang).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        for number in 1..=2 {
            let mut stream = fake::connect(members[1].port).await;
            let text = fake::get("/s/portal/x");
            stream.write_all(text.as_bytes()).await.unwrap();
            if number == 1 {
                fake::until("it runs", || upstream.runs() == 1).await;
                members[0].link.close().await;
            }
            let answer = fake::answer(&mut stream).await;
            assert!(!answer.starts_with("HTTP/1.1 429 "), "{answer}");
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
fn answers_of_other_zones_are_whole_or_cut() {
    const LONG: usize = 3 << 20;
    struct Case {
        act: Act,
        whole: bool,
        length: usize,
    }
    let cases = [
        Case {
            act: Act::Long(LONG),
            whole: true,
            length: LONG,
        },
        Case {
            act: Act::Half,
            whole: false,
            length: 0,
        },
        Case {
            act: Act::HalfChunked,
            whole: false,
            length: 0,
        },
    ];
    smol::block_on(async {
        for case in cases {
            let upstream = Upstream::new(case.act).await;
            let revision = fake::revision(&[&upstream], 3);
            let members = fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
            let mut stream = fake::connect(members[1].port).await;
            let text = "GET /s/portal/abc HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
            stream.write_all(text.as_bytes()).await.unwrap();
            let answer = fake::rest(&mut stream).await;
            let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
            let whole = match fake::header(head, "content-length") {
                Some(length) => body.len() == length.parse::<usize>().unwrap(),
                None => body.ends_with("0\r\n\r\n"),
            };
            let served = head.starts_with("HTTP/1.1 200") && whole;
            assert_eq!(served, case.whole, "{:?}: {head}", case.act);
            if case.whole {
                assert_eq!(body.len(), case.length);
            }
        }
    });
}

#[test]
fn a_caller_that_goes_away_cancels_work_in_another_zone() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Hang).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        let mut stream = fake::connect(members[1].port).await;
        let text = fake::get("/s/portal/x");
        stream.write_all(text.as_bytes()).await.unwrap();
        fake::until("it runs", || upstream.runs() == 1).await;
        drop(stream);
        let cancelled = || upstream.cancelled.load(Ordering::SeqCst) == 1;
        fake::until("it is cancelled there", cancelled).await;
        fake::until("nothing runs", || {
            members.iter().all(|m| m.host.in_flight_count() == 0)
        })
        .await;
    });
}

#[test]
fn tickets_outlive_a_planned_stop() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Echo).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = fleet(&[("a", "z1"), ("b", "z1"), ("c", "z2")], &revision).await;
        let (old, fresh) = (payment(&members[0]), payment(&members[0]));
        assert!(ask(members[0].port, &old).await.ends_with("/pay"));
        members[0].host.begin_stop();
        let limit = Instant::now() + Duration::from_secs(5);
        handover::hand_over(&members[0].host, &members[0].link, limit).await;
        let answer = ask(members[0].port, &fresh).await;
        assert!(answer.ends_with("/pay"), "through the old holder: {answer}");
        assert_eq!(upstream.runs(), 2);
        for member in &members[1..] {
            for text in [&old, &fresh] {
                let answer = ask(member.port, text).await;
                assert!(answer.ends_with("/pay"), "{}: {answer}", member.name());
            }
        }
        assert_eq!(upstream.runs(), 2);
    });
}

#[test]
fn a_crashing_request_is_refused_after_two_deaths() {
    smol::block_on(async {
        let mut upstreams = Vec::new();
        for _ in 0..4 {
            upstreams.push(Upstream::new(Act::Die).await);
        }
        let revision = fake::revision(&upstreams.iter().collect::<Vec<_>>(), 3);
        let members = fleet(&[("a", "z1"), ("b", "z1")], &revision).await;
        let text = fake::get("/s/portal/crash");
        let mut last = String::new();
        for number in 0..8 {
            last = ask(members[number % 2].port, &text).await;
        }
        assert!(last.starts_with("HTTP/1.1 429 "), "{last}");
        assert_eq!(fake::header(&last, "pier-cause"), Some("quarantined"));
        let dead: usize = upstreams.iter().filter(|one| one.runs() > 0).count();
        assert!(dead <= 2, "{dead} upstreams lost");
        let other = ask(members[0].port, &fake::get("/s/portal/other")).await;
        assert!(!other.starts_with("HTTP/1.1 429 "), "{other}");
    });
}

/// A once-only answer may be read slowly without holding the run up for ever
#[test]
fn a_long_once_only_answer_is_whole() {
    const LONG: usize = 1 << 20;
    smol::block_on(async {
        let upstream = Upstream::new(Act::Long(LONG)).await;
        let revision = fake::revision(&[&upstream], 3);
        let members = fleet(&[("a", "z1"), ("c", "z2")], &revision).await;
        let text = payment(&members[0]);
        let mut stream = fake::connect(members[1].port).await;
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut head = vec![0; 64];
        stream.read_exact(&mut head).await.unwrap();
        assert!(head.starts_with(b"HTTP/1.1 200"));
        let mut total = 0;
        let mut buffer = vec![0; 1 << 16];
        while total < LONG {
            let read = fake::within(stream.read(&mut buffer), Ok(0)).await.unwrap();
            assert!(read > 0, "ended after {total}");
            total += read;
        }
        let again = ask(members[1].port, &text).await;
        assert_eq!(
            fake::header(&again, "pier-cause"),
            Some("broken"),
            "{again}"
        );
        assert_eq!(upstream.runs(), 1);
    });
}
