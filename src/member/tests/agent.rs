//! Tests of the membership agents of several hosts over real sockets.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::Timer;

use crate::member::{Agent, Hooks, HostInfo, State, View};
use crate::object;
use crate::peer::tests::{KeyDirectory, link, run_with_timeout};
use crate::peer::{Link, Traffic, UNUSED_TIMEOUT};

/// Interval at which a test checks the condition that it waits for
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Host of a test
struct TestHost {
    name: String,
    link: Link,
    view: Arc<Mutex<View>>,
    config_number: Arc<AtomicU64>,
}

impl TestHost {
    fn new(name: &str, directory: &KeyDirectory) -> Self {
        let link = link(name, directory);
        let view = View::new(Instant::now(), host_info(name, &link));
        Self {
            name: name.to_owned(),
            link,
            view: Arc::new(Mutex::new(view.with_incarnation(fastrand::u64(1..)))),
            config_number: Arc::default(),
        }
    }

    fn start(&self, seeds: &[&TestHost]) {
        let agent = Agent::new(
            self.link.clone(),
            self.view.clone(),
            hooks(self.config_number.clone()),
        );
        let agent = Arc::new(agent);
        let handler = agent.clone();
        let serve = self.link.clone().serve(move |exchange, first_frame, host| {
            let agent = handler.clone();
            agent.handle(exchange, first_frame, host)
        });
        smol::spawn(serve).detach();
        let seeds = seeds.iter().map(|seed| seed.info().peer).collect();
        smol::spawn(agent.run(object::Client::new(Vec::new()), seeds)).detach();
        smol::spawn(run_ticks(self.view.clone())).detach();
    }

    fn info(&self) -> HostInfo {
        host_info(&self.name, &self.link)
    }

    fn state_of(&self, name: &str) -> Option<State> {
        let view = self.view.lock().unwrap();
        view.hosts().get(name).map(|host| host.state)
    }

    fn receives_heartbeats_of(&self, name: &str) -> bool {
        let view = self.view.lock().unwrap();
        let last_heard = view.hosts().get(name).and_then(|host| host.last_heard);
        last_heard.is_some_and(|at| at.elapsed() < Duration::from_secs(1))
    }
}

/// Waits until each host receives heartbeats of all others
async fn until_connected(hosts: &[TestHost]) {
    let receives_all = |host: &TestHost| {
        hosts
            .iter()
            .filter(|other| other.name != host.name)
            .all(|other| host.receives_heartbeats_of(&other.name))
    };
    until(|| hosts.iter().all(receives_all)).await;
}

fn host_info(name: &str, link: &Link) -> HostInfo {
    let address = link
        .address()
        .expect("the link is bound to a local address");
    let (zone, _) = name
        .rsplit_once('-')
        .expect("host names have the form ZONE-NUMBER");
    HostInfo {
        host: name.into(),
        zone: zone.into(),
        peer: address,
        caller: address,
        operator: None,
        leaving: false,
    }
}

