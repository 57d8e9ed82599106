//! Agents of several hosts over real sockets.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;

use crate::member::{Agent, Hooks, HostInfo, State, View};
use crate::object;
use crate::peer::tests::{Directory, link, run};
use crate::peer::{Link, Traffic, UNUSED};

/// Time between two looks at what a test waits for
const LOOK: Duration = Duration::from_millis(20);

/// One host of a test
struct Member {
    name: String,
    link: Link,
    view: Arc<Mutex<View>>,
    number: Arc<AtomicU64>,
}

impl Member {
    fn new(name: &str, directory: &Directory) -> Self {
        let link = link(name, directory);
        let view = View::new(Instant::now(), entry(name, &link));
        Self {
            name: name.to_owned(),
            link,
            view: Arc::new(Mutex::new(view.with_incarnation(fastrand::u64(1..)))),
            number: Arc::default(),
        }
    }

    fn start(&self, seeds: &[&Member]) {
        let agent = Agent::new(
            self.link.clone(),
            self.view.clone(),
            hooks(self.number.clone()),
        );
        let agent = Arc::new(agent);
        let answering = agent.clone();
        let serve = self.link.clone().serve(move |exchange, first, host| {
            let agent = answering.clone();
            agent.handle(exchange, first, host)
        });
        smol::spawn(serve).detach();
        let seeds = seeds.iter().map(|seed| seed.entry().peer).collect();
        smol::spawn(agent.run(object::Client::new(Vec::new()), seeds)).detach();
        smol::spawn(clock(self.view.clone())).detach();
    }

    fn entry(&self) -> HostInfo {
        entry(&self.name, &self.link)
    }

    fn sees(&self, name: &str) -> Option<State> {
        let view = self.view.lock().unwrap();
        view.hosts().get(name).map(|host| host.state)
    }

    fn hears(&self, name: &str) -> bool {
        let view = self.view.lock().unwrap();
        let heard = view.hosts().get(name).and_then(|host| host.last_heard);
        heard.is_some_and(|heard| heard.elapsed() < Duration::from_secs(1))
    }
}

/// Wait until each of the members hears all others
async fn until_heard(members: &[Member]) {
    let others = |member: &Member| {
        members
            .iter()
            .filter(|other| other.name != member.name)
            .all(|other| member.hears(&other.name))
    };
    until(|| members.iter().all(others)).await;
}

fn entry(name: &str, link: &Link) -> HostInfo {
    let address = link.address().expect("it is bound");
    let (zone, _) = name.rsplit_once('-').expect("names are ZONE-NUMBER");
    HostInfo {
        host: name.into(),
        zone: zone.into(),
        peer: address,
        caller: address,
        operator: None,
        leaving: false,
    }
}

fn hooks(number: Arc<AtomicU64>) -> Hooks {
    let (own, told, applied) = (number.clone(), number.clone(), number);
    Hooks {
        config_number: Box::new(move || own.load(Ordering::SeqCst)),
        config_update: Box::new(move |_| {
            Some(told.load(Ordering::SeqCst).to_string().into_bytes())
        }),
        apply_config: Box::new(move |bytes| {
            let number = String::from_utf8(bytes).unwrap().parse().unwrap();
            applied.fetch_max(number, Ordering::SeqCst);
            true
        }),
        quarantined_keys: Box::new(Vec::new),
        add_quarantined_keys: Box::new(drop),
        taken_over: Box::new(Vec::new),
        count_control_bytes: Box::new(drop),
    }
}

async fn clock(view: Arc<Mutex<View>>) {
    loop {
        Timer::after(Duration::from_millis(50)).await;
        view.lock().unwrap().tick(Instant::now());
    }
}

async fn until(mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        Timer::after(LOOK).await;
    }
    start.elapsed()
}

fn members(names: &[&str], directory: &Directory) -> Vec<Member> {
    let new = |name: &&str| Member::new(name, directory);
    names.iter().map(new).collect()
}

fn list(members: &[Member], to: &Member) {
    let listed: Vec<HostInfo> = members.iter().map(Member::entry).collect();
    to.view.lock().unwrap().apply_list(Instant::now(), &listed);
}

