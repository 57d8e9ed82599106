//! Random changes to store objects and settings: each is decoded as written or rejected.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// Number of cases per property; the fixed seed makes all runs use the same cases
const CASES: u32 = 2000;

/// Returns any JSON value with up to three levels of nesting
fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        prop_oneof![
            Just("ready".to_owned()),
            Just("127.0.0.1:80".to_owned()),
            ".{0,12}".prop_map(|text| text),
        ]
        .prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        let key = prop_oneof![
            Just("routes".to_owned()),
            Just("service".to_owned()),
            "[a-z]{1,6}"
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Replaces the nested value with index `index`, modulo their number; `None` removes it from an
/// object and sets it to null in an array
fn mutate(target: &mut Value, index: usize, replacement: Option<Value>) {
    let mut paths = Vec::new();
    collect_paths("", target, &mut paths);
    let path = &paths[index % paths.len()];
    let (parent, name) = path.rsplit_once('/').expect("path has a parent");
    match (replacement, target.pointer_mut(parent)) {
        (None, Some(Value::Object(parent))) => {
            parent.remove(name);
        }
        (replacement, _) => {
            *target.pointer_mut(path).expect("path exists") = replacement.unwrap_or(Value::Null)
        }
    }
}

fn collect_paths(path: &str, value: &Value, paths: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Value::Array(items) => (0..)
            .map(|index: u32| index.to_string())
            .zip(items)
            .collect(),
        _ => Vec::new(),
    };
    for (name, child) in children {
        let path = format!("{path}/{name}");
        collect_paths(&path, child, paths);
        paths.push(path);
    }
}

fn configuration_spec() -> Value {
    json!({
        "version": 7,
        "routes": {"r": {
            "host": "H.example", "path_prefix": "/a/", "kind": "safe", "timeout_ms": 1500,
            "target_latency_ms": 400, "priority": 2, "max_attempts": 2,
            "traffic_split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "session_affinity": true, "allowed_regions": ["a"],
        }},
        "services": {"s": {"health_path": "/health", "warmup_s": 3.0, "warmup_per_s": 3.5}},
        "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn mutated_endpoint_is_decoded_as_written_or_rejected(
        index in any::<usize>(),
        replacement in prop::option::of(json_value()),
    ) {
        let zones = BTreeMap::from([("a1".into(), "a".into())]);
        let mut spec = endpoint_spec();
        mutate(&mut spec, index, replacement);
        if let Some(endpoint) = record::decode_endpoint(&object("i-1", spec.clone()), &zones) {
            prop_assert_eq!(spec["service"].as_str(), Some(endpoint.service.as_str()));
            prop_assert_eq!(spec["address"].as_str(), Some(&*endpoint.address.to_string()));
            prop_assert_eq!(spec["state"].as_str(), Some("ready"));
            prop_assert_eq!(spec["born"].as_u64(), endpoint.start_unix_millis);
        }
    }

    #[test]
    fn mutated_configuration_is_decoded_as_written_or_rejected(
        index in any::<usize>(),
        replacement in prop::option::of(json_value()),
    ) {
        let mut spec = configuration_spec();
        mutate(&mut spec, index, replacement);
        if let Ok(document) = record::decode_configuration(&object("main", spec.clone())) {
            prop_assert_eq!(spec["version"].as_u64(), Some(document.version));
            if let Some(route) = document.route("h.example", "/a/b") {
                // A route of unknown kind must not be executed twice.
                let kind = spec["routes"][route.name.as_str()]["kind"].as_str();
                let is_idempotent = route.execution == Execution::Idempotent;
                prop_assert!(
                    !is_idempotent || matches!(kind, Some("safe" | "download")),
                    "{:?}",
                    kind
                );
                prop_assert!(route.max_attempts >= 1);
                let _ = route.next_service();
            }
        }
    }

    #[test]
    fn mutated_host_is_decoded_as_written_or_rejected(
        index in any::<usize>(),
        replacement in prop::option::of(json_value()),
    ) {
        let mut spec = json!({
            "zone": "a1", "region": "a", "caller": "127.0.0.1:80", "peer": "127.0.0.1:81",
            "control": "127.0.0.1:82", "incarnation": 7, "weight": 0.5,
        });
        mutate(&mut spec, index, replacement);
        if let Some(member) = record::decode_member(&object("h-1", spec.clone())) {
            prop_assert_eq!(spec["peer"].as_str(), Some(&*member.peer.to_string()));
            prop_assert!(member.weight.is_finite());
        }
    }

    #[test]
    fn mutated_settings_do_not_panic(
        line in any::<usize>(),
        column in any::<usize>(),
        replacement in "[ -~]{0,8}",
    ) {
        let mut lines: Vec<String> = SETTINGS.lines().map(str::to_owned).collect();
        let index = line % lines.len();
        let column = column % (lines[index].len() + 1);
        lines[index].truncate(column);
        lines[index].push_str(&replacement);
        // The result may be an error, but the parser must not panic.
        let _ = node::parse(&lines.join("\n"));
    }
}
