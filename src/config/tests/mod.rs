use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

use super::*;

mod check;

fn base_document() -> Value {
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

fn patch(base: Version, id: &str, change: Value) -> Patch {
    Patch {
        id: id.into(),
        base,
        who: "ann".into(),
        why: "test".into(),
        change,
    }
}

fn first_revision() -> Revision {
    unwrap_new(accept(
        &Revision::default(),
        &patch(0, "p1", base_document()),
        1000,
    ))
}

fn unwrap_new(result: Result<Accepted, PatchError>) -> Revision {
    match result {
        Ok(Accepted::New(revision, _)) => *revision,
        other => panic!("no new revision: {other:?}"),
    }
}

#[test]
fn example_files_are_accepted() {
    struct Case {
        file: &'static str,
        endpoint_counts: [usize; 2],
    }
    let cases = [
        Case {
            file: "authority.yaml",
            endpoint_counts: [30, 10],
        },
        Case {
            file: "consorzio.yaml",
            endpoint_counts: [10, 35],
        },
    ];
    let read_patch = |file: &str| {
        let path = format!("{}/examples/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect(file);
        parse_patch(&text).expect(file)
    };
    for case in cases {
        let first_patch = patch(0, "p1", read_patch(case.file));
        let revision = unwrap_new(accept(&Revision::default(), &first_patch, 1));
        let services = revision.document.services.values();
        let endpoint_counts: Vec<usize> = services.map(|service| service.endpoints.len()).collect();
        assert_eq!(endpoint_counts, case.endpoint_counts, "{}", case.file);
        if case.file == "authority.yaml" {
            unwrap_new(accept(
                &revision,
                &patch(1, "p2", read_patch("move.yaml")),
                2,
            ));
        }
    }
}

#[test]
fn malformed_patches_are_rejected() {
    struct Case {
        text: &'static str,
        error: Option<&'static str>,
    }
    let cases = [
        Case {
            text: "zones: {a: {region: r}}",
            error: None,
        },
        Case {
            text: "{\"zones\": {\"a\": {\"region\": \"r\"}}, \"links\": null}",
            error: None,
        },
        Case {
            text: "zones:\n  a: {region: r}\n  a: {region: s}\n",
            error: Some("duplicate"),
        },
        Case {
            text: "{\"zones\": {}, \"zones\": {}}",
            error: Some("duplicate"),
        },
        Case {
            text: "- 1\n",
            error: Some("not a mapping"),
        },
        Case {
            text: "",
            error: Some("not a mapping"),
        },
        Case {
            text: "a: [",
            error: Some("cannot be parsed"),
        },
    ];
    for case in cases {
        match (parse_patch(case.text), case.error) {
            (Ok(_), None) => {}
            (Err(error), Some(expected)) => {
                assert!(
                    error.to_string().contains(expected),
                    "{}: {error}",
                    case.text
                );
            }
            (result, _) => panic!("{}: {result:?}", case.text),
        }
    }
}

#[test]
fn patch_acceptance_depends_on_base_number_and_id() {
    struct Case {
        what: &'static str,
        patch: Patch,
        expected: &'static str,
    }
    let applied = patch(1, "p2", json!({"lookup_lifetime": "20s"}));
    let current = unwrap_new(accept(&first_revision(), &applied, 2000));
    let other_change = json!({"lookup_lifetime": "40s"});
    let cases = [
        Case {
            what: "same patch resent",
            patch: applied.clone(),
            expected: "AlreadyApplied(2)",
        },
        Case {
            what: "id of a different patch",
            patch: patch(2, "p2", other_change.clone()),
            expected: "IdReused(\"p2\", 2)",
        },
        Case {
            what: "older base number",
            patch: patch(1, "p3", other_change.clone()),
            expected: "current: 2, since: [Audit { number: 2",
        },
        Case {
            what: "base number that does not exist yet",
            patch: patch(7, "p3", other_change.clone()),
            expected: "no such number yet",
        },
        Case {
            what: "current base number",
            patch: patch(2, "p3", other_change),
            expected: "number: 3",
        },
    ];
    for case in cases {
        let result = format!("{:?}", accept(&current, &case.patch, 3000));
        assert!(result.contains(case.expected), "{}: {result}", case.what);
    }
}

#[test]
fn share_changes_record_the_start_of_the_shift() {
    let shares_change = |shares: Value| json!({"services": {"licence-portal": {"shares": shares}}});
    let all_local = |zone: &str| Shares::from([(zone.into(), 1.0)]);
    let one = first_revision();
    assert!(one.shift_starts.is_empty(), "a new service starts no shift");
    let change = shares_change(json!({"bne-b": {"bne-a": 1.0}}));
    let two = unwrap_new(accept(&one, &patch(1, "p2", change), 2000));
    let service = ServiceId::from("licence-portal");
    let from = BTreeMap::from([("bne-b".into(), all_local("bne-b"))]);
    assert_eq!(two.shift_starts[&service], ShiftStart { from, at: 2000 });
    let three = unwrap_new(accept(
        &two,
        &patch(2, "p3", json!({"lookup_lifetime": "9s"})),
        3000,
    ));
    assert_eq!(
        three.shift_starts, two.shift_starts,
        "a change without shares keeps the shift start"
    );
    let change = shares_change(json!({"bne-a": {"bne-a": 1.0, "bne-b": null}}));
    let four = unwrap_new(accept(&three, &patch(3, "p4", change), 4000));
    let half = Shares::from([("bne-a".into(), 0.5), ("bne-b".into(), 0.5)]);
    let from = BTreeMap::from([("bne-a".into(), half), ("bne-b".into(), all_local("bne-b"))]);
    assert_eq!(four.shift_starts[&service], ShiftStart { from, at: 4000 });
    let removal = json!({"services": {"licence-portal": null}});
    let five = unwrap_new(accept(&four, &patch(4, "p5", removal), 5000));
    assert!(five.shift_starts.is_empty());
}

#[test]
fn old_audit_entries_are_archived_in_order() {
    let mut current = first_revision();
    let mut archived = Vec::new();
    for number in 2..=200_u64 {
        let change = json!({"lookup_lifetime": format!("{}s", number % 50 + 1)});
        let patch = patch(number - 1, &format!("p{number}"), change);
        let Ok(Accepted::New(revision, removed)) = accept(&current, &patch, number) else {
            panic!("patch {number} was not accepted");
        };
        archived.extend(removed.iter().map(|entry| entry.number));
        current = *revision;
        assert!(current.audit.len() <= MAX_AUDIT_ENTRIES);
    }
    let remaining = current.audit.iter().map(|entry| entry.number);
    let all: Vec<Version> = archived.into_iter().chain(remaining).collect();
    assert_eq!(all, (1..=200).collect::<Vec<_>>());
}

#[test]
fn encoded_revisions_stay_within_the_size_limit() {
    let endpoint = |number: u32| {
        let address = format!("10.{}.{}.1:80", number / 250, number % 250);
        json!({"zone": "bne-a", "address": address, "slots": 3})
    };
    let document = |count: u32| {
        let endpoints = (0..count).map(|number| (format!("endpoint-{number}"), endpoint(number)));
        json!({"zones": {"bne-a": {"region": "bne"}},
            "services": {"s": {"endpoints": Value::Object(endpoints.collect())}}})
    };
    let large = unwrap_new(accept(
        &Revision::default(),
        &patch(0, "p1", document(5000)),
        1,
    ));
    let change = json!({"services": {"s": {"deadline": "3s"}}});
    let next = unwrap_new(accept(&large, &patch(1, "p2", change), 2));
    assert!(
        next.encode()
            .is_ok_and(|bytes| bytes.len() <= MAX_REVISION_BYTES)
    );
    let result = accept(&Revision::default(), &patch(0, "p1", document(12_000)), 1);
    let Err(PatchError::Encoding(Error::TooLarge(bytes, MAX_REVISION_BYTES))) = result else {
        panic!("{result:?}");
    };
    assert!(bytes > MAX_REVISION_BYTES);
}

#[test]
fn updates_only_apply_to_the_revision_they_are_based_on() {
    let one = first_revision();
    let two = unwrap_new(accept(
        &one,
        &patch(1, "p2", json!({"lookup_lifetime": "9s"})),
        2,
    ));
    let three = unwrap_new(accept(
        &two,
        &patch(2, "p3", json!({"lookup_lifetime": "8s"})),
        3,
    ));
    let update = three.update_since(2).expect("encodes");
    let mut diverged = two.clone();
    diverged.document.lookup_lifetime = Duration::from_secs(7);
    struct Case {
        what: &'static str,
        receiver: Revision,
        applied: Option<Version>,
    }
    let cases = [
        Case {
            what: "previous number",
            receiver: two.clone(),
            applied: Some(3),
        },
        Case {
            what: "same number",
            receiver: three.clone(),
            applied: Some(3),
        },
        Case {
            what: "missing revision between",
            receiver: one,
            applied: None,
        },
        Case {
            what: "previous number with a different document",
            receiver: diverged,
            applied: None,
        },
    ];
    for case in cases {
        let result = case.receiver.apply_update(&update).ok();
        assert_eq!(result.map(|r| r.number), case.applied, "{}", case.what);
    }
    let empty = Revision::default();
    let whole = three.update_since(0).expect("encodes");
    assert_eq!(
        empty
            .apply_update(&whole)
            .expect("decodes a whole revision"),
        three
    );
}

#[test]
fn store_number_never_decreases() {
    struct Case {
        number: Version,
        applied: Applied,
        in_force: Version,
    }
    let case = |number, applied, in_force| Case {
        number,
        applied,
        in_force,
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
        assert_eq!(store.number(), case.in_force);
    }
}

/// Generates JSON objects without nulls
fn json_object() -> impl Strategy<Value = Value> {
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
    fn diff_and_merge_are_inverse(from in json_object(), to in json_object()) {
        let forward = diff(&from, &to);
        prop_assert_eq!(merge(&from, &forward), to.clone());
        prop_assert_eq!(merge(&to, &diff(&to, &from)), from);
    }

    #[test]
    fn accepted_changes_can_be_undone(lifetimes in prop::collection::vec(1..60_u32, 1..20)) {
        let mut current = first_revision();
        let mut documents = vec![current.document.clone()];
        for lifetime in lifetimes {
            let change = json!({"lookup_lifetime": format!("{lifetime}s")});
            let base = current.number;
            current = unwrap_new(accept(&current, &patch(base, &format!("q{base}"), change), 5));
            documents.push(current.document.clone());
        }
        let mut document = serde_json::to_value(&current.document).expect("encodes");
        for entry in current.audit.iter().skip(1).rev() {
            documents.pop();
            document = merge(&document, &entry.undo);
            let restored: Document = serde_json::from_value(document.clone()).expect("decodes");
            prop_assert_eq!(Some(&restored), documents.last());
        }
    }

    #[test]
    fn incremental_updates_produce_the_newest_revision(
        zones in prop::collection::vec(0..3_usize, 1..100),
        receiver_index in 0..100_usize,
    ) {
        let names = ["bne-a", "bne-b", "tsv-a"];
        let mut revisions = vec![first_revision()];
        for (step, zone) in zones.iter().enumerate() {
            let share = (step % 7) as f64 / 10.0;
            let shares = json!({names[*zone]: {"bne-a": share, "bne-b": 1.0 - share}});
            let change = json!({"services": {"licence-portal": {"shares": shares}}});
            let current = revisions.last().expect("is not empty");
            let patch = patch(current.number, &format!("q{step}"), change);
            revisions.push(unwrap_new(accept(current, &patch, step as u64)));
        }
        let newest = revisions.last().expect("is not empty");
        let receiver = &revisions[receiver_index % revisions.len()];
        let update = newest.update_since(receiver.number).expect("encodes");
        let updated = receiver.apply_update(&update).expect("applies");
        prop_assert_eq!(&updated, newest);
        let whole_length = newest.encode().expect("encodes").len();
        prop_assert!(update.len() <= whole_length);
        let is_small = (1..=3).contains(&(newest.number - receiver.number)) && newest.number > 10;
        prop_assert!(
            !is_small || update.len() < whole_length / 2,
            "update has {} bytes, revision has {}", update.len(), whole_length
        );
    }

    #[test]
    fn concurrent_operators_create_each_number_once(
        order in prop::collection::vec(0..4_usize, 1..60),
    ) {
        let mut current = first_revision();
        let mut read_revisions = vec![current.clone(); 4];
        let mut accepted_numbers = vec![1_u64];
        for (step, operator) in order.into_iter().enumerate() {
            let base = read_revisions[operator].number;
            let change = json!({"lookup_lifetime": format!("{}s", step % 50 + 1)});
            let patch = patch(base, &format!("{operator}-{step}"), change);
            let revision = unwrap_new(accept(&read_revisions[operator], &patch, 1));
            if current.number == base {
                accepted_numbers.push(revision.number);
                current = revision;
            } else {
                let is_stale = matches!(accept(&current, &patch, 1), Err(PatchError::Stale { .. }));
                prop_assert!(is_stale);
            }
            read_revisions[operator] = current.clone();
        }
        prop_assert_eq!(accepted_numbers.len() as u64, current.number);
        let patch_ids = current.audit.iter().map(|entry| &entry.patch);
        let distinct_ids: BTreeSet<_> = patch_ids.collect();
        prop_assert_eq!(distinct_ids.len(), current.audit.len());
    }
}
