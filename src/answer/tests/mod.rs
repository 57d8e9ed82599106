//! Verdicts on single answers.

mod model;

use crate::answer::Distinction::{self, First, Id};
use crate::answer::{Evidence, History, Verdict, judge};

#[test]
fn answers_prove_what_they_state_only_where_nothing_else_can_be_meant() {
    struct Case {
        name: &'static str,
        stated_ids: &'static [&'static str],
        distinction: Distinction,
        skipped: usize,
        status: u16,
        refusals: usize,
        /// `None` for an answer that proves nothing
        expected: Option<Verdict>,
    }
    let case = |name, stated_ids, distinction, skipped, status, refusals, expected| Case {
        name,
        stated_ids,
        distinction,
        skipped,
        status,
        refusals,
        expected,
    };
    let own: &[&str] = &["a"];
    let cases = [
        case("success", own, Id, 0, 200, 0, Some(Verdict::Own)),
        case(
            "success behind another answer",
            own,
            Id,
            1,
            200,
            0,
            Some(Verdict::Own),
        ),
        case("refusal", own, Id, 0, 503, 1, Some(Verdict::NotRun)),
        case(
            "status of a refusal alone",
            own,
            Id,
            0,
            503,
            0,
            Some(Verdict::Own),
        ),
        case("other id", &["b"], Id, 0, 503, 1, Some(Verdict::Foreign)),
        case(
            "no id on a new connection",
            &[],
            First,
            0,
            503,
            1,
            Some(Verdict::NotRun),
        ),
        case("no id on a kept connection", &[], Id, 0, 200, 0, None),
        case("no id behind another answer", &[], First, 1, 200, 0, None),
        case("two ids", &["a", "b"], First, 0, 503, 1, None),
        case("the same id twice", &["a", "a"], First, 0, 503, 1, None),
        case("refusal stated twice", own, First, 0, 503, 2, None),
        case("refusal with a success", own, First, 0, 200, 1, None),
        case("refusal behind another answer", own, Id, 1, 503, 1, None),
        case(
            "refusal of an earlier try",
            own,
            Distinction::Ambiguous,
            0,
            503,
            1,
            None,
        ),
        case(
            "success of an earlier try",
            own,
            Distinction::Ambiguous,
            0,
            200,
            0,
            None,
        ),
    ];
    for case in cases {
        let verdict = judge(&Evidence {
            sent_id: Some("a"),
            stated_ids: case.stated_ids,
            distinction: case.distinction,
            skipped: case.skipped,
            status: case.status,
            refusals: case.refusals,
        });
        match case.expected {
            Some(expected) => assert_eq!(verdict, expected, "{}", case.name),
            None => assert!(
                matches!(verdict, Verdict::Unclear(_)),
                "{}: {verdict:?}",
                case.name
            ),
        }
    }
}

#[test]
fn connection_carries_an_id_a_second_time() {
    struct Case {
        name: &'static str,
        carried: &'static [Option<&'static str>],
        id: Option<&'static str>,
        expected: Distinction,
    }
    let cases = [
        Case {
            name: "new connection",
            carried: &[],
            id: Some("a"),
            expected: First,
        },
        Case {
            name: "new connection, no id",
            carried: &[],
            id: None,
            expected: First,
        },
        Case {
            name: "other id",
            carried: &[Some("b"), None],
            id: Some("a"),
            expected: Id,
        },
        Case {
            name: "the same id",
            carried: &[Some("a")],
            id: Some("a"),
            expected: Distinction::Ambiguous,
        },
        Case {
            name: "the same id, with others in between",
            carried: &[Some("a"), Some("b"), None, Some("c")],
            id: Some("a"),
            expected: Distinction::Ambiguous,
        },
        Case {
            name: "no id on a kept connection",
            carried: &[Some("a")],
            id: None,
            expected: Distinction::Ambiguous,
        },
    ];
    for case in cases {
        let mut history = History::new();
        for id in case.carried {
            history.record(*id);
        }
        assert_eq!(history.distinction(case.id), case.expected, "{}", case.name);
        let may_carry = case.expected != Distinction::Ambiguous;
        assert_eq!(history.may_carry(case.id), may_carry, "{}", case.name);
    }
}

// The ids of a connection must not use memory without bound.
#[test]
fn connection_carries_requests_without_end() {
    let mut history = History::new();
    let carried = (0..10_000)
        .take_while(|number: &u32| {
            let id = number.to_string();
            let may_carry = history.may_carry(Some(&id));
            history.record(Some(&id));
            may_carry
        })
        .count();
    assert_eq!(carried, 256);
}
