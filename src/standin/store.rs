//! Object store of the platform stand-in, with versions, conditional writes and stale reads.

use std::collections::BTreeMap;

/// Precondition of a write
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist
    Absent,
    /// The object must have this version
    Version(u64),
}

/// Version number and body
pub type ObjectVersion = (u64, Vec<u8>);

/// Objects with all versions
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Vec<ObjectVersion>>,
    last_version: u64,
}

impl Store {
    /// Creates an empty store
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest version of an object
    pub fn read(&self, name: &str) -> Option<&ObjectVersion> {
        self.objects.get(name)?.last()
    }

    /// Returns the version that is `age` writes older than the newest, or the oldest version
    pub fn read_stale(&self, name: &str, age: usize) -> Option<&ObjectVersion> {
        let versions = self.objects.get(name)?;
        versions.get(versions.len().saturating_sub(age + 1))
    }

    /// Writes an object and returns its version, or `None` if the condition fails
    pub fn write(&mut self, name: &str, body: Vec<u8>, condition: Condition) -> Option<u64> {
        let current = self.read(name).map(|(version, _)| *version);
        let is_met = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        };
        if !is_met {
            return None;
        }
        self.last_version += 1;
        let versions = self.objects.entry(name.to_owned()).or_default();
        versions.push((self.last_version, body));
        Some(self.last_version)
    }

    /// Returns the names of all objects
    pub fn names(&self) -> Vec<String> {
        self.objects.keys().cloned().collect()
    }
}
