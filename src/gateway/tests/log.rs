//! Limits of the log, and the report of dropped lines.

use std::time::{Duration, Instant};

use smol::channel::bounded;

use crate::gateway::log::{QueueWriter, lost_lines, write_lines};

#[test]
fn lines_beyond_the_queue_or_volume_limit_are_counted_and_reported() {
    struct Case {
        name: &'static str,
        queue: usize,
        lines: usize,
        bytes: usize,
        /// Interval between two lines
        interval_seconds: u64,
        dropped: u64,
    }
    let cases = [
        Case {
            name: "all lines fit",
            queue: 10,
            lines: 10,
            bytes: 100,
            interval_seconds: 0,
            dropped: 0,
        },
        Case {
            name: "output is not read",
            queue: 10,
            lines: 25,
            bytes: 100,
            interval_seconds: 0,
            dropped: 15,
        },
        Case {
            name: "more than 64 KiB in a second",
            queue: 100,
            lines: 20,
            bytes: 8 << 10,
            interval_seconds: 0,
            dropped: 12,
        },
        Case {
            name: "one line per second",
            queue: 100,
            lines: 20,
            bytes: 8 << 10,
            interval_seconds: 1,
            dropped: 0,
        },
    ];
    // The counter is global to the process, so all cases run in one test.
    let start = Instant::now();
    for case in cases {
        let before = lost_lines();
        let (sender, receiver) = bounded(case.queue);
        let queue = QueueWriter::new(sender);
        for number in 0..case.lines {
            let now = start + Duration::from_secs(case.interval_seconds * number as u64);
            queue.push(now, "x".repeat(case.bytes - 1) + "\n");
        }
        drop(queue);
        assert_eq!(lost_lines() - before, case.dropped, "{}", case.name);
        let mut output = Vec::new();
        write_lines(&receiver, &mut output);
        let text = String::from_utf8(output).expect("output is not UTF-8");
        let gap_lines = text.lines().filter(|line| line.contains("log-lost"));
        let total = lost_lines();
        let gap_lines: Vec<&str> = gap_lines.collect();
        assert_eq!(gap_lines.len(), usize::from(total > 0), "{}", case.name);
        if total > 0 {
            assert!(
                gap_lines[0].contains(&format!("\"lines\":{total}")),
                "{gap_lines:?}"
            );
        }
    }
}
