//! Time to detect a dead host, and hosts wrongly taken for dead, by heartbeat interval and loss.

use std::time::{Duration, Instant};

use fastrand::Rng;

use super::{beat, listed};
use crate::member::{Event, HEARTBEAT_INTERVAL, HostInfo, View};

/// Interval at which a view is ticked
const TICK: Duration = Duration::from_millis(100);

/// First wait before a lost packet is sent again
const PROBE: Duration = Duration::from_millis(40);

/// Delay between two hosts of a zone or region
const DELAY: Duration = Duration::from_millis(2);

/// How heartbeats travel
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Lost ones are gone
    Datagram,
    /// Lost ones are sent again, later ones wait for them
    Stream,
}

#[derive(Clone, Copy)]
struct Run {
    way: Way,
    interval: Duration,
    loss: f64,
    hosts: usize,
    hours: f64,
}

#[derive(Debug)]
struct Found {
    /// Hosts wrongly taken for dead, an hour at one host
    wrong: f64,
    /// 99th percentile of the time to detect a dead host
    detection: Duration,
}

/// Heartbeats of one host that are on their way
struct Sender {
    next: Duration,
    arrivals: Vec<Duration>,
    last: Duration,
    dead: Option<Duration>,
}

fn arrival(run: &Run, rng: &mut Rng, sent: Duration) -> Option<Duration> {
    let mut at = sent;
    let mut wait = PROBE;
    while rng.f64() < run.loss {
        if run.way == Way::Datagram {
            return None;
        }
        at += wait;
        wait *= 2;
    }
    Some(at + DELAY)
}

/// One host listens to the others; now and then one of them dies and comes back after 5 s
fn measure(run: Run, seed: u64) -> Found {
    let mut rng = Rng::with_seed(seed);
    let start = Instant::now();
    let names: Vec<String> = (0..run.hosts).map(|n| format!("a-{n}")).collect();
    let hosts: Vec<HostInfo> = names.iter().map(|name| listed(name)).collect();
    let mut view = View::new(start, listed(&names[0]));
    view.apply_list(start, &hosts);
    let mut senders: Vec<Sender> = (1..run.hosts)
        .map(|_| Sender {
            next: run.interval.mul_f64(rng.f64()),
            arrivals: Vec::new(),
            last: Duration::ZERO,
            dead: None,
        })
        .collect();
    let end = Duration::from_secs_f64(run.hours * 3600.0);
    let (mut wrong, mut detections, mut now) = (0, Vec::new(), Duration::ZERO);
    let mut kill = Duration::from_secs(5);
    while now < end {
        now += TICK;
        if now > kill {
            let victim = rng.usize(..senders.len());
            senders[victim].dead = Some(kill);
            kill += Duration::from_secs(7) + TICK.mul_f64(rng.f64());
        }
        for (sender, name) in senders.iter_mut().zip(&names[1..]) {
            while sender.next <= now {
                let alive = sender.dead.is_none_or(|dead| sender.next < dead);
                if alive && let Some(at) = arrival(&run, &mut rng, sender.next) {
                    sender.last = sender.last.max(at);
                    sender.arrivals.push(sender.last);
                }
                sender.next += run.interval;
            }
            for at in sender.arrivals.extract_if(.., |at| *at <= now) {
                view.record_heartbeat(start + at, &beat(name, 5));
            }
        }
        for event in view.tick(start + now) {
            let Event::Died(host) = event else { continue };
            let index = names.iter().position(|name| *name == host).expect("known");
            match senders[index - 1].dead {
                Some(dead) => detections.push(now - dead),
                None => wrong += 1,
            }
        }
        for sender in &mut senders {
            let over = |dead: &Duration| now - *dead > Duration::from_secs(5);
            sender.dead = sender.dead.filter(|dead| !over(dead));
        }
    }
    detections.sort();
    let rank = (detections.len() * 99).div_ceil(100).saturating_sub(1);
    Found {
        wrong: f64::from(wrong) / run.hours,
        detection: detections[rank],
    }
}

#[test]
fn death_is_found_in_time_and_life_is_not_doubted() {
    struct Case {
        way: Way,
        loss: f64,
        holds: bool,
    }
    let cases = [
        Case {
            way: Way::Stream,
            loss: 0.0,
            holds: true,
        },
        Case {
            way: Way::Stream,
            loss: 0.1,
            holds: true,
        },
        Case {
            way: Way::Datagram,
            loss: 0.0,
            holds: true,
        },
        Case {
            way: Way::Datagram,
            loss: 0.1,
            holds: false,
        },
    ];
    for case in cases {
        let run = Run {
            way: case.way,
            interval: HEARTBEAT_INTERVAL,
            loss: case.loss,
            hosts: 36,
            hours: 3.0,
        };
        let found = measure(run, 42);
        let what = format!("{:?}, loss {}: {found:?}", case.way, case.loss);
        println!("{what}");
        let in_time = found.detection < Duration::from_millis(2500);
        assert_eq!(in_time && found.wrong < 1.0, case.holds, "{what}");
    }
}

#[test]
#[ignore = "prints the table of docs/design/membership.md"]
fn table_by_interval_and_loss() {
    for way in [Way::Datagram, Way::Stream] {
        for interval in [250, 500, 1000] {
            for loss in [0.0, 0.01, 0.1, 0.3] {
                let run = Run {
                    way,
                    interval: Duration::from_millis(interval),
                    loss,
                    hosts: 36,
                    hours: 3.0,
                };
                let Found { wrong, detection } = measure(run, 42);
                println!("| {way:?} | {interval} ms | {loss} | {wrong:.2} | {detection:.1?} |");
            }
        }
    }
}
