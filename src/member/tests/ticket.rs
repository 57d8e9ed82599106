//! Tests of the lookup of a ticket's holder by its issuer.

use super::*;
use crate::once::Ticket;

#[test]
fn ticket_holder_follows_from_the_issuer() {
    struct Case {
        name: &'static str,
        heartbeats: Vec<(f64, Heartbeat)>,
        ticks: &'static [f64],
        issuer: (&'static str, Incarnation),
        holder: Option<&'static str>,
    }
    let successor = Heartbeat {
        taken_over: vec![Issuer {
            host: "a-2".into(),
            incarnation: 5,
        }],
        ..heartbeat("a-3", 7)
    };
    let own_successor = Heartbeat {
        taken_over: vec![Issuer {
            host: "a-1".into(),
            incarnation: 2,
        }],
        ..heartbeat("a-3", 7)
    };
    let cases = [
        Case {
            name: "the issuer is live",
            heartbeats: vec![(0.1, heartbeat("a-2", 5))],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-2"),
        },
        Case {
            name: "the issuer is stopping and has not handed over its tickets",
            heartbeats: vec![(0.1, leaving_heartbeat("a-2", 5))],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-2"),
        },
        Case {
            name: "the issuer handed over its tickets",
            heartbeats: vec![(0.1, leaving_heartbeat("a-2", 5)), (0.2, successor.clone())],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-3"),
        },
        Case {
            name: "the issuer handed over its tickets and stopped",
            heartbeats: vec![
                (0.1, leaving_heartbeat("a-2", 5)),
                (0.2, successor.clone()),
                (2.0, successor.clone()),
            ],
            ticks: &[1.5, 2.5],
            issuer: ("a-2", 5),
            holder: Some("a-3"),
        },
        Case {
            name: "the issuer handed over its tickets and a new process has its name",
            heartbeats: vec![(0.1, heartbeat("a-2", 6)), (0.2, successor)],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-3"),
        },
        Case {
            name: "the issuer crashed",
            heartbeats: vec![(0.1, heartbeat("a-2", 5)), (2.0, heartbeat("a-3", 7))],
            ticks: &[1.5, 2.5],
            issuer: ("a-2", 5),
            holder: None,
        },
        Case {
            name: "the issuer crashed and restarted",
            heartbeats: vec![(0.1, heartbeat("a-2", 5)), (0.2, heartbeat("a-2", 6))],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: None,
        },
        Case {
            name: "the issuer is in another zone",
            heartbeats: Vec::new(),
            ticks: &[],
            issuer: ("b-1", 5),
            holder: Some("b-1"),
        },
        Case {
            name: "the issuer in another zone restarted",
            heartbeats: vec![(0.1, heartbeat("b-1", 6))],
            ticks: &[],
            issuer: ("b-1", 5),
            holder: Some("b-1"),
        },
        Case {
            name: "this process is the issuer",
            heartbeats: Vec::new(),
            ticks: &[],
            issuer: ("a-1", 3),
            holder: Some("a-1"),
        },
        Case {
            name: "a previous process of this host is the issuer",
            heartbeats: Vec::new(),
            ticks: &[],
            issuer: ("a-1", 2),
            holder: None,
        },
        Case {
            name: "a previous process of this host handed over its tickets",
            heartbeats: vec![(0.1, own_successor)],
            ticks: &[],
            issuer: ("a-1", 2),
            holder: Some("a-3"),
        },
        Case {
            name: "the issuer is unknown",
            heartbeats: Vec::new(),
            ticks: &[],
            issuer: ("c-1", 5),
            holder: None,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, host_info("a-1")).with_incarnation(3);
        view.apply_list(start, &["a-1", "b-1"].map(host_info));
        let mut inputs: Vec<(f64, Option<Heartbeat>)> = Vec::new();
        inputs.extend(
            case.heartbeats
                .into_iter()
                .map(|(at, heartbeat)| (at, Some(heartbeat))),
        );
        inputs.extend(case.ticks.iter().map(|at| (*at, None)));
        inputs.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, heartbeat) in inputs {
            let now = start + seconds(at);
            if let Some(heartbeat) = heartbeat {
                view.record_heartbeat(now, &heartbeat);
            }
            view.tick(now);
        }
        let ticket = Ticket {
            issuer: case.issuer.0.into(),
            incarnation: case.issuer.1,
            service: "turni".into(),
            number: 1,
            seal: 0,
        };
        let holder = view
            .ticket_holder(&ticket)
            .map(|host| host.info.host.as_str());
        assert_eq!(holder, case.holder, "{}", case.name);
    }
}
