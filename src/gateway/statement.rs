//! Headers in which endpoints state something that this version does not read.

use std::collections::BTreeSet;

use compact_str::CompactString;

use super::Gateway;
use crate::catalog::Endpoint;
use crate::message::Headers;
use crate::platform::header;

/// Maximum number of names that are counted apart; the others are counted together
const MAX_NAMES: usize = 16;

/// Maximum length of a name that is counted apart, in bytes
const MAX_NAME_BYTES: usize = 40;

/// Label of all other names
const OTHER: &str = "other";

/// Names of headers that were not understood
#[derive(Debug, Default)]
pub struct Names(BTreeSet<CompactString>);

impl Names {
    /// Returns the label under which a name is counted, and whether it is new
    pub fn label(&mut self, name: &str) -> (CompactString, bool) {
        let label = CompactString::from(name.to_ascii_lowercase());
        if self.0.contains(&label) {
            return (label, false);
        }
        if name.len() > MAX_NAME_BYTES || self.0.len() >= MAX_NAMES {
            return (OTHER.into(), false);
        }
        self.0.insert(label.clone());
        (label, true)
    }
}

impl Gateway {
    /// Counts the headers of an answer that are not understood; logs each name once
    pub(super) fn record_unknown_headers(&self, endpoint: &Endpoint, headers: &Headers) {
        for name in header::unknown_statements(headers) {
            let (label, is_new) = self.unknown_headers.borrow_mut().label(name);
            self.metrics.count_unknown_header(&label);
            if is_new {
                let fields = [
                    ("endpoint", endpoint.id.as_str().into()),
                    ("name", label.as_str().into()),
                ];
                self.recorder.event("header-unknown", &fields);
            }
        }
    }
}
