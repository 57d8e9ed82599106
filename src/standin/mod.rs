//! Stand-ins for the external dependencies of the system in tests and demonstrations.
//!
//! `platform` stores versioned objects and the host list, `upstream` executes requests on limited
//! slots and records each of them, and `relay` is the network between zones. `PUT /control` injects
//! faults with a JSON merge patch. Each stand-in prints `listening ADDRESS` for every listener.
//! The first line is the address of its control API.

pub mod args;
pub mod control;
pub mod fault;
pub mod platform;
pub mod ports;
pub mod record;
pub mod relay;
pub mod response;
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

/// Binds a listener and prints its address
pub async fn bind_and_announce(address: SocketAddr) -> Result<TcpListener, Error> {
    let bind_error = |error| {
        Error::Unavailable(format!(
            "cannot listen on {address}: {error}; use another address"
        ))
    };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let local_address = listener.local_addr().map_err(bind_error)?;
    let mut out = std::io::stdout().lock();
    let result = writeln!(out, "listening {local_address}").and_then(|()| out.flush());
    if let Err(error) = result {
        log::warn!("cannot print the listening address: {error}");
    }
    Ok(listener)
}

/// Returns a response with a JSON body
pub fn json_response<T: Serialize>(value: &T) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(value)?);
    response.set_content_type(http_types::mime::JSON);
    Ok(response)
}

/// Returns a response with a status and a plain text body
pub fn text_response(status: u16, text: &str) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(text.to_owned());
    response.set_content_type(Mime::from("text/plain"));
    Ok(response)
}

/// Returns the first value of a query parameter
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Reads the body of a request; fails if it is shorter than its `Content-Length`
pub async fn read_body(request: &mut Request) -> http_types::Result<Vec<u8>> {
    let length = request.len();
    let body = request.body_bytes().await?;
    match length {
        Some(length) if length != body.len() => Err(http_types::Error::from_str(
            StatusCode::BadRequest,
            "request body is shorter than Content-Length",
        )),
        _ => Ok(body),
    }
}
