//! What callers were told of requests that may run once, against what endpoints ran.

use std::collections::BTreeMap;
use std::time::Instant;

use super::client::Attempt;

/// Returns the tries of each attempt id, in order of time
pub fn tries_by_id(attempts: &[Attempt]) -> BTreeMap<&str, Vec<&Attempt>> {
    let mut tries: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        tries.entry(&attempt.id).or_default().push(attempt);
    }
    tries
}

/// Returns whether an answer states that the request did not run
fn is_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, Ok(408 | 421 | 429 | 503))
}

/// Returns one line for each once-only attempt id that ran twice, or during or after a try that was
/// told "not run" and before the next try
pub fn violations(
    attempts: &[Attempt],
    run_starts: &[BTreeMap<String, Vec<Instant>>],
) -> Vec<String> {
    let mut violations = Vec::new();
    for (id, tries) in tries_by_id(attempts) {
        if !tries[0].at_most_once {
            continue;
        }
        let starts = run_starts.iter().filter_map(|starts| starts.get(id));
        let starts: Vec<Instant> = starts.flatten().copied().collect();
        if starts.len() > 1 {
            violations.push(format!("ran {} times: {tries:?}", starts.len()));
        }
        for (index, attempt) in tries.iter().enumerate() {
            let next = tries.get(index + 1).map(|next| next.sent_at);
            let ran = starts
                .iter()
                .any(|start| *start >= attempt.sent_at && next.is_none_or(|next| *start < next));
            if ran && is_not_run(attempt) {
                violations.push(format!("told \"not run\" though it ran: {attempt:?}"));
            }
        }
    }
    violations
}
