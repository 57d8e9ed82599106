//! Tests of the choice of a route and of its service.

use super::*;

fn route(host: &str, path_prefix: &str, weights: &[f64]) -> Route {
    let services = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| WeightedService {
            service: format!("s{index}").into(),
            weight: *weight,
        });
    Route {
        name: path_prefix.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
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
fn the_route_with_the_longest_path_prefix_of_the_host_is_chosen() {
    let routes = ["/", "/a/", "/a/b/"].map(|prefix| route("one.example", prefix, &[1.0]));
    let mut routes = Vec::from(routes);
    routes.push(route("two.example", "/c/", &[1.0]));
    let document = Document::new(1, routes, BTreeMap::new(), Limits::default());
    struct Case {
        host: &'static str,
        path: &'static str,
        path_prefix: Option<&'static str>,
    }
    let cases = [
        Case {
            host: "one.example",
            path: "/a/b/c",
            path_prefix: Some("/a/b/"),
        },
        Case {
            host: "ONE.example:8080",
            path: "/a/bc",
            path_prefix: Some("/a/"),
        },
        Case {
            host: "one.example",
            path: "/ab",
            path_prefix: Some("/"),
        },
        Case {
            host: "two.example",
            path: "/a/",
            path_prefix: None,
        },
        Case {
            host: "three.example",
            path: "/",
            path_prefix: None,
        },
    ];
    for case in cases {
        let route = document.route(case.host, case.path);
        let path_prefix = route.as_ref().map(|route| route.path_prefix.as_str());
        assert_eq!(path_prefix, case.path_prefix, "{} {}", case.host, case.path);
    }
}

#[test]
fn shares_follow_the_weights_within_short_runs() {
    for weights in [[90.0, 10.0], [1.0, 1.0], [2.0, 1.0]] {
        let route = route("h", "/", &weights);
        let share = weights[0] / (weights[0] + weights[1]);
        for run in 1..20 {
            let picks =
                (0..60).filter(|_| route.next_service().is_some_and(|service| service == "s0"));
            let actual = picks.count() as f64 / 60.0;
            // The platform allows 0.1 over 300 requests.
            assert!(
                (actual - share).abs() < 0.06,
                "{weights:?}, run {run}: {actual}"
            );
        }
    }
}
