//! Numbers at the ends of their types in objects of the store.

use std::time::Instant;

use super::*;
use crate::bound::MAX_COUNT;

// A number of another writer must not end the task that follows the store.
#[test]
fn number_of_an_object_overflows_the_clock() {
    let millis = [
        json!(9.3e18),
        json!(9.3e21),
        json!(1.7e22),
        json!(u64::MAX),
        json!(1e308),
        json!(-1e308),
    ];
    let zones = BTreeMap::from([("a1".into(), "a".into())]);
    for value in millis {
        let mut spec = endpoint_spec();
        spec["warmup_left_ms"] = value.clone();
        spec["max_concurrency"] = json!(u32::MAX);
        let endpoint = record::decode_endpoint(&object("i-1", spec), &zones);
        let endpoint = endpoint.expect("the entry is valid");
        assert!(endpoint.warmup_remaining <= MAX_DURATION, "{value}");
        assert_eq!(endpoint.slots, MAX_COUNT);
        let configuration = json!({
            "version": 7,
            "routes": {"r": {
                "host": "h", "path_prefix": "/", "kind": "safe", "service": "s",
                "timeout_ms": value, "target_latency_ms": value,
            }},
            "services": {"s": {"warmup_s": value, "warmup_per_s": value}},
        });
        let document = record::decode_configuration(&object("main", configuration));
        let document = document.expect("the configuration is valid");
        let route = document.route("h", "/").expect("the route matches");
        let service = &document.services["s"];
        let now = Instant::now();
        for duration in [
            route.timeout.unwrap_or_default(),
            route.latency_target.unwrap_or_default(),
            service.warmup,
            endpoint.warmup_remaining,
        ] {
            assert!(now.checked_add(duration).is_some(), "{value}");
        }
        assert!(service.warmup_rate.is_finite() && service.warmup_rate >= 0.0);
    }
}
