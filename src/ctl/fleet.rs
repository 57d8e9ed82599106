//! Requests to the operator ports of entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use http_types::Method;
use serde::de::DeserializeOwned;
use smol::stream::{self, StreamExt};

use super::{client, unavailable};
use crate::error::Error;
use crate::http;
use crate::id::{HostId, ZoneId};
use crate::member::HostInfo;

/// Timeout of one request
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of requests in flight
pub const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Operator port of an entry host
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Port {
    /// Name of the host, or its address if the name is not available
    pub host: HostId,
    /// Zone of the host, empty if it is not available
    pub zone: ZoneId,
    /// TCP address
    pub address: SocketAddr,
}

impl From<&HostInfo> for Port {
    fn from(info: &HostInfo) -> Self {
        Self {
            host: info.host.clone(),
            zone: info.zone.clone(),
            address: info.operator.unwrap_or(info.caller),
        }
    }
}

impl From<&SocketAddr> for Port {
    fn from(address: &SocketAddr) -> Self {
        Self {
            host: address.to_string().into(),
            zone: ZoneId::default(),
            address: *address,
        }
    }
}

/// Returns the operator ports of the command line, or else those in the platform's host list
pub async fn ports(matches: &ArgMatches) -> Result<Vec<Port>, Error> {
    if let Some(addresses) = matches.get_many::<SocketAddr>("operator") {
        return Ok(addresses.map(Port::from).collect());
    }
    let hosts = client(matches).hosts().await;
    let hosts = hosts.map_err(|error| {
        Error::Unavailable(format!("{error}; or give operator ports with --operator"))
    })?;
    let reachable = hosts.iter().filter(|host| host.operator.is_some());
    let ports: Vec<Port> = reachable.map(Port::from).collect();
    if ports.is_empty() {
        return Err(Error::Unavailable(
            "the platform lists no operator ports; give them with --operator".to_owned(),
        ));
    }
    Ok(ports)
}

/// Sends a GET request to one port and decodes the JSON response; `None` for status 404
pub async fn get<T: DeserializeOwned>(port: &Port, target: &str) -> Result<Option<T>, Error> {
    let request = http::request(Method::Get, port.address, target);
    let response = http::call(port.address, request, REQUEST_TIMEOUT).await;
    let response = response.map_err(unavailable)?;
    match response.status() {
        200 => serde_json::from_slice(&response.body)
            .map(Some)
            .map_err(unavailable),
        404 => Ok(None),
        status => Err(unavailable(format!(
            "{}: unexpected status {status}",
            port.address
        ))),
    }
}

/// Sends a GET request to each port; the results are in the order of the ports
pub async fn get_all<T>(ports: &[Port], target: &str) -> Vec<Result<T, Error>>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut results = Vec::with_capacity(ports.len());
    for batch in ports.chunks(MAX_CONCURRENT_REQUESTS) {
        let tasks = batch.iter().cloned().map(|port| {
            let target = target.to_owned();
            smol::spawn(async move {
                let response = get(&port, &target).await?;
                response.ok_or_else(|| unavailable(format!("{}: not found", port.address)))
            })
        });
        let tasks: Vec<_> = tasks.collect();
        let mut finished = stream::iter(tasks).then(|task| task);
        while let Some(result) = finished.next().await {
            results.push(result);
        }
    }
    results
}
