//! Orders in which reports of a host may come.

use std::time::{Duration, Instant, SystemTime};

use super::{LOWER_TTL, Sequences, first_sequence};

/// Guards against a late or doubled report that replaces a newer one, and against a host that is ignored
/// after it has started again
#[test]
fn older_report_replaces_a_newer_one_or_a_new_process_is_ignored() {
    struct Case {
        name: &'static str,
        /// Time in milliseconds, number, whether the report is newer than those before
        reports: &'static [(u64, u64, bool)],
    }
    let ttl = LOWER_TTL.as_millis() as u64;
    assert_eq!(ttl, 4000);
    let cases = [
        Case {
            name: "in order",
            reports: &[(0, 5, true), (100, 6, true), (200, 9, true)],
        },
        Case {
            name: "late",
            reports: &[
                (0, 5, true),
                (100, 7, true),
                (110, 6, false),
                (200, 8, true),
            ],
        },
        Case {
            name: "twice",
            reports: &[(0, 5, true), (1, 5, false), (100, 6, true)],
        },
        Case {
            name: "without numbers, as before",
            reports: &[(0, 0, true), (100, 0, true)],
        },
        Case {
            name: "back to a version without numbers, and forth",
            reports: &[(0, 5, true), (100, 0, true), (200, 9, true), (300, 0, true)],
        },
        Case {
            name: "a process that started with an earlier clock",
            reports: &[
                (0, 900, true),
                (3900, 5, false),
                (4000, 6, true),
                (4100, 7, true),
            ],
        },
        Case {
            name: "late after a process that started with an earlier clock",
            reports: &[
                (0, 900, true),
                (4000, 6, true),
                (4100, 901, true),
                (8100, 7, true),
            ],
        },
    ];
    let start = Instant::now();
    for case in cases {
        let mut sequences = Sequences::default();
        for (millis, number, is_newer) in case.reports {
            let now = start + Duration::from_millis(*millis);
            let recorded = sequences.record(now, &"edge-1".into(), *number);
            assert_eq!(recorded, *is_newer, "{}: {millis} ms", case.name);
        }
    }
}

/// Guards against a new process whose numbers are lower than those of the one before
#[test]
fn next_process_begins_with_lower_numbers() {
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let reports_a_second = 10_000;
    let first = first_sequence(start);
    let next = first_sequence(start + Duration::from_secs(1));
    assert!(first + reports_a_second < next);
    assert!(first_sequence(SystemTime::UNIX_EPOCH - Duration::from_secs(1)) > 0);
}
