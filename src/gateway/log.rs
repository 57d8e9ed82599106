//! Log of the process: JSON lines on standard output, rate-limited and non-blocking.
//!
//! Lines pass through a queue to a writer thread. When standard output is not read, the queue fills
//! up and further lines are dropped; their number is logged once lines are written again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use smol::channel::{Receiver, Sender, bounded};

use super::record;
use crate::error::Error;

/// Maximum number of lines in the queue; a few seconds on a busy host
const MAX_QUEUED_LINES: usize = 1024;

/// Maximum bytes of lines in one interval; twice the budget of the decision log
const MAX_BYTES_PER_SECOND: usize = 64 << 10;

/// Interval over which bytes are counted
const VOLUME_INTERVAL: Duration = Duration::from_secs(1);

/// Number of lines dropped since the start of the process; global, as a process has one log
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start of the process
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Starts the log of this process
pub fn start(level: &str) -> Result<LoggerHandle, Error> {
    let usage_error = |error: flexi_logger::FlexiLoggerError| {
        Error::Usage(format!("log: {error}; use a level such as info"))
    };
    let (sender, queue) = bounded(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_lines(&queue, std::io::stdout()));
    let logger = Logger::try_with_str(level).map_err(usage_error)?;
    let writer = Box::new(QueueWriter::new(sender));
    logger.log_to_writer(writer).start().map_err(usage_error)
}

/// Writes lines until the queue is closed, and after a gap the number of dropped lines
pub(super) fn write_lines(queue: &Receiver<String>, mut output: impl Write) {
    let mut reported_lines = 0;
    while let Ok(line) = queue.recv_blocking() {
        // Standard output may be closed; there is nowhere else to report that.
        let _ = output.write_all(line.as_bytes());
        let total_lost = lost_lines();
        if total_lost > reported_lines {
            let time = DeferredNow::new().now().to_rfc3339();
            let event =
                serde_json::json!({ "event": "log-lost", "lines": total_lost - reported_lines });
            let _ = writeln!(output, "{{\"t\":\"{time}\",\"decision\":{event}}}");
            reported_lines = total_lost;
        }
    }
}

/// Log writer that drops lines when its queue is full or the volume limit is reached
pub(super) struct QueueWriter {
    lines: Sender<String>,
    /// Start of the interval and the bytes counted in it
    volume: Mutex<(Instant, usize)>,
}

impl QueueWriter {
    pub(super) fn new(lines: Sender<String>) -> Self {
        Self {
            lines,
            volume: Mutex::new((Instant::now(), 0)),
        }
    }

    /// Queues a line, or counts it as dropped
    pub(super) fn push(&self, now: Instant, line: String) {
        if !self.fits_volume(now, line.len()) || self.lines.try_send(line).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn fits_volume(&self, now: Instant, bytes: usize) -> bool {
        let mut volume = self.volume.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= volume.0 + VOLUME_INTERVAL {
            *volume = (now, 0);
        }
        volume.1 += bytes;
        volume.1 <= MAX_BYTES_PER_SECOND
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        let time = now.now().to_rfc3339();
        let line = match record.target() {
            record::TARGET => format!("{{\"t\":\"{time}\",\"decision\":{}}}\n", record.args()),
            target => {
                let message = record.args().to_string();
                let level = record.level().as_str();
                let line = serde_json::json!({
                    "t": time, "level": level, "module": target, "message": message,
                });
                format!("{line}\n")
            }
        };
        self.push(Instant::now(), line);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}
