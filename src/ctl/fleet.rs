//! Questions to the operators' ports of entry hosts.

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

/// Longest time for one answer
pub const ANSWER: Duration = Duration::from_secs(2);

/// Questions in progress at a time
pub const AT_ONCE: usize = 64;

/// Operators' port of one entry host
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Port {
    /// Name of the host, or the address where only that is given
    pub host: HostId,
    /// Its zone, empty where only the address is given
    pub zone: ZoneId,
    /// TCP address
    pub address: SocketAddr,
}

impl From<&HostInfo> for Port {
    fn from(listed: &HostInfo) -> Self {
        Self {
            host: listed.host.clone(),
            zone: listed.zone.clone(),
            address: listed.operator.unwrap_or(listed.caller),
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

/// Ports that the command line gives, else those that the platform lists
pub async fn ports(matches: &ArgMatches) -> Result<Vec<Port>, Error> {
    if let Some(addresses) = matches.get_many::<SocketAddr>("operator") {
        return Ok(addresses.map(Port::from).collect());
    }
    let listed = client(matches).hosts().await;
    let listed = listed.map_err(|error| {
        Error::Unavailable(format!("{error}; or name operators' ports with --operator"))
    })?;
    let known = listed.iter().filter(|host| host.operator.is_some());
    let ports: Vec<Port> = known.map(Port::from).collect();
    if ports.is_empty() {
        return Err(Error::Unavailable(
            "the platform lists no operators' ports; name some with --operator".to_owned(),
        ));
    }
    Ok(ports)
}

/// Ask one port for JSON; `None` when it knows no such thing
pub async fn ask<T: DeserializeOwned>(port: &Port, target: &str) -> Result<Option<T>, Error> {
    let request = http::request(Method::Get, port.address, target);
    let answer = http::call(port.address, request, ANSWER).await;
    let answer = answer.map_err(unavailable)?;
    match answer.status() {
        200 => serde_json::from_slice(&answer.body)
            .map(Some)
            .map_err(unavailable),
        404 => Ok(None),
        status => Err(unavailable(format!("{}: status {status}", port.address))),
    }
}

/// Ask many ports for JSON; answers come in the order of the ports
pub async fn ask_all<T>(ports: &[Port], target: &str) -> Vec<Result<T, Error>>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut answers = Vec::with_capacity(ports.len());
    for some in ports.chunks(AT_ONCE) {
        let asked = some.iter().cloned().map(|port| {
            let target = target.to_owned();
            smol::spawn(async move {
                let answer = ask(&port, &target).await?;
                answer.ok_or_else(|| unavailable(format!("{}: nothing there", port.address)))
            })
        });
        let asked: Vec<_> = asked.collect();
        let mut some = stream::iter(asked).then(|task| task);
        while let Some(answer) = some.next().await {
            answers.push(answer);
        }
    }
    answers
}
