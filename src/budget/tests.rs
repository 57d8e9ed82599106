//! Tests of the token bucket and the link budget.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_exceeds_the_rate(
        rate in 0.0..50.0f64,
        window in 1..20u64,
        intervals_millis in prop::collection::vec(0..2000u64, 1..300),
    ) {
        let mut now = Instant::now();
        let window = Duration::from_secs(window);
        let mut bucket = TokenBucket::new(now, rate, window);
        let mut grants: Vec<Instant> = Vec::new();
        for interval in intervals_millis {
            now += Duration::from_millis(interval);
            while bucket.wait_time(now, 1.0) == Some(Duration::ZERO) {
                prop_assert!(bucket.try_take(now, 1.0), "refused after a wait time of zero");
                grants.push(now);
            }
            prop_assert!(!bucket.try_take(now, 1.0), "granted before the wait time");
            let in_window = grants.iter().filter(|granted| **granted + window > now).count();
            let limit = rate * window.as_secs_f64();
            prop_assert!(in_window as f64 <= limit + 1e-6, "{} grants, limit {}", in_window, limit);
        }
    }
}

/// Rate of the simulated link
const BYTES_PER_SECOND: u64 = 2_000_000;

/// Traffic over a link in one run
#[derive(Default)]
struct Traffic {
    download_bytes: BTreeMap<u64, u64>,
    max_window_bytes: u64,
    interactive_waits: Vec<Duration>,
}

/// Simulates 20 s of downloads that always have more to send, and of interactive responses of 10 kB
/// at `interactive_rate` bytes per second
///
/// With `is_naive`, all of them share one token bucket in order of arrival.
fn simulate(downloads: u64, interactive_rate: f64, is_naive: bool) -> Traffic {
    let start = Instant::now();
    let mut link = Link::new(start, BYTES_PER_SECOND, 1);
    let mut shared_bucket = TokenBucket::new(start, BYTES_PER_SECOND as f64, link::WINDOW);
    let mut traffic = Traffic::default();
    let (mut recent, mut window_bytes): (VecDeque<(Instant, u64)>, u64) = Default::default();
    let mut retry_times = vec![start; downloads as usize];
    let (mut arrivals, mut pending) = (0.0, Vec::new());
    for step in 0..20_000u64 {
        let now = start + Duration::from_millis(step);
        arrivals += interactive_rate / 10_000.0 / 1000.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            pending.push(now);
        }
        for id in (0..downloads).filter(|_| is_naive) {
            let bytes = shared_bucket.take_up_to(now, link::DOWNLOAD_TURN_BYTES as f64) as u64;
            *traffic.download_bytes.entry(id).or_default() += bytes;
            recent.push_back((now, bytes));
        }
        let may_send = |link: &Link, shared_bucket: &mut TokenBucket| match is_naive {
            true => shared_bucket.try_take(now, 10_000.0),
            false => link.interactive_wait(now) == Duration::ZERO,
        };
        while !pending.is_empty() && may_send(&link, &mut shared_bucket) {
            traffic.interactive_waits.push(now - pending.remove(0));
            link.charge_interactive(now, 10_000);
            recent.push_back((now, 10_000));
        }
        for (id, retry_at) in retry_times.iter_mut().enumerate().filter(|_| !is_naive) {
            if *retry_at > now {
                continue;
            }
            match link.grant_download(now, id as u64, u64::MAX) {
                Ok(bytes) => {
                    *traffic.download_bytes.entry(id as u64).or_default() += bytes;
                    recent.push_back((now, bytes));
                }
                Err(wait) => *retry_at = now + wait,
            }
        }
        let newest = recent.iter().rev().take_while(|(sent, _)| *sent == now);
        window_bytes += newest.map(|(_, bytes)| bytes).sum::<u64>();
        while recent
            .front()
            .is_some_and(|(sent, _)| *sent + link::WINDOW <= now)
        {
            window_bytes -= recent.pop_front().map_or(0, |(_, bytes)| bytes);
        }
        traffic.max_window_bytes = traffic.max_window_bytes.max(window_bytes);
    }
    let end = start + Duration::from_secs(20);
    traffic
        .interactive_waits
        .extend(pending.iter().map(|arrived| end - *arrived));
    traffic.interactive_waits.sort();
    traffic
}

fn p99(waits: &[Duration]) -> Duration {
    waits
        .get(waits.len() * 99 / 100)
        .copied()
        .unwrap_or_default()
}

#[test]
fn downloads_yield_to_interactive_responses_without_starving() {
    struct Case {
        name: &'static str,
        downloads: u64,
        interactive_rate: f64,
        min_bytes: u64,
    }
    let cases = [
        Case {
            name: "downloads alone use most of the link",
            downloads: 20,
            interactive_rate: 0.0,
            min_bytes: 30_000_000,
        },
        Case {
            name: "downloads use what interactive responses leave",
            downloads: 20,
            interactive_rate: 800_000.0,
            min_bytes: 12_000_000,
        },
        Case {
            name: "downloads continue when interactive responses exceed the budget",
            downloads: 20,
            interactive_rate: 4_000_000.0,
            min_bytes: 3_000_000,
        },
    ];
    for case in cases {
        let traffic = simulate(case.downloads, case.interactive_rate, false);
        let total: u64 = traffic.download_bytes.values().sum();
        assert!(total >= case.min_bytes, "{}: {total}", case.name);
        let min_download = traffic
            .download_bytes
            .values()
            .min()
            .copied()
            .unwrap_or_default();
        let fair_share = total / case.downloads;
        assert_eq!(
            traffic.download_bytes.len() as u64,
            case.downloads,
            "{}",
            case.name
        );
        assert!(
            min_download >= fair_share / 2,
            "{}: {min_download} of {fair_share}",
            case.name
        );
        // The last response may exceed the budget.
        assert!(
            traffic.max_window_bytes <= BYTES_PER_SECOND + 10_000,
            "{}: {}",
            case.name,
            traffic.max_window_bytes
        );
    }
}

#[test]
fn interactive_responses_do_not_wait_for_downloads() {
    let alone = p99(&simulate(0, 1_000_000.0, false).interactive_waits);
    let with_downloads = p99(&simulate(50, 1_000_000.0, false).interactive_waits);
    let one_bucket = p99(&simulate(50, 1_000_000.0, true).interactive_waits);
    println!(
        "p99 wait for the link: alone {alone:?}, with downloads {with_downloads:?}, one bucket {one_bucket:?}"
    );
    let millisecond = Duration::from_millis(1);
    assert!(
        with_downloads <= (alone + millisecond).mul_f64(1.2),
        "{with_downloads:?} with downloads, {alone:?} alone"
    );
    assert!(one_bucket > with_downloads * 10, "{one_bucket:?}");
}
