//! Questions to the owners of permits, and what limits on many endpoints cost.

mod cost;

use std::collections::BTreeSet;
use std::time::Instant;

use super::Limits;

/// Number of questions that a process asks
const QUESTIONS: usize = 100;

fn numbers_of_a_process() -> BTreeSet<u64> {
    let now = Instant::now();
    let limits = Limits::new(now);
    (0..QUESTIONS).map(|_| limits.ask(7, now).0).collect()
}

// A late answer to a question of the process before must not answer one of this process, which may be
// about another endpoint.
#[test]
fn process_that_starts_again_repeats_the_numbers_of_its_questions() {
    let (before, after) = (numbers_of_a_process(), numbers_of_a_process());
    assert_eq!(after.len(), QUESTIONS);
    assert!(before.is_disjoint(&after), "{before:?}, {after:?}");
}
