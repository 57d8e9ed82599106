//! Record of the requests that reached an upstream stand-in, for detecting duplicate executions.
//!
//! With a file, each entry is written before the response is sent and a restarted stand-in loads
//! the file, so that a crash loses no entries.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// Outcome of a request at the upstream
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The request took effect
    Ran,
    /// The request was cancelled before it took effect
    Cancelled,
    /// The request was refused because no slot was free or the upstream is draining
    Shed,
    /// The request crashed the process
    Crashed,
}

/// One request that reached the upstream
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// `Pier-Request`, empty when absent
    pub request: String,
    /// `Idempotency-Key`, else the query parameter `key`, else empty
    pub key: String,
    /// `Pier-Ticket`, empty when absent
    pub ticket: String,
    /// HTTP method
    pub method: String,
    /// Path and query
    pub target: String,
    /// Stable hash of the body
    pub body_hash: u64,
    /// Outcome of the request
    pub outcome: Outcome,
    /// Arrival time, in milliseconds since the Unix epoch
    pub arrived: u64,
    /// Time when the request took effect or was refused or cancelled, in milliseconds since the Unix epoch
    pub at: u64,
}

/// Response to `GET /record`
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the endpoint
    pub name: String,
    /// Number of requests of all methods by outcome
    pub counts: BTreeMap<Outcome, u64>,
    /// Completed requests, oldest first; GET and HEAD requests only if they crashed the process
    pub entries: Vec<Entry>,
    /// Number of running requests
    pub running: u32,
    /// Maximum number of concurrent requests, including one that was shed
    pub max_running: u32,
    /// Number of requests that arrived while no slot was free
    pub over_slots: u64,
    /// Number of accepted connections
    pub connections: u64,
    /// Number of copies of refusals that were sent
    pub copied_refusals: u64,
    /// Time when the newest request was admitted, in milliseconds since the Unix epoch
    pub last_begun: u64,
}

impl Report {
    /// Returns the number of executions by key
    pub fn run_counts(&self) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        let executed = self
            .entries
            .iter()
            .filter(|entry| entry.outcome == Outcome::Ran);
        for entry in executed {
            *counts.entry(entry.key.as_str()).or_default() += 1;
        }
        counts
    }
}

/// Entries in memory and optionally in a file
#[derive(Debug, Default)]
pub struct Record {
    counts: BTreeMap<Outcome, u64>,
    entries: Vec<Entry>,
    file: Option<File>,
}

impl Record {
    /// Creates a record in memory
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a record that loads a file and appends to it
    pub fn with_file(path: &Path) -> std::io::Result<Self> {
        let content = match std::fs::read_to_string(path) {
            Ok(content) => content,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        let mut record = Self::new();
        for line in content.lines() {
            record.add(serde_json::from_str(line).map_err(std::io::Error::other)?);
        }
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        record.file = Some(file);
        Ok(record)
    }

    /// Adds an entry; exits the process if the file cannot be written
    pub fn add(&mut self, entry: Entry) {
        *self.counts.entry(entry.outcome).or_default() += 1;
        let is_idempotent = matches!(entry.method.as_str(), "GET" | "HEAD");
        if is_idempotent && entry.outcome != Outcome::Crashed {
            return;
        }
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_vec(&entry).expect("the entry serializes to JSON");
            line.push(b'\n');
            if let Err(error) = file.write_all(&line) {
                log::error!("cannot write a request to the record file: {error}");
                std::process::exit(i32::from(crate::error::EXIT_UNAVAILABLE));
            }
        }
        self.entries.push(entry);
    }

    /// Returns the number of requests by outcome
    pub fn counts(&self) -> &BTreeMap<Outcome, u64> {
        &self.counts
    }

    /// Returns the entries, oldest first
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
