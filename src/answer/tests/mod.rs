//! Verdicts on single answers.

mod model;

use crate::answer::{Evidence, Verdict, judge};

#[test]
fn answers_prove_what_they_state_only_where_nothing_else_can_be_meant() {
    struct Case {
        name: &'static str,
        stated_ids: &'static [&'static str],
        needs_id: bool,
        skipped: usize,
        status: u16,
        refusals: usize,
        /// `None` for an answer that proves nothing
        expected: Option<Verdict>,
    }
    let case = |name, stated_ids, needs_id, skipped, status, refusals, expected| Case {
        name,
        stated_ids,
        needs_id,
        skipped,
        status,
        refusals,
        expected,
    };
    let own: &[&str] = &["a"];
    let cases = [
        case("success", own, true, 0, 200, 0, Some(Verdict::Own)),
        case(
            "success behind another answer",
            own,
            true,
            1,
            200,
            0,
            Some(Verdict::Own),
        ),
        case("refusal", own, true, 0, 503, 1, Some(Verdict::NotRun)),
        case(
            "status of a refusal alone",
            own,
            true,
            0,
            503,
            0,
            Some(Verdict::Own),
        ),
        case("other id", &["b"], true, 0, 503, 1, Some(Verdict::Foreign)),
        case(
            "no id on a new connection",
            &[],
            false,
            0,
            503,
            1,
            Some(Verdict::NotRun),
        ),
        case("no id on a kept connection", &[], true, 0, 200, 0, None),
        case("no id behind another answer", &[], false, 1, 200, 0, None),
        case("two ids", &["a", "b"], false, 0, 503, 1, None),
        case("the same id twice", &["a", "a"], false, 0, 503, 1, None),
        case("refusal stated twice", own, false, 0, 503, 2, None),
        case("refusal with a success", own, false, 0, 200, 1, None),
        case("refusal behind another answer", own, true, 1, 503, 1, None),
    ];
    for case in cases {
        let verdict = judge(&Evidence {
            sent_id: Some("a"),
            stated_ids: case.stated_ids,
            needs_id: case.needs_id,
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
