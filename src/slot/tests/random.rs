//! Random steps of endpoints, callers and settings: no slot is ever used twice.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

#[derive(Clone, Debug)]
enum Step {
    Admit {
        reason: u8,
        patience: u64,
        avoid: u8,
    },
    Finish {
        which: usize,
        verdict: u8,
    },
    Report {
        which: u8,
        running: u32,
        slots: u32,
    },
    Leave(u8),
    Silent(u8),
    Configure {
        count: usize,
        slots: u32,
        draining: u8,
    },
    Cancel(usize),
    Tick,
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        8 => (0..4u8, 0..3000u64, 0..12u8).prop_map(|(reason, patience, avoid)| Step::Admit {
            reason,
            patience,
            avoid,
        }),
        8 => (any::<usize>(), 0..12u8)
            .prop_map(|(which, verdict)| Step::Finish { which, verdict }),
        2 => (0..8u8, 0..9u32, 0..9u32).prop_map(|(which, running, slots)| Step::Report {
            which,
            running,
            slots,
        }),
        1 => (0..8u8).prop_map(Step::Leave),
        1 => (0..8u8).prop_map(Step::Silent),
        1 => (0..8usize, 0..5u32, any::<u8>()).prop_map(|(count, slots, draining)| {
            Step::Configure {
                count,
                slots,
                draining,
            }
        }),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => Just(Step::Tick),
    ];
    (prop_oneof![Just(0), 0..50u64, 0..5000u64], step)
}

fn named(which: u8) -> EndpointId {
    EndpointId::from(format!("e{which}"))
}

/// What the endpoints see of one pool
#[derive(Default)]
struct Seen {
    leases: Vec<Lease>,
    waiting: BTreeSet<WaitId>,
    slots: BTreeMap<EndpointId, u32>,
}

impl Seen {
    fn start(&mut self, lease: Lease) {
        let same = |other: &&Lease| other.endpoint == lease.endpoint;
        let running = self.leases.iter().filter(same).count() as u32;
        let slots = self.slots.get(&lease.endpoint).copied().unwrap_or(0);
        assert!(
            running < slots,
            "{running} run on {slots} slots of {lease:?}"
        );
        self.leases.push(lease);
    }

    fn grants(&mut self, grants: Vec<WaitResult>) {
        for grant in grants {
            assert!(self.waiting.remove(&grant.wait_id), "granted twice");
            if let Ok(lease) = grant.result {
                self.start(lease);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_endpoint_gets_more_than_its_slots(steps in prop::collection::vec(step(), 1..300)) {
        let mut now = Instant::now();
        let mut pool = pool(now, 4);
        pool.set_caps(now, &Cap::default(), &Cap::default());
        let mut seen = Seen {
            slots: (0..4).map(|i| (named(i), 3)).collect(),
            ..Seen::default()
        };
        for (millis, step) in steps {
            now += ms(millis);
            match step {
                Step::Admit { reason, patience, avoid } => {
                    let ask = Request {
                        deadline: now + ms(patience),
                        reason: [Reason::Share, Reason::Share, Reason::Shift, Reason::Spill]
                            [usize::from(reason)],
                        excluded: vec![named(avoid)],
                    };
                    match pool.admit(now, ask) {
                        Admission::Granted(lease) => {
                            prop_assert_ne!(&lease.endpoint, &named(avoid));
                            seen.start(lease);
                        }
                        Admission::Queued(wait) => prop_assert!(seen.waiting.insert(wait)),
                        Admission::Refused(_, after) => prop_assert!(after >= MIN_RETRY_AFTER),
                    }
                }
                Step::Finish { which, verdict } if !seen.leases.is_empty() => {
                    let lease = seen.leases.swap_remove(which % seen.leases.len());
                    let verdict = match verdict {
                        0 => Outcome::Shed,
                        1 => Outcome::Leaving,
                        2 => Outcome::ConnectionFailed,
                        3 => Outcome::Cancelled,
                        _ => Outcome::Served(ms(20)),
                    };
                    let grants = pool.release(now, &lease, verdict);
                    seen.grants(grants);
                }
                Step::Report { which, running, slots } => {
                    pool.record_load(now, &named(which), Load { running, slots });
                }
                Step::Leave(which) => pool.mark_leaving(now, &named(which)),
                Step::Silent(which) => pool.record_failure(now, &named(which)),
                Step::Configure { count, slots, draining } => {
                    let mut endpoints = endpoints(count, slots);
                    if let Some(endpoint) = endpoints.get_mut(&named(draining)) {
                        endpoint.draining = true;
                    }
                    seen.slots = endpoints.iter().map(|(k, e)| (k.clone(), e.slots)).collect();
                    pool.configure(now, &endpoints);
                }
                Step::Cancel(which) if !seen.waiting.is_empty() => {
                    let wait = seen.waiting.iter().nth(which % seen.waiting.len()).copied();
                    let wait = wait.expect("a waiting request");
                    seen.waiting.remove(&wait);
                    pool.cancel_wait(wait);
                }
                _ => {
                    let grants = pool.tick(now);
                    seen.grants(grants);
                }
            }
            prop_assert_eq!(pool.headroom(now).waiting as usize, seen.waiting.len());
        }
        // nobody waits for ever, and no slot is lost
        now += Duration::from_secs(30);
        let grants = pool.tick(now);
        seen.grants(grants);
        prop_assert!(seen.waiting.is_empty());
        while let Some(lease) = seen.leases.pop() {
            pool.release(now, &lease, Outcome::Served(ms(20)));
        }
        pool.tick(now);
        prop_assert_eq!(pool.headroom(now + ms(1000)).busy, 0);
    }
}
