use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::json;

use super::fake::{FakePlatform, base_document, lookup_lifetime, patch};
use crate::ctl::past;
use crate::ctl::submit::{Receipt, submit};
use crate::error::Error;
use crate::id::Version;

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

fn expected_receipt(number: Version, already_applied: bool) -> Receipt {
    Receipt {
        number,
        already_applied,
    }
}

/// Guards against a patch that is reported as failed or applied twice because the response to its
/// write is lost or because reads return an outdated revision.
#[test]
fn a_patch_is_applied_exactly_once_despite_platform_faults() {
    struct Case {
        name: &'static str,
        faults: serde_json::Value,
    }
    let cases = [
        Case {
            name: "no fault",
            faults: json!({}),
        },
        Case {
            name: "response to the write is lost",
            faults: json!({"lose_next": 1}),
        },
        Case {
            name: "three consecutive responses are lost",
            faults: json!({"lose_next": 3}),
        },
        Case {
            name: "response is lost, and half of all reads are outdated",
            faults: json!({"lose_next": 1, "old_reads": 0.5}),
        },
        Case {
            name: "all reads are outdated",
            faults: json!({"old_reads": 1.0}),
        },
    ];
    smol::block_on(async {
        let platform = FakePlatform::start().await;
        let client = platform.client();
        submit(&client, &patch(0, "first", base_document()), SUBMIT_TIMEOUT)
            .await
            .expect("patch was not accepted");
        for (base, case) in (1..).zip(cases) {
            platform.set_faults(case.faults).await;
            let patch = patch(base, &format!("p{base}"), lookup_lifetime(base));
            let receipt = submit(&client, &patch, SUBMIT_TIMEOUT)
                .await
                .expect(case.name);
            assert_eq!(receipt, expected_receipt(base + 1, false), "{}", case.name);
            platform
                .set_faults(json!({"lose_next": 0, "old_reads": 0.0}))
                .await;
            let repeated = submit(&client, &patch, SUBMIT_TIMEOUT)
                .await
                .expect(case.name);
            assert_eq!(repeated, expected_receipt(base + 1, true), "{}", case.name);
            let current = platform.current_revision().await;
            assert_eq!(
                current.number,
                base + 1,
                "{}: patch was applied twice",
                case.name
            );
        }
    });
}

#[test]
fn rejected_patches_write_nothing_and_suggest_a_remedy() {
    struct Case {
        name: &'static str,
        base: Version,
        id: &'static str,
        change: serde_json::Value,
        exit_code: u8,
        messages: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "stale",
            base: 1,
            id: "x",
            change: lookup_lifetime(9),
            exit_code: 1,
            messages: &["on 1", "in force is 2", "2: test by ann", "lookup_lifetime"],
        },
        Case {
            name: "base is newer than the current revision",
            base: 5,
            id: "x",
            change: lookup_lifetime(9),
            exit_code: 1,
            messages: &["in force is 2", "no such number yet"],
        },
        Case {
            name: "invalid",
            base: 2,
            id: "x",
            change: json!({"services": {"turni": {"endpoints": {"e1": {"slots": 0}}}}}),
            exit_code: 2,
            messages: &["services.turni.endpoints.e1.slots", "draining"],
        },
        Case {
            name: "unknown field",
            base: 2,
            id: "x",
            change: json!({"servicez": {}}),
            exit_code: 2,
            messages: &["servicez", "expected one of"],
        },
        Case {
            name: "id of another patch",
            base: 2,
            id: "second",
            change: lookup_lifetime(9),
            exit_code: 1,
            messages: &["second", "accepted as 2", "--id"],
        },
    ];
    smol::block_on(async {
        let platform = FakePlatform::start().await;
        let client = platform.client();
        for (base, id, change) in [
            (0, "first", base_document()),
            (1, "second", lookup_lifetime(5)),
        ] {
            submit(&client, &patch(base, id, change), SUBMIT_TIMEOUT)
                .await
                .expect("patch was not accepted");
        }
        let write_count = platform.write_count().await;
        for case in cases {
            let patch = patch(case.base, case.id, case.change);
            let error = submit(&client, &patch, SUBMIT_TIMEOUT)
                .await
                .expect_err(case.name);
            assert_eq!(error.exit_code(), case.exit_code, "{}: {error}", case.name);
            for message in case.messages {
                assert!(
                    error.to_string().contains(message),
                    "{}: {error}",
                    case.name
                );
            }
            assert_eq!(
                platform.write_count().await,
                write_count,
                "{}: rejected patch was written",
                case.name
            );
        }
    });
}

#[test]
fn an_outage_error_contains_the_id_for_a_retry() {
    smol::block_on(async {
        let platform = FakePlatform::start().await;
        let client = platform.client();
        let patch = patch(0, "p1", base_document());
        platform.set_faults(json!({"outage": "error"})).await;
        let error = submit(&client, &patch, Duration::from_secs(1)).await;
        let error = error.expect_err("submission succeeded during an outage");
        assert!(error.to_string().contains("nothing was written"), "{error}");
        platform
            .set_faults(json!({"outage": "none", "lose_next": 99}))
            .await;
        let error = submit(&client, &patch, Duration::ZERO).await;
        let error = error.expect_err("submission succeeded without a response");
        assert!(matches!(error, Error::Unavailable(_)));
        assert!(error.to_string().contains("--id p1"), "{error}");
        let receipt = submit(&client, &patch, SUBMIT_TIMEOUT)
            .await
            .expect("outcome cannot be determined");
        assert_eq!(receipt, expected_receipt(1, true));
    });
}

