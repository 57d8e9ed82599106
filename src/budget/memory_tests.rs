use std::rc::Rc;

use super::memory::{Budget, Hold, Level};

#[derive(Debug)]
struct Case {
    /// Bytes of the holders, in kB
    held_kb: &'static [usize],
    level: Level,
}

/// Memory limit of the process, of which 40,000 kB are for requests
const MEMORY_BYTES: u64 = 100_000 << 10;

#[test]
fn short_memory_buffers_for_retries_or_admits_requests() {
    let cases = [
        Case {
            held_kb: &[],
            level: Level::Ample,
        },
        Case {
            held_kb: &[4_000, 6_000],
            level: Level::Ample,
        },
        Case {
            held_kb: &[4_000, 6_001],
            level: Level::Tight,
        },
        Case {
            held_kb: &[10_000, 30_000],
            level: Level::Tight,
        },
        Case {
            held_kb: &[10_000, 30_001],
            level: Level::Short,
        },
        Case {
            held_kb: &[50_000, 50_000],
            level: Level::Short,
        },
    ];
    for case in cases {
        let budget = Rc::new(Budget::new(MEMORY_BYTES));
        let holds = case.held_kb.iter().map(|kb| Hold::new(&budget, kb << 10));
        let holds: Vec<Hold> = holds.collect();
        assert_eq!(budget.level(), case.level, "{case:?}");
        assert_eq!(budget.allows_buffers(), case.level == Level::Ample);
        assert_eq!(budget.admits(), case.level != Level::Short);
        drop(holds);
        assert_eq!((budget.held(), budget.level()), (0, Level::Ample));
    }
}

// Callers of one route that do not read leave no memory for those of others.
#[test]
fn one_route_takes_all_memory() {
    struct Case {
        held_kb: usize,
        /// Number of requests of the route in flight, of which 1,250 hold half of the budget
        running: usize,
        is_admitted: bool,
    }
    let cases = [
        (37_500, 2400, true),
        (37_501, 2400, false),
        (37_501, 1251, false),
        (37_501, 1250, true),
        (40_000, 0, true),
        (40_001, 0, false),
    ];
    let cases = cases.map(|(held_kb, running, is_admitted)| Case {
        held_kb,
        running,
        is_admitted,
    });
    for case in cases {
        let budget = Rc::new(Budget::new(MEMORY_BYTES));
        let _hold = Hold::new(&budget, case.held_kb << 10);
        let is_admitted = budget.admits_route(case.running);
        assert_eq!(is_admitted, case.is_admitted, "{} kB", case.held_kb);
    }
}

#[test]
fn released_bytes_stay_held() {
    let budget = Rc::new(Budget::new(MEMORY_BYTES));
    let mut first = Hold::new(&budget, 100);
    let second = Hold::new(&budget, 50);
    first.set(400);
    assert_eq!(budget.held(), 450);
    first.set(0);
    assert_eq!(budget.held(), 50);
    drop(second);
    first.set(7);
    assert_eq!(budget.held(), 7);
    drop(first);
    assert_eq!(budget.held(), 0);
}

#[test]
fn changed_limit_loses_what_is_held() {
    let budget = Rc::new(Budget::new(MEMORY_BYTES));
    let hold = Hold::new(&budget, 30_000 << 10);
    assert_eq!(budget.level(), Level::Tight);
    budget.resize(MEMORY_BYTES / 2);
    assert_eq!(
        (budget.held(), budget.level()),
        (30_000 << 10, Level::Short)
    );
    budget.resize(MEMORY_BYTES * 4);
    assert_eq!(
        (budget.held(), budget.level()),
        (30_000 << 10, Level::Ample)
    );
    drop(hold);
    assert_eq!(budget.held(), 0);
}