#[test]
fn a_host_that_knows_one_address_finds_its_zone_and_the_configuration() {
    let names = ["a-1", "a-2", "a-3", "b-1"];
    let directory = Directory::new(&names);
    run(async {
        let members = members(&names, &directory);
        for old in &members[1..] {
            old.start(&[]);
            list(&members, old);
        }
        members[2].number.store(7, Ordering::SeqCst);
        let new = &members[0];
        new.start(&[&members[1]]);
        let knows =
            || new.number.load(Ordering::SeqCst) == 7 && new.hears("a-2") && new.hears("a-3");
        let took = until(knows).await;
        assert!(took < Duration::from_secs(2), "took {took:?}");
        until(|| members[3].number.load(Ordering::SeqCst) == 7).await;
        until(|| members[1].sees("a-1") == Some(State::Live)).await;
        assert_eq!(new.sees("b-1"), Some(State::Live));
    });
}

#[test]
fn a_host_that_falls_silent_is_found_dead() {
    let names = ["a-1", "a-2", "a-3"];
    let directory = Directory::new(&names);
    run(async {
        let members = members(&names, &directory);
        for member in &members {
            list(&members, member);
            member.start(&[]);
        }
        until_heard(&members).await;
        members[2].link.close().await;
        let found = |member: &Member| member.sees("a-3") == Some(State::Dead);
        let took = until(|| members[..2].iter().all(found)).await;
        assert!(took < Duration::from_millis(2800), "took {took:?}");
        assert_eq!(members[0].sees("a-2"), Some(State::Live));
    });
}

/// What each host of one zone uses in a second
#[derive(Debug, Default)]
struct Cost {
    /// Bytes sent and received, headers included
    bytes: f64,
    /// Packets sent
    packets: f64,
    /// Part of a core
    core: f64,
}

async fn cost(count: usize, settle: Duration, window: Duration) -> Cost {
    let names: Vec<String> = (0..count).map(|n| format!("a-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let directory = Directory::new(&names);
    let members = members(&names, &directory);
    for member in &members {
        list(&members, member);
        member.start(&[]);
    }
    until_heard(&members).await;
    Timer::after(settle).await;
    let before: Vec<Traffic> = members.iter().map(|m| m.link.traffic()).collect();
    let (start, busy) = (Instant::now(), processor_time());
    Timer::after(window).await;
    let all = start.elapsed().as_secs_f64() * count as f64;
    let busy = processor_time() - busy;
    let after = members.iter().map(|m| m.link.traffic());
    let mut cost = Cost {
        core: busy.as_secs_f64() / all,
        ..Cost::default()
    };
    for (after, before) in after.zip(before) {
        let bytes = after.sent - before.sent + after.received - before.received;
        cost.bytes += bytes as f64 / all;
        cost.packets += (after.packets - before.packets) as f64 / all;
    }
    for member in &members {
        member.link.close().await;
    }
    cost
}

/// Processor time of this process in steps of 10 ms
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("it is always there");
    let (_, fields) = stat.rsplit_once(')').expect("the name is in brackets");
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks = times.map(|field| field.parse::<u64>().expect("it is a number"));
    Duration::from_millis(10 * ticks.sum::<u64>())
}

#[test]
#[ignore = "prints the cost of heartbeats for docs/design/membership.md"]
fn cost_of_heartbeats() {
    let settle = UNUSED + UNUSED / 2;
    for count in [2, 12, 36] {
        let cost = smol::block_on(cost(count, settle, Duration::from_secs(10)));
        let Cost {
            bytes,
            packets,
            core,
        } = cost;
        let percent = core * 100.0;
        println!("| {count} | {bytes:.0} | {packets:.1} | {percent:.2} % |");
    }
}

#[test]
fn heartbeats_of_a_zone_stay_within_the_budget_at_target() {
    let budget = 22_000.0;
    let (hosts, target) = (6, 36);
    run(async {
        let cost = cost(hosts, Duration::from_secs(2), Duration::from_secs(3)).await;
        let each = cost.bytes / (hosts - 1) as f64;
        let at_target = each * (target - 1) as f64;
        assert!(at_target < budget, "{at_target:.0} bytes a second");
    });
}
