//! Tests of the ramps, alone and as a fleet.

use std::collections::VecDeque;
use std::time::UNIX_EPOCH;

use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const ZONES: usize = 6;
const HOSTS: [usize; 3] = [2, 6, 50];
const STEP: Duration = Duration::from_millis(250);
const STEPS: u32 = 480;

fn shares(parts: &[(&str, f64)]) -> Shares {
    parts
        .iter()
        .map(|(zone, part)| ((*zone).into(), *part))
        .collect()
}

fn cap(share: f64) -> Cap {
    Cap {
        share,
        rate: 100.0,
        window: Duration::from_secs(10),
    }
}

#[test]
fn a_host_without_peers_starts_where_the_shift_must_be() {
    struct Case {
        name: &'static str,
        wall: u64,
        moved: f64,
    }
    let cases = [
        Case {
            name: "clock behind the change",
            wall: 0,
            moved: 0.0,
        },
        Case {
            name: "within the skew",
            wall: 1_005_000,
            moved: 0.0,
        },
        Case {
            name: "after one window",
            wall: 1_020_000,
            moved: 0.1,
        },
        Case {
            name: "long after",
            wall: 9_000_000,
            moved: 1.0,
        },
    ];
    let target = shares(&[("b", 1.0)]);
    let started = ShiftStart {
        from: [("a".into(), shares(&[("a", 1.0)]))].into(),
        at: 1_000_000,
    };
    for case in cases {
        let mut ramp = Ramp::with_zone("a".into());
        let wall = UNIX_EPOCH + Duration::from_millis(case.wall);
        let now = ramp.advance(Instant::now(), wall, &target, Some(&started), &cap(0.1));
        let moved = now.get("b").copied().unwrap_or(0.0);
        assert!((moved - case.moved).abs() < 1e-9, "{}: {now:?}", case.name);
    }
}

