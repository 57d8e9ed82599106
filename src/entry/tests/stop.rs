//! Planned stops under load.

use std::time::{Duration, Instant};

use smol::io::AsyncWriteExt;
use smol::stream;

use crate::caller::fake::{self, Act, Upstream};
use crate::drain;
use crate::entry::stop;
use crate::entry::tests::fleet::{ask, fleet, payment};

#[test]
fn a_planned_stop_costs_nobody_a_request() {
    smol::block_on(async {
        let upstream = Upstream::new(Act::Slow(Duration::from_millis(10))).await;
        let mut revision = fake::revision(&[&upstream], 3);
        revision.document.lookup_lifetime = Duration::from_millis(200);
        let members = fleet(&[("a", "z1"), ("b", "z1")], &revision).await;
        let mut kept = fake::connect(members[0].port).await;
        let text = fake::get("/s/portal/x");
        kept.write_all(text.as_bytes()).await.unwrap();
        let answer = fake::answer(&mut kept).await;
        assert_eq!(fake::header(&answer, "connection"), None);

        let begun = Instant::now();
        let (host, link) = (members[0].host.clone(), members[0].link.clone());
        let stopped = smol::spawn(async move {
            stop::stop(&host, &link, stream::pending::<()>()).await;
        });
        fake::until("the stop has begun", || members[0].host.is_stopping()).await;
        kept.write_all(text.as_bytes()).await.unwrap();
        let answer = fake::answer(&mut kept).await;
        assert_eq!(fake::header(&answer, "connection"), Some("close"));

        let found = ask(
            members[0].port,
            &fake::get("/lookup?service=portal&block=1"),
        )
        .await;
        let gone = members[0].port.to_string();
        assert!(!found.contains(&gone), "{found}");
        let mut count = 0;
        while !stopped.is_finished() {
            let get = ask(members[0].port, &text).await;
            assert!(get.ends_with("/x"), "after {count}: {get}");
            let pay = ask(members[0].port, &payment(&members[1])).await;
            assert!(pay.ends_with("/pay"), "after {count}: {pay}");
            count += 1;
        }
        let served = drain::PROPAGATION_DELAY + revision.document.lookup_lifetime;
        assert!(count > 0 && begun.elapsed() >= served);
        assert_eq!(members[0].host.in_flight_count(), 0);
        let found = ask(
            members[1].port,
            &fake::get("/lookup?service=portal&block=1"),
        )
        .await;
        assert!(!found.contains(&gone), "{found}");
    });
}
