//! Rate limit for cold endpoints across the hosts of a region.

use std::time::{Duration, Instant};

use crate::gateway::cold::{TokenBucket, permitted_hosts};
use crate::id::HostId;

#[test]
fn permitted_hosts_together_stay_within_the_rate_limit() {
    // The platform's tolerated rate, with the factor and slack of its limit.
    const RATE: f64 = 3.5;
    const MAX_PER_SECOND: f64 = RATE * 1.5 + 5.0;
    for hosts in [1, 2, 4, 30] {
        let all_hosts: Vec<HostId> = (0..hosts).map(|i| format!("h{i}").into()).collect();
        let permitted = permitted_hosts("endpoint", all_hosts.iter());
        let rate_per_host = RATE / permitted.len() as f64;
        let start = Instant::now();
        let mut buckets: Vec<TokenBucket> =
            permitted.iter().map(|_| TokenBucket::new(start)).collect();
        let mut sent: Vec<Instant> = Vec::new();
        for tick in 0..10_000 {
            let now = start + Duration::from_millis(tick);
            for bucket in &mut buckets {
                if bucket.refill(now, rate_per_host) >= 1.0 {
                    bucket.take();
                    sent.push(now);
                }
            }
        }
        for at in &sent {
            let in_window = sent
                .iter()
                .filter(|other| **other >= *at && **other < *at + Duration::from_secs(1));
            let count = in_window.count() as f64;
            assert!(
                count <= MAX_PER_SECOND,
                "{count} requests within one second with {hosts} hosts"
            );
        }
        assert!(
            sent.len() > 20,
            "too few requests reached the endpoint: {}",
            sent.len()
        );
    }
}

#[test]
fn permitted_hosts_do_not_depend_on_the_order_of_hosts() {
    let hosts: Vec<HostId> = (0..9).map(|i| format!("h{i}").into()).collect();
    let mut reversed = hosts.clone();
    reversed.reverse();
    for endpoint in ["a", "b", "c"] {
        assert_eq!(
            permitted_hosts(endpoint, hosts.iter()),
            permitted_hosts(endpoint, reversed.iter())
        );
    }
}
