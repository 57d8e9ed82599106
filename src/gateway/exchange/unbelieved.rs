//! Log and count of answers that were not believed: they state another id than the request, or cannot be
//! told from earlier ones.

use super::InFlight;
use super::receive::MAX_STRAY_ANSWERS;
use crate::answer::Distinction;
use crate::message::{Request, Response};
use crate::platform::header;

/// Maximum number of ids of one answer that are logged, and of characters of each
const MAX_LOGGED_IDS: usize = 3;
const MAX_LOGGED_ID_LENGTH: usize = 64;

/// Reason for an answer that states another id
pub const FOREIGN: &str = "answer to another request";

/// Answer that was not believed
#[derive(Clone, Copy, Debug)]
pub struct Unbelieved<'a> {
    /// Its head
    pub head: &'a Response,
    /// Why it was not believed
    pub reason: &'static str,
    /// Number of answers before it that were skipped
    pub skipped: usize,
}

impl Unbelieved<'_> {
    /// Returns what is done: the answer is skipped, or the connection ends
    pub fn consequence(&self) -> &'static str {
        match self.reason == FOREIGN && self.skipped < MAX_STRAY_ANSWERS {
            true => "skipped",
            false => "connection ended",
        }
    }

    /// Returns the ids that it states, as far as they are logged
    pub fn stated_ids(&self) -> Vec<String> {
        let ids = header::stated_ids(self.head).into_iter();
        let cut = |id: &str| id.chars().take(MAX_LOGGED_ID_LENGTH).collect();
        ids.take(MAX_LOGGED_IDS).map(cut).collect()
    }
}

/// Logs and counts an answer that was not believed
pub fn record(
    in_flight: &InFlight,
    request: &Request,
    distinction: Distinction,
    answer: &Unbelieved<'_>,
) {
    let connection = match distinction {
        Distinction::First => "new",
        Distinction::Id | Distinction::Ambiguous => "kept",
    };
    let gateway = &in_flight.gateway;
    gateway
        .metrics
        .count_unbelieved(answer.consequence(), answer.reason);
    let id = header::attempt_id(&request.headers).unwrap_or("-");
    let fields = [
        ("id", id.into()),
        ("endpoint", in_flight.endpoint.id.as_str().into()),
        ("stated", answer.stated_ids().into()),
        ("status", answer.head.status.into()),
        (
            "claims_not_run",
            header::is_not_executed(answer.head).into(),
        ),
        ("connection", connection.into()),
        ("skipped", answer.skipped.into()),
        ("done", answer.consequence().into()),
        ("reason", answer.reason.into()),
    ];
    gateway.recorder.event("answer-unbelieved", &fields);
}
