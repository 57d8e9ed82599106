//! What hosts say of their state.

use std::net::SocketAddr;

use super::{Site, get, get_status};

/// Port of the metrics and the status
const STATUS_PORT: u16 = 9464;

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
    let Some((_, status)) = get(SocketAddr::new(ip, STATUS_PORT), "/status").await else {
        return false;
    };
    let status: serde_json::Value = serde_json::from_slice(&status).unwrap_or_default();
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    let mut endpoints = endpoints.iter();
    endpoints.any(|entry| entry["endpoint"] == endpoint && entry["draining"] == drains)
}
