//! What was sent, answered and run, with the time of each line.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of a play
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {text}"));
    }

    /// Writes all lines to `record.txt` in a folder
    pub fn save(&self, folder: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = std::fs::write(folder.join("record.txt"), text) {
            eprintln!("cannot write record.txt: {error}");
        }
    }
}
