use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

use super::*;

mod check;

fn base() -> Value {
    json!({
        "zones": {
            "bne-a": {"region": "bne"},
            "bne-b": {"region": "bne"},
            "tsv-a": {"region": "tsv"},
        },
        "blocks": [
            {"first": 0, "last": 99, "region": "bne"},
            {"first": 100, "last": 199, "region": "tsv"},
        ],
        "services": {
            "licence-portal": {
                "endpoints": {
                    "e1": {"zone": "bne-a", "address": "127.0.0.1:9001", "slots": 3},
                    "e2": {"zone": "bne-b", "address": "127.0.0.1:9002", "slots": 3},
                    "e3": {"zone": "tsv-a", "address": "127.0.0.1:9003", "slots": 3},
                },
                "shares": {"bne-a": {"bne-a": 0.5, "bne-b": 0.5}},
            },
        },
        "links": {"bne/tsv": {"bytes_per_second": 1000}},
    })
}

fn patch(on: Version, id: &str, change: Value) -> Patch {
    Patch {
        id: id.into(),
        base: on,
        who: "ann".into(),
        why: "test".into(),
        change,
    }
}

fn first() -> Revision {
    written(accept(&Revision::default(), &patch(0, "p1", base()), 1000))
}

fn written(result: Result<Accepted, PatchError>) -> Revision {
    match result {
        Ok(Accepted::New(revision, _)) => *revision,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn the_examples_are_valid() {
    struct Case {
        file: &'static str,
        endpoints: [usize; 2],
    }
    let cases = [
        Case {
            file: "authority.yaml",
            endpoints: [30, 10],
        },
        Case {
            file: "consorzio.yaml",
            endpoints: [10, 35],
        },
    ];
    let read = |file: &str| {
        let path = format!("{}/examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect(file);
        parse_patch(&text).expect(file)
    };
    for case in cases {
        let first = patch(0, "p1", read(case.file));
        let revision = written(accept(&Revision::default(), &first, 1));
        let services = revision.document.services.values();
        let endpoints: Vec<usize> = services.map(|service| service.endpoints.len()).collect();
        assert_eq!(endpoints, case.endpoints, "{}", case.file);
        if case.file == "authority.yaml" {
            written(accept(&revision, &patch(1, "p2", read("move.yaml")), 2));
        }
    }
}

#[test]
fn patches_are_read_strictly() {
    struct Case {
        text: &'static str,
        says: Option<&'static str>,
    }
    let cases = [
        Case {
            text: "zones: {a: {region: r}}",
            says: None,
        },
        Case {
            text: "{\"zones\": {\"a\": {\"region\": \"r\"}}, \"links\": null}",
            says: None,
        },
        Case {
            text: "zones:\n  a: {region: r}\n  a: {region: s}\n",
            says: Some("duplicate"),
        },
        Case {
            text: "{\"zones\": {}, \"zones\": {}}",
            says: Some("duplicate"),
        },
        Case {
            text: "- 1\n",
            says: Some("no mapping"),
        },
        Case {
            text: "",
            says: Some("no mapping"),
        },
        Case {
            text: "a: [",
            says: Some("cannot be read"),
        },
    ];
    for case in cases {
        match (parse_patch(case.text), case.says) {
            (Ok(_), None) => {}
            (Err(error), Some(says)) => {
                assert!(error.to_string().contains(says), "{}: {error}", case.text);
            }
            (result, _) => panic!("{}: {result:?}", case.text),
        }
    }
}

#[test]
fn a_patch_is_settled_by_number_and_id() {
    struct Case {
        what: &'static str,
        patch: Patch,
        says: &'static str,
    }
    let second = patch(1, "p2", json!({"lookup_lifetime": "20s"}));
    let present = written(accept(&first(), &second, 2000));
    let other = json!({"lookup_lifetime": "40s"});
    let cases = [
        Case {
            what: "the same patch again",
            patch: second.clone(),
            says: "AlreadyApplied(2)",
        },
        Case {
            what: "an id used for another patch",
            patch: patch(2, "p2", other.clone()),
            says: "IdReused(\"p2\", 2)",
        },
        Case {
            what: "an older number",
            patch: patch(1, "p3", other.clone()),
            says: "current: 2, since: [Audit { number: 2",
        },
        Case {
            what: "a number that is not there yet",
            patch: patch(7, "p3", other.clone()),
            says: "no such number yet",
        },
        Case {
            what: "the present number",
            patch: patch(2, "p3", other),
            says: "number: 3",
        },
    ];
    for case in cases {
        let result = format!("{:?}", accept(&present, &case.patch, 3000));
        assert!(result.contains(case.says), "{}: {result}", case.what);
    }
}

#[test]
fn shares_that_change_record_where_the_shift_starts() {
    let shares = |shares: Value| json!({"services": {"licence-portal": {"shares": shares}}});
    let own = |zone: &str| Shares::from([(zone.into(), 1.0)]);
    let one = first();
    assert!(
        one.shift_starts.is_empty(),
        "a new service has nothing to move"
    );
    let change = shares(json!({"bne-b": {"bne-a": 1.0}}));
    let two = written(accept(&one, &patch(1, "p2", change), 2000));
    let service = ServiceId::from("licence-portal");
    let from = BTreeMap::from([("bne-b".into(), own("bne-b"))]);
    assert_eq!(two.shift_starts[&service], ShiftStart { from, at: 2000 });
    let three = written(accept(
        &two,
        &patch(2, "p3", json!({"lookup_lifetime": "9s"})),
        3000,
    ));
    assert_eq!(
        three.shift_starts, two.shift_starts,
        "other changes leave the shift alone"
    );
    let change = shares(json!({"bne-a": {"bne-a": 1.0, "bne-b": null}}));
    let four = written(accept(&three, &patch(3, "p4", change), 4000));
    let half = Shares::from([("bne-a".into(), 0.5), ("bne-b".into(), 0.5)]);
    let from = BTreeMap::from([("bne-a".into(), half), ("bne-b".into(), own("bne-b"))]);
    assert_eq!(four.shift_starts[&service], ShiftStart { from, at: 4000 });
    let gone = json!({"services": {"licence-portal": null}});
    let five = written(accept(&four, &patch(4, "p5", gone), 5000));
    assert!(five.shift_starts.is_empty());
}

#[test]
fn old_entries_leave_the_revision_in_order() {
    let mut present = first();
    let mut archived = Vec::new();
    for number in 2..=200_u64 {
        let change = json!({"lookup_lifetime": format!("{}s", number % 50 + 1)});
        let patch = patch(number - 1, &format!("p{number}"), change);
        let Ok(Accepted::New(revision, moved)) = accept(&present, &patch, number) else {
            panic!("{number} was not accepted");
        };
        archived.extend(moved.iter().map(|entry| entry.number));
        present = *revision;
        assert!(present.audit.len() <= MAX_AUDIT_ENTRIES);
    }
    let kept = present.audit.iter().map(|entry| entry.number);
    let all: Vec<Version> = archived.into_iter().chain(kept).collect();
    assert_eq!(all, (1..=200).collect::<Vec<_>>());
}

#[test]
fn a_revision_stays_below_the_platforms_limit() {
    let endpoint = |number: u32| {
        let address = format!("10.{}.{}.1:80", number / 250, number % 250);
        json!({"zone": "bne-a", "address": address, "slots": 3})
    };
    let endpoints = |count: u32| {
        let all = (0..count).map(|number| (format!("endpoint-{number}"), endpoint(number)));
        json!({"zones": {"bne-a": {"region": "bne"}},
            "services": {"s": {"endpoints": Value::Object(all.collect())}}})
    };
    let large = written(accept(
        &Revision::default(),
        &patch(0, "p1", endpoints(5000)),
        1,
    ));
    let again = json!({"services": {"s": {"deadline": "3s"}}});
    let next = written(accept(&large, &patch(1, "p2", again), 2));
    assert!(
        next.encode()
            .is_ok_and(|bytes| bytes.len() <= MAX_REVISION_BYTES)
    );
    let refused = accept(&Revision::default(), &patch(0, "p1", endpoints(12_000)), 1);
    let Err(PatchError::Encoding(Error::TooLarge(bytes, MAX_REVISION_BYTES))) = refused else {
        panic!("{refused:?}");
    };
    assert!(bytes > MAX_REVISION_BYTES);
}

#[test]
fn an_update_that_does_not_fit_asks_for_all() {
    let one = first();
    let two = written(accept(
        &one,
        &patch(1, "p2", json!({"lookup_lifetime": "9s"})),
        2,
    ));
    let three = written(accept(
        &two,
        &patch(2, "p3", json!({"lookup_lifetime": "8s"})),
        3,
    ));
    let update = three.update_since(2).expect("encodes");
    let mut other = two.clone();
    other.document.lookup_lifetime = Duration::from_secs(7);
    struct Case {
        what: &'static str,
        mine: Revision,
        follows: Option<Version>,
    }
    let cases = [
        Case {
            what: "the number before",
            mine: two.clone(),
            follows: Some(3),
        },
        Case {
            what: "the same number",
            mine: three.clone(),
            follows: Some(3),
        },
        Case {
            what: "a gap",
            mine: one,
            follows: None,
        },
        Case {
            what: "another document of that number",
            mine: other,
            follows: None,
        },
    ];
    for case in cases {
        let followed = case.mine.apply_update(&update).ok();
        assert_eq!(followed.map(|r| r.number), case.follows, "{}", case.what);
    }
    let nothing = Revision::default();
    let whole = three.update_since(0).expect("encodes");
    assert_eq!(nothing.apply_update(&whole).expect("is whole"), three);
}

#[test]
fn a_store_never_goes_back() {
    struct Case {
        number: Version,
        applied: Applied,
        after: Version,
    }
    let case = |number, applied, after| Case {
        number,
        applied,
        after,
    };
    let cases = [
        case(3, Applied::Newer, 3),
        case(2, Applied::Older, 3),
        case(3, Applied::Same, 3),
        case(9, Applied::Newer, 9),
        case(0, Applied::Older, 9),
    ];
    let mut store = Store::new();
    for case in cases {
        let revision = Revision {
            number: case.number,
            ..Revision::default()
        };
        assert_eq!(store.apply(revision), case.applied);
        assert_eq!(store.number(), case.after);
    }
}

/// JSON objects without nulls
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        any::<bool>().prop_map(Value::from),
        (0..100_i32).prop_map(Value::from),
        "[a-c]{0,3}".prop_map(Value::from),
        prop::collection::vec(0..5_i32, 0..3).prop_map(Value::from),
    ];
    let object = |inner| {
        prop::collection::btree_map("[a-d]", inner, 0..4)
            .prop_map(|fields| Value::Object(fields.into_iter().collect()))
    };
    object(leaf.prop_recursive(3, 24, 4, object).boxed())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_difference_leads_there_and_back(from in value(), to in value()) {
        let there = diff(&from, &to);
        prop_assert_eq!(merge(&from, &there), to.clone());
        prop_assert_eq!(merge(&to, &diff(&to, &from)), from);
    }

    #[test]
    fn accepted_changes_can_be_undone(lifetimes in prop::collection::vec(1..60_u32, 1..20)) {
        let mut present = first();
        let mut documents = vec![present.document.clone()];
        for lifetime in lifetimes {
            let change = json!({"lookup_lifetime": format!("{lifetime}s")});
            let on = present.number;
            present = written(accept(&present, &patch(on, &format!("q{on}"), change), 5));
            documents.push(present.document.clone());
        }
        let mut document = serde_json::to_value(&present.document).expect("encodes");
        for entry in present.audit.iter().skip(1).rev() {
            documents.pop();
            document = merge(&document, &entry.undo);
            let before: Document = serde_json::from_value(document.clone()).expect("decodes");
            prop_assert_eq!(Some(&before), documents.last());
        }
    }

    #[test]
    fn a_host_that_follows_has_the_same_revision(
        zones in prop::collection::vec(0..3_usize, 1..100),
        behind in 0..100_usize,
    ) {
        let names = ["bne-a", "bne-b", "tsv-a"];
        let mut revisions = vec![first()];
        for (turn, zone) in zones.iter().enumerate() {
            let part = (turn % 7) as f64 / 10.0;
            let shares = json!({names[*zone]: {"bne-a": part, "bne-b": 1.0 - part}});
            let change = json!({"services": {"licence-portal": {"shares": shares}}});
            let present = revisions.last().expect("is there");
            let patch = patch(present.number, &format!("q{turn}"), change);
            revisions.push(written(accept(present, &patch, turn as u64)));
        }
        let newest = revisions.last().expect("is there");
        let mine = &revisions[behind % revisions.len()];
        let update = newest.update_since(mine.number).expect("encodes");
        let followed = mine.apply_update(&update).expect("fits");
        prop_assert_eq!(&followed, newest);
        let whole = newest.encode().expect("fits").len();
        prop_assert!(update.len() <= whole);
        let few = (1..=3).contains(&(newest.number - mine.number)) && newest.number > 10;
        prop_assert!(!few || update.len() < whole / 2, "{} of {}", update.len(), whole);
    }

    #[test]
    fn exactly_one_of_racing_operators_wins_each_number(
        order in prop::collection::vec(0..4_usize, 1..60),
    ) {
        let mut present = first();
        let mut reads = vec![present.clone(); 4];
        let mut winners = vec![1_u64];
        for (turn, operator) in order.into_iter().enumerate() {
            let on = reads[operator].number;
            let change = json!({"lookup_lifetime": format!("{}s", turn % 50 + 1)});
            let patch = patch(on, &format!("{operator}-{turn}"), change);
            let revision = written(accept(&reads[operator], &patch, 1));
            if present.number == on {
                winners.push(revision.number);
                present = revision;
            } else {
                let refused = matches!(accept(&present, &patch, 1), Err(PatchError::Stale { .. }));
                prop_assert!(refused);
            }
            reads[operator] = present.clone();
        }
        prop_assert_eq!(winners.len() as u64, present.number);
        let patches = present.audit.iter().map(|entry| &entry.patch);
        let distinct: BTreeSet<_> = patches.collect();
        prop_assert_eq!(distinct.len(), present.audit.len());
    }
}
