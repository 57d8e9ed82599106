//! Bounds of the log, and what it tells of lines that were left out.

use std::time::{Duration, Instant};

use smol::channel::bounded;

use crate::gateway::log::{Queue, drain, lost};

#[test]
fn lines_beyond_the_queue_and_the_volume_are_counted_and_told() {
    struct Case {
        name: &'static str,
        queue: usize,
        lines: usize,
        bytes: usize,
        /// Seconds between two lines
        apart: u64,
        lost: u64,
    }
    let cases = [
        Case {
            name: "all fit",
            queue: 10,
            lines: 10,
            bytes: 100,
            apart: 0,
            lost: 0,
        },
        Case {
            name: "nobody reads",
            queue: 10,
            lines: 25,
            bytes: 100,
            apart: 0,
            lost: 15,
        },
        Case {
            name: "more than 64 KiB in a second",
            queue: 100,
            lines: 20,
            bytes: 8 << 10,
            apart: 0,
            lost: 12,
        },
        Case {
            name: "the same over more seconds",
            queue: 100,
            lines: 20,
            bytes: 8 << 10,
            apart: 1,
            lost: 0,
        },
    ];
    // The count is of the whole process, so the cases follow each other in one test.
    let start = Instant::now();
    for case in cases {
        let before = lost();
        let (sender, receiver) = bounded(case.queue);
        let queue = Queue::new(sender);
        for number in 0..case.lines {
            let now = start + Duration::from_secs(case.apart * number as u64);
            queue.push(now, "x".repeat(case.bytes - 1) + "\n");
        }
        drop(queue);
        assert_eq!(lost() - before, case.lost, "{}", case.name);
        let mut output = Vec::new();
        drain(&receiver, &mut output);
        let text = String::from_utf8(output).expect("text");
        let told = text.lines().filter(|line| line.contains("log-lost"));
        let total = lost();
        let told: Vec<&str> = told.collect();
        assert_eq!(told.len(), usize::from(total > 0), "{}", case.name);
        if total > 0 {
            assert!(told[0].contains(&format!("\"lines\":{total}")), "{told:?}");
        }
    }
}
