//! Stand-ins for what surrounds the system in tests and in the demo.
//!
//! `platform` keeps versioned objects and the list of hosts, `upstream` runs requests on a few
//! slots and records each of them, `relay` is the network between zones. They misbehave on demand: `PUT /control` takes a JSON merge
//! patch on the faults in force. Each prints `listening ADDRESS` on its first line.

pub mod answer;
pub mod args;
pub mod control;
pub mod fault;
pub mod platform;
pub mod ports;
pub mod record;
pub mod relay;
pub mod store;
pub mod upstream;

#[cfg(test)]
mod tests;

use std::io::Write;
use std::net::SocketAddr;

use http_types::{Mime, Request, Response, StatusCode};
use serde::Serialize;
use smol::net::TcpListener;

use crate::error::Error;

/// Bind a listener and print where it listens
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let refused = |error| {
        Error::Unavailable(format!(
            "cannot listen on {address}: {error}; pick another address"
        ))
    };
    let listener = TcpListener::bind(address).await.map_err(refused)?;
    let bound = listener.local_addr().map_err(refused)?;
    let mut out = std::io::stdout().lock();
    let printed = writeln!(out, "listening {bound}").and_then(|()| out.flush());
    if let Err(error) = printed {
        log::warn!("cannot print the address: {error}");
    }
    Ok(listener)
}

/// JSON answer
pub fn json<T: Serialize>(value: &T) -> http_types::Result<Response> {
    let mut answer = Response::new(StatusCode::Ok);
    answer.set_body(serde_json::to_vec(value)?);
    answer.set_content_type(http_types::mime::JSON);
    Ok(answer)
}

/// Answer with a status and a plain line
pub fn plain(status: u16, text: &str) -> http_types::Result<Response> {
    let mut answer = Response::new(status);
    answer.set_body(text.to_owned());
    answer.set_content_type(Mime::from("text/plain"));
    Ok(answer)
}

/// First value of a query parameter
pub fn query(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Whole body of a request; an error when it ends early
pub async fn body(request: &mut Request) -> http_types::Result<Vec<u8>> {
    let length = request.len();
    let body = request.body_bytes().await?;
    match length {
        Some(length) if length != body.len() => Err(http_types::Error::from_str(
            StatusCode::BadRequest,
            "body ends early",
        )),
        _ => Ok(body),
    }
}
