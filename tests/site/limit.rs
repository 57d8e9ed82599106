//! What arrives at an endpoint that limits the requests of all hosts together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Site;
use super::load::arrivals_by_host;

/// Time after the first answer that names a limit from which on it binds
pub const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after which a host must heed a limit that it passed on
pub const HEED_TIME: Duration = Duration::from_millis(500);

/// Span in which arrivals are counted
pub const WINDOW: Duration = Duration::from_secs(4);

/// Ratio of the limit, and number of requests beyond that, which a window may have
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Time in which arrivals do not count
#[derive(Clone, Copy, Debug)]
pub struct Excuse {
    /// Host that is excused, `None` for all
    pub host: Option<SocketAddr>,
    pub from: Instant,
    pub until: Instant,
}

impl Excuse {
    fn covers(&self, host: SocketAddr, at: Instant) -> bool {
        self.host.is_none_or(|excused| excused == host) && (self.from..self.until).contains(&at)
    }
}

/// Returns the number of requests that a window may have at a rate in requests a second
pub fn allowed(rate: f64) -> f64 {
    let (ratio, slack) = TOLERANCE;
    rate * WINDOW.as_secs_f64() * ratio + slack
}

/// Returns the time from which on each host is bound by the limit of an endpoint
fn bound_since(
    site: &Site,
    server: usize,
    hosts: &BTreeMap<String, SocketAddr>,
) -> BTreeMap<SocketAddr, Instant> {
    let mut bound_since: BTreeMap<SocketAddr, Instant> = BTreeMap::new();
    for (id, at) in site.servers[server].endpoint.limit_answers() {
        if let Some(host) = hosts.get(&id) {
            let since = bound_since.entry(*host).or_insert(at + HEED_TIME);
            *since = (*since).min(at + HEED_TIME);
        }
    }
    bound_since
}

/// Returns the arrivals that count against the limit of an endpoint, in order
pub fn counted_arrivals(
    site: &Site,
    server: usize,
    hosts: &BTreeMap<String, SocketAddr>,
    excuses: &[Excuse],
) -> Vec<Instant> {
    let answers = site.servers[server].endpoint.limit_answers();
    let Some(named_at) = answers.iter().map(|(_, at)| *at).min() else {
        return Vec::new();
    };
    let bound_since = bound_since(site, server, hosts);
    let mut counted = Vec::new();
    for (host, times) in arrivals_by_host(site, server, hosts) {
        let since = bound_since.get(&host).copied();
        counted.extend(times.into_iter().filter(|at| {
            let is_bound = since.is_some_and(|since| *at >= since);
            let excuse = excuses.iter().find(|excuse| excuse.covers(host, *at));
            is_bound && *at >= named_at + STABLE_TIME && excuse.is_none()
        }));
    }
    counted.sort();
    counted
}

/// Returns the largest number of arrivals in a window
pub fn most_in_window(arrivals: &[Instant]) -> usize {
    let in_window = arrivals.iter().enumerate().map(|(first, start)| {
        let end = arrivals.partition_point(|at| *at < *start + WINDOW);
        end - first
    });
    in_window.max().unwrap_or_default()
}
