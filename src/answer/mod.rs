//! What the answer of an upstream proves about the request for which it was read.
//!
//! A wrong "did not run" makes a once-only request run twice, so a refusal counts only if nothing but
//! the request itself can have caused it. On a connection that was used before, all or the first part
//! of an earlier answer may stand before the request's own one, also an earlier refusal of the same
//! request. Therefore an answer counts as the request's own only if it states the request's id and the
//! connection has carried that id once, or if the connection has carried nothing else. Heads with a
//! second status line are malformed already ([`crate::message::Response::parse`]).

mod history;

#[cfg(test)]
mod tests;

pub use history::{Distinction, History};

/// What was seen of an exchange up to the head of an answer
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// Id of the request, if it has one
    pub sent_id: Option<&'a str>,
    /// All ids that the head states
    pub stated_ids: &'a [&'a str],
    /// How the answer is told from earlier ones on the connection
    pub distinction: Distinction,
    /// Number of answers to other requests that came before on the connection after the request
    pub skipped: usize,
    /// HTTP status
    pub status: u16,
    /// Number of header lines that state that the request did not run
    pub refusals: usize,
}

/// What an answer proves
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It belongs to the request, which may have run
    Own,
    /// It belongs to the request, which did not run
    NotRun,
    /// It belongs to another request
    Foreign,
    /// Nothing; the reason is the text of an error
    Unclear(&'static str),
}

/// Judges the head of an answer
pub fn judge(evidence: &Evidence<'_>) -> Verdict {
    match (evidence.distinction, evidence.sent_id, evidence.stated_ids) {
        (_, _, [_, _, ..]) => return Verdict::Unclear("answer with several attempt ids"),
        (_, Some(sent), [stated]) if sent != *stated => return Verdict::Foreign,
        // Callers of this function send no such request; this holds if one of them errs.
        (Distinction::Ambiguous, ..) => {
            return Verdict::Unclear("answer that an earlier one could be");
        }
        (Distinction::Id, _, []) => return Verdict::Unclear("answer without an attempt id"),
        (Distinction::First, Some(_), []) if evidence.skipped > 0 => {
            return Verdict::Unclear("answer without an attempt id");
        }
        _ => {}
    }
    match evidence.refusals {
        0 => Verdict::Own,
        1 if evidence.status < 400 => Verdict::Unclear("refusal with the status of a success"),
        1 if evidence.skipped > 0 => Verdict::Unclear("refusal behind another answer"),
        1 => Verdict::NotRun,
        _ => Verdict::Unclear("refusal stated more than once"),
    }
}
