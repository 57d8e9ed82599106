//! Random damage to objects of the store and to settings: they are used as they were, or not.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// Cases of each property; the seed is fixed, so that each run gives the same verdict
const CASES: u32 = 2000;

/// Any JSON value, three levels deep
fn value() -> impl Strategy<Value = Value> {
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

/// Replace, or remove with `None`, the part of a value that `at` picks among all its parts
fn damage(target: &mut Value, at: usize, with: Option<Value>) {
    let mut paths = Vec::new();
    collect("", target, &mut paths);
    let path = &paths[at % paths.len()];
    let (parent, name) = path.rsplit_once('/').expect("a path has a parent");
    match (with, target.pointer_mut(parent)) {
        (None, Some(Value::Object(parent))) => {
            parent.remove(name);
        }
        (with, _) => *target.pointer_mut(path).expect("a part") = with.unwrap_or(Value::Null),
    }
}

fn collect(path: &str, value: &Value, paths: &mut Vec<String>) {
    let parts: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(list) => (0..).map(|i: u32| i.to_string()).zip(list).collect(),
        _ => Vec::new(),
    };
    for (name, part) in parts {
        let path = format!("{path}/{name}");
        collect(&path, part, paths);
        paths.push(path);
    }
}

fn configuration() -> Value {
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
    fn a_damaged_entry_names_what_it_says_or_no_endpoint(
        at in any::<usize>(),
        with in prop::option::of(value()),
    ) {
        let zones = BTreeMap::from([("a1".into(), "a".into())]);
        let mut spec = entry();
        damage(&mut spec, at, with);
        if let Some(found) = record::decode_endpoint(&object("i-1", spec.clone()), &zones) {
            prop_assert_eq!(spec["service"].as_str(), Some(found.service.as_str()));
            prop_assert_eq!(spec["address"].as_str(), Some(&*found.address.to_string()));
            prop_assert_eq!(spec["state"].as_str(), Some("ready"));
            prop_assert_eq!(spec["born"].as_u64(), found.start_unix_millis);
        }
    }

    #[test]
    fn a_damaged_configuration_is_refused_or_routes_only_where_it_says(
        at in any::<usize>(),
        with in prop::option::of(value()),
    ) {
        let mut spec = configuration();
        damage(&mut spec, at, with);
        if let Ok(document) = record::decode_configuration(&object("main", spec.clone())) {
            prop_assert_eq!(spec["version"].as_u64(), Some(document.version));
            if let Some(route) = document.route("h.example", "/a/b") {
                // A kind that is not known must not run twice.
                let kind = spec["routes"][route.name.as_str()]["kind"].as_str();
                let again = route.execution == Execution::Idempotent;
                prop_assert!(!again || matches!(kind, Some("safe" | "download")), "{:?}", kind);
                prop_assert!(route.max_attempts >= 1);
                let _ = route.next_service();
            }
        }
    }

    #[test]
    fn a_damaged_entry_of_a_host_is_read_or_left(
        at in any::<usize>(),
        with in prop::option::of(value()),
    ) {
        let mut spec = json!({
            "zone": "a1", "region": "a", "caller": "127.0.0.1:80", "peer": "127.0.0.1:81",
            "control": "127.0.0.1:82", "incarnation": 7, "weight": 0.5,
        });
        damage(&mut spec, at, with);
        if let Some(found) = record::decode_member(&object("h-1", spec.clone())) {
            prop_assert_eq!(spec["peer"].as_str(), Some(&*found.peer.to_string()));
            prop_assert!(found.weight.is_finite());
        }
    }

    #[test]
    fn damaged_settings_are_an_error_or_settings(
        line in any::<usize>(),
        from in any::<usize>(),
        with in "[ -~]{0,8}",
    ) {
        let mut lines: Vec<String> = SETTINGS.lines().map(str::to_owned).collect();
        let index = line % lines.len();
        let from = from % (lines[index].len() + 1);
        lines[index].truncate(from);
        lines[index].push_str(&with);
        // Either verdict is fine; none may panic.
        let _ = node::parse(&lines.join("\n"));
    }
}
