//! Choice of routes, and weights that hold within short runs.

use super::*;

fn route(host: &str, prefix: &str, weights: &[f64]) -> Route {
    let services = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| WeightedService {
            service: format!("s{index}").into(),
            weight: *weight,
        });
    Route {
        name: prefix.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        execution: Execution::AtMostOnce,
        services: services.collect(),
        timeout: None,
        latency_target: None,
        priority: 0,
        max_attempts: 2,
        session_affinity: false,
        allowed_regions: Vec::new(),
        rotation: Cell::new(fastrand::u64(..)),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = ["/", "/a/", "/a/b/"].map(|prefix| route("one.example", prefix, &[1.0]));
    let mut routes = Vec::from(routes);
    routes.push(route("two.example", "/c/", &[1.0]));
    let document = Document::new(1, routes, BTreeMap::new(), Limits::default());
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<&'static str>,
    }
    let cases = [
        Case {
            host: "one.example",
            path: "/a/b/c",
            found: Some("/a/b/"),
        },
        Case {
            host: "ONE.example:8080",
            path: "/a/bc",
            found: Some("/a/"),
        },
        Case {
            host: "one.example",
            path: "/ab",
            found: Some("/"),
        },
        Case {
            host: "two.example",
            path: "/a/",
            found: None,
        },
        Case {
            host: "three.example",
            path: "/",
            found: None,
        },
    ];
    for case in cases {
        let found = document.route(case.host, case.path);
        let found = found.as_ref().map(|route| route.path_prefix.as_str());
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn weights_hold_within_short_runs() {
    for weights in [[90.0, 10.0], [1.0, 1.0], [2.0, 1.0]] {
        let route = route("h", "/", &weights);
        let share = weights[0] / (weights[0] + weights[1]);
        for run in 1..20 {
            let picks = (0..60).filter(|_| route.next_service().is_some_and(|s| s == "s0"));
            let got = picks.count() as f64 / 60.0;
            // The platform allows 0.1 over 300 requests.
            assert!((got - share).abs() < 0.06, "{weights:?} run {run}: {got}");
        }
    }
}