#[test]
fn pause_and_reversal_move_from_where_the_shares_are() {
    struct Case {
        name: &'static str,
        target: f64,
        seconds: u32,
        share: f64,
    }
    // 0.15 in a window and its skew: 0.009 a second and 0.015 at once
    let cases = [
        Case {
            name: "forward",
            target: 1.0,
            seconds: 30,
            share: 0.27,
        },
        Case {
            name: "pause",
            target: 0.27,
            seconds: 60,
            share: 0.27,
        },
        Case {
            name: "back",
            target: 0.0,
            seconds: 10,
            share: 0.165,
        },
        Case {
            name: "whole way back",
            target: 0.0,
            seconds: 60,
            share: 0.0,
        },
    ];
    let mut now = Instant::now();
    let mut ramp = Ramp::with_shares(shares(&[("a", 1.0)]));
    for case in cases {
        let target = shares(&[("a", 1.0 - case.target), ("b", case.target)]);
        for _ in 0..=case.seconds * 10 {
            ramp.advance(now, UNIX_EPOCH, &target, None, &cap(0.15));
            now += Duration::from_millis(100);
        }
        let share = ramp.current().and_then(|shares| shares.get("b").copied());
        let share = share.unwrap_or(0.0);
        assert!((share - case.share).abs() < 0.005, "{}: {share}", case.name);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Ramp,
    Jump,
    Clock,
}

#[derive(Clone, Debug)]
struct Patch {
    at: u32,
    targets: Vec<Shares>,
    moved: Vec<ShiftStart>,
}

#[derive(Clone, Debug)]
struct Host {
    ramp: Ramp,
    heard: usize,
    delay: u32,
    skew: i64,
    back: u32,
}

struct Fleet {
    way: Way,
    rng: Rng,
    cap: Cap,
    patches: Vec<Patch>,
    cuts: Vec<(u32, u32)>,
    hosts: Vec<Vec<Host>>,
}

impl Fleet {
    fn new(way: Way, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let cap = cap(0.02 + 0.2 * rng.f64());
        let patches = patches(&mut rng);
        let cuts = (0..ZONES).map(|_| {
            let from = rng.u32(..STEPS);
            (from, from + rng.u32(..200))
        });
        let cuts = cuts.collect();
        let count = HOSTS[rng.usize(..HOSTS.len())];
        let mut hosts = Vec::new();
        for zone in 0..ZONES {
            let from = &patches[0].targets[zone];
            let zone = (0..count).map(|_| Host {
                ramp: Ramp::with_shares(from.clone()),
                heard: 0,
                delay: rng.u32(..8),
                skew: rng.i64(-2000..2000),
                back: 0,
            });
            hosts.push(zone.collect());
        }
        Self {
            way,
            rng,
            cap,
            patches,
            cuts,
            hosts,
        }
    }

    /// Largest move of one zone's traffic, or of the fleet's, within any window
    fn worst(&mut self) -> f64 {
        let start = Instant::now();
        let window = (self.cap.window.as_millis() / STEP.as_millis()) as usize;
        let mut past: Vec<VecDeque<Shares>> = vec![VecDeque::new(); ZONES + 1];
        let mut worst = 0.0_f64;
        for step in 0..STEPS {
            let now = start + STEP * step;
            let mut means: Vec<Shares> =
                (0..ZONES).map(|zone| self.zone(now, step, zone)).collect();
            means.push(mean(&means));
            for (past, mean) in past.iter_mut().zip(means) {
                let moved = past.iter().map(|then| distance(then, &mean));
                worst = moved.fold(worst, f64::max);
                past.push_front(mean);
                past.truncate(window);
            }
        }
        worst
    }

    fn zone(&mut self, now: Instant, step: u32, zone: usize) -> Shares {
        self.restart(step, zone);
        let mut live = Vec::new();
        let (cut, healed) = self.cuts[zone];
        for host in &mut self.hosts[zone] {
            if host.back > step {
                continue;
            }
            // what reaches one host of the zone reaches the others from it
            let heard = |patch: &Patch| {
                let reached = if (cut..healed).contains(&patch.at) {
                    healed
                } else {
                    patch.at
                };
                reached + host.delay <= step
            };
            let heard = self.patches.iter().rposition(heard).unwrap_or(0);
            host.heard = host.heard.max(heard);
            let patch = &self.patches[host.heard];
            let (target, moved) = (&patch.targets[zone], &patch.moved[zone]);
            let millis = i64::from(step) * STEP.as_millis() as i64 + 1_000_000 + host.skew;
            let wall = UNIX_EPOCH + Duration::from_millis(millis as u64);
            live.push(match self.way {
                Way::Ramp => host.ramp.advance(now, wall, target, Some(moved), &self.cap),
                Way::Jump => target.clone(),
                Way::Clock => scheduled(wall, target, moved, &self.cap),
            });
        }
        mean(&live)
    }

    /// Hosts fail and are replaced; the new ones ask a zone peer
    fn restart(&mut self, step: u32, zone: usize) {
        let hosts = &mut self.hosts[zone];
        for index in 0..hosts.len() {
            if hosts[index].back != step || step == 0 {
                continue;
            }
            let live: Vec<&Host> = hosts.iter().filter(|host| host.back < step).collect();
            let Some(peer) = self.rng.choice(live).cloned() else {
                continue;
            };
            let shares = peer.ramp.current().cloned();
            hosts[index] = Host {
                ramp: Ramp::with_shares(shares.expect("shares of a live peer")),
                skew: self.rng.i64(-2000..2000),
                back: step,
                ..peer
            };
        }
        if self.rng.u32(..10) == 0 {
            let failed = self.rng.usize(..hosts.len());
            let others = hosts.iter().filter(|host| host.back <= step).count();
            if others > 1 {
                hosts[failed].back = step + 1 + self.rng.u32(..40);
            }
        }
    }
}

fn scheduled(wall: SystemTime, target: &Shares, moved: &ShiftStart, cap: &Cap) -> Shares {
    let from = moved.from.values().next().expect("shares before");
    let since = util::unix_millis(wall).saturating_sub(moved.at) as f64 / 1000.0;
    let length = distance(from, target).max(EQUAL);
    let part = cap.share * since / cap.window.as_secs_f64() / length;
    toward(from, target, part.min(1.0))
}

fn patches(rng: &mut Rng) -> Vec<Patch> {
    let mut patches: Vec<Patch> = Vec::new();
    let mut at = 0;
    while at < STEPS {
        let targets: Vec<Shares> = (0..ZONES).map(|_| target(rng)).collect();
        let before = patches.last().map_or(&targets, |patch| &patch.targets);
        let moved = before.iter().map(|shares| ShiftStart {
            from: [("a".into(), shares.clone())].into(),
            at: 1_000_000 + u64::from(at) * STEP.as_millis() as u64,
        });
        let moved = moved.collect();
        patches.push(Patch { at, targets, moved });
        // races: the next patch may follow within a second
        at += if rng.bool() {
            rng.u32(1..5)
        } else {
            rng.u32(40..200)
        };
    }
    patches
}

fn target(rng: &mut Rng) -> Shares {
    let parts: Vec<f64> = (0..3).map(|_| rng.f64()).collect();
    let sum: f64 = parts.iter().sum();
    let names = ["a", "b", "c"];
    let named = names.iter().zip(&parts);
    named
        .map(|(name, part)| ((*name).into(), part / sum))
        .collect()
}

fn mean(all: &[Shares]) -> Shares {
    let mut mean = Shares::new();
    for shares in all {
        for (zone, share) in shares {
            *mean.entry(zone.clone()).or_default() += share / all.len() as f64;
        }
    }
    mean
}

#[test]
fn naive_ways_pass_the_cap() {
    for way in [Way::Jump, Way::Clock] {
        let mut fleet = Fleet::new(way, 2);
        let worst = fleet.worst();
        let cap = fleet.cap.share;
        println!("{way:?}: {worst:.3} moved in a window, cap {cap:.3}");
        assert!(worst > cap * 2.0, "{way:?}: {worst} at cap {cap}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_fleet_never_passes_the_cap(seed in any::<u64>()) {
        let mut fleet = Fleet::new(Way::Ramp, seed);
        let worst = fleet.worst();
        let cap = fleet.cap.share;
        prop_assert!(worst <= cap + 1e-6, "{} moved in a window, cap {}", worst, cap);
        prop_assert!(worst > cap * 0.3, "only {} moved in a window, cap {}", worst, cap);
    }
}
