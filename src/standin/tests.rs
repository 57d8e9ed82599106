use super::store::{Condition, Store};

#[test]
fn writes_require_matching_condition() {
    struct Case {
        name: &'static str,
        condition: Condition,
        expected_version: Option<u64>,
    }
    let cases = [
        Case {
            name: "create a new object",
            condition: Condition::Absent,
            expected_version: Some(1),
        },
        Case {
            name: "create an existing object",
            condition: Condition::Absent,
            expected_version: None,
        },
        Case {
            name: "write with a wrong version",
            condition: Condition::Version(7),
            expected_version: None,
        },
        Case {
            name: "write with the current version",
            condition: Condition::Version(1),
            expected_version: Some(2),
        },
        Case {
            name: "write with an outdated version",
            condition: Condition::Version(1),
            expected_version: None,
        },
    ];
    let mut store = Store::new();
    for case in cases {
        let version = store.write("a", Vec::new(), case.condition);
        assert_eq!(version, case.expected_version, "{}", case.name);
    }
    assert_eq!(store.read("a").map(|(version, _)| *version), Some(2));
    assert_eq!(
        store.read_stale("a", 1).map(|(version, _)| *version),
        Some(1)
    );
}

#[test]
fn ports_are_allocated_once() {
    let mut allocated = std::collections::BTreeSet::new();
    for _ in 0..40 {
        for port in super::ports::allocate(5).expect("5 ports are free") {
            assert!(allocated.insert(port), "port {port} was allocated twice");
        }
    }
}
