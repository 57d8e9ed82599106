use super::store::{On, Store};

#[test]
fn conditional_writes_hold() {
    struct Case {
        name: &'static str,
        on: On,
        written: Option<u64>,
    }
    let cases = [
        Case {
            name: "a new object",
            on: On::Absent,
            written: Some(1),
        },
        Case {
            name: "a second creation",
            on: On::Absent,
            written: None,
        },
        Case {
            name: "a stale version",
            on: On::Version(7),
            written: None,
        },
        Case {
            name: "the present version",
            on: On::Version(1),
            written: Some(2),
        },
        Case {
            name: "the same version again",
            on: On::Version(1),
            written: None,
        },
    ];
    let mut store = Store::new();
    for case in cases {
        let written = store.write("a", Vec::new(), case.on);
        assert_eq!(written, case.written, "{}", case.name);
    }
    assert_eq!(store.read("a").map(|(version, _)| *version), Some(2));
    assert_eq!(store.read_old("a", 1).map(|(version, _)| *version), Some(1));
}

#[test]
fn ports_are_given_once() {
    let mut given = std::collections::BTreeSet::new();
    for _ in 0..40 {
        for port in super::ports::free(5).expect("free ports") {
            assert!(given.insert(port), "{port} was given twice");
        }
    }
}
