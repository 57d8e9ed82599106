//! Tests of ramps, on their own and in a simulated fleet.

use std::collections::VecDeque;
use std::time::UNIX_EPOCH;

use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const ZONE_COUNT: usize = 6;
const HOSTS_PER_ZONE: [usize; 3] = [2, 6, 50];
const STEP_DURATION: Duration = Duration::from_millis(250);
const STEP_COUNT: u32 = 480;

fn shares(shares: &[(&str, f64)]) -> Shares {
    shares
        .iter()
        .map(|(zone, share)| ((*zone).into(), *share))
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
fn a_host_without_peers_starts_at_the_minimum_progress_of_the_shift() {
    struct Case {
        name: &'static str,
        wall_clock_millis: u64,
        moved: f64,
    }
    let cases = [
        Case {
            name: "clock before the change",
            wall_clock_millis: 0,
            moved: 0.0,
        },
        Case {
            name: "within the maximum skew",
            wall_clock_millis: 1_005_000,
            moved: 0.0,
        },
        Case {
            name: "after one window",
            wall_clock_millis: 1_020_000,
            moved: 0.1,
        },
        Case {
            name: "long after the change",
            wall_clock_millis: 9_000_000,
            moved: 1.0,
        },
    ];
    let target = shares(&[("b", 1.0)]);
    let shift_start = ShiftStart {
        from: [("a".into(), shares(&[("a", 1.0)]))].into(),
        at: 1_000_000,
    };
    for case in cases {
        let mut ramp = Ramp::with_zone("a".into());
        let wall_clock = UNIX_EPOCH + Duration::from_millis(case.wall_clock_millis);
        let current = ramp.advance(
            Instant::now(),
            wall_clock,
            &target,
            Some(&shift_start),
            &cap(0.1),
        );
        let moved = current.get("b").copied().unwrap_or(0.0);
        assert!(
            (moved - case.moved).abs() < 1e-9,
            "{}: {current:?}",
            case.name
        );
    }
}

#[test]
fn a_pause_or_reversal_continues_from_the_current_shares() {
    struct Case {
        name: &'static str,
        target: f64,
        seconds: u32,
        share: f64,
    }
    // A cap of 0.15 per window plus skew gives a rate of 0.009 per second and a burst of 0.015.
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
            name: "reversal",
            target: 0.0,
            seconds: 10,
            share: 0.165,
        },
        Case {
            name: "complete reversal",
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
enum Strategy {
    Ramp,
    Immediate,
    WallClock,
}

#[derive(Clone, Debug)]
struct Change {
    step: u32,
    targets: Vec<Shares>,
    shift_starts: Vec<ShiftStart>,
}

#[derive(Clone, Debug)]
struct Host {
    ramp: Ramp,
    newest_change: usize,
    delay_steps: u32,
    skew_millis: i64,
    live_from_step: u32,
}

struct Fleet {
    strategy: Strategy,
    rng: Rng,
    cap: Cap,
    changes: Vec<Change>,
    /// Steps from which and up to which no change reaches a zone, by zone
    partitions: Vec<(u32, u32)>,
    /// Hosts by zone
    hosts: Vec<Vec<Host>>,
}

impl Fleet {
    fn new(strategy: Strategy, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let cap = cap(0.02 + 0.2 * rng.f64());
        let changes = random_changes(&mut rng);
        let partitions = (0..ZONE_COUNT).map(|_| {
            let from = rng.u32(..STEP_COUNT);
            (from, from + rng.u32(..200))
        });
        let partitions = partitions.collect();
        let count = HOSTS_PER_ZONE[rng.usize(..HOSTS_PER_ZONE.len())];
        let mut hosts = Vec::new();
        for zone in 0..ZONE_COUNT {
            let from = &changes[0].targets[zone];
            let zone_hosts = (0..count).map(|_| Host {
                ramp: Ramp::with_shares(from.clone()),
                newest_change: 0,
                delay_steps: rng.u32(..8),
                skew_millis: rng.i64(-2000..2000),
                live_from_step: 0,
            });
            hosts.push(zone_hosts.collect());
        }
        Self {
            strategy,
            rng,
            cap,
            changes,
            partitions,
            hosts,
        }
    }

    /// Returns the largest move of one zone's traffic, or of the fleet's, within any window
    fn max_moved(&mut self) -> f64 {
        let start = Instant::now();
        let window_steps = (self.cap.window.as_millis() / STEP_DURATION.as_millis()) as usize;
        let mut histories: Vec<VecDeque<Shares>> = vec![VecDeque::new(); ZONE_COUNT + 1];
        let mut max_moved = 0.0_f64;
        for step in 0..STEP_COUNT {
            let now = start + STEP_DURATION * step;
            let mut means: Vec<Shares> = (0..ZONE_COUNT)
                .map(|zone| self.advance_zone(now, step, zone))
                .collect();
            means.push(mean(&means));
            for (history, mean) in histories.iter_mut().zip(means) {
                let moved = history.iter().map(|earlier| distance(earlier, &mean));
                max_moved = moved.fold(max_moved, f64::max);
                history.push_front(mean);
                history.truncate(window_steps);
            }
        }
        max_moved
    }

    fn advance_zone(&mut self, now: Instant, step: u32, zone: usize) -> Shares {
        self.replace_hosts(step, zone);
        let mut live = Vec::new();
        let (start, end) = self.partitions[zone];
        for host in &mut self.hosts[zone] {
            if host.live_from_step > step {
                continue;
            }
            // A host that receives a change passes it on to the other hosts of its zone.
            let is_received = |change: &Change| {
                let delivered = if (start..end).contains(&change.step) {
                    end
                } else {
                    change.step
                };
                delivered + host.delay_steps <= step
            };
            let newest_change = self.changes.iter().rposition(is_received).unwrap_or(0);
            host.newest_change = host.newest_change.max(newest_change);
            let change = &self.changes[host.newest_change];
            let (target, shift_start) = (&change.targets[zone], &change.shift_starts[zone]);
            let millis =
                i64::from(step) * STEP_DURATION.as_millis() as i64 + 1_000_000 + host.skew_millis;
            let wall_clock = UNIX_EPOCH + Duration::from_millis(millis as u64);
            live.push(match self.strategy {
                Strategy::Ramp => {
                    host.ramp
                        .advance(now, wall_clock, target, Some(shift_start), &self.cap)
                }
                Strategy::Immediate => target.clone(),
                Strategy::WallClock => scheduled_shares(wall_clock, target, shift_start, &self.cap),
            });
        }
        mean(&live)
    }

    /// Fails and replaces hosts; a new host takes over the shares of a zone peer
    fn replace_hosts(&mut self, step: u32, zone: usize) {
        let hosts = &mut self.hosts[zone];
        for index in 0..hosts.len() {
            if hosts[index].live_from_step != step || step == 0 {
                continue;
            }
            let live: Vec<&Host> = hosts
                .iter()
                .filter(|host| host.live_from_step < step)
                .collect();
            let Some(peer) = self.rng.choice(live).cloned() else {
                continue;
            };
            let shares = peer.ramp.current().cloned();
            hosts[index] = Host {
                ramp: Ramp::with_shares(shares.expect("shares of a live peer")),
                skew_millis: self.rng.i64(-2000..2000),
                live_from_step: step,
                ..peer
            };
        }
        if self.rng.u32(..10) == 0 {
            let failed = self.rng.usize(..hosts.len());
            let live_count = hosts
                .iter()
                .filter(|host| host.live_from_step <= step)
                .count();
            if live_count > 1 {
                hosts[failed].live_from_step = step + 1 + self.rng.u32(..40);
            }
        }
    }
}

/// Returns the shares that a schedule by the wall clock gives
fn scheduled_shares(
    wall_clock: SystemTime,
    target: &Shares,
    shift_start: &ShiftStart,
    cap: &Cap,
) -> Shares {
    let from = shift_start
        .from
        .values()
        .next()
        .expect("shares before the shift");
    let elapsed = util::unix_millis(wall_clock).saturating_sub(shift_start.at) as f64 / 1000.0;
    let total = distance(from, target).max(EPSILON);
    let fraction = cap.share * elapsed / cap.window.as_secs_f64() / total;
    interpolate(from, target, fraction.min(1.0))
}

fn random_changes(rng: &mut Rng) -> Vec<Change> {
    let mut changes: Vec<Change> = Vec::new();
    let mut step = 0;
    while step < STEP_COUNT {
        let targets: Vec<Shares> = (0..ZONE_COUNT).map(|_| random_target(rng)).collect();
        let previous = changes.last().map_or(&targets, |change| &change.targets);
        let shift_starts = previous.iter().map(|shares| ShiftStart {
            from: [("a".into(), shares.clone())].into(),
            at: 1_000_000 + u64::from(step) * STEP_DURATION.as_millis() as u64,
        });
        let shift_starts = shift_starts.collect();
        changes.push(Change {
            step,
            targets,
            shift_starts,
        });
        // The next change may follow within a second, so that changes overlap.
        step += if rng.bool() {
            rng.u32(1..5)
        } else {
            rng.u32(40..200)
        };
    }
    changes
}

fn random_target(rng: &mut Rng) -> Shares {
    let weights: Vec<f64> = (0..3).map(|_| rng.f64()).collect();
    let sum: f64 = weights.iter().sum();
    let zones = ["a", "b", "c"];
    let weighted = zones.iter().zip(&weights);
    weighted
        .map(|(zone, weight)| ((*zone).into(), weight / sum))
        .collect()
}

fn mean(samples: &[Shares]) -> Shares {
    let mut mean = Shares::new();
    for shares in samples {
        for (zone, share) in shares {
            *mean.entry(zone.clone()).or_default() += share / samples.len() as f64;
        }
    }
    mean
}

#[test]
fn naive_strategies_exceed_the_cap() {
    for strategy in [Strategy::Immediate, Strategy::WallClock] {
        let mut fleet = Fleet::new(strategy, 2);
        let max_moved = fleet.max_moved();
        let cap = fleet.cap.share;
        println!("{strategy:?}: {max_moved:.3} moved in a window, cap {cap:.3}");
        assert!(
            max_moved > cap * 2.0,
            "{strategy:?}: {max_moved} at cap {cap}"
        );
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
    fn the_fleet_never_exceeds_the_cap(seed in any::<u64>()) {
        let mut fleet = Fleet::new(Strategy::Ramp, seed);
        let max_moved = fleet.max_moved();
        let cap = fleet.cap.share;
        prop_assert!(max_moved <= cap + 1e-6, "{} moved in a window, cap {}", max_moved, cap);
        prop_assert!(max_moved > cap * 0.3, "only {} moved in a window, cap {}", max_moved, cap);
    }
}
