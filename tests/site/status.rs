//! What hosts say of their state.

use std::net::SocketAddr;

use super::{Site, get, get_status};

/// Port of the metrics and the status
const STATUS_PORT: u16 = 9464;

/// Returns the status that a host states
async fn status(site: &Site, host: usize) -> serde_json::Value {
    let address = SocketAddr::new(site.gateways[host].ip, STATUS_PORT);
    let answer = get(address, "/status").await;
    let body = answer.map(|(_, body)| body).unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or_default()
}

/// Returns a number of the state of a host, `None` if it states none
pub async fn number(site: &Site, host: usize, item: &str) -> Option<u64> {
    status(site, host).await["state"][item].as_u64()
}

/// Returns whether a host reads the configuration from the store itself
pub async fn reads_store(site: &Site, host: usize) -> bool {
    status(site, host).await["state"]["reads_store"] == 1
}

/// Returns whether a host serves a route and sees an endpoint as draining or not
pub async fn is_in_force(
    site: &Site,
    host: usize,
    target: &str,
    endpoint: &str,
    drains: bool,
) -> bool {
    let ip = site.gateways[host].ip;
    let id = format!("{host}{}", target.replace('/', "-"));
    if get_status(SocketAddr::new(ip, 8161), target, &id).await != Some(200) {
        return false;
    }
    let status = status(site, host).await;
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    let mut endpoints = endpoints.iter();
    endpoints.any(|entry| entry["endpoint"] == endpoint && entry["draining"] == drains)
}
