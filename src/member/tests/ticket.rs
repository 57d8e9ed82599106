//! Which host holds a ticket, from the issuer in it.

use super::*;
use crate::once::Ticket;

#[test]
fn a_ticket_leads_to_its_holder() {
    struct Case {
        what: &'static str,
        heard: Vec<(f64, Heartbeat)>,
        ticks: &'static [f64],
        issuer: (&'static str, Incarnation),
        holder: Option<&'static str>,
    }
    let successor = Heartbeat {
        held: vec![Issuer {
            host: "a-2".into(),
            incarnation: 5,
        }],
        ..beat("a-3", 7)
    };
    let own_successor = Heartbeat {
        held: vec![Issuer {
            host: "a-1".into(),
            incarnation: 2,
        }],
        ..beat("a-3", 7)
    };
    let cases = [
        Case {
            what: "its issuer is live",
            heard: vec![(0.1, beat("a-2", 5))],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-2"),
        },
        Case {
            what: "its issuer is stopping and has handed nothing over",
            heard: vec![(0.1, leaving("a-2", 5))],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-2"),
        },
        Case {
            what: "its issuer handed it over",
            heard: vec![(0.1, leaving("a-2", 5)), (0.2, successor.clone())],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-3"),
        },
        Case {
            what: "its issuer handed it over and is gone",
            heard: vec![
                (0.1, leaving("a-2", 5)),
                (0.2, successor.clone()),
                (2.0, successor.clone()),
            ],
            ticks: &[1.5, 2.5],
            issuer: ("a-2", 5),
            holder: Some("a-3"),
        },
        Case {
            what: "its issuer handed it over and another process has the name",
            heard: vec![(0.1, beat("a-2", 6)), (0.2, successor)],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: Some("a-3"),
        },
        Case {
            what: "its issuer crashed",
            heard: vec![(0.1, beat("a-2", 5)), (2.0, beat("a-3", 7))],
            ticks: &[1.5, 2.5],
            issuer: ("a-2", 5),
            holder: None,
        },
        Case {
            what: "its issuer crashed and is back as another process",
            heard: vec![(0.1, beat("a-2", 5)), (0.2, beat("a-2", 6))],
            ticks: &[],
            issuer: ("a-2", 5),
            holder: None,
        },
        Case {
            what: "its issuer is in another zone",
            heard: Vec::new(),
            ticks: &[],
            issuer: ("b-1", 5),
            holder: Some("b-1"),
        },
        Case {
            what: "its issuer in another zone is another process now",
            heard: vec![(0.1, beat("b-1", 6))],
            ticks: &[],
            issuer: ("b-1", 5),
            holder: Some("b-1"),
        },
        Case {
            what: "this process issued it",
            heard: Vec::new(),
            ticks: &[],
            issuer: ("a-1", 3),
            holder: Some("a-1"),
        },
        Case {
            what: "a process before this one issued it",
            heard: Vec::new(),
            ticks: &[],
            issuer: ("a-1", 2),
            holder: None,
        },
        Case {
            what: "a process before this one handed it over",
            heard: vec![(0.1, own_successor)],
            ticks: &[],
            issuer: ("a-1", 2),
            holder: Some("a-3"),
        },
        Case {
            what: "nobody knows the issuer",
            heard: Vec::new(),
            ticks: &[],
            issuer: ("c-1", 5),
            holder: None,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut view = View::new(start, listed("a-1")).with_incarnation(3);
        view.apply_list(start, &["a-1", "b-1"].map(listed));
        let mut times: Vec<(f64, Option<Heartbeat>)> = Vec::new();
        times.extend(case.heard.into_iter().map(|(at, heard)| (at, Some(heard))));
        times.extend(case.ticks.iter().map(|at| (*at, None)));
        times.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, heard) in times {
            let now = start + seconds(at);
            if let Some(heard) = heard {
                view.record_heartbeat(now, &heard);
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
        assert_eq!(holder, case.holder, "{}", case.what);
    }
}
