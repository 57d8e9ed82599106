//! Requests that are refused before their ticket is looked up.

use std::path::Path;
use std::sync::Arc;

use smol::io::AsyncWriteExt;

use crate::caller::Limits;
use crate::caller::fake::{self, Behavior, Upstream};
use crate::entry::Host;
use crate::entry::guard::MAX_BUFFERED_BYTES;
use crate::upstream;

/// Why a host refuses a request
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Why {
    BuffersFull,
    NoConfiguration,
    NoService,
    TwoLengths,
    LongBody,
}

/// Returns a host that holds no ticket, and refuses requests if it is for this reason
fn refusing_host(upstream: &Upstream, why: Why) -> Arc<Host> {
    let mut revision = fake::revision(&[upstream], 3);
    match why {
        Why::NoConfiguration => {
            let address = upstream.address;
            let settings = fake::settings("b", "z1", address, Path::new("none"));
            return Arc::new(Host::new(settings, upstream::Client::new()));
        }
        Why::NoService => revision.document.services.clear(),
        _ => {}
    }
    fake::host(revision)
}

// An earlier request with the same ticket ran.
#[test]
fn request_that_ran_is_told_not_run_before_its_ticket_is_looked_up() {
    struct Case {
        why: Why,
        extra_headers: &'static str,
        /// Outcomes of a request with a ticket and of one without
        outcomes: [Option<&'static str>; 2],
    }
    const REFUSED: [Option<&str>; 2] = [Some("unknown"), Some("not-run")];
    let case = |why, extra_headers, outcomes| Case {
        why,
        extra_headers,
        outcomes,
    };
    let cases = [
        case(Why::BuffersFull, "", REFUSED),
        case(Why::NoConfiguration, "", REFUSED),
        case(Why::NoService, "", REFUSED),
        case(Why::TwoLengths, "Content-Length: 3\r\n", [None, None]),
        case(Why::LongBody, "", [None, None]),
    ];
    smol::block_on(async {
        let upstream = Upstream::new(Behavior::Echo).await;
        let mut broken = Vec::new();
        for case in cases {
            let issuer = fake::host(fake::revision(&[&upstream], 3));
            let port = fake::serve_callers(&issuer, Limits::default()).await;
            let ticket = issuer.issue_ticket(&"portal".into());
            let ticket = format!("Pier-Ticket: {ticket}\r\n");
            let first = fake::post(
                "/s/portal/x",
                &format!("{ticket}Connection: close\r\n"),
                "pay",
            );
            let response = fake::send_and_read_all(port, first.as_bytes()).await;
            assert!(response.ends_with("/x"), "{response}");
            let runs = upstream.request_count();

            let host = refusing_host(&upstream, case.why);
            let buffered = match case.why {
                Why::BuffersFull => MAX_BUFFERED_BYTES,
                _ => 0,
            };
            let _reservation = host.reserve_buffer(buffered).unwrap();
            let port = fake::serve_callers(&host, Limits::default()).await;
            let body = match case.why {
                Why::LongBody => "x".repeat(70_000),
                _ => "pay".to_owned(),
            };
            for (ticket, expected) in [ticket.as_str(), ""].into_iter().zip(case.outcomes) {
                let headers = format!("{ticket}{}", case.extra_headers);
                let request = fake::post("/s/portal/x", &headers, &body);
                let mut stream = fake::connect(port).await;
                let _ = stream.write_all(request.as_bytes()).await;
                let response = fake::read_response(&mut stream).await;
                let outcome = fake::header(&response, "pier-outcome");
                if outcome != expected {
                    broken.push(format!("{:?}, {ticket:?}: {outcome:?}", case.why));
                }
            }
            assert_eq!(upstream.request_count(), runs, "{:?}", case.why);
        }
        assert!(broken.is_empty(), "{}", broken.join("\n"));
    });
}
