//! Steady load of a deployment, and what arrives of it at an endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Site;
use super::client::{self, AttemptLog};

/// Steady load of a deployment, at all its hosts
pub struct Load {
    /// Attempts that have ended
    pub log: AttemptLog,
    /// Addresses of the hosts
    pub hosts: Vec<SocketAddr>,
    clients: Vec<smol::Task<()>>,
}

impl Load {
    /// Starts sixteen callers
    pub fn new(site: &Site, duration: Duration) -> Self {
        Self::with_callers(site, duration, 16)
    }

    /// Starts callers that each pause for 30 ms between two requests
    pub fn with_callers(site: &Site, duration: Duration, callers: usize) -> Self {
        let log = AttemptLog::default();
        let end = Instant::now() + duration;
        let hosts: Vec<SocketAddr> = site
            .gateways
            .iter()
            .map(|gateway| SocketAddr::new(gateway.ip, 8161))
            .collect();
        let pause = Duration::from_millis(30);
        let clients = (0..callers).map(|number| {
            let host = hosts[number % hosts.len()];
            let log = log.clone();
            smol::spawn(client::send_requests(host, number as u64, end, pause, log))
        });
        Self {
            clients: clients.collect(),
            log,
            hosts,
        }
    }

    /// Waits until the load ends; returns the host of each attempt
    pub async fn hosts_by_attempt(&mut self) -> BTreeMap<String, SocketAddr> {
        for client in std::mem::take(&mut self.clients) {
            client.await;
        }
        let attempts = self.log.lock().expect("no client panicked").clone();
        let hosts = attempts.into_iter();
        hosts.map(|attempt| (attempt.id, attempt.gateway)).collect()
    }

    /// Returns the statuses of all attempts with their numbers
    pub fn statuses(&self) -> BTreeMap<String, usize> {
        let mut statuses = BTreeMap::new();
        for attempt in self.log.lock().expect("no client panicked").iter() {
            let status = match attempt.result {
                Ok(status) => status.to_string(),
                Err(reason) => reason.to_owned(),
            };
            *statuses.entry(status).or_default() += 1;
        }
        statuses
    }
}

/// Returns the arrival times at an endpoint, by the host that sent the request
pub fn arrivals_by_host(
    site: &Site,
    server: usize,
    hosts: &BTreeMap<String, SocketAddr>,
) -> BTreeMap<SocketAddr, Vec<Instant>> {
    let mut arrivals: BTreeMap<SocketAddr, Vec<Instant>> = BTreeMap::new();
    for (id, times) in site.servers[server].endpoint.arrivals() {
        if let Some(host) = hosts.get(&id) {
            arrivals.entry(*host).or_default().extend(times);
        }
    }
    arrivals.values_mut().for_each(|times| times.sort());
    arrivals
}