fn hooks(config_number: Arc<AtomicU64>) -> Hooks {
    let (own, sent, applied) = (config_number.clone(), config_number.clone(), config_number);
    Hooks {
        config_number: Box::new(move || own.load(Ordering::SeqCst)),
        config_update: Box::new(move |_| {
            Some(sent.load(Ordering::SeqCst).to_string().into_bytes())
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

async fn run_ticks(view: Arc<Mutex<View>>) {
    loop {
        Timer::after(Duration::from_millis(50)).await;
        view.lock().unwrap().tick(Instant::now());
    }
}

/// Waits until a condition is true; returns how long that took
async fn until(mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        Timer::after(POLL_INTERVAL).await;
    }
    start.elapsed()
}

fn test_hosts(names: &[&str], directory: &KeyDirectory) -> Vec<TestHost> {
    let new_host = |name: &&str| TestHost::new(name, directory);
    names.iter().map(new_host).collect()
}

/// Gives a list of all hosts to one of them
fn send_list(hosts: &[TestHost], receiver: &TestHost) {
    let list: Vec<HostInfo> = hosts.iter().map(TestHost::info).collect();
    receiver
        .view
        .lock()
        .unwrap()
        .apply_list(Instant::now(), &list);
}

#[test]
fn host_with_one_seed_discovers_its_zone_and_the_configuration() {
    let names = ["a-1", "a-2", "a-3", "b-1"];
    let directory = KeyDirectory::new(&names);
    run_with_timeout(async {
        let hosts = test_hosts(&names, &directory);
        for running in &hosts[1..] {
            running.start(&[]);
            send_list(&hosts, running);
        }
        hosts[2].config_number.store(7, Ordering::SeqCst);
        let joining = &hosts[0];
        joining.start(&[&hosts[1]]);
        let has_joined = || {
            joining.config_number.load(Ordering::SeqCst) == 7
                && joining.receives_heartbeats_of("a-2")
                && joining.receives_heartbeats_of("a-3")
        };
        let elapsed = until(has_joined).await;
        assert!(
            elapsed < Duration::from_secs(2),
            "discovery took {elapsed:?}"
        );
        until(|| hosts[3].config_number.load(Ordering::SeqCst) == 7).await;
        until(|| hosts[1].state_of("a-1") == Some(State::Live)).await;
        assert_eq!(joining.state_of("b-1"), Some(State::Live));
    });
}

#[test]
fn silent_host_is_detected_as_dead() {
    let names = ["a-1", "a-2", "a-3"];
    let directory = KeyDirectory::new(&names);
    run_with_timeout(async {
        let hosts = test_hosts(&names, &directory);
        for host in &hosts {
            send_list(&hosts, host);
            host.start(&[]);
        }
        until_connected(&hosts).await;
        hosts[2].link.close().await;
        let detected_dead = |host: &TestHost| host.state_of("a-3") == Some(State::Dead);
        let elapsed = until(|| hosts[..2].iter().all(detected_dead)).await;
        assert!(
            elapsed < Duration::from_millis(2800),
            "detection took {elapsed:?}"
        );
        assert_eq!(hosts[0].state_of("a-2"), Some(State::Live));
    });
}

/// Resources that each host of a zone uses per second
#[derive(Debug, Default)]
struct Cost {
    /// Bytes sent and received, headers included
    bytes_per_second: f64,
    /// Packets sent
    packets_per_second: f64,
    /// Ratio of one core
    core_ratio: f64,
}

async fn measure_cost(host_count: usize, settle_time: Duration, window: Duration) -> Cost {
    let names: Vec<String> = (0..host_count).map(|n| format!("a-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let directory = KeyDirectory::new(&names);
    let hosts = test_hosts(&names, &directory);
    for host in &hosts {
        send_list(&hosts, host);
        host.start(&[]);
    }
    until_connected(&hosts).await;
    Timer::after(settle_time).await;
    let before: Vec<Traffic> = hosts.iter().map(|host| host.link.traffic()).collect();
    let (start, cpu_before) = (Instant::now(), cpu_time());
    Timer::after(window).await;
    let host_seconds = start.elapsed().as_secs_f64() * host_count as f64;
    let cpu_used = cpu_time() - cpu_before;
    let after = hosts.iter().map(|host| host.link.traffic());
    let mut cost = Cost {
        core_ratio: cpu_used.as_secs_f64() / host_seconds,
        ..Cost::default()
    };
    for (after, before) in after.zip(before) {
        let bytes = after.sent - before.sent + after.received - before.received;
        cost.bytes_per_second += bytes as f64 / host_seconds;
        cost.packets_per_second += (after.packets - before.packets) as f64 / host_seconds;
    }
    for host in &hosts {
        host.link.close().await;
    }
    cost
}

/// Returns the CPU time of this process, with a resolution of 10 ms
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("/proc/self/stat exists on Linux");
    let (_, fields) = stat
        .rsplit_once(')')
        .expect("the command name ends with a parenthesis");
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks = times.map(|field| field.parse::<u64>().expect("CPU times are numbers"));
    Duration::from_millis(10 * ticks.sum::<u64>())
}

#[test]
#[ignore = "prints the cost of heartbeats for docs/design/membership.md"]
fn cost_of_heartbeats() {
    let settle_time = UNUSED_TIMEOUT + UNUSED_TIMEOUT / 2;
    for host_count in [2, 12, 36] {
        let cost = smol::block_on(measure_cost(
            host_count,
            settle_time,
            Duration::from_secs(10),
        ));
        let Cost {
            bytes_per_second,
            packets_per_second,
            core_ratio,
        } = cost;
        let percent = core_ratio * 100.0;
        println!(
            "| {host_count} | {bytes_per_second:.0} | {packets_per_second:.1} | {percent:.2} % |"
        );
    }
}

#[test]
fn heartbeat_traffic_stays_within_budget_at_target_size() {
    let budget_bytes_per_second = 22_000.0;
    let (measured_hosts, target_hosts) = (6, 36);
    run_with_timeout(async {
        let cost = measure_cost(
            measured_hosts,
            Duration::from_secs(2),
            Duration::from_secs(3),
        )
        .await;
        let per_peer = cost.bytes_per_second / (measured_hosts - 1) as f64;
        let at_target = per_peer * (target_hosts - 1) as f64;
        assert!(
            at_target < budget_bytes_per_second,
            "{at_target:.0} bytes per second"
        );
    });
}
