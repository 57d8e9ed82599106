//! Copies of answers that an endpoint sends once more later on the same connection.

use std::collections::BTreeMap;

use super::endpoint::Faults;

/// Second copies of answers
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LateCopies {
    /// None are sent
    #[default]
    None,
    /// The same bytes once more
    Exact,
    /// Without the attempt id
    WithoutId,
}

/// Second copies of refusals
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RefusalCopies {
    /// None are sent
    #[default]
    None,
    /// Before the next answer on the connection, whichever it is
    NextAnswer,
    /// Before the answer to the same attempt, when it is under way again on the connection
    SameAttempt,
}

/// Copies that are still to be sent on one connection
#[derive(Debug, Default)]
pub struct Pending {
    next: Vec<u8>,
    by_attempt: BTreeMap<String, Vec<u8>>,
}

impl Pending {
    /// Returns what is sent before the answer to an attempt, only once
    pub fn take(&mut self, attempt_id: &str) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.next);
        bytes.extend(self.by_attempt.remove(attempt_id).unwrap_or_default());
        bytes
    }

    /// Keeps copies of an answer for later, as the faults say
    pub fn add(&mut self, faults: &Faults, attempt_id: &str, answer: &[u8]) {
        match faults.late_copies {
            LateCopies::None => {}
            LateCopies::Exact => self.next = answer.to_vec(),
            LateCopies::WithoutId => self.next = without_header(answer, "Attempt-Id: "),
        }
        let is_refusal = answer.starts_with(b"HTTP/1.1 421 ")
            || position(answer, b"\r\nNot-Executed: 1\r\n", 0).is_some();
        if !is_refusal {
            return;
        }
        match faults.refusal_copies {
            RefusalCopies::None => {}
            RefusalCopies::NextAnswer => self.next = answer.to_vec(),
            RefusalCopies::SameAttempt => {
                self.by_attempt
                    .insert(attempt_id.to_owned(), answer.to_vec());
            }
        }
    }
}

/// Returns a response without the header line that begins with `name`
fn without_header(bytes: &[u8], name: &str) -> Vec<u8> {
    let start = position(bytes, name.as_bytes(), 0);
    let end = start.and_then(|start| position(bytes, b"\r\n", start));
    match (start, end) {
        (Some(start), Some(end)) => [&bytes[..start], &bytes[end + 2..]].concat(),
        _ => bytes.to_vec(),
    }
}

fn position(bytes: &[u8], pattern: &[u8], from: usize) -> Option<usize> {
    let found = bytes[from..]
        .windows(pattern.len())
        .position(|part| part == pattern);
    found.map(|offset| from + offset)
}
