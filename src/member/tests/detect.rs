//! Tests of failure detection: detection time and false positives by heartbeat interval and packet
//! loss.

use std::time::{Duration, Instant};

use fastrand::Rng;

use super::{heartbeat, host_info};
use crate::member::{Event, HEARTBEAT_INTERVAL, HostInfo, View};

/// Interval between ticks of the view
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Initial retransmission timeout of a lost packet
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(40);

/// Network delay between two hosts of a zone or region
const NETWORK_DELAY: Duration = Duration::from_millis(2);

/// How heartbeats are sent
#[derive(Clone, Copy, Debug, PartialEq)]
enum Transport {
    /// A lost heartbeat is not sent again
    Datagram,
    /// A lost heartbeat is sent again and delays the following ones
    Stream,
}

/// Parameters of a simulation
#[derive(Clone, Copy)]
struct Scenario {
    transport: Transport,
    interval: Duration,
    loss_ratio: f64,
    host_count: usize,
    hours: f64,
}

/// Result of a simulation
#[derive(Debug)]
struct Detection {
    /// Live hosts declared dead per hour by one host
    false_positives_per_hour: f64,
    /// 99th percentile of the detection time of a dead host
    p99_time: Duration,
}

/// Simulated sender of heartbeats
struct Sender {
    next_send: Duration,
    /// Arrival times of the heartbeats in transit
    arrivals: Vec<Duration>,
    last_arrival: Duration,
    dead_since: Option<Duration>,
}

/// Returns when a heartbeat arrives; `None` if it is lost
fn arrival_time(scenario: &Scenario, rng: &mut Rng, sent_at: Duration) -> Option<Duration> {
    let mut arrival = sent_at;
    let mut timeout = RETRANSMISSION_TIMEOUT;
    while rng.f64() < scenario.loss_ratio {
        if scenario.transport == Transport::Datagram {
            return None;
        }
        arrival += timeout;
        timeout *= 2;
    }
    Some(arrival + NETWORK_DELAY)
}

/// Simulates one host that receives heartbeats of the others
///
/// About every 7 s one of the others dies and returns after 5 s.
fn simulate(scenario: Scenario, seed: u64) -> Detection {
    let mut rng = Rng::with_seed(seed);
    let start = Instant::now();
    let names: Vec<String> = (0..scenario.host_count).map(|n| format!("a-{n}")).collect();
    let list: Vec<HostInfo> = names.iter().map(|name| host_info(name)).collect();
    let mut view = View::new(start, host_info(&names[0]));
    view.apply_list(start, &list);
    let mut senders: Vec<Sender> = (1..scenario.host_count)
        .map(|_| Sender {
            next_send: scenario.interval.mul_f64(rng.f64()),
            arrivals: Vec::new(),
            last_arrival: Duration::ZERO,
            dead_since: None,
        })
        .collect();
    let end = Duration::from_secs_f64(scenario.hours * 3600.0);
    let (mut false_positives, mut detection_times, mut now) = (0, Vec::new(), Duration::ZERO);
    let mut next_death = Duration::from_secs(5);
    while now < end {
        now += TICK_INTERVAL;
        if now > next_death {
            let victim = rng.usize(..senders.len());
            senders[victim].dead_since = Some(next_death);
            next_death += Duration::from_secs(7) + TICK_INTERVAL.mul_f64(rng.f64());
        }
        for (sender, name) in senders.iter_mut().zip(&names[1..]) {
            while sender.next_send <= now {
                let is_alive = sender
                    .dead_since
                    .is_none_or(|dead_since| sender.next_send < dead_since);
                if is_alive
                    && let Some(arrival) = arrival_time(&scenario, &mut rng, sender.next_send)
                {
                    sender.last_arrival = sender.last_arrival.max(arrival);
                    sender.arrivals.push(sender.last_arrival);
                }
                sender.next_send += scenario.interval;
            }
            for arrival in sender.arrivals.extract_if(.., |arrival| *arrival <= now) {
                view.record_heartbeat(start + arrival, &heartbeat(name, 5));
            }
        }
        for event in view.tick(start + now) {
            let Event::Died(host) = event else { continue };
            let index = names
                .iter()
                .position(|name| *name == host)
                .expect("the view contains only listed hosts");
            match senders[index - 1].dead_since {
                Some(dead_since) => detection_times.push(now - dead_since),
                None => false_positives += 1,
            }
        }
        for sender in &mut senders {
            let has_returned = |dead_since: &Duration| now - *dead_since > Duration::from_secs(5);
            sender.dead_since = sender
                .dead_since
                .filter(|dead_since| !has_returned(dead_since));
        }
    }
    detection_times.sort();
    let rank = (detection_times.len() * 99).div_ceil(100).saturating_sub(1);
    Detection {
        false_positives_per_hour: f64::from(false_positives) / scenario.hours,
        p99_time: detection_times[rank],
    }
}

#[test]
fn dead_hosts_are_detected_in_time_without_false_positives() {
    struct Case {
        transport: Transport,
        loss_ratio: f64,
        meets_targets: bool,
    }
    let cases = [
        Case {
            transport: Transport::Stream,
            loss_ratio: 0.0,
            meets_targets: true,
        },
        Case {
            transport: Transport::Stream,
            loss_ratio: 0.1,
            meets_targets: true,
        },
        Case {
            transport: Transport::Datagram,
            loss_ratio: 0.0,
            meets_targets: true,
        },
        Case {
            transport: Transport::Datagram,
            loss_ratio: 0.1,
            meets_targets: false,
        },
    ];
    for case in cases {
        let scenario = Scenario {
            transport: case.transport,
            interval: HEARTBEAT_INTERVAL,
            loss_ratio: case.loss_ratio,
            host_count: 36,
            hours: 3.0,
        };
        let result = simulate(scenario, 42);
        let description = format!("{:?}, loss {}: {result:?}", case.transport, case.loss_ratio);
        println!("{description}");
        let in_time = result.p99_time < Duration::from_millis(2500);
        assert_eq!(
            in_time && result.false_positives_per_hour < 1.0,
            case.meets_targets,
            "{description}"
        );
    }
}

#[test]
#[ignore = "prints the table of docs/design/membership.md"]
fn table_by_interval_and_loss() {
    for transport in [Transport::Datagram, Transport::Stream] {
        for interval in [250, 500, 1000] {
            for loss_ratio in [0.0, 0.01, 0.1, 0.3] {
                let scenario = Scenario {
                    transport,
                    interval: Duration::from_millis(interval),
                    loss_ratio,
                    host_count: 36,
                    hours: 3.0,
                };
                let Detection {
                    false_positives_per_hour,
                    p99_time,
                } = simulate(scenario, 42);
                println!(
                    "| {transport:?} | {interval} ms | {loss_ratio} | {false_positives_per_hour:.2} | {p99_time:.1?} |"
                );
            }
        }
    }
}
