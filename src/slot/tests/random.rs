//! Property test with random events of callers, endpoints and the configuration: the requests at an
//! endpoint never exceed its slots, and every queued request gets a result.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

#[derive(Clone, Debug)]
enum Step {
    Admit {
        reason: u8,
        timeout_millis: u64,
        excluded: u8,
    },
    Release {
        index: usize,
        outcome: u8,
    },
    LoadReport {
        index: u8,
        running: u32,
        slots: u32,
    },
    Leaving(u8),
    ProbeFailure(u8),
    Configure {
        count: usize,
        slots: u32,
        draining: u8,
    },
    CancelWait(usize),
    Tick,
}

fn delayed_step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        8 => (0..4u8, 0..3000u64, 0..12u8).prop_map(|(reason, timeout_millis, excluded)| {
            Step::Admit {
                reason,
                timeout_millis,
                excluded,
            }
        }),
        8 => (any::<usize>(), 0..12u8)
            .prop_map(|(index, outcome)| Step::Release { index, outcome }),
        2 => (0..8u8, 0..9u32, 0..9u32).prop_map(|(index, running, slots)| Step::LoadReport {
            index,
            running,
            slots,
        }),
        1 => (0..8u8).prop_map(Step::Leaving),
        1 => (0..8u8).prop_map(Step::ProbeFailure),
        1 => (0..8usize, 0..5u32, any::<u8>()).prop_map(|(count, slots, draining)| {
            Step::Configure {
                count,
                slots,
                draining,
            }
        }),
        1 => any::<usize>().prop_map(Step::CancelWait),
        1 => Just(Step::Tick),
    ];
    (prop_oneof![Just(0), 0..50u64, 0..5000u64], step)
}

fn endpoint_id(index: u8) -> EndpointId {
    EndpointId::from(format!("e{index}"))
}

/// Model of the requests at the endpoints and in the queue
#[derive(Default)]
struct Model {
    leases: Vec<Lease>,
    waiting: BTreeSet<WaitId>,
    slots: BTreeMap<EndpointId, u32>,
}

impl Model {
    fn start(&mut self, lease: Lease) {
        let at_same_endpoint = |held: &&Lease| held.endpoint == lease.endpoint;
        let running = self.leases.iter().filter(at_same_endpoint).count() as u32;
        let slots = self.slots.get(&lease.endpoint).copied().unwrap_or(0);
        assert!(
            running < slots,
            "{running} requests already use the {slots} slots of {lease:?}"
        );
        self.leases.push(lease);
    }

    fn end_waits(&mut self, results: Vec<WaitResult>) {
        for ended in results {
            assert!(
                self.waiting.remove(&ended.wait_id),
                "the request is not waiting"
            );
            if let Ok(lease) = ended.result {
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
    fn requests_never_exceed_the_slots_of_an_endpoint(
        steps in prop::collection::vec(delayed_step(), 1..300)
    ) {
        let mut now = Instant::now();
        let mut pool = pool(now, 4);
        pool.set_caps(now, &Cap::default(), &Cap::default());
        let mut model = Model {
            slots: (0..4).map(|index| (endpoint_id(index), 3)).collect(),
            ..Model::default()
        };
        for (delay_millis, step) in steps {
            now += ms(delay_millis);
            match step {
                Step::Admit { reason, timeout_millis, excluded } => {
                    let request = Request {
                        deadline: now + ms(timeout_millis),
                        reason: [Reason::Share, Reason::Share, Reason::Shift, Reason::Spill]
                            [usize::from(reason)],
                        excluded: vec![endpoint_id(excluded)],
                    };
                    match pool.admit(now, request) {
                        Admission::Granted(lease) => {
                            prop_assert_ne!(&lease.endpoint, &endpoint_id(excluded));
                            model.start(lease);
                        }
                        Admission::Queued(wait_id) => prop_assert!(model.waiting.insert(wait_id)),
                        Admission::Refused(_, retry_after) => {
                            prop_assert!(retry_after >= MIN_RETRY_AFTER)
                        }
                    }
                }
                Step::Release { index, outcome } if !model.leases.is_empty() => {
                    let lease = model.leases.swap_remove(index % model.leases.len());
                    let outcome = match outcome {
                        0 => Outcome::Shed,
                        1 => Outcome::Leaving,
                        2 => Outcome::ConnectionFailed,
                        3 => Outcome::Cancelled,
                        _ => Outcome::Served(ms(20)),
                    };
                    let results = pool.release(now, &lease, outcome);
                    model.end_waits(results);
                }
                Step::LoadReport { index, running, slots } => {
                    pool.record_load(now, &endpoint_id(index), Load { running, slots });
                }
                Step::Leaving(index) => pool.mark_leaving(now, &endpoint_id(index)),
                Step::ProbeFailure(index) => pool.record_failure(now, &endpoint_id(index)),
                Step::Configure { count, slots, draining } => {
                    let mut endpoints = endpoints(count, slots);
                    if let Some(config) = endpoints.get_mut(&endpoint_id(draining)) {
                        config.draining = true;
                    }
                    model.slots = endpoints
                        .iter()
                        .map(|(id, config)| (id.clone(), config.slots))
                        .collect();
                    pool.configure(now, &endpoints);
                }
                Step::CancelWait(index) if !model.waiting.is_empty() => {
                    let wait_id = model.waiting.iter().nth(index % model.waiting.len()).copied();
                    let wait_id = wait_id.expect("at least one request waits");
                    model.waiting.remove(&wait_id);
                    pool.cancel_wait(wait_id);
                }
                _ => {
                    let results = pool.tick(now);
                    model.end_waits(results);
                }
            }
            prop_assert_eq!(pool.headroom(now).waiting as usize, model.waiting.len());
        }
        // Every wait ends, and all slots become free again.
        now += Duration::from_secs(30);
        let results = pool.tick(now);
        model.end_waits(results);
        prop_assert!(model.waiting.is_empty());
        while let Some(lease) = model.leases.pop() {
            pool.release(now, &lease, Outcome::Served(ms(20)));
        }
        pool.tick(now);
        prop_assert_eq!(pool.headroom(now + ms(1000)).busy, 0);
    }
}
