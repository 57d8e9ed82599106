//! Log of a gateway: JSON lines on standard output, bounded in volume, never waited for.
//!
//! Lines pass through a queue to a thread that writes them. When nobody reads standard output the
//! queue fills and further lines are left out; what was left out is counted and told when lines
//! pass again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use smol::channel::{Receiver, Sender, bounded};

use super::record;
use crate::error::Error;

/// Lines that wait for standard output; some seconds of a busy host
const QUEUE: usize = 1024;

/// Bytes of lines in a second; twice what the budget of decision lines comes to
const VOLUME: usize = 64 << 10;

/// Time in which bytes are counted
const SECOND: Duration = Duration::from_secs(1);

/// Lines left out since the start of the process, which has one log
static LOST: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out since the start
pub fn lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Start the log of this process
pub fn start(level: &str) -> Result<LoggerHandle, Error> {
    let usage = |error: flexi_logger::FlexiLoggerError| {
        Error::Usage(format!("log: {error}; use a level such as info"))
    };
    let (lines, queue) = bounded(QUEUE);
    std::thread::spawn(move || drain(&queue, std::io::stdout()));
    let logger = Logger::try_with_str(level).map_err(usage)?;
    let writer = Box::new(Queue::new(lines));
    logger.log_to_writer(writer).start().map_err(usage)
}

/// Write lines for ever, and after a gap how many are missing
pub(super) fn drain(queue: &Receiver<String>, mut output: impl Write) {
    let mut told = 0;
    while let Ok(line) = queue.recv_blocking() {
        // Standard output may be closed; there is nowhere left to tell it.
        let _ = output.write_all(line.as_bytes());
        let lost = lost();
        if lost > told {
            let time = DeferredNow::new().now().to_rfc3339();
            let event = serde_json::json!({ "event": "log-lost", "lines": lost - told });
            let _ = writeln!(output, "{{\"t\":\"{time}\",\"decision\":{event}}}");
            told = lost;
        }
    }
}

/// Log writer that leaves lines out when its queue is full or too much was written
pub(super) struct Queue {
    lines: Sender<String>,
    /// Begin of the second and bytes in it
    written: Mutex<(Instant, usize)>,
}

impl Queue {
    pub(super) fn new(lines: Sender<String>) -> Self {
        Self {
            lines,
            written: Mutex::new((Instant::now(), 0)),
        }
    }

    /// Pass a line on, or count it as left out
    pub(super) fn push(&self, now: Instant, line: String) {
        if !self.fits(now, line.len()) || self.lines.try_send(line).is_err() {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn fits(&self, now: Instant, bytes: usize) -> bool {
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= written.0 + SECOND {
            *written = (now, 0);
        }
        written.1 += bytes;
        written.1 <= VOLUME
    }
}

impl LogWriter for Queue {
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
