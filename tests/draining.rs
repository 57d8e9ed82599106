//! Endpoints that leave while something older is still under way: a write of their entry, or a request
//! whose answer is lost. Real `pier-gate` processes, endpoints that the test plays.

mod site;

use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;

use site::raw::{self, RawEndpoint};
use site::{Site, get_status};

/// Time in which a change of an endpoint's entry is in force, for all hosts of a small deployment
const APPLY_TIME: Duration = Duration::from_millis(1000);

async fn start() -> Site {
    let site = Site::start(1, 1).await;
    raw::remove_others(&site);
    site
}

/// Sends requests one after the other and returns how many arrived at an endpoint
async fn count_arrivals(site: &Site, endpoint: &RawEndpoint, label: &str) -> usize {
    let host = SocketAddr::new(site.gateways[0].ip, 8161);
    let mut arrivals = 0;
    for number in 0..20 {
        let id = format!("{label}-{number}");
        get_status(host, "/safe/x", &id).await;
        arrivals += endpoint.arrivals(&id);
    }
    arrivals
}

async fn play_late_write() -> Vec<String> {
    let site = start().await;
    let leaving = RawEndpoint::start(&site, "i-leaving", raw::succeed).await;
    let staying = RawEndpoint::start(&site, "i-staying", raw::succeed).await;
    leaving.register(&site, "ready", 2);
    staying.register(&site, "ready", 2);
    Timer::after(APPLY_TIME).await;
    let mut broken = Vec::new();
    if count_arrivals(&site, &leaving, "before").await == 0 {
        broken.push("no request reaches the endpoint before it leaves".to_owned());
    }
    leaving.register(&site, "draining", 6);
    Timer::after(APPLY_TIME).await;
    leaving.register(&site, "ready", 3);
    Timer::after(APPLY_TIME).await;
    let late = count_arrivals(&site, &leaving, "late").await;
    if late > 0 {
        broken.push(format!("{late} requests after an older entry"));
    }
    site.store.remove("servers", &leaving.id);
    Timer::after(APPLY_TIME).await;
    leaving.register(&site, "ready", 4);
    Timer::after(APPLY_TIME).await;
    let gone = count_arrivals(&site, &leaving, "gone").await;
    if gone > 0 {
        broken.push(format!("{gone} requests after its entry was removed"));
    }
    broken
}

// An entry that the store writes late must not put an endpoint that leaves back into use.
#[test]
fn older_entry_written_late_revives_a_leaving_endpoint() {
    site::play_all([play_late_write()].into_iter());
}
