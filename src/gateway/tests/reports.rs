//! Reports of a host that come late, twice or in another order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::LocalExecutor;

use super::peers::message;
use super::watch::settings;
use crate::fleet::{Member, Report};
use crate::gateway::datagram::{Message, decode, encode};
use crate::gateway::{Gateway, peers};
use crate::id::EndpointId;
use crate::placement::short_id;

/// Time between two reports
const STEP: Duration = Duration::from_millis(100);

fn member(host: &str) -> Member {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Member {
        host: host.into(),
        zone: "north-a".into(),
        region: "north".into(),
        caller: address,
        peer: address,
        control: None,
        incarnation: 1,
        weight: 1.0,
        revision: 0,
    }
}

/// Guards against an older report that comes after a newer one and takes its place
#[test]
fn older_report_that_comes_later_is_heeded() {
    struct Case {
        name: &'static str,
        /// Number and load of each report, in the order of arrival
        reports: &'static [(u64, u32)],
        /// Load that the host is taken to have then
        expected: u32,
    }
    let cases = [
        Case {
            name: "in order",
            reports: &[(4, 1), (5, 7)],
            expected: 7,
        },
        Case {
            name: "late",
            reports: &[(5, 7), (4, 1)],
            expected: 7,
        },
        Case {
            name: "twice",
            reports: &[(4, 1), (5, 7), (4, 1), (5, 7), (4, 1)],
            expected: 7,
        },
        Case {
            name: "an earlier version states no number",
            reports: &[(5, 7), (0, 1), (0, 2)],
            expected: 2,
        },
    ];
    let endpoint: EndpointId = "i-1".into();
    for case in cases {
        let executor = Rc::new(LocalExecutor::new());
        let gateway = Gateway::new(settings("edge-0", "127.0.0.1:0".parse().unwrap()), executor);
        let start = Instant::now();
        for host in ["edge-0", "edge-1"] {
            gateway.fleet.borrow_mut().put(start, member(host));
        }
        let mut now = start;
        let mut last = None;
        for (sequence, load) in case.reports {
            now += STEP;
            let sent = Message {
                report: Report {
                    demand: BTreeMap::from([("portal".into(), *load as f32)]),
                    running: BTreeMap::from([(short_id(&endpoint), *load)]),
                    ..message(&[], 0, 0).report
                },
                reads_store: *load == case.expected,
                sequence: *sequence,
                ..message(&[], 0, 0)
            };
            let received = decode(&encode(&sent)).expect("the datagram is valid");
            peers::record(&gateway, now, &received);
            last = Some(received.report.host);
        }
        let fleet = gateway.fleet.borrow();
        let demand = fleet.demand_by_region(now, "portal");
        let demand = demand.get("north").copied().unwrap_or_default();
        // The host itself has not reported and counts with the mean of the others.
        assert_eq!(demand, f64::from(case.expected * 2), "{}", case.name);
        let pool = gateway.pool.borrow();
        let load = pool.load_from_other_hosts(now, &endpoint);
        assert_eq!(load, case.expected, "{}", case.name);
        assert_eq!(fleet.store_readers(now).count(), 1, "{}", case.name);
        let silence = fleet.silence(now, &last.expect("a report came"));
        assert_eq!(silence, Some(Duration::ZERO), "{}", case.name);
    }
}
