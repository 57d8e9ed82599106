//! Tests of the budgets.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use std::collections::{BTreeMap, VecDeque};

use super::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_passes_the_rate(
        rate in 0.0..50.0f64,
        window in 1..20u64,
        gaps in prop::collection::vec(0..2000u64, 1..300),
    ) {
        let mut now = Instant::now();
        let window = Duration::from_secs(window);
        let mut meter = TokenBucket::new(now, rate, window);
        let mut taken: Vec<Instant> = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            while meter.wait_time(now, 1.0) == Some(Duration::ZERO) {
                prop_assert!(meter.try_take(now, 1.0), "refused after no delay");
                taken.push(now);
            }
            prop_assert!(!meter.try_take(now, 1.0), "taken before its delay");
            let within = taken.iter().filter(|at| **at + window > now).count();
            let limit = rate * window.as_secs_f64();
            prop_assert!(within as f64 <= limit + 1e-6, "{} above {}", within, limit);
        }
    }
}

/// Bytes a second of the link in the runs below
const BYTES: u64 = 2_000_000;

/// What a link passed in one run
#[derive(Default)]
struct Passed {
    downloads: BTreeMap<u64, u64>,
    worst: u64,
    waits: Vec<Duration>,
}

/// Downloads that always want more, beside interactive answers of 10 kB
fn run(downloads: u64, interactive: f64, naive: bool) -> Passed {
    let start = Instant::now();
    let mut link = Link::new(start, BYTES, 1);
    let mut one = TokenBucket::new(start, BYTES as f64, link::WINDOW);
    let mut passed = Passed::default();
    let (mut recent, mut sum): (VecDeque<(Instant, u64)>, u64) = Default::default();
    let mut asks = vec![start; downloads as usize];
    let (mut due, mut owed) = (0.0, Vec::new());
    for step in 0..20_000u64 {
        let now = start + Duration::from_millis(step);
        due += interactive / 10_000.0 / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            owed.push(now);
        }
        // naive: one bucket for both, whoever comes first
        for id in (0..downloads).filter(|_| naive) {
            let bytes = one.take_up_to(now, link::DOWNLOAD_TURN_BYTES as f64) as u64;
            *passed.downloads.entry(id).or_default() += bytes;
            recent.push_back((now, bytes));
        }
        let open = |link: &Link, one: &mut TokenBucket| match naive {
            true => one.try_take(now, 10_000.0),
            false => link.interactive_wait(now) == Duration::ZERO,
        };
        while !owed.is_empty() && open(&link, &mut one) {
            passed.waits.push(now - owed.remove(0));
            link.charge_interactive(now, 10_000);
            recent.push_back((now, 10_000));
        }
        for (id, ask) in asks.iter_mut().enumerate().filter(|_| !naive) {
            if *ask > now {
                continue;
            }
            match link.grant_download(now, id as u64, u64::MAX) {
                Ok(bytes) => {
                    *passed.downloads.entry(id as u64).or_default() += bytes;
                    recent.push_back((now, bytes));
                }
                Err(wait) => *ask = now + wait,
            }
        }
        let newest = recent.iter().rev().take_while(|(at, _)| *at == now);
        sum += newest.map(|(_, bytes)| bytes).sum::<u64>();
        while recent
            .front()
            .is_some_and(|(at, _)| *at + link::WINDOW <= now)
        {
            sum -= recent.pop_front().map_or(0, |(_, bytes)| bytes);
        }
        passed.worst = passed.worst.max(sum);
    }
    let end = start + Duration::from_secs(20);
    passed.waits.extend(owed.iter().map(|since| end - *since));
    passed.waits.sort();
    passed
}

fn p99(waits: &[Duration]) -> Duration {
    waits
        .get(waits.len() * 99 / 100)
        .copied()
        .unwrap_or_default()
}

#[test]
fn downloads_yield_and_none_waits_for_ever() {
    struct Case {
        name: &'static str,
        downloads: u64,
        interactive: f64,
        least: u64,
    }
    let cases = [
        Case {
            name: "downloads alone use most of the link",
            downloads: 20,
            interactive: 0.0,
            least: 30_000_000,
        },
        Case {
            name: "downloads take what interactive answers leave",
            downloads: 20,
            interactive: 800_000.0,
            least: 12_000_000,
        },
        Case {
            name: "downloads go on beside too many interactive answers",
            downloads: 20,
            interactive: 4_000_000.0,
            least: 3_000_000,
        },
    ];
    for case in cases {
        let passed = run(case.downloads, case.interactive, false);
        let sum: u64 = passed.downloads.values().sum();
        assert!(sum >= case.least, "{}: {sum}", case.name);
        let least = passed.downloads.values().min().copied().unwrap_or_default();
        let fair = sum / case.downloads;
        assert_eq!(
            passed.downloads.len() as u64,
            case.downloads,
            "{}",
            case.name
        );
        assert!(least >= fair / 2, "{}: {least} of {fair}", case.name);
        // one answer may end after the budget did
        assert!(
            passed.worst <= BYTES + 10_000,
            "{}: {}",
            case.name,
            passed.worst
        );
    }
}

#[test]
fn interactive_answers_do_not_wait_for_downloads() {
    let alone = p99(&run(0, 1_000_000.0, false).waits);
    let beside = p99(&run(50, 1_000_000.0, false).waits);
    let naive = p99(&run(50, 1_000_000.0, true).waits);
    println!(
        "p99 wait for the link: alone {alone:?}, beside downloads {beside:?}, one bucket {naive:?}"
    );
    let millisecond = Duration::from_millis(1);
    assert!(
        beside <= (alone + millisecond).mul_f64(1.2),
        "{beside:?} after {alone:?}"
    );
    assert!(naive > beside * 10, "{naive:?}");
}
