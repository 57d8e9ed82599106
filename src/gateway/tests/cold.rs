//! Requests to a cold endpoint stay within the fleet's bound, whoever sends them.

use std::time::{Duration, Instant};

use crate::gateway::cold::{Tokens, users};
use crate::id::HostId;

#[test]
fn hosts_together_keep_the_bound_in_any_second() {
    // Figures of the platform: tolerated rate, factor and slack of the bound.
    const RATE: f64 = 3.5;
    const BOUND: f64 = RATE * 1.5 + 5.0;
    for hosts in [1, 2, 4, 30] {
        let names: Vec<HostId> = (0..hosts).map(|i| format!("h{i}").into()).collect();
        let chosen = users("endpoint", names.iter());
        let part = RATE / chosen.len() as f64;
        let start = Instant::now();
        let mut tokens: Vec<Tokens> = chosen.iter().map(|_| Tokens::new(start)).collect();
        let mut sent: Vec<Instant> = Vec::new();
        for tick in 0..10_000 {
            let now = start + Duration::from_millis(tick);
            for own in &mut tokens {
                if own.refill(now, part) >= 1.0 {
                    own.spend();
                    sent.push(now);
                }
            }
        }
        for at in &sent {
            let within = sent
                .iter()
                .filter(|o| **o >= *at && **o < *at + Duration::from_secs(1));
            let count = within.count() as f64;
            assert!(count <= BOUND, "{count} in a second with {hosts} hosts");
        }
        assert!(sent.len() > 20, "the endpoint is used: {}", sent.len());
    }
}

#[test]
fn hosts_agree_on_who_uses_a_cold_endpoint() {
    let names: Vec<HostId> = (0..9).map(|i| format!("h{i}").into()).collect();
    let mut turned = names.clone();
    turned.reverse();
    for endpoint in ["a", "b", "c"] {
        assert_eq!(
            users(endpoint, names.iter()),
            users(endpoint, turned.iter())
        );
    }
}