/// Submits patches that are based on the newest number read, and returns the accepted ones
async fn submit_patches(
    platform: &FakePlatform,
    operator: usize,
    count: usize,
) -> Vec<(Version, String)> {
    let client = platform.client();
    let mut accepted = Vec::new();
    for index in 0..count {
        let base = platform.current_revision().await.number;
        let id = format!("{operator}-{index}");
        let patch = patch(base, &id, lookup_lifetime(1 + base % 50));
        match submit(&client, &patch, SUBMIT_TIMEOUT).await {
            Ok(receipt) => accepted.push((receipt.number, id)),
            Err(Error::Refused(_)) => {}
            Err(error) => panic!("{id}: {error}"),
        }
    }
    accepted
}

/// Guards against two operators that both get the same number accepted when they submit at the
/// same time, while some responses are lost and some reads are outdated.
#[test]
fn each_number_is_accepted_for_one_concurrent_operator() {
    smol::block_on(async {
        let platform = std::sync::Arc::new(FakePlatform::start().await);
        let client = platform.client();
        submit(&client, &patch(0, "first", base_document()), SUBMIT_TIMEOUT)
            .await
            .expect("patch was not accepted");
        platform
            .set_faults(json!({"lose_answers": 0.2, "old_reads": 0.2}))
            .await;
        let start = |operator| {
            let platform = platform.clone();
            smol::spawn(async move { submit_patches(&platform, operator, 12).await })
        };
        let operators: Vec<_> = (0..6).map(start).collect();
        let mut accepted = BTreeMap::from([(1, "first".to_owned())]);
        for operator in operators {
            for (number, id) in operator.await {
                let previous = accepted.insert(number, id);
                assert_eq!(previous, None, "number {number} was accepted twice");
            }
        }
        platform
            .set_faults(json!({"lose_answers": 0.0, "old_reads": 0.0}))
            .await;
        let current = platform.current_revision().await;
        let entries = past::audit_entries(&client, &current, usize::MAX).await;
        let entries = entries.expect("audit trail is incomplete");
        let entries = entries
            .into_iter()
            .map(|entry| (entry.number, entry.patch.to_string()));
        assert_eq!(entries.collect::<BTreeMap<_, _>>(), accepted);
    });
}

/// Guards against the loss of old configurations and of the outcome of old patches, whose audit
/// entries have moved from the revision to history objects.
#[test]
fn earlier_configurations_stay_available_in_history_objects() {
    smol::block_on(async {
        let platform = FakePlatform::start().await;
        let client = platform.client();
        let mut documents = vec![platform.current_revision().await.document];
        submit(&client, &patch(0, "first", base_document()), SUBMIT_TIMEOUT)
            .await
            .expect("patch was not accepted");
        documents.push(platform.current_revision().await.document);
        for base in 1..100 {
            let patch = patch(base, &format!("p{base}"), lookup_lifetime(1 + base % 50));
            submit(&client, &patch, SUBMIT_TIMEOUT)
                .await
                .expect("patch was not accepted");
            documents.push(platform.current_revision().await.document);
        }
        let current = platform.current_revision().await;
        assert!(
            current.audit.len() < 100,
            "no entry moved to a history object"
        );
        let entries = past::audit_entries(&client, &current, 1000)
            .await
            .expect("audit trail is incomplete");
        let numbers = entries.iter().map(|entry| entry.number);
        assert!(numbers.eq((1..=100).rev()));
        for number in [0, 1, 2, 36, 99, 100_u64] {
            let document = past::document(&client, &current, number)
                .await
                .expect("document cannot be restored");
            let index = usize::try_from(number).expect("number does not fit");
            assert_eq!(document, documents[index], "number {number}");
        }
        let old_patch = patch(1, "p1", lookup_lifetime(2));
        let repeated = submit(&client, &old_patch, SUBMIT_TIMEOUT)
            .await
            .expect("outcome of an old patch cannot be determined");
        assert_eq!(
            repeated,
            expected_receipt(2, true),
            "outcome of an old patch differs from its history object"
        );
        let missing = past::document(&client, &current, 101).await;
        assert!(matches!(missing, Err(Error::Usage(_))));
    });
}

#[test]
fn a_patch_is_accepted_by_a_slow_platform() {
    smol::block_on(async {
        let platform = FakePlatform::start().await;
        platform.set_faults(json!({"delay_ms": 200})).await;
        let started = Instant::now();
        let receipt = submit(
            &platform.client(),
            &patch(0, "p1", base_document()),
            SUBMIT_TIMEOUT,
        )
        .await;
        assert_eq!(
            receipt.expect("patch was not accepted"),
            expected_receipt(1, false)
        );
        assert!(started.elapsed() < SUBMIT_TIMEOUT);
    });
}
