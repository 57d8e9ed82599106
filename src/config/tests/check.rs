use serde_json::{Value, json};

use super::{first_revision, patch};
use crate::config::{InvalidDocument, PatchError, accept};

#[test]
fn field_errors_name_field_problem_and_remedy() {
    struct Case {
        change: Value,
        field: &'static str,
        problem: &'static str,
    }
    let endpoint = |zone, address, slots| json!({"zone": zone, "address": address, "slots": slots});
    let service = |change: Value| json!({"services": {"licence-portal": change}});
    let cases = [
        Case {
            change: json!({"zones": {"Bne.a": {"region": "bne"}}}),
            field: "zones.Bne.a",
            problem: "contains 'B'",
        },
        Case {
            change: json!({"zones": {"x-": {"region": "bne"}}}),
            field: "zones.x-",
            problem: "ends with a dash",
        },
        Case {
            change: json!({"zones": {"x": {"region": ""}}}),
            field: "zones.x.region",
            problem: "is empty",
        },
        Case {
            change: json!({"zones": {"a".repeat(64): {"region": "bne"}}}),
            field: "zones.aaa",
            problem: "64 bytes",
        },
        Case {
            change: json!({"blocks": [{"first": 5, "last": 4, "region": "bne"}]}),
            field: "blocks[0].first",
            problem: "above last",
        },
        Case {
            change: json!({"blocks": [
                {"first": 0, "last": 9, "region": "bne"}, {"first": 0, "last": 9, "region": "tsv"}]}),
            field: "blocks[1]",
            problem: "is listed twice",
        },
        Case {
            change: json!({"blocks": [
                {"first": 0, "last": 9, "region": "bne"}, {"first": 9, "last": 12, "region": "tsv"}]}),
            field: "blocks[1]",
            problem: "overlaps",
        },
        Case {
            change: json!({"blocks": [
                {"first": 20, "last": 29, "region": "bne"}, {"first": 0, "last": 9, "region": "tsv"}]}),
            field: "blocks[1]",
            problem: "comes after",
        },
        Case {
            change: json!({"blocks": [{"first": 0, "last": 9, "region": "cns"}]}),
            field: "blocks[0].region",
            problem: "no zone is in region",
        },
        Case {
            change: service(json!({"shares": {"bne-a": {"bne-a": 0.6}}})),
            field: "services.licence-portal.shares.bne-a",
            problem: "sum to 1.1",
        },
        Case {
            change: service(json!({"shares": {"bne-a": {"bne-a": -0.5, "tsv-a": 1.0}}})),
            field: "services.licence-portal.shares.bne-a.bne-a",
            problem: "out of range",
        },
        Case {
            change: service(json!({"shares": {"bne-a": {"bne-b": null, "cns-a": 0.5}}})),
            field: "services.licence-portal.shares.bne-a.cns-a",
            problem: "unknown",
        },
        Case {
            change: service(json!({"shares": {"cns-a": {"bne-a": 1.0}}})),
            field: "services.licence-portal.shares.cns-a",
            problem: "unknown",
        },
        Case {
            change: service(json!({"endpoints": {"e2": null}})),
            field: "services.licence-portal.shares.bne-a.bne-b",
            problem: "no endpoint in zone",
        },
        Case {
            change: service(json!({"endpoints": {"e4": endpoint("bne-a", "127.0.0.1:9004", 0)}})),
            field: "services.licence-portal.endpoints.e4.slots",
            problem: "0 is out of range",
        },
        Case {
            change: service(json!({"endpoints": {"e4": endpoint("bne-a", "127.0.0.1:9001", 3)}})),
            field: "services.licence-portal.endpoints.e4.address",
            problem: "also the address of \"e1\"",
        },
        Case {
            change: service(json!({"endpoints": {"e4": endpoint("bne-a", "0.0.0.0:9001", 3)}})),
            field: "services.licence-portal.endpoints.e4.address",
            problem: "is not a valid destination address",
        },
        Case {
            change: service(json!({"endpoints": {"e4": endpoint("cns-a", "127.0.0.1:9004", 3)}})),
            field: "services.licence-portal.endpoints.e4.zone",
            problem: "unknown",
        },
        Case {
            change: service(json!({"shift": {"share": 1.5, "rate": 1.0, "window": "1s"}})),
            field: "services.licence-portal.shift.share",
            problem: "1.5 is out of range",
        },
        Case {
            change: service(json!({"spill": {"share": 0.5, "rate": 0.0, "window": "1s"}})),
            field: "services.licence-portal.spill.rate",
            problem: "0 is out of range",
        },
        Case {
            change: service(json!({"spill": {"share": 0.5, "rate": 1.0, "window": "0s"}})),
            field: "services.licence-portal.spill.window",
            problem: "out of range",
        },
        Case {
            change: service(json!({"deadline": "2h"})),
            field: "services.licence-portal.deadline",
            problem: "out of range",
        },
        Case {
            change: service(json!({"once_only": ["post"]})),
            field: "services.licence-portal.once_only",
            problem: "not an HTTP method",
        },
        Case {
            change: json!({"lookup_lifetime": "0s"}),
            field: "lookup_lifetime",
            problem: "out of range",
        },
        Case {
            change: json!({"links": {"bne/cns": {"bytes_per_second": 1}}}),
            field: "links.bne/cns",
            problem: "no zone is in region",
        },
        Case {
            change: json!({"links": {"bne": {"bytes_per_second": 1}}}),
            field: "links.bne",
            problem: "not a pair of regions",
        },
        Case {
            change: json!({"nearest": {"bne": ["tsv", "cns"]}}),
            field: "nearest.bne",
            problem: "no zone is in region",
        },
        Case {
            change: json!({"nearest": {"bne": ["tsv", "tsv"]}}),
            field: "nearest.bne",
            problem: "is repeated",
        },
        Case {
            change: json!({"links": {"bne/tsv": {"bytes_per_second": 0}}}),
            field: "links.bne/tsv.bytes_per_second",
            problem: "blocks all traffic",
        },
    ];
    for case in cases {
        let result = accept(
            &first_revision(),
            &patch(1, "p2", case.change.clone()),
            2000,
        );
        let Err(PatchError::Invalid(InvalidDocument(errors))) = result else {
            panic!("{}: {result:?}", case.change);
        };
        let found = errors
            .iter()
            .find(|e| e.field.starts_with(case.field) && e.problem.contains(case.problem));
        let error = found.unwrap_or_else(|| panic!("{}: {errors:?}", case.change));
        assert!(!error.remedy.is_empty(), "{error}");
    }
}

#[test]
fn unknown_fields_and_invalid_values_are_named() {
    struct Case {
        change: Value,
        message: &'static str,
    }
    let cases = [
        Case {
            change: json!({"zonez": {}}),
            message: "zonez",
        },
        Case {
            change: json!({"services": {"licence-portal": {"sharez": {}}}}),
            message: "sharez",
        },
        Case {
            change: json!({"services": {"licence-portal": {"endpoints": {"e1": {"slots": -1}}}}}),
            message: "services.licence-portal.endpoints.e1: invalid value: integer `-1`",
        },
        Case {
            change: json!({"services": {"licence-portal": {"class": "bulk"}}}),
            message: "bulk",
        },
    ];
    for case in cases {
        let result = accept(
            &first_revision(),
            &patch(1, "p2", case.change.clone()),
            2000,
        );
        let Err(error) = result else {
            panic!("{} was accepted", case.change);
        };
        let text = error.to_string();
        assert!(text.contains(case.message), "{}: {text}", case.change);
    }
}
