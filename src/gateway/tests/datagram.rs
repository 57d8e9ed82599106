//! Generated datagrams: valid ones with changed, missing or repeated bytes.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::peers::message;
use crate::bound::MAX_DURATION;
use crate::gateway::datagram::{Message, decode, encode};
use crate::platform::store::Kind;
use crate::quarantine::{CRASH_THRESHOLD, Record, Register, Source};

/// Number of cases; the fixed seed makes all runs use the same cases
const CASES: u32 = 5000;

fn sent() -> Message {
    Message {
        cannot_read_store: true,
        reads_store: true,
        store_reader: Some(("edge-2".into(), Duration::from_millis(1200))),
        held: 7,
        limits: vec![(u64::MAX, Some(0.5), 20)],
        sequence: 1_800_000_000_000_000,
        ..message(&Kind::ALL, 2, 4)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn changed_datagram_ends_the_task_that_receives_it(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        cut in prop::option::of(any::<usize>()),
        repeat in prop::option::of(any::<usize>()),
    ) {
        let mut bytes = encode(&sent());
        for (index, byte) in changes {
            let index = index % bytes.len();
            bytes[index] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut % bytes.len());
        }
        if let Some(start) = repeat.filter(|_| !bytes.is_empty()) {
            bytes.extend_from_within(start % bytes.len()..);
        }
        // An error is fine, as datagrams of other senders may arrive.
        let Ok(message) = decode(&bytes) else {
            return Ok(());
        };
        let slots = message.report.demand.values().chain(message.region_demand.values());
        prop_assert!(slots.copied().all(|slots| slots.is_finite() && slots >= 0.0));
        let running = message.report.running.values().copied();
        prop_assert!(running.map(u64::from).sum::<u64>() <= u64::from(u32::MAX));
        let now = Instant::now();
        let mut register = Register::new();
        for (key, record) in &message.suspects {
            prop_assert!(record.age <= MAX_DURATION);
            register.merge(now, *key, record, Source::Region, Duration::ZERO);
            register.retry_after(now + Duration::from_secs(1), *key, 1.0);
        }
    }
}

// The age of a record that another host tells must not overflow when time is added to it.
#[test]
fn age_of_a_record_overflows() {
    let old = Record {
        crashed: (0..CRASH_THRESHOLD as u64).collect(),
        age: Duration::MAX,
        ..Record::default()
    };
    let sent = Message {
        suspects: vec![(1, old)],
        ..sent()
    };
    let received = decode(&encode(&sent)).expect("the datagram is valid");
    let (key, record) = &received.suspects[0];
    let now = Instant::now();
    let mut register = Register::new();
    register.merge(now, *key, record, Source::Region, Duration::ZERO);
    let later = now + Duration::from_secs(1);
    assert_eq!(register.retry_after(later, *key, 1.0), None);
}
